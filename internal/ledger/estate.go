package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/logic"
)

// What is here hands a ledger's memory to that of another process, and takes it over. Instants are Unix time in both. The
// other process may be of another build: the names in the tags, and the order of the fields, are part of the form.

// Estate is what a ledger has besides queries.
type Estate struct {
	LastID     uint64        `json:"LastID"`
	Timer      time.Duration `json:"Timer"` // the module's; 0: none
	Generation int64         `json:"Generation"`
	Hosts      []Host        `json:"Hosts"`  // all that were ever listed
	Listed     []string      `json:"Listed"` // those that are listed now
	Out        []string      `json:"Out"`    // those that are out by hand
}

// OpenQuery is a query that is owed an answer, or has attempts out.
type OpenQuery struct {
	ID       uint64        `json:"ID"`
	Call     string        `json:"Call"`
	Parcel   Parcel        `json:"Parcel"`
	Job      logic.Job     `json:"Job"`
	Deadline time.Duration `json:"Deadline"`
	Came     time.Duration `json:"Came"`
	Sent     time.Duration `json:"Sent"`
	Attempts []OpenAttempt `json:"Attempts"`
	Noted    []string      `json:"Noted"`
	Closed   bool          `json:"Closed"`
	Left     bool          `json:"Left"`
	Over     bool          `json:"Over"`
	Outcome  Outcome       `json:"Outcome"`
	Answer   Answer        `json:"Answer"`
}

// OpenAttempt is one of its attempts, by number.
type OpenAttempt struct {
	Worker      uint64        `json:"Worker"`
	From        string        `json:"From"`
	Until       time.Duration `json:"Until"` // it is waited for until then
	Stage       Stage         `json:"Stage"`
	Sent        bool          `json:"Sent"`
	Ended       bool          `json:"Ended"`
	Withdrawing bool          `json:"Withdrawing"` // its worker node has not been told yet
	Outcome     logic.Result  `json:"Outcome"`     // if it has ended
}

// Settle has the module hear all that has come in, and tells whether nothing is left: what the module had not heard would
// be lost with a hand-over.
func (l *Ledger) Settle(now time.Duration) bool {
	for range 16 {
		if len(l.events) == 0 {
			return true
		}
		l.Step(now)
	}
	return len(l.events) == 0
}

// Estate gives all that another process needs to go on.
func (l *Ledger) Estate() (e Estate, open []OpenQuery) {
	e = Estate{LastID: l.lastID, Timer: l.timer, Generation: l.generation, Out: l.Bans()}
	for _, n := range slices.Sorted(maps.Keys(l.table.hosts)) {
		h := l.table.hosts[n]
		e.Hosts = append(e.Hosts, h)
		if _, listed := l.ready[n]; listed {
			e.Listed = append(e.Listed, h.ID)
		}
	}
	for _, q := range l.inOrder() {
		o := OpenQuery{ID: q.ID, Call: q.Call, Parcel: q.Parcel, Job: q.Job, Deadline: q.Deadline, Came: q.Came, Sent: q.Sent,
			Noted: q.noted, Closed: q.closed, Left: q.left, Over: q.over, Outcome: q.outcome, Answer: q.answer}
		for _, a := range q.attempts {
			o.Attempts = append(o.Attempts, OpenAttempt{Worker: a.Worker, From: a.From, Until: a.At, Stage: a.Stage, Sent: a.sent,
				Ended: a.ended, Withdrawing: a.withdrawing, Outcome: a.result})
		}
		open = append(open, o)
	}
	return e, open
}

// TakeOver goes on with what another process had. It has none of its own yet. askers are those that wait for answers, by
// query; module makes the module that goes on, and is called once the observers have heard of the queries. Where it gives
// nil, the one that is there is told of the queries and what became of their attempts so far.
func (l *Ledger) TakeOver(now time.Duration, e Estate, open []OpenQuery, askers map[uint64]Asker, module func() Module) {
	l.await = 0
	listed := map[string]bool{}
	for _, id := range e.Listed {
		listed[id] = true
	}
	group := HostGroup{Generation: e.Generation, Reset: true}
	for _, h := range e.Hosts {
		if h.ID == "" {
			continue
		}
		if _, known := l.table.numbers[h.ID]; !known {
			l.table.hosts[l.table.number(h.ID)] = h
		}
		if listed[h.ID] {
			group.Hosts = append(group.Hosts, h)
		}
	}
	if e.Generation > l.generation { // drains that only the other has heard of hold here too
		l.hosts(group, logic.ListFull)
	}
	l.SetBans(e.Out)
	l.lastID = max(l.lastID, e.LastID)
	for _, o := range open {
		l.inherit(o, askers[o.ID])
	}
	defer l.resumeWithdrawals()
	l.timer, l.events = e.Timer, l.events[:0]
	if m := module(); m != nil {
		l.module = m
		l.events = append(l.events, l.asKnown()...)
		return
	}
	l.timer = max(1, now) // the module that is there has asked for its own, and is woken too early rather than never
	l.events = append(l.events, l.asKnown()...)
	for _, q := range l.inOrder() {
		if q.closed {
			continue
		}
		job := q.Job
		job.Left = max(0, q.Deadline-now)
		r := logic.Resumed{Job: job, Waited: now - q.Came, Counted: true}
		for _, a := range q.attempts {
			r.Attempts = append(r.Attempts, logic.Past{Worker: a.Worker, Ago: now - max(q.Came, q.Sent), Ended: a.ended, Result: a.result})
		}
		l.events = append(l.events, r)
	}
}

// inherit enters one query.
func (l *Ledger) inherit(o OpenQuery, asker Asker) {
	q := &Query{ID: o.ID, Call: o.Call, Parcel: o.Parcel, Job: o.Job, Deadline: o.Deadline, Came: o.Came, Sent: o.Sent,
		asker: asker, noted: o.Noted, closed: o.Closed, left: o.Left, over: o.Over, outcome: o.Outcome, answer: o.Answer}
	if asker == nil && !q.closed { // its link did not come along, so nobody waits for it
		q.asker = gone{}
	}
	l.queries[q.ID] = q
	l.bytes += len(q.Parcel.Body)
	if !q.closed {
		l.calls[q.Call] = q
		l.tell(News{What: NewsTaken, Query: q})
	}
	for i, x := range o.Attempts {
		a := &Attempt{Query: q, Number: i, Worker: x.Worker, From: x.From, Stage: x.Stage, sent: x.Sent, ended: x.Ended,
			result: x.Outcome, withdrawing: x.Withdrawing, why: Withdrawn}
		a.At = x.Until
		a.clouded = q.mayHear(a)
		q.attempts = append(q.attempts, a)
		if a.ended {
			continue
		}
		q.out++
		l.live[attemptKey{q.Call, a.From}] = a
		l.expiries.Add(a)
		if a.sent {
			l.tell(News{What: NewsSent, Query: q, Attempt: a})
		}
	}
}

// resumeWithdrawals goes on with what the other process was about to tell worker nodes.
func (l *Ledger) resumeWithdrawals() {
	for _, q := range l.inOrder() {
		for _, a := range q.attempts {
			if a.withdrawing {
				l.carrier.Withdraw(a)
			}
		}
	}
}

// Attempt finds an attempt that is out.
func (l *Ledger) Attempt(query uint64, number int) *Attempt {
	if q := l.queries[query]; q != nil && number >= 0 && number < len(q.attempts) && !q.attempts[number].ended {
		return q.attempts[number]
	}
	return nil
}

// Query finds a query that is not forgotten.
func (l *Ledger) Query(id uint64) *Query { return l.queries[id] }

// gone stands for a client that nobody can answer.
type gone struct{}

func (gone) Serve([]byte)           {}
func (gone) Throttle(time.Duration) {}
func (gone) Fail()                  {}

// asKnown is what a module is told that knows nothing, or goes on elsewhere: the bans, and the host group as it is held.
func (l *Ledger) asKnown() (events []logic.Event) {
	for _, id := range slices.Sorted(maps.Keys(l.bans)) {
		events = append(events, logic.Suspended{Worker: id})
	}
	list := logic.WorkerList{Kind: logic.ListCached, Generation: l.generation}
	for _, w := range l.ready {
		list.Workers = append(list.Workers, w)
	}
	slices.SortFunc(list.Workers, func(a, b logic.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return append(events, list)
}
