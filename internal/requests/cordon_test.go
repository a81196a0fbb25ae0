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

// A cordon belongs to an endpoint ID, and is not counted. It outlasts the endpoint's removal from the list and a restart of the
// policy. No attempt is started at a cordoned endpoint, even if the policy sends one.
func FuzzCordons(f *testing.F) { modeltest.Fuzz(f, runCordonModel) }

// cordonModel checks the cordons of a table against a set of IDs in random steps. The endpoints s-0 to s-2 were listed, s-3 was
// not.
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

// step makes one random step with an endpoint.
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
	c.Check(slices.Equal(c.table.Cordoned(), want), "cordoned: %v, expected %v", c.table.Cordoned(), want)
}

// restartPolicy makes the policy panic, and checks that the new one receives all cordons.
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
	c.Check(received == len(c.cordoned), "a new policy received %d of %d cordons", received, len(c.cordoned))
}

// send admits a request, and makes the policy send it to an endpoint if that is known.
func (c *cordonModel) send(id string) {
	c.admitted++
	arrival := Arrival{CallID: strconv.Itoa(c.admitted), Job: dispatch.Job{Remaining: time.Hour}, Responder: &countingResponder{}}
	request, err := c.table.Admit(time.Second, arrival)
	c.Check(err == nil, "a new call ID was rejected: %v", err)
	worker, known := c.table.WorkerNumber(id)
	if !known {
		return
	}
	c.policy.Next = []dispatch.Action{dispatch.Send{Job: request.ID, Worker: worker}}
	c.transport.started = nil
	c.table.Step(time.Second)
	wasSent := len(c.transport.started) == 1
	c.Check(wasSent != c.cordoned[id], "%d attempts at %s, cordoned: %v", len(c.transport.started), id, c.cordoned)
}
