// Package status implements the status call: the state and the outcome of each request, by the call ID that its client has
// assigned. Its Table observes the request table. The number of entries and their retention after the end of the request are
// bounded. Payloads and results are not stored.
package status

import (
	"container/list"
	"net/url"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/config"
	"valvecove/internal/requests"
)

// Path is the path of the status call. The call ID follows it.
const Path = "/status/"

// Table contains an entry for each open request, and for each request that has ended within the retention time. It is an observer
// of the request table, and is used on the goroutine of that table.
type Table struct {
	conf               config.Status
	names              requests.NameTable
	startNotifications bool
	now                func() time.Duration
	entries            map[string]*entry // by call ID
	open, ended        list.List         // of *entry; open is in order of admission, ended in order of the end
}

// New returns an empty table. startNotifications is whether workers send a callback at the start of a job. Otherwise a job is
// assumed to run once its worker has accepted it. now returns the current time.
func New(conf config.Status, names requests.NameTable, startNotifications bool, now func() time.Duration) *Table {
	return &Table{
		conf:               conf,
		names:              names,
		startNotifications: startNotifications,
		now:                now,
		entries:            map[string]*entry{},
	}
}

// Observe implements requests.Observer.
func (t *Table) Observe(notification requests.Notification) {
	switch notification.Kind {
	case requests.RequestAdmitted:
		t.add(notification.Request)
	case requests.RequestRejected:
		t.addRejected(notification)
	case requests.CallbackReceived:
		if attempt := notification.Attempt; attempt != nil {
			t.update(attempt.Request, notification)
		}
	default:
		t.update(notification.Request, notification)
	}
}

// addRejected records a request that was rejected at admission for lack of capacity. It does not change an existing entry with
// the same call ID.
func (t *Table) addRejected(notification requests.Notification) {
	request := notification.Request
	if request != nil && notification.Status == 503 && t.entries[request.CallID] == nil {
		t.end(t.add(request), request.Outcome())
	}
}

// update updates the entry of an open request by a notification. It does nothing if the entry was dropped, has ended, or was
// replaced by that of a later request with the same call ID.
func (t *Table) update(request *requests.Request, notification requests.Notification) {
	found := t.entries[request.CallID]
	if found == nil || found.requestID != request.ID || found.hasEnded() {
		return
	}
	switch notification.Kind {
	case requests.AttemptStarted:
		found.startAttempt(notification.Attempt)
	case requests.ResponseReceived:
		if notification.Status/100 == 2 && !t.startNotifications {
			found.markRunning(notification.Attempt)
		}
	case requests.CallbackReceived:
		found.applyCallback(notification.Attempt, notification.Callback)
	case requests.AttemptEnded:
		found.endAttempt(notification.Attempt)
	case requests.RequestEnded:
		t.end(found, request.Outcome())
	}
}

// add adds an entry for a request, and drops that of an earlier request with the same call ID. If the table is full, it drops the
// entry that ended first, or the oldest open one if none has ended.
func (t *Table) add(request *requests.Request) *entry {
	t.drop(t.entries[request.CallID])
	t.expire()
	for len(t.entries) >= t.conf.MaxEntries {
		oldest := t.ended.Front()
		if oldest == nil {
			oldest = t.open.Front()
		}
		t.drop(oldest.Value.(*entry))
	}
	added := &entry{
		callID:    request.CallID,
		requestID: request.ID,
		class:     request.Job.Class,
		tenant:    request.Job.Tenant,
	}
	added.element = t.open.PushBack(added)
	t.entries[added.callID] = added
	return added
}

// end records the outcome of an entry.
func (t *Table) end(ending *entry, outcome requests.Outcome) {
	t.open.Remove(ending.element)
	ending.end(outcome, t.now())
	ending.element = t.ended.PushBack(ending)
	t.expire()
}

// drop removes an entry, which may be nil.
func (t *Table) drop(dropped *entry) {
	if dropped == nil {
		return
	}
	delete(t.entries, dropped.callID)
	if dropped.hasEnded() {
		t.ended.Remove(dropped.element)
	} else {
		t.open.Remove(dropped.element)
	}
}

// expire drops the entries that ended at least the retention time ago.
func (t *Table) expire() {
	for oldest := t.ended.Front(); oldest != nil; oldest = t.ended.Front() {
		ended := oldest.Value.(*entry)
		if t.now()-ended.endedAt < t.conf.Retention {
			return
		}
		t.drop(ended)
	}
}

// Find returns the Report of a request as a line of JSON. target is the call ID, plain or percent-encoded. A query string after
// it is ignored. ok is false if there is no entry.
func (t *Table) Find(target string) (body []byte, ok bool) {
	t.expire()
	callID, _, _ := strings.Cut(target, "?")
	found := t.entries[callID]
	if decoded, err := url.PathUnescape(callID); found == nil && err == nil {
		found = t.entries[decoded]
	}
	if found == nil {
		return nil, false
	}
	body, err := jsoniter.ConfigDefault.Marshal(found.report(t.names))
	return append(body, '\n'), err == nil
}
