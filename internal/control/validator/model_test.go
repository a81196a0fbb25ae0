package validator

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/modeltest"
)

// The validator agrees with a model that derives its verdicts from the whole history: it rejects a command if and only if the
// model has reasons against it, and its reason is one of them.
func FuzzValidator(f *testing.F) { modeltest.Fuzz(f, runModel) }

// modelRun drives a validator and the model with the same steps.
type modelRun struct {
	*modeltest.Steps
	history   *history
	validator *Validator
	open      map[message.Epoch]bool
	requests  uint64 // number of requests that have arrived; their IDs count from 1
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

func (m *modelRun) observe(event dispatch.Event) {
	m.history.add(event)
	m.validator.Observe(m.history.now, event)
}

func (m *modelRun) step() {
	const maxRequests = 12
	m.history.now += time.Duration(m.Pick(8)) * 25 * time.Millisecond
	id := uint64(1)
	epoch := message.Epoch(m.Pick(4))
	if m.requests > 0 {
		id += uint64(m.Pick(int(m.requests)))
	}
	request := m.history.request(id)
	choice := m.Pick(16)
	switch {
	case choice == 0 && m.requests < maxRequests:
		m.admit(epoch)
	case choice == 1:
		m.observe(randomList(m.Steps, dispatch.ListKind(m.Pick(4))))
		m.Record("list")
	case choice == 2:
		m.observeStatus()
	case choice == 4 && epoch != LocalEpoch:
		m.toggleSession(epoch)
	case request == nil || !m.requestEvent(choice, id, request, epoch):
		m.command(id, request, epoch)
	}
}

// requestEvent executes the event of a request that choice selects. It returns false if choice selects none.
func (m *modelRun) requestEvent(choice int, id uint64, request *modelRequest, epoch message.Epoch) bool {
	switch {
	case choice == 3 && m.Pick(3) == 0:
		m.observe(dispatch.ClientDisconnected{Job: id})
		m.Record("client disconnected")
	case choice == 5 && !request.closed:
		m.assign(id, epoch)
		m.Record("assign")
	case choice <= 8 && len(request.attempts) > 0:
		m.endAttempt(id, request)
	default:
		return false
	}
	return true
}

func (m *modelRun) admit(epoch message.Epoch) {
	m.requests++
	m.observe(dispatch.Job{
		ID: m.requests, Class: m.Pick(len(m.history.settings.Classes)),
		Remaining: time.Duration(m.Pick(40)) * 50 * time.Millisecond,
	})
	m.assign(m.requests, epoch)
	m.Record("request")
}

func (m *modelRun) assign(id uint64, owner message.Epoch) {
	m.history.add(assignment{request: id, owner: owner})
	m.validator.Assign(id, owner)
}

func (m *modelRun) observeStatus() {
	status := message.WorkerStatus{
		WorkerID: uint64(m.Pick(6)), StartedMs: int64(m.Pick(3)) * 1000, Revision: int64(m.Pick(6)),
		State: message.WorkerState(m.Pick(3)),
	}
	newest := m.history.newestStatus(status.WorkerID)
	worker, listed := m.history.list()[status.WorkerID]
	isNew := (newest == nil || status.Supersedes(*newest)) && (!listed || status.Supersedes(worker.status()))
	m.history.add(status)
	m.Check(m.validator.ObserveStatus(m.history.now, status) == isNew, "status %+v: want isNew %v", status, isNew)
	m.Record("status")
}

func (m *modelRun) toggleSession(epoch message.Epoch) {
	m.open[epoch] = !m.open[epoch]
	if m.open[epoch] {
		m.validator.OpenSession(epoch)
	} else {
		m.validator.CloseSession(epoch)
	}
	m.Record("session")
}

func (m *modelRun) endAttempt(id uint64, request *modelRequest) {
	index := m.Pick(len(request.attempts))
	if request.attempts[index].ended {
		return
	}
	result := dispatch.Result(m.Pick(8))
	m.observe(dispatch.Outcome{
		Job: id, Attempt: index, Worker: request.attempts[index].worker, Result: result,
		Closed: result == dispatch.OK || request.closed || m.Pick(9) == 0,
	})
	m.Record("ended")
}

// randomKinds are the kinds that random commands are drawn from. Send commands are the most frequent.
var randomKinds = []message.Kind{
	message.KindSendCommand, message.KindSendCommand, message.KindSendCommand, message.KindSendCommand,
	message.KindRejectCommand, message.KindFailCommand, message.KindCancelCommand, message.KindHealthCheckCommand,
	message.KindCloseIdleCommand,
}

func (m *modelRun) command(id uint64, request *modelRequest, epoch message.Epoch) {
	command := &anyCommand{kind: randomKinds[m.Pick(len(randomKinds))], request: id, worker: uint64(m.Pick(6))}
	if request != nil {
		epoch = request.owner
		if m.Pick(8) == 0 {
			epoch = message.Epoch(m.Pick(4))
		}
		command.attempt = len(request.used) + m.Pick(2) - m.Pick(2)*m.Pick(2)
	}
	reasons := m.history.reasons(epoch, m.open, command)
	reason := m.validator.Validate(m.history.now, epoch, command.message())
	m.Check(reason == message.ReasonNone && len(reasons) == 0 || reasons.has(reason),
		"%+v in epoch %d: validator returned %q, the model's reasons are %v", command, epoch, reason, reasons)
	isOwners := !reasons.has(message.ReasonStaleEpoch) && !reasons.has(message.ReasonUnknownRequest) &&
		!reasons.has(message.ReasonNotOwner)
	if command.kind == message.KindSendCommand && isOwners && !reasons.has(message.ReasonDuplicateCommand) {
		m.history.add(usedNumber{request: id, number: command.attempt})
	}
	m.Record(reason.String())
	if action := command.action(); reason == message.ReasonNone && action != nil {
		m.history.add(appliedCommand{command})
		m.validator.Apply(m.history.now, action)
	}
}

// finish checks the attempts of all requests against the model, ends the requests, and checks that none is left.
func (m *modelRun) finish() {
	now := m.history.now
	for id := uint64(1); id <= m.requests; id++ {
		request := m.history.request(id)
		for i, past := range m.validator.AppendAttempts(now, id, nil) {
			attempt := request.attempts[i]
			want := message.PastAttempt{
				WorkerID: attempt.worker, SentAgo: now - attempt.sentAt, Ended: attempt.ended, Result: attempt.result,
				PossiblyExecuted: attempt.possiblyExecuted(),
			}
			m.Check(past == want, "got attempt %+v, want %+v", past, want)
		}
		for i, attempt := range request.attempts {
			if !attempt.ended {
				m.validator.Observe(now, dispatch.Outcome{Job: id, Attempt: i, Worker: attempt.worker, Result: dispatch.TimedOut})
			}
		}
		m.validator.Observe(now, dispatch.ClientDisconnected{Job: id})
	}
	m.Check(m.validator.RequestCount() == 0, "%d requests left", m.validator.RequestCount())
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
