package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// LeaseCounts are counts of leases, for operators.
type LeaseCounts struct {
	Held    int // leases in use by attempts of this dispatcher
	Granted int // leases that this dispatcher has granted as a coordinator
	Waiting int // requests that it could not grant yet
}

// LeaseCounts returns the present counts of leases.
func (d *Dispatcher) LeaseCounts() LeaseCounts { return d.leases.counts() }

// leaseExchange connects the lease client, the coordinator and the directory of a dispatcher. It routes their
// messages: those to this dispatcher itself are handled within the same step. It decides nothing.
type leaseExchange struct {
	settings    *Settings
	actions     actionEmitter
	client      leaseClient
	coordinator leaseCoordinator
	directory   peerDirectory
	ownMessages []PeerMessage      // to this dispatcher itself, not handled yet
	grants      []addressedMessage // buffer of grantWaiting
}

// actionEmitter appends an action to those of the present step.
type actionEmitter interface {
	emit(action Action)
}

func newLeaseExchange(
	settings *Settings, rng *rand.Rand, timers *timerQueue, adapter *leaseAdapter,
) *leaseExchange {
	exchange := &leaseExchange{settings: settings, actions: adapter.dispatcher}
	exchange.client = leaseClient{
		settings:  settings,
		rng:       rng,
		directory: &exchange.directory,
		timers:    timers,
		jobs:      adapter,
		peers:     exchange,
	}
	exchange.coordinator = leaseCoordinator{
		settings:        settings,
		rng:             rng,
		directory:       &exchange.directory,
		fleet:           adapter,
		placementGroups: placementGroups(settings.Classes),
	}
	exchange.clear()
	return exchange
}

// clear forgets all leases, granted or requested, and all of the other dispatchers.
func (l *leaseExchange) clear() {
	l.directory = newPeerDirectory(l.settings)
	l.client.clear()
	l.coordinator.clear()
}

// handleWorkerList updates what depends on the list of workers.
func (l *leaseExchange) handleWorkerList(workers []*workerInfo) {
	l.client.updateReadyZones(workers)
	l.coordinator.handleWorkerList()
}

// handleMessage handles a message from another dispatcher. A message whose sender's index is out of range, or
// that of this dispatcher, is ignored.
func (l *leaseExchange) handleMessage(now time.Duration, event PeerMessageReceived) {
	isPeer := event.From >= 0 && event.From < l.settings.Replicas && event.From != l.settings.ReplicaIndex
	if !l.settings.UsesLeases() || !isPeer {
		return
	}
	l.directory.recordAnswer(event.From)
	l.deliver(now, event.From, event.Message)
}

func (l *leaseExchange) deliver(now time.Duration, from int, message PeerMessage) {
	switch message := message.(type) {
	case LeaseRequest:
		if answer := l.coordinator.handleRequest(now, from, message); answer != nil {
			l.send(from, answer)
		}
	case LeaseStarted:
		l.coordinator.handleStarted(now, from, message)
	case LeaseReleased:
		l.coordinator.handleReleased(now, from, message)
	case LeaseReport:
		l.coordinator.handleReport(now, from, message)
	case LeaseGranted:
		l.client.handleGranted(from, message)
	case LeaseQueued:
		l.client.handleQueued(now, from, message)
	case PeerRestarted:
		l.coordinator.forgetPeer(from)
		l.client.handlePeerRestart(now, from)
	}
}

// send sends a message to a dispatcher, which may be this one.
func (l *leaseExchange) send(to int, message PeerMessage) {
	switch to {
	case noPeer:
	case l.settings.ReplicaIndex:
		l.ownMessages = append(l.ownMessages, message)
	default:
		l.actions.emit(SendPeerMessage{To: to, Message: message})
	}
}

// processMessages delivers the messages to this dispatcher itself, grants waiting requests and uses granted
// leases, until nothing of these is left.
func (l *leaseExchange) processMessages(now time.Duration) {
	for {
		l.deliverOwnMessages(now)
		l.grantWaiting(now)
		if len(l.ownMessages) == 0 && !l.client.hasGrants() {
			return
		}
		l.deliverOwnMessages(now)
		l.client.useGrants(now)
	}
}

func (l *leaseExchange) deliverOwnMessages(now time.Duration) {
	for len(l.ownMessages) > 0 {
		message := l.ownMessages[0]
		l.ownMessages = l.ownMessages[1:]
		l.deliver(now, l.settings.ReplicaIndex, message)
	}
	l.ownMessages = nil
}

func (l *leaseExchange) grantWaiting(now time.Duration) {
	l.grants = l.coordinator.grantWaiting(now, l.grants[:0])
	for _, grant := range l.grants {
		l.send(grant.to, grant.message)
	}
	clear(l.grants)
}

// maintain sends reports that are due and frees expired leases. It is called every maintenanceInterval.
func (l *leaseExchange) maintain(now time.Duration) {
	l.client.report(now)
	l.coordinator.expire(now)
	l.grantWaiting(now)
}

// resume prepares a dispatcher that was restored without leases: it requests slots for its queued jobs in its
// next step, and its next report lists its attempts in flight.
func (l *leaseExchange) resume(now time.Duration, workers []*workerInfo, jobs map[uint64]*jobInfo) {
	l.client.updateReadyZones(workers)
	if !l.settings.UsesLeases() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		job := jobs[id]
		for _, attempt := range job.attempts {
			if !attempt.ended && !attempt.orphaned {
				l.client.recordUnleased(now, attempt)
			}
		}
		if job.isQueued() {
			l.client.requestOnTimer(now, job)
		}
	}
}

// dropAll removes all leases: jobs and attempts continue without them.
func (l *leaseExchange) dropAll() {
	for _, lease := range l.client.filter(func(*leaseInfo) bool { return true }) {
		if lease.attempt != nil {
			lease.attempt.lease = nil
		}
		l.client.drop(lease)
	}
	l.clear()
}

func (l *leaseExchange) counts() LeaseCounts {
	counts := LeaseCounts{Held: l.client.countUsed()}
	counts.Granted, counts.Waiting = l.coordinator.counts()
	return counts
}
