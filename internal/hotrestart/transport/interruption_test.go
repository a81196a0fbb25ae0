package transport

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/hotrestart"
)

// interruption makes calls of a kind transfer a byte each, and all calls after a number of them fail.
type interruption struct {
	call      eventloop.Call
	remaining int // calls that do not fail
	errno     unix.Errno
	onFailure func() // called at each failure; nil: nothing
}

func (i *interruption) intercept(call eventloop.Call, _ int) eventloop.Injection {
	if call != i.call {
		return eventloop.Injection{}
	}
	if i.remaining > 0 {
		i.remaining--
		return eventloop.Injection{MaxLength: 1}
	}
	if i.onFailure != nil {
		i.onFailure()
	}
	return eventloop.Injection{Errno: i.errno}
}

// addClientConnection adds a client's connection to the state that a process transfers.
func (p *process) addClientConnection() {
	_, descriptor := eventlooptest.SocketPair(p.t)
	record := hotrestart.ClientConnection{Input: []byte("GET"), ResponseSlots: []hotrestart.ResponseSlot{{RequestID: 1}}}
	p.snapshot.ClientConnections = []ClientConnection{{Record: record, Descriptor: descriptor}}
}

// transferWith transfers the state while one of the processes is interrupted after a number of bytes, and reports whether the
// interruption came before the transfer's end. Exactly one process must own the state after it. If the predecessor does, a second
// transfer must succeed.
func transferWith(t *testing.T, interrupt func(predecessor, successor *process) (of *process, by *interruption)) (cameFirst bool) {
	t.Helper()
	predecessor := newPredecessor(t)
	predecessor.addClientConnection()
	successor := predecessor.startSuccessor()
	interrupted, cut := interrupt(predecessor, successor)
	interrupted.Syscalls().Interceptor = cut.intercept
	err := predecessor.relinquishTo(successor)
	interrupted.Syscalls().Interceptor = nil
	hasRelinquished := predecessor.roles.HasRelinquished()
	isServing := !successor.roles.IsStandby()
	if hasRelinquished != isServing || hasRelinquished != (err == nil) || len(successor.restored) > 1 {
		t.Fatalf("after %d bytes: relinquished %v (%v), the successor serves %v", cut.remaining, hasRelinquished, err, isServing)
	}
	if hasRelinquished {
		return false
	}
	if !predecessor.awaitStandby(successor) {
		t.Fatalf("the successor is not in standby after a lost session: %s", successor.log.String())
	}
	if err := predecessor.relinquishTo(successor); err != nil || successor.roles.IsStandby() || len(successor.restored) != 1 {
		t.Fatalf("second transfer: %v", err)
	}
	return true
}

// Whichever byte of a transfer is the last one, exactly one process owns the state: the connection breaks at the predecessor or at
// the successor, or the successor stops to read until the predecessor's time is over.
func TestOneOwnerAfterInterruptionAtEachByte(t *testing.T) {
	for name, interrupt := range map[string]func(predecessor, successor *process) (*process, *interruption){
		"broken at the predecessor": func(predecessor, _ *process) (*process, *interruption) {
			return predecessor, &interruption{call: eventloop.CallSendMessage, errno: unix.EPIPE}
		},
		"broken at the successor": func(_, successor *process) (*process, *interruption) {
			return successor, &interruption{call: eventloop.CallReceiveMessage, errno: unix.ECONNRESET}
		},
		"too slow": func(predecessor, _ *process) (*process, *interruption) {
			lapse := func() { predecessor.Time += transferTimeout + time.Millisecond }
			return predecessor, &interruption{call: eventloop.CallSendMessage, errno: unix.EAGAIN, onFailure: lapse}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for bytes := 0; ; bytes++ {
				cameFirst := transferWith(t, func(predecessor, successor *process) (*process, *interruption) {
					interrupted, cut := interrupt(predecessor, successor)
					cut.remaining = bytes
					return interrupted, cut
				})
				if !cameFirst {
					break
				}
			}
		})
	}
}
