package requests

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// A cordon is of an id and not counted; it holds for an endpoint that the list does not name now, and for a policy that
// starts anew. Nothing is sent against one, even if the policy wants it.
func FuzzCordons(f *testing.F) { modeltest.Fuzz(f, runCordonModel) }

// cordonModel puts the cordons of a table through random steps. The endpoints s-0 to s-2 were listed, s-3 never was.
type cordonModel struct {
	*modeltest.Steps
	policy    *modeltest.ScriptedPolicy
	transport *recordingTransport
	table     *Table
	cordoned  map[string]bool
	admitted  int
}

func runCordonModel(s *modeltest.Steps) {
	m := &cordonModel{Steps: s, policy: &modeltest.ScriptedPolicy{}, transport: newRecordingTransport(), cordoned: map[string]bool{}}
	m.table = newTestTable(m.policy, 3, m.transport)
	for s.More() {
		m.step("s-" + strconv.Itoa(s.Pick(4)))
	}
}

// step takes one random step with an endpoint.
func (m *cordonModel) step(id string) {
	wasListed := id != "s-3"
	switch m.Pick(6) {
	case 0, 1:
		known, full := m.table.Cordon(id)
		m.Check(known == wasListed && !full, "cordon %s: known %v, full %v", id, known, full)
		if known {
			m.cordoned[id] = true
		}
	case 2:
		m.Check(m.table.Uncordon(id) == wasListed, "uncordon %s", id)
		delete(m.cordoned, id)
	case 3:
		endpoint := Endpoint{ID: "s-1", Lifecycle: "up", StartedAtMs: int64(m.Pick(9))}
		m.table.UpdateEndpoints(EndpointList{Reset: true, Endpoints: []Endpoint{endpoint}})
	case 4:
		m.restartPolicy()
	case 5:
		m.send(id)
	}
	m.Record(id)
	want := slices.Sorted(maps.Keys(m.cordoned))
	m.Check(slices.Equal(m.table.Cordoned(), want), "cordoned are %v, expected %v", m.table.Cordoned(), want)
}

// restartPolicy has the policy panic, and checks that the next one learns of all cordons.
func (m *cordonModel) restartPolicy() {
	m.policy.Panic = true
	m.policy.Received = nil
	m.table.Wake()
	m.table.Step(time.Second)
	m.table.Step(time.Second)
	received := 0
	for _, event := range m.policy.Received {
		if _, isCordon := event.(dispatch.Cordoned); isCordon {
			received++
		}
	}
	m.Check(received == len(m.cordoned), "a new policy learns of %d cordons of %d", received, len(m.cordoned))
}

// send has the policy send a new request to an endpoint, if that is known.
func (m *cordonModel) send(id string) {
	m.admitted++
	arrival := Arrival{CallID: strconv.Itoa(m.admitted), Job: dispatch.Job{Remaining: time.Hour}, Responder: &countingResponder{}}
	request, err := m.table.Admit(time.Second, arrival)
	m.Check(err == nil, "a new call id was rejected: %v", err)
	worker, known := m.table.WorkerNumber(id)
	if !known {
		return
	}
	m.policy.Next = []dispatch.Action{dispatch.Send{Job: request.ID, Worker: worker}}
	m.transport.started = nil
	m.table.Step(time.Second)
	wasSent := len(m.transport.started) == 1
	m.Check(wasSent != m.cordoned[id], "%d sent to %s, cordoned are %v", len(m.transport.started), id, m.cordoned)
}
