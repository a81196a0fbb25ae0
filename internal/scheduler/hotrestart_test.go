package scheduler

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/filesystem"
	"valvecove/internal/hotrestart"
	"valvecove/internal/hotrestart/transport"
	"valvecove/internal/limits"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// enableHotRestart lets the scheduler be replaced, or replace another one. Its policy is the scripted one before and after.
func (h *harness) enableHotRestart() {
	h.scheduler.dispatcher = dispatch.New(*h.scheduler.settings, 1)
	h.scheduler.wrapRestored = func(*dispatch.Dispatcher) requests.Policy { return h.policy }
	h.scheduler.onFail = func(err error) { h.T.Errorf("the scheduler failed: %v", err) }
}

// newPredecessorHarness returns a scheduler that serves and awaits a successor, and the address that clients connect to.
func newPredecessorHarness(choices *modeltest.Steps, dir string) (*harness, netip.AddrPort) {
	h := newHarness(choices)
	h.enableHotRestart()
	if err := h.scheduler.clients.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		choices.T.Fatal(err)
	}
	h.scheduler.restart.AwaitSuccessor(hotrestart.SocketAddresses(dir, h.scheduler.Addr()))
	return h, h.scheduler.Addr()
}

// startSuccessor returns a successor in standby.
func (h *harness) startSuccessor(dir string, address netip.AddrPort) *harness {
	return h.startSuccessorAfterStep(dir, address, 0)
}

// startSuccessorAfterStep is startSuccessor where the wall clock was stepped between the starts of the two processes.
func (h *harness) startSuccessorAfterStep(dir string, address netip.AddrPort, step time.Duration) *harness {
	successor := newHarness(h.Steps)
	successor.enableHotRestart()
	successor.now, successor.clockAhead, successor.scheduler.settings = h.now+step, h.clockAhead+step, h.scheduler.settings
	successor.scheduler.prepareCordons(dir, nil)
	h.Check(successor.scheduler.restart.Join(dir, address), "no predecessor found")
	for successor.successorState() == hotrestart.SuccessorJoining {
		h.runIterations()
		successor.runIterations()
	}
	return successor
}

func (h *harness) successorState() hotrestart.SuccessorState {
	state, isSuccessor := h.scheduler.restart.SuccessorState()
	if !isSuccessor {
		return hotrestart.SuccessorServing
	}
	return state
}

// handOverTo transfers the state to a successor in standby. The predecessor does nothing else meanwhile, so the successor's
// loop runs on another goroutine.
func (h *harness) handOverTo(successor *harness) error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for successor.successorState() == hotrestart.SuccessorStandby || successor.successorState() == hotrestart.SuccessorReceiving {
			_ = successor.scheduler.RunOnce(1000)
		}
	}()
	err := h.scheduler.Relinquish()
	if err != nil { // the connection to the successor is closed at the end of the iteration
		_ = h.scheduler.RunOnce(0)
	}
	<-ended
	h.runIterations()
	successor.runIterations()
	return err
}

// sendRequest makes a new client with the given address send request "q".
func (h *harness) sendRequest(at netip.AddrPort) *peer {
	client, fd := h.socketPair()
	h.scheduler.clients.AddConnection(fd, at)
	client.Write([]byte("POST /a HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: q\r\nX-Caller: t\r\nContent-Length: 0\r\n\r\n"))
	h.runIterations()
	return client
}

// addBrokenConnection adds a connection without a socket, which makes the transfer fail.
func addBrokenConnection(snapshot *transport.Snapshot) {
	broken := transport.WorkerConnection{Descriptor: hotrestart.NoDescriptor}
	snapshot.WorkerConnections = append(snapshot.WorkerConnections, broken)
}

// A transfer that fails changes nothing: the predecessor still owns the state, and serves; the successor discards what it has
// received, and connects again, so that the next transfer succeeds.
func TestFailedTransferChangesNothing(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	client := predecessor.sendRequest(address)
	successor := predecessor.startSuccessor(dir, address)
	if both := predecessor.scheduler.clients.Limits().Connections + successor.scheduler.clients.Limits().Connections; both > 1024-2*limits.SharesOf(config.Config{}, config.Ops{}).OwnDescriptors {
		t.Errorf("both processes together may hold %d client connections", both)
	}
	peer, socket := predecessor.socketPair()
	predecessor.state.alter = func(snapshot *transport.Snapshot) {
		snapshot.ClientConnections = append(snapshot.ClientConnections, transport.ClientConnection{Descriptor: socket})
		addBrokenConnection(snapshot)
	}
	if err := predecessor.handOverTo(successor); err == nil || predecessor.scheduler.hasRelinquished() || predecessor.scheduler.Requests.OpenCount() != 1 {
		t.Fatalf("the predecessor no longer owns its state after a failed transfer: %v", err)
	}
	_ = unix.Close(socket)
	predecessor.state.alter = nil
	for successor.successorState() == hotrestart.SuccessorJoining || !predecessor.scheduler.restart.HasSuccessor() {
		predecessor.runIterations()
		successor.runIterations()
	}
	if peer.Read(1); !peer.Ended {
		t.Error("a socket of the failed transfer is still open")
	}
	if successor.scheduler.Requests.OpenCount() != 0 || successor.scheduler.clients.ConnectionCount() != 0 || successor.scheduler.clients.Socket() >= 0 {
		t.Error("the successor has kept state of the failed transfer")
	}
	if err := predecessor.handOverTo(successor); err != nil || successor.scheduler.budget.IsHalved() {
		t.Fatalf("second transfer: %v", err)
	}
	successor.policy.Next = []dispatch.Action{dispatch.Reject{Job: 1}}
	successor.scheduler.Requests.Wake()
	successor.runIterations()
	if client.Read(1 << 16); !strings.HasPrefix(string(client.Received), "HTTP/1.1 503 ") {
		t.Errorf("the client received %q, expected 503", client.Received)
	}
}

// Without a successor, Relinquish fails. A second successor is rejected, and does not serve.
func TestSecondSuccessorIsRejected(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	if err := predecessor.scheduler.Relinquish(); !errors.Is(err, ErrNoSuccessor) {
		t.Errorf("without a successor: %v", err)
	}
	first := predecessor.startSuccessor(dir, address)
	second := newHarness(predecessor.Steps)
	second.enableHotRestart()
	rejected := false
	second.scheduler.onFail = func(error) { rejected = true }
	if !second.scheduler.restart.Join(dir, address) {
		t.Error("the second successor did not find the predecessor")
	}
	for !rejected {
		predecessor.runIterations()
		second.runIterations()
	}
	if second.scheduler.restart.AwaitsSuccessor() || second.scheduler.clients.Socket() >= 0 {
		t.Error("the second successor serves, or awaits a successor")
	}
	if err := predecessor.handOverTo(first); err != nil {
		t.Errorf("transfer to the first: %v", err)
	}
}

// When a predecessor dies, the successor restores the cordoned workers from their file and serves. The socket file that is left
// does not prevent a later process from joining.
func TestPredecessorDies(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	successor := predecessor.startSuccessor(dir, address)
	if err := hotrestart.WriteCordonFile(dir, []string{"s-0"}); err != nil {
		t.Fatal(err)
	}
	predecessor.scheduler.restart.Close()
	predecessor.runIterations()
	successor.runIterations()
	cordoned := successor.scheduler.Requests.Cordoned()
	if len(cordoned) != 1 || cordoned[0] != "s-0" || successor.scheduler.clients.Socket() < 0 || successor.scheduler.notReadyReason() == "" {
		t.Errorf("after the predecessor's death: cordoned %v", cordoned)
	}
	third := successor.startSuccessor(dir, address)
	if err := successor.handOverTo(third); err != nil || len(third.scheduler.Requests.Cordoned()) != 1 {
		t.Errorf("transfer to a third process: %v", err)
	}
}

// If a successor's build can't restore the policy's snapshot, the estimates in it are lost, but no request is: the new policy is
// notified of each request and of the state of its attempts.
func TestIncompatibleSnapshotKeepsRequests(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	client := predecessor.sendRequest(address)
	predecessor.policy.Next = []dispatch.Action{dispatch.Send{Job: 1, Worker: predecessor.workerNumber()}}
	predecessor.scheduler.Requests.Wake()
	predecessor.runIterations()
	successor := predecessor.startSuccessor(dir, address)
	otherSettings := *predecessor.scheduler.settings
	otherSettings.Classes = append(otherSettings.Classes, otherSettings.Classes[0])
	successor.scheduler.settings = &otherSettings
	if err := predecessor.handOverTo(successor); err != nil {
		t.Fatal(err)
	}
	successor.runIterations()
	var resumed []dispatch.JobResumed
	for _, event := range successor.policy.Received {
		if r, ok := event.(dispatch.JobResumed); ok {
			resumed = append(resumed, r)
		}
	}
	if len(resumed) != 1 || resumed[0].Job.ID != 1 || len(resumed[0].Attempts) != 1 || resumed[0].Attempts[0].Ended {
		t.Fatalf("resumed %+v, expected request 1 with an attempt in flight", resumed)
	}
	result := "made"
	callback := requests.Callback{CallID: "q", EndpointID: "s-0", State: "done", Result: &result}
	_, _ = successor.scheduler.Requests.HandleCallback(callback)
	successor.runIterations()
	if client.Read(1 << 16); !strings.HasSuffix(string(client.Received), "made") {
		t.Errorf("the client received %q, expected the worker's result", client.Received)
	}
}

// A successor forwards a cordon call that the predecessor has not read when the successor takes over. The successor carries it
// out.
func TestForwardedCordonIsAppliedAfterTransfer(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	successor := predecessor.startSuccessor(dir, address)
	statusCode := 0
	successor.scheduler.cordons.Set("s-0", true, func(got int, _ string) { statusCode = got })
	if err := predecessor.handOverTo(successor); err != nil || statusCode != 200 || len(successor.scheduler.Requests.Cordoned()) != 1 {
		t.Errorf("%v, answered %d, cordoned %v", err, statusCode, successor.scheduler.Requests.Cordoned())
	}
}

// A forwarded cordon call that is rejected is answered while an earlier one waits for the file to be written. Each call is
// answered with its own result, also a later one, so that no call is still pending at the hot restart.
func TestForwardedCordonsAreAnsweredInAnyOrder(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	written := make(chan func(), 1) // functions that the loop runs once the file is written
	predecessor.scheduler.prepareCordons(dir, hotrestart.NewCordonStore(hotrestart.CordonStoreConfig{
		Files: filesystem.Disk, StateDir: dir, MaxCallbacks: 1,
		Now:  predecessor.scheduler.Now,
		Post: func(finish func()) { written <- finish },
	}))
	successor := predecessor.startSuccessor(dir, address)
	var answers []string
	call := func(workerID string, cordoned bool) {
		successor.scheduler.cordons.Set(workerID, cordoned, func(statusCode int, message string) {
			answers = append(answers, fmt.Sprint(workerID, " ", statusCode, " ", message))
		})
	}
	expect := func(want ...string) {
		t.Helper()
		predecessor.runIterations()
		successor.runIterations()
		if !slices.Equal(answers, want) {
			t.Errorf("answers %q, expected %q", answers, want)
		}
	}
	call("s-0", true)
	call("s-9", true)
	expect("s-9 404 no such worker node")
	(<-written)()
	expect("s-9 404 no such worker node", "s-0 200 out")
	call("s-0", false)
	predecessor.runIterations()
	(<-written)()
	expect("s-9 404 no such worker node", "s-0 200 out", "s-0 200 serving")
}

// A process that leaves standby takes nothing over, and another one can enter standby.
func TestLeaveStandby(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	successor := predecessor.startSuccessor(dir, address)
	if predecessor.scheduler.LeaveStandby() || !successor.scheduler.LeaveStandby() || successor.scheduler.LeaveStandby() {
		t.Error("a serving process left standby, or one in standby did not, or did twice")
	}
	successor.runIterations()
	predecessor.runIterations()
	if err := predecessor.scheduler.Relinquish(); !errors.Is(err, ErrNoSuccessor) || predecessor.scheduler.budget.IsHalved() {
		t.Errorf("after the successor left standby: %v", err)
	}
}

// A successor has its own watch on the endpoint list before it reports that it is ready. After the take-over it has one even if
// its watch ended just before.
func TestSuccessorWatchesEndpoints(t *testing.T) {
	for _, lost := range []bool{false, true} {
		dir := t.TempDir()
		predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
		predecessor.scheduler.settings.MustSubscribe = true // a successor has its predecessor's settings
		successor := predecessor.startSuccessor(dir, address)
		if !successor.scheduler.watch.IsOpen() {
			t.Error("the successor has no watch in standby")
		}
		if lost {
			successor.scheduler.watch.Stop()
		}
		// Both reload their configuration, with another discovery address and other limits.
		conf := config.Config{Discovery: netip.MustParseAddrPort("127.0.0.1:8"), Limits: config.Limits{Sockets: 512, MemoryMB: 64}}
		predecessor.scheduler.Reload(conf)
		successor.scheduler.Reload(conf)
		half := successor.scheduler.clients.Limits().Connections
		err := predecessor.handOverTo(successor)
		watch := successor.scheduler.watch
		if err != nil || !watch.IsOpen() || watch.Server() != conf.Discovery || successor.scheduler.clients.Limits().Connections < 2*half {
			t.Errorf("lost %v: %v, watched %v at %v, %d client connections, %d before", lost, err, watch.IsOpen(), watch.Server(),
				successor.scheduler.clients.Limits().Connections, half)
		}
	}
}

// A health check in progress at a hot restart ends without evidence about its worker. The successor's policy took it for being in
// progress until the process ended, and the worker was not checked again.
func TestHealthCheckEndsBeforeTransfer(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	worker := predecessor.workerNumber()
	predecessor.policy.Next = []dispatch.Action{dispatch.HealthCheck{Worker: worker}}
	predecessor.scheduler.Requests.Wake()
	predecessor.runIterations()
	successor := predecessor.startSuccessor(dir, address)
	if err := predecessor.handOverTo(successor); err != nil {
		t.Fatal(err)
	}
	want := dispatch.HealthChecked{Worker: worker, Result: dispatch.NotSent}
	isEnded := slices.ContainsFunc(predecessor.policy.Received, func(event dispatch.Event) bool { return reflect.DeepEqual(event, want) })
	if !isEnded {
		t.Errorf("the policy received %+v before the transfer, expected %+v", predecessor.policy.Received, want)
	}
	check := predecessor.dialed[len(predecessor.dialed)-1]
	if check.Read(1 << 16); !check.Ended {
		t.Error("the connection of the health check is still open")
	}
}

// A health check that the policy starts while it receives the last events before the snapshot ends before the snapshot too.
func TestHealthCheckOfLastStepEndsBeforeTransfer(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	worker := predecessor.workerNumber()
	successor := predecessor.startSuccessor(dir, address)
	predecessor.policy.Next = []dispatch.Action{dispatch.HealthCheck{Worker: worker}}
	predecessor.scheduler.Requests.DiscoveryFailed() // an event, which the policy receives before the transfer
	if err := predecessor.handOverTo(successor); err != nil {
		t.Fatal(err)
	}
	want := dispatch.HealthChecked{Worker: worker, Result: dispatch.NotSent}
	isEnded := slices.ContainsFunc(predecessor.policy.Received, func(event dispatch.Event) bool { return reflect.DeepEqual(event, want) })
	if !isEnded {
		t.Errorf("the policy received %+v before the transfer, expected %+v", predecessor.policy.Received, want)
	}
}

// clockSteps are changes of the wall clock between the starts of two processes.
var clockSteps = []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour}

// If the wall clock is stepped between the starts of two processes, the deadlines and idle times of the transferred state
// remain the same durations from now. An attempt that ends in the last millisecond before the deadline is still answered.
func TestHotRestartAfterClockStep(t *testing.T) {
	for _, step := range clockSteps {
		dir := t.TempDir()
		predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
		_, silentClient := predecessor.socketPair()
		predecessor.scheduler.clients.AddConnection(silentClient, address)
		client := predecessor.sendRequest(address)
		predecessor.policy.Next = []dispatch.Action{dispatch.Send{Job: 1, Worker: predecessor.workerNumber()}}
		predecessor.scheduler.Requests.Wake()
		predecessor.runIterations()
		predecessor.dialed[0].Write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))
		predecessor.runIterations()
		predecessor.now += time.Second
		predecessor.runIterations()
		successor := predecessor.startSuccessorAfterStep(dir, address, step)
		predecessor.scheduler.dispatcher.Step(predecessor.now, nil, nil) // its next maintenance is due in 250 ms
		before := predecessor.agesOfState()
		want := stateAges{4 * time.Second, 4 * time.Second, time.Second, time.Second, time.Second, time.Second}
		if before != want {
			t.Fatalf("before the step: %+v, expected %+v", before, want)
		}
		if err := predecessor.handOverTo(successor); err != nil {
			t.Fatal(err)
		}
		if after := successor.agesOfState(); after != before {
			t.Errorf("stepped by %v: %+v, before %+v", step, after, before)
		}
		early := successor.scheduler.dispatcher.Step(successor.now+249*time.Millisecond, nil, nil)
		onTime := successor.scheduler.dispatcher.Step(successor.now+250*time.Millisecond, nil, nil)
		if len(early) != 0 || len(onTime) != 1 || onTime[0] != (dispatch.SetTimer{After: 250 * time.Millisecond}) {
			t.Errorf("stepped by %v: the dispatcher acted too early or too late: %v, then %v", step, early, onTime)
		}
		successor.now += before.untilDeadline - time.Millisecond
		successor.runIterations()
		if client.Read(1 << 16); len(client.Received) > 0 || client.Ended {
			t.Errorf("stepped by %v: answered before the deadline: %q", step, client.Received)
		}
		result := "made"
		_, _ = successor.scheduler.Requests.HandleCallback(requests.Callback{CallID: "q", EndpointID: "s-0", State: "done", Result: &result})
		successor.runIterations()
		if client.Read(1 << 16); !strings.HasSuffix(string(client.Received), "made") {
			t.Errorf("stepped by %v: the client received %q", step, client.Received)
		}
	}
}

// stateAges contains durations of the transferred state, by the clock of the process that owns it.
type stateAges struct {
	untilDeadline, untilAttemptExpires, sinceArrival, sinceSent, clientSilent, workerIdle time.Duration
}

// agesOfState returns the durations of request 1, of its attempt, of the client that has sent nothing, and of the idle
// connection to the worker.
func (h *harness) agesOfState() stateAges {
	request := h.scheduler.Requests.Request(1)
	attempt := h.scheduler.Requests.InFlightAttempt(1, 0)
	if request == nil || attempt == nil {
		return stateAges{}
	}
	ages := stateAges{
		untilDeadline: request.Deadline - h.now, untilAttemptExpires: attempt.At - h.now,
		sinceArrival: h.now - request.ArrivedAt, sinceSent: h.now - request.FirstSentAt,
	}
	for _, client := range h.scheduler.clients.Snapshot() {
		if !client.RequestSeen {
			ages.clientSilent = h.now - client.LastActivity
		}
	}
	for _, connection := range h.scheduler.workers.Snapshot() {
		if connection.State == hotrestart.WorkerIdle {
			ages.workerIdle = h.now - connection.IdleSince
		}
	}
	return ages
}
