package requests

import (
	"log/slog"
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/steps"
)

// Of two copies that are both done only the first is the client's; the other ends as served and closed.
func TestHedgedRequest_FirstResultIsSent(t *testing.T) {
	module, asker := &steps.Script{}, &countingResponder{}
	carried := &recordingTransport{abandoned: map[*Attempt]bool{}}
	l := New(4, NameTable{}, func() Policy { return module }, EndpointList{Endpoints: []Endpoint{{ID: "s-0", Lifecycle: "up"}, {ID: "s-1", Lifecycle: "up"}}},
		carried, slog.New(slog.DiscardHandler))
	q, err := l.Admit(0, Arrival{CallID: "c", Job: dispatch.Job{Remaining: time.Second}, Responder: asker})
	if err != nil {
		t.Fatal(err)
	}
	module.Next = []dispatch.Action{dispatch.Send{Job: q.ID, Worker: hashID("s-0")}, dispatch.Send{Job: q.ID, Worker: hashID("s-1")}}
	l.Step(1)
	for _, a := range carried.started {
		a.Stage = StageWritten // else it would not run on
	}
	for _, from := range []string{"s-1", "s-0", "s-0"} {
		if _, err := l.HandleCallback(Callback{CallID: "c", EndpointID: from, State: "done", Result: new(string)}); err != nil {
			t.Error(err)
		}
	}
	l.Step(2)
	o, ok := module.Heard[len(module.Heard)-1].(dispatch.Outcome)
	if asker.results != 1 || asker.total() != 1 || !ok || o.Attempt != 0 || o.Result != dispatch.OK || !o.Closed {
		t.Errorf("%d answers, last heard %+v", asker.total(), o)
	}
}

// orderedResponder is an Asker that notes whom it answered.
type orderedResponder struct {
	to   *[]int
	name int
}

func (o orderedResponder) RespondResult([]byte) { *o.to = append(*o.to, o.name) }

func (o orderedResponder) RespondRejected(time.Duration) { o.RespondResult(nil) }

func (o orderedResponder) RespondFailed() { o.RespondResult(nil) }

// Where many queries are answered at once, it is as they came, at every run.
func TestResponses_KeepOrderOfArrival(t *testing.T) {
	for _, end := range []func(l *Table, m *steps.Script){
		func(l *Table, _ *steps.Script) { l.CloseSince(0) },
		func(l *Table, m *steps.Script) { m.Panic = true; l.Step(2) },
	} {
		module, got := &steps.Script{}, []int{}
		l := New(4, NameTable{}, func() Policy { return module }, EndpointList{}, &recordingTransport{}, slog.New(slog.DiscardHandler))
		for i := range 50 {
			if _, err := l.Admit(1, Arrival{CallID: strconv.Itoa(i), Responder: orderedResponder{&got, i}}); err != nil {
				t.Fatal(err)
			}
		}
		if end(l, module); len(got) != 50 || !slices.IsSorted(got) {
			t.Errorf("answered in the order %v", got)
		}
	}
}
