package main

import (
	"fmt"
	"syscall"
	"time"
)

// playMemory has clients send 16 commands at once on each connection, of which the first runs longest. The platform kills a scheduler
// that needs more memory than it is given.
func playMemory(d *deployment, with trouble) (breaks int, err error) {
	const connections, commands, resultSize, memoryMB, sockets = 80, 16, 64_000, 32, 256
	plan := func(j *job) (time.Duration, string) {
		if j.body[0] == 'L' {
			return 10 * time.Second, filler(j.id, resultSize)
		}
		return 60 * time.Millisecond, filler(j.id, resultSize)
	}
	first, err := d.deploy(16, limits{Cores: 1, MemoryMB: memoryMB, Sockets: sockets}, plan, func(*worker, *job) {})
	if err != nil {
		return 0, err
	}
	isOver := make(chan bool, 1)
	go func() { isOver <- d.watchMemory(first, memoryMB, 20*time.Second) }()
	for n := range connections {
		c, err := dial(fmt.Sprint(n), d.listen, d.record)
		if err != nil {
			break
		}
		defer c.close()
		go c.sendAll(newCalls(commands, fmt.Sprintf("9b1f%04x", n), "recipient-screen", 12*time.Second, func(n int) string {
			if n == 0 {
				return "Long"
			}
			return "short"
		}, func(n int) time.Duration {
			if n == 0 {
				return 8 * time.Second
			}
			return 60 * time.Millisecond
		}), with.manyAtOnce)
		time.Sleep(100 * time.Millisecond)
	}
	if <-isOver || first.hasEnded() {
		breaks = 1
	}
	return breaks, nil
}

// watchMemory kills a scheduler once its resident anonymous memory is over a limit, and reports whether it was.
func (d *deployment) watchMemory(s *scheduler, limitMB float64, span time.Duration) (isOver bool) {
	highest := 0.0
	for end, n := time.Now().Add(span), 0; time.Now().Before(end) && !s.hasEnded(); n++ {
		now := s.residentMB()
		highest = max(highest, now)
		if n%25 == 0 {
			d.record.log("platform: the scheduler has %.1f MB", now)
		}
		if now > limitMB {
			d.record.log("platform: the scheduler has %.1f MB, and may have %.0f: SIGKILL", now, limitMB)
			s.signal(syscall.SIGKILL)
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.record.log("platform: the scheduler had %.1f MB at most", highest)
	return false
}
