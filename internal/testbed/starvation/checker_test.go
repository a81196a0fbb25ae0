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

// Verbs of trace events in histories.
var verbs = map[string]trace.Kind{
	"asked": trace.RequestSent, "answered": trace.ResponseReceived, "lost": trace.ConnectionLost, "sent": trace.AttemptSent, "reached": trace.AttemptReceived,
	"rejected": trace.AttemptRejected, "began": trace.AttemptStarted, "finished": trace.AttemptFinished, "returned": trace.AttemptReturned,
	"died": trace.AttemptDied, "withdrawn": trace.AttemptCancelled, "unread": trace.AttemptUnread, "noted": trace.CallbackAnswered, "notelost": trace.CallbackLost,
	"dialled": trace.WorkerDialed, "linked": trace.WorkerConnected, "struck": trace.WorkerFaultStarted, "spared": trace.WorkerFaultEnded, "stands": trace.WorkerPresent,
	"nodeup": trace.WorkerStarted, "nodedown": trace.WorkerStopped, "nodedrain": trace.WorkerDraining, "nodehang": trace.WorkerHung,
	"drained": trace.DrainNotified, "started": trace.StartNotified, "schedup": trace.SchedulerStarted, "schedterm": trace.SchedulerTerminated,
	"schedkill": trace.SchedulerKilled, "schedfroze": trace.SchedulerFrozen, "schedwoke": trace.SchedulerResumed, "settled": trace.JobSettled,
}

// spec has four workers of four slots in cells of two, the first and the third of them "std", the others "slow",
// and classes that are safe, keyed by cell, non-idempotent, and bound to "slow".
func spec() *scenario.Scenario {
	s := scenario.Default()
	s.Fleet.Workers, s.Fleet.CellSize = 4, 2
	for i, c := range []string{"safe", "keyed", "unsafe", "safe"} {
		s.Classes[i].Idempotency, s.Classes[i].DeduplicationScope, s.Classes[i].ObjectiveStretch = c, "cell", 2
	}
	s.Classes[3].Kind = "slow-4c"
	s.Load.Hints = "exact"
	return s
}

// stageSetup gives each history its beginning: all workers stand, a scheduler runs, and it is 5 s later.
const stageSetup = "0 schedup;0 stands node=0;0 stands node=1 kind=slow-4c;0 stands node=2;0 stands node=3 kind=slow-4c;"

// due asks for the job's try as well: "due job=1 class=0 slots=1 work=0.1".
func observeLine(t *testing.T, w *Checker, line string) {
	t.Helper()
	f := strings.Fields(line)
	at, err := time.ParseDuration(f[0] + "s")
	if err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	s := trace.Event{At: at, Kind: verbs[f[1]], Slots: 4, Text: "std-4c", Status: 200, Number: 1, Incarnation: 1, JobID: 1, RequestID: "c"}
	if f[1] == "due" {
		s.Kind, s.Slots, s.Work, s.LatencyObjective, s.Deadline = trace.JobDue, 1, 0.1, 3*time.Second, 9*time.Second
	}
	for _, x := range f[2:] {
		key, value, _ := strings.Cut(x, "=")
		n, _ := strconv.Atoi(value)
		switch key {
		case "node":
			s.Worker = n
		case "sched":
			s.Scheduler = n
		case "job":
			s.JobID, s.RequestID = uint64(n), "c"+value
		case "class":
			s.Class = n
		case "slots":
			s.Slots = float64(n)
		case "status":
			s.Status = n
		case "boot":
			s.Incarnation = n
		case "try":
			s.Number = n
		case "conn":
			s.Conn = uint64(n)
		case "kind", "text":
			s.Text = value
		case "work":
			s.Work, _ = strconv.ParseFloat(value, 64)
		case "aim":
			s.LatencyObjective, _ = time.ParseDuration(value)
		default:
			t.Fatalf("%q: no key %q", line, key)
		}
	}
	w.Observe(&s)
	if f[1] == "due" {
		s.Kind = trace.RequestSent
		w.Observe(&s)
	}
}

func checkHistory(t *testing.T, spec *scenario.Scenario, history string) Verdict {
	t.Helper()
	w := New(spec)
	for line := range strings.SplitSeq(stageSetup+history, ";") {
		if strings.TrimSpace(line) != "" {
			observeLine(t, w, line)
		}
	}
	return w.Verdict()
}

// What is starved, and beside it what is much like it and is not.
func TestHistories(t *testing.T) {
	busy := func(nodes ...int) string { // by four slots of a job of their own
		text := ""
		for _, n := range nodes {
			text += fmt.Sprintf("3 due job=9%d slots=4 work=9;3 sent job=9%d node=%d;3 reached job=9%d node=%d;", n, n, n, n, n)
		}
		return text
	}
	for _, c := range []struct {
		name, history, want string // held, refused, excused
	}{
		{"held", "5 due;6.2 settled", "1 0 0"},
		{"held for less", "5 due;5.9 sent;7 settled", "0 0 0"},
		{"told once", "5 due;9 answered status=503", "1 0 0"},
		{"refused", "5 due;5.1 answered status=503", "0 1 0"},
		{"refused by the other status", "5 due;5.1 answered status=429", "0 1 0"},
		{"failed", "5 due;5.1 answered status=500", "0 0 0"},
		{"none idle", busy(0, 1, 2, 3) + "5 due;9 answered status=503", "0 0 0"},
		{"one idle", busy(0, 1, 3) + "5 due;5.1 answered status=503", "0 1 0"},
		{
			"one idle for less than a second", busy(0, 1, 3) + "3 due job=7 slots=4;3 sent job=7 node=2;" +
				"4.6 noted job=7 node=2 text=done;4.6 answered job=7;5 due slots=4;5.5 answered status=503;" +
				"6 due job=2 slots=4;6 answered job=2 status=503",
			"0 1 0",
		},
		{"no room for so many slots", "5 due job=2;5 sent job=2 node=0;5 due job=3;5 sent job=3 node=1;5 due job=4;" +
			"5 sent job=4 node=2;5 due job=5;5 sent job=5 node=3;6 due slots=4;9 answered status=503", "0 0 0"},
		{"a larger one waits too", busy(0, 1, 3) + "5 due job=2 slots=4;5 due slots=2;5.9 answered status=503", "0 0 0"},
		{"two idle while a larger one waits", busy(0, 1) + "5 due job=2 slots=4;5 due slots=2;" +
			"5.9 answered status=503", "0 1 0"},
		{"of another kind", busy(1, 3) + "5 due class=3;9 answered status=503", "0 0 0"},
		{"of its kind", busy(0, 1, 2) + "5 due class=3;9 answered status=503", "1 0 0"},
		{"past its aim", "5 due aim=50ms;5.1 answered status=503", "0 0 0"},
		{"too long for the slower kind", busy(0, 2) + "5 due work=2.5;9 answered status=503", "0 0 0"},
		{"too long for any", "5 due work=5 aim=2s;9 answered status=503", "1 0 0"},
		{"after an attempt that failed", "5 due;5 sent;5.1 noted text=failed;6.2 settled", "1 0 0"},
		{"an attempt is out", "5 due;5 sent;9 answered status=503", "0 0 0"},
		{"an attempt that died untold is out", "5 due;5 sent;5 reached;5.1 died;9 answered status=503", "0 0 0"},
		{"withdrawn", "5 due;5 sent;5 reached;5.1 withdrawn;9 answered status=503", "1 0 0"},
		{"withdrawn unknowingly", "5 due;5 sent;5 reached;5.1 withdrawn text=forgotten;9 answered status=503", "0 0 0"},
		{"unsafe and may have run", "5 due class=2;5 sent;5 reached;5.1 noted text=failed;9 answered status=503", "0 0 0"},
		{"unsafe and turned away", "5 due class=2;5 sent;5 reached;5.1 rejected status=503;6.2 settled", "1 0 0"},
		{"unsafe and handed back", "5 due class=2;5 sent;5 reached;5.1 returned;5.2 noted text=returned;" +
			"6.3 settled", "1 0 0"},
		{"keyed, its cell full", busy(1) + "5 due class=1;5 sent;5 reached;5.1 noted text=failed;" +
			"9 answered status=503", "0 0 0"},
		{"keyed, its cell idle", "5 due class=1;5 sent;5 reached;5.1 noted text=failed;6.2 settled", "1 0 0"},
		{"no try left", "5 due;5 sent;5 unread;5 sent;5 unread;5 sent;5 unread;5 sent;5 unread;5 sent;5 unread;" +
			"5 sent;5 unread;9 answered status=503", "0 0 0"},
		{"in the first 2 s", "1 due;1.9 answered status=503", "0 0 1"},
		{"held since the start", "0.5 due;2.9 sent;9 settled", "0 0 0"},
		{"held on after the start", "0.5 due;3.2 sent;9 settled", "1 0 0"},
		{"frozen", "5 due;5.1 schedfroze;8 schedwoke;8.9 sent;9 settled", "0 0 0"},
		{"a second after it woke", "5 due;5.1 schedfroze;8 schedwoke;9.1 sent;9 settled", "1 0 0"},
		{"refused on waking", "5 due;5.1 schedfroze;8 schedwoke;8.1 answered status=503", "0 0 1"},
		{"told to end", "4 schedterm;5 due;5.5 answered status=503", "0 0 1"},
		{"killed", "5 due;5.5 schedkill;9 lost", "0 0 0"},
		{"what it had read runs on", busy(0, 1, 2) + "3 due job=7 slots=4;3 sent job=7 node=3;3 reached job=7 node=3;" +
			"4 schedkill;4.5 schedup;7 due;7.1 answered status=503", "0 0 0"},
		{"what it had not never came", busy(0, 1, 2) + "3 due job=7 slots=4;3 sent job=7 node=3;4 schedkill;" +
			"4 lost job=90;4 lost job=91;4 lost job=92;4 lost job=7;4.5 schedup;7 due;7.1 answered status=503", "0 1 0"},
		{"struck", "4 struck node=0;4 struck node=1;4 struck node=2;4 struck node=3;5 due;9 answered status=503", "0 0 0"},
		{"spared of late", "1 struck node=0;1 struck node=1;1 struck node=2;1 struck node=3;2 spared node=0;" +
			"2 spared node=1;" +
			"2 spared node=2;2 spared node=3;11 due;12.9 answered status=503;13.1 due job=2;" +
			"13.1 answered job=2 status=503", "0 1 0"},
		{
			"it turned one away", busy(0, 1, 2) + "3 due job=7;3 sent job=7 node=3;3 rejected job=7 node=3;5 due;" +
				"9 answered status=503",
			"0 0 0",
		},
		{"a start told late", busy(0, 1, 2) + "3 due job=7;3 sent job=7 node=3;3 began job=7 node=3 text=;" +
			"3.5 noted job=7 node=3 text=started;5 due;9 answered status=503", "0 0 0"},
		{"a start told", busy(0, 1, 2) + "3 due job=7;3 sent job=7 node=3;3 began job=7 node=3 text=;" +
			"3.1 noted job=7 node=3 text=started;5 due;9 answered status=503", "1 0 0"},
		{"back, but cold", busy(0, 1, 2) + "3 nodedown node=3;4 nodeup node=3 boot=2 kind=slow-4c;5 started node=3 boot=2;" +
			"12 due;13.9 answered status=503", "0 0 0"},
		{"back and warm", busy(0, 1, 2) + "3 nodedown node=3;4 nodeup node=3 boot=2 kind=slow-4c;5 started node=3 boot=2;" +
			"15.2 due;15.3 answered status=503", "0 1 0"},
		{"back and unknown", busy(0, 1, 2) + "3 nodedown node=3;4 nodeup node=3 boot=2 kind=slow-4c;5 drained node=3;" +
			"15.2 due;15.3 answered status=503", "0 0 0"},
		{"back, and unknown to its next process", busy(0, 1, 2) + "3 nodedown node=3;4 nodeup node=3 boot=2 kind=slow-4c;" +
			"5 started node=3 boot=2;15 schedkill;15.1 schedup;18.2 due;18.3 answered status=503", "0 0 0"},
		{"draining", busy(0, 1, 2) + "4 nodedrain node=3;5 due;9 answered status=503", "0 0 0"},
		{"on its way", busy(0, 1, 2) + "5 due;5 dialled conn=1;5.3 dialled conn=2;5.6 dialled conn=3;6.1 sent;" +
			"9 settled", "0 0 0"},
		{"not on its way", busy(0, 1, 2) + "5 due;5 dialled conn=1;5 linked conn=1;5.6 dialled conn=3;6.1 sent;" +
			"9 settled", "1 0 0"},
		{"one refusal for each connection that failed", "5 due;5 due job=2;5 dialled conn=1;5.3 answered status=503;" +
			"5.3 answered job=2 status=503", "0 1 1"},
		{"asked again elsewhere", "5 due;5.9 asked;6.5 sent;9 settled", "0 0 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := checkHistory(t, spec(), c.history)
			if got := fmt.Sprint(v.Queued, v.Rejected, v.Excused); got != c.want {
				t.Errorf("held, refused, excused %s, expected %s: %+v", got, c.want, v.Findings)
			}
		})
	}
}

// What a scenario says changes what is starved.
func TestScenarios(t *testing.T) {
	low := "5 due work=1 aim=1800ms;5.9 answered status=503"
	for _, c := range []struct {
		name, history, want string
		change              func(s *scenario.Scenario)
	}{
		{"clients cut off", "5 due;5.5 answered status=503", "0 0 1", func(s *scenario.Scenario) {
			s.Faults = []scenario.Fault{{
				Kind: "cut", At: scenario.Duration(4 * time.Second), Duration: scenario.Duration(time.Second),
				Between: "schedulers", And: "clients",
			}}
		}},
		{
			"as many as it has descriptors for", "5 due;5.5 answered status=503", "0 0 1",
			func(s *scenario.Scenario) { s.Schedulers.Sockets = 42 },
		},
		{"hints exact", low, "0 1 0", func(*scenario.Scenario) {}},
		{"hints a fifth", low, "0 0 0", func(s *scenario.Scenario) { s.Load.Hints, s.Load.HintFactor = "wrong", 0.2 }},
		{"hints rough", low, "0 0 0", func(s *scenario.Scenario) { s.Load.Hints, s.Load.HintFactor = "rough", 1 }},
		{"hints twenty times", low, "0 0 0", func(s *scenario.Scenario) { s.Load.Hints, s.Load.HintFactor = "wrong", 20 }},
		{"no hints", "5 due work=1;5.1 answered status=503", "0 1 0", func(s *scenario.Scenario) { s.Load.Hints = "none" }},
		{
			"no starts told, room beside", "3 due job=7;3 sent job=7 node=0;3 due job=6;3 sent job=6 node=1;3 due job=5;" +
				"3 sent job=5 node=2;3 due job=4;3 sent job=4 node=3;5 due;9 answered status=503", "0 0 0",
			func(s *scenario.Scenario) { s.Fleet.Kinds[0].OmitsStartNotifications = true },
		},
		{
			"few idle where schedulers share", "0 schedup sched=1;5 due;5.1 answered status=503", "0 0 0",
			func(s *scenario.Scenario) { s.Fleet.Workers = 80 },
		},
		{
			"one idle where there is one scheduler", "5 due;5.1 answered status=503", "0 1 0",
			func(s *scenario.Scenario) { s.Fleet.Workers = 80 },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := spec()
			s.Schedulers.Count = 2
			c.change(s)
			v := checkHistory(t, s, c.history)
			if got := fmt.Sprint(v.Queued, v.Rejected, v.Excused); got != c.want {
				t.Errorf("held, refused, excused %s, expected %s: %+v", got, c.want, v.Findings)
			}
		})
	}
}

// The cost of a request, all its trace events together, among 256 that are out at a time on 1,000 workers.
func BenchmarkWatch(b *testing.B) {
	const inFlight, nodes = 256, 1000
	text := spec().Fleet.Kinds[0].Name
	story := []trace.Event{
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
	calls := make([]string, b.N+inFlight)
	for i := range calls {
		calls[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
	}
	s := spec()
	s.Fleet.Workers = nodes
	w, now := New(s), time.Duration(0)
	w.Observe(&trace.Event{Kind: trace.SchedulerStarted})
	for i := range nodes {
		w.Observe(&trace.Event{Kind: trace.WorkerPresent, Worker: i, Incarnation: 1, Slots: 4, Text: text})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += inFlight {
		for i := range story {
			s := &story[i]
			for k := n; k < n+inFlight; k++ {
				now += 5 * time.Microsecond
				s.At, s.JobID, s.RequestID, s.Conn, s.Worker = now, uint64(k+1), calls[k], uint64(k%inFlight), k%nodes
				w.Observe(s)
			}
		}
	}
	if v := w.Verdict(); v.Count() > 0 {
		b.Fatal(v.Findings)
	}
}
