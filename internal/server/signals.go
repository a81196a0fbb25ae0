package server

import (
	"os"
	"strings"
	"syscall"
)

// forwardSignals has signals handled in the loop. The function that it returns ends that.
func (s *server) forwardSignals(signals <-chan os.Signal) (stop func()) {
	forwarded := make(chan os.Signal, cap(signals))
	stopped := make(chan struct{})
	s.loop.OnWake(func() {
		for len(forwarded) > 0 {
			s.handleSignal(<-forwarded)
		}
	})
	go func() {
		for {
			select {
			case received := <-signals:
				forwarded <- received
				s.loop.Wake()
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
	s.loop.Reload(next)
	s.conf = next
	s.logger.Info("configuration read anew", "discovery", next.Discovery.String())
	if len(kept) > 0 {
		s.logger.Warn("some of it changes at the next start only", "keys", strings.Join(kept, " "))
	}
}

// dumpCapture writes a copy of what the capture holds to the log, in one piece.
func (s *server) dumpCapture() {
	capture := s.loop.Capture
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
