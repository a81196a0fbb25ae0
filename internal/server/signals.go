package server

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"
)

// signalKinds are the signals that are handled apart from each other, in the order in which those that came together are: a
// new configuration holds for what follows.
var signalKinds = [...]os.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM, syscall.SIGINT}

// pendingSignals has the signals that have come and are not handled yet. Several of one kind count as one: each asks for
// what has to be done once, after the last of them. So however many come while the loop is held up, none is lost.
type pendingSignals [len(signalKinds)]atomic.Bool

// add adds a signal. It may be called from any goroutine.
func (p *pendingSignals) add(received os.Signal) {
	for i, kind := range signalKinds {
		if kind == received {
			p[i].Store(true)
		}
	}
}

// take returns what has come since the last call.
func (p *pendingSignals) take() (received []os.Signal) {
	for i, kind := range signalKinds {
		if p[i].Swap(false) {
			received = append(received, kind)
		}
	}
	return received
}

// forwardSignals has signals handled in the loop. The function that it returns ends that.
func (s *server) forwardSignals(signals <-chan os.Signal) (stop func()) {
	var pending pendingSignals
	stopped := make(chan struct{})
	s.scheduler.OnWake(func() {
		for _, received := range pending.take() {
			s.handleSignal(received)
		}
	})
	go func() {
		for {
			select {
			case received := <-signals:
				pending.add(received)
				s.scheduler.Wake()
			case <-stopped:
				return
			}
		}
	}()
	return func() { close(stopped) }
}

// handleSignal does what a signal asks for.
func (s *server) handleSignal(received os.Signal) {
	switch received {
	case syscall.SIGHUP:
		s.reload()
	case syscall.SIGUSR1:
		s.dumpCapture()
	default:
		s.stop()
	}
}

// reload goes on by the platform's file as it is now. A file with a fault changes nothing. It works while draining too:
// requests in flight still need workers, whose drains and starts are still to be notified.
func (s *server) reload() {
	next, kept, err := s.conf.Reload(s.getenv)
	if err != nil {
		s.logger.Error("configuration kept as it was", "error", err)
		return
	}
	applyLimits(next.Limits)
	s.scheduler.Reload(next)
	s.conf = next
	s.logger.Info("configuration read anew", "discovery", next.Discovery.String())
	if len(kept) > 0 {
		s.logger.Warn("some of it changes at the next start only", "keys", strings.Join(kept, " "))
	}
}

// dumpCapture writes a copy of what the capture holds to the log, in one piece.
func (s *server) dumpCapture() {
	capture := s.scheduler.Capture
	text := capture.Dump()
	switch {
	case text == nil:
		s.logger.Info("the capture is in files", "pieces_lost", capture.Lost(), "lines_lost", capture.LostLines())
	case s.logWriter.WriteLarge(text):
		s.logger.Info("capture written", "bytes", len(text), "segments_lost", capture.Lost())
	default:
		s.logger.Warn("a capture is still being written")
	}
}
