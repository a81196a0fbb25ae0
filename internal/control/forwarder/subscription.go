package forwarder

import (
	"fmt"
	"math/rand/v2"
	"time"

	"valvecove/dispatch"
)

const (
	// The backoff after a failed subscription starts at the poll interval divided by firstBackoffDivisor and grows to the poll
	// interval divided by maxBackoffDivisor. It is never less than minSubscribeBackoff.
	firstBackoffDivisor = 20
	maxBackoffDivisor   = 4
	minSubscribeBackoff = 10 * time.Millisecond
)

// subscription is the forwarder's subscription to the endpoint list, if the platform requires one. It is kept in every mode
// because the validator needs the list.
type subscription struct {
	required     bool
	pollInterval time.Duration
	state        subscriptionState
	startAt      time.Duration // when the next subscription is due
	backoff      time.Duration
}

// subscriptionState is the state of a subscription.
type subscriptionState uint8

const (
	subscriptionNone    subscriptionState = iota // not subscribed; the next attempt is scheduled
	subscriptionPending                          // requested, but no list was received yet
	subscriptionActive                           // a list was received
)

// String returns the state's name.
func (s subscriptionState) String() string {
	switch s {
	case subscriptionNone:
		return "none"
	case subscriptionPending:
		return "pending"
	case subscriptionActive:
		return "active"
	default:
		return fmt.Sprintf("subscriptionState(%d)", uint8(s))
	}
}

// subscriptionEvent is an event that may change the state of a subscription.
type subscriptionEvent uint8

const (
	eventSubscribeSent subscriptionEvent = iota
	eventListReceived
	eventListLost
)

// after returns the state after an event, or false if the event is not valid in this state.
func (s subscriptionState) after(event subscriptionEvent) (next subscriptionState, valid bool) {
	switch event {
	case eventSubscribeSent:
		return subscriptionPending, s == subscriptionNone
	case eventListReceived:
		return subscriptionActive, s == subscriptionPending
	case eventListLost:
		return subscriptionNone, true
	default:
		return s, false
	}
}

// transition applies an event to the state. It returns false and changes nothing if the event is not valid in this state.
func (s *subscription) transition(event subscriptionEvent) bool {
	next, valid := s.state.after(event)
	if valid {
		s.state = next
	}
	return valid
}

func newSubscription(settings dispatch.Settings) subscription {
	return subscription{required: settings.MustSubscribe, pollInterval: settings.PollInterval}
}

// observe handles an update of the endpoint list, or its loss.
func (s *subscription) observe(now time.Duration, kind dispatch.ListKind, rng *rand.Rand) {
	switch kind {
	case dispatch.ListUnavailable:
		s.lost(now, rng)
	case dispatch.ListCached: // does not come from a subscription
	default:
		if s.transition(eventListReceived) {
			s.backoff = 0
		}
	}
}

// lost schedules the next subscription. The backoff doubles while subscriptions keep failing, and gets random jitter.
func (s *subscription) lost(now time.Duration, rng *rand.Rand) {
	if s.state == subscriptionPending || s.backoff == 0 {
		longest := max(s.pollInterval/maxBackoffDivisor, minSubscribeBackoff)
		s.backoff = min(max(s.pollInterval/firstBackoffDivisor, 2*s.backoff, minSubscribeBackoff), longest)
	}
	s.transition(eventListLost)
	s.startAt = now + s.backoff/2 + time.Duration(rng.Int64N(int64(s.backoff)+1))
}

// start reports whether to subscribe now, and if so, marks the subscription as pending.
func (s *subscription) start(now time.Duration) bool {
	return s.required && now >= s.startAt && s.transition(eventSubscribeSent)
}

// nextStart returns when the next subscription is due, or 0 if none is scheduled.
func (s *subscription) nextStart() time.Duration {
	if s.required && s.state == subscriptionNone {
		return s.startAt
	}
	return 0
}
