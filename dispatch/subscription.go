package dispatch

// The subscription to the list of workers: when the list is requested, and how long after a failure it is
// requested again. The design does not mention it.

import "time"

const (
	minBackoffPollDivisor = 20 // the shortest backoff of a subscription is the poll interval divided by this
	maxBackoffPollDivisor = 4  // and the longest is the poll interval divided by this
	replicasPerBackoff    = 4  // the shortest backoff is multiplied by the number of dispatchers / this
)

// subscriptionState is the state of the watch on the list of workers.
type subscriptionState int

const (
	unsubscribed subscriptionState = iota
	subscribing                    // requested, and not answered yet
	subscribed
)

// endpointSubscription says when the list of workers is requested.
type endpointSubscription struct {
	state   subscriptionState
	retryAt time.Duration // earliest time of the next request; 0: at once
	backoff time.Duration // before the last retry; 0: the last request succeeded
}

// isDue reports whether the list is to be requested now.
func (s *endpointSubscription) isDue(now time.Duration) bool {
	return s.state == unsubscribed && now >= s.retryAt
}

// succeed records that the watch has delivered a list. This dispatcher may not have requested it: the caller,
// which holds the watch, may have renewed the watch itself.
func (s *endpointSubscription) succeed() {
	s.state = subscribed
	s.backoff = 0
}

// fail records that the watch has ended or could not begin. Only a failed request lengthens an existing
// backoff; the end of a watch does not.
func (s *endpointSubscription) fail(minBackoff, maxBackoff time.Duration) {
	if s.state == subscribing || s.backoff == 0 {
		s.backoff = min(max(minBackoff, 2*s.backoff), maxBackoff)
	}
	s.state = unsubscribed
}

// requestWorkers requests the list of workers if the platform requires that and a request is due.
func (d *Dispatcher) requestWorkers() {
	if d.settings.MustSubscribe && d.subscription.isDue(d.now) {
		d.subscription.state = subscribing
		d.emit(Subscribe{})
	}
}

func (d *Dispatcher) handleWorkerList(list WorkerList) {
	if list.Kind == ListUnavailable {
		minBackoff := d.minSubscribeBackoff()
		d.subscription.fail(minBackoff, max(minBackoff, d.settings.PollInterval/maxBackoffPollDivisor))
		d.subscription.retryAt = d.now + d.subscription.backoff/2 + d.jitter(d.subscription.backoff)
		return
	}
	isOneOfMany := d.settings.Replicas > manyReplicas
	isFirstList := d.subscription.retryAt == 0 && len(list.Workers) > 0
	switch {
	case list.Kind != ListCached:
		d.subscription.succeed()
	case isOneOfMany && isFirstList:
		d.subscription.retryAt = d.now + d.jitter(d.minSubscribeBackoff())
	}
	d.applyList(list)
}

// minSubscribeBackoff returns the shortest backoff. It grows with the number of dispatchers, to spread the
// requests of many that start at once: one service answers all of them.
func (d *Dispatcher) minSubscribeBackoff() time.Duration {
	shortest := d.settings.PollInterval / minBackoffPollDivisor
	spread := shortest * time.Duration(max(1, d.settings.Replicas/replicasPerBackoff))
	return min(spread, d.settings.PollInterval/2)
}
