package environment

import (
	"testing"
	"time"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// faultHarness is a whole world with hardly a client, and schedulers that do nothing but follow discovery.
type faultHarness struct {
	t       testing.TB
	w       *Environment
	spec    *scenario.Scenario
	scheds  []*follower
	events  []trace.Event
	inputs  []simapi.Input // all that came
	outputs []simapi.Output
	exit    bool // what follows SIGTERM is the process's own end
}

// follower is a scheduler that keeps a list by what it is told.
type follower struct {
	up, frozen   bool
	list         map[string]requests.Endpoint
	revision     int64
	lastReceived time.Duration // when its watch spoke last
	silent       bool          // it never asks
}

// quiet is a run of such an environment: of so many workers, and without chance in the network.
func quiet(nodes, scheds int) *scenario.Scenario {
	s := scenario.Default()
	s.Fleet.Workers, s.Schedulers.Count, s.Length = nodes, scheds, scenario.Duration(5*time.Minute)
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
		f.scheds = append(f.scheds, &follower{})
	}
	f.w = New(spec, seed, 1000*time.Hour, func(s *trace.Event) { f.events = append(f.events, *s) })
	return f
}

// run plays for a while.
func (f *faultHarness) run(d time.Duration) {
	for to := f.w.now + d; ; {
		at, ok := f.w.Next()
		if len(f.outputs) > 0 {
			at = f.w.now
		} else if !ok || at > to {
			at = to
		}
		at = min(at, f.w.now+500*time.Millisecond) // followers look at their watches
		outs := f.outputs
		f.outputs = nil
		from := len(f.inputs)
		f.inputs = f.w.Step(at, outs, f.inputs)
		for i := range f.inputs[from:] {
			f.take(&f.inputs[from+i])
		}
		for i, s := range f.scheds { // as the program, it takes a watch for lost that is silent for 3 s
			if s.up && !s.frozen && !s.silent && at-s.lastReceived > 3*time.Second {
				f.watchDiscovery(i, at)
			}
		}
		if next, ok := f.w.Next(); at >= to && len(f.outputs) == 0 && (!ok || next > to) {
			return
		}
	}
}

// do has something happen now.
func (f *faultHarness) do(what func()) {
	f.w.after(0, what)
	f.run(0)
}

func (f *faultHarness) watchDiscovery(i int, now time.Duration) {
	s := f.scheds[i]
	s.lastReceived = now
	f.outputs = append(f.outputs, simapi.Output{Scheduler: i, Message: simapi.WatchRequested{Revision: s.revision}})
}

func (f *faultHarness) take(in *simapi.Input) {
	switch in.Message.(type) {
	case simapi.AcceptModeChanged, simapi.DiscoveryAcceptModeChanged:
		return
	}
	s := f.scheds[in.Scheduler]
	if _, starts := in.Message.(simapi.Start); !s.up && !starts {
		f.t.Fatalf("at %v, scheduler %d does not run and hears %T", f.w.now, in.Scheduler, in.Message)
	}
	switch message := in.Message.(type) {
	case simapi.Start:
		f.started(in.Scheduler, &message.KnownEndpoints)
	case simapi.Kill:
		s.up = false
	case simapi.Terminate:
		if f.exit {
			s.up = false
			f.outputs = append(f.outputs, simapi.Output{Scheduler: in.Scheduler, Message: simapi.Exited{}})
		}
	case simapi.Freeze:
		s.frozen, s.lastReceived = true, f.w.now
	case simapi.Resume:
		s.frozen, s.lastReceived = false, f.w.now
	case simapi.Reload:
		s.revision = 0
		f.watchDiscovery(in.Scheduler, f.w.now)
	case simapi.WatchEnded:
		s.lastReceived = f.w.now - 2*time.Second // and asks again in a second
	case simapi.WatchHeartbeat:
		s.lastReceived = f.w.now
	case simapi.ListReceived:
		s.lastReceived = f.w.now
		f.applyList(s, message.List)
	}
}

// started has a scheduler start with the list that it is given.
func (f *faultHarness) started(number int, known *requests.EndpointList) {
	s := f.scheds[number]
	s.up, s.frozen, s.list, s.revision = true, false, map[string]requests.Endpoint{}, known.Revision
	for _, h := range known.Endpoints {
		s.list[h.ID] = h
	}
	f.outputs = append(f.outputs, simapi.Output{Scheduler: number, Message: simapi.Ready{}})
	if !s.silent {
		f.watchDiscovery(number, f.w.now)
	}
}

// applyList has a scheduler follow what discovery tells.
func (f *faultHarness) applyList(s *follower, list *requests.EndpointList) {
	if list.Reset {
		s.list = map[string]requests.Endpoint{}
	} else if g := list.Revision; g < s.revision || g == s.revision && len(list.Endpoints) > 0 {
		f.t.Fatalf("at %v, generation %d follows %d", f.w.now, g, s.revision)
	}
	s.revision = list.Revision
	for _, h := range list.Endpoints {
		if s.list[h.ID] = h; h.Lifecycle == "removed" {
			delete(s.list, h.ID)
		}
	}
}

// all are the trace events of some kinds since an index.
func (f *faultHarness) all(from int, kinds ...trace.Kind) (list []trace.Event) {
	for _, s := range f.events[from:] {
		for _, k := range kinds {
			if s.Kind == k {
				list = append(list, s)
			}
		}
	}
	return list
}

// arrival is a message that reached a scheduler.
type arrival[T simapi.InputMessage] struct {
	scheduler int
	message   T
}

// arrived are the messages of a type that reached schedulers since an index.
func arrived[T simapi.InputMessage](f *faultHarness, from int) (list []arrival[T]) {
	for _, in := range f.inputs[from:] {
		if message, ok := in.Message.(T); ok {
			list = append(list, arrival[T]{in.Scheduler, message})
		}
	}
	return list
}
