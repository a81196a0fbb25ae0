package status

import (
	"container/list"
	"slices"
	"time"

	"valvecove/internal/requests"
)

// State is the state of a request in the status call.
type State string

// States of a request.
const (
	StateWaiting State = "waiting" // no attempt is known to be running
	StateRunning State = "running" // an attempt is running
	StateEnded   State = "ended"   // it has an outcome
)

// Report is the JSON of the status call.
type Report struct {
	ID      string           `json:"id"`
	Class   string           `json:"class"`
	Tenant  string           `json:"tenant,omitempty"`
	State   State            `json:"state"`
	Worker  string           `json:"worker,omitempty"`
	Share   *float64         `json:"share,omitempty"` // progress of the work, from 0 to 1; nil: unknown
	Outcome requests.Outcome `json:"outcome,omitempty"`
}

// entry is the state of one request.
type entry struct {
	callID    string
	requestID uint64 // 0: it was rejected at admission
	class     int
	tenant    int
	attempts  []attempt        // in flight, in the order of their start
	worker    string           // endpoint ID of the last attempt that has ended, or was in flight when the request ended
	outcome   requests.Outcome // empty while it is open
	endedAt   time.Duration
	element   *list.Element // of Table.open or Table.ended
}

// attempt is an attempt that is in flight.
type attempt struct {
	number   int
	worker   string
	running  bool
	progress *float64 // from 0 to 1; nil: unknown
}

// hasEnded reports whether the request has an outcome.
func (e *entry) hasEnded() bool { return e.outcome != "" }

// startAttempt adds an attempt in flight.
func (e *entry) startAttempt(started *requests.Attempt) {
	e.attempts = append(e.attempts, attempt{number: started.Number, worker: started.EndpointID})
}

// endAttempt removes an attempt.
func (e *entry) endAttempt(ended *requests.Attempt) {
	e.worker = ended.EndpointID
	e.attempts = slices.DeleteFunc(e.attempts, func(known attempt) bool { return known.number == ended.Number })
}

// markRunning records that an attempt in flight is running.
func (e *entry) markRunning(accepted *requests.Attempt) {
	if known := e.attempt(accepted.Number); known != nil {
		known.running = true
	}
}

// applyCallback records a worker's callback about an attempt in flight. A callback about the end of the attempt changes nothing,
// because an AttemptEnded notification follows.
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

// attempt returns the attempt with a number, or nil if it is not in flight.
func (e *entry) attempt(number int) *attempt {
	for i := range e.attempts {
		if e.attempts[i].number == number {
			return &e.attempts[i]
		}
	}
	return nil
}

// end records the outcome. Attempts that are still in flight are removed.
func (e *entry) end(outcome requests.Outcome, now time.Duration) {
	if len(e.attempts) > 0 {
		e.worker = e.mostAdvanced().worker
	}
	e.attempts = nil
	e.outcome = outcome
	e.endedAt = now
}

// mostAdvanced returns the running attempt with the most progress, or the last attempt if none is running. There must be an
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

// progressOrUnknown returns the progress, or a negative value if it is unknown.
func (a *attempt) progressOrUnknown() float64 {
	if a.progress == nil {
		return -1
	}
	return *a.progress
}

// report returns the response of the status call.
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
