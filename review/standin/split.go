package main

import (
	"fmt"
	"strings"
	"time"
)

const paid = "paid "

// playSplit replaces the process while one client, which sent 16 commands at once, still waits for the answer to the first of them, and
// other clients send payouts one at a time. With history no client sends many at once, but discovery has removed 7,000 workers. A payout
// whose worker has told that it is done, and was answered, is served.
func playSplit(d *deployment, with trouble) (breaks int, err error) {
	const commands, resultSize = 16, 64_000
	plan := func(j *job) (time.Duration, string) {
		switch {
		case strings.HasPrefix(j.path, "/cash-payout/"):
			return 1200 * time.Millisecond, paid + j.id
		case j.body[0] == 'L':
			return 6 * time.Second, filler(j.id, resultSize)
		}
		return 150 * time.Millisecond, filler(j.id, resultSize)
	}
	if with.history {
		d.removed = 7000
	}
	first, err := d.deploy(12, limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, plan, func(*worker, *job) {})
	if err != nil {
		return 0, err
	}
	big, err := dial("big", d.listen, d.record)
	if err != nil {
		return 0, err
	}
	defer big.close()
	go big.sendAll(newCalls(commands, "9b1fffff", "recipient-screen", 12*time.Second, func(n int) string {
		if n == 0 {
			return "Long"
		}
		return "short"
	}), with.manyAtOnce)
	time.Sleep(1500 * time.Millisecond)
	payouts := make(chan []*call)
	go d.sendApart("p", newCalls(80, "9b1f0000", "cash-payout", 7500*time.Millisecond, func(int) string { return "pay" }), 50*time.Millisecond, payouts)
	time.Sleep(time.Second)
	if with.upgrade {
		next, err := d.upgrade(first, "second", 0)
		if err != nil {
			return 0, err
		}
		time.Sleep(300 * time.Millisecond)
		for _, s := range []*scheduler{first, next} {
			d.record.log("platform: %s: readyz %d, %s", s.name, get(s.management, "/v1/readyz"), s.metric("edge_proxy.inflight"))
		}
	}
	sent := <-payouts
	time.Sleep(8500 * time.Millisecond)
	return d.countUnserved(sent), nil
}

// countUnserved counts the calls whose result a scheduler took from a worker in time, before they were answered, and that were not answered with it.
func (d *deployment) countUnserved(calls []*call) (count int) {
	d.clientsMu.Lock()
	defer d.clientsMu.Unlock()
	statuses := map[int]int{}
	for _, c := range calls {
		statuses[c.status]++
		done := d.doneAt(c.id)
		if done == 0 || done > min(c.sentAt+c.budget, c.answeredAt) || c.status == 200 && c.result == paid+c.id {
			continue
		}
		count++
		d.record.log("not served: %s, sent at %.3f; its worker told that it is done and was answered at %.3f; the client got %d at %.3f",
			c.id, c.sentAt.Seconds(), done.Seconds(), c.status, c.answeredAt.Seconds())
	}
	d.record.log("payouts by answer (0: none): %v", statuses)
	return count
}

// newCalls returns calls of a class.
func newCalls(count int, prefix, class string, budget time.Duration, body func(n int) string, hint ...func(n int) time.Duration) []*call {
	var calls []*call
	for n := range count {
		next := &call{id: fmt.Sprintf("%s%08x", prefix, n), class: class, tenant: "khyber-society", budget: budget, body: body(n)}
		if len(hint) > 0 {
			next.hint = hint[0](n)
		}
		calls = append(calls, next)
	}
	return calls
}
