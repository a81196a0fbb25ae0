// Package run is start and stop: limits, readiness, signals, drain, and a new configuration under way.
package run

import (
	"fmt"
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
	"valvecove/internal/figures"
	"valvecove/internal/link"
	"valvecove/internal/spool"
)

// After SIGTERM new connections still come for a moment, and clients keep using the links that they have. SIGKILL
// comes no sooner than the longest deadline, or killAfter where that is longer, and killSpare more. What comes later
// than killSpare after SIGTERM must be answered before that.
const (
	killAfter = 3 * time.Second
	killSpare = 700 * time.Millisecond
	lastTaken = 900 * time.Millisecond // before SIGKILL: a query that comes later would hardly be served in time
	lastWords = 300 * time.Millisecond // before SIGKILL: whatever is still open is answered
	lastFlush = 200 * time.Millisecond // at the end: for a log or a disk that takes in what waits

	logWaiting = 256 << 10 // bytes of log that may wait
)

// scheduler is one that runs.
type scheduler struct {
	env      func(string) string
	conf     config.Config
	loop     *link.Loop
	draining bool
	over     bool          // there is nothing more to stay for
	spool    *spool.Writer // before standard error; nil where no feature writes there
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
	s := &scheduler{env: env, conf: c}
	if features.Capture != nil || features.Figures != nil {
		// Standard error may be slow or gone: with features that write much to it, nobody waits for it.
		s.spool = spool.Before(log, logWaiting, func(n uint64) string {
			return fmt.Sprintf("%s: %d pieces of the log are lost, as they were not taken in\n", c.Name, n)
		})
		defer s.spool.Close(lastFlush)
		log = s.spool
	}
	if features.Capture != nil {
		signal.Notify(signals, syscall.SIGUSR1)
	}
	var targets []figures.Target
	if f := features.Figures; f != nil && f.File != "" {
		file, err := os.OpenFile(f.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
		if err != nil {
			return fmt.Errorf("key \"figures.file\": %w", err)
		}
		defer file.Close()
		lines := spool.Before(file, logWaiting, nil)
		defer lines.Close(lastFlush)
		targets = append(targets, offered{lines})
	} else if f != nil && !f.To.IsValid() {
		targets = append(targets, offered{s.spool})
	}
	loop, err := link.Open(c, features, log, targets...)
	if err != nil {
		return err
	}
	if s.loop = loop; loop.Capture != nil {
		defer loop.Capture.Close(lastFlush)
	}
	defer loop.LastFigures()
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

// offered is a target of figures that a spool stands before.
type offered struct{ *spool.Writer }

// Send hands a batch on whole.
func (o offered) Send(batch []byte) error { return o.Offer(batch) }

// told does what a signal asks for. It runs in the loop.
func (s *scheduler) told(sig os.Signal) {
	switch {
	case sig == syscall.SIGHUP:
		s.reload()
	case sig == syscall.SIGUSR1:
		s.dump()
	case !s.draining: // once: a second SIGTERM must not begin the drain anew
		s.draining = true
		s.loop.Logf("%s: draining", s.conf.Name)
		s.drain()
	}
}

// dump writes a copy of what the capture holds to the log, in one piece.
func (s *scheduler) dump() {
	held := s.loop.Capture.Dump()
	switch {
	case held == nil:
		s.loop.Logf("%s: the capture is in files, %d pieces lost", s.conf.Name, s.loop.Capture.Lost())
	case s.spool.WriteLarge(held):
		s.loop.Logf("%s: capture of %d bytes written, %d segments lost", s.conf.Name, len(held), s.loop.Capture.Lost())
	default:
		s.loop.Logf("%s: a capture is still being written", s.conf.Name)
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
