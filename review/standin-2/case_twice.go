package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["twice"] = caseTwice }

// submitEvery submits jobs at a fixed interval until a time.
func (r *rig) submitEvery(interval time.Duration, until time.Time, make func() *job) {
	for time.Now().Before(until) {
		r.clients.submit(make())
		time.Sleep(interval)
	}
}

// caseTwice: a process is replaced, and the one that replaces it is replaced in turn, at once. At any time one process acts for the
// scheduler: what worker nodes tell reaches the client, and a worker node that is out gets nothing.
func caseTwice(r *rig) ([]string, error) {
	if err := r.fleet(12); err != nil {
		return nil, err
	}
	first, err := r.startScheduler(0, "first")
	if err != nil || !first.waitReady(10*time.Second) {
		return nil, errNotReady
	}
	end := time.Now().Add(14 * time.Second)
	go r.submitEvery(30*time.Millisecond, end, func() *job { // the usual 34 jobs a second
		return newJob("cash-payout", 400*time.Millisecond, 1)
	})
	// One society sends 5.7 times as much, with long bodies.
	go r.submitEvery(6*time.Millisecond, time.Now().Add(4*time.Second), func() *job {
		j := newJob("recipient-screen", 900*time.Millisecond, 1)
		j.body += strings.Repeat("x", 60000)
		return j
	})
	time.Sleep(3 * time.Second)
	second, err := r.startScheduler(0, "second")
	if err != nil || !second.waitReady(6*time.Second) {
		return nil, errNotReady
	}
	first.signal(syscall.SIGTERM)
	if !r.trouble { // the next one comes once the first has ended
		<-first.done
		time.Sleep(500 * time.Millisecond)
	}
	third, err := r.startScheduler(0, "third")
	if err != nil || !third.waitReady(6*time.Second) {
		return nil, errNotReady
	}
	out := r.workers[3]
	status, text := third.call("PUT", "/v1/worker-nodes/"+out.id+"/suspend")
	yes := time.Now()
	r.rec.line("suspend %s at third: %d %s", out.id, status, text)
	second.signal(syscall.SIGTERM)
	<-second.done
	r.clients.wait.Wait()

	var broken []string
	for _, j := range r.clients.jobs {
		r.mutex.Lock()
		for _, a := range r.attempts[j.id] {
			wasTold := !a.told.IsZero() && a.told.Before(j.over) && a.told.Sub(j.sent) < j.budget
			if wasTold && j.status != 200 && j.class == "cash-payout" {
				broken = append(broken, fmt.Sprintf("%s %s ran at %s, its done was taken with 200 or 204 %v before its client got status %d (%v)",
					j.class, j.id, a.worker.id, j.over.Sub(a.told).Round(time.Millisecond), j.status, j.err))
			}
			if status == 200 && a.worker == out && a.first.After(yes.Add(50*time.Millisecond)) {
				broken = append(broken, fmt.Sprintf("%s is out since the yes, and gets %s %s %v later", out.id, j.class, j.id, a.first.Sub(yes).Round(time.Millisecond)))
			}
		}
		r.mutex.Unlock()
	}
	fmt.Printf("%d breaks in %d jobs\n", len(broken), len(r.clients.jobs))
	return broken, nil
}
