// Package server is start and stop: limits, readiness, signals, drain, and a new configuration under way.
package server

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"valvecove/internal/asyncwriter"
	"valvecove/internal/config"
	"valvecove/internal/link"
	"valvecove/internal/logging"
	"valvecove/internal/metrics"
)

// After SIGTERM new connections still come for a moment, and clients keep using the links that they have. SIGKILL
// comes no sooner than the longest deadline, or killAfter where that is longer, and killSpare more. What comes later
// than killSpare after SIGTERM must be answered before that.
const (
	killAfter = 3 * time.Second
	killSpare = 700 * time.Millisecond
	lastTaken = 900 * time.Millisecond // before SIGKILL: a query that comes later would hardly be served in time
	lastWords = 300 * time.Millisecond // before SIGKILL: whatever came late, or was never sent, is answered
	lastOfAll = 150 * time.Millisecond // before SIGKILL: whatever is still open is answered
	lastCalls = 500 * time.Millisecond // after a hand-over: for operators whose calls are under way
	lastFlush = 200 * time.Millisecond // at the end: for a log or a disk that takes in what waits

	logWaiting = 256 << 10 // bytes of log that may wait
)

// scheduler is one that runs.
type scheduler struct {
	env      func(string) string
	conf     config.Config
	loop     *link.Loop
	draining bool
	over     bool                // there is nothing more to stay for
	failed   error               // why it can't go on
	spool    *asyncwriter.Writer // before standard error
	log      *slog.Logger
}

// Run runs until it has been told to stop and has drained. ops names the operators' file; without one no
// feature is on.
func Run(env func(string) string, ops string, log io.Writer) error {
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
	// Standard error may be slow or gone: nobody waits for it.
	s := &scheduler{env: env, conf: c, spool: asyncwriter.NewWriter(log, logWaiting, func(n uint64) string {
		return logging.FormatLine(features.Log, c.Name, slog.LevelWarn, "log lost, as it was not taken in", slog.Uint64("pieces", n))
	})}
	defer s.spool.Close(lastFlush)
	logs := logging.NewFactory(features.Log, c.Name, s.spool)
	s.log = logs.NewLogger()
	if features.Capture != nil {
		signal.Notify(signals, syscall.SIGUSR1)
	}
	var targets []metrics.Target
	if f := features.Metrics; f != nil && f.File != "" {
		file, err := os.OpenFile(f.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
		if err != nil {
			return fmt.Errorf("key \"figures.file\": %w", err)
		}
		defer func() { _ = file.Close() }()
		lines := asyncwriter.NewWriter(file, logWaiting, nil)
		defer lines.Close(lastFlush)
		targets = append(targets, offered{lines})
	} else if f != nil && !f.UDPTarget.IsValid() {
		targets = append(targets, offered{s.spool})
	}
	loop, err := link.Open(c, features, logs, targets...)
	if err != nil {
		return err
	}
	if s.loop = loop; loop.Capture != nil {
		defer loop.Capture.Close(lastFlush)
	}
	defer loop.FlushMetrics()
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
	loop.OnShareLimits(func(half bool) {
		most := HeapLimit(s.conf.Limits)
		if half {
			most /= 2
		}
		debug.SetMemoryLimit(most)
	})
	loop.OnFail(func(err error) { s.failed = err })
	loop.OnSuccessor(func() {
		if s.draining { // it has come late, but not too late
			s.loop.After(0, s.handOver)
		}
	})
	if at := loop.Addr(); at.IsValid() {
		s.log.Info("listening", "addr", at.String())
	} else {
		s.log.Info("another process serves here, and is to be replaced")
	}
	err = loop.Run(func() bool { return s.over && loop.IsQuiet() || s.failed != nil })
	return cmp.Or(err, s.failed)
}

// offered is a target of figures that a spool stands before.
type offered struct{ *asyncwriter.Writer }

// Send hands a batch on whole.
func (o offered) Send(batch []byte) error { return o.TryWrite(batch) }

// told does what a signal asks for. It runs in the loop.
func (s *scheduler) told(sig os.Signal) {
	switch {
	case sig == syscall.SIGHUP:
		s.reload()
	case sig == syscall.SIGUSR1:
		s.dump()
	case !s.draining: // once: a second SIGTERM must not begin the drain anew
		s.draining = true
		if s.loop.LeaveStandby() {
			s.log.Info("standing down")
			s.over = true
			return
		}
		s.log.Info("draining")
		s.drain()
		s.handOver()
	}
}

// dump writes a copy of what the capture holds to the log, in one piece.
func (s *scheduler) dump() {
	held := s.loop.Capture.Dump()
	switch {
	case held == nil:
		s.log.Info("the capture is in files", "pieces_lost", s.loop.Capture.Lost())
	case s.spool.WriteLarge(held):
		s.log.Info("capture written", "bytes", len(held), "segments_lost", s.loop.Capture.Lost())
	default:
		s.log.Warn("a capture is still being written")
	}
}

// drain serves on for as long as there is time to, and sees to it that nothing is left unanswered.
func (s *scheduler) drain() {
	killed := KilledAfter(s.conf.Settings)
	s.loop.Drain()
	s.loop.After(max(killed-lastTaken, killed/2), s.loop.Close)
	s.loop.After(killed-lastWords, func() {
		s.loop.FinishRequestsSince(killed - lastWords - killSpare)
		s.loop.RejectQueued()
	})
	s.loop.After(killed-lastOfAll, s.loop.FinishAllRequests)
	// Until then it stays even with nothing in hand. One that has ended looks like one that has died: the front takes
	// seconds to notice, and clients go on to try it. One that is there answers 503.
	s.loop.After(killed, func() { s.over = true })
}

// handOver gives all that is here to the process that is to replace this one, if one stands by. Should it fail, this one
// drains on.
func (s *scheduler) handOver() {
	switch err := s.loop.Relinquish(); {
	case err == nil:
		s.loop.After(lastCalls, func() { s.over = true })
	case errors.Is(err, link.ErrNotSettled):
		s.loop.After(time.Millisecond, s.handOver)
	case !errors.Is(err, link.ErrNoSuccessor):
		s.log.Error("still the owner", "error", err)
	}
}

// reload goes on by the file as it is now; one with a fault changes nothing. While draining too: queries in hand
// still need worker nodes, and drains and starts among those are still to be heard of.
func (s *scheduler) reload() {
	next, kept, err := s.conf.Reload(s.env)
	if err != nil {
		s.log.Error("configuration kept as it was", "error", err)
		return
	}
	limit(next.Limits)
	s.loop.Reload(next)
	s.conf = next
	s.log.Info("configuration read anew", "discovery", next.Discovery.String())
	if len(kept) > 0 {
		s.log.Warn("some of it changes at the next start only", "keys", strings.Join(kept, " "))
	}
}

// limit keeps the runtime inside what the machine allows.
func limit(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(HeapLimit(l))
	debug.SetGCPercent(200)
}

// HeapLimit is how many bytes the collector is held to. Memory beyond the heap needs room too, and running into the
// cap is a crash, so it works harder well before that.
func HeapLimit(l config.Limits) int64 { return int64(l.MemoryMB) << 20 * 6 / 10 }

// KilledAfter is how long after SIGTERM a scheduler stays, which is when SIGKILL is due.
func KilledAfter(s config.Settings) time.Duration {
	killed := killSpare
	for _, c := range s.Classes {
		killed = max(killed, killSpare+min(c.ClientTimeout, killAfter))
	}
	return killed
}
