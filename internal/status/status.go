// Package status is the table behind the status call: what became of each query, by the client's id for it. It
// hears of queries as an observer of the ledger, decides nothing, and is bounded in entries and in time.
package status

import (
	"container/list"
	"net/url"
	"slices"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/config"
	"valvecove/internal/requests"
)

// Path is where the status call is; the client's id for the query follows it.
const Path = "/status/"

// Table holds an entry for each query that is open, and for each that ended lately.
type Table struct {
	conf        config.Status
	names       requests.NameTable
	tellsStart  bool // worker nodes say when a job starts
	now         func() time.Duration
	entries     map[string]*entry
	open, ended list.List // of *entry, the oldest first; the ended ones by when they ended
}

// entry is what is known of one query.
type entry struct {
	call   string
	query  uint64 // the number of the query; one refused at the door has none
	class  int
	tenant int
	tries  []try // that are out, in the order of their sending
	worker string
	ended  time.Duration
	how    requests.Outcome // none while it is open
	place  *list.Element
}

// try is an attempt that is out.
type try struct {
	number  int
	worker  string
	running bool
	share   *float64 // none told yet
}

// answer is the JSON of the status call.
type answer struct {
	ID      string           `json:"id"`
	Class   string           `json:"class"`
	Tenant  string           `json:"tenant,omitempty"`
	State   string           `json:"state"`
	Worker  string           `json:"worker,omitempty"`
	Share   *float64         `json:"share,omitempty"`
	Outcome requests.Outcome `json:"outcome,omitempty"`
}

// New returns an empty table. tellsStart says whether worker nodes tell when a job starts; where they don't, it
// counts as running once its worker node has accepted it.
func New(conf config.Status, names requests.NameTable, tellsStart bool, now func() time.Duration) *Table {
	return &Table{conf: conf, names: names, tellsStart: tellsStart, now: now, entries: map[string]*entry{}}
}

// Observe takes in news of a query.
func (t *Table) Observe(n requests.Notification) {
	switch n.Kind {
	case requests.RequestAdmitted:
		t.enter(n.Request)
		return
	case requests.RequestRejected:
		// One with the id of a query that is known says nothing of that one.
		if n.Request != nil && n.Status == 503 && t.entries[n.Request.CallID] == nil {
			t.end(t.enter(n.Request), n.Request.Outcome())
		}
		return
	case requests.CallbackReceived:
		if n.Attempt == nil {
			return
		}
		n.Request = n.Attempt.Request
	}
	e := t.entries[n.Request.CallID]
	if e == nil || e.query != n.Request.ID || e.how != "" {
		return // dropped from the table, replaced by a later query with this id, or over
	}
	switch n.Kind {
	case requests.AttemptStarted:
		e.tries = append(e.tries, try{number: n.Attempt.Number, worker: n.Attempt.EndpointID})
	case requests.ResponseReceived:
		if k := e.try(n.Attempt); k != nil && n.Status/100 == 2 && !t.tellsStart {
			k.running = true
		}
	case requests.CallbackReceived:
		if k := e.try(n.Attempt); k != nil && n.Callback.State == "started" {
			k.running = true
		} else if k != nil && n.Callback.State == "running" {
			share := min(max(n.Callback.Progress, 0), 1)
			k.running, k.share = true, &share
		}
	case requests.AttemptEnded:
		e.worker = n.Attempt.EndpointID
		e.tries = slices.DeleteFunc(e.tries, func(k try) bool { return k.number == n.Attempt.Number })
	case requests.RequestEnded:
		t.end(e, n.Request.Outcome())
	}
}

// enter makes an entry for a query, in place of one for an earlier query with the same id.
func (t *Table) enter(q *requests.Request) *entry {
	t.drop(t.entries[q.CallID])
	t.expire()
	for len(t.entries) >= t.conf.MaxEntries {
		if t.ended.Len() > 0 {
			t.drop(t.ended.Front().Value.(*entry))
		} else {
			t.drop(t.open.Front().Value.(*entry))
		}
	}
	e := &entry{call: q.CallID, query: q.ID, class: q.Job.Class, tenant: q.Job.Tenant}
	e.place = t.open.PushBack(e)
	t.entries[e.call] = e
	return e
}

func (t *Table) end(e *entry, how requests.Outcome) {
	t.open.Remove(e.place)
	if len(e.tries) > 0 {
		e.worker = e.shown().worker
	}
	e.how, e.ended, e.tries = how, t.now(), nil
	e.place = t.ended.PushBack(e)
	t.expire()
}

func (t *Table) drop(e *entry) {
	if e == nil {
		return
	}
	if delete(t.entries, e.call); e.how == "" {
		t.open.Remove(e.place)
	} else {
		t.ended.Remove(e.place)
	}
}

func (t *Table) expire() {
	for t.ended.Len() > 0 {
		e := t.ended.Front().Value.(*entry)
		if t.now()-e.ended < t.conf.Retention {
			return
		}
		t.drop(e)
	}
}

func (e *entry) try(a *requests.Attempt) *try {
	for i := range e.tries {
		if e.tries[i].number == a.Number {
			return &e.tries[i]
		}
	}
	return nil
}

// shown is the attempt that the entry speaks of: of those that run the one that has come furthest, else the last.
func (e *entry) shown() *try {
	pick := &e.tries[len(e.tries)-1]
	for i := range e.tries {
		if k := &e.tries[i]; k.running && (!pick.running || k.far() > pick.far()) {
			pick = k
		}
	}
	return pick
}

// far is how far it has come; one of which no progress was told is behind any other.
func (k *try) far() float64 {
	if k.share == nil {
		return -1
	}
	return *k.share
}

// Find gives what is known of the query with a client's id, as JSON; ok is false if nothing is. The id may be
// written as it is, or with its odd characters as %XX.
func (t *Table) Find(target string) (body []byte, ok bool) {
	t.expire()
	call, _, _ := strings.Cut(target, "?")
	e := t.entries[call]
	if plain, err := url.PathUnescape(call); e == nil && err == nil {
		e = t.entries[plain]
	}
	if e == nil {
		return nil, false
	}
	a := answer{ID: e.call, State: "waiting", Worker: e.worker, Outcome: e.how}
	if e.class < len(t.names.Classes) {
		a.Class = t.names.Classes[e.class]
	}
	if e.tenant < len(t.names.Tenants) {
		a.Tenant = t.names.Tenants[e.tenant]
	}
	switch {
	case e.how != "":
		a.State = "ended"
	case len(e.tries) == 0:
		a.Worker = ""
	default:
		k := e.shown()
		if a.Worker = k.worker; k.running {
			a.State, a.Share = "running", k.share
		}
	}
	body, err := jsoniter.ConfigDefault.Marshal(a)
	return append(body, '\n'), err == nil
}
