package link

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/hotrestart"
)

// transferTimeout is how long a hand-over may take: as long nobody is served.
const transferTimeout = 600 * time.Millisecond

// predecessorRole is the side of a process that serves: it waits for an heir.
type predecessorRole struct {
	loop       *Loop
	listenerFD int
	successor  *successorConn // nil: none stands by
}

// successorConn is the channel to an heir.
type successorConn struct {
	frameChannel
	role           *predecessorRole
	accepted       bool
	handshakeTimer *timer                                 // for its greeting
	pendingCalls   map[uint64]func(code int, what string) // calls handed on to it, once it serves
	lastSequence   uint64
}

// A name without a path is free only once the process that had it has let it go, which may take a moment.
const (
	listenRetryInterval = 20 * time.Millisecond
	maxListenRetries    = 100
)

// awaitSuccessor has the process wait for the one that will replace it.
func (l *Loop) awaitSuccessor(points []string) { l.awaitSuccessorWithRetries(points, maxListenRetries) }

func (l *Loop) awaitSuccessorWithRetries(points []string, times int) {
	e := &predecessorRole{loop: l}
	var err error
	if e.listenerFD, err = listenForSuccessor(points); err == nil {
		if err = l.add(e.listenerFD, unix.EPOLLIN, e); err != nil {
			_ = unix.Close(e.listenerFD)
		}
	}
	switch {
	case err == nil:
		l.predecessorRole = e
	case errors.Is(err, unix.EADDRINUSE) && times > 0:
		l.after(listenRetryInterval, (*waker)(l), func() { l.awaitSuccessorWithRetries(points, times-1) })
	default: // it can be replaced all the same, with a drain
		l.log.Warn("no successor can reach this process", "error", err)
	}
}

func (e *predecessorRole) broken() {}

// ready takes in an heir. There is one at a time: two would both believe that they are next.
func (e *predecessorRole) ready(uint32) {
	fd, _, err := unix.Accept4(e.listenerFD, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return
	}
	if k := e.successor; k != nil { // one that has just gone, perhaps to come again, is in nobody's way
		e.loop.guard(k, func() { k.ready(unix.EPOLLIN) })
	}
	k := &successorConn{role: e, pendingCalls: map[uint64]func(int, string){}}
	if k.stream, err = e.loop.stream(fd, streamEvents, k); err != nil {
		_ = unix.Close(fd)
		return
	}
	why := ""
	switch {
	case !isPeerOwnUser(fd):
		why = "another user's process"
	case e.successor != nil:
		why = "another process is to be the successor"
	case e.loop.relinquished:
		why = "this process has a successor"
	}
	if why != "" {
		e.loop.log.Warn("successor turned away", "why", why)
		_ = k.sendFrame(hotrestart.KindReject, hotrestart.Reject{Reason: why})
		k.closeWithDescriptors()
		return
	}
	e.successor = k
	k.handshakeTimer = e.loop.after(handshakeTimeout, k, func() { k.disconnect(errors.New("it does not say a word")) })
}

func (k *successorConn) broken() { k.disconnect(errors.New("panic")) }

func (k *successorConn) disconnect(cause error) {
	if k.closed {
		return
	}
	k.loop.stop(k.handshakeTimer)
	if k.role.successor == k {
		if k.role.successor = nil; !k.loop.relinquished {
			k.loop.divide(false)
		}
	}
	k.loop.log.Info("successor gone", "cause", cause)
	for _, done := range k.pendingCalls {
		done(503, "the process that serves has gone")
	}
	clear(k.pendingCalls)
	k.closeWithDescriptors()
}

func (k *successorConn) ready(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := k.flush(); err != nil {
			k.disconnect(err)
			return
		}
	}
	ended, err := k.receive()
	for err == nil && !k.closed {
		f, fd, n, bad := k.nextFrame()
		if errors.Is(bad, hotrestart.ErrIncomplete) {
			break
		}
		if fd >= 0 { // an heir has none to give
			_ = unix.Close(fd)
		}
		if err = bad; err == nil {
			err = k.handleFrame(f)
			k.took(n)
		}
	}
	if err != nil || ended {
		k.disconnect(err)
	}
}

// handleFrame takes in what the heir says.
func (k *successorConn) handleFrame(f hotrestart.Frame) error {
	l := k.loop
	switch {
	case f.Kind == hotrestart.KindHandshake && !k.accepted:
		var hello hotrestart.Handshake
		if err := f.Decode(&hello); err != nil {
			return err
		}
		if hello.Version != hotrestart.ProtocolVersion {
			_ = k.sendFrame(hotrestart.KindReject, hotrestart.Reject{Reason: fmt.Sprintf("form %d, expected %d", hello.Version, hotrestart.ProtocolVersion)})
			return fmt.Errorf("a successor of form %d, expected %d", hello.Version, hotrestart.ProtocolVersion)
		}
		k.accepted = true
		l.stop(k.handshakeTimer)
		until := l.clock() + transferTimeout
		err := k.sendFrameBefore(until, l.clients.fd, hotrestart.KindAccept, hotrestart.Accept{Version: hotrestart.ProtocolVersion, CordonedWorkers: l.Ledger.Cordoned()})
		if err != nil {
			return err
		}
		l.log.Info("successor stands by")
		l.divide(true)
		if l.onSuccessor != nil {
			l.onSuccessor()
		}
		return nil
	case f.Kind == hotrestart.KindSetCordon && k.accepted && !l.relinquished:
		var b hotrestart.SetCordon
		if err := f.Decode(&b); err != nil {
			return err
		}
		l.ban(b.WorkerID, b.Cordoned, func(code int, what string) {
			if !k.closed && k.sendFrame(hotrestart.KindCordonResult, hotrestart.CordonResult{Sequence: b.Sequence, StatusCode: code, Message: what}) != nil {
				k.disconnect(errors.New("it does not listen"))
			}
		})
		return nil
	case f.Kind == hotrestart.KindCordonResult && l.relinquished:
		var b hotrestart.CordonResult
		if err := f.Decode(&b); err != nil {
			return err
		}
		if done := k.pendingCalls[b.Sequence]; done != nil {
			delete(k.pendingCalls, b.Sequence)
			done(b.StatusCode, b.Message)
		}
		return nil
	}
	return fmt.Errorf("%v out of turn", f.Kind)
}

// Errors of Cede.
var (
	ErrNoSuccessor = errors.New("no successor stands by")
	ErrNotSettled  = errors.New("not now") // try again in a moment
)

// Relinquish hands all that this process has to the heir, in one step: the heir owns it once it says so, and until then nothing
// has changed here. Nothing else is done meanwhile: with two that act there would be two owners.
func (l *Loop) Relinquish() error {
	e := l.predecessorRole
	if e == nil || e.successor == nil || !e.successor.accepted {
		return ErrNoSuccessor
	}
	l.Ledger.AwaitEndpoints(0) // what waits is the successor's, with all else
	if !l.Ledger.FlushEvents(l.now) || l.cordonStore != nil && l.cordonStore.IsWriting() {
		return ErrNotSettled
	}
	k, began := e.successor, l.clock()
	sum, err := l.transferState(k, began+transferTimeout)
	if err != nil && !k.takenOverBeforeShutdown() {
		k.disconnect(err)
		return fmt.Errorf("handing over: %w", err)
	}
	l.releaseTransferred(sum)
	l.log.Info("handed over", "queries", sum.requestCount, "client_links", len(sum.clientConnections), "server_links", len(sum.workerConnections),
		"module_bytes", sum.snapshotSize, "took", (l.clock() - began).Round(10*time.Microsecond).String())
	return nil
}

// takenOverBeforeShutdown tells, once it has been waited for in vain, whether the heir has said that it is the owner all the same. Nothing that it
// says after this reaches us, and it finds that out, so that there are not two owners.
func (k *successorConn) takenOverBeforeShutdown() bool {
	_ = unix.Shutdown(k.fd, unix.SHUT_RDWR)
	for {
		before := len(k.in)
		if ended, err := k.receive(); err != nil || ended || len(k.in) == before {
			break
		}
	}
	for {
		f, _, n, err := k.nextFrame()
		if err != nil {
			return false
		}
		if f.Kind == hotrestart.KindTakenOver {
			return true
		}
		k.took(n)
	}
}

// transferred is what went to an heir.
type transferred struct {
	clientConnections []*clientLink
	workerConnections []*serverLink
	requestCount      int
	snapshotSize      int
}

// transferState sends it all, and waits for the heir's word.
func (l *Loop) transferState(k *successorConn, until time.Duration) (sum transferred, err error) {
	frames := 0
	put := func(fd int, kind hotrestart.FrameKind, body any) {
		if err == nil {
			err = k.sendFrameBefore(until, fd, kind, body)
			frames++
		}
	}
	put(-1, hotrestart.KindTransferBegin, nil)
	frames = 0
	state := l.decides.Snapshot(nil)
	sum.snapshotSize = len(state)
	for len(state) > 0 {
		n := min(len(state), hotrestart.SnapshotChunkSize)
		put(-1, hotrestart.KindSnapshotChunk, state[:n])
		state = state[n:]
	}
	book, open := l.Ledger.Snapshot()
	sum.requestCount = len(open)
	put(-1, hotrestart.KindRequestTable, book)
	for _, q := range open {
		put(-1, hotrestart.KindOpenRequest, q)
	}
	for c := range l.clients.links {
		if !c.lingering {
			put(c.fd, hotrestart.KindClientConnection, c.transferRecord())
			sum.clientConnections = append(sum.clientConnections, c)
		}
	}
	for _, s := range l.servers.transferable() {
		put(s.fd, hotrestart.KindWorkerConnection, s.transferRecord())
		sum.workerConnections = append(sum.workerConnections, s)
	}
	put(-1, hotrestart.KindTransferEnd, hotrestart.TransferEnd{FrameCount: frames})
	for err == nil {
		// What has come is read to its end before more is waited for: the word may lie behind another frame.
		f, _, n, bad := k.nextFrame()
		if errors.Is(bad, hotrestart.ErrIncomplete) {
			if err = k.waitUntilReady(until, unix.POLLIN); err != nil {
				break
			}
			ended, gone := k.receive()
			if gone != nil || ended {
				err = errors.Join(errors.New("the successor has gone"), gone)
			}
			continue
		}
		if err = bad; err == nil {
			k.took(n)
			switch f.Kind {
			case hotrestart.KindTakenOver:
				return sum, nil
			case hotrestart.KindSetCordon: // it came while we were at it: the new owner carries it out
			default:
				err = fmt.Errorf("%v out of turn", f.Kind)
			}
		}
	}
	return sum, err
}

// releaseTransferred lets go of what is the heir's now.
func (l *Loop) releaseTransferred(sum transferred) {
	for _, c := range sum.clientConnections {
		c.busy()
		c.turns = nil
		c.close()
		c.count()
		delete(l.clients.links, c)
	}
	for _, s := range sum.workerConnections {
		l.stop(s.timer)
		s.state = gone
		s.close()
	}
	clear(l.servers.carried)
	l.watch.stop()
	l.remove(l.clients.fd)
	l.clients.fd = -1
	l.remove(l.predecessorRole.listenerFD)
	l.relinquished = true
}

// OnSuccessor has act called whenever an heir stands by.
func (l *Loop) OnSuccessor(act func()) { l.onSuccessor = act }

// forwardCordon has the process that serves set or end a ban.
func (k *successorConn) forwardCordon(id string, out bool, done func(code int, what string)) {
	k.lastSequence++
	k.pendingCalls[k.lastSequence] = done
	if k.sendFrame(hotrestart.KindSetCordon, hotrestart.SetCordon{Sequence: k.lastSequence, WorkerID: id, Cordoned: out}) != nil {
		k.disconnect(errors.New("it does not listen"))
	}
}
