package score

import (
	"math"
	"testing"
	"time"

	"valvecove/internal/testbed/trace"
)

// The cause of waste follows from how the client's request ended.
func TestScoreWaste(t *testing.T) {
	ends := map[string]struct {
		end  trace.Event
		late bool // the attempt finishes after the end of the client's request
		of   func(*Waste) float64
	}{
		"repeated":  {trace.Event{Kind: trace.ResponseReceived, Status: 200}, true, func(w *Waste) float64 { return w.Repeated }},
		"too late":  {trace.Event{Kind: trace.ClientTimedOut}, true, func(w *Waste) float64 { return w.TooLate }},
		"left":      {trace.Event{Kind: trace.ClientLeft}, true, func(w *Waste) float64 { return w.ClientLeft }},
		"refused":   {trace.Event{Kind: trace.ResponseReceived, Status: 503}, false, func(w *Waste) float64 { return w.Unused }},
		"cut off":   {trace.Event{Kind: trace.ConnectionLost}, false, func(w *Waste) float64 { return w.Unused }},
		"it served": {trace.Event{Kind: trace.ResponseReceived, Status: 200}, false, func(w *Waste) float64 { return 4 - w.Work }},
	}
	for name, c := range ends {
		s := timedScore{New(spec(60), Options{})}
		s.at(0, trace.Event{Kind: trace.JobDue, JobID: 1, Work: 2, Slots: 2, LatencyObjective: time.Second})
		s.at(0, trace.Event{Kind: trace.RequestSent, JobID: 1, RequestID: "a"})
		run := func(node, at int) {
			s.at(at, trace.Event{Kind: trace.AttemptFinished, RequestID: "a", Worker: node, Status: 200})
		}
		for node := range 2 {
			s.at(1, trace.Event{Kind: trace.AttemptReceived, RequestID: "a", Worker: node})
			s.at(1, trace.Event{Kind: trace.AttemptStarted, RequestID: "a", Worker: node})
		}
		s.at(500, trace.Event{Kind: trace.AttemptDied, RequestID: "a", Worker: 1})
		if !c.late {
			run(0, 900)
		} else if name == "repeated" {
			s.at(501, trace.Event{Kind: trace.AttemptReceived, RequestID: "a", Worker: 2})
			s.at(501, trace.Event{Kind: trace.AttemptStarted, RequestID: "a", Worker: 2})
			run(2, 900)
		}
		c.end.RequestID = "a"
		s.at(1000, c.end)
		s.at(1000, trace.Event{Kind: trace.JobSettled, JobID: 1, Status: c.end.Status})
		if c.late {
			run(0, 2500)
		}
		r := s.Result()
		if got := c.of(&r.Waste); math.Abs(got-4) > 0.999 || math.Abs(r.Waste.Killed-0.998) > 1e-9 {
			t.Errorf("%s: waste %+v", name, r.Waste)
		}
	}
}

// An attempt is no waste if a later request gets its result by deduplication. A request that is sent again on a new
// connection counts once, and a job whose client found no scheduler is unanswered.
func TestScoreRequestsOfOneJob(t *testing.T) {
	s := timedScore{New(spec(60), Options{})}
	s.at(0, trace.Event{Kind: trace.JobDue, JobID: 1, Work: 3, Slots: 1, LatencyObjective: time.Minute})
	for i, call := range []string{"a", "b"} {
		s.at(i*1000, trace.Event{Kind: trace.RequestSent, JobID: 1, RequestID: call})
		s.at(i*1000, trace.Event{Kind: trace.ConnectionLost, RequestID: call})
		s.at(i*1000, trace.Event{Kind: trace.RequestSent, JobID: 1, RequestID: call})
		s.at(i*1000, trace.Event{Kind: trace.AttemptReceived, RequestID: call, Worker: i})
		s.at(i*1000, trace.Event{Kind: trace.AttemptStarted, RequestID: call, Worker: i, Text: []string{"", "repeat"}[i]})
		if i == 0 {
			s.at(500, trace.Event{Kind: trace.ClientTimedOut, RequestID: call})
		}
	}
	s.at(1500, trace.Event{Kind: trace.AttemptFinished, RequestID: "a", Worker: 0, Status: 200})
	if w := s.Result().Waste; w.TooLate != 3 {
		t.Errorf("before the response: waste %+v, want 3 s too late", w)
	}
	s.at(1600, trace.Event{Kind: trace.AttemptFinished, RequestID: "b", Worker: 1, Status: 200})
	s.at(1600, trace.Event{Kind: trace.ResponseReceived, RequestID: "b", Status: 200})
	s.at(1600, trace.Event{Kind: trace.JobSettled, JobID: 1, Status: 200})
	s.at(2000, trace.Event{Kind: trace.JobDue, JobID: 2, Work: 3, Slots: 1, LatencyObjective: time.Minute})
	s.at(2000, trace.Event{Kind: trace.SchedulerUnreachable, JobID: 2, RequestID: "c"})
	s.at(2000, trace.Event{Kind: trace.JobSettled, JobID: 2})
	r := s.Result()
	if r.Waste.Work != 0 || r.Effort.WorkUseful != 3 || r.Effort.DuplicatesDropped != 1 || r.Fleet.Workers[1].Use != 0 {
		t.Errorf("waste %+v, effort %+v", r.Waste, r.Effort)
	}
	if r.Effort.Requests != 2 || r.Effort.Resent != 2 || r.Effort.RequestsUnreached != 1 || r.Whole.Outcomes[OutcomeInTime] != 1 ||
		r.Whole.Outcomes[OutcomeUnanswered] != 1 {
		t.Errorf("effort %+v, outcomes %v", r.Effort, r.Whole.Outcomes)
	}
}
