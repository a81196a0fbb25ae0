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
	errorPercent       int  // of its commands are invalid
	sendsStale         bool // after a freeze, it first sends what it had decided while it was frozen
	sendsFalseStatuses bool // of workers
	losesOffers        bool // some of them
}

// scriptedPlanner is a planner that does its work in a simple way, but for its behavior.
type scriptedPlanner struct {
	connection
	behavior

	outbox        []message.Envelope // decided while it was frozen
	epoch         message.Epoch      // of the newest session that it has read of
	previousEpoch message.Epoch
	requests      map[uint64]*scriptedRequest
	stopped       bool // it has said goodbye
}

// scriptedRequest is a request as a scripted planner knows it.
type scriptedRequest struct {
	summary          message.RequestSummary
	nextAttempt      int
	inFlight         int
	workers          []uint64 // of its attempts
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

// scheduleIncident has something happen to the planner later, and then the next thing.
func (p *scriptedPlanner) scheduleIncident() {
	p.env.after(p.env.randomDuration(50, 1500), func() {
		if p.env.stopped {
			p.thaw()
			return
		}
		p.sufferIncident()
		p.scheduleIncident()
	})
}

// sufferIncident has the planner lose its connection, freeze, shut down, or send something of its own accord.
func (p *scriptedPlanner) sufferIncident() {
	env := p.env
	switch incident := env.rng.IntN(9); {
	case incident == 0 && p.established:
		p.disconnect()
		env.after(env.randomDuration(1, 900), p.connect)
	case incident <= 2 && !p.frozen:
		p.frozen = true
		env.after(env.randomDuration(20, 1200), p.thaw)
	case incident == 3 && p.established && !p.frozen && p.epoch != 0:
		p.sendMessage(&message.Goodbye{})
		p.stopped = true
		env.after(env.randomDuration(5, 200), func() {
			p.disconnect()
			env.after(env.randomDuration(1, 300), p.connect)
		})
	case incident == 4:
		p.sendMessage(&message.CreditUpdate{Credit: env.rng.IntN(30)})
	case incident == 5:
		p.sendMessage(&message.ModelSnapshot{Age: env.randomDuration(0, 3000), Data: []byte("no lesson")})
	case incident == 6 || p.sendsFalseStatuses:
		p.sendStatus()
	}
}

func (p *scriptedPlanner) connect() {
	if p.established || p.env.stopped {
		return
	}
	p.stopped = false
	p.outbox = nil
	p.epoch = 0
	clear(p.requests)
	p.connection.connect()
}

// thaw ends a freeze.
func (p *scriptedPlanner) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	outbox, inbox := p.outbox, p.inbox
	p.outbox, p.inbox = nil, nil
	if p.sendsStale {
		for _, envelope := range outbox {
			p.send(envelope)
		}
	}
	for _, envelope := range inbox {
		p.handleMessage(envelope)
	}
}

// sendMessage sends a message in the newest session that the planner has read of.
func (p *scriptedPlanner) sendMessage(body message.Message) { p.sendInEpoch(p.epoch, body) }

// sendInEpoch sends a message in a session, once the planner is not frozen.
func (p *scriptedPlanner) sendInEpoch(epoch message.Epoch, body message.Message) {
	if epoch == 0 {
		epoch = p.epoch
	}
	envelope := message.Envelope{Epoch: epoch, Message: body}
	if p.frozen {
		p.outbox = append(p.outbox, envelope)
		return
	}
	p.send(envelope)
}

// sendStatus sends the status of a worker: the true one, an old one, or any.
func (p *scriptedPlanner) sendStatus() {
	rng := p.env.rng
	endpoint := p.env.workers[rng.IntN(len(p.env.workers))]
	status := message.WorkerStatus{
		WorkerID:  workerID(endpoint.ID),
		StartedMs: endpoint.StartedAtMs,
		Revision:  p.env.revision,
		State:     message.WorkerUp,
	}
	if endpoint.Lifecycle != "up" {
		status.State = message.WorkerDraining
	}
	if rng.IntN(2) == 0 {
		status.Revision -= int64(rng.IntN(5))
		status.State = message.WorkerState(rng.IntN(3))
	}
	if p.sendsFalseStatuses {
		const unlistedWorker = 77
		future := (p.env.now + 2*time.Minute).Milliseconds()
		starts := []int64{endpoint.StartedAtMs, endpoint.StartedAtMs + 5, future, -5, 1 << 62}
		status = message.WorkerStatus{
			WorkerID:  []uint64{status.WorkerID, status.WorkerID, unlistedWorker}[rng.IntN(3)],
			Revision:  int64(rng.IntN(100)),
			State:     message.WorkerState(rng.IntN(3)),
			StartedMs: starts[rng.IntN(len(starts))],
		}
	}
	p.sendMessage(&status)
}

// handleMessage processes a message of the forwarder.
func (p *scriptedPlanner) handleMessage(envelope message.Envelope) {
	if _, ok := envelope.Message.(*message.Handshake); ok {
		p.previousEpoch = p.epoch
		p.epoch = envelope.Epoch
		clear(p.requests)
		p.sendMessage(&message.HandshakeAccept{Name: p.name, Credit: p.env.rng.IntN(60), Version: 0})
		return
	}
	if envelope.Epoch != p.epoch || p.stopped {
		return
	}
	switch body := envelope.Message.(type) {
	case *message.Heartbeat:
		timerLag := p.env.randomDuration(0, 3)
		p.sendMessage(&message.HeartbeatReply{Sequence: body.Sequence, TimerLag: timerLag})
	case *message.RequestOffer:
		if !p.losesOffers || p.env.rng.IntN(5) > 0 {
			p.takeOffer(body)
		}
	case *message.AttemptEnded:
		p.attemptEnded(body)
	case *message.RequestClosed:
		delete(p.requests, body.RequestID)
	}
}

func (p *scriptedPlanner) takeOffer(offer *message.RequestOffer) {
	request := &scriptedRequest{
		summary:     offer.Summary,
		nextAttempt: len(offer.Summary.Attempts),
		deadline:    p.env.now + offer.Summary.Remaining,
	}
	for _, attempt := range offer.Summary.Attempts {
		request.workers = append(request.workers, attempt.WorkerID)
		request.possiblyExecuted = request.possiblyExecuted || attempt.PossiblyExecuted
		if !attempt.Ended {
			request.inFlight++
		}
	}
	p.requests[offer.RequestID] = request
	p.scheduleDecision(offer.RequestID)
}

func (p *scriptedPlanner) attemptEnded(ended *message.AttemptEnded) {
	request := p.requests[ended.RequestID]
	if request == nil || ended.Attempt < 0 {
		return
	}
	request.inFlight--
	switch ended.Result {
	case dispatch.OK:
		delete(p.requests, ended.RequestID)
		return
	case dispatch.WorkerFull, dispatch.ConnectFailed, dispatch.NotSent:
	default:
		request.possiblyExecuted = true
	}
	p.scheduleDecision(ended.RequestID)
}

// scheduleDecision has the planner decide on a request later.
func (p *scriptedPlanner) scheduleDecision(id uint64) {
	delay := p.env.randomDuration(0, 5)
	if p.env.rng.IntN(10) == 0 { // there was no capacity
		delay = p.env.randomDuration(5, 400)
	}
	epoch := p.epoch
	p.env.after(delay, func() {
		if request := p.requests[id]; request != nil && p.epoch == epoch && !p.stopped {
			p.decide(id, request)
		}
	})
}

// decide gives a command for a request.
func (p *scriptedPlanner) decide(id uint64, request *scriptedRequest) {
	env := p.env
	if env.rng.IntN(100) < p.errorPercent {
		p.sendInvalid(id, request)
		return
	}
	class := env.settings.Classes[request.summary.Class]
	mayNotRepeat := request.possiblyExecuted && class.Idempotency != dispatch.Idempotent
	switch {
	case request.inFlight > 0:
	case mayNotRepeat || len(request.workers) >= env.settings.AttemptLimit || env.now >= request.deadline:
		delete(p.requests, id)
		retryAfter := env.randomDuration(0, 3000)
		if mayNotRepeat {
			p.sendMessage(&message.FailCommand{RequestID: id})
		} else {
			p.sendMessage(&message.RejectCommand{RequestID: id, RetryAfter: retryAfter})
		}
	case env.rng.IntN(25) == 0:
		delete(p.requests, id)
		target := []string{"p0", "p1", "p2", ""}[env.rng.IntN(4)]
		p.sendMessage(&message.TransferCommand{RequestID: id, Planner: target})
	default:
		p.sendAttempts(id, request, &class)
	}
}

// sendAttempts sends a request to a worker that may have it, and now and then to a second one.
func (p *scriptedPlanner) sendAttempts(id uint64, request *scriptedRequest, class *dispatch.Class) {
	rng := p.env.rng
	candidates := p.candidates(request, class)
	if len(candidates) == 0 {
		p.scheduleDecision(id)
		return
	}
	command := message.SendCommand{
		RequestID: id,
		Attempt:   request.nextAttempt,
		WorkerID:  candidates[rng.IntN(len(candidates))],
	}
	if rng.IntN(3) == 0 {
		command.Timeout = p.env.randomDuration(10, 300)
	}
	request.nextAttempt++
	request.inFlight++
	request.workers = append(request.workers, command.WorkerID)
	p.sendMessage(command.Clone())
	mayHedge := p.env.settings.Hedging && class.Idempotency == dispatch.Idempotent
	if mayHedge && rng.IntN(4) == 0 && len(candidates) > 1 {
		command.Attempt = request.nextAttempt
		command.WorkerID = candidates[rng.IntN(len(candidates))]
		request.nextAttempt++
		request.inFlight++
		p.sendMessage(command.Clone())
	}
	if p.env.settings.HealthChecks && rng.IntN(10) == 0 {
		p.sendMessage(&message.HealthCheckCommand{WorkerID: command.WorkerID})
	}
}

// candidates returns the workers that a request may be sent to and was not.
func (p *scriptedPlanner) candidates(request *scriptedRequest, class *dispatch.Class) (ids []uint64) {
	for _, endpoint := range p.env.workers {
		id := workerID(endpoint.ID)
		fits := class.Kinds == nil || endpoint.MachineType == "k"+strconv.Itoa(class.Kinds[0])
		if endpoint.Lifecycle == "up" && fits && !slices.Contains(request.workers, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// unknownMessage is of a kind that no version has.
type unknownMessage struct{}

func (unknownMessage) Kind() message.Kind { return 250 }

func (m unknownMessage) Clone() message.Message { return m }

// sendInvalid sends something that is most likely not valid.
func (p *scriptedPlanner) sendInvalid(id uint64, request *scriptedRequest) {
	rng := p.env.rng
	epoch := p.epoch
	worker := workerID("w" + strconv.Itoa(rng.IntN(10)))
	command := &message.SendCommand{RequestID: id, Attempt: request.nextAttempt, WorkerID: worker}
	var body message.Message = command
	switch rng.IntN(9) {
	case 0: // twice, by one number
		p.sendMessage(command.Clone())
		request.nextAttempt++
	case 1: // twice, by two numbers
		p.sendMessage(command.Clone())
		command.Attempt++
		request.nextAttempt += 2
	case 2:
		epoch = []message.Epoch{p.previousEpoch, p.epoch + 1, p.epoch + 2, 7}[rng.IntN(4)]
	case 3:
		command.RequestID = rng.Uint64N(p.env.lastID + 5)
	case 4: // to any worker, whatever the request has had
		request.nextAttempt++
	case 5:
		body = p.otherMessage(command)
	case 6:
		command.Attempt = []int{-1, request.nextAttempt - 1, request.nextAttempt + 7, 1 << 40}[rng.IntN(4)]
		request.nextAttempt += 8
	case 7:
		command.Timeout = -p.env.randomDuration(0, 500)
		request.nextAttempt++
	case 8:
		body = &message.HandshakeAccept{Credit: rng.IntN(100) - 50}
	}
	p.sendInEpoch(epoch, body)
	p.scheduleDecision(id)
}

// otherMessage returns a message of another kind in place of a send command, seldom a goodbye.
func (p *scriptedPlanner) otherMessage(command *message.SendCommand) message.Message {
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
	other := messages[p.env.rng.IntN(len(messages))]
	if _, isGoodbye := other.(*message.Goodbye); isGoodbye && p.env.rng.IntN(10) > 0 {
		return messages[0]
	}
	return other
}
