package environment

import (
	"testing"
	"time"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// faultHarness is a whole environment with hardly any load, and schedulers that only follow discovery.
type faultHarness struct {
	t                testing.TB
	env              *Environment
	spec             *scenario.Scenario
	schedulers       []*testScheduler
	events           []trace.Event
	inputs           []simapi.Input // all inputs so far
	outputs          []simapi.Output
	exitsOnTerminate bool // schedulers exit on SIGTERM
}

// testScheduler is a scheduler that keeps the list of endpoints up to date from its watch.
type testScheduler struct {
	up, frozen   bool
	list         map[string]requests.Endpoint
	revision     int64
	lastReceived time.Duration // when the last message arrived on its watch
	neverCalls   bool          // it opens no watch
}

// idleScenario returns a scenario for faultHarness with the given numbers of workers and schedulers.
func idleScenario(workers, schedulers int) *scenario.Scenario {
	s := scenario.Default()
	s.Fleet.Workers, s.Schedulers.Count, s.Length = workers, schedulers, scenario.Duration(5*time.Minute)
	s.Load.CapacityShare, s.Load.Rate, s.Schedulers.StartSpread = 0, 1e-6, 0
	return s
}

func newFaultHarness(tb testing.TB, spec *scenario.Scenario, seed uint64) *faultHarness {
	tb.Helper()
	if err := spec.Check(); err != nil && spec.Name != "" {
		tb.Fatal(err)
	}
	f := &faultHarness{t: tb, spec: spec}
	for range spec.Schedulers.Count + spec.Planners.Count {
		f.schedulers = append(f.schedulers, &testScheduler{})
	}
	f.env = New(spec, seed, 1000*time.Hour, func(s *trace.Event) { f.events = append(f.events, *s) })
	return f
}

// runFor runs for a duration.
func (f *faultHarness) runFor(d time.Duration) {
	for to := f.env.now + d; ; {
		at, ok := f.env.Next()
		if len(f.outputs) > 0 {
			at = f.env.now
		} else if !ok || at > to {
			at = to
		}
		at = min(at, f.env.now+500*time.Millisecond) // schedulers check their watches this often
		outs := f.outputs
		f.outputs = nil
		from := len(f.inputs)
		f.inputs = f.env.Step(at, outs, f.inputs)
		for i := range f.inputs[from:] {
			f.handleInput(&f.inputs[from+i])
		}
		for i, s := range f.schedulers { // as in the real scheduler, a watch that is silent for 3 s is lost
			if s.up && !s.frozen && !s.neverCalls && at-s.lastReceived > 3*time.Second {
				f.watchDiscovery(i, at)
			}
		}
		if next, ok := f.env.Next(); at >= to && len(f.outputs) == 0 && (!ok || next > to) {
			return
		}
	}
}

// doNow calls what in a step at the present time.
func (f *faultHarness) doNow(what func()) {
	f.env.after(0, what)
	f.runFor(0)
}

func (f *faultHarness) watchDiscovery(i int, now time.Duration) {
	s := f.schedulers[i]
	s.lastReceived = now
	f.outputs = append(f.outputs, simapi.Output{Scheduler: i, Message: simapi.WatchRequested{Revision: s.revision}})
}

func (f *faultHarness) handleInput(in *simapi.Input) {
	switch in.Message.(type) {
	case simapi.AcceptModeChanged, simapi.DiscoveryAcceptModeChanged:
		return
	}
	s := f.schedulers[in.Scheduler]
	if _, starts := in.Message.(simapi.Start); !s.up && !starts {
		f.t.Fatalf("at %v, scheduler %d does not run and receives %T", f.env.now, in.Scheduler, in.Message)
	}
	switch message := in.Message.(type) {
	case simapi.Start:
		f.startScheduler(in.Scheduler, &message.KnownEndpoints)
	case simapi.Kill:
		s.up = false
	case simapi.Terminate:
		if f.exitsOnTerminate {
			s.up = false
			f.outputs = append(f.outputs, simapi.Output{Scheduler: in.Scheduler, Message: simapi.Exited{}})
		}
	case simapi.Freeze:
		s.frozen, s.lastReceived = true, f.env.now
	case simapi.Resume:
		s.frozen, s.lastReceived = false, f.env.now
	case simapi.Reload:
		s.revision = 0
		f.watchDiscovery(in.Scheduler, f.env.now)
	case simapi.WatchEnded:
		s.lastReceived = f.env.now - 2*time.Second // it calls again in a second
	case simapi.WatchHeartbeat:
		s.lastReceived = f.env.now
	case simapi.ListReceived:
		s.lastReceived = f.env.now
		f.applyList(s, message.List)
	}
}

// startScheduler starts a scheduler with the list that it is given.
func (f *faultHarness) startScheduler(number int, known *requests.EndpointList) {
	s := f.schedulers[number]
	s.up, s.frozen, s.list, s.revision = true, false, map[string]requests.Endpoint{}, known.Revision
	for _, endpoint := range known.Endpoints {
		s.list[endpoint.ID] = endpoint
	}
	f.outputs = append(f.outputs, simapi.Output{Scheduler: number, Message: simapi.Ready{}})
	if !s.neverCalls {
		f.watchDiscovery(number, f.env.now)
	}
}

// applyList applies a list that discovery has sent to a scheduler.
func (f *faultHarness) applyList(s *testScheduler, list *requests.EndpointList) {
	if list.Reset {
		s.list = map[string]requests.Endpoint{}
	} else if revision := list.Revision; revision < s.revision || revision == s.revision && len(list.Endpoints) > 0 {
		f.t.Fatalf("at %v, revision %d follows %d", f.env.now, revision, s.revision)
	}
	s.revision = list.Revision
	for _, endpoint := range list.Endpoints {
		if s.list[endpoint.ID] = endpoint; endpoint.Lifecycle == "removed" {
			delete(s.list, endpoint.ID)
		}
	}
}

// eventsOfKinds returns the trace events of the given kinds from an index on.
func (f *faultHarness) eventsOfKinds(from int, kinds ...trace.Kind) (list []trace.Event) {
	for _, event := range f.events[from:] {
		for _, k := range kinds {
			if event.Kind == k {
				list = append(list, event)
			}
		}
	}
	return list
}

// receivedMessage is a message that a scheduler received.
type receivedMessage[T simapi.InputMessage] struct {
	scheduler int
	message   T
}

// messagesOf returns the messages of a type that schedulers received, from an index of the inputs on.
func messagesOf[T simapi.InputMessage](f *faultHarness, from int) (list []receivedMessage[T]) {
	for _, in := range f.inputs[from:] {
		if message, ok := in.Message.(T); ok {
			list = append(list, receivedMessage[T]{in.Scheduler, message})
		}
	}
	return list
}
