package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["crowd"] = caseCrowd }

const (
	silentClients = 900                    // "by hundreds"
	checkTime     = 250 * time.Millisecond // X-Budget-Ms of the checks in the crowd
	payoutTime    = 800 * time.Millisecond // and of the payouts
	payoutRun     = 500 * time.Millisecond
	answerSlack   = 500 * time.Millisecond // after its time a request only earns nothing
	socketSlack   = 50 * time.Millisecond  // every time limit is so much longer on sockets
)

// silentCrowd opens connections that say nothing, and closes each once the scheduler has ended it.
func silentCrowd(r *rig, count int) (end func()) {
	var mutex sync.Mutex
	var open []net.Conn
	for range count {
		go func() {
			conn, err := net.Dial("tcp", r.nodes[0].listen)
			if err != nil {
				return
			}
			mutex.Lock()
			open = append(open, conn)
			mutex.Unlock()
			var b [1]byte
			_, _ = conn.Read(b[:])
			_ = conn.Close()
		}()
	}
	return func() {
		mutex.Lock()
		defer mutex.Unlock()
		r.rec.line("%d silent connections were opened", len(open))
		for _, conn := range open {
			_ = conn.Close()
		}
	}
}

// caseCrowd: clients that say nothing open connections by hundreds. A request on a new connection is either shut unread or has
// its final answer half a second after its time at the latest.
func caseCrowd(r *rig) ([]string, error) {
	r.sockets = 256
	if err := r.fleet(12); err != nil {
		return nil, err
	}
	s, err := r.startScheduler(0, "a")
	if err != nil || !s.waitReady(10*time.Second) {
		return nil, errNotReady
	}
	for range 40 { // some time without trouble; the clients keep their connections
		r.clients.submit(newJob("cash-payout", payoutRun, 1))
		time.Sleep(60 * time.Millisecond)
	}
	r.clients.wait.Wait()
	if r.trouble {
		r.rec.line("%d clients connect and say nothing", silentClients)
		defer silentCrowd(r, silentClients)()
		time.Sleep(50 * time.Millisecond)
	}
	var jobs []*job
	for range 20 {
		check := newJob("status-check", 20*time.Millisecond, 1)
		check.budget = checkTime
		payout := newJob("cash-payout", payoutRun, 1)
		payout.budget = payoutTime
		for _, j := range []*job{check, payout} {
			j.patience = answerSlack + socketSlack
			jobs = append(jobs, j)
			r.clients.submit(j)
			time.Sleep(10 * time.Millisecond)
		}
	}
	r.clients.wait.Wait()
	time.Sleep(time.Second)
	var broken []string
	ran := 0
	for _, j := range jobs {
		wasShutUnread := j.connEnded && !j.reused
		if j.status != 0 || wasShutUnread {
			continue
		}
		began := r.runs(j.id)
		if began > 0 {
			ran++
		}
		broken = append(broken, fmt.Sprintf("lost: %s %s has no answer %v after it was sent with X-Budget-Ms %d; worker nodes began it %d times",
			j.class, j.id, j.over.Sub(j.sent).Round(time.Millisecond), j.budget.Milliseconds(), began))
	}
	r.rec.line("%d of %d jobs in the crowd have no answer in time, %d of these ran", len(broken), len(jobs), ran)
	fmt.Printf("%d of %d jobs in the crowd have no answer in time, %d of these ran\n", len(broken), len(jobs), ran)
	return broken, nil
}
