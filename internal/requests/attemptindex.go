package requests

import (
	"time"

	"valvecove/internal/deadline"
)

// attemptKey identifies an attempt in flight by the fields of a callback.
type attemptKey struct{ callID, endpointID string }

// key returns the key of the attempt.
func (a *Attempt) key() attemptKey { return attemptKey{a.Request.CallID, a.EndpointID} }

// attemptIndex holds the attempts in flight of all requests, by key and in order of their timeouts.
type attemptIndex struct {
	byKey    map[attemptKey]*Attempt
	timeouts deadline.Queue[*Attempt]
}

func newAttemptIndex() attemptIndex { return attemptIndex{byKey: map[attemptKey]*Attempt{}} }

// find returns the attempt in flight with a key, or nil.
func (a *attemptIndex) find(key attemptKey) *Attempt { return a.byKey[key] }

// add adds an attempt that expires at its instant At.
func (a *attemptIndex) add(attempt *Attempt) {
	a.byKey[attempt.key()] = attempt
	a.timeouts.Add(attempt)
}

// remove removes an attempt. It does nothing if the attempt was not added.
func (a *attemptIndex) remove(attempt *Attempt) {
	a.timeouts.Remove(attempt)
	if key := attempt.key(); a.byKey[key] == attempt {
		delete(a.byKey, key)
	}
}

// postpone sets the expiry of an attempt to a later instant.
func (a *attemptIndex) postpone(attempt *Attempt, until time.Duration) {
	a.timeouts.Remove(attempt)
	attempt.At = until
	a.timeouts.Add(attempt)
}

// firstExpired returns the attempt that has expired first, or nil if none has.
func (a *attemptIndex) firstExpired(now time.Duration) *Attempt {
	if a.timeouts.Len() == 0 || a.timeouts.First().At > now {
		return nil
	}
	return a.timeouts.First()
}

// nextTimeout returns when the next attempt expires. ok is false if there is no attempt.
func (a *attemptIndex) nextTimeout() (at time.Duration, ok bool) {
	if a.timeouts.Len() == 0 {
		return 0, false
	}
	return a.timeouts.First().At, true
}

// usesEndpoint reports whether an endpoint has an attempt in flight.
func (a *attemptIndex) usesEndpoint(endpointID string) bool {
	for key := range a.byKey {
		if key.endpointID == endpointID {
			return true
		}
	}
	return false
}
