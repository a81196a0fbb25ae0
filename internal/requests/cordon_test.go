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
func (c *cordonModel) step(id string) {
	wasListed := id != "s-3"
	switch c.Pick(6) {
	case 0, 1:
		known, full := c.table.Cordon(id)
		c.Check(known == wasListed && !full, "cordon %s: known %v, full %v", id, known, full)
		if known {
			c.cordoned[id] = true
		}
	case 2:
		c.Check(c.table.Uncordon(id) == wasListed, "uncordon %s", id)
		delete(c.cordoned, id)
	case 3:
		endpoint := Endpoint{ID: "s-1", Lifecycle: "up", StartedAtMs: int64(c.Pick(9))}
		c.table.UpdateEndpoints(EndpointList{Reset: true, Endpoints: []Endpoint{endpoint}})
	case 4:
		c.restartPolicy()
	case 5:
		c.send(id)
	}
	c.Record(id)
	want := slices.Sorted(maps.Keys(c.cordoned))
	c.Check(slices.Equal(c.table.Cordoned(), want), "cordoned are %v, expected %v", c.table.Cordoned(), want)
}

// restartPolicy has the policy panic, and checks that the next one learns of all cordons.
func (c *cordonModel) restartPolicy() {
	c.policy.Panic = true
	c.policy.Received = nil
	c.table.Wake()
	c.table.Step(time.Second)
	c.table.Step(time.Second)
	received := 0
	for _, event := range c.policy.Received {
		if _, isCordon := event.(dispatch.Cordoned); isCordon {
			received++
		}
	}
	c.Check(received == len(c.cordoned), "a new policy learns of %d cordons of %d", received, len(c.cordoned))
}

// send has the policy send a new request to an endpoint, if that is known.
func (c *cordonModel) send(id string) {
	c.admitted++
	arrival := Arrival{CallID: strconv.Itoa(c.admitted), Job: dispatch.Job{Remaining: time.Hour}, Responder: &countingResponder{}}
	request, err := c.table.Admit(time.Second, arrival)
	c.Check(err == nil, "a new call id was rejected: %v", err)
	worker, known := c.table.WorkerNumber(id)
	if !known {
		return
	}
	c.policy.Next = []dispatch.Action{dispatch.Send{Job: request.ID, Worker: worker}}
	c.transport.started = nil
	c.table.Step(time.Second)
	wasSent := len(c.transport.started) == 1
	c.Check(wasSent != c.cordoned[id], "%d sent to %s, cordoned are %v", len(c.transport.started), id, c.cordoned)
}
