package scheduler

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	emptyLine         = "1\r\n\n\r\n"
	emptyLineInterval = 2 * time.Second // by the protocol
	notifiedWithin    = 6 * time.Second // by the protocol, a change counts as known so long after discovery had it and could be reached
	quietTime         = time.Hour
	promptRun         = 5 * time.Millisecond
)

// usualSettings are those of a deployment in which any worker may serve any request, and each has time for it.
func usualSettings(settings object) {
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

// servePromptly has a worker accept an attempt, and serve it.
func (d *deployment) servePromptly(p *peer, f *farEnd, t *attempt) {
	d.respond(p, f, acceptedResponse)
	t.accepted = true
	t.ends, t.state = d.now+promptRun, "done"
	if d.conf.Settings.StartNotifications {
		t.start = d.now + promptRun/2
	}
}

// passTime lets so much time pass, in steps, with requests of idle clients if any are to come. Discovery is at rest, but for
// its empty lines.
func (d *deployment) passTime(span, step time.Duration, requests bool) {
	for until := d.now + span; d.now < until; {
		d.now += step
		for _, c := range d.callers {
			if requests && c.request == nil && d.rng.IntN(8) == 0 {
				d.sendRequest(c)
			}
		}
		if d.now-d.lastLine >= emptyLineInterval {
			d.sendEmptyLines()
		}
		d.sendCallbacks()
		d.runUntilSettled()
	}
}

// sendEmptyLines has discovery say on each watch that nothing has changed.
func (d *deployment) sendEmptyLines() {
	d.lastLine = d.now
	for _, p := range d.discovery {
		if f := d.known[p]; f != nil && f.filler == 0 && !f.silent {
			p.Write([]byte(emptyLine))
		}
	}
}

// beQuiet lets so much time pass in which discovery has nothing to tell but that, and workers close idle connections.
func (d *deployment) beQuiet(span time.Duration) {
	for until := d.now + span; d.now < until; {
		d.now += emptyLineInterval
		d.sendEmptyLines()
		for p, f := range d.known {
			if f.node != nil && f.try == nil && d.now > until-span/2 {
				p.Close()
			}
		}
		d.runUntilSettled()
	}
}

// answerAll lets all requests come to their answers.
func (d *deployment) answerAll() {
	for range 2000 {
		if d.scheduler.Requests.OpenCount() == 0 {
			break
		}
		d.passTime(promptRun, promptRun, false)
	}
	for _, q := range d.requests {
		d.Check(q.answers == 1, "%s has %d answers", q.id, q.answers)
	}
}

// burst has each client ask at once, and returns how many are served.
func (d *deployment) burst() (served int) {
	clear(d.requests)
	for _, c := range d.callers {
		d.sendRequest(c)
	}
	d.runUntilSettled()
	d.answerAll()
	for _, q := range d.requests {
		if q.status == http.StatusOK {
			served++
		}
	}
	return served
}

// After a long quiet time, in which workers have closed all idle connections and estimates have decayed, the first burst is served as
// any other.
func TestFirstBurstAfterAQuietTime(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, seed, false, usualSettings)
			d.decide = d.servePromptly
			d.beQuiet(time.Minute) // past any slow start
			for n := range 4 {
				if n == 2 {
					d.beQuiet(quietTime)
				}
				if served := d.burst(); served != len(d.callers) {
					t.Errorf("burst %d: %d of %d served", n+1, served, len(d.callers))
				}
			}
		})
	}
}

// discoveryFault is how discovery is lost after a long quiet time, and what a call of it meets meanwhile.
type discoveryFault struct {
	name      string
	silent    bool // watches stay open, and silent
	reachable bool // calls are answered all along
	dial      func(d *deployment) error
	runs      int // of each kind of deployment
}

var discoveryFaults = []discoveryFault{
	{name: "refused", dial: func(*deployment) error { return unix.ECONNREFUSED }, runs: 2},
	{name: "never up", silent: true, dial: (*deployment).dialNowhere, runs: 12}, // its end meets a call that hangs
	{name: "out of ports", dial: func(*deployment) error { return unix.EADDRNOTAVAIL }, runs: 2},
	{name: "silent", silent: true, reachable: true, runs: 2},
}

// dialNowhere has the next connection never come up.
func (d *deployment) dialNowhere() error {
	d.neverUp = true
	return nil
}

// After a long quiet time discovery is lost for a minute, or for as long as its watch is silent, and at its return most workers
// drain. From when that counts as known, and the time to stop sending, none of them is sent anything; each request is answered.
func TestNothingIsSentToDrainingWorkersAfterAnOutage(t *testing.T) {
	const outage, step, fineStep = time.Minute / 2, 200 * time.Millisecond, 10 * time.Millisecond
	for _, fault := range discoveryFaults {
		for _, how := range []string{"subscribe", "automatic"} {
			for seed := range fault.runs {
				schedulers := []int{1, 300}[seed%2]
				t.Run(fmt.Sprintf("%s, %s, %d, %d", fault.name, how, schedulers, seed), func(t *testing.T) {
					t.Parallel()
					d := newDeployment(t, uint64(seed), false, func(settings object) {
						usualSettings(settings)
						settings["discovery"], settings["replicas_of_me"], settings["me"] = how, schedulers, 0
					})
					d.decide = d.servePromptly
					d.beQuiet(quietTime / 6)
					d.loseDiscovery(fault)
					if !fault.reachable {
						d.passTime(outage, step, true)
						d.passTime(time.Duration(seed)*7*fineStep, fineStep, true) // at any moment of a call that hangs
						d.dialDiscovery = nil
						d.endUnanswered()
					}
					d.drainWorkers(how == "automatic" && !fault.reachable)
					d.passTime(time.Second, fineStep, true)
					d.passTime(notifiedWithin, step/4, true)
					d.answerAll()
					d.Check(d.openWatches() == 1, "%d watches at the end", d.openWatches())
				})
			}
		}
	}
}

// openWatches counts the connections to discovery.
func (d *deployment) openWatches() (open int) {
	for _, p := range d.discovery {
		if f := d.known[p]; f != nil && f.filler == 0 && !f.silent {
			open++
		}
	}
	return open
}

// loseDiscovery begins an outage.
func (d *deployment) loseDiscovery(fault discoveryFault) {
	for _, p := range d.discovery {
		if f := d.known[p]; fault.silent && f != nil {
			f.silent = true
		} else {
			p.Close()
		}
	}
	if fault.dial != nil {
		d.dialDiscovery = func() error { return fault.dial(d) }
	}
	d.runUntilSettled()
}

// endUnanswered resets what was begun while discovery could not be reached, for some deployments.
func (d *deployment) endUnanswered() {
	d.neverUp = false
	for _, p := range d.discovery {
		if d.rng.IntN(2) == 0 {
			p.Close()
		}
	}
}

// drainWorkers has all workers but one drain from now on. It counts as known at once, or after the protocol's time.
func (d *deployment) drainWorkers(knownAtOnce bool) {
	d.revision++
	for _, n := range d.nodes[1:] {
		n.Lifecycle = "draining"
		n.drainingSince = d.now
		if !knownAtOnce {
			n.drainingSince += notifiedWithin
		}
	}
	d.runUntilSettled()
}

// Where the only other worker refuses connections, the retries and hedges of what hangs fail at once. They are no more than
// the settings allow, whatever the time left; each request gets its answer.
func TestAttemptsThatFailAtOnceAreBounded(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, seed, false, usualSettings)
			for _, n := range d.nodes[1:] {
				n.down = d.now + 2*quietTime
			}
			d.decide = func(p *peer, f *farEnd, t *attempt) {
				if d.rng.IntN(2) == 0 {
					d.respond(p, f, acceptedResponse) // and hangs
					t.accepted = true
				} else {
					d.respond(p, f, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
					t.ended, t.never = true, true
				}
			}
			d.dialCount = 0
			d.passTime(10*time.Second, 20*time.Millisecond, true)
			d.answerAll()
			if limit := len(d.requests) * d.conf.Settings.AttemptLimit; d.dialCount > limit {
				t.Errorf("%d connections for %d requests of %d attempts each", d.dialCount, len(d.requests), d.conf.Settings.AttemptLimit)
			}
		})
	}
}

// Requests with very little time left, of which workers drop some without a word, are answered in time; and workers are none the
// worse for it: what comes then is served.
func TestRequestsWithLittleTimeLeft(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, seed, false, usualSettings)
			d.decide = d.servePromptly
			d.beQuiet(time.Minute)
			d.decide = func(p *peer, f *farEnd, t *attempt) {
				if d.rng.IntN(3) == 0 {
					d.servePromptly(p, f, t)
				}
			}
			for range 300 {
				d.budget = time.Duration(1+d.rng.IntN(5)) * time.Millisecond
				d.passTime(time.Millisecond, time.Millisecond, true)
			}
			d.answerAll()
			d.decide, d.budget = d.servePromptly, 0
			if served := d.burst(); served != len(d.callers) {
				t.Errorf("after requests with little time: %d of %d served", served, len(d.callers))
			}
		})
	}
}

// Workers, or something on the way, forget idle connections: what is written to one is reset, or gets nothing at all. Each request
// is answered in time, sent again only as its class allows, and by and by such connections are not used.
func TestForgottenConnections(t *testing.T) {
	for name, forget := range map[string]func(p *peer, f *farEnd, t *attempt){
		"reset": func(p *peer, f *farEnd, t *attempt) {
			f.try, t.ended = nil, true
			p.Reset()
		},
		"black hole": func(*peer, *farEnd, *attempt) {},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, ", ", seed), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t, seed, false, func(settings object) {
					usualSettings(settings)
					settings["domain"].(object)["tells_start"] = true
					for _, class := range settings["classes"].([]object) {
						class["promise"] = int64(400_000)
					}
				})
				if forgotten := d.forgetConnections(forget); forgotten == 0 || 4*forgotten > len(d.requests) {
					t.Errorf("of %d requests %d were sent on forgotten connections", len(d.requests), forgotten)
				}
			})
		}
	}
}

// forgetConnections has connections that were idle for a while forgotten, with pauses between requests that are longer than
// that. It returns how many attempts were written to such connections.
func (d *deployment) forgetConnections(forget func(p *peer, f *farEnd, t *attempt)) (forgotten int) {
	const remembered, step, rounds = 300 * time.Millisecond, 20 * time.Millisecond, 60
	lastUse := map[*peer]time.Duration{}
	d.decide = func(p *peer, f *farEnd, t *attempt) {
		last, used := lastUse[p]
		lastUse[p] = d.now
		if !used || d.now-last <= remembered {
			d.servePromptly(p, f, t)
			return
		}
		forgotten++
		forget(p, f, t)
	}
	for range rounds {
		d.passTime(2*remembered, step, false)
		d.passTime(step, step, true)
	}
	d.answerAll()
	return forgotten
}
