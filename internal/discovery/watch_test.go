package discovery

import (
	"math/rand/v2"
	"testing"
	"time"
)

// drawMax always returns the largest possible random number, and drawMin the smallest.
func drawMax(n int64) int64 { return n - 1 }
func drawMin(int64) int64   { return 0 }

// newWatching returns a watch that has received a line at startTime.
func newWatching(config Config, random func(n int64) int64) *Watch {
	w := New(config, random, startTime)
	w.Restart(startTime)
	w.ConnectStarted(startTime)
	w.Connected(startTime)
	w.LineReceived(startTime)
	return w
}

// refuse lets the next connections fail as soon as they are opened, and returns the time of the last failure.
func refuse(w *Watch, times int) (last time.Duration) {
	for range times {
		last, _ = w.NextDeadline()
		w.ConnectStarted(last)
		w.Ended(last, false)
	}
	return last
}

// After any loss of the watch, and with the largest random backoff, the next connection is opened early enough that a response
// within the time limits is received before the staleness deadline. After a watch that was silent, there is also time for one
// more connection.
func TestWorstCaseBackoff(t *testing.T) {
	for _, test := range []struct {
		name   string
		lose   func(w *Watch) (since time.Duration)
		within time.Duration // maximum time from since to the next connection
	}{
		{"reset", func(w *Watch) time.Duration { w.Ended(startTime+sec, false); return startTime }, 3 * sec},
		{"silent", func(w *Watch) time.Duration { w.Ended(startTime+3*sec, true); return startTime }, 5 * sec},
		{"refused", func(w *Watch) time.Duration {
			w.Ended(startTime, false)
			return refuse(w, 12)
		}, 2 * sec},
		// A change that the silent watch missed has its deadline whether or not the server is reachable.
		{"silent, then refused", func(w *Watch) time.Duration {
			w.Ended(startTime+3*sec, true)
			return refuse(w, 1)
		}, 750 * msec},
		{"other server", func(w *Watch) time.Duration { w.ChangeServer(startTime); return startTime }, sec},
	} {
		for _, schedulers := range []int{1, 9, 300} {
			w := newWatching(Config{PollInterval: 10 * sec, Schedulers: schedulers}, drawMax)
			since := test.lose(w)
			if next, ok := w.NextDeadline(); !ok || next-since > test.within {
				t.Errorf("%s, %d schedulers: next connection after %v, want at most %v", test.name, schedulers, next-since, test.within)
			}
		}
	}
}

// Many schedulers that lose their watches or start at the same time do not connect at the same time.
func TestManySchedulersSpreadConnections(t *testing.T) {
	const schedulers = 300
	config := Config{PollInterval: 10 * sec, Schedulers: schedulers}
	for name, start := range map[string]func(random func(n int64) int64) *Watch{
		"silent": func(random func(n int64) int64) *Watch {
			w := newWatching(config, random)
			w.Ended(startTime+3*sec, true)
			return w
		},
		"reset": func(random func(n int64) int64) *Watch {
			w := newWatching(config, random)
			w.Ended(startTime+sec, false)
			return w
		},
		"other server": func(random func(n int64) int64) *Watch {
			w := newWatching(config, random)
			w.ChangeServer(startTime)
			return w
		},
		"started": func(random func(n int64) int64) *Watch {
			w := New(config, random, startTime)
			w.Start(startTime, true)
			return w
		},
	} {
		connections := map[time.Duration]int{} // by tenth of a second
		for seed := range uint64(schedulers) {
			at, _ := start(rand.New(rand.NewPCG(seed, 1)).Int64N).NextDeadline()
			connections[at/(100*msec)]++
		}
		for at, n := range connections {
			if n > schedulers/5 {
				t.Errorf("%s: %d of %d schedulers connect in the 100 ms from %v on", name, n, schedulers, at*100*msec)
			}
		}
	}
}

// A scheduler does not connect in a loop to a server that refuses all connections: even with the smallest random backoff, it
// opens at most 400 in a minute.
func TestConnectionsToFailedServerAreBounded(t *testing.T) {
	for _, schedulers := range []int{1, 300} {
		w := New(Config{PollInterval: 10 * sec, Schedulers: schedulers}, drawMin, startTime)
		w.Restart(startTime)
		connections := 0
		for now := startTime; now < startTime+60*sec; connections++ {
			now = refuse(w, 1)
		}
		if connections > 400 {
			t.Errorf("%d schedulers: %d connections in a minute by each, want at most 400", schedulers, connections)
		}
	}
}

// A process without a list connects at once, regardless of the number of schedulers. A process whose list is pushed to its server
// does so too.
func TestFirstConnection(t *testing.T) {
	for _, test := range []struct {
		config  Config
		hasList bool
		want    time.Duration
	}{
		{Config{Schedulers: 300}, false, 0},
		{Config{Schedulers: 300, Pushed: true}, true, 0},
		{Config{Schedulers: 3}, true, 0},
		{Config{Schedulers: 300}, true, 750 * msec},
	} {
		w := New(test.config, drawMax, startTime)
		w.Start(startTime, test.hasList)
		if at, ok := w.NextDeadline(); !ok || at != startTime+test.want {
			t.Errorf("%+v, has a list %v: first connection after %v, want %v", test.config, test.hasList, at-startTime, test.want)
		}
	}
}

// If connections are spread, the initial wait is long enough for a process that connects after the maximum delay and receives an
// immediate response.
func TestInitialWait(t *testing.T) {
	for _, test := range []struct {
		config Config
		waits  bool
	}{
		{Config{PollInterval: 10 * sec, Schedulers: 300}, true},
		{Config{PollInterval: 10 * sec, Schedulers: maxSimultaneousSchedulers}, false},
		{Config{PollInterval: 10 * sec, Schedulers: 300, Pushed: true}, false},
	} {
		w := New(test.config, drawMax, startTime)
		w.Start(startTime, true)
		at, _ := w.NextDeadline()
		wait := w.InitialWait()
		if (wait > 0) != test.waits || wait > 0 && startTime+wait < at+200*msec || wait > 3*sec {
			t.Errorf("%+v: initial wait %v, connects after %v", test.config, wait, at-startTime)
		}
	}
}

// A server that is slow to accept connections is still reached, because every second attempt has a longer timeout.
func TestSlowServerIsReached(t *testing.T) {
	const within = 5 * sec
	for _, acceptDelay := range []time.Duration{300 * msec, 700 * msec, 1200 * msec} {
		for _, schedulers := range []int{1, 300} {
			w := New(Config{PollInterval: 10 * sec, Schedulers: schedulers}, drawMax, startTime)
			w.Restart(startTime)
			now := startTime
			for now < startTime+within && w.State() != AwaitingFirstLine {
				now, _ = w.NextDeadline()
				w.ConnectStarted(now)
				if timeout, _ := w.NextDeadline(); timeout > now+acceptDelay {
					w.Connected(now + acceptDelay)
				} else {
					w.Ended(timeout, true)
				}
			}
			if w.State() != AwaitingFirstLine {
				t.Errorf("connections accepted after %v, %d schedulers: state %v after %v", acceptDelay, schedulers, w.State(), within)
			}
		}
	}
}

// If the server is changed repeatedly, a connection is opened before the staleness deadline of the first change, although each
// change may delay it.
func TestRepeatedServerChanges(t *testing.T) {
	for _, interval := range []time.Duration{msec, 100 * msec, 300 * msec, 600 * msec, 900 * msec} {
		w := newWatching(Config{PollInterval: 10 * sec, Schedulers: 300}, drawMax)
		now, connected := startTime, false
		for ; now < startTime+specServerChangeStaleness && !connected; now += interval {
			w.ChangeServer(now)
			at, _ := w.NextDeadline()
			connected = at < now+interval
		}
		if at, _ := w.NextDeadline(); at > startTime+specServerChangeStaleness+minServerChangeDelay {
			t.Errorf("another server every %v: first connection after %v", interval, at-startTime)
		}
		if !connected && interval > minServerChangeDelay {
			t.Errorf("another server every %v: no connection within %v", interval, now-startTime)
		}
	}
}

// Each event leads to the expected state, or is invalid in the current state.
func TestTransitions(t *testing.T) {
	const invalid = State(99)
	// Next states by current state: Disconnected, BackingOff, Connecting, AwaitingFirstLine, Watching.
	for e, want := range map[event][Watching + 1]State{
		eventStart:        {BackingOff, invalid, invalid, invalid, invalid},
		eventStop:         {},
		eventChangeServer: {BackingOff, BackingOff, BackingOff, BackingOff, BackingOff},
		eventConnect:      {invalid, Connecting, invalid, invalid, invalid},
		eventConnected:    {invalid, invalid, AwaitingFirstLine, invalid, invalid},
		eventReceived:     {invalid, invalid, invalid, Watching, Watching},
		eventEnd:          {invalid, invalid, BackingOff, BackingOff, BackingOff},
	} {
		for from := Disconnected; from <= Watching; from++ {
			next, valid := from.after(e)
			if valid != (want[from] != invalid) || valid && next != want[from] {
				t.Errorf("state %v, event %d: next state %v, valid %v, want next state %v", from, e, next, valid, want[from])
			}
		}
	}
}
