// Package run is start and stop: limits, readiness, signals, drain, and a new configuration under way.
package run

import (
	"io"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/link"
)

// After SIGTERM new connections still come for a moment, and clients keep using the links that they have. SIGKILL
// comes no sooner than the longest deadline, or killAfter where that is longer, and killSpare more. What comes later
// than killSpare after SIGTERM must be answered before that.
const (
	killAfter = 3 * time.Second
	killSpare = 700 * time.Millisecond
	lastTaken = 900 * time.Millisecond // before SIGKILL: a query that comes later would hardly be served in time
	lastWords = 300 * time.Millisecond // before SIGKILL: whatever is still open is answered
)

// scheduler is one that runs.
type scheduler struct {
	env      func(string) string
	conf     config.Config
	loop     *link.Loop
	draining bool
	over     bool // there is nothing more to stay for
}

// Scheduler runs until it has been told to stop and has drained. ops names the operators' file; without one no
// feature is on.
func Scheduler(env func(string) string, ops string, log io.Writer) error {
	// From the first moment on: by default SIGHUP ends a process, and with it all that it has taken.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	signal.Ignore(syscall.SIGPIPE)
	c, err := config.Load(env)
	if err != nil {
		return err
	}
	features, err := config.LoadOps(ops)
	if err == nil {
		err = features.Check(c)
	}
	if err != nil {
		return err
	}
	limit(c.Limits)
	loop, err := link.Open(c, features, log)
	if err != nil {
		return err
	}
	s := &scheduler{env: env, conf: c, loop: loop}
	told, end := make(chan os.Signal, cap(signals)), make(chan struct{})
	loop.OnWake(func() {
		for len(told) > 0 {
			s.told(<-told)
		}
	})
	defer close(end)
	go func() {
		for {
			select {
			case sig := <-signals:
				told <- sig
				loop.Wake()
			case <-end:
				return
			}
		}
	}()
	loop.Logf("%s: listening at %v", c.Name, loop.Addr())
	return loop.Run(func() bool { return s.over && loop.Quiet() })
}

// told does what a signal asks for. It runs in the loop.
func (s *scheduler) told(sig os.Signal) {
	switch {
	case sig == syscall.SIGHUP:
		s.reload()
	case !s.draining: // once: a second SIGTERM must not begin the drain anew
		s.draining = true
		s.loop.Logf("%s: draining", s.conf.Name)
		s.drain()
	}
}

// drain serves on for as long as there is time to, and sees to it that nothing is left unanswered.
func (s *scheduler) drain() {
	killed := killSpare
	for _, c := range s.conf.Settings.Classes {
		killed = max(killed, killSpare+min(c.GiveUp, killAfter))
	}
	s.loop.Drain()
	s.loop.After(max(killed-lastTaken, killed/2), s.loop.Close)
	s.loop.After(killed-lastWords, func() { s.loop.Finish(killed - lastWords - killSpare) })
	// Until then it stays even with nothing in hand. One that has ended looks like one that has died: the front takes
	// seconds to notice, and clients go on to try it. One that is there answers 503.
	s.loop.After(killed, func() { s.over = true })
}

// reload goes on by the file as it is now; one with a fault changes nothing. While draining too: queries in hand
// still need worker nodes, and drains and starts among those are still to be heard of.
func (s *scheduler) reload() {
	next, kept, err := s.conf.Reload(s.env)
	if err != nil {
		s.loop.Logf("%s: configuration kept as it was: %v", s.conf.Name, err)
		return
	}
	limit(next.Limits)
	s.loop.Reload(next)
	s.conf = next
	s.loop.Logf("%s: configuration read anew, discovery at %v", s.conf.Name, next.Discovery)
	if len(kept) > 0 {
		s.loop.Logf("%s: these change at the next start only: %s", s.conf.Name, strings.Join(kept, ", "))
	}
}

// limit keeps the runtime inside what the machine allows. Memory beyond the heap needs room too, and running
// into the cap is a crash, so the collector works harder well before it.
func limit(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 6 / 10)
	debug.SetGCPercent(200)
}
