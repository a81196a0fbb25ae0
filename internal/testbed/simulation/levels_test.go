package simulation

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/planner"
	"valvecove/internal/testbed/trace"
)

// faultyPlanners is a scenario with most kinds of faults of forwarders and planners.
const faultyPlanners = `
length = "8s"
drivers = ["virtual"]
fleet = { nodes = 14, zones = ["a", "b"] }
schedulers = { count = 4 }
planners = { count = 4, idle = 1, drops = "5s" }
load = { of = 0.7, shape = "bursty" }
net = { delay = "1ms", jitter = 0.5 }
fault = [
  { what = "planner_kill", at = "1s", for = "1s", on.planners = [0] },
  { what = "planner_freeze", at = "2s", for = "1500ms", on.planners = [1] },
  { what = "planner_slow", at = "3s", for = "2s", on.planners = [2] },
  { what = "planner_cut", at = "4s", for = "1s", on = { planners = [0], schedulers = [1, 2] } },
  { what = "planner_cut_one_way", at = "4500ms", for = "1s", between = "planners", and = "planners", on.planners = [2] },
  { what = "planner_start", at = "5s", on.planners = [3] },
  { what = "planner_drop", at = "5500ms" },
  { what = "planner_term", at = "6s", for = "300ms", on.planners = [1] },
  { what = "sched_kill", at = "4s", for = "300ms", on.schedulers = [1] },
  { what = "restart", at = "3s", for = "500ms", on.share = 0.3 },
]`

// TestRunWithPlannersIsDeterministic checks that scenario and seed determine a run with planners, also beside other runs.
func TestRunWithPlannersIsDeterministic(t *testing.T) {
	spec := parse(t, faultyPlanners)
	digestOf := func(seed uint64) uint64 {
		got, err := Run(spec, seed, Options{Digest: true})
		x := got.Control
		if err != nil || !got.Finished || x.Requests < 100 || x.Commands < x.Requests || x.EncodingFailures > 0 {
			t.Errorf("run with planners is not finished, has too few requests or commands, or failed to encode: %+v, %v", got, err)
		}
		return got.Digest
	}
	want := digestOf(1)
	if digestOf(2) == want {
		t.Error("seeds 1 and 2 give the same run")
	}
	old := runtime.GOMAXPROCS(max(8, runtime.GOMAXPROCS(0)))
	var runs sync.WaitGroup
	for range 3 {
		runs.Go(func() {
			if digestOf(1) != want {
				t.Error("a concurrent run of the same seed differs")
			}
		})
	}
	runs.Wait()
	runtime.GOMAXPROCS(old)
}

// commandFault is a fault injected into a planner: it sends invalid commands besides or in place of a send command.
type commandFault struct {
	reasons []message.RejectReason // why forwarders reject the invalid commands: any of these
	alter   func(h *commandHistory, command planner.SendToForwarder, dst []planner.Action) []planner.Action
}

// commandHistory is the state that command faults keep over a run.
type commandHistory struct {
	drained uint64                    // a worker that schedulers know to drain; 0: none yet
	last    []planner.SendToForwarder // the last few send commands, the oldest first
	n       int                       // send commands so far
}

// sendCommand returns an action as a send command; ok is false if it is none.
func sendCommand(action planner.Action) (command planner.SendToForwarder, ok bool) {
	command, isMessage := action.(planner.SendToForwarder)
	if !isMessage {
		return command, false
	}
	_, ok = command.Envelope.Message.(*message.SendCommand)
	return command, ok
}

// changedCopy returns a changed copy of a send command.
func changedCopy(command planner.SendToForwarder, change func(m *message.SendCommand)) planner.SendToForwarder {
	command.Envelope = command.Envelope.Clone()
	change(command.Envelope.Message.(*message.SendCommand))
	return command
}

// withMessage returns a send command with its message replaced.
func withMessage(command planner.SendToForwarder, m message.Message) planner.SendToForwarder {
	command.Envelope.Message = m
	return command
}

var commandFaults = map[string]commandFault{
	"each command twice": {[]message.RejectReason{message.ReasonDuplicateCommand}, func(_ *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action {
		return append(dst, o, o)
	}},
	"a hedged request to the same worker": {
		[]message.RejectReason{message.ReasonDuplicateAtWorker},
		func(_ *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action {
			return append(dst, o, changedCopy(o, func(m *message.SendCommand) { m.Attempt++ }))
		},
	},
	"to a draining worker": {
		[]message.RejectReason{message.ReasonWorkerDraining, message.ReasonUnknownWorker},
		func(d *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action {
			if d.drained > 0 {
				o = changedCopy(o, func(m *message.SendCommand) { m.WorkerID = d.drained })
			}
			return append(dst, o)
		},
	},
	"of an earlier epoch": {[]message.RejectReason{message.ReasonStaleEpoch}, func(_ *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action {
		old := o
		old.Envelope.Epoch--
		return append(dst, old, o)
	}},
	// A second command for a request whose first one was sent a while ago: its attempt is in flight, was possibly executed, or
	// has ended.
	"a second attempt of an earlier request": {[]message.RejectReason{message.ReasonPossiblyExecuted, message.ReasonOutsideScope}, func(d *commandHistory, o planner.SendToForwarder,
		dst []planner.Action,
	) []planner.Action {
		if len(d.last) > 6 {
			old := d.last[0]
			d.last = d.last[1:]
			dst = append(dst, changedCopy(old, func(m *message.SendCommand) {
				m.Attempt++
				m.WorkerID = o.Envelope.Message.(*message.SendCommand).WorkerID
			}))
		}
		d.last = append(d.last, o)
		return append(dst, o)
	}},
	"a rejection of a possibly executed request": {
		[]message.RejectReason{message.ReasonUnsafeRejection},
		func(d *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action {
			if dst = append(dst, o); d.n%5 == 0 {
				dst = append(dst, withMessage(o, &message.RejectCommand{RequestID: o.Envelope.Message.(*message.SendCommand).RequestID}))
			}
			return dst
		},
	},
	"for a request of another forwarder": {
		[]message.RejectReason{message.ReasonUnknownRequest},
		func(_ *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action {
			return append(dst, changedCopy(o, func(m *message.SendCommand) { m.RequestID += 1 << 20 }), o)
		},
	},
}

// alter replaces each send command by the actions that a command fault returns for it.
func (d *commandHistory) alter(
	outs []planner.Action, fault func(*commandHistory, planner.SendToForwarder, []planner.Action) []planner.Action,
) (dst []planner.Action) {
	for _, o := range outs {
		if command, ok := sendCommand(o); ok {
			d.n++
			dst = fault(d, command, dst)
		} else {
			dst = append(dst, o)
		}
	}
	return dst
}

// TestForwardersRejectInvalidCommands checks that forwarders reject commands that would break a rule.
func TestForwardersRejectInvalidCommands(t *testing.T) {
	for name, fault := range commandFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			spec := parse(t, `
length = "6s"
drivers = ["virtual"]
fleet = { nodes = 12 }
schedulers = { count = 3 }
planners = { count = 2 }
load = { of = 0.5 }
fault = [{ what = "drain", at = "1s", on.names = ["w-3"] }, { what = "crash", at = "3s", for = "1s", on.share = 0.2 }]`)
			sent := &commandHistory{}
			observe := func(event *trace.Event) {
				if event.Kind == trace.DrainNotified && event.Worker == 3 {
					sent.drained = endpointNumber("w-3")
				}
			}
			got, verdict := runChecked(t, spec, 1, Options{
				Observers: []trace.Observer{observe},
				AlterPlanner: func(_ int, outs []planner.Action) []planner.Action {
					return sent.alter(outs, fault.alter)
				},
			})
			for _, violation := range verdict.Violations {
				t.Errorf("%v\n%s", violation, violation.Explanation)
			}
			rejected := 0
			for _, reason := range fault.reasons {
				rejected += got.Control.RejectedByReason[reason]
			}
			if rejected < 3 || sent.n < 100 {
				t.Errorf("%d send commands, rejected %v", sent.n, got.Control.RejectedByReason)
			}
		})
	}
}

// poisonedPolicy is a planner's policy that panics at some requests.
type poisonedPolicy struct{ planner.Policy }

// isPoison reports whether the policy panics at a request. It selects so few that no planner reaches six panics in 10 s, at
// which it would drop all its requests.
func isPoison(j dispatch.Job) bool { return j.Class == 0 && j.Hint%37 == 0 && j.Hint > 0 }

func (p poisonedPolicy) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.Job:
			if isPoison(e) {
				panic("poison request")
			}
		case dispatch.JobResumed:
			if isPoison(e.Job) {
				panic("poison request")
			}
		}
	}
	return p.Policy.Step(now, events, dst)
}

// TestPoisonRequests checks that a request at which every planner's policy panics costs two planners their policy, never a
// third one, and that no other request is affected.
func TestPoisonRequests(t *testing.T) {
	spec := parse(t, `
length = "6s"
drivers = ["virtual"]
fleet = { nodes = 20 }
schedulers = { count = 5 }
planners = { count = 4 }
load = { of = 0.5, hints = "exact" }
clients = { retries = 0 }`)
	failed, served := 0, 0
	got, verdict := runChecked(t, spec, 2, Options{
		WrapPlanner: func(_ int, m planner.Policy) planner.Policy { return poisonedPolicy{m} },
		Observers: []trace.Observer{func(event *trace.Event) {
			switch {
			case event.Kind == trace.ResponseReceived && event.Status == 200:
				served++
			case event.Kind == trace.ResponseReceived:
				failed++
			}
		}},
	})
	for _, violation := range verdict.Violations {
		t.Errorf("%v\n%s", violation, violation.Explanation)
	}
	counts := &got.Control
	if counts.Poison < 3 || counts.PlannerPanics != 2*counts.Poison || counts.PoisonReturned != counts.PlannerPanics || failed < counts.Poison ||
		failed > counts.Poison+3 || served < 200 {
		t.Errorf("%d failed, %d served: %+v", failed, served, counts)
	}
}

// TestPlannersRejectBaselinePolicy checks that a scenario with planners is not run with a baseline policy.
func TestPlannersRejectBaselinePolicy(t *testing.T) {
	if _, err := Run(parse(t, faultyPlanners), 1, Options{Model: policy("random")}); err == nil {
		t.Error("a scenario with planners ran with a baseline policy")
	}
}
