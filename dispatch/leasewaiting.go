package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// The requests that wait at a coordinator. This implements the design's order of the queue ("At each
// release jobs held over tau = 3 × mu_short leave first, oldest first; otherwise the lowest score leaves,
// ties to the oldest") over the jobs of all dispatchers.
const (
	waitingRequestExpiry = time.Second // after it was last repeated
	maxWaiting           = 4096        // requests; further ones are answered as queued, but not kept
	maxPromoteIn         = time.Hour
)

// waitingRequest is a request for which no worker was found.
type waitingRequest struct {
	key        leaseKey
	request    LeaseRequest
	receivedAt time.Duration
	promoteAt  time.Duration // when its job will have been queued for longer than tau
	repeatedAt time.Duration // last time
}

// requestShape identifies the requests that may be granted slots of the same workers.
type requestShape struct {
	shard Shard
	group int // of classes
}

// addressedMessage is a message to another dispatcher.
type addressedMessage struct {
	to      int
	message PeerMessage
}

// addWaiting adds a request to those that wait, if there is room for it and its shard has workers.
func (l *leaseCoordinator) addWaiting(now time.Duration, key leaseKey, request *LeaseRequest) {
	hasRoom := l.hasRoom(l.peers[key.peer].waiting, len(l.waiting), maxWaiting)
	if !hasRoom || len(l.membersOf(request.Shard)) == 0 {
		return
	}
	waiting := &waitingRequest{key: key, request: *request, receivedAt: now, repeatedAt: now}
	waiting.promoteAt = now + min(max(request.PromoteIn, -maxPromoteIn), maxPromoteIn)
	waiting.request.Excluded = request.Excluded[:min(len(request.Excluded), MaxExcluded)]
	l.waiting = append(l.waiting, waiting)
	l.waitingByKey[key] = waiting
	l.requestedSlots[request.Shard] += request.Demand
	l.countUse(key.peer, 0, 1)
}

// withdraw removes the waiting requests for which matches is true.
func (l *leaseCoordinator) withdraw(matches func(waiting *waitingRequest) bool) {
	l.waiting = slices.DeleteFunc(l.waiting, func(waiting *waitingRequest) bool {
		if !matches(waiting) {
			return false
		}
		shard := waiting.request.Shard
		l.requestedSlots[shard] -= waiting.request.Demand
		if l.requestedSlots[shard] <= 0 {
			delete(l.requestedSlots, shard)
		}
		delete(l.waitingByKey, waiting.key)
		l.countUse(waiting.key.peer, 0, -1)
		return true
	})
}

// grantWaiting grants waiting requests, in their order, and returns dst with the grants to send appended.
// It evaluates them only if slots may have become free.
func (l *leaseCoordinator) grantWaiting(now time.Duration, dst []addressedMessage) []addressedMessage {
	if l.nothingFreed || len(l.waiting) == 0 {
		return dst
	}
	l.nothingFreed = true
	slices.SortStableFunc(l.waiting, func(a, b *waitingRequest) int { return compareWaiting(now, a, b) })
	ungranted := map[requestShape]LeaseRequest{}
	l.withdraw(func(waiting *waitingRequest) bool {
		if now-waiting.repeatedAt > waitingRequestExpiry {
			return true
		}
		lease := l.grantWaitingRequest(now, waiting, ungranted)
		if lease == nil {
			return false
		}
		answer := l.grantedAnswer(now, lease, waiting.request.Shard)
		dst = append(dst, addressedMessage{to: lease.key.peer, message: answer})
		return true
	})
	return dst
}

// grantWaitingRequest grants a waiting request; nil: it cannot be granted now. ungranted holds, by shape, the
// last request that could not be granted in this call of grantWaiting: one of at least the same demand and
// work cannot be granted either.
func (l *leaseCoordinator) grantWaitingRequest(
	now time.Duration, waiting *waitingRequest, ungranted map[requestShape]LeaseRequest,
) *grantedLease {
	request := &waiting.request
	shape := requestShape{shard: request.Shard, group: l.placementGroups[request.Class]}
	last, hasLast := ungranted[shape]
	if hasLast && request.Demand >= last.Demand && request.Work >= last.Work {
		return nil
	}
	lease := l.grant(now, waiting.key, request)
	if lease == nil && len(request.Excluded) == 0 && l.hasRoomForLease(waiting.key.peer) {
		ungranted[shape] = *request
	}
	return lease
}

// compareWaiting compares requests by the order in which they are granted.
func compareWaiting(now time.Duration, a, b *waitingRequest) int {
	rank := a.rank(now)
	if byRank := cmp.Compare(rank, b.rank(now)); byRank != 0 {
		return byRank
	}
	if rank == rankPromoted {
		return cmp.Compare(a.promoteAt, b.promoteAt)
	}
	return cmp.Or(
		cmp.Compare(a.request.LongProbability, b.request.LongProbability),
		cmp.Compare(a.receivedAt, b.receivedAt),
	)
}

// waitingRank orders requests before their score does.
type waitingRank int

const (
	rankPromoted waitingRank = iota // its job has been queued for longer than tau
	rankByScore
	rankDemoted // its job's answer can no longer have its full utility
)

func (w *waitingRequest) rank(now time.Duration) waitingRank {
	switch {
	case w.request.Demoted:
		return rankDemoted
	case w.promoteAt < now:
		return rankPromoted
	default:
		return rankByScore
	}
}
