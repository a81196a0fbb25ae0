package status

import (
	"container/list"
	"slices"
	"time"

	"valvecove/internal/requests"
)

// State is how far a request has come.
type State string

// The states.
const (
	StateWaiting State = "waiting" // no attempt is known to run
	StateRunning State = "running" // an attempt runs
	StateEnded   State = "ended"   // it has its outcome
)

// Report is the JSON of the status call.
type Report struct {
	ID      string           `json:"id"`
	Class   string           `json:"class"`
	Tenant  string           `json:"tenant,omitempty"`
	State   State            `json:"state"`
	Worker  string           `json:"worker,omitempty"`
	Share   *float64         `json:"share,omitempty"` // of the work, 0 to 1; nil if no progress is known
	Outcome requests.Outcome `json:"outcome,omitempty"`
}

// entry is what is known of one request.
type entry struct {
	callID    string
	requestID uint64 // 0 if it was rejected at admission
	class     int
	tenant    int
	attempts  []attempt        // in flight, in the order of their start
	worker    string           // of the last attempt that has ended, or was in flight when the request ended
	outcome   requests.Outcome // empty while it is open
	endedAt   time.Duration
	element   *list.Element // of the table's list that the entry is in
}

// attempt is an attempt that is in flight.
type attempt struct {
	number   int
	worker   string
	running  bool
	progress *float64 // nil if none is known
}

func (e *entry) hasEnded() bool { return e.outcome != "" }

func (e *entry) startAttempt(started *requests.Attempt) {
	e.attempts = append(e.attempts, attempt{number: started.Number, worker: started.EndpointID})
}

func (e *entry) endAttempt(ended *requests.Attempt) {
	e.worker = ended.EndpointID
	e.attempts = slices.DeleteFunc(e.attempts, func(known attempt) bool { return known.number == ended.Number })
}

func (e *entry) markRunning(accepted *requests.Attempt) {
	if known := e.attempt(accepted.Number); known != nil {
		known.running = true
	}
}

// applyCallback records a worker's callback on an attempt. One on an end changes nothing: AttemptEnded follows it.
func (e *entry) applyCallback(reported *requests.Attempt, callback *requests.Callback) {
	known := e.attempt(reported.Number)
	if known == nil {
		return
	}
	switch callback.State {
	case "started":
		known.running = true
	case "running":
		progress := min(max(callback.Progress, 0), 1)
		known.running = true
		known.progress = &progress
	}
}

// attempt returns the attempt of a number, or nil if it is not in flight.
func (e *entry) attempt(number int) *attempt {
	for i := range e.attempts {
		if e.attempts[i].number == number {
			return &e.attempts[i]
		}
	}
	return nil
}

// end records the outcome. Attempts that are still in flight are not shown any more.
func (e *entry) end(outcome requests.Outcome, now time.Duration) {
	if len(e.attempts) > 0 {
		e.worker = e.mostAdvanced().worker
	}
	e.attempts = nil
	e.outcome = outcome
	e.endedAt = now
}

// mostAdvanced returns the running attempt that has come furthest, or the last attempt if none runs. There must be an
// attempt in flight.
func (e *entry) mostAdvanced() *attempt {
	best := &e.attempts[len(e.attempts)-1]
	for i := range e.attempts {
		candidate := &e.attempts[i]
		if candidate.running && (!best.running || candidate.progressOrUnknown() > best.progressOrUnknown()) {
			best = candidate
		}
	}
	return best
}

// progressOrUnknown returns the progress, or a value below any progress if none is known.
func (a *attempt) progressOrUnknown() float64 {
	if a.progress == nil {
		return -1
	}
	return *a.progress
}

// report returns the response of the status call about the request.
func (e *entry) report(names requests.NameTable) Report {
	report := Report{ID: e.callID, State: StateWaiting, Outcome: e.outcome}
	if e.class < len(names.Classes) {
		report.Class = names.Classes[e.class]
	}
	if e.tenant < len(names.Tenants) {
		report.Tenant = names.Tenants[e.tenant]
	}
	switch {
	case e.hasEnded():
		report.State = StateEnded
		report.Worker = e.worker
	case len(e.attempts) > 0:
		shown := e.mostAdvanced()
		report.Worker = shown.worker
		if shown.running {
			report.State = StateRunning
			report.Share = shown.progress
		}
	}
	return report
}
