package requests

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// If both attempts of a hedged request are served, the client gets the first result only. The other attempt ends with
// dispatch.OK and Closed.
func TestHedgedRequestFirstResultIsSent(t *testing.T) {
	policy, responder, transport := &modeltest.ScriptedPolicy{}, &countingResponder{}, newRecordingTransport()
	table := newTestTable(policy, 2, transport)
	request := admit(t, table, "c", responder)
	policy.Next = []dispatch.Action{
		dispatch.Send{Job: request.ID, Worker: hashID("s-0")},
		dispatch.Send{Job: request.ID, Worker: hashID("s-1")},
	}
	table.Step(1)
	for _, attempt := range transport.started {
		attempt.Stage = StageWritten // else it would be abandoned
	}
	for _, endpoint := range []string{"s-1", "s-0", "s-0"} {
		callback := Callback{CallID: "c", EndpointID: endpoint, State: CallbackDone, Result: new(string)}
		if _, err := table.HandleCallback(callback); err != nil {
			t.Error(err)
		}
	}
	table.Step(2)
	outcome, ok := policy.Received[len(policy.Received)-1].(dispatch.Outcome)
	if !ok || outcome.Attempt != 0 || outcome.Result != dispatch.OK || !outcome.Closed {
		t.Errorf("last event: %+v, expected the outcome of attempt 0, OK and closed", outcome)
	}
	if responder.results != 1 || responder.total() != 1 {
		t.Errorf("%d results of %d responses, expected 1 of 1", responder.results, responder.total())
	}
}

// orderedResponder adds its number to a list when it is called.
type orderedResponder struct {
	responded *[]int
	number    int
}

func (o orderedResponder) RespondResult([]byte)          { *o.responded = append(*o.responded, o.number) }
func (o orderedResponder) RespondRejected(time.Duration) { o.RespondResult(nil) }
func (o orderedResponder) RespondFailed()                { o.RespondResult(nil) }

// Requests that are closed together get their responses in order of arrival, and not in the random order of a map.
func TestBulkResponsesAreInOrderOfArrival(t *testing.T) {
	for name, closeAll := range map[string]func(table *Table, policy *modeltest.ScriptedPolicy){
		"end of process": func(table *Table, _ *modeltest.ScriptedPolicy) { table.CloseSince(0) },
		"policy panic": func(table *Table, policy *modeltest.ScriptedPolicy) {
			policy.Panic = true
			table.Step(2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			policy, responded := &modeltest.ScriptedPolicy{}, []int{}
			table := newTestTable(policy, 0, newRecordingTransport())
			for number := range 50 {
				admit(t, table, strconv.Itoa(number), orderedResponder{&responded, number})
			}
			closeAll(table, policy)
			if len(responded) != 50 || !slices.IsSorted(responded) {
				t.Errorf("responded in the order %v, expected 50 responses in order of arrival", responded)
			}
		})
	}
}
