package validator

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// LocalEpoch is the epoch of the local policy's commands. No session has it.
const LocalEpoch message.Epoch = 0

// Validator validates the commands to one forwarder. It is used by one goroutine.
type Validator struct {
	settings     dispatch.Settings
	now          time.Duration // of the latest call
	requests     map[uint64]*requestRecord
	freeRequests []*requestRecord // for reuse
	openSessions map[message.Epoch]bool
	workers      map[uint64]listedWorker
	statuses     statusTable
	rejected     [message.ReasonCount]int
}

// New returns a validator without requests, workers and sessions.
func New(settings dispatch.Settings) *Validator {
	return &Validator{
		settings:     settings,
		requests:     map[uint64]*requestRecord{},
		openSessions: map[message.Epoch]bool{},
		workers:      map[uint64]listedWorker{},
		statuses:     newStatusTable(),
	}
}

// advance sets the present time. An earlier time than the present one is ignored.
func (v *Validator) advance(now time.Duration) { v.now = max(v.now, now) }

// Observe processes an event of the request table. If it ends an attempt, commandNumber is that attempt's number in the
// count of the request's owner. The request table itself has no number for it if the request was closed between two sends
// of one step.
func (v *Validator) Observe(now time.Duration, event dispatch.Event) (commandNumber int, attemptEnded bool) {
	v.advance(now)
	switch event := event.(type) {
	case dispatch.Job:
		v.admit(event)
	case dispatch.Outcome:
		return v.attemptEnded(event)
	case dispatch.Started:
		v.attemptStarted(event.Job, event.Attempt, event.Worker)
	case dispatch.Progressed:
		v.attemptStarted(event.Job, event.Attempt, event.Worker)
	case dispatch.ResponseStarted:
		v.responseStarted(event)
	case dispatch.ClientDisconnected:
		v.closeRequest(event.Job)
	case dispatch.WorkerList:
		v.updateList(event)
	}
	return 0, false
}

// Apply records an action that is executed: a Send that Validate has allowed, or a final response of the owner or of the
// forwarder itself. Other actions are ignored.
func (v *Validator) Apply(now time.Duration, action dispatch.Action) {
	v.advance(now)
	switch action := action.(type) {
	case dispatch.Send:
		v.attemptSent(action)
	case dispatch.Reject:
		v.closeRequest(action.Job)
	case dispatch.Fail:
		v.closeRequest(action.Job)
	}
}

// OpenSession makes commands of a session valid.
func (v *Validator) OpenSession(epoch message.Epoch) { v.openSessions[epoch] = true }

// CloseSession makes commands of a session invalid.
func (v *Validator) CloseSession(epoch message.Epoch) { delete(v.openSessions, epoch) }
