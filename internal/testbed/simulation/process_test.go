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
func (b *harness) sendRequest(n int, budget time.Duration) []simapi.Output {
	return b.step(simapi.Input{Message: simapi.RequestReceived{
		Conn: simapi.Conn(n), Request: &simapi.ClientRequest{RequestID: fmt.Sprint("c", n), Budget: budget},
	}})
}

// until runs every iteration that is due until end, and returns the outputs.
func (b *harness) until(end time.Duration) (all []simapi.Output) {
	for {
		at, ok := b.s.Next()
		if !ok || at > end {
			b.now = end
			return all
		}
		b.now = max(b.now, at)
		all = append(all, b.step()...)
	}
}

// messagesOf returns the outputs of the types of some messages, in a short form.
func messagesOf(outs []simapi.Output, types ...simapi.OutputMessage) (all []string) {
	for _, o := range outs {
		if slices.ContainsFunc(types, func(m simapi.OutputMessage) bool { return reflect.TypeOf(m) == reflect.TypeOf(o.Message) }) {
			all = append(all, line(o.Message))
		}
	}
	return all
}

// line is a message in a short form: its type, and what a response or an exit says.
func line(message simapi.OutputMessage) string {
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
		t.Errorf("%s: %v, expected %v", what, got, want)
	}
}

const (
	sec = time.Second
	ms  = time.Millisecond
)

// TestDrain checks the steps of a shutdown. The longest deadline counts as 3 s, so SIGKILL is due 3.7 s after SIGTERM.
func TestDrain(t *testing.T) {
	b := newHarness(t, nil)
	expect(t, "start", messagesOf(b.start(), simapi.Ready{}), line(simapi.Ready{}))
	b.now = sec
	b.sendRequest(1, 12*sec)
	b.act(dispatch.Send{Job: 1, Worker: endpointNumber("w-0")})
	b.sendRequest(5, 12*sec)
	expect(t, "SIGTERM", messagesOf(b.step(simapi.Input{Message: simapi.Terminate{}}), simapi.Unready{}), line(simapi.Unready{}))
	b.step(simapi.Input{Message: simapi.RequestReceived{Conn: 9, Request: &simapi.ClientRequest{RequestID: "c9", Budget: ms}}})
	expect(t, "an answer", messagesOf(b.act(dispatch.Fail{Job: 3}), simapi.ResponseWritten{}, simapi.ClientConnClosed{}),
		line(simapi.ResponseWritten{RequestID: "c9", Status: 500}))
	b.now = 2 * sec
	b.sendRequest(2, 12*sec)
	b.step(simapi.Input{Message: simapi.Terminate{}}) // a second one changes nothing
	expect(t, "connections between requests", messagesOf(b.until(sec+2800*ms), simapi.ClientConnClosed{}, simapi.ResponseWritten{}), line(simapi.ClientConnClosed{}))
	expect(t, "a late request", messagesOf(b.sendRequest(3, 12*sec), simapi.ResponseWritten{}, simapi.ClientConnClosed{}),
		line(simapi.ResponseWritten{RequestID: "c3", Status: 503}),
		line(simapi.ClientConnClosed{}))
	// What came later than 0.7 s after SIGTERM is answered, and so is what was never sent; what is out has a moment more.
	expect(t, "until the last words", messagesOf(b.until(sec+3399*ms), simapi.ResponseWritten{}, simapi.Exited{}))
	expect(t, "last words", messagesOf(b.until(sec+3400*ms), simapi.ResponseWritten{}),
		line(simapi.ResponseWritten{RequestID: "c2", Status: 503}), line(simapi.ResponseWritten{RequestID: "c5", Status: 503}))
	expect(t, "until the last of all", messagesOf(b.until(sec+3549*ms), simapi.ResponseWritten{}, simapi.Exited{}))
	expect(t, "the last of all", messagesOf(b.until(sec+3550*ms), simapi.ResponseWritten{}, simapi.ClientConnClosed{}),
		line(simapi.ResponseWritten{RequestID: "c1", Status: 500}), line(simapi.ClientConnClosed{}))
	expect(t, "until the end", messagesOf(b.until(sec+3699*ms), simapi.ResponseWritten{}, simapi.Exited{}))
	expect(t, "the end", messagesOf(b.until(sec+3700*ms), simapi.ResponseWritten{}, simapi.ClientConnClosed{}, simapi.Exited{}), line(simapi.Exited{}))
	if _, ok := b.s.Next(); ok || len(b.sendRequest(4, sec)) > 0 {
		t.Error("one that has exited still acts")
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
	if _, ok := b.s.Next(); ok || len(b.until(3*sec)) > 0 {
		t.Error("a frozen process acts")
	}
	b.script.Received = nil
	outs := b.step(simapi.Input{Message: simapi.Resume{}})
	late := slices.ContainsFunc(b.script.Received, func(e dispatch.Event) bool {
		o, ok := e.(dispatch.Outcome)
		return ok && o.Result == dispatch.TimedOut
	})
	if !late || len(messagesOf(outs, simapi.WorkerConnClosed{})) != 1 {
		t.Errorf("heard %v, and did %v", b.script.Received, outs)
	}
	if q := b.script.Received[0].(dispatch.Job); q.ID != 2 {
		t.Errorf("first of what waited: %+v", q)
	}
}

// TestKill checks that a killed process loses its state, and that the next one continues the connection numbers.
func TestKill(t *testing.T) {
	b := newHarness(t, nil)
	b.start()
	probe := func() simapi.Conn {
		dialed, _ := b.act(dispatch.HealthCheck{Worker: endpointNumber("w-1")})[0].Message.(simapi.WorkerDialed)
		return dialed.Conn
	}
	first := probe()
	b.sendRequest(1, sec)
	b.step(simapi.Input{Message: simapi.Freeze{}})
	if outs := b.step(simapi.Input{Message: simapi.Kill{}}); len(outs) > 0 || b.s.process != nil {
		t.Errorf("a killed process said %v", outs)
	}
	if len(b.until(5*sec)) > 0 || len(b.sendRequest(2, sec)) > 0 {
		t.Error("a killed process acts")
	}
	b.script.Received = nil
	b.start()
	if second := probe(); second == first || !second.IsWorkerConn() {
		t.Errorf("connection %x after %x", second, first)
	}
	list, ok := b.script.Received[0].(dispatch.WorkerList)
	if !ok || list.Kind != dispatch.ListCached || len(list.Workers) != harnessWorkers {
		t.Errorf("first heard: %+v", b.script.Received[0])
	}
}

// TestReload checks that a new discovery is asked for a snapshot, and that the old endpoint list stays until it arrives.
func TestReload(t *testing.T) {
	b := newHarness(t, nil)
	b.start()
	if outs := b.act(dispatch.Subscribe{}); len(outs) != 1 || outs[0].Message != (simapi.WatchRequested{Revision: 7}) {
		t.Errorf("watching: %+v", outs)
	}
	if outs := b.step(simapi.Input{Message: simapi.Reload{}}); len(outs) > 0 {
		t.Errorf("the same discovery: %+v", outs)
	}
	outs := b.step(simapi.Input{Message: simapi.Reload{Discovery: 1}})
	if len(outs) != 1 || outs[0].Message != (simapi.WatchRequested{}) {
		t.Errorf("another discovery: %+v", outs)
	}
	b.script.Received = nil
	b.step(simapi.Input{Message: simapi.ListReceived{List: &requests.EndpointList{Revision: 3, Reset: true}}})
	outs = b.step(simapi.Input{Message: simapi.WatchEnded{}})
	if len(b.script.Received) != 2 || b.script.Received[1].(dispatch.WorkerList).Kind != dispatch.ListUnavailable || len(outs) > 0 {
		t.Errorf("heard %+v", b.script.Received)
	}
	b.script.Received = nil
	if b.step(simapi.Input{Message: simapi.WatchEnded{}}); len(b.script.Received) > 0 {
		t.Errorf("no watch, and lost: %+v", b.script.Received)
	}
	// A call that does not come up is given up soon, and one that nobody answers later.
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
		b.until(b.now + c.span - 1)
		early := len(b.script.Received)
		if b.until(b.now + 1); early != 0 || len(b.script.Received) != 1 {
			t.Errorf("after %v: %d too early, then %+v", c.ins, early, b.script.Received)
		}
	}
}

// TestReady checks that /up reports whether there is a worker to send a request to.
func TestReady(t *testing.T) {
	b := newHarness(t, nil)
	b.start()
	b.act(dispatch.Subscribe{})
	list := func(state string) []simapi.Output {
		return b.step(simapi.Input{Message: simapi.ListReceived{List: &requests.EndpointList{
			Revision: 8, Reset: true, Endpoints: []requests.Endpoint{{ID: "w-0", Lifecycle: state}},
		}}})
	}
	expect(t, "all drain", messagesOf(list("draining"), simapi.Ready{}, simapi.Unready{}), line(simapi.Unready{}))
	expect(t, "one is back", messagesOf(list("up"), simapi.Ready{}, simapi.Unready{}), line(simapi.Ready{}))
}

// TestLimits checks that a request over the limit is rejected at once, with a Retry-After, and that a connection over the
// limit closes the one that has been idle longest.
func TestLimits(t *testing.T) {
	b := newHarness(t, func(spec *scenario.Scenario) { spec.Schedulers.Sockets = 24 + 48 }) // 40 client links, 32 requests
	b.start()
	for n := 1; n <= 32; n++ {
		if outs := b.sendRequest(n, 5*sec); len(outs) > 0 {
			t.Fatalf("request %d: %v", n, outs)
		}
	}
	for n := 33; n <= 40; n++ {
		outs := b.sendRequest(n, 5*sec)
		expect(t, "one too many", messagesOf(outs, simapi.ResponseWritten{}, simapi.ClientConnClosed{}), line(simapi.ResponseWritten{RequestID: fmt.Sprint("c", n), Status: 503}))
		if rejected, _ := outs[0].Message.(simapi.ResponseWritten); rejected.RetryAfter != fullRetryAfter {
			t.Errorf("come back after %v", rejected.RetryAfter)
		}
	}
	b.sendRequest(33, 5*sec) // it has been used last
	outs := b.sendRequest(41, 5*sec)
	if len(outs) != 2 || outs[0].Message != (simapi.ClientConnClosed{Conn: 34}) {
		t.Errorf("a connection too many: %+v", outs)
	}
	b.step(simapi.Input{Message: simapi.ClientClosed{Conn: 1}})
	if outs := b.sendRequest(42, 5*sec); len(messagesOf(outs, simapi.ResponseWritten{})) > 0 {
		t.Errorf("with room again: %+v", outs)
	}
}
