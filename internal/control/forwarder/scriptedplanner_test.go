package forwarder

import (
	"slices"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// behavior is how a planner of a random run behaves.
type behavior struct {
	errorPercent       int  // percentage of its commands that are invalid
	sendsStale         bool // after a freeze, it first sends the commands that it decided on during the freeze
	sendsFalseStatuses bool // it sends false statuses of workers
	losesOffers        bool // it ignores some offers
}

// scriptedPlanner is a planner with a simple policy and the faults of its behavior.
type scriptedPlanner struct {
	connection
	behavior

	outbox        []message.Envelope // messages decided on while frozen
	epoch         message.Epoch      // of the newest session whose handshake it has read
	previousEpoch message.Epoch
	requests      map[uint64]*scriptedRequest
	stopped       bool // whether it has sent a Goodbye
}

// scriptedRequest is a scripted planner's state of a request.
type scriptedRequest struct {
	summary          message.RequestSummary
	nextAttempt      int
	inFlight         int
	workers          []uint64 // workers of its attempts
	deadline         time.Duration
	possiblyExecuted bool
}

// newScriptedPlanner adds a planner to an environment.
func newScriptedPlanner(env *environment, name string, behaves behavior) *scriptedPlanner {
	planner := &scriptedPlanner{
		connection: connection{env: env, name: name},
		behavior:   behaves,
		requests:   map[uint64]*scriptedRequest{},
	}
	planner.onMessage = planner.handleMessage
	env.connections = append(env.connections, &planner.connection)
	env.after(env.randomDuration(0, 40), planner.connect)
	planner.scheduleIncident()
	return planner
}

// scheduleIncident schedules an incident of the planner, which in turn schedules the next one.
func (s *scriptedPlanner) scheduleIncident() {
	s.env.after(s.env.randomDuration(50, 1500), func() {
		if s.env.stopped {
			s.thaw()
			return
		}
		s.injectIncident()
		s.scheduleIncident()
	})
}

// injectIncident makes the planner lose its connection, freeze, shut down, or send an unsolicited message.
func (s *scriptedPlanner) injectIncident() {
	env := s.env
	switch incident := env.rng.IntN(9); {
	case incident == 0 && s.established:
		s.disconnect()
		env.after(env.randomDuration(1, 900), s.connect)
	case incident <= 2 && !s.frozen:
		s.frozen = true
		env.after(env.randomDuration(20, 1200), s.thaw)
	case incident == 3 && s.established && !s.frozen && s.epoch != 0:
		s.sendMessage(&message.Goodbye{})
		s.stopped = true
		env.after(env.randomDuration(5, 200), func() {
			s.disconnect()
			env.after(env.randomDuration(1, 300), s.connect)
		})
	case incident == 4:
		s.sendMessage(&message.CreditUpdate{Credit: env.rng.IntN(30)})
	case incident == 5:
		s.sendMessage(&message.ModelSnapshot{Age: env.randomDuration(0, 3000), Data: []byte("no lesson")})
	case incident == 6 || s.sendsFalseStatuses:
		s.sendStatus()
	}
}

func (s *scriptedPlanner) connect() {
	if s.established || s.env.stopped {
		return
	}
	s.stopped = false
	s.outbox = nil
	s.epoch = 0
	clear(s.requests)
	s.connection.connect()
}

// thaw ends a freeze.
func (s *scriptedPlanner) thaw() {
	if !s.frozen {
		return
	}
	s.frozen = false
	outbox, inbox := s.outbox, s.inbox
	s.outbox, s.inbox = nil, nil
	if s.sendsStale {
		for _, envelope := range outbox {
			s.send(envelope)
		}
	}
	for _, envelope := range inbox {
		s.handleMessage(envelope)
	}
}

// sendMessage sends a message in the newest session whose handshake the planner has read.
func (s *scriptedPlanner) sendMessage(body message.Message) { s.sendInEpoch(s.epoch, body) }

// sendInEpoch sends a message in a session. While the planner is frozen, the message is held in the outbox.
func (s *scriptedPlanner) sendInEpoch(epoch message.Epoch, body message.Message) {
	if epoch == 0 {
		epoch = s.epoch
	}
	envelope := message.Envelope{Epoch: epoch, Message: body}
	if s.frozen {
		s.outbox = append(s.outbox, envelope)
		return
	}
	s.send(envelope)
}

// sendStatus sends the status of a worker: the true one, an outdated one, or an arbitrary one.
func (s *scriptedPlanner) sendStatus() {
	rng := s.env.rng
	endpoint := s.env.workers[rng.IntN(len(s.env.workers))]
	status := message.WorkerStatus{
		WorkerID:  workerID(endpoint.ID),
		StartedMs: endpoint.StartedAtMs,
		Revision:  s.env.revision,
		State:     message.WorkerUp,
	}
	if endpoint.Lifecycle != "up" {
		status.State = message.WorkerDraining
	}
	if rng.IntN(2) == 0 {
		status.Revision -= int64(rng.IntN(5))
		status.State = message.WorkerState(rng.IntN(3))
	}
	if s.sendsFalseStatuses {
		const unlistedWorker = 77
		future := (s.env.now + 2*time.Minute).Milliseconds()
		starts := []int64{endpoint.StartedAtMs, endpoint.StartedAtMs + 5, future, -5, 1 << 62}
		status = message.WorkerStatus{
			WorkerID:  []uint64{status.WorkerID, status.WorkerID, unlistedWorker}[rng.IntN(3)],
			Revision:  int64(rng.IntN(100)),
			State:     message.WorkerState(rng.IntN(3)),
			StartedMs: starts[rng.IntN(len(starts))],
		}
	}
	s.sendMessage(&status)
}

// handleMessage processes a message from the forwarder.
func (s *scriptedPlanner) handleMessage(envelope message.Envelope) {
	if _, ok := envelope.Message.(*message.Handshake); ok {
		s.previousEpoch = s.epoch
		s.epoch = envelope.Epoch
		clear(s.requests)
		s.sendMessage(&message.HandshakeAccept{Name: s.name, Credit: s.env.rng.IntN(60), Version: 0})
		return
	}
	if envelope.Epoch != s.epoch || s.stopped {
		return
	}
	switch body := envelope.Message.(type) {
	case *message.Heartbeat:
		timerLag := s.env.randomDuration(0, 3)
		s.sendMessage(&message.HeartbeatReply{Sequence: body.Sequence, TimerLag: timerLag})
	case *message.RequestOffer:
		if !s.losesOffers || s.env.rng.IntN(5) > 0 {
			s.acceptOffer(body)
		}
	case *message.AttemptEnded:
		s.attemptEnded(body)
	case *message.RequestClosed:
		delete(s.requests, body.RequestID)
	}
}

func (s *scriptedPlanner) acceptOffer(offer *message.RequestOffer) {
	request := &scriptedRequest{
		summary:     offer.Summary,
		nextAttempt: len(offer.Summary.Attempts),
		deadline:    s.env.now + offer.Summary.Remaining,
	}
	for _, attempt := range offer.Summary.Attempts {
		request.workers = append(request.workers, attempt.WorkerID)
		request.possiblyExecuted = request.possiblyExecuted || attempt.PossiblyExecuted
		if !attempt.Ended {
			request.inFlight++
		}
	}
	s.requests[offer.RequestID] = request
	s.scheduleDecision(offer.RequestID)
}

func (s *scriptedPlanner) attemptEnded(ended *message.AttemptEnded) {
	request := s.requests[ended.RequestID]
	if request == nil || ended.Attempt < 0 {
		return
	}
	request.inFlight--
	switch ended.Result {
	case dispatch.OK:
		delete(s.requests, ended.RequestID)
		return
	case dispatch.WorkerFull, dispatch.ConnectFailed, dispatch.NotSent:
	default:
		request.possiblyExecuted = true
	}
	s.scheduleDecision(ended.RequestID)
}

// scheduleDecision schedules the planner's next decision on a request.
func (s *scriptedPlanner) scheduleDecision(id uint64) {
	delay := s.env.randomDuration(0, 5)
	if s.env.rng.IntN(10) == 0 { // simulates a planner without capacity
		delay = s.env.randomDuration(5, 400)
	}
	epoch := s.epoch
	s.env.after(delay, func() {
		if request := s.requests[id]; request != nil && s.epoch == epoch && !s.stopped {
			s.decide(id, request)
		}
	})
}

// decide gives a command for a request.
func (s *scriptedPlanner) decide(id uint64, request *scriptedRequest) {
	env := s.env
	if env.rng.IntN(100) < s.errorPercent {
		s.sendInvalid(id, request)
		return
	}
	class := env.settings.Classes[request.summary.Class]
	mayNotRepeat := request.possiblyExecuted && class.Idempotency != dispatch.Idempotent
	switch {
	case request.inFlight > 0:
	case mayNotRepeat || len(request.workers) >= env.settings.AttemptLimit || env.now >= request.deadline:
		delete(s.requests, id)
		retryAfter := env.randomDuration(0, 3000)
		if mayNotRepeat {
			s.sendMessage(&message.FailCommand{RequestID: id})
		} else {
			s.sendMessage(&message.RejectCommand{RequestID: id, RetryAfter: retryAfter})
		}
	case env.rng.IntN(25) == 0:
		delete(s.requests, id)
		target := []string{"p0", "p1", "p2", ""}[env.rng.IntN(4)]
		s.sendMessage(&message.TransferCommand{RequestID: id, Planner: target})
	default:
		s.sendAttempts(id, request, &class)
	}
}

// sendAttempts sends a request to a permitted worker, and sometimes to a second one.
func (s *scriptedPlanner) sendAttempts(id uint64, request *scriptedRequest, class *dispatch.Class) {
	rng := s.env.rng
	candidates := s.candidates(request, class)
	if len(candidates) == 0 {
		s.scheduleDecision(id)
		return
	}
	command := message.SendCommand{
		RequestID: id,
		Attempt:   request.nextAttempt,
		WorkerID:  candidates[rng.IntN(len(candidates))],
	}
	if rng.IntN(3) == 0 {
		command.Timeout = s.env.randomDuration(10, 300)
	}
	request.nextAttempt++
	request.inFlight++
	request.workers = append(request.workers, command.WorkerID)
	s.sendMessage(command.Clone())
	mayHedge := s.env.settings.Hedging && class.Idempotency == dispatch.Idempotent
	if mayHedge && rng.IntN(4) == 0 && len(candidates) > 1 {
		command.Attempt = request.nextAttempt
		command.WorkerID = candidates[rng.IntN(len(candidates))]
		request.nextAttempt++
		request.inFlight++
		s.sendMessage(command.Clone())
	}
	if s.env.settings.HealthChecks && rng.IntN(10) == 0 {
		s.sendMessage(&message.HealthCheckCommand{WorkerID: command.WorkerID})
	}
}

// candidates returns the permitted workers that the request was not sent to yet.
func (s *scriptedPlanner) candidates(request *scriptedRequest, class *dispatch.Class) (ids []uint64) {
	for _, endpoint := range s.env.workers {
		id := workerID(endpoint.ID)
		fits := class.Kinds == nil || endpoint.MachineType == "k"+strconv.Itoa(class.Kinds[0])
		if endpoint.Lifecycle == "up" && fits && !slices.Contains(request.workers, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// unknownMessage is a message of a kind that no protocol version defines.
type unknownMessage struct{}

func (unknownMessage) Kind() message.Kind { return 250 }

func (u unknownMessage) Clone() message.Message { return u }

// sendInvalid sends a command that is most likely invalid.
func (s *scriptedPlanner) sendInvalid(id uint64, request *scriptedRequest) {
	rng := s.env.rng
	epoch := s.epoch
	worker := workerID("w" + strconv.Itoa(rng.IntN(10)))
	command := &message.SendCommand{RequestID: id, Attempt: request.nextAttempt, WorkerID: worker}
	var body message.Message = command
	switch rng.IntN(9) {
	case 0: // two commands with the same attempt number
		s.sendMessage(command.Clone())
		request.nextAttempt++
	case 1: // two commands to the same worker with different attempt numbers
		s.sendMessage(command.Clone())
		command.Attempt++
		request.nextAttempt += 2
	case 2:
		epoch = []message.Epoch{s.previousEpoch, s.epoch + 1, s.epoch + 2, 7}[rng.IntN(4)]
	case 3:
		command.RequestID = rng.Uint64N(s.env.lastID + 5)
	case 4: // an arbitrary worker, regardless of earlier attempts
		request.nextAttempt++
	case 5:
		body = s.otherMessage(command)
	case 6:
		command.Attempt = []int{-1, request.nextAttempt - 1, request.nextAttempt + 7, 1 << 40}[rng.IntN(4)]
		request.nextAttempt += 8
	case 7:
		command.Timeout = -s.env.randomDuration(0, 500)
		request.nextAttempt++
	case 8:
		body = &message.HandshakeAccept{Credit: rng.IntN(100) - 50}
	}
	s.sendInEpoch(epoch, body)
	s.scheduleDecision(id)
}

// otherMessage returns a message of a random kind to send in place of a send command. A Goodbye is rare.
func (s *scriptedPlanner) otherMessage(command *message.SendCommand) message.Message {
	messages := []message.Message{
		&message.RejectCommand{RequestID: command.RequestID},
		&message.FailCommand{RequestID: command.RequestID},
		&message.CancelCommand{RequestID: command.RequestID, Attempt: command.Attempt},
		&message.HealthCheckCommand{WorkerID: command.WorkerID},
		&message.CloseIdleCommand{WorkerID: command.WorkerID},
		&message.TransferCommand{RequestID: command.RequestID},
		&message.Goodbye{},
		&message.RequestOffer{RequestID: command.RequestID},
		&message.Handshake{},
		&message.RequestClosed{RequestID: command.RequestID},
		unknownMessage{},
	}
	other := messages[s.env.rng.IntN(len(messages))]
	if _, isGoodbye := other.(*message.Goodbye); isGoodbye && s.env.rng.IntN(10) > 0 {
		return messages[0]
	}
	return other
}
