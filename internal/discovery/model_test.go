package discovery

import (
	"testing"
	"time"

	"valvecove/internal/modeltest"
)

// Short names of units, for tables of instants.
const (
	msec = time.Millisecond
	sec  = time.Second
)

// The limits of the protocol's page, independent of the code under test.
const (
	specStaleness             = 6 * sec    // "counts as told 6 s after discovery had it and could be reached"
	specServerChangeStaleness = 4 * sec    // "After SIGHUP it counts 4 s later"
	specStopGrace             = 500 * msec // minimum of the setting for the time to stop sending
)

const (
	maxDelayAfterRecovery       = 2500 * msec // until a change is received that is due before the server is reachable again
	maxDelayAfterRecoveryPushed = 500 * msec  // the same if lists are pushed: the time to stop sending
	serverTimeout               = 3 * sec     // a request that is queued at the server for longer fails there
	never                       = time.Duration(1) << 62
	startTime                   = 1000 * time.Hour
	modelStep                   = 10 * msec
)

// listChange is a change of the list at the server.
type listChange struct {
	madeAt          time.Duration
	reachableAt     time.Duration // when the server first had it and was reachable; never: not yet
	recoveredAt     time.Duration // when the server last became reachable again
	silentAt        time.Duration // when the watch that missed it became silent; never: none did
	serverChangedAt time.Duration // when the server was changed after it; never: it was not
	queueDelay      time.Duration // time that requests were queued at the server since
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

// discoveryModel is a model of the server, of the network, and of one scheduler that watches the list.
type discoveryModel struct {
	*modeltest.Steps
	config      Config
	watch       *Watch
	now         time.Duration
	down        bool // the server refuses connections
	partitioned bool // no packet is delivered
	silentAt    time.Duration
	watching    bool // lines are sent, unless the watch is silent
	lastLine    time.Duration
	connecting  bool
	connected   bool
	unanswered  bool          // the current connection is never established, as it was started during a partition
	queueDelay  time.Duration // of the next request
	answerAt    time.Duration // of the current request
	pending     []listChange  // not received yet
	connects    []time.Duration
}

func newDiscoveryModel(choices *modeltest.Steps) *discoveryModel {
	model := &discoveryModel{Steps: choices, now: startTime, silentAt: never}
	model.config = Config{
		PollInterval: []time.Duration{0, 0, 10 * sec, 3 * sec}[choices.Pick(4)],
		Pushed:       choices.Pick(3) == 0,
		Schedulers:   []int{1, 6, 300}[choices.Pick(3)],
	}
	model.watch = New(model.config, model.random, model.now)
	if model.config.PollInterval == 10*sec { // longer than the limit of the protocol, which applies then
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
	d.Check(false, "%v: it never rests", d.now)
}

func (d *discoveryModel) connect() {
	d.watching = false
	d.connecting = true
	d.connected = false
	d.silentAt = never
	d.connects = append(d.connects, d.now)
	d.watch.Connect(d.now)
	d.unanswered = d.partitioned && d.Pick(2) == 0
	if d.down && !d.partitioned {
		d.connecting = false
		d.watch.Ended(d.now, false)
	}
}

// breakConnection ends the connection. A request that fails has not reached the server.
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

// advanceRequest establishes the connection of a new watch, queues its request, and responds to it.
func (d *discoveryModel) advanceRequest() {
	if d.connecting && !d.connected && d.isReachable() && !d.unanswered {
		d.connected = true
		d.answerAt = d.now + d.queueDelay
		d.watch.Connected(d.now)
	}
	if d.connecting && d.connected && !d.partitioned && d.now >= d.answerAt {
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
	d.watch.Received(d.now)
	d.pending = d.pending[:0]
}

// checkDeadlines compares the staleness deadline, and the times at which changes are received, with the protocol.
func (d *discoveryModel) checkDeadlines() {
	for _, change := range d.pending {
		deadline := change.stalenessDeadline(d.config)
		got := d.watch.StalenessDeadline()
		d.Check(got <= deadline, "%v: a change of %v counts as known at %v, and the watch has %v", d.now, change.madeAt, deadline, got)
		if deadline == never || !d.isReachable() || d.config.PollInterval > 0 {
			continue
		}
		recovery := maxDelayAfterRecovery
		if d.config.Pushed {
			recovery = maxDelayAfterRecoveryPushed
		}
		latest := max(deadline+specStopGrace, change.recoveredAt+recovery) + change.queueDelay
		d.Check(d.now <= latest, "%v: a change of %v, known at %v, in reach since %v, has not been received by %v; connections %v, %+v",
			d.now, change.madeAt, deadline, change.recoveredAt, latest, d.connects[max(0, len(d.connects)-6):], d.config)
	}
}

// change changes the list; a watch that is not silent sends it at once.
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

func (d *discoveryModel) markRecovered() {
	if !d.isReachable() {
		return
	}
	for i := range d.pending {
		d.pending[i].recoveredAt = d.now
	}
}

// fallSilent has the server stop sending on the watch.
func (d *discoveryModel) fallSilent() {
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
		d.fallSilent()
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
		d.Record("down or up")
		d.toggleDown()
	case 3:
		d.Record("partitioned or mended")
		d.togglePartition()
	case 4:
		d.Record("silent")
		d.fallSilent()
	case 5:
		d.Record("reset")
		d.breakConnection()
	case 6:
		d.queueDelay = []time.Duration{0, 0, sec, 2500 * msec, 3100 * msec, time.Hour}[d.Pick(6)]
		d.Record("queue delay " + d.queueDelay.String())
	case 7:
		d.Record("other server")
		d.changeServer()
	default:
		span := []time.Duration{10 * msec, 300 * msec, sec, 3 * sec}[d.Pick(4)]
		d.Record(span.String())
		d.advance(span)
	}
	d.runActions()
	d.checkDeadlines()
}

// With any faults of the server and the network, the staleness deadline is never later than the protocol's. If the server is
// reachable and requests are not queued there, every change is received by that deadline plus the time to stop sending.
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
		model.advance(10 * sec) // reachable until the end: all changes are received
		choices.Check(len(model.pending) == 0 || model.config.PollInterval > 0, "never received: %v", model.pending)
		choices.Check(model.watch.State() == Watching, "it is %v at the end", model.watch.State())
	})
}
