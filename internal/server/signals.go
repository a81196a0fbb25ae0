package server

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"

	"valvecove/internal/scheduler"
)

// signalKinds contains the handled signals, in the order in which pending ones are handled. SIGHUP is first, so that the reloaded
// configuration applies to the others.
var signalKinds = [...]os.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM, syscall.SIGINT}

// pendingSignals contains the signals that were received and not handled yet. Several signals of one kind are handled once, after
// the last of them was received. None is lost while the event loop is blocked.
type pendingSignals [len(signalKinds)]atomic.Bool

// add adds a signal. It may be called from any goroutine.
func (p *pendingSignals) add(received os.Signal) {
	for i, kind := range signalKinds {
		if kind == received {
			p[i].Store(true)
		}
	}
}

// take returns the signals that were received since its last call.
func (p *pendingSignals) take() (received []os.Signal) {
	for i, kind := range signalKinds {
		if p[i].Swap(false) {
			received = append(received, kind)
		}
	}
	return received
}

// signalReceiver receives the signals of a process: during its start, and for its event loop.
type signalReceiver struct {
	pending   pendingSignals
	woken     atomic.Pointer[scheduler.Scheduler] // woken at each signal; nil during the start
	stop      chan struct{}                       // closed by the first signal to end the process
	isStopped bool                                // stop is closed
	closed    chan struct{}
}

// receiveSignals receives signals until close is called.
func receiveSignals(signals <-chan os.Signal) *signalReceiver {
	receiver := &signalReceiver{stop: make(chan struct{}), closed: make(chan struct{})}
	go func() {
		for {
			select {
			case received := <-signals:
				receiver.receive(received)
			case <-receiver.closed:
				return
			}
		}
	}()
	return receiver
}

// receive handles a received signal on the receiver's goroutine.
func (r *signalReceiver) receive(received os.Signal) {
	r.pending.add(received)
	if isStop := received == syscall.SIGTERM || received == syscall.SIGINT; isStop && !r.isStopped {
		r.isStopped = true
		close(r.stop)
	}
	if woken := r.woken.Load(); woken != nil {
		woken.Wake()
	}
}

// close stops the receiver's goroutine.
func (r *signalReceiver) close() { close(r.closed) }

// handleSignals handles signals on the event loop from now on, including those that were received during the start.
func (s *server) handleSignals(receiver *signalReceiver) {
	s.scheduler.OnWake(func() {
		for _, received := range receiver.pending.take() {
			s.handleSignal(received)
		}
	})
	receiver.woken.Store(s.scheduler)
	s.scheduler.Wake()
}

// handleSignal reloads the configuration on SIGHUP, dumps the capture on SIGUSR1, and stops on any other signal.
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

// reload reads and applies the platform's file. An invalid file changes nothing. Files are also applied during a drain, as
// requests in flight still need workers and their updates.
func (s *server) reload() {
	next, kept, err := s.conf.Reload(s.getenv)
	if err != nil {
		s.logger.Error("configuration reload failed", "error", err)
		return
	}
	applyLimits(next.Limits)
	s.conf = next // before the scheduler's limits: a change of these sets the memory limit again
	s.scheduler.Reload(next)
	s.logger.Info("configuration reloaded", "discovery", next.Discovery.String())
	if len(kept) > 0 {
		s.logger.Warn("configuration keys require a restart", "keys", strings.Join(kept, " "))
	}
}

// dumpCapture writes a copy of the capture in memory to the log, without other lines in between.
func (s *server) dumpCapture() {
	capture := s.scheduler.Capture
	text := capture.Dump()
	switch {
	case text == nil:
		s.logger.Info("capture is stored in files", "pieces_lost", capture.Lost(), "lines_lost", capture.LostLines())
	case s.logWriter.WriteLarge(text):
		s.logger.Info("capture written", "bytes", len(text), "segments_lost", capture.Lost())
	default:
		s.logger.Warn("capture dump in progress")
	}
}
