package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// playMixed has clients send many commands at once on a connection, twice, and replaces the process in between. A worker may get a job
// only as a client has sent it.
func playMixed(d *deployment, with trouble) (breaks int, err error) {
	const clients, count, bodySize, budget = 2, 30, 60_000, 7500 * time.Millisecond
	var mu sync.Mutex
	sent := map[string]string{} // bodies by ID
	received := func(w *worker, j *job) {
		mu.Lock()
		defer mu.Unlock()
		body, known := sent[j.id]
		if known && body == string(j.body) {
			return
		}
		breaks++
		same := 0
		for same < min(len(body), len(j.body)) && body[same] == j.body[same] {
			same++
		}
		d.record.log("not as sent: worker %s got %s (sent by a client: %v); its body differs from byte %d on: %q", w.id, j.id, known, same,
			j.body[same:min(len(j.body), same+200)])
	}
	plan := func(j *job) (time.Duration, string) { // 0.4 s to 1.3 s
		number, _ := strconv.ParseInt(j.id[len(j.id)-8:], 16, 64)
		return 400*time.Millisecond + time.Duration(number%16)*60*time.Millisecond, paid + j.id
	}
	first, err := d.deploy(12, limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, plan, received)
	if err != nil {
		return 0, err
	}
	var open []*client
	for n := range clients {
		c, err := dial(fmt.Sprint(n), d.listen, d.record)
		if err != nil {
			return 0, err
		}
		defer c.close()
		open = append(open, c)
	}
	burst := func(number int) {
		for n, c := range open {
			calls := newCalls(count, fmt.Sprintf("9b1f%02x%02x", n, number), "cash-payout", budget, func(int) string { return "" })
			mu.Lock()
			for _, next := range calls {
				next.body = filler(next.id, bodySize)
				sent[next.id] = next.body
			}
			mu.Unlock()
			go c.sendAll(calls, with.manyAtOnce)
		}
	}
	begun := d.record.now()
	burst(1)
	time.Sleep(300 * time.Millisecond)
	if with.upgrade {
		if _, err := d.upgrade(first, "second", begun+600*time.Millisecond); err != nil {
			return 0, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	burst(2)
	time.Sleep(12 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return breaks, nil
}
