package link

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"
	"golang.org/x/sys/unix"

	"valvecove/internal/discovery"
	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
	"valvecove/internal/worker"
)

// Why a watch ends. Errors of the network and of the parsers are passed on as they are.
var (
	errWatchTimedOut = errors.New("nothing received in time")
	errWatchClosed   = errors.New("closed by the discovery service")
	errWatchRejected = errors.New("watch rejected")
	errWatchPanicked = errors.New("panic")
)

// watchConnection carries the watch on the endpoint list: it opens connections when the state machine has one due, reports to
// it what happens, and hands watch events to the request table. It runs on the loop's goroutine.
type watchConnection struct {
	eventloop.Stream // closed unless the machine's state is open
	loop             *Loop
	server           netip.AddrPort
	machine          *discovery.Watch
	timer            *eventloop.Timer // of the machine's next deadline
	revision         int64            // of the list at hand when the connection was opened
	streaming        bool             // the response has begun, and its body is read
	receivedEvent    bool             // since the last connection was opened
	lineAt           time.Duration    // when the last line was received
	lineBeforeAt     time.Duration    // and the last one of an earlier iteration; 0: none
	body             http1.ChunkDecoder
	scanner          discovery.EventScanner
}

func (l *Loop) newWatchConnection(server netip.AddrPort, config discovery.Config, random func(n int64) int64) *watchConnection {
	return &watchConnection{
		loop:    l,
		server:  server,
		machine: discovery.New(config, random, l.Now()),
	}
}

// transport is what the request table reaches workers and discovery by.
type transport struct {
	*worker.Pool
	loop *Loop
}

// Watch has the endpoint list followed from now on. A connection that is planned or open goes on.
func (t transport) Watch(int64) { t.loop.watch.restart() }

// restart follows the endpoint list from now on. A connection that is planned or open goes on.
func (w *watchConnection) restart() {
	w.loop.Protect(w, func() {
		w.machine.Restart(w.loop.Now())
		w.runAction()
	})
}

// start plans the first connection of the process. hasList reports that it has a list to serve by until then.
func (w *watchConnection) start(hasList bool) {
	w.machine.Start(w.loop.Now(), hasList)
	w.resetTimer()
}

// stop follows the endpoint list no longer.
func (w *watchConnection) stop() {
	w.Close()
	w.machine.Stop()
	w.resetTimer()
}

// changeServer follows the list of another server from now on. The connection to the one before is closed at once, so that
// its end, or what it still sends, is not taken for the new one's. Its revisions need not mean anything to the new one: from
// 0 on, the new one sends all that it has.
func (w *watchConnection) changeServer(server netip.AddrPort) {
	w.server = server
	w.loop.Requests.ResetRevision()
	w.loop.Protect(w, func() {
		w.Close()
		w.machine.ChangeServer(w.loop.Now())
		w.runAction()
	})
}

// isOpen reports whether there is a connection, be it one that is not up yet.
func (w *watchConnection) isOpen() bool { return w.machine.State().IsOpen() }

// resetTimer sets the timer to the machine's next deadline.
func (w *watchConnection) resetTimer() {
	w.loop.StopTimer(w.timer)
	if at, ok := w.machine.NextDeadline(); ok {
		w.timer = w.loop.StartTimer(at-w.loop.Now(), w, w.runAction)
	}
}

// runAction does what is due.
func (w *watchConnection) runAction() {
	switch w.machine.NextAction(w.loop.Now()) {
	case discovery.ActionConnect:
		w.connect()
	case discovery.ActionAbort:
		w.end(errWatchTimedOut)
	case discovery.ActionNone:
		w.resetTimer()
	}
}

// connect opens a connection, for changes since the list at hand.
func (w *watchConnection) connect() {
	w.machine.Connect(w.loop.Now())
	w.resetTimer()
	w.revision = w.loop.Requests.Revision()
	w.streaming = false
	w.receivedEvent = false
	w.body = http1.ChunkDecoder{}
	w.scanner = discovery.EventScanner{}
	if err := w.dial(); err != nil {
		w.Stream = eventloop.Stream{}
		w.end(err)
	}
}

func (w *watchConnection) dial() error {
	fd, err := w.loop.dial(w.server)
	if err != nil {
		return err
	}
	w.Stream, err = w.loop.OpenStream(fd, eventloop.StreamEvents|unix.EPOLLOUT, w)
	if err != nil {
		_ = w.loop.Syscalls().Close(fd)
	}
	return err
}

// end closes the connection, and plans the next one.
func (w *watchConnection) end(reason error) {
	if !w.isOpen() {
		return
	}
	w.Close()
	now := w.loop.Now()
	staleAt := w.machine.StalenessDeadline()
	w.machine.Ended(now, errors.Is(reason, errWatchTimedOut))
	w.resetTimer()
	retryAt, _ := w.machine.NextDeadline()
	w.loop.log.Warn("watch lost", "discovery", w.server.String(), "error", reason, "stale_in", staleAt-now, "retry_in", retryAt-now)
	w.loop.Requests.DiscoveryFailed()
}

// HandlePanic implements handler.
func (w *watchConnection) HandlePanic() {
	w.end(errWatchPanicked)
	w.resetTimer()
}

// HandleEvents implements handler.
func (w *watchConnection) HandleEvents(events uint32) {
	if err := w.handleEvents(events); err != nil {
		w.end(err)
	}
}

func (w *watchConnection) handleEvents(events uint32) error {
	if w.machine.State() == discovery.Connecting {
		return w.completeConnect(events)
	}
	if events&unix.EPOLLOUT != 0 {
		if err := w.Flush(); err != nil {
			return err
		}
	}
	ended, err := w.Fill()
	if err != nil {
		return err
	}
	if err := w.readResponse(); err != nil {
		return err
	}
	if ended {
		return errWatchClosed
	}
	return nil
}

// completeConnect sends the request once the connection is up.
func (w *watchConnection) completeConnect(events uint32) error {
	if err := w.ConnectError(); err != nil {
		return err
	}
	if events&unix.EPOLLOUT == 0 {
		return nil
	}
	w.machine.Connected(w.loop.Now())
	w.resetTimer()
	target := "/discovery/hosts?stream=1&index=" + strconv.FormatInt(w.revision, 10)
	request := http1.AppendRequestStart(nil, "GET", target, w.server.String())
	return w.Send(append(request, "\r\n"...))
}

// readResponse reads what has come of the response.
func (w *watchConnection) readResponse() error {
	for !w.streaming {
		complete, err := w.readResponseHeader()
		if err != nil || !complete {
			return err
		}
	}
	return w.readBody()
}

// readResponseHeader takes one response header, be it an interim one; complete is false if it is not all there yet.
func (w *watchConnection) readResponseHeader() (complete bool, err error) {
	response := &w.loop.response
	size, err := response.ParseHeader(w.Input())
	if errors.Is(err, http1.ErrIncomplete) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	w.Consume(size)
	if response.IsInterim() {
		return true, nil
	}
	if response.StatusCode != 200 || !response.IsChunked() {
		return false, fmt.Errorf("%w: status %d, chunked %v", errWatchRejected, response.StatusCode, response.IsChunked())
	}
	w.streaming = true
	return true, nil
}

func (w *watchConnection) readBody() error {
	taken := 0
	for {
		piece, size, err := w.body.Next(w.Input()[taken:])
		if err != nil {
			return err
		}
		if size == 0 {
			break
		}
		taken += size
		if err := w.readPiece(piece); err != nil {
			return err
		}
	}
	w.Consume(taken)
	if w.body.IsDone() {
		return errWatchClosed
	}
	return nil
}

// readPiece takes a piece of the body, which may hold any part of any number of events.
func (w *watchConnection) readPiece(piece []byte) error {
	for len(piece) > 0 {
		token, consumed, err := w.scanner.Scan(piece)
		if err != nil {
			return err
		}
		piece = piece[consumed:]
		if token.Kind == discovery.TokenNone {
			continue
		}
		w.receivedLine()
		if token.Kind == discovery.TokenEvent {
			if err := w.applyEvent(token.Event); err != nil {
				return err
			}
		}
	}
	return nil
}

// receivedLine takes in a line, be it empty or an event.
func (w *watchConnection) receivedLine() {
	now := w.loop.Now()
	if now > w.lineAt {
		w.lineAt, w.lineBeforeAt = now, w.lineAt
	}
	w.machine.Received(now)
	w.resetTimer()
}

// applyEvent hands an event, which is JSON, to the request table.
func (w *watchConnection) applyEvent(event []byte) error {
	var list requests.EndpointList
	if err := jsoniter.ConfigDefault.Unmarshal(event, &list); err != nil {
		return fmt.Errorf("watch event: %w", err)
	}
	if !w.receivedEvent {
		w.receivedEvent = true
		w.loop.log.Info("watch began", "discovery", w.server.String(), "after", w.revision, "revision", list.Revision,
			"snapshot", list.Reset, "entries", len(list.Endpoints))
	}
	list.Receipt = requests.Receipt{At: w.loop.Now(), LastViewAt: w.lineBeforeAt}
	w.loop.Requests.UpdateEndpoints(list)
	return nil
}
