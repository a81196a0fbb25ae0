// Package status is the table behind the status call: what became of each request, by the id that its client gave it. It
// observes the request table and decides nothing. It is bounded in entries and in the time for which it keeps them; it
// holds no payload and no result.
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

// Path is the path of the status call. The client's id for the request follows it.
const Path = "/status/"

// Table holds an entry for each open request and for each that ended lately. It is an observer of the request table, and is
// used by the goroutine that owns it.
type Table struct {
	conf               config.Status
	names              requests.NameTable
	startNotifications bool
	now                func() time.Duration
	entries            map[string]*entry // by the client's id
	open, ended        list.List         // of *entry, oldest first: by admission, and by end
}

// New returns an empty table. startNotifications says whether workers notify of the start of a job. Where they don't, a job
// counts as running once its worker has accepted it.
func New(conf config.Status, names requests.NameTable, startNotifications bool, now func() time.Duration) *Table {
	return &Table{
		conf:               conf,
		names:              names,
		startNotifications: startNotifications,
		now:                now,
		entries:            map[string]*entry{},
	}
}

// Observe records what a notification reports.
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

// addRejected records a request that was rejected at admission for lack of capacity. One with the id of a known request
// changes nothing of that one's entry.
func (t *Table) addRejected(notification requests.Notification) {
	request := notification.Request
	if request != nil && notification.Status == 503 && t.entries[request.CallID] == nil {
		t.end(t.add(request), request.Outcome())
	}
}

// update records what happened to an open request. It does nothing if the request's entry was dropped, replaced by a later
// request's, or ended.
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

// add makes an entry for a request, in place of one for an earlier request with the same id. Where there is no room the
// entry that ended first is dropped, or else the oldest open one.
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

// expire drops the entries that have been kept for long enough since their end.
func (t *Table) expire() {
	for oldest := t.ended.Front(); oldest != nil; oldest = t.ended.Front() {
		ended := oldest.Value.(*entry)
		if t.now()-ended.endedAt < t.conf.Retention {
			return
		}
		t.drop(ended)
	}
}

// Find returns what is known of a request as a line of JSON. target is the client's id, plain or percent-encoded, and may
// have a query string, which is ignored. It returns false if nothing is known.
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
