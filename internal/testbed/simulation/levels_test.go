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

// busyLevels is a scenario with most kinds of faults of forwarders and planners.
const busyLevels = `
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

// TestRunWithPlannersIsDeterministic checks that a run with planners, too, is determined by scenario and seed.
func TestRunWithPlannersIsDeterministic(t *testing.T) {
	spec := parse(t, busyLevels)
	play := func(seed uint64) uint64 {
		got, err := Run(spec, seed, Options{Digest: true})
		x := got.Levels
		if err != nil || !got.Finished || x.Requests < 100 || x.Commands < x.Requests || x.Unwritten > 0 {
			t.Errorf("%+v, %v", got, err)
		}
		return got.Digest
	}
	want := play(1)
	if play(2) == want {
		t.Error("two seeds are one play")
	}
	old := runtime.GOMAXPROCS(max(8, runtime.GOMAXPROCS(0)))
	var all sync.WaitGroup
	for range 3 {
		all.Go(func() {
			if play(1) != want {
				t.Error("another play beside others")
			}
		})
	}
	all.Wait()
	runtime.GOMAXPROCS(old)
}

// commandFault is a fault that is seeded in a planner: it sends other commands besides, or in place of, a command to send.
type commandFault struct {
	stopped []message.RejectReason // for any of these reasons
	say     func(d *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action
}

// commandHistory is what a commandFault knows of a run.
type commandHistory struct {
	drained uint64                    // a worker that drains, by all lists
	last    []planner.SendToForwarder // orders to send, a while ago
	n       int
}

// sendCommand returns an action as one that sends a command to send.
func sendCommand(action planner.Action) (command planner.SendToForwarder, ok bool) {
	command, isMessage := action.(planner.SendToForwarder)
	if !isMessage {
		return command, false
	}
	_, ok = command.Envelope.Message.(*message.SendCommand)
	return command, ok
}

// again returns a changed copy of a command to send.
func again(o planner.SendToForwarder, change func(m *message.SendCommand)) planner.SendToForwarder {
	o.Envelope = o.Envelope.Clone()
	change(o.Envelope.Message.(*message.SendCommand))
	return o
}

// insteadOf returns another message in place of a command to send.
func insteadOf(o planner.SendToForwarder, m message.Message) planner.SendToForwarder {
	o.Envelope.Message = m
	return o
}

var commandFaults = map[string]commandFault{
	"each order twice": {[]message.RejectReason{message.ReasonDuplicateCommand}, func(_ *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action {
		return append(dst, o, o)
	}},
	"a copy at the same worker node": {
		[]message.RejectReason{message.ReasonDuplicateAtWorker},
		func(_ *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action {
			return append(dst, o, again(o, func(m *message.SendCommand) { m.Attempt++ }))
		},
	},
	"to a worker that drains": {
		[]message.RejectReason{message.ReasonWorkerDraining, message.ReasonUnknownWorker},
		func(d *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action {
			if d.drained > 0 {
				o = again(o, func(m *message.SendCommand) { m.WorkerID = d.drained })
			}
			return append(dst, o)
		},
	},
	"of an old epoch": {[]message.RejectReason{message.ReasonStaleEpoch}, func(_ *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action {
		old := o
		old.Envelope.Epoch--
		return append(dst, old, o)
	}},
	// A second order for whatever was sent a while ago: it is out, may have run, or is over.
	"for what may have run": {[]message.RejectReason{message.ReasonPossiblyExecuted, message.ReasonOutsideScope}, func(d *commandHistory, o planner.SendToForwarder,
		dst []planner.Action,
	) []planner.Action {
		if len(d.last) > 6 {
			old := d.last[0]
			d.last = d.last[1:]
			dst = append(dst, again(old, func(m *message.SendCommand) {
				m.Attempt++
				m.WorkerID = o.Envelope.Message.(*message.SendCommand).WorkerID
			}))
		}
		d.last = append(d.last, o)
		return append(dst, o)
	}},
	"a refusal of what may have run": {
		[]message.RejectReason{message.ReasonUnsafeRejection},
		func(d *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action {
			if dst = append(dst, o); d.n%5 == 0 {
				dst = append(dst, insteadOf(o, &message.RejectCommand{RequestID: o.Envelope.Message.(*message.SendCommand).RequestID}))
			}
			return dst
		},
	},
	"of another forwarder's request": {
		[]message.RejectReason{message.ReasonUnknownRequest},
		func(_ *commandHistory, o planner.SendToForwarder, dst []planner.Action) []planner.Action {
			return append(dst, again(o, func(m *message.SendCommand) { m.RequestID += 1 << 20 }), o)
		},
	},
}

// alter replaces the commands to send a request by what say makes of them.
func (d *commandHistory) alter(
	outs []planner.Action, say func(*commandHistory, planner.SendToForwarder, []planner.Action) []planner.Action,
) (dst []planner.Action) {
	for _, o := range outs {
		if command, ok := sendCommand(o); ok {
			d.n++
			dst = say(d, command, dst)
		} else {
			dst = append(dst, o)
		}
	}
	return dst
}

// TestForwardersRejectInvalidCommands checks that forwarders reject commands that would break a rule.
func TestForwardersRejectInvalidCommands(t *testing.T) {
	for name, s := range commandFaults {
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
			d := &commandHistory{}
			watch := func(x *trace.Event) {
				if x.Kind == trace.DrainNotified && x.Worker == 3 {
					d.drained = endpointNumber("w-3")
				}
			}
			got, verdict := judged(t, spec, 1, Options{
				Observers: []trace.Observer{watch},
				AlterPlanner: func(_ int, outs []planner.Action) []planner.Action {
					return d.alter(outs, s.say)
				},
			})
			for _, b := range verdict.Violations {
				t.Errorf("%v\n%s", b, b.Explanation)
			}
			stopped := 0
			for _, why := range s.stopped {
				stopped += got.Levels.RejectedByReason[why]
			}
			if stopped < 3 || d.n < 100 {
				t.Errorf("%d orders, stopped %v", d.n, got.Levels.RejectedByReason)
			}
		})
	}
}

// poisonedPolicy is a policy that panics at some requests, in any planner.
type poisonedPolicy struct{ planner.Policy }

// isPoison selects so few requests that no planner reaches six panics in 10 s, at which it would drop all its requests.
func isPoison(j dispatch.Job) bool { return j.Class == 0 && j.Hint%37 == 0 && j.Hint > 0 }

func (m poisonedPolicy) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.Job:
			if isPoison(e) {
				panic("poisonous")
			}
		case dispatch.JobResumed:
			if isPoison(e.Job) {
				panic("poisonous")
			}
		}
	}
	return m.Policy.Step(now, events, dst)
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
	got, verdict := judged(t, spec, 2, Options{
		WrapPlanner: func(_ int, m planner.Policy) planner.Policy { return poisonedPolicy{m} },
		Observers: []trace.Observer{func(x *trace.Event) {
			switch {
			case x.Kind == trace.ResponseReceived && x.Status == 200:
				served++
			case x.Kind == trace.ResponseReceived:
				failed++
			}
		}},
	})
	for _, b := range verdict.Violations {
		t.Errorf("%v\n%s", b, b.Explanation)
	}
	f := &got.Levels
	if f.Poison < 3 || f.Panics != 2*f.Poison || f.Returned != f.Panics || failed < f.Poison ||
		failed > f.Poison+3 || served < 200 {
		t.Errorf("%d failed, %d served: %+v", failed, served, f)
	}
}

// TestPlannersRejectBaselinePolicy checks that a scenario with planners does not run with a baseline policy.
func TestPlannersRejectBaselinePolicy(t *testing.T) {
	if _, err := Run(parse(t, busyLevels), 1, Options{Model: policy("random")}); err == nil {
		t.Error("a planner with a baseline policy")
	}
}
