package validator

import (
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/modeltest"
)

// history is everything that ever happened. The model derives each verdict anew from all of it.
type history struct {
	settings dispatch.Settings
	now      time.Duration
	records  []record
}

// record is one thing that happened: a dispatch.Event, a message.WorkerStatus, an assignment, a usedNumber or an
// appliedCommand.
type record struct {
	at   time.Duration
	what any
}

// assignment makes a session the owner of a request.
type assignment struct {
	request uint64
	owner   message.Epoch
}

// usedNumber is the number of a send command of the request's owner.
type usedNumber struct {
	request uint64
	number  int
}

// appliedCommand is a valid command to send or end a request.
type appliedCommand struct{ *anyCommand }

func (h *history) add(what any) { h.records = append(h.records, record{h.now, what}) }

// ---- What follows from the history ----

// modelWorker is an entry of the own list, with the revision that had it last.
type modelWorker struct {
	dispatch.Worker
	revision int64
}

// status is the worker's status by the own list.
func (w *modelWorker) status() message.WorkerStatus {
	status := message.WorkerStatus{WorkerID: w.ID, StartedMs: w.BootAt.Milliseconds(), Revision: w.revision}
	if !w.Ready {
		status.State = message.WorkerDraining
	}
	return status
}

// list is the own list as of now.
func (h *history) list() map[uint64]modelWorker { return h.listAfter(len(h.records)) }

// listAfter is the own list after so many records.
func (h *history) listAfter(count int) map[uint64]modelWorker {
	list := map[uint64]modelWorker{}
	for _, record := range h.records[:count] {
		update, ok := record.what.(dispatch.WorkerList)
		if !ok || update.Kind == dispatch.ListUnavailable {
			continue
		}
		if update.Kind != dispatch.ListDelta {
			clear(list)
		}
		for _, worker := range update.Workers {
			delete(list, worker.ID)
			if !worker.Removed {
				list[worker.ID] = modelWorker{worker, update.Revision}
			}
		}
	}
	return list
}

// newestStatus is the newest status of a worker from others; nil: there is none.
func (h *history) newestStatus(workerID uint64) (newest *message.WorkerStatus) {
	for i := range h.records {
		status, ok := h.records[i].what.(message.WorkerStatus)
		if ok && status.WorkerID == workerID && (newest == nil || status.Supersedes(*newest)) {
			newest = &status
		}
	}
	return newest
}

type modelRequest struct {
	job       dispatch.Job
	arrivedAt time.Duration
	closed    bool
	owner     message.Epoch
	assigned  bool
	attempts  []modelAttempt
	used      []int // numbers of the owner's send commands
}

type modelAttempt struct {
	worker     uint64
	cell, zone int
	number     int
	sentAt     time.Duration
	ended      bool
	result     dispatch.Result
}

func (a modelAttempt) possiblyExecuted() bool {
	return !a.ended ||
		a.result != dispatch.WorkerFull && a.result != dispatch.ConnectFailed && a.result != dispatch.NotSent
}

// request is what has become of a request; nil: it never arrived.
func (h *history) request(id uint64) (r *modelRequest) {
	for i, record := range h.records {
		if subjectOf(record.what) != id {
			continue
		}
		switch what := record.what.(type) {
		case dispatch.Job:
			r = &modelRequest{job: what, arrivedAt: record.at}
		case dispatch.ClientDisconnected, dispatch.ResponseStarted:
			r.closed = true
		case dispatch.Outcome:
			r.end(what)
		case assignment:
			r.assign(what.owner)
		case usedNumber:
			r.used = append(r.used, what.number)
		case appliedCommand:
			r.apply(what.anyCommand, record.at, h.listAfter(i))
		}
	}
	return r
}

// subjectOf is the request that a record is about; 0: none.
func subjectOf(what any) uint64 {
	switch what := what.(type) {
	case dispatch.Job:
		return what.ID
	case dispatch.ClientDisconnected:
		return what.Job
	case dispatch.ResponseStarted:
		return what.Job
	case dispatch.Outcome:
		return what.Job
	case assignment:
		return what.request
	case usedNumber:
		return what.request
	case appliedCommand:
		return what.request
	}
	return 0
}

func (r *modelRequest) end(outcome dispatch.Outcome) {
	r.attempts[outcome.Attempt].ended = true
	r.attempts[outcome.Attempt].result = outcome.Result
	r.closed = r.closed || outcome.Closed
}

func (r *modelRequest) assign(owner message.Epoch) {
	r.owner = owner
	r.assigned = true
	r.used = nil
	for i := range r.attempts {
		r.attempts[i].number = i
		r.used = append(r.used, i)
	}
}

func (r *modelRequest) apply(command *anyCommand, at time.Duration, list map[uint64]modelWorker) {
	if command.kind != message.KindSendCommand {
		r.closed = true
		return
	}
	worker := list[command.worker]
	r.attempts = append(r.attempts, modelAttempt{
		worker: command.worker, cell: worker.Cell, zone: worker.Zone, number: command.attempt, sentAt: at,
	})
}

// ---- Verdicts ----

// reasonSet collects reasons against a command.
type reasonSet []message.RejectReason

func (s *reasonSet) add(reason message.RejectReason, applies bool) {
	if applies {
		*s = append(*s, reason)
	}
}

func (s reasonSet) has(reason message.RejectReason) bool { return slices.Contains(s, reason) }

// reasons are all that there are against a command of a session. open are the open sessions.
func (h *history) reasons(epoch message.Epoch, open map[message.Epoch]bool, command *anyCommand) (reasons reasonSet) {
	reasons.add(message.ReasonStaleEpoch, epoch != LocalEpoch && !open[epoch])
	if command.kind == message.KindHealthCheckCommand || command.kind == message.KindCloseIdleCommand {
		_, listed := h.list()[command.worker]
		reasons.add(message.ReasonUnknownWorker, !listed)
		reasons.add(message.ReasonNotPermitted, command.kind == message.KindHealthCheckCommand && !h.settings.HealthChecks)
		return reasons
	}
	r := h.request(command.request)
	if r == nil || r.closed {
		return append(reasons, message.ReasonUnknownRequest)
	}
	reasons.add(message.ReasonNotOwner, !r.assigned || r.owner != epoch)
	switch command.kind {
	case message.KindRejectCommand:
		reasons.add(message.ReasonUnsafeRejection, !h.canReject(r))
	case message.KindCancelCommand:
		inFlight := func(a modelAttempt) bool { return a.number == command.attempt && !a.ended }
		reasons.add(message.ReasonNotPermitted, !h.settings.Cancellation)
		reasons.add(message.ReasonUnknownRequest, !slices.ContainsFunc(r.attempts, inFlight))
	case message.KindSendCommand:
		h.addSendReasons(&reasons, r, command)
	}
	return reasons
}

func (h *history) canReject(r *modelRequest) bool {
	class := h.settings.Classes[r.job.Class]
	return class.Idempotency == dispatch.Idempotent ||
		class.Idempotency == dispatch.IdempotentWithKey && class.DeduplicationScope == dispatch.ScopeAll ||
		!slices.ContainsFunc(r.attempts, modelAttempt.possiblyExecuted)
}

func (h *history) addSendReasons(reasons *reasonSet, r *modelRequest, command *anyCommand) {
	class := h.settings.Classes[r.job.Class]
	worker, listed := h.list()[command.worker]
	newest := h.newestStatus(command.worker)
	blocked := newest != nil && newest.State != message.WorkerUp && !worker.status().Supersedes(*newest)
	isUsed := func(number int) bool { return number >= command.attempt }
	reasons.add(message.ReasonDuplicateCommand, command.attempt < 0 || slices.ContainsFunc(r.used, isUsed))
	reasons.add(message.ReasonDeadlineExceeded, h.now >= r.arrivedAt+r.job.Remaining)
	reasons.add(message.ReasonAttemptLimit, len(r.attempts) >= h.settings.AttemptLimit)
	reasons.add(message.ReasonUnknownWorker, !listed)
	reasons.add(message.ReasonClassMismatch, class.Kinds != nil && !slices.Contains(class.Kinds, worker.Kind))
	reasons.add(message.ReasonClassMismatch, class.Zones != nil && !slices.Contains(class.Zones, worker.Zone))
	reasons.add(message.ReasonWorkerDraining, !worker.Ready || blocked)
	for _, attempt := range r.attempts {
		reasons.add(message.ReasonDuplicateAtWorker, !attempt.ended && attempt.worker == command.worker)
		reasons.add(message.ReasonHedgingDisabled, !attempt.ended && !h.settings.Hedging)
		if attempt.possiblyExecuted() {
			h.addRepetitionReasons(reasons, &class, attempt, worker)
		}
	}
}

func (h *history) addRepetitionReasons(reasons *reasonSet, class *dispatch.Class, previous modelAttempt, worker modelWorker) {
	withKey := class.Idempotency == dispatch.IdempotentWithKey
	otherCell := class.DeduplicationScope == dispatch.ScopeCell && previous.cell != worker.Cell
	otherZone := class.DeduplicationScope == dispatch.ScopeZone && previous.zone != worker.Zone
	reasons.add(message.ReasonPossiblyExecuted, class.Idempotency == dispatch.NonIdempotent)
	reasons.add(message.ReasonOutsideScope, withKey && (otherCell || otherZone))
	isInMargin := 20*(h.now-previous.sentAt) >= 19*class.DeduplicationWindow ||
		h.now-previous.sentAt+h.settings.ConnectTimeout+repeatMargin >= class.DeduplicationWindow
	reasons.add(message.ReasonWindowExpired, withKey && isInMargin)
}

// ---- Random runs ----

// The verdict on a command is the one that follows from the whole history: a reason that the validator gives is one of the
// model's, and where the model has none, it gives none.
func FuzzValidator(f *testing.F) { modeltest.Fuzz(f, runModel) }

// modelRun puts a validator and the model through the same steps.
type modelRun struct {
	*modeltest.Steps
	history   *history
	validator *Validator
	open      map[message.Epoch]bool
	requests  uint64 // so many have arrived, numbered from 1
}

func runModel(s *modeltest.Steps) {
	settings := randomSettings(s)
	run := &modelRun{
		Steps:     s,
		history:   &history{settings: settings, now: time.Hour},
		validator: New(settings),
		open:      map[message.Epoch]bool{},
	}
	run.observe(randomList(s, dispatch.ListFull))
	for s.More() {
		run.step()
	}
	run.finish()
}

func (run *modelRun) observe(event dispatch.Event) {
	run.history.add(event)
	run.validator.Observe(run.history.now, event)
}

func (run *modelRun) step() {
	const maxRequests = 12
	run.history.now += time.Duration(run.Pick(8)) * 25 * time.Millisecond
	id := uint64(1)
	epoch := message.Epoch(run.Pick(4))
	if run.requests > 0 {
		id += uint64(run.Pick(int(run.requests)))
	}
	r := run.history.request(id)
	choice := run.Pick(16)
	switch {
	case choice == 0 && run.requests < maxRequests:
		run.admit(epoch)
	case choice == 1:
		run.observe(randomList(run.Steps, dispatch.ListKind(run.Pick(4))))
		run.Record("list")
	case choice == 2:
		run.observeStatus()
	case choice == 4 && epoch != LocalEpoch:
		run.toggleSession(epoch)
	case r == nil || !run.requestEvent(choice, id, r, epoch):
		run.command(id, r, epoch)
	}
}

// requestEvent is something that happens to a request, by choice. It reports whether it is one of these choices.
func (run *modelRun) requestEvent(choice int, id uint64, r *modelRequest, epoch message.Epoch) bool {
	switch {
	case choice == 3 && run.Pick(3) == 0:
		run.observe(dispatch.ClientDisconnected{Job: id})
		run.Record("client disconnected")
	case choice == 5 && !r.closed:
		run.assign(id, epoch)
		run.Record("assign")
	case choice <= 8 && len(r.attempts) > 0:
		run.endAttempt(id, r)
	default:
		return false
	}
	return true
}

func (run *modelRun) admit(epoch message.Epoch) {
	run.requests++
	run.observe(dispatch.Job{
		ID: run.requests, Class: run.Pick(len(run.history.settings.Classes)),
		Remaining: time.Duration(run.Pick(40)) * 50 * time.Millisecond,
	})
	run.assign(run.requests, epoch)
	run.Record("request")
}

func (run *modelRun) assign(id uint64, owner message.Epoch) {
	run.history.add(assignment{request: id, owner: owner})
	run.validator.Assign(id, owner)
}

func (run *modelRun) observeStatus() {
	status := message.WorkerStatus{
		WorkerID: uint64(run.Pick(6)), StartedMs: int64(run.Pick(3)) * 1000, Revision: int64(run.Pick(6)),
		State: message.WorkerState(run.Pick(3)),
	}
	newest := run.history.newestStatus(status.WorkerID)
	worker, listed := run.history.list()[status.WorkerID]
	isNew := (newest == nil || status.Supersedes(*newest)) && (!listed || status.Supersedes(worker.status()))
	run.history.add(status)
	run.Check(run.validator.ObserveStatus(run.history.now, status) == isNew, "%+v: expected new %v", status, isNew)
	run.Record("status")
}

func (run *modelRun) toggleSession(epoch message.Epoch) {
	run.open[epoch] = !run.open[epoch]
	if run.open[epoch] {
		run.validator.OpenSession(epoch)
	} else {
		run.validator.CloseSession(epoch)
	}
	run.Record("session")
}

func (run *modelRun) endAttempt(id uint64, r *modelRequest) {
	index := run.Pick(len(r.attempts))
	if r.attempts[index].ended {
		return
	}
	result := dispatch.Result(run.Pick(8))
	run.observe(dispatch.Outcome{
		Job: id, Attempt: index, Worker: r.attempts[index].worker, Result: result,
		Closed: result == dispatch.OK || r.closed || run.Pick(9) == 0,
	})
	run.Record("ended")
}

// drawnKinds are the kinds of random commands, send commands most often.
var drawnKinds = []message.Kind{
	message.KindSendCommand, message.KindSendCommand, message.KindSendCommand, message.KindSendCommand,
	message.KindRejectCommand, message.KindFailCommand, message.KindCancelCommand, message.KindHealthCheckCommand,
	message.KindCloseIdleCommand,
}

func (run *modelRun) command(id uint64, r *modelRequest, epoch message.Epoch) {
	command := &anyCommand{kind: drawnKinds[run.Pick(len(drawnKinds))], request: id, worker: uint64(run.Pick(6))}
	if r != nil {
		epoch = r.owner
		if run.Pick(8) == 0 {
			epoch = message.Epoch(run.Pick(4))
		}
		command.attempt = len(r.used) + run.Pick(2) - run.Pick(2)*run.Pick(2)
	}
	reasons := run.history.reasons(epoch, run.open, command)
	reason := run.validator.Validate(run.history.now, epoch, command.message())
	run.Check(reason == message.ReasonNone && len(reasons) == 0 || reasons.has(reason),
		"%+v of %d: %q; the model has %v", command, epoch, reason, reasons)
	isOwners := !reasons.has(message.ReasonStaleEpoch) && !reasons.has(message.ReasonUnknownRequest) &&
		!reasons.has(message.ReasonNotOwner)
	if command.kind == message.KindSendCommand && isOwners && !reasons.has(message.ReasonDuplicateCommand) {
		run.history.add(usedNumber{request: id, number: command.attempt})
	}
	run.Record(reason.String())
	if action := command.action(); reason == message.ReasonNone && action != nil {
		run.history.add(appliedCommand{command})
		run.validator.Apply(run.history.now, action)
	}
}

// finish ends all requests, after which nothing is left.
func (run *modelRun) finish() {
	now := run.history.now
	for id := uint64(1); id <= run.requests; id++ {
		r := run.history.request(id)
		for i, past := range run.validator.AppendAttempts(now, id, nil) {
			attempt := r.attempts[i]
			want := message.PastAttempt{
				WorkerID: attempt.worker, SentAgo: now - attempt.sentAt, Ended: attempt.ended, Result: attempt.result,
				PossiblyExecuted: attempt.possiblyExecuted(),
			}
			run.Check(past == want, "attempt %+v, expected %+v", past, want)
		}
		for i, attempt := range r.attempts {
			if !attempt.ended {
				run.validator.Observe(now, dispatch.Outcome{Job: id, Attempt: i, Worker: attempt.worker, Result: dispatch.TimedOut})
			}
		}
		run.validator.Observe(now, dispatch.ClientDisconnected{Job: id})
	}
	run.Check(run.validator.RequestCount() == 0, "%d requests left", run.validator.RequestCount())
}

func randomSettings(s *modeltest.Steps) dispatch.Settings {
	settings := dispatch.Settings{
		AttemptLimit: 1 + s.Pick(4), Hedging: s.Pick(3) > 0, Cancellation: s.Pick(2) == 0, HealthChecks: s.Pick(2) == 0,
		ConnectTimeout: time.Duration(s.Pick(3)) * 100 * time.Millisecond,
	}
	for range 1 + s.Pick(3) {
		class := dispatch.Class{
			Idempotency: dispatch.Idempotency(s.Pick(3)), DeduplicationScope: dispatch.DeduplicationScope(s.Pick(3)),
			DeduplicationWindow: time.Duration(s.Pick(20)) * 100 * time.Millisecond,
		}
		if s.Pick(4) == 0 {
			class.Kinds = []int{s.Pick(3)}
		}
		if s.Pick(4) == 0 {
			class.Zones = []int{s.Pick(3)}
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

func randomList(s *modeltest.Steps, kind dispatch.ListKind) dispatch.WorkerList {
	list := dispatch.WorkerList{Kind: kind, Revision: int64(s.Pick(6))}
	for id := range uint64(6) {
		if kind != dispatch.ListUnavailable && s.Pick(4) > 0 {
			list.Workers = append(list.Workers, dispatch.Worker{
				ID: id, Kind: s.Pick(2), Zone: s.Pick(2), Cell: s.Pick(2), Ready: s.Pick(6) > 0,
				Removed: kind == dispatch.ListDelta && s.Pick(6) == 0, BootAt: time.Duration(s.Pick(3)) * time.Second,
			})
		}
	}
	return list
}
