package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/trace"
)

// keyStore holds the idempotency keys that groups of workers have seen. It outlasts the processes of a group's workers.
type keyStore struct {
	records  map[keyID]*keyRecord
	expiring []keyExpiryQueue // by class, each in order of expiry
}

type keyID struct {
	class, scope int
	key          string
}

// keyRecord is the record of a key. It exists from the first attempt with the key that is admitted until the key expires,
// or until its run ends without success and no duplicate takes over.
type keyRecord struct {
	id      keyID
	until   time.Duration
	runner  *attempt // whose result is awaited; nil: its run succeeded
	result  string
	waiters []*attempt // duplicates, which get its result
}

type keyExpiryQueue struct {
	list  []*keyRecord
	start int
}

// keyGrace is how much longer than its window a key is kept, for attempts that are sent within the window.
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

// findKey returns the record of an attempt's key in the worker's group; nil: there is none, or the class has no keys.
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
		q.list = slices.Delete(q.list, 0, q.start)
		q.start = 0
	}
	return w.keys.records[w.keyID(n, attempt)]
}

// rememberKey records the key of an attempt that is admitted, the first with that key.
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

// addWaiter adds a duplicate. It does not run, and ends with the result of the runner.
func (k *keyRecord) addWaiter(a *attempt) {
	a.keyRecord = k
	a.state = attemptDuplicate
	a.worker.env.record(trace.Event{Kind: trace.AttemptStarted, RequestID: a.requestID, Worker: a.worker.number, Incarnation: a.worker.process.incarnation, Text: "repeat"})
	if k.runner == nil {
		a.worker.finishDuplicate(a, k.result)
	} else {
		k.waiters = append(k.waiters, a)
	}
}

// removeWaiter removes a duplicate.
func (k *keyRecord) removeWaiter(a *attempt) {
	k.waiters = slices.DeleteFunc(k.waiters, func(waiter *attempt) bool { return waiter == a })
}

// finishDuplicate ends a duplicate with the result of the runner.
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

// attemptSucceeded handles the success of an attempt: duplicates get its result.
func (w *workerShared) attemptSucceeded(a *attempt) {
	k := a.keyRecord
	if k == nil || k.runner != a {
		return
	}
	k.runner = nil
	k.result = a.result
	waiters := k.waiters
	k.waiters = nil
	for _, r := range waiters {
		r.worker.finishDuplicate(r, k.result)
	}
}

// releaseKey handles the end of an attempt without success. The first duplicate takes over as the runner; if there is none,
// the record of the key is deleted.
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

// promote runs a duplicate that has become the runner, or returns it if there is no room.
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
