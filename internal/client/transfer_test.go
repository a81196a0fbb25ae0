package client

import (
	"bytes"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/hotrestart"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// handOver transfers the connections and requests to another listener, as a hot restart does, and returns it. change changes the
// connections on the way. marksOverrun is that of Restore.
func (f *fixture) handOver(marksOverrun bool, change func(record *hotrestart.ClientConnection)) *fixture {
	return f.handOverWith(func(*fixture) {}, marksOverrun, change)
}

// handOverWith is handOver to a listener that a function prepares.
func (f *fixture) handOverWith(
	prepare func(successor *fixture), marksOverrun bool, change func(record *hotrestart.ClientConnection),
) *fixture {
	successor := newFixture(f.Steps)
	prepare(successor)
	successor.Time = f.Time
	successor.RunIterations()
	state, open := f.table.Snapshot()
	var received []hotrestart.ReceivedClientConnection
	for _, snapshot := range f.listener.Snapshot() {
		descriptor, err := unix.Dup(snapshot.Descriptor)
		if err != nil {
			f.T.Fatal(err)
		}
		record := f.encodeAndDecode(snapshot.ClientConnection)
		change(&record)
		received = append(received, hotrestart.ReceivedClientConnection{ClientConnection: record, Descriptor: descriptor})
	}
	f.listener.Relinquish()
	f.RunIterations()
	restored := successor.listener.Restore(received, marksOverrun)
	successor.table.TakeOver(successor.Time, state, open, restored.Responders(), func() requests.Policy { return successor.policy })
	restored.AttachRequests(successor.table.Request)
	restored.HandleInput()
	successor.runUntilIdle()
	return successor
}

// encodeAndDecode returns a connection as the successor receives it.
func (f *fixture) encodeAndDecode(record hotrestart.ClientConnection) hotrestart.ClientConnection {
	encoded, err := hotrestart.AppendMessageInParts(nil, record.WithOverrunMark())
	if err != nil {
		f.T.Fatal(err)
	}
	frame, _, err := hotrestart.ReadMessageFrame(encoded)
	if err != nil {
		f.T.Fatal(err)
	}
	message, err := frame.Message()
	if err != nil {
		f.T.Fatal(err)
	}
	return message.(hotrestart.ClientConnection)
}

// rejectRequests rejects open requests, at most the number given, and returns how many there were. The body of each must be as its
// client has sent it: only of x.
func (f *fixture) rejectRequests(most int) (count int) {
	for f.table.OpenCount() > 0 && count < most {
		_, open := f.table.Snapshot()
		request := open[0]
		if body := request.Payload.Body; len(bytes.Trim(body, "x")) > 0 {
			at := bytes.IndexFunc(body, func(r rune) bool { return r != 'x' })
			f.T.Fatalf("request %s has a body that its client has not sent: %q", request.CallID, body[at:min(len(body), at+100)])
		}
		f.act(dispatch.Reject{Job: request.ID})
		f.runUntilIdle()
		count++
	}
	return count
}

// sendAhead makes a client send requests with large bodies at once.
func (f *fixture) sendAhead(peer *eventlooptest.Peer, first, count int) {
	var burst []byte
	for n := first; n < first+count; n++ {
		burst = append(burst, requestOfSize(n, 60_000)...)
	}
	f.writeAll(peer, burst)
	f.runUntilIdle()
}

// A client sends more ahead than is buffered, and the rest is discarded. After a hot restart the successor discards further input
// too, however many requests were answered before: it must not complete a request, such as a payout, with parts of others. Each
// request that was read completely gets its response, one more is rejected, and the connection ends. So it is too where one of the
// two processes is of an earlier build, which neither writes nor reads InputOverrun.
func TestInputAfterOverrunIsDiscardedAfterHotRestart(t *testing.T) {
	for _, test := range []struct {
		name            string
		fromEarlier     bool
		toEarlier       bool
		statusOfPartial int // of the request that was read in part
	}{
		{"this build", false, false, 503},
		{"from an earlier build", true, false, 503},
		{"to an earlier build", false, true, 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			for answeredBefore := range maxResponseSlots {
				run := overrunRun{fixture: newFixture(&modeltest.Steps{T: t}), statusOfPartial: test.statusOfPartial}
				run.play(answeredBefore, !test.fromEarlier, func(record *hotrestart.ClientConnection) {
					if test.fromEarlier && record.InputOverrun {
						record.Input = append(restoredInput(*record), run.partial...)
					}
					if test.fromEarlier || test.toEarlier {
						record.InputOverrun = false
					}
				})
			}
		})
	}
}

// overrunRun is a client that sends more ahead than is buffered, before a hot restart and again after it.
type overrunRun struct {
	*fixture
	partial         []byte // of the last request that was read
	statusOfPartial int
}

// play plays the run with some requests answered before the hot restart.
func (r *overrunRun) play(answeredBefore int, marksOverrun bool, change func(record *hotrestart.ClientConnection)) {
	const burst = 2 * maxResponseSlots
	r.listen()
	client := r.connect()
	r.sendAhead(client, 0, burst)
	rejected := r.rejectRequests(answeredBefore)
	wantLast := 503
	for conn := range r.listener.connections {
		r.partial = bytes.Clone(conn.Input()[len(completeRequests(conn.Input())):])
		if conn.isReading() { // the predecessor has not rejected the last request yet
			wantLast = r.statusOfPartial
		}
	}
	successor := r.handOver(marksOverrun, change)
	successor.sendAhead(client, burst, burst)
	rejected += successor.rejectRequests(2 * burst)
	got := statuses(r.T, client)
	if rejected <= maxResponseSlots || len(got) != rejected+1 || got[rejected] != wantLast {
		r.T.Errorf("%d requests answered before: %d rejected, the client got %v, expected %d at the end", answeredBefore, rejected, got, wantLast)
	}
	if client.Read(1); !client.Ended {
		r.T.Errorf("%d requests answered before: the connection stays open", answeredBefore)
	}
}

// A request that is read in part is completed after a hot restart from an earlier build, unless it may lack input.
func TestPartialRequestOfEarlierBuildIsCompleted(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	f.listen()
	client := f.connect()
	request := requestOfSize(1, 60_000)
	f.writeAll(client, []byte(request[:30_000]))
	f.runUntilIdle()
	successor := f.handOver(false, func(*hotrestart.ClientConnection) {})
	successor.writeAll(client, []byte(request[30_000:]))
	successor.runUntilIdle()
	if rejected := successor.rejectRequests(2); rejected != 1 {
		t.Errorf("%d requests admitted, expected 1", rejected)
	}
}

// The time of a request that a predecessor has read and not handled counts from its arrival there, also after a hot restart. Its
// client got the answer up to that much after its timeout.
func TestTimeoutCountsFromArrivalAfterHotRestart(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	f.listen()
	client := f.connect()
	f.RunIterations()
	for n := range maxResponseSlots + 1 {
		client.Write([]byte(requestOfSize(n, 0)))
	}
	f.runUntilIdle()
	f.Time += time.Second
	client.Write([]byte(requestOfSize(maxResponseSlots+1, 0)))
	f.runUntilIdle()
	f.Time += time.Second
	successor := f.handOver(true, func(*hotrestart.ClientConnection) {})
	admittedAt := successor.Time + time.Second
	successor.Time = admittedAt
	successor.act(dispatch.Fail{Job: 1}, dispatch.Fail{Job: 2})
	successor.runUntilIdle()
	const timeout = 5 * time.Second // ClientTimeout of the class
	for id, waited := range map[uint64]time.Duration{maxResponseSlots + 1: 3 * time.Second, maxResponseSlots + 2: 2 * time.Second} {
		request := successor.table.Request(id)
		if request == nil || request.Deadline-admittedAt != timeout-waited || request.Job.Remaining != timeout-waited {
			t.Errorf("request %d after %v: %+v, expected %v left", id, waited, request, timeout-waited)
		}
	}
}

// Guards against a snapshot that copies the input of all connections, with which two processes exceeded the memory limit.
func TestSnapshotSharesInputAfterOverrun(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t})
	f.listen()
	run := overrunRun{fixture: f}
	run.sendAhead(f.connect(), 0, 2*maxResponseSlots)
	snapshots := f.listener.Snapshot()
	if len(snapshots) != 1 {
		t.Fatalf("%d connections, expected 1", len(snapshots))
	}
	for _, snapshot := range snapshots {
		input := f.connection(snapshot.Descriptor).Input()
		if !snapshot.InputOverrun || len(snapshot.Input) == 0 || &snapshot.Input[0] != &input[0] {
			t.Errorf("overrun %v, %d bytes of input in the snapshot are copied", snapshot.InputOverrun, len(snapshot.Input))
		}
	}
}
