package forwarder

import (
	"fmt"
	"math/rand/v2"
	"time"

	"valvecove/dispatch"
)

const (
	// The backoff between two subscriptions that fail is the poll interval divided by firstBackoffDivisor at first, and by
	// maxBackoffDivisor at most, but not less than minSubscribeBackoff.
	firstBackoffDivisor = 20
	maxBackoffDivisor   = 4
	minSubscribeBackoff = 10 * time.Millisecond
)

// subscription is the forwarder's subscription to the endpoint list, if the platform requires one. It exists in every mode,
// as the validator needs the list.
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
	subscriptionNone    subscriptionState = iota // there is none; the next one is scheduled
	subscriptionPending                          // it was requested
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

// subscriptionEvent is what changes the state of a subscription.
type subscriptionEvent uint8

const (
	eventSubscribeSent subscriptionEvent = iota
	eventListReceived
	eventListLost
)

// after returns the state after an event, or false if the event has no meaning in this state.
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

// transition changes the state for an event. It reports false, and changes nothing, where the event has no meaning.
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

// observe processes an update of the list, or the loss of the list.
func (s *subscription) observe(now time.Duration, kind dispatch.ListKind, rng *rand.Rand) {
	switch kind {
	case dispatch.ListUnavailable:
		s.lost(now, rng)
	case dispatch.ListCached: // not by a subscription
	default:
		if s.transition(eventListReceived) {
			s.backoff = 0
		}
	}
}

// lost schedules the next subscription. The backoff grows as long as subscriptions fail.
func (s *subscription) lost(now time.Duration, rng *rand.Rand) {
	if s.state == subscriptionPending || s.backoff == 0 {
		longest := max(s.pollInterval/maxBackoffDivisor, minSubscribeBackoff)
		s.backoff = min(max(s.pollInterval/firstBackoffDivisor, 2*s.backoff, minSubscribeBackoff), longest)
	}
	s.transition(eventListLost)
	s.startAt = now + s.backoff/2 + time.Duration(rng.Int64N(int64(s.backoff)+1))
}

// start reports whether to subscribe now, and if so, records that it is done.
func (s *subscription) start(now time.Duration) bool {
	return s.required && now >= s.startAt && s.transition(eventSubscribeSent)
}

// nextStart returns when to subscribe; 0: not by time.
func (s *subscription) nextStart() time.Duration {
	if s.required && s.state == subscriptionNone {
		return s.startAt
	}
	return 0
}
