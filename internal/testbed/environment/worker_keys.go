package environment

import (
	"slices"
	"time"

	"valvecove/internal/testbed/trace"
)

// keyStore holds the idempotency keys that deduplication scopes (a cell, a zone or the whole fleet) have seen. It outlasts the
// processes of the workers.
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
	runner  *attempt // the attempt whose result is awaited; nil: it succeeded
	result  string
	waiters []*attempt // duplicates, which get the result of the runner
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

func (w *workerShared) keyID(worker *worker, attempt *attempt) keyID {
	id := keyID{class: attempt.class, key: attempt.key}
	switch w.classes[attempt.class].scope {
	case "cell":
		id.scope = worker.cell
	case "zone":
		id.scope = worker.zone
	}
	return id
}

// findKey returns the record of an attempt's key in the worker's scope; nil: there is none, or the class has no keys.
func (w *workerShared) findKey(worker *worker, attempt *attempt) *keyRecord {
	if attempt.key == "" || !w.classes[attempt.class].idempotentWithKey {
		return nil
	}
	queue := &w.keys.expiring[attempt.class]
	for queue.start < len(queue.list) && queue.list[queue.start].until <= w.env.now {
		if record := queue.list[queue.start]; w.keys.records[record.id] == record {
			delete(w.keys.records, record.id)
		}
		queue.list[queue.start] = nil
		queue.start++
	}
	if queue.start > len(queue.list)/2 {
		queue.list = slices.Delete(queue.list, 0, queue.start)
		queue.start = 0
	}
	return w.keys.records[w.keyID(worker, attempt)]
}

// rememberKey records the key of an attempt that is admitted, the first with that key.
func (w *workerShared) rememberKey(worker *worker, attempt *attempt) {
	if attempt.key == "" || !w.classes[attempt.class].idempotentWithKey {
		return
	}
	record := &keyRecord{id: w.keyID(worker, attempt), runner: attempt, until: w.env.now + w.classes[attempt.class].window + keyGrace}
	attempt.keyRecord = record
	w.keys.records[record.id] = record
	queue := &w.keys.expiring[attempt.class]
	queue.list = append(queue.list, record)
}

// addWaiter adds a duplicate. It does not run, and ends with the result of the runner.
func (k *keyRecord) addWaiter(attempt *attempt) {
	attempt.keyRecord = k
	attempt.state = attemptDuplicate
	attempt.worker.env.record(trace.Event{Kind: trace.AttemptStarted, RequestID: attempt.requestID, Worker: attempt.worker.number, Incarnation: attempt.worker.process.incarnation, Text: "repeat"})
	if k.runner == nil {
		attempt.worker.finishDuplicate(attempt, k.result)
	} else {
		k.waiters = append(k.waiters, attempt)
	}
}

// removeWaiter removes a duplicate.
func (k *keyRecord) removeWaiter(ended *attempt) {
	k.waiters = slices.DeleteFunc(k.waiters, func(waiter *attempt) bool { return waiter == ended })
}

// finishDuplicate ends a duplicate with the result of the runner.
func (w *worker) finishDuplicate(attempt *attempt, result string) {
	w.whenRunning(func() {
		if attempt.state != attemptDuplicate {
			return
		}
		w.jobs.remove(attempt)
		attempt.result = result
		w.env.record(trace.Event{Kind: trace.AttemptFinished, RequestID: attempt.requestID, Worker: w.number, Text: result, Status: 200})
		w.notify(attempt, "done", 0)
		w.maybeExit()
	})
}

// attemptSucceeded handles the success of an attempt: duplicates get its result.
func (w *workerShared) attemptSucceeded(attempt *attempt) {
	record := attempt.keyRecord
	if record == nil || record.runner != attempt {
		return
	}
	record.runner = nil
	record.result = attempt.result
	waiters := record.waiters
	record.waiters = nil
	for _, waiter := range waiters {
		waiter.worker.finishDuplicate(waiter, record.result)
	}
}

// releaseKey handles the end of an attempt without success. The first duplicate takes over as the runner; if there is none,
// the record of the key is deleted.
func (w *workerShared) releaseKey(attempt *attempt) {
	keyRecord := attempt.keyRecord
	if keyRecord == nil || keyRecord.runner != attempt {
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
func (w *worker) promote(attempt *attempt) {
	switch {
	case attempt.state != attemptDuplicate:
	case w.hasRoom(attempt.slots):
		w.startOrQueue(attempt)
	default:
		w.jobs.remove(attempt)
		w.returnAttempt(attempt)
	}
}
