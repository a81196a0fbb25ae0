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

func (w *workerShared) keyID(n *worker, a *attempt) keyID {
	id := keyID{class: a.class, key: a.key}
	switch w.classes[a.class].scope {
	case "cell":
		id.scope = n.cell
	case "zone":
		id.scope = n.zone
	}
	return id
}

// findKey finds what the worker's group knows of an attempt's key; nil: nothing, or it isn't of a keyed class.
func (w *workerShared) findKey(n *worker, attempt *attempt) *keyRecord {
	if attempt.key == "" || !w.classes[attempt.class].idempotentWithKey {
		return nil
	}
	q := &w.keys.expiring[attempt.class]
	for q.start < len(q.list) && q.list[q.start].until <= w.env.now {
		if k := q.list[q.start]; w.keys.records[k.id] == k {
			delete(w.keys.records, k.id)
		}
		q.list[q.start] = nil
		q.start++
	}
	if q.start > len(q.list)/2 {
		q.list, q.start = slices.Delete(q.list, 0, q.start), 0
	}
	return w.keys.records[w.keyID(n, attempt)]
}

// rememberKey notes the key of an attempt that is taken, and is the first with it.
func (w *workerShared) rememberKey(n *worker, a *attempt) {
	if a.key == "" || !w.classes[a.class].idempotentWithKey {
		return
	}
	k := &keyRecord{id: w.keyID(n, a), runner: a, until: w.env.now + w.classes[a.class].window + keyGrace}
	a.keyRecord = k
	w.keys.records[k.id] = k
	q := &w.keys.expiring[a.class]
	q.list = append(q.list, k)
}

// addWaiter takes an attempt whose key is known: it does not run, and is done once the first is.
func (k *keyRecord) addWaiter(a *attempt) {
	a.keyRecord, a.state = k, attemptDuplicate
	a.worker.env.record(trace.Event{Kind: trace.AttemptStarted, RequestID: a.requestID, Worker: a.worker.number, Incarnation: a.worker.process.incarnation, Text: "repeat"})
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
func (w *worker) finishDuplicate(a *attempt, result string) {
	w.whenRunning(func() {
		if a.state != attemptDuplicate {
			return
		}
		w.jobs.remove(a)
		a.result = result
		w.env.record(trace.Event{Kind: trace.AttemptFinished, RequestID: a.requestID, Worker: w.number, Text: result, Status: 200})
		w.notify(a, "done", 0)
		w.maybeExit()
	})
}

// attemptSucceeded is told of an attempt that has run to its end: repeats of it get its result.
func (w *workerShared) attemptSucceeded(a *attempt) {
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
func (w *workerShared) releaseKey(a *attempt) {
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
	if w.keys.records[keyRecord.id] == keyRecord {
		delete(w.keys.records, keyRecord.id)
	}
}

// promote has an attempt run that waited for another's result.
func (w *worker) promote(a *attempt) {
	switch {
	case a.state != attemptDuplicate:
	case w.hasRoom(a.slots):
		w.startOrQueue(a)
	default:
		w.jobs.remove(a)
		w.returnAttempt(a)
	}
}
