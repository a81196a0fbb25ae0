package requests

import (
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// clockErrors contains the differences by which the process's clock is ahead of the workers' clocks.
var clockErrors = []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour}

// initialInstant is the instant at which a test starts, by the workers' clock.
const initialInstant = 1_764_633_600 * time.Second

// startTimesFixture is a table of a process with a wrong clock, and the endpoint lists that the process receives.
type startTimesFixture struct {
	table         *Table
	clockAhead    time.Duration
	now           time.Duration // by the workers' clock
	listCurrentAt time.Duration // when the list was last current, by the process's clock
}

func newStartTimesFixture(clockAhead time.Duration) *startTimesFixture {
	policy := &modeltest.ScriptedPolicy{}
	table := newTestTable(policy, 0, newRecordingTransport())
	return &startTimesFixture{table: table, clockAhead: clockAhead, now: initialInstant}
}

// wait advances the time, and marks the list as current at the new time.
func (s *startTimesFixture) wait(passed time.Duration) {
	s.now += passed
	s.listCurrentAt = s.now + s.clockAhead
}

// receive applies a list.
func (s *startTimesFixture) receive(isReset bool, endpoints ...Endpoint) {
	receipt := Receipt{At: s.now + s.clockAhead, PreviousCurrentAt: s.listCurrentAt}
	s.table.UpdateEndpoints(EndpointList{Reset: isReset, Endpoints: endpoints, Receipt: receipt})
}

// receiveFleet applies a full list of newest and nine older workers: s-1 without a start time, the others started 24 h apart.
func (s *startTimesFixture) receiveFleet(newest Endpoint) {
	endpoints := []Endpoint{newest}
	for n := 1; n < 10; n++ {
		endpoints = append(endpoints, s.started(n, time.Duration(n-1)*24*time.Hour))
	}
	endpoints[1].StartedAtMs = 0 // not known: the worker is assumed to be warm
	s.receive(true, endpoints...)
	s.wait(0)
}

// started returns the endpoint of a worker that started the given time ago.
func (s *startTimesFixture) started(number int, ago time.Duration) Endpoint {
	return Endpoint{
		ID: fmt.Sprint("s-", number), Addr: "10.0.0.1:80", Lifecycle: lifecycleUp, StartedAtMs: (s.now - ago).Milliseconds(),
	}
}

// age returns the age of a worker by the start time that the policy has received, or -1 if it has received none.
func (s *startTimesFixture) age(number int) time.Duration {
	worker := s.table.endpoints.listed[hashID(fmt.Sprint("s-", number))]
	if worker.BootAt == 0 {
		return -1
	}
	return s.now + s.clockAhead - worker.BootAt
}

// expectAge checks that the age of a worker is in a range.
func (s *startTimesFixture) expectAge(t *testing.T, what string, number int, least, most time.Duration) {
	t.Helper()
	if age := s.age(number); age < least || age > most {
		t.Errorf("clock ahead by %v, %s: the age of s-%d is %v, expected %v to %v", s.clockAhead, what, number, age, least, most)
	}
}

// The age of a worker that an update lists while the watch is open is wrong by 200 ms at most. With a correct clock it is the
// listed age.
func TestStartTimesOfEndpointUpdates(t *testing.T) {
	for _, ahead := range clockErrors {
		f := newStartTimesFixture(ahead)
		f.receiveFleet(f.started(0, 0))
		f.wait(30 * time.Second)
		f.now += 300 * time.Millisecond
		f.receive(false, f.started(0, 200*time.Millisecond)) // restarted
		f.expectAge(t, "restarted", 0, 0, 200*time.Millisecond)
		f.receive(false, f.started(10, 100*time.Millisecond)) // joined
		f.expectAge(t, "joined", 10, 0, 200*time.Millisecond)
		if ahead == 0 && (f.age(0) != 200*time.Millisecond || f.age(10) != 100*time.Millisecond) {
			t.Errorf("with a correct clock the ages are %v and %v, expected the listed ones", f.age(0), f.age(10))
		}
		f.wait(4 * time.Second)
		f.expectAge(t, "4 s later", 0, 4*time.Second, 4200*time.Millisecond)
	}
}

// A process that has received only one list must treat the worker that has just started, one of ten, as cold.
func TestStartTimesOfFirstList(t *testing.T) {
	for _, ahead := range clockErrors {
		f := newStartTimesFixture(ahead)
		f.receiveFleet(f.started(0, 300*time.Millisecond))
		f.expectAge(t, "first list", 0, 0, 300*time.Millisecond)
		f.expectAge(t, "first list", 1, -1, -1)
		f.expectAge(t, "first list", 2, 23*time.Hour, 24*time.Hour)
		if ahead == 0 && f.age(0) != 300*time.Millisecond {
			t.Errorf("with a correct clock the age is %v, expected the listed one", f.age(0))
		}
	}
}

// A converted start time is not later than the list that contained it first, so that the slow start of a worker is not
// prolonged.
func TestStartTimesDoNotProlongSlowStart(t *testing.T) {
	for _, ahead := range clockErrors {
		for _, ago := range []time.Duration{time.Millisecond, 2 * time.Second, time.Minute, time.Hour - time.Second, 2 * time.Hour} {
			f := newStartTimesFixture(ahead)
			f.receiveFleet(f.started(0, ago))
			const slowStart = 20 * time.Second
			f.wait(slowStart)
			for n := range 10 {
				if age := f.age(n); age >= 0 && age < slowStart {
					t.Errorf("clock ahead by %v, s-0 started %v ago: after %v s-%d is %v old", ahead, ago, slowStart, n, age)
				}
			}
		}
	}
}

// Workers that were started together hours ago are assumed to be warm with any error of the clock: if they were assumed to be
// cold, requests that they can serve would be rejected.
func TestStartTimesOfFleetStartedTogetherAreWarm(t *testing.T) {
	for _, ahead := range clockErrors {
		f := newStartTimesFixture(ahead)
		var endpoints []Endpoint
		for n := range 10 {
			endpoints = append(endpoints, f.started(n, 2*time.Hour+time.Duration(n)*time.Second))
		}
		f.receive(true, endpoints...)
		for n := range 10 {
			f.expectAge(t, "started together", n, time.Minute, 4*time.Hour)
		}
	}
}

// A start that is listed again keeps its converted time: in a full list after the watch was lost, when the worker starts to
// drain, and when it is listed again after its removal.
func TestStartTimesListedAgainAreUnchanged(t *testing.T) {
	for _, ahead := range clockErrors {
		f := newStartTimesFixture(ahead)
		f.receiveFleet(f.started(0, 0))
		f.wait(time.Second)
		joined := f.started(10, 100*time.Millisecond)
		f.receive(false, joined)
		before := f.table.endpoints.listed[hashID("s-10")].BootAt
		draining := joined
		draining.Lifecycle = "draining"
		for what, repeat := range map[string]func(){
			"full list": func() { f.receive(true, joined) },
			"draining":  func() { f.receive(false, draining) },
			"listed again": func() {
				f.receive(false, Endpoint{ID: "s-10", Lifecycle: lifecycleRemoved})
				f.wait(time.Second)
				f.receive(false, joined)
			},
		} {
			f.wait(10 * time.Second)
			f.now += 5 * time.Second // the watch was lost
			repeat()
			if at := f.table.endpoints.listed[hashID("s-10")].BootAt; at != before {
				t.Errorf("clock ahead by %v, %s: the start time has changed by %v", ahead, what, at-before)
			}
		}
	}
}

// A start time that is invalid, because it is too far in the future, does not affect the start times of other workers.
func TestStartTimesIgnoreInvalidStart(t *testing.T) {
	for _, startedAtMs := range []int64{math.MaxInt64, 1 << 62, (initialInstant + 48*time.Hour).Milliseconds()} {
		f := newStartTimesFixture(0)
		f.receiveFleet(f.started(0, 300*time.Millisecond))
		f.wait(time.Second)
		f.receive(false, Endpoint{ID: "s-1", Lifecycle: lifecycleUp, StartedAtMs: startedAtMs}, f.started(2, 100*time.Millisecond))
		f.expectAge(t, "listed with an invalid start", 2, 100*time.Millisecond, 100*time.Millisecond)
		f.expectAge(t, "invalid start", 1, 0, 0)
	}
}

// Workers that start during an outage of the watch are listed late. A clock error of seconds can't be distinguished from such a
// delay then, and the listed times are used; an error of an hour is corrected.
func TestStartTimesAfterOutage(t *testing.T) {
	for _, ahead := range clockErrors {
		f := newStartTimesFixture(ahead)
		f.receiveFleet(f.started(0, time.Hour/2))
		f.wait(time.Minute)
		f.now += 8 * time.Second
		f.receive(true, f.started(0, 6*time.Second), f.started(1, 7*time.Second))
		most := 6 * time.Second
		if ahead > 0 && ahead < 8*time.Second {
			most += ahead // it can't be distinguished from a correct clock
		}
		f.expectAge(t, "after an outage", 0, 0, most)
		if ahead == 0 && (f.age(0) != 6*time.Second || f.age(1) != 7*time.Second) {
			t.Errorf("with a correct clock the ages are %v and %v, expected the listed ones", f.age(0), f.age(1))
		}
	}
}

// Once a listed start has shown that the process's clock is ahead, even by seconds only, the ages of workers that start during
// an outage are not overestimated.
func TestStartTimesAfterOutageWithClockShownAhead(t *testing.T) {
	for _, ahead := range clockErrors {
		f := newStartTimesFixture(ahead)
		f.receiveFleet(f.started(0, time.Hour/2))
		f.wait(time.Minute)
		f.now += 300 * time.Millisecond
		f.receive(false, f.started(1, 200*time.Millisecond))
		f.wait(time.Minute)
		f.now += 8 * time.Second
		f.receive(true, f.started(0, 6*time.Second))
		f.expectAge(t, "after an outage", 0, 5800*time.Millisecond, 6*time.Second)
	}
}

// If a start is listed late while the watch is open, the age of the worker is underestimated by the delay at most.
func TestStartTimesListedLate(t *testing.T) {
	for _, ahead := range clockErrors {
		f := newStartTimesFixture(ahead)
		f.receiveFleet(f.started(0, time.Hour/2))
		f.wait(time.Minute)
		f.now += 500 * time.Millisecond
		f.receive(false, f.started(0, 4*time.Second))
		f.expectAge(t, "listed 4 s late", 0, 0, 4*time.Second)
	}
}

// The successor in a hot restart has the same start times as its predecessor, converted to its own clock, and treats no worker
// as restarted.
func TestStartTimesAreRestoredByTakeOver(t *testing.T) {
	for _, ahead := range clockErrors {
		for _, step := range clockErrors {
			f, successor := newStartTimesFixture(ahead), newStartTimesFixture(ahead+step)
			list := []Endpoint{f.started(0, 300*time.Millisecond), f.started(2, 24*time.Hour), f.started(3, 0), f.started(4, 0)}
			list[2].StartedAtMs, list[3].StartedAtMs = 0, 0
			f.receive(true, list...)
			f.wait(30 * time.Second)
			f.receive(false, f.started(10, 100*time.Millisecond))
			successor.now = f.now
			successor.receive(true, list...)
			state, open := f.table.Snapshot()
			now := successor.now + successor.clockAhead
			successor.table.TakeOver(now, state.OnClock(step), open, nil, func() Policy { return &modeltest.ScriptedPolicy{} })
			successor.receive(false, f.started(10, 100*time.Millisecond))
			for _, n := range []int{0, 2, 10} {
				if got, want := successor.age(n), f.age(n); got != want {
					t.Errorf("clock ahead by %v, stepped by %v: the age of s-%d is %v, expected %v as in the predecessor", ahead, step, n, got, want)
				}
			}
		}
	}
}

// loadedFleet is a table with a dispatch.Dispatcher under a constant load. Workers finish each job after jobDuration.
type loadedFleet struct {
	*startTimesFixture
	transport *recordingTransport
	sent      map[string]int // jobs by worker
	running   []*Attempt
	finishAt  []time.Duration
}

const (
	loadInterval = 2500 * time.Microsecond // between jobs
	jobDuration  = 25 * time.Millisecond
)

func newLoadedFleet(clockAhead time.Duration) *loadedFleet {
	settings := dispatch.Settings{
		Replicas: 1, AttemptLimit: 3, StartNotifications: true, ConnectTimeout: 250 * time.Millisecond,
		PollInterval: 10 * time.Second, WarmUp: 8 * time.Second, WarmUpCapacity: 0.2, OverloadFactor: 1.5,
		OverloadWindow: time.Second,
		Classes: []dispatch.Class{{
			LatencyObjective: 400 * time.Millisecond, ObjectiveStretch: 2, ClientTimeout: 5 * time.Second, LateValue: 0.3,
		}},
	}
	transport := newRecordingTransport()
	newPolicy := func() Policy { return dispatch.New(settings, 1) }
	table := New(3, NameTable{Classes: []string{"a"}}, newPolicy, EndpointList{}, transport, slog.New(slog.DiscardHandler))
	fixture := &startTimesFixture{table: table, clockAhead: clockAhead, now: initialInstant}
	return &loadedFleet{startTimesFixture: fixture, transport: transport, sent: map[string]int{}}
}

// run admits a job every loadInterval for a duration.
func (l *loadedFleet) run(t *testing.T, length time.Duration) {
	t.Helper()
	for end := l.now + length; l.now < end; l.now += loadInterval {
		local := l.now + l.clockAhead
		for len(l.running) > 0 && l.finishAt[0] <= local {
			l.table.EndAttempt(l.running[0], []byte("r"), nil)
			l.running, l.finishAt = l.running[1:], l.finishAt[1:]
		}
		job := dispatch.Job{Remaining: 5 * time.Second, Hint: jobDuration}
		arrival := Arrival{CallID: local.String(), Job: job, Responder: &countingResponder{}}
		if _, err := l.table.Admit(local, arrival); err != nil {
			t.Fatal(err)
		}
		l.table.Step(local)
		for _, attempt := range l.transport.started {
			l.sent[attempt.EndpointID]++
			l.running, l.finishAt = append(l.running, attempt), append(l.finishAt, local+jobDuration)
		}
		l.transport.started = nil
	}
}

// One of ten workers has just started. Over 4 s it gets the same number of jobs with any error of the process's clock as with a
// correct clock, and at most 75 % of an equal share.
func TestStartTimesColdWorkerShareDoesNotDependOnClock(t *testing.T) {
	for what, start := range map[string]func(l *loadedFleet){
		"first list": func(l *loadedFleet) { l.receiveFleet(l.started(0, 0)) },
		"update": func(l *loadedFleet) {
			l.receiveFleet(l.started(0, 24*time.Hour))
			l.run(t, 2*time.Second)
			l.wait(0)
			clear(l.sent)
			l.receive(false, l.started(0, 0))
		},
	} {
		sent := map[time.Duration]int{}
		for _, ahead := range clockErrors {
			l := newLoadedFleet(ahead)
			start(l)
			l.run(t, 4*time.Second)
			all := 0
			for _, jobs := range l.sent {
				all += jobs
			}
			sent[ahead] = l.sent["s-0"]
			t.Logf("%s, clock ahead by %v: %d of %d, %.2f of an equal share", what, ahead, sent[ahead], all, 10*float64(sent[ahead])/float64(all))
			if sent[ahead] == 0 || 20*sent[ahead] > 15*all/10 {
				t.Errorf("%s, clock ahead by %v: %d of %d jobs", what, ahead, sent[ahead], all)
			}
		}
		for _, ahead := range clockErrors {
			if sent[ahead] != sent[0] {
				t.Errorf("%s, clock ahead by %v: %d jobs, %d with a correct clock", what, ahead, sent[ahead], sent[0])
			}
		}
	}
}
