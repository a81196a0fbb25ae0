package scheduler

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/hotrestart"
	"valvecove/internal/modeltest"
)

// connectionErrnos are the errors that a read or write on a broken connection may return.
var connectionErrnos = []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE}

// failTransfers makes reads and writes of one descriptor fail.
func (h *harness) failTransfers(fd int, errno unix.Errno) {
	h.injectFaults(1, faultinjection.Rule{
		Calls: []eventloop.Call{
			eventloop.CallRead, eventloop.CallReceive, eventloop.CallReceiveMessage, eventloop.CallWrite, eventloop.CallSendMessage,
		},
		Descriptor: func(descriptor int) bool { return descriptor == fd },
		Errnos:     []unix.Errno{errno},
	})
}

// A client whose connection breaks with any of these errors counts as disconnected: its queued request is abandoned.
func TestClientConnectionBreaksWithAnyErrno(t *testing.T) {
	for _, errno := range connectionErrnos {
		h := newHarness(&modeltest.Steps{T: t})
		p, fd := h.socketPair()
		h.scheduler.clients.AddConnection(fd, netip.AddrPort{})
		p.Write([]byte(requestOfSize(1, 0)))
		h.runIterations()
		if open := h.scheduler.Requests.OpenCount(); open != 1 {
			t.Fatalf("%d requests open, expected 1", open)
		}
		h.failTransfers(fd, errno)
		p.Write([]byte("more"))
		h.runIterations()
		if h.scheduler.Requests.OpenCount() != 0 || h.scheduler.clients.ConnectionCount() != 0 {
			t.Errorf("%v: %d requests open, %d connections", errno, h.scheduler.Requests.OpenCount(), h.scheduler.clients.ConnectionCount())
		}
	}
}

// failCallsTemporarily makes the next calls of some kinds fail.
func (h *harness) failCallsTemporarily(calls []eventloop.Call) {
	if len(calls) > 0 {
		h.injectFaults(1, faultinjection.Rule{Calls: calls, Times: 20, Errnos: []unix.Errno{unix.ENOBUFS, unix.ENOMEM, unix.EINTR}})
	}
}

// Exactly one process owns the state after a transfer, whichever process lacks resources while the TakenOver message is sent and
// received, also if the predecessor's deadline for it passes.
func TestOneOwnerDespiteResourceShortageDuringTransfer(t *testing.T) {
	for name, faults := range map[string]struct{ predecessor, successor []eventloop.Call }{
		"sending":   {nil, []eventloop.Call{eventloop.CallWrite, eventloop.CallSendMessage}},
		"receiving": {[]eventloop.Call{eventloop.CallReceiveMessage, eventloop.CallPoll, eventloop.CallShutdown}, nil},
		"both":      {[]eventloop.Call{eventloop.CallReceiveMessage, eventloop.CallSendMessage}, []eventloop.Call{eventloop.CallSendMessage}},
	} {
		for _, lapses := range []bool{false, true} { // the predecessor's deadline for TakenOver
			t.Run(name+", late "+strconv.FormatBool(lapses), func(t *testing.T) {
				dir := t.TempDir()
				predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
				predecessor.sendRequest(address)
				successor := predecessor.startSuccessor(dir, address)
				predecessor.failCallsTemporarily(faults.predecessor)
				successor.failCallsTemporarily(faults.successor)
				if lapses {
					predecessor.clock = func() time.Duration {
						predecessor.now += 40 * time.Millisecond
						return predecessor.now
					}
				}
				err := predecessor.handOverTo(successor)
				isOwner := successor.successorState() == hotrestart.SuccessorServing && successor.scheduler.restart.AwaitsSuccessor()
				hasOwner := !predecessor.scheduler.hasRelinquished()
				if isOwner == hasOwner || (err == nil) != isOwner {
					t.Errorf("the successor serves: %v, the predecessor: %v (%v)", isOwner, hasOwner, err)
				}
			})
		}
	}
}
