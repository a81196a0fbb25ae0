package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/trace"
)

// keyStore is what groups of workers remember of the transfer keys that have come to them. A group's worker
// nodes share it, whatever becomes of each of them.
type keyStore struct {
	records  map[keyID]*keyRecord
	expiring []keyExpiryQueue // by class, each in the order in which they are to be forgotten
}

type keyID struct {
	class, scope int
	key          string
}

// keyRecord is a key that is known: an attempt with it has been taken, and has not ended without having run to its end.
type keyRecord struct {
	id      keyID
	until   time.Duration
	runner  *attempt // whose run is awaited; nil: it is done
	result  string
	waiters []*attempt // repeats, which get its result
}

type keyExpiryQueue struct {
	list  []*keyRecord
	start int
}

// keyGrace is how much longer than its window a key is known: what was sent in time may arrive a little later.
const keyGrace = 100 * time.Millisecond

func newKeyStore(classes int) keyStore {
	return keyStore{records: map[keyID]*keyRecord{}, expiring: make([]keyExpiryQueue, classes)}
}

func (f *workerShared) keyID(n *worker, a *attempt) keyID {
	id := keyID{class: a.class, key: a.key}
	switch f.classes[a.class].scope {
	case "cell":
		id.scope = n.cell
	case "zone":
		id.scope = n.zone
	}
	return id
}

// findKey finds what the worker's group knows of an attempt's key; nil: nothing, or it isn't of a keyed class.
func (f *workerShared) findKey(n *worker, attempt *attempt) *keyRecord {
	if attempt.key == "" || !f.classes[attempt.class].idempotentWithKey {
		return nil
	}
	q := &f.keys.expiring[attempt.class]
	for q.start < len(q.list) && q.list[q.start].until <= f.env.now {
		if k := q.list[q.start]; f.keys.records[k.id] == k {
			delete(f.keys.records, k.id)
		}
		q.list[q.start] = nil
		q.start++
	}
	if q.start > len(q.list)/2 {
		q.list, q.start = slices.Delete(q.list, 0, q.start), 0
	}
	return f.keys.records[f.keyID(n, attempt)]
}

// rememberKey notes the key of an attempt that is taken, and is the first with it.
func (f *workerShared) rememberKey(n *worker, a *attempt) {
	if a.key == "" || !f.classes[a.class].idempotentWithKey {
		return
	}
	k := &keyRecord{id: f.keyID(n, a), runner: a, until: f.env.now + f.classes[a.class].window + keyGrace}
	a.keyRecord = k
	f.keys.records[k.id] = k
	q := &f.keys.expiring[a.class]
	q.list = append(q.list, k)
}

// addWaiter takes an attempt whose key is known: it does not run, and is done once the first is.
func (k *keyRecord) addWaiter(a *attempt) {
	a.keyRecord, a.state = k, attemptDuplicate
	a.worker.env.record(trace.Event{Kind: trace.AttemptStarted, RequestID: a.requestID, Worker: a.worker.number, Incarnation: a.worker.incarnation, Text: "repeat"})
	if k.runner == nil {
		a.worker.finishDuplicate(a, k.result)
	} else {
		k.waiters = append(k.waiters, a)
	}
}

// removeWaiter forgets an attempt that waits for the result.
func (k *keyRecord) removeWaiter(a *attempt) {
	k.waiters = slices.DeleteFunc(k.waiters, func(waiter *attempt) bool { return waiter == a })
}

// finishDuplicate ends an attempt with the result of another's run.
func (n *worker) finishDuplicate(a *attempt, result string) {
	n.whenRunning(func() {
		if a.state != attemptDuplicate {
			return
		}
		n.removeAttempt(a)
		a.result = result
		n.env.record(trace.Event{Kind: trace.AttemptFinished, RequestID: a.requestID, Worker: n.number, Text: result, Status: 200})
		n.notify(a, "done", 0)
		n.maybeExit()
	})
}

// attemptSucceeded is told of an attempt that has run to its end: repeats of it get its result.
func (f *workerShared) attemptSucceeded(a *attempt) {
	k := a.keyRecord
	if k == nil || k.runner != a {
		return
	}
	k.runner, k.result = nil, a.result
	waiters := k.waiters
	k.waiters = nil
	for _, r := range waiters {
		r.worker.finishDuplicate(r, k.result)
	}
}

// releaseKey is told of an attempt that ended without having run to its end: its key is free again. A repeat that waited
// for it runs in its place, or else is handed back.
func (f *workerShared) releaseKey(a *attempt) {
	keyRecord := a.keyRecord
	if keyRecord == nil || keyRecord.runner != a {
		return
	}
	for len(keyRecord.waiters) > 0 {
		next := keyRecord.waiters[0]
		keyRecord.waiters = keyRecord.waiters[1:]
		if next.state != attemptDuplicate {
			continue // it has ended with its process
		}
		keyRecord.runner = next
		next.worker.whenRunning(func() { next.worker.promote(next) })
		return
	}
	keyRecord.runner = nil
	if f.keys.records[keyRecord.id] == keyRecord {
		delete(f.keys.records, keyRecord.id)
	}
}

// promote has an attempt run that waited for another's result.
func (n *worker) promote(a *attempt) {
	switch {
	case a.state != attemptDuplicate:
	case n.hasRoom(a.slots):
		n.startOrQueue(a)
	default:
		n.removeAttempt(a)
		n.returnAttempt(a)
	}
}
