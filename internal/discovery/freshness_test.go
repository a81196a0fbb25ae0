package discovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"valvecove/internal/steps"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// The page's figures, stated once more and apart from the code under test.
const (
	specStaleness               = 6 * sec   // "counts as told 6 s after discovery had it and could be reached"
	specServerChangeStaleness   = 4 * sec   // "After SIGHUP it counts 4 s later"
	specStopGrace               = 500 * ms  // the least time to stop sending that any settings give
	maxDelayAfterRecovery       = 2500 * ms // what is told already is heard so soon after discovery can be reached again
	maxDelayAfterRecoveryPushed = 800 * ms  // and where lists are pushed
	never                       = time.Duration(1) << 62
	startTime                   = 1000 * time.Hour
	serverTimeout               = 3 * sec // a call that waits longer at discovery fails there
)

// listChange is one that discovery has made.
type listChange struct {
	madeAt          time.Duration
	reachableAt     time.Duration // when discovery had it and could be reached first; never: not yet
	recoveredAt     time.Duration // when it could be reached again last
	silentAt        time.Duration // when the watch fell silent that missed it; never: none did
	serverChangedAt time.Duration // when another discovery was named, after it; never: none was
	queueDelay      time.Duration // how long calls have waited at discovery since
}

// stalenessDeadline is the page's statement, by what has happened so far.
func (c listChange) stalenessDeadline(r Config) time.Duration {
	span := specStaleness
	if r.PollInterval > 0 {
		span = min(span, r.PollInterval)
	}
	by := never
	if c.reachableAt < never {
		if by = c.reachableAt + span; r.Pushed && c.silentAt == never {
			by = c.reachableAt
		}
	}
	if c.silentAt < never {
		by = min(by, max(c.madeAt, c.silentAt+span))
	}
	if c.serverChangedAt < never {
		by = min(by, c.serverChangedAt+specServerChangeStaleness)
	}
	return by
}

// discoveryModel is a model of it, of the way there, and of one scheduler that calls it.
type discoveryModel struct {
	*steps.Steps
	config      Config
	watch       *Watch
	now         time.Duration
	down        bool // it refuses
	partitioned bool // nothing passes
	silentAt    time.Duration
	watching    bool // the watch: it speaks unless it has fallen silent
	lastLine    time.Duration
	connecting  bool
	connected   bool
	queueDelay  time.Duration // how long the next call waits for its turn
	answerAt    time.Duration // when this one is answered
	pending     []listChange
	connects    []time.Duration
}

func (d *discoveryModel) draw(n int64) int64 {
	return []int64{0, n - 1, n / 2, n / 3, n / 5}[d.Pick(5)]
}

func (d *discoveryModel) reachable() bool { return !d.down && !d.partitioned }

// begins a call, or gives up.
func (d *discoveryModel) runActions() {
	for range 3 {
		switch d.watch.NextAction(d.now) {
		case ActionConnect:
			d.watching, d.connecting, d.connected, d.silentAt = false, true, false, never
			d.connects = append(d.connects, d.now)
			d.watch.Connecting(d.now)
			if d.down && !d.partitioned {
				d.connecting = false
				d.watch.Ended(d.now, false)
			}
		case ActionAbort:
			d.connecting, d.watching = false, false
			d.watch.Ended(d.now, true)
		default:
			return
		}
	}
	d.Check(false, "%v: it never rests", d.now)
}

// breakConnection breaks the call or the watch. A call that fails has not reached discovery.
func (d *discoveryModel) breakConnection() {
	for i := range d.pending {
		if d.connecting {
			d.pending[i].recoveredAt = d.now
		}
	}
	if d.watching || d.connecting {
		d.watching, d.connecting = false, false
		d.watch.Ended(d.now, false)
	}
}

func (d *discoveryModel) advance(span time.Duration) {
	for until := d.now + span; d.now < until; {
		d.now += 10 * ms
		for i := range d.pending {
			c := &d.pending[i]
			if c.reachableAt == never && d.reachable() {
				c.reachableAt = d.now
			}
		}
		if d.connecting && !d.connected && d.reachable() {
			d.connected, d.answerAt = true, d.now+d.queueDelay
			d.watch.Connected(d.now)
		}
		if d.connecting && d.connected && !d.partitioned && d.now >= d.answerAt {
			if d.queueDelay > serverTimeout {
				d.breakConnection()
			} else {
				d.connecting, d.watching, d.lastLine = false, true, d.now
				d.receive()
			}
		}
		for i := range d.pending {
			if d.connecting && d.connected {
				d.pending[i].queueDelay += 10 * ms
			}
		}
		if d.watching && d.silentAt == never && d.now-d.lastLine >= 2*sec {
			d.lastLine = d.now
			d.receive()
		}
		d.runActions()
		d.checkDeadlines()
	}
}

func (d *discoveryModel) receive() {
	d.watch.Received(d.now)
	d.pending = d.pending[:0]
}

// checkDeadlines holds what the state says, and when things were heard, to the page's statement.
func (d *discoveryModel) checkDeadlines() {
	for _, c := range d.pending {
		told := c.stalenessDeadline(d.config)
		d.Check(d.watch.StalenessDeadline() <= told, "%v: a change of %v counts as told at %v, and the state says %v", d.now, c.madeAt, told, d.watch.StalenessDeadline())
		if told < never && d.reachable() && d.config.PollInterval == 0 {
			back := maxDelayAfterRecovery
			if d.config.Pushed {
				back = maxDelayAfterRecoveryPushed
			}
			by := max(told+specStopGrace, c.recoveredAt+back) + c.queueDelay
			d.Check(d.now <= by, "%v: a change of %v, told at %v, in reach since %v, has not been heard by %v; calls %v, rules %+v", d.now, c.madeAt, told, c.recoveredAt, by, d.connects[max(0, len(d.connects)-6):], d.config)
		}
	}
}

// change notes a change; a watch that speaks tells it at once.
func (d *discoveryModel) change() {
	if d.watching && d.silentAt == never {
		d.lastLine = d.now
		d.receive()
		return
	}
	c := listChange{madeAt: d.now, reachableAt: never, recoveredAt: d.now, silentAt: never, serverChangedAt: never}
	if d.reachable() {
		c.reachableAt = d.now
	}
	if d.watching {
		c.silentAt = d.silentAt
	}
	d.pending = append(d.pending, c)
}

func (d *discoveryModel) markRecovered() {
	for i := range d.pending {
		if d.reachable() {
			d.pending[i].recoveredAt = d.now
		}
	}
}

// Whatever happens to discovery and to the way there, the state never says later than the page by when a change that has
// not been heard counts as told; and whenever discovery can be reached, and calls need not wait there, it has been heard
// by then and the time to stop sending.
func FuzzStalenessDeadline(f *testing.F) {
	steps.Fuzz(f, func(s *steps.Steps) {
		d := &discoveryModel{Steps: s, now: startTime, silentAt: never}
		d.config = Config{PollInterval: []time.Duration{0, 0, 10 * sec, 3 * sec}[s.Pick(4)], Pushed: s.Pick(3) == 0, Schedulers: []int{1, 6, 300}[s.Pick(3)]}
		if d.config.PollInterval == 10*sec { // longer than the page's own limit, which holds then
			d.config.PollInterval = 0
			d.watch = New(Config{PollInterval: 10 * sec, Pushed: d.config.Pushed, Schedulers: d.config.Schedulers}, d.draw, d.now)
		} else {
			d.watch = New(d.config, d.draw, d.now)
		}
		d.watch.Start(d.now, s.Pick(2) == 0)
		d.runActions()
		for s.More() {
			switch s.Pick(12) {
			case 0, 1:
				s.Did("change")
				d.change()
			case 2:
				s.Did("down or up")
				if d.down = !d.down; d.down && !d.partitioned {
					d.breakConnection()
				}
				d.markRecovered()
			case 3:
				s.Did("cut or mended")
				if d.partitioned = !d.partitioned; d.partitioned && d.watching && d.silentAt == never {
					d.silentAt = d.now
				}
				d.markRecovered()
			case 4:
				s.Did("silent")
				if d.watching && d.silentAt == never {
					d.silentAt = d.now
				}
			case 5:
				s.Did("reset")
				d.breakConnection()
			case 6:
				d.queueDelay = []time.Duration{0, 0, sec, 2500 * ms, 3100 * ms, time.Hour}[s.Pick(6)]
				s.Did("turn " + d.queueDelay.String())
			case 7:
				s.Did("moved")
				d.watching, d.connecting = false, false
				for i := range d.pending {
					if c := &d.pending[i]; c.serverChangedAt == never {
						c.serverChangedAt = d.now
					}
				}
				d.watch.ServerChanged(d.now)
			default:
				span := []time.Duration{10 * ms, 300 * ms, sec, 3 * sec}[s.Pick(4)]
				s.Did(span.String())
				d.advance(span)
			}
			d.runActions()
			d.checkDeadlines()
		}
		d.queueDelay = 0
		if d.down, d.partitioned = false, false; len(d.pending) > 0 {
			d.markRecovered()
		}
		d.advance(10 * sec) // in reach to the end: all is heard
		s.Check(len(d.pending) == 0 || d.config.PollInterval > 0, "never heard: %v", d.pending)
		s.Check(d.watch.IsWatching(), "no watch at the end")
	})
}

// What each way of losing the list leaves to do, at the worst draw: the next call comes so late that its answer, waited for
// as long as a call ever is, still comes before a change counts as told; or, after silence, that one more call has time.
func TestWorstCaseBackoff(t *testing.T) {
	for _, c := range []struct {
		name   string
		lose   func(s *Watch) (since time.Duration)
		within time.Duration // from then, to the next call
	}{
		{"reset", func(s *Watch) time.Duration { s.Ended(startTime+sec, false); return startTime }, 3 * sec},
		{"silent", func(s *Watch) time.Duration { s.Ended(startTime+3*sec, true); return startTime }, 5 * sec},
		{"refused", func(s *Watch) time.Duration {
			now := startTime
			s.Ended(now, false)
			for range 12 {
				now, _ = s.NextDeadline()
				s.Connecting(now)
				s.Ended(now, false)
			}
			return now
		}, 2 * sec},
		{"silent, then refused", func(s *Watch) time.Duration { // what was missed counts whether or not discovery is up
			s.Ended(startTime+3*sec, true)
			now, _ := s.NextDeadline()
			s.Connecting(now)
			s.Ended(now, false)
			return now
		}, 750 * ms},
		{"moved", func(s *Watch) time.Duration { s.ServerChanged(startTime); return startTime }, sec},
	} {
		for _, callers := range []int{1, 9, 300} {
			s := New(Config{PollInterval: 10 * sec, Schedulers: callers}, func(n int64) int64 { return n - 1 }, startTime)
			s.Ensure(startTime)
			s.Connecting(startTime)
			s.Connected(startTime)
			s.Received(startTime)
			since := c.lose(s)
			if next, ok := s.NextDeadline(); !ok || next-since > c.within {
				t.Errorf("%s, %d callers: the next call after %v, wanted within %v", c.name, callers, next-since, c.within)
			}
		}
	}
}

// Many that lose their watches together, or begin together, do not call together; nor do they call without end.
func TestManySchedulersSpreadConnects(t *testing.T) {
	for name, lose := range map[string]func(s *Watch){
		"silent": func(s *Watch) { s.Ended(startTime+3*sec, true) },
		"reset":  func(s *Watch) { s.Ended(startTime+sec, false) },
		"moved":  func(s *Watch) { s.ServerChanged(startTime) },
		"begun":  nil,
	} {
		const all = 300
		tenths := map[time.Duration]int{}
		for seed := range uint64(all) {
			s := New(Config{PollInterval: 10 * sec, Schedulers: all}, rand.New(rand.NewPCG(seed, 1)).Int64N, startTime)
			if lose == nil {
				s.Start(startTime, true)
			} else {
				s.Ensure(startTime)
				s.Connecting(startTime)
				s.Connected(startTime)
				s.Received(startTime)
				lose(s)
			}
			at, _ := s.NextDeadline()
			tenths[at/(100*ms)]++
		}
		for at, n := range tenths {
			if n > all/5 {
				t.Errorf("%s: %d of %d call within a tenth of a second, at %v", name, n, all, at*100*ms)
			}
		}
	}
	for _, callers := range []int{1, 300} { // a discovery that fails all calls for a minute
		s := New(Config{PollInterval: 10 * sec, Schedulers: callers}, func(int64) int64 { return 0 }, startTime)
		s.Ensure(startTime)
		now, calls := startTime, 0
		for ; now < startTime+60*sec; calls++ {
			now, _ = s.NextDeadline()
			s.Connecting(now)
			s.Ended(now, false)
		}
		if calls > 400 {
			t.Errorf("%d callers: %d calls each in a minute", callers, calls)
		}
	}
}

// A process without any list calls at once, however many others do; so does one whose list is pushed to where it calls.
func TestFirstConnect(t *testing.T) {
	for _, c := range []struct {
		rules  Config
		listed bool
		most   time.Duration
	}{{Config{Schedulers: 300}, false, 0}, {Config{Schedulers: 300, Pushed: true}, true, 0}, {Config{Schedulers: 3}, true, 0},
		{Config{Schedulers: 300}, true, 750 * ms}} {
		s := New(c.rules, func(n int64) int64 { return n - 1 }, startTime)
		s.Start(startTime, c.listed)
		if at, ok := s.NextDeadline(); !ok || at != startTime+c.most {
			t.Errorf("%+v, listed %v: the first call after %v, wanted %v", c.rules, c.listed, at-startTime, c.most)
		}
	}
}

// Where many call one after the other, each has its first list within its first wait: its call, put off as long as it may be,
// and an answer that comes at once.
func TestInitialWait(t *testing.T) {
	for _, c := range []struct {
		rules Config
		waits bool
	}{{Config{PollInterval: 10 * time.Second, Schedulers: 300}, true}, {Config{PollInterval: 10 * time.Second, Schedulers: maxSimultaneousSchedulers}, false},
		{Config{PollInterval: 10 * time.Second, Schedulers: 300, Pushed: true}, false}} {
		s := New(c.rules, func(n int64) int64 { return n - 1 }, startTime)
		s.Start(startTime, true)
		at, _ := s.NextDeadline()
		if wait := s.InitialWait(); (wait > 0) != c.waits || wait > 0 && startTime+wait < at+200*time.Millisecond || wait > 3*time.Second {
			t.Errorf("%+v: waits %v, calls after %v", c.rules, wait, at-startTime)
		}
	}
}
