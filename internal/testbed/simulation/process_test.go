package simulation

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// sendRequest sends a client's request on a connection of its own.
func (h *harness) sendRequest(n int, budget time.Duration) []simapi.Output {
	return h.step(simapi.Input{Message: simapi.RequestReceived{
		Conn: simapi.Conn(n), Request: &simapi.ClientRequest{RequestID: fmt.Sprint("c", n), Budget: budget},
	}})
}

// runUntil runs all iterations that are due by end, and returns their outputs.
func (h *harness) runUntil(end time.Duration) (all []simapi.Output) {
	for {
		at, ok := h.scheduler.Next()
		if !ok || at > end {
			h.now = end
			return all
		}
		h.now = max(h.now, at)
		all = append(all, h.step()...)
	}
}

// messagesOf returns the outputs that have the types of the given messages, in a short form.
func messagesOf(outs []simapi.Output, types ...simapi.OutputMessage) (all []string) {
	for _, o := range outs {
		if slices.ContainsFunc(types, func(m simapi.OutputMessage) bool { return reflect.TypeOf(m) == reflect.TypeOf(o.Message) }) {
			all = append(all, describe(o.Message))
		}
	}
	return all
}

// describe returns a message in a short form: its type, and the status of a response or an exit.
func describe(message simapi.OutputMessage) string {
	switch m := message.(type) {
	case simapi.ResponseWritten:
		return fmt.Sprintf("%T:%s:%d", m, m.RequestID, m.Status)
	case simapi.Exited:
		return fmt.Sprintf("%T:%d", m, m.Status)
	}
	return fmt.Sprintf("%T", message)
}

func expect(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

const (
	sec = time.Second
	ms  = time.Millisecond
)

// TestDrain checks the steps of a shutdown. The longest deadline counts as 3 s, so SIGKILL is due 3.7 s after SIGTERM.
func TestDrain(t *testing.T) {
	b := newHarness(t, nil)
	expect(t, "start", messagesOf(b.start(), simapi.Ready{}), describe(simapi.Ready{}))
	b.now = sec
	b.sendRequest(1, 12*sec)
	b.act(dispatch.Send{Job: 1, Worker: endpointNumber("w-0")})
	b.sendRequest(5, 12*sec)
	expect(t, "SIGTERM", messagesOf(b.step(simapi.Input{Message: simapi.Terminate{}}), simapi.Unready{}), describe(simapi.Unready{}))
	b.step(simapi.Input{Message: simapi.RequestReceived{Conn: 9, Request: &simapi.ClientRequest{RequestID: "c9", Budget: ms}}})
	expect(t, "a response after SIGTERM", messagesOf(b.act(dispatch.Fail{Job: 3}), simapi.ResponseWritten{}, simapi.ClientConnClosed{}),
		describe(simapi.ResponseWritten{RequestID: "c9", Status: 500}))
	b.now = 2 * sec
	b.sendRequest(2, 12*sec)
	b.step(simapi.Input{Message: simapi.Terminate{}}) // a second SIGTERM changes nothing
	expect(t, "idle connections", messagesOf(b.runUntil(sec+2800*ms), simapi.ClientConnClosed{}, simapi.ResponseWritten{}), describe(simapi.ClientConnClosed{}))
	expect(t, "a request after the end of admission", messagesOf(b.sendRequest(3, 12*sec), simapi.ResponseWritten{}, simapi.ClientConnClosed{}),
		describe(simapi.ResponseWritten{RequestID: "c3", Status: 503}),
		describe(simapi.ClientConnClosed{}))
	// 0.3 s before SIGKILL is due, requests that arrived later than 0.7 s after SIGTERM and requests without an attempt are
	// answered. Requests with an attempt in flight have 0.15 s more.
	expect(t, "before the flush", messagesOf(b.runUntil(sec+3399*ms), simapi.ResponseWritten{}, simapi.Exited{}))
	expect(t, "the flush", messagesOf(b.runUntil(sec+3400*ms), simapi.ResponseWritten{}),
		describe(simapi.ResponseWritten{RequestID: "c2", Status: 503}), describe(simapi.ResponseWritten{RequestID: "c5", Status: 503}))
	expect(t, "before the final flush", messagesOf(b.runUntil(sec+3549*ms), simapi.ResponseWritten{}, simapi.Exited{}))
	expect(t, "the final flush", messagesOf(b.runUntil(sec+3550*ms), simapi.ResponseWritten{}, simapi.ClientConnClosed{}),
		describe(simapi.ResponseWritten{RequestID: "c1", Status: 500}), describe(simapi.ClientConnClosed{}))
	expect(t, "before the exit", messagesOf(b.runUntil(sec+3699*ms), simapi.ResponseWritten{}, simapi.Exited{}))
	expect(t, "the exit", messagesOf(b.runUntil(sec+3700*ms), simapi.ResponseWritten{}, simapi.ClientConnClosed{}, simapi.Exited{}), describe(simapi.Exited{}))
	if _, ok := b.scheduler.Next(); ok || len(b.sendRequest(4, sec)) > 0 {
		t.Error("a process that has exited still acts")
	}
}

// TestFreeze checks that a frozen process does nothing, and that it processes the inputs and timers of that time once it
// is resumed.
func TestFreeze(t *testing.T) {
	b := newHarness(t, nil)
	b.start()
	b.sendRequest(1, sec)
	b.act(dispatch.Send{Job: 1, Worker: endpointNumber("w-0")})
	b.step(simapi.Input{Message: simapi.Freeze{}})
	b.step(simapi.Input{Message: simapi.WorkerConnected{Conn: b.openConns[0].conn}})
	b.sendRequest(2, sec)
	if _, ok := b.scheduler.Next(); ok || len(b.runUntil(3*sec)) > 0 {
		t.Error("a frozen process acts")
	}
	b.script.Received = nil
	outs := b.step(simapi.Input{Message: simapi.Resume{}})
	late := slices.ContainsFunc(b.script.Received, func(e dispatch.Event) bool {
		o, ok := e.(dispatch.Outcome)
		return ok && o.Result == dispatch.TimedOut
	})
	if !late || len(messagesOf(outs, simapi.WorkerConnClosed{})) != 1 {
		t.Errorf("received %v, output %v", b.script.Received, outs)
	}
	if q := b.script.Received[0].(dispatch.Job); q.ID != 2 {
		t.Errorf("first event after the freeze: %+v", q)
	}
}

// TestKill checks that a killed process loses its state, and that the next one continues the connection numbers.
func TestKill(t *testing.T) {
	b := newHarness(t, nil)
	b.start()
	checkHealth := func() simapi.Conn {
		dialed, _ := b.act(dispatch.HealthCheck{Worker: endpointNumber("w-1")})[0].Message.(simapi.WorkerDialed)
		return dialed.Conn
	}
	first := checkHealth()
	b.sendRequest(1, sec)
	b.step(simapi.Input{Message: simapi.Freeze{}})
	if outs := b.step(simapi.Input{Message: simapi.Kill{}}); len(outs) > 0 || b.scheduler.process != nil {
		t.Errorf("outputs of a killed process: %v", outs)
	}
	if len(b.runUntil(5*sec)) > 0 || len(b.sendRequest(2, sec)) > 0 {
		t.Error("a killed process acts")
	}
	b.script.Received = nil
	b.start()
	if second := checkHealth(); second == first || !second.IsWorkerConn() {
		t.Errorf("connection %x after %x", second, first)
	}
	list, ok := b.script.Received[0].(dispatch.WorkerList)
	if !ok || list.Kind != dispatch.ListCached || len(list.Workers) != harnessWorkers {
		t.Errorf("first event: %+v", b.script.Received[0])
	}
}

// TestReload checks that a new discovery is asked for a snapshot, and that the old endpoint list stays until it arrives.
func TestReload(t *testing.T) {
	b := newHarness(t, nil)
	b.start()
	if outs := b.act(dispatch.Subscribe{}); len(outs) != 1 || outs[0].Message != (simapi.WatchRequested{Revision: 7}) {
		t.Errorf("subscribed: %+v", outs)
	}
	if outs := b.step(simapi.Input{Message: simapi.Reload{}}); len(outs) > 0 {
		t.Errorf("reload with the same discovery: %+v", outs)
	}
	outs := b.step(simapi.Input{Message: simapi.Reload{Discovery: 1}})
	if len(outs) != 1 || outs[0].Message != (simapi.WatchRequested{}) {
		t.Errorf("reload with another discovery: %+v", outs)
	}
	b.script.Received = nil
	b.step(simapi.Input{Message: simapi.ListReceived{List: &requests.EndpointList{Revision: 3, Reset: true}}})
	outs = b.step(simapi.Input{Message: simapi.WatchEnded{}})
	if len(b.script.Received) != 2 || b.script.Received[1].(dispatch.WorkerList).Kind != dispatch.ListUnavailable || len(outs) > 0 {
		t.Errorf("received %+v", b.script.Received)
	}
	b.script.Received = nil
	if b.step(simapi.Input{Message: simapi.WatchEnded{}}); len(b.script.Received) > 0 {
		t.Errorf("the end of a watch without one: %+v", b.script.Received)
	}
	// A watch whose connection is not established counts as lost sooner than one without a line.
	for _, c := range []struct {
		ins  []simapi.Input
		span time.Duration
	}{
		{nil, readyCheckTimeout},
		{[]simapi.Input{{Message: simapi.WatchConnected{}}}, firstLineTimeout},
		{[]simapi.Input{{Message: simapi.WatchConnected{}}, {Message: simapi.WatchHeartbeat{}}}, nextLineTimeout},
	} {
		b.act(dispatch.Subscribe{})
		b.step(c.ins...)
		b.script.Received = nil
		b.runUntil(b.now + c.span - 1)
		early := len(b.script.Received)
		if b.runUntil(b.now + 1); early != 0 || len(b.script.Received) != 1 {
			t.Errorf("after %v: %d events too early, then %+v", c.ins, early, b.script.Received)
		}
	}
}

// TestReady checks that /up reports whether there is a worker that can receive a request.
func TestReady(t *testing.T) {
	b := newHarness(t, nil)
	b.start()
	b.act(dispatch.Subscribe{})
	list := func(state string) []simapi.Output {
		return b.step(simapi.Input{Message: simapi.ListReceived{List: &requests.EndpointList{
			Revision: 8, Reset: true, Endpoints: []requests.Endpoint{{ID: "w-0", Lifecycle: state}},
		}}})
	}
	expect(t, "all workers drain", messagesOf(list("draining"), simapi.Ready{}, simapi.Unready{}), describe(simapi.Unready{}))
	expect(t, "one worker is up again", messagesOf(list("up"), simapi.Ready{}, simapi.Unready{}), describe(simapi.Ready{}))
}

// TestLimits checks that a request over the limit is rejected at once, with a Retry-After, and that a connection over the
// limit closes the one that has been idle longest.
func TestLimits(t *testing.T) {
	b := newHarness(t, func(spec *scenario.Scenario) { spec.Schedulers.Sockets = 24 + 48 }) // 40 client connections, 32 requests
	b.start()
	for n := 1; n <= 32; n++ {
		if outs := b.sendRequest(n, 5*sec); len(outs) > 0 {
			t.Fatalf("request %d: %v", n, outs)
		}
	}
	for n := 33; n <= 40; n++ {
		outs := b.sendRequest(n, 5*sec)
		expect(t, "a request over the limit", messagesOf(outs, simapi.ResponseWritten{}, simapi.ClientConnClosed{}), describe(simapi.ResponseWritten{RequestID: fmt.Sprint("c", n), Status: 503}))
		if rejected, _ := outs[0].Message.(simapi.ResponseWritten); rejected.RetryAfter != fullRetryAfter {
			t.Errorf("Retry-After is %v", rejected.RetryAfter)
		}
	}
	b.sendRequest(33, 5*sec) // makes it the most recently used connection
	outs := b.sendRequest(41, 5*sec)
	if len(outs) != 2 || outs[0].Message != (simapi.ClientConnClosed{Conn: 34}) {
		t.Errorf("a connection over the limit: %+v", outs)
	}
	b.step(simapi.Input{Message: simapi.ClientClosed{Conn: 1}})
	if outs := b.sendRequest(42, 5*sec); len(messagesOf(outs, simapi.ResponseWritten{})) > 0 {
		t.Errorf("a request below the limit again: %+v", outs)
	}
}
