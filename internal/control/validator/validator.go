package validator

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// LocalEpoch is the epoch of the local policy's commands. No session uses it.
const LocalEpoch message.Epoch = 0

// Validator validates the commands to one forwarder. It is not safe for concurrent use.
type Validator struct {
	settings     dispatch.Settings
	now          time.Duration // time of the latest call
	requests     map[uint64]*requestRecord
	freeRequests []*requestRecord // for reuse
	openSessions map[message.Epoch]bool
	workers      map[uint64]listedWorker
	statuses     statusTable
	rejected     [message.ReasonCount]int
}

// New returns a validator without requests, workers or sessions.
func New(settings dispatch.Settings) *Validator {
	return &Validator{
		settings:     settings,
		requests:     map[uint64]*requestRecord{},
		openSessions: map[message.Epoch]bool{},
		workers:      map[uint64]listedWorker{},
		statuses:     newStatusTable(),
	}
}

// advance sets the current time. It ignores a time before the current one.
func (v *Validator) advance(now time.Duration) { v.now = max(v.now, now) }

// Observe processes an event of the request table. If the event ends an attempt, commandNumber is the number by which the
// request's owner knows the attempt. The event itself carries no valid attempt number if the request was closed between two
// sends of one step.
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

// Apply records an executed action: a Send that Validate has allowed, or a final response that the owner or the forwarder itself
// decided on. Other actions are ignored.
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

// OpenSession allows commands of a session.
func (v *Validator) OpenSession(epoch message.Epoch) { v.openSessions[epoch] = true }

// CloseSession disallows further commands of a session.
func (v *Validator) CloseSession(epoch message.Epoch) { delete(v.openSessions, epoch) }
