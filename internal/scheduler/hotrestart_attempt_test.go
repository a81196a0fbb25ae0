package scheduler

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
)

// A process that takes over a partly written attempt does not know its write deadline: it writes the rest immediately, or never.
func TestPartlyWrittenAttemptAfterHotRestart(t *testing.T) {
	for _, late := range []time.Duration{0, smallWriteTimeout + 1} {
		s, dir := &modeltest.Steps{T: t}, t.TempDir()
		base, at := newPredecessorHarness(s, dir)
		h := &attemptHarness{harness: base}
		h.sendAttempt(http1.MaxBodySize)
		next := h.startSuccessor(dir, at)
		if err := h.handOverTo(next); err != nil {
			t.Fatal(err)
		}
		next.now += late
		p := h.dialed[len(h.dialed)-1]
		for range 64 {
			p.Read(1 << 20)
			next.runIterations()
		}
		var m http1.Request
		if _, err := m.Parse(p.Received); (err == nil) != (late == 0) {
			t.Errorf("%v after the take-over: parsing the attempt returned %v", late, err)
		}
	}
}

// A DELETE that waits for its connection when the process is replaced is sent by the successor.
func TestCancelSurvivesHotRestart(t *testing.T) {
	s := &modeltest.Steps{T: t}
	dir := t.TempDir()
	base, at := newPredecessorHarness(s, dir)
	h := &attemptHarness{harness: base}
	q := h.sendAcceptedAttempt()
	h.delayConnections()
	h.runActions(dispatch.Cancel{Job: q.ID})
	next := &attemptHarness{harness: h.startSuccessor(dir, at)}
	if err := h.handOverTo(next.harness); err != nil {
		t.Fatal(err)
	}
	next.runIterations()
	if p := next.dialed[len(next.dialed)-1]; !p.hasReceivedDelete(q) {
		t.Errorf("the worker received %q, expected a DELETE", p.Received)
	}
	next.expectOutcomes("not answered yet", q)
	next.respondDelete(next.dialed[len(next.dialed)-1])
	next.expectOutcomes("answered", q, dispatch.Cancelled)
}
