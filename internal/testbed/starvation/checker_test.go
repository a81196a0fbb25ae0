package starvation

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// kindsByVerb has the kinds of events by their names in histories.
var kindsByVerb = map[string]trace.Kind{
	"due": trace.JobDue, "settled": trace.JobSettled,
	"request": trace.RequestSent, "response": trace.ResponseReceived, "request-lost": trace.ConnectionLost,
	"attempt": trace.AttemptSent, "received": trace.AttemptReceived, "rejected": trace.AttemptRejected,
	"start": trace.AttemptStarted, "finish": trace.AttemptFinished, "returned": trace.AttemptReturned, "died": trace.AttemptDied,
	"cancelled": trace.AttemptCancelled, "unread": trace.AttemptUnread,
	"callback": trace.CallbackAnswered, "callback-lost": trace.CallbackLost,
	"dialed": trace.WorkerDialed, "connected": trace.WorkerConnected,
	"fault": trace.WorkerFaultStarted, "fault-end": trace.WorkerFaultEnded, "worker-present": trace.WorkerPresent,
	"worker-started": trace.WorkerStarted, "worker-stopped": trace.WorkerStopped, "worker-draining": trace.WorkerDraining,
	"worker-hung": trace.WorkerHung, "drain-notified": trace.DrainNotified, "start-notified": trace.StartNotified,
	"scheduler-started": trace.SchedulerStarted, "scheduler-terminated": trace.SchedulerTerminated,
	"scheduler-killed": trace.SchedulerKilled, "scheduler-frozen": trace.SchedulerFrozen, "scheduler-resumed": trace.SchedulerResumed,
}

// newSpec returns a scenario of four workers of four slots in cells of two, the first and the third of them "std-4c", the
// others "slow-4c", and of classes that are idempotent, idempotent with a key by cell, non-idempotent, and bound to "slow-4c".
func newSpec() *scenario.Scenario {
	spec := scenario.Default()
	spec.Fleet.Workers = 4
	spec.Fleet.CellSize = 2
	for i, name := range []string{"safe", "keyed", "unsafe", "safe"} {
		class := &spec.Classes[i]
		class.Idempotency = name
		class.DeduplicationScope = "cell"
		class.ObjectiveStretch = 2
	}
	spec.Classes[3].Kind = "slow-4c"
	spec.Load.Hints = "exact"
	return spec
}

// setup begins each history: all workers are present and one scheduler starts.
const setup = "0 scheduler-started;0 worker-present worker=0;0 worker-present worker=1 kind=slow-4c;" +
	"0 worker-present worker=2;0 worker-present worker=3 kind=slow-4c;"

// setters set the fields of an event, by their keys in histories.
var setters = map[string]func(event *trace.Event, value string) error{
	"worker":      intSetter(func(event *trace.Event) *int { return &event.Worker }),
	"scheduler":   intSetter(func(event *trace.Event) *int { return &event.Scheduler }),
	"class":       intSetter(func(event *trace.Event) *int { return &event.Class }),
	"status":      intSetter(func(event *trace.Event) *int { return &event.Status }),
	"incarnation": intSetter(func(event *trace.Event) *int { return &event.Incarnation }),
	"job": func(event *trace.Event, value string) (err error) {
		event.RequestID = "c" + value
		event.JobID, err = strconv.ParseUint(value, 10, 64)
		return err
	},
	"conn": func(event *trace.Event, value string) (err error) {
		event.Conn, err = strconv.ParseUint(value, 10, 64)
		return err
	},
	"slots": func(event *trace.Event, value string) (err error) {
		event.Slots, err = strconv.ParseFloat(value, 64)
		return err
	},
	"work": func(event *trace.Event, value string) (err error) {
		event.Work, err = strconv.ParseFloat(value, 64)
		return err
	},
	"objective": func(event *trace.Event, value string) (err error) {
		event.LatencyObjective, err = time.ParseDuration(value)
		return err
	},
	"kind": setText,
	"text": setText,
}

func setText(event *trace.Event, value string) error {
	event.Text = value
	return nil
}

func intSetter(field func(event *trace.Event) *int) func(event *trace.Event, value string) error {
	return func(event *trace.Event, value string) (err error) {
		*field(event), err = strconv.Atoi(value)
		return err
	}
}

// parseEvent reads a line of a history: seconds, a verb, and fields, as in "5 due job=1 class=0 slots=1 work=0.1".
func parseEvent(t *testing.T, line string) trace.Event {
	t.Helper()
	words := strings.Fields(line)
	at, err := time.ParseDuration(words[0] + "s")
	kind, isKnown := kindsByVerb[words[1]]
	if err != nil || !isKnown {
		t.Fatalf("%q: no event, %v", line, err)
	}
	event := trace.Event{
		At: at, Kind: kind, JobID: 1, RequestID: "c", Number: 1, Incarnation: 1, Slots: 4, Text: "std-4c", Status: 200,
	}
	if kind == trace.JobDue {
		event.Slots = 1
		event.Work = 0.1
		event.LatencyObjective = 3 * time.Second
		event.Deadline = 9 * time.Second
	}
	for _, word := range words[2:] {
		key, value, _ := strings.Cut(word, "=")
		set := setters[key]
		if set == nil {
			t.Fatalf("%q: no key %q", line, key)
		}
		if err := set(&event, value); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
	}
	return event
}

// observeLine has the checker observe a line of a history. The request of a job that falls due is sent at once.
func observeLine(t *testing.T, checker *Checker, line string) {
	t.Helper()
	event := parseEvent(t, line)
	checker.Observe(&event)
	if event.Kind == trace.JobDue {
		event.Kind = trace.RequestSent
		checker.Observe(&event)
	}
}

func checkHistory(t *testing.T, spec *scenario.Scenario, history string) Verdict {
	t.Helper()
	checker := New(spec)
	for line := range strings.SplitSeq(setup+history, ";") {
		if strings.TrimSpace(line) != "" {
			observeLine(t, checker, line)
		}
	}
	return checker.Verdict()
}

// TestCheckerHistories checks the counts for histories with starvation, and for similar ones without.
func TestCheckerHistories(t *testing.T) {
	busy := func(workers ...int) string { // each worker has a job of four slots
		text := ""
		for _, n := range workers {
			text += fmt.Sprintf("3 due job=9%d slots=4 work=9;3 attempt job=9%d worker=%d;3 received job=9%d worker=%d;", n, n, n, n, n)
		}
		return text
	}
	for _, test := range []struct {
		name, history, want string // queued, rejected, excused
	}{
		{"queued", "5 due;6.2 settled", "1 0 0"},
		{"queued for less than the window", "5 due;5.9 attempt;7 settled", "0 0 0"},
		{"counted once", "5 due;9 response status=503", "1 0 0"},
		{"rejected", "5 due;5.1 response status=503", "0 1 0"},
		{"rejected by the other status", "5 due;5.1 response status=429", "0 1 0"},
		{"failed", "5 due;5.1 response status=500", "0 0 0"},
		{"none idle", busy(0, 1, 2, 3) + "5 due;9 response status=503", "0 0 0"},
		{"one idle", busy(0, 1, 3) + "5 due;5.1 response status=503", "0 1 0"},
		{
			"one idle for less than a second", busy(0, 1, 3) + "3 due job=7 slots=4;3 attempt job=7 worker=2;" +
				"4.6 callback job=7 worker=2 text=done;4.6 response job=7;5 due slots=4;5.5 response status=503;" +
				"6 due job=2 slots=4;6 response job=2 status=503",
			"0 1 0",
		},
		{"too few slots free", "5 due job=2;5 attempt job=2 worker=0;5 due job=3;5 attempt job=3 worker=1;5 due job=4;" +
			"5 attempt job=4 worker=2;5 due job=5;5 attempt job=5 worker=3;6 due slots=4;9 response status=503", "0 0 0"},
		{"a larger request is queued too", busy(0, 1, 3) + "5 due job=2 slots=4;5 due slots=2;5.9 response status=503", "0 0 0"},
		{"two idle while a larger request is queued", busy(0, 1) + "5 due job=2 slots=4;5 due slots=2;" +
			"5.9 response status=503", "0 1 0"},
		{"of another kind", busy(1, 3) + "5 due class=3;9 response status=503", "0 0 0"},
		{"of its kind", busy(0, 1, 2) + "5 due class=3;9 response status=503", "1 0 0"},
		{"past its objective", "5 due objective=50ms;5.1 response status=503", "0 0 0"},
		{"too long for the slower kind", busy(0, 2) + "5 due work=2.5;9 response status=503", "0 0 0"},
		{"too long for any kind", "5 due work=5 objective=2s;9 response status=503", "1 0 0"},
		{"after an attempt that failed", "5 due;5 attempt;5.1 callback text=failed;6.2 settled", "1 0 0"},
		{"an attempt is in flight", "5 due;5 attempt;9 response status=503", "0 0 0"},
		{"an attempt that died without a callback is in flight", "5 due;5 attempt;5 received;5.1 died;9 response status=503", "0 0 0"},
		{"cancelled", "5 due;5 attempt;5 received;5.1 cancelled;9 response status=503", "1 0 0"},
		{"cancelled without the scheduler's knowledge", "5 due;5 attempt;5 received;5.1 cancelled text=forgotten;9 response status=503", "0 0 0"},
		{"non-idempotent and possibly executed", "5 due class=2;5 attempt;5 received;5.1 callback text=failed;9 response status=503", "0 0 0"},
		{"non-idempotent and rejected", "5 due class=2;5 attempt;5 received;5.1 rejected status=503;6.2 settled", "1 0 0"},
		{"non-idempotent and returned", "5 due class=2;5 attempt;5 received;5.1 returned;5.2 callback text=returned;" +
			"6.3 settled", "1 0 0"},
		{"idempotent with key, its cell full", busy(1) + "5 due class=1;5 attempt;5 received;5.1 callback text=failed;" +
			"9 response status=503", "0 0 0"},
		{"idempotent with key, its cell idle", "5 due class=1;5 attempt;5 received;5.1 callback text=failed;6.2 settled", "1 0 0"},
		{"no attempt left", "5 due;5 attempt;5 unread;5 attempt;5 unread;5 attempt;5 unread;5 attempt;5 unread;5 attempt;5 unread;" +
			"5 attempt;5 unread;9 response status=503", "0 0 0"},
		{"rejected in the first 2 s", "1 due;1.9 response status=503", "0 0 1"},
		{"queued since the start", "0.5 due;2.9 attempt;9 settled", "0 0 0"},
		{"queued for too long after the start", "0.5 due;3.2 attempt;9 settled", "1 0 0"},
		{"frozen", "5 due;5.1 scheduler-frozen;8 scheduler-resumed;8.9 attempt;9 settled", "0 0 0"},
		{"a second after it resumed", "5 due;5.1 scheduler-frozen;8 scheduler-resumed;9.1 attempt;9 settled", "1 0 0"},
		{"rejected on resuming", "5 due;5.1 scheduler-frozen;8 scheduler-resumed;8.1 response status=503", "0 0 1"},
		{"terminating", "4 scheduler-terminated;5 due;5.5 response status=503", "0 0 1"},
		{"killed", "5 due;5.5 scheduler-killed;9 request-lost", "0 0 0"},
		{"an attempt that was read outlives its scheduler", busy(0, 1, 2) + "3 due job=7 slots=4;3 attempt job=7 worker=3;3 received job=7 worker=3;" +
			"4 scheduler-killed;4.5 scheduler-started;7 due;7.1 response status=503", "0 0 0"},
		{"an attempt that was not read ends with its scheduler", busy(0, 1, 2) + "3 due job=7 slots=4;3 attempt job=7 worker=3;4 scheduler-killed;" +
			"4 request-lost job=90;4 request-lost job=91;4 request-lost job=92;4 request-lost job=7;4.5 scheduler-started;7 due;7.1 response status=503", "0 1 0"},
		{"under a fault", "4 fault worker=0;4 fault worker=1;4 fault worker=2;4 fault worker=3;5 due;9 response status=503", "0 0 0"},
		{"after a fault", "1 fault worker=0;1 fault worker=1;1 fault worker=2;1 fault worker=3;2 fault-end worker=0;" +
			"2 fault-end worker=1;" +
			"2 fault-end worker=2;2 fault-end worker=3;11 due;12.9 response status=503;13.1 due job=2;" +
			"13.1 response job=2 status=503", "0 1 0"},
		{
			"the worker rejected an attempt", busy(0, 1, 2) + "3 due job=7;3 attempt job=7 worker=3;3 rejected job=7 worker=3;5 due;" +
				"9 response status=503",
			"0 0 0",
		},
		{"start notified late", busy(0, 1, 2) + "3 due job=7;3 attempt job=7 worker=3;3 start job=7 worker=3 text=;" +
			"3.5 callback job=7 worker=3 text=started;5 due;9 response status=503", "0 0 0"},
		{"start notified", busy(0, 1, 2) + "3 due job=7;3 attempt job=7 worker=3;3 start job=7 worker=3 text=;" +
			"3.1 callback job=7 worker=3 text=started;5 due;9 response status=503", "1 0 0"},
		{"restarted, warming up", busy(0, 1, 2) + "3 worker-stopped worker=3;4 worker-started worker=3 incarnation=2 kind=slow-4c;5 start-notified worker=3 incarnation=2;" +
			"12 due;13.9 response status=503", "0 0 0"},
		{"restarted and warm", busy(0, 1, 2) + "3 worker-stopped worker=3;4 worker-started worker=3 incarnation=2 kind=slow-4c;5 start-notified worker=3 incarnation=2;" +
			"15.2 due;15.3 response status=503", "0 1 0"},
		{"restarted and drained", busy(0, 1, 2) + "3 worker-stopped worker=3;4 worker-started worker=3 incarnation=2 kind=slow-4c;5 drain-notified worker=3;" +
			"15.2 due;15.3 response status=503", "0 0 0"},
		{"restarted, and unknown to the scheduler's next process", busy(0, 1, 2) + "3 worker-stopped worker=3;4 worker-started worker=3 incarnation=2 kind=slow-4c;" +
			"5 start-notified worker=3 incarnation=2;15 scheduler-killed;15.1 scheduler-started;18.2 due;18.3 response status=503", "0 0 0"},
		{"draining", busy(0, 1, 2) + "4 worker-draining worker=3;5 due;9 response status=503", "0 0 0"},
		{"connecting", busy(0, 1, 2) + "5 due;5 dialed conn=1;5.3 dialed conn=2;5.6 dialed conn=3;6.1 attempt;" +
			"9 settled", "0 0 0"},
		{"not connecting", busy(0, 1, 2) + "5 due;5 dialed conn=1;5 connected conn=1;5.6 dialed conn=3;6.1 attempt;" +
			"9 settled", "1 0 0"},
		{"one rejection for each connection that failed", "5 due;5 due job=2;5 dialed conn=1;5.3 response status=503;" +
			"5.3 response job=2 status=503", "0 1 1"},
		{"sent again on another connection", "5 due;5.9 request;6.5 attempt;9 settled", "0 0 0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := checkHistory(t, newSpec(), test.history)
			if got := fmt.Sprint(v.Queued, v.Rejected, v.Excused); got != test.want {
				t.Errorf("queued, rejected, excused %s, expected %s: %+v", got, test.want, v.Findings)
			}
		})
	}
}

// TestCheckerScenarios checks settings of a scenario that excuse a request, which counts as starved without them.
func TestCheckerScenarios(t *testing.T) {
	underestimated := "5 due work=1 objective=1800ms;5.9 response status=503"
	overestimated := "5 due work=1;5.1 response status=503"
	ends := func(count int) string { // executions of the class that end, one after the other
		return strings.Repeat("3 due job=7;3 attempt job=7;3 received job=7;3.1 callback job=7 text=done;3.1 response job=7;", count)
	}
	for _, test := range []struct {
		name, history, want string
		change              func(s *scenario.Scenario)
	}{
		{"clients disconnected", "5 due;5.5 response status=503", "0 0 1", func(s *scenario.Scenario) {
			s.Faults = []scenario.Fault{{
				Kind: "cut", At: scenario.Duration(4 * time.Second), Duration: scenario.Duration(time.Second),
				Between: "schedulers", And: "clients",
			}}
		}},
		{
			"as many requests as its descriptors admit", "5 due;5.5 response status=503", "0 0 1",
			func(s *scenario.Scenario) { s.Schedulers.Sockets = 42 },
		},
		{"hints exact", underestimated, "0 1 0", func(*scenario.Scenario) {}},
		{"hints a fifth of the work", underestimated, "0 0 0", func(s *scenario.Scenario) { s.Load.Hints, s.Load.HintFactor = "wrong", 0.2 }},
		{
			"hints a fifth of the work, error not estimated yet", ends(minClassEnds-1) + underestimated, "0 0 0",
			func(s *scenario.Scenario) { s.Load.Hints, s.Load.HintFactor = "wrong", 0.2 },
		},
		{
			"hints a fifth of the work, error estimated", ends(minClassEnds) + underestimated, "0 1 0",
			func(s *scenario.Scenario) { s.Load.Hints, s.Load.HintFactor = "wrong", 0.2 },
		},
		{
			"hints twenty times the work, error not estimated yet", ends(minClassEnds-1) + overestimated, "0 0 0",
			func(s *scenario.Scenario) { s.Load.Hints, s.Load.HintFactor = "wrong", 20 },
		},
		{
			"hints twenty times the work, error estimated", ends(minClassEnds) + overestimated, "0 1 0",
			func(s *scenario.Scenario) { s.Load.Hints, s.Load.HintFactor = "wrong", 20 },
		},
		{"hints rough", underestimated, "0 0 0", func(s *scenario.Scenario) { s.Load.Hints, s.Load.HintFactor = "rough", 1 }},
		{"hints twenty times the work", underestimated, "0 0 0", func(s *scenario.Scenario) { s.Load.Hints, s.Load.HintFactor = "wrong", 20 }},
		{"no hints", "5 due work=1;5.1 response status=503", "0 1 0", func(s *scenario.Scenario) { s.Load.Hints = "none" }},
		{
			"no start notifications, slots free", "3 due job=7;3 attempt job=7 worker=0;3 due job=6;3 attempt job=6 worker=1;3 due job=5;" +
				"3 attempt job=5 worker=2;3 due job=4;3 attempt job=4 worker=3;5 due;9 response status=503", "0 0 0",
			func(s *scenario.Scenario) { s.Fleet.Kinds[0].OmitsStartNotifications = true },
		},
		{
			"few workers idle, with several schedulers", "0 scheduler-started scheduler=1;5 due;5.1 response status=503", "0 0 0",
			func(s *scenario.Scenario) { s.Fleet.Workers = 80 },
		},
		{
			"few workers idle, with one scheduler", "5 due;5.1 response status=503", "0 1 0",
			func(s *scenario.Scenario) { s.Fleet.Workers = 80 },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSpec()
			s.Schedulers.Count = 2
			test.change(s)
			v := checkHistory(t, s, test.history)
			if got := fmt.Sprint(v.Queued, v.Rejected, v.Excused); got != test.want {
				t.Errorf("queued, rejected, excused %s, expected %s: %+v", got, test.want, v.Findings)
			}
		})
	}
}

// BenchmarkCheckerObserve measures the cost of a request with all its trace events, among 256 in flight on 1,000 workers.
func BenchmarkCheckerObserve(b *testing.B) {
	const inFlight, workers = 256, 1000
	text := newSpec().Fleet.Kinds[0].Name
	events := []trace.Event{
		{Kind: trace.JobDue, Deadline: 5 * time.Second, Slots: 1, Work: 0.1},
		{Kind: trace.RequestSent},
		{Kind: trace.AttemptSent},
		{Kind: trace.AttemptReceived},
		{Kind: trace.AttemptAccepted},
		{Kind: trace.AttemptStarted},
		{Kind: trace.CallbackAnswered, Text: "started", Status: 204, Number: 1},
		{Kind: trace.AttemptFinished, Status: 200, Text: "r"},
		{Kind: trace.CallbackAnswered, Text: "done", Status: 204, Number: 1},
		{Kind: trace.ResponseReceived, Status: 200, Text: "r"},
		{Kind: trace.JobSettled, Status: 200},
	}
	ids := make([]string, b.N+inFlight)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
	}
	spec := newSpec()
	spec.Fleet.Workers = workers
	checker := New(spec)
	now := time.Duration(0)
	checker.Observe(&trace.Event{Kind: trace.SchedulerStarted})
	for i := range workers {
		checker.Observe(&trace.Event{Kind: trace.WorkerPresent, Worker: i, Incarnation: 1, Slots: 4, Text: text})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += inFlight {
		for i := range events {
			event := &events[i]
			for k := n; k < n+inFlight; k++ {
				now += 5 * time.Microsecond
				event.At = now
				event.JobID = uint64(k + 1)
				event.RequestID = ids[k]
				event.Conn = uint64(k % inFlight)
				event.Worker = k % workers
				checker.Observe(event)
			}
		}
	}
	if v := checker.Verdict(); v.Count() > 0 {
		b.Fatal(v.Findings)
	}
}
