package discovery

import (
	"testing"
	"time"

	"valvecove/internal/modeltest"
)

// Short names of units, for tables of durations.
const (
	msec = time.Millisecond
	sec  = time.Second
)

// The limits that the protocol's documentation states, independent of the code under test.
const (
	specStaleness             = 6 * sec    // "counts as told 6 s after discovery had it and could be reached"
	specServerChangeStaleness = 4 * sec    // "After SIGHUP it counts 4 s later"
	specStopGrace             = 500 * msec // minimum configurable time to stop sending to a worker after a change
)

const (
	maxDelayAfterRecovery       = 2500 * msec // from the server's recovery to the receipt of an overdue change
	maxDelayAfterRecoveryPushed = 500 * msec  // the same if lists are pushed: specStopGrace
	serverTimeout               = 3 * sec     // the server fails requests that are queued for longer
	never                       = time.Duration(1) << 62
	startTime                   = 1000 * time.Hour
	modelStep                   = 10 * msec
)

// listChange is a change of the list at the server that the scheduler has not received.
type listChange struct {
	madeAt          time.Duration
	reachableAt     time.Duration // when the server first had the change and was reachable; never: not yet
	recoveredAt     time.Duration // when the server last became reachable again
	silentAt        time.Duration // when the watch that missed the change became silent; never: no watch missed it
	serverChangedAt time.Duration // when another server was first configured after the change; never: not yet
	queueDelay      time.Duration // how long requests have been queued at the server since the change
}

// stalenessDeadline returns the deadline of the change according to the protocol.
func (l listChange) stalenessDeadline(config Config) time.Duration {
	limit := specStaleness
	if config.PollInterval > 0 {
		limit = min(limit, config.PollInterval)
	}
	deadline := never
	if l.reachableAt < never {
		deadline = l.reachableAt + limit
		if config.Pushed && l.silentAt == never {
			deadline = l.reachableAt
		}
	}
	if l.silentAt < never {
		deadline = min(deadline, max(l.madeAt, l.silentAt+limit))
	}
	if l.serverChangedAt < never {
		deadline = min(deadline, l.serverChangedAt+specServerChangeStaleness)
	}
	return deadline
}

// discoveryModel simulates the server, the network, and one scheduler that watches the list.
type discoveryModel struct {
	*modeltest.Steps
	config           Config
	watch            *Watch
	now              time.Duration
	down             bool          // the server refuses connections
	partitioned      bool          // no packet is delivered
	silentAt         time.Duration // when the server stopped sending lines on the watch; never: it has not
	watching         bool          // the response has started; the server sends lines unless silentAt is set
	lastLine         time.Duration
	connecting       bool            // a connection is being established, or its request has no response yet
	connected        bool            // the current connection was established
	neverEstablished bool            // the current connection is never established, as it was started during a partition
	queueDelay       time.Duration   // how long the server queues the next request
	respondAt        time.Duration   // when the server responds to the current request
	pending          []listChange    // changes that the scheduler has not received
	connects         []time.Duration // start times of the connections
}

func newDiscoveryModel(choices *modeltest.Steps) *discoveryModel {
	model := &discoveryModel{Steps: choices, now: startTime, silentAt: never}
	model.config = Config{
		PollInterval: []time.Duration{0, 0, 10 * sec, 3 * sec}[choices.Pick(4)],
		Pushed:       choices.Pick(3) == 0,
		Schedulers:   []int{1, 6, 300}[choices.Pick(3)],
	}
	model.watch = New(model.config, model.random, model.now)
	if model.config.PollInterval == 10*sec { // the protocol's lower limit applies, and the checks must use it
		model.config.PollInterval = 0
	}
	model.watch.Start(model.now, choices.Pick(2) == 0)
	return model
}

func (d *discoveryModel) random(n int64) int64 {
	return []int64{0, n - 1, n / 2, n / 3, n / 5}[d.Pick(5)]
}

func (d *discoveryModel) isReachable() bool { return !d.down && !d.partitioned }

// runActions executes the actions that are due.
func (d *discoveryModel) runActions() {
	for range 3 {
		switch d.watch.NextAction(d.now) {
		case ActionConnect:
			d.connect()
		case ActionAbort:
			d.connecting = false
			d.watching = false
			d.watch.Ended(d.now, true)
		case ActionNone:
			return
		}
	}
	d.Check(false, "%v: actions are due without end", d.now)
}

func (d *discoveryModel) connect() {
	d.watching = false
	d.connecting = true
	d.connected = false
	d.silentAt = never
	d.connects = append(d.connects, d.now)
	d.watch.ConnectStarted(d.now)
	d.neverEstablished = d.partitioned && d.Pick(2) == 0
	if d.down && !d.partitioned {
		d.connecting = false
		d.watch.Ended(d.now, false)
	}
}

// breakConnection ends the connection. If the request has no response yet, it counts as not having reached the server, so
// the delay that is allowed after a recovery starts again.
func (d *discoveryModel) breakConnection() {
	if d.connecting {
		for i := range d.pending {
			d.pending[i].recoveredAt = d.now
		}
	}
	if d.watching || d.connecting {
		d.watching = false
		d.connecting = false
		d.watch.Ended(d.now, false)
	}
}

func (d *discoveryModel) advance(span time.Duration) {
	for until := d.now + span; d.now < until; {
		d.now += modelStep
		for i := range d.pending {
			change := &d.pending[i]
			if change.reachableAt == never && d.isReachable() {
				change.reachableAt = d.now
			}
		}
		d.advanceRequest()
		if d.watching && d.silentAt == never && d.now-d.lastLine >= 2*sec {
			d.receive()
		}
		d.runActions()
		d.checkDeadlines()
	}
}

// advanceRequest establishes a new connection, queues its request at the server, and responds to the request once it is due.
func (d *discoveryModel) advanceRequest() {
	if d.connecting && !d.connected && d.isReachable() && !d.neverEstablished {
		d.connected = true
		d.respondAt = d.now + d.queueDelay
		d.watch.Connected(d.now)
	}
	if d.connecting && d.connected && !d.partitioned && d.now >= d.respondAt {
		if d.queueDelay > serverTimeout {
			d.breakConnection()
		} else {
			d.connecting = false
			d.watching = true
			d.receive()
		}
	}
	if d.connecting && d.connected {
		for i := range d.pending {
			d.pending[i].queueDelay += modelStep
		}
	}
}

func (d *discoveryModel) receive() {
	d.lastLine = d.now
	d.watch.LineReceived(d.now)
	d.pending = d.pending[:0]
}

// checkDeadlines checks that the watch's staleness deadline is not later than the protocol's, and that no change is received too
// late.
func (d *discoveryModel) checkDeadlines() {
	for _, change := range d.pending {
		deadline := change.stalenessDeadline(d.config)
		got := d.watch.StalenessDeadline()
		d.Check(got <= deadline, "%v: a change made at %v has the deadline %v, and the watch has %v", d.now, change.madeAt, deadline, got)
		if deadline == never || !d.isReachable() || d.config.PollInterval > 0 {
			continue
		}
		recovery := maxDelayAfterRecovery
		if d.config.Pushed {
			recovery = maxDelayAfterRecoveryPushed
		}
		latest := max(deadline+specStopGrace, change.recoveredAt+recovery) + change.queueDelay
		d.Check(d.now <= latest, "%v: a change made at %v, with deadline %v and server recovery at %v, was not received by %v; connections at %v, %+v",
			d.now, change.madeAt, deadline, change.recoveredAt, latest, d.connects[max(0, len(d.connects)-6):], d.config)
	}
}

// change changes the list. Unless the server has stopped sending lines, an open watch receives the change at once.
func (d *discoveryModel) change() {
	if d.watching && d.silentAt == never {
		d.receive()
		return
	}
	change := listChange{madeAt: d.now, reachableAt: never, recoveredAt: d.now, silentAt: never, serverChangedAt: never}
	if d.isReachable() {
		change.reachableAt = d.now
	}
	if d.watching {
		change.silentAt = d.silentAt
	}
	d.pending = append(d.pending, change)
}

// markRecovered records the time of a recovery of the server or the network, if the server is reachable.
func (d *discoveryModel) markRecovered() {
	if !d.isReachable() {
		return
	}
	for i := range d.pending {
		d.pending[i].recoveredAt = d.now
	}
}

// stopLines makes the server stop sending lines on the watch.
func (d *discoveryModel) stopLines() {
	if d.watching && d.silentAt == never {
		d.silentAt = d.now
	}
}

func (d *discoveryModel) toggleDown() {
	d.down = !d.down
	if d.down && !d.partitioned {
		d.breakConnection()
	}
	d.markRecovered()
}

func (d *discoveryModel) togglePartition() {
	d.partitioned = !d.partitioned
	if d.partitioned {
		d.stopLines()
	}
	d.markRecovered()
}

func (d *discoveryModel) changeServer() {
	d.watching = false
	d.connecting = false
	for i := range d.pending {
		change := &d.pending[i]
		if change.serverChangedAt == never {
			change.serverChangedAt = d.now
		}
	}
	d.watch.ChangeServer(d.now)
}

// step executes one random step.
func (d *discoveryModel) step() {
	switch d.Pick(12) {
	case 0, 1:
		d.Record("change")
		d.change()
	case 2:
		d.Record("toggle server down")
		d.toggleDown()
	case 3:
		d.Record("toggle partition")
		d.togglePartition()
	case 4:
		d.Record("stop lines")
		d.stopLines()
	case 5:
		d.Record("connection reset")
		d.breakConnection()
	case 6:
		d.queueDelay = []time.Duration{0, 0, sec, 2500 * msec, 3100 * msec, time.Hour}[d.Pick(6)]
		d.Record("queue delay " + d.queueDelay.String())
	case 7:
		d.Record("server change")
		d.changeServer()
	default:
		span := []time.Duration{10 * msec, 300 * msec, sec, 3 * sec}[d.Pick(4)]
		d.Record("advance " + span.String())
		d.advance(span)
	}
	d.runActions()
	d.checkDeadlines()
}

// With random faults of the server and the network, the staleness deadline is never later than the protocol's. If the server is
// reachable, every change is received by the protocol's deadline plus the time to stop sending, or shortly after a recovery, plus
// the time that requests are queued at the server.
func FuzzStalenessDeadline(f *testing.F) {
	modeltest.Fuzz(f, func(choices *modeltest.Steps) {
		model := newDiscoveryModel(choices)
		model.runActions()
		for choices.More() {
			model.step()
		}
		model.queueDelay = 0
		model.down = false
		model.partitioned = false
		if len(model.pending) > 0 {
			model.markRecovered()
		}
		model.advance(10 * sec) // the server stays reachable, so all changes are received
		choices.Check(len(model.pending) == 0 || model.config.PollInterval > 0, "changes never received: %v", model.pending)
		choices.Check(model.watch.State() == Watching, "state %v at the end", model.watch.State())
	})
}
