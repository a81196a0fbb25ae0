package scheduler

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	emptyLine            = "1\r\n\n\r\n"
	emptyLineInterval    = 2 * time.Second // set by the protocol
	maxNotificationDelay = 6 * time.Second // set by the protocol, since a change was made or discovery can be reached again
	idleTime             = time.Hour
	promptServiceTime    = 5 * time.Millisecond
)

// permissiveSettings sets settings with which any worker may serve any request, and deadlines are long.
func permissiveSettings(settings object) {
	for _, class := range settings["classes"].([]object) {
		delete(class, "allowed_in")
		delete(class, "bound_to")
		class["give_up"], class["promise"] = int64(6_000_000), int64(6_000_000)
	}
	for _, tenant := range settings["tenants"].([]object) {
		tenant["quota_per_s"] = 0.0
	}
	settings["rules"].(object)["ask_every"] = int64(10_000_000)
	settings["bounds"].(object)["probes"] = false
}

// servePromptly makes a worker accept an attempt, and serve it within promptServiceTime.
func (d *deployment) servePromptly(p *peer, f *remoteEnd, t *attempt) {
	d.respond(p, f, acceptedResponse)
	t.accepted = true
	t.endsAt, t.endState = d.now+promptServiceTime, "done"
	if d.conf.Settings.StartNotifications {
		t.startsAt = d.now + promptServiceTime/2
	}
}

// passTime advances the clock by span, in steps. If requests is set, idle clients send requests. Discovery sends empty lines
// only.
func (d *deployment) passTime(span, step time.Duration, requests bool) {
	for until := d.now + span; d.now < until; {
		d.now += step
		for _, c := range d.callers {
			if requests && c.request == nil && d.rng.IntN(8) == 0 {
				d.sendRequest(c)
			}
		}
		if d.now-d.lastEmptyLineAt >= emptyLineInterval {
			d.sendEmptyLines()
		}
		d.sendCallbacks()
		d.runUntilSettled()
	}
}

// sendEmptyLines makes discovery send an empty line on each watch, which means that nothing has changed.
func (d *deployment) sendEmptyLines() {
	d.lastEmptyLineAt = d.now
	for _, p := range d.discovery {
		if f := d.remoteEndOf[p]; f != nil && f.fillerBytes == 0 && !f.silent {
			p.Write([]byte(emptyLine))
		}
	}
}

// passIdleTime advances the clock by span without requests. Discovery sends empty lines only. In the second half, workers close
// idle connections.
func (d *deployment) passIdleTime(span time.Duration) {
	for until := d.now + span; d.now < until; {
		d.now += emptyLineInterval
		d.sendEmptyLines()
		for p, f := range d.remoteEndOf {
			if f.node != nil && f.pending == nil && d.now > until-span/2 {
				p.Close()
			}
		}
		d.runUntilSettled()
	}
}

// awaitAllAnswers advances the clock until all requests are answered.
func (d *deployment) awaitAllAnswers() {
	for range 2000 {
		if d.scheduler.Requests.OpenCount() == 0 {
			break
		}
		d.passTime(promptServiceTime, promptServiceTime, false)
	}
	for _, q := range d.requests {
		d.Check(q.answers == 1, "%s has %d answers, expected 1", q.id, q.answers)
	}
}

// sendBurst makes each client send a request at the same instant, and returns how many are served.
func (d *deployment) sendBurst() (served int) {
	clear(d.requests)
	for _, c := range d.callers {
		d.sendRequest(c)
	}
	d.runUntilSettled()
	d.awaitAllAnswers()
	for _, q := range d.requests {
		if q.status == http.StatusOK {
			served++
		}
	}
	return served
}

// After a long time without requests, in which workers have closed all idle connections and estimates have decayed, the first
// burst of requests is served like any other.
func TestFirstBurstAfterIdleTime(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, seed, false, permissiveSettings)
			d.handleAttempt = d.servePromptly
			d.passIdleTime(time.Minute) // longer than any slow start
			for n := range 4 {
				if n == 2 {
					d.passIdleTime(idleTime)
				}
				if served := d.sendBurst(); served != len(d.callers) {
					t.Errorf("burst %d: %d of %d served", n+1, served, len(d.callers))
				}
			}
		})
	}
}

// discoveryFault is how discovery becomes unreachable after a long time without requests.
type discoveryFault struct {
	name      string
	silent    bool                      // watches stay open, but nothing is sent on them
	reachable bool                      // new connections are answered
	dial      func(d *deployment) error // result of a dial during the outage
	runs      int                       // number of runs for each setting of discovery
}

var discoveryFaults = []discoveryFault{
	{name: "refused", dial: func(*deployment) error { return unix.ECONNREFUSED }, runs: 2},
	{name: "dials hang", silent: true, dial: (*deployment).hangDial, runs: 12}, // each ends at another time of a dial
	{name: "out of ports", dial: func(*deployment) error { return unix.EADDRNOTAVAIL }, runs: 2},
	{name: "silent", silent: true, reachable: true, runs: 2},
}

// hangDial makes the next connection to discovery hang.
func (d *deployment) hangDial() error {
	d.discoveryDialsHang = true
	return nil
}

// After a long time without requests, discovery can't be reached for half a minute, or its watch is silent. When the outage
// ends, most workers drain. Once the scheduler must know that, and has had the time to stop sending, no attempt is sent to
// them; each request is answered.
func TestNoAttemptToDrainingWorkersAfterDiscoveryOutage(t *testing.T) {
	const outage, step, fineStep = time.Minute / 2, 200 * time.Millisecond, 10 * time.Millisecond
	for _, fault := range discoveryFaults {
		for _, how := range []string{"subscribe", "automatic"} {
			for seed := range fault.runs {
				schedulers := []int{1, 300}[seed%2]
				t.Run(fmt.Sprintf("%s, %s, %d, %d", fault.name, how, schedulers, seed), func(t *testing.T) {
					t.Parallel()
					d := newDeployment(t, uint64(seed), false, func(settings object) {
						permissiveSettings(settings)
						settings["discovery"], settings["replicas_of_me"], settings["me"] = how, schedulers, 0
					})
					d.handleAttempt = d.servePromptly
					d.passIdleTime(idleTime / 6)
					d.startDiscoveryOutage(fault)
					if !fault.reachable {
						d.passTime(outage, step, true)
						d.passTime(time.Duration(seed)*7*fineStep, fineStep, true) // the outage ends at different times of a dial
						d.discoveryDialError = nil
						d.endDiscoveryOutage()
					}
					d.drainWorkers(how == "automatic" && !fault.reachable)
					d.passTime(time.Second, fineStep, true)
					d.passTime(maxNotificationDelay, step/4, true)
					d.awaitAllAnswers()
					d.Check(d.openWatches() == 1, "%d open watches at the end, expected 1", d.openWatches())
				})
			}
		}
	}
}

// openWatches returns the number of established connections to discovery that are not silent.
func (d *deployment) openWatches() (open int) {
	for _, p := range d.discovery {
		if f := d.remoteEndOf[p]; f != nil && f.fillerBytes == 0 && !f.silent {
			open++
		}
	}
	return open
}

// startDiscoveryOutage starts an outage of discovery.
func (d *deployment) startDiscoveryOutage(fault discoveryFault) {
	for _, p := range d.discovery {
		if f := d.remoteEndOf[p]; fault.silent && f != nil {
			f.silent = true
		} else {
			p.Close()
		}
	}
	if fault.dial != nil {
		d.discoveryDialError = func() error { return fault.dial(d) }
	}
	d.runUntilSettled()
}

// endDiscoveryOutage ends the outage for new connections, and closes some of those that were dialed during it.
func (d *deployment) endDiscoveryOutage() {
	d.discoveryDialsHang = false
	for _, p := range d.discovery {
		if d.rng.IntN(2) == 0 {
			p.Close()
		}
	}
}

// drainWorkers makes all workers except one drain from now on. The scheduler must know that immediately, or after
// maxNotificationDelay.
func (d *deployment) drainWorkers(knownAtOnce bool) {
	d.revision++
	for _, n := range d.nodes[1:] {
		n.Lifecycle = "draining"
		n.drainingSince = d.now
		if !knownAtOnce {
			n.drainingSince += maxNotificationDelay
		}
	}
	d.runUntilSettled()
}

// All workers except one refuse connections, so that retries and hedges of hanging requests fail immediately. Their number
// stays within the limit of attempts, however much time is left, and each request is answered.
func TestImmediatelyFailingAttemptsAreLimited(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, seed, false, permissiveSettings)
			for _, n := range d.nodes[1:] {
				n.downUntil = d.now + 2*idleTime
			}
			d.handleAttempt = func(p *peer, f *remoteEnd, t *attempt) {
				if d.rng.IntN(2) == 0 {
					d.respond(p, f, acceptedResponse) // the request hangs
					t.accepted = true
				} else {
					d.respond(p, f, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
					t.ended, t.neverRan = true, true
				}
			}
			d.dialCount = 0
			d.passTime(10*time.Second, 20*time.Millisecond, true)
			d.awaitAllAnswers()
			if limit := len(d.requests) * d.conf.Settings.AttemptLimit; d.dialCount > limit {
				t.Errorf("%d connections for %d requests with at most %d attempts each", d.dialCount, len(d.requests), d.conf.Settings.AttemptLimit)
			}
		})
	}
}

// Requests with very little time left, some of which workers never answer, are answered in time. They leave no worker ejected:
// later requests are served.
func TestRequestsWithLittleTimeLeft(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, seed, false, permissiveSettings)
			d.handleAttempt = d.servePromptly
			d.passIdleTime(time.Minute)
			d.handleAttempt = func(p *peer, f *remoteEnd, t *attempt) {
				if d.rng.IntN(3) == 0 {
					d.servePromptly(p, f, t)
				}
			}
			for range 300 {
				d.requestBudget = time.Duration(1+d.rng.IntN(5)) * time.Millisecond
				d.passTime(time.Millisecond, time.Millisecond, true)
			}
			d.awaitAllAnswers()
			d.handleAttempt, d.requestBudget = d.servePromptly, 0
			if served := d.sendBurst(); served != len(d.callers) {
				t.Errorf("after requests with little time: %d of %d served", served, len(d.callers))
			}
		})
	}
}

// Workers, or a device on the path, silently drop the state of idle connections: writing to such a connection is answered with
// a reset, or not at all. Each request is answered in time and retried only as its class allows, and the scheduler stops using
// connections that were idle for that long.
func TestSilentlyDroppedConnections(t *testing.T) {
	for name, failAttempt := range map[string]func(p *peer, f *remoteEnd, t *attempt){
		"reset": func(p *peer, f *remoteEnd, t *attempt) {
			f.pending, t.ended = nil, true
			p.Reset()
		},
		"black hole": func(*peer, *remoteEnd, *attempt) {},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, ", ", seed), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t, seed, false, func(settings object) {
					permissiveSettings(settings)
					settings["domain"].(object)["tells_start"] = true
					for _, class := range settings["classes"].([]object) {
						class["promise"] = int64(400_000)
					}
				})
				if dropped := d.sendOnDroppedConnections(failAttempt); dropped == 0 || 4*dropped > len(d.requests) {
					t.Errorf("of %d requests %d were sent on dropped connections, expected some, and at most a quarter", len(d.requests), dropped)
				}
			})
		}
	}
}

// sendOnDroppedConnections makes workers drop connections that were idle for longer than a limit, and sends requests at longer
// intervals. failAttempt is called for each attempt that is written to a dropped connection. It returns how many there were.
func (d *deployment) sendOnDroppedConnections(failAttempt func(p *peer, f *remoteEnd, t *attempt)) (dropped int) {
	const maxIdle, step, rounds = 300 * time.Millisecond, 20 * time.Millisecond, 60
	lastUse := map[*peer]time.Duration{}
	d.handleAttempt = func(p *peer, f *remoteEnd, t *attempt) {
		last, used := lastUse[p]
		lastUse[p] = d.now
		if !used || d.now-last <= maxIdle {
			d.servePromptly(p, f, t)
			return
		}
		dropped++
		failAttempt(p, f, t)
	}
	for range rounds {
		d.passTime(2*maxIdle, step, false)
		d.passTime(step, step, true)
	}
	d.awaitAllAnswers()
	return dropped
}
