package requests

import (
	"errors"
	"hash/fnv"
	"time"

	"valvecove/dispatch"
)

// ErrPossiblyExecuted is returned for a request that must not be executed twice and has the call ID of an earlier one that is possibly
// executed. It is not a rejection: trying again is not harmless.
var ErrPossiblyExecuted = errors.New("the call id belongs to a request that may have run")

// ExecutedID is the serialisable form of a remembered call ID.
type ExecutedID struct {
	Hash  uint64        `json:"ID"`    // FNV-1a of the call ID, 64 bits
	Until time.Duration `json:"Until"` // when it is forgotten
}

// executedIDs remembers the call IDs of closed requests that are possibly executed and must not be executed again. A client may send
// an ID once more on a new connection, or after it has left. An ID is remembered for a time that depends on the class, counted from the
// end of the request or, if that is later, of its last attempt.
//
// Hashes take the place of the IDs, so that the memory has a bound. Two of some 10,000 remembered IDs have the same hash with a
// probability of 1 to 10^11; a request would be failed for it, never executed twice.
type executedIDs struct {
	windows  []time.Duration          // by class; 0: requests of the class may be executed again
	limit    int                      // of remembered IDs; 0: none
	until    map[uint64]time.Duration // by hash: when it is forgotten; untilUnknown: not known yet
	entries  []ExecutedID             // in the order in which the times became known; a hash may occur more than once
	awaiting []awaitedExecutedID      // whose time becomes known with the next step
}

// untilUnknown is the time of an ID that was added since the last step.
const untilUnknown time.Duration = 0

// awaitedExecutedID is an ID that was added since the last step.
type awaitedExecutedID struct {
	hash   uint64
	window time.Duration
}

// RememberExecuted makes the table refuse to execute a request again for a time, by class. Classes with 0 may be executed again.
func (t *Table) RememberExecuted(windows []time.Duration) {
	t.executed.windows = windows
	t.executed.until = map[uint64]time.Duration{}
}

// SetExecutedLimit sets how many call IDs are remembered. At the limit requests that would have to be remembered are not admitted; see
// CanRemember.
func (t *Table) SetExecutedLimit(limit int) { t.executed.limit = limit }

// CheckCallID returns ErrDuplicateCallID or ErrPossiblyExecuted if a request of a class may not be admitted with a call ID.
func (t *Table) CheckCallID(now time.Duration, callID string, class int) error {
	if t.requests.findOpen(callID) != nil {
		return ErrDuplicateCallID
	}
	if t.executed.window(class) > 0 && t.executed.contains(hashCallID(callID), now) {
		return ErrPossiblyExecuted
	}
	return nil
}

// CanRemember reports whether the call ID of another request of a class can be remembered, beside those of the requests in the table.
func (t *Table) CanRemember(now time.Duration, class int) bool {
	if t.executed.window(class) == 0 {
		return true
	}
	t.executed.forget(now)
	return t.executed.size()+t.requests.count() < t.executed.limit
}

// rememberExecuted remembers the call ID of a closed request that is possibly executed.
func (t *Table) rememberExecuted(request *Request) {
	window := t.executed.window(request.Job.Class)
	if window > 0 && request.isPossiblyExecuted() {
		t.executed.add(hashCallID(request.CallID), window)
	}
}

// isPossiblyExecuted reports whether an attempt of a closed request was or may yet be executed. All attempts of a closed request that
// are in flight were written.
func (r *Request) isPossiblyExecuted() bool { return r.inFlight > 0 || !r.outcome.isNotExecuted() }

// hashCallID returns the hash of a call ID. It is the same in all processes.
func hashCallID(callID string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(callID))
	return hash.Sum64()
}

// window returns for how long IDs of a class are remembered; 0: not at all.
func (e *executedIDs) window(class int) time.Duration {
	if class < 0 || class >= len(e.windows) {
		return 0
	}
	return e.windows[class]
}

// size returns the number of entries.
func (e *executedIDs) size() int { return len(e.entries) + len(e.awaiting) }

// contains reports whether an ID is remembered.
func (e *executedIDs) contains(hash uint64, now time.Duration) bool {
	until, ok := e.until[hash]
	return ok && (until == untilUnknown || until > now)
}

// add remembers an ID from the next step on for a window, also if it is remembered already.
func (e *executedIDs) add(hash uint64, window time.Duration) {
	if until, ok := e.until[hash]; ok && until == untilUnknown {
		return
	}
	e.until[hash] = untilUnknown
	e.awaiting = append(e.awaiting, awaitedExecutedID{hash, window})
}

// step sets the times of the IDs that were added since the last step, and forgets those whose time has passed.
func (e *executedIDs) step(now time.Duration) {
	for _, awaited := range e.awaiting {
		e.insert(ExecutedID{Hash: awaited.hash, Until: now + awaited.window})
	}
	e.awaiting = e.awaiting[:0]
	e.forget(now)
}

// forget forgets the IDs whose time has passed.
func (e *executedIDs) forget(now time.Duration) {
	for len(e.entries) > 0 && e.entries[0].Until <= now {
		if first := e.entries[0]; e.until[first.Hash] == first.Until {
			delete(e.until, first.Hash)
		}
		e.entries = e.entries[1:]
	}
}

func (e *executedIDs) insert(id ExecutedID) {
	e.until[id.Hash] = id.Until
	e.entries = append(e.entries, id)
}

// restore adds the IDs that another process remembers.
func (e *executedIDs) restore(ids []ExecutedID) {
	if e.until == nil {
		return
	}
	for _, id := range ids {
		e.insert(id)
	}
}

// ExecutedWindows returns for how long the call IDs of each class are remembered. Requests that must never be executed twice are
// remembered for as long as their client may try again, or as the class has workers drop repeats, whichever is longer.
func ExecutedWindows(classes []dispatch.Class) []time.Duration {
	windows := make([]time.Duration, len(classes))
	for i, class := range classes {
		if class.Idempotency == dispatch.NonIdempotent {
			windows[i] = max(class.ClientTimeout, class.DeduplicationWindow)
		}
	}
	return windows
}
