package forwarder

import (
	"math"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/validator"
)

// invalidEpoch is an epoch that no session ever has.
const invalidEpoch = message.Epoch(math.MaxUint64)

// Forwarder is the decision module of one forwarder. It is not safe for concurrent use.
type Forwarder struct {
	step      step
	timer     stepTimer
	inputs    inputQueue
	stats     Stats
	validator *validator.Validator

	planners   plannerSet
	sessions   sessionLifecycle
	heartbeats heartbeats
	rejections rejectionLog

	requests    openRequests
	queues      requestQueues
	checks      checkSchedule
	placer      placer
	assignments assignments
	timeouts    requestTimeouts

	commands     commandExecutor
	attempts     attemptReporter
	responder    responder
	healthChecks healthChecker
	workers      workers

	mode          modeController
	local         localPolicy
	localRunner   localRunner
	localCommands localCommands
	snapshot      modelSnapshot
}

// LastEpoch returns the epoch of the newest session. A Forwarder that replaces one that has panicked continues from that epoch
// (Config.LastEpoch), and ConnectionChanged must be called on it for each existing connection.
func (f *Forwarder) LastEpoch() message.Epoch { return f.sessions.lastEpoch }

// Outbox returns the messages of the last Step, in order. They are valid until the next Step.
func (f *Forwarder) Outbox() []Outgoing { return f.step.messages() }

// HasPending reports whether the next Step has inputs to process besides the events of the request table.
func (f *Forwarder) HasPending() bool { return !f.inputs.isEmpty() }

// DrainingPlanners returns the names of the planners that are shutting down. No request of this forwarder is assigned to them
// any more; the caller should close the connections to them.
func (f *Forwarder) DrainingPlanners() (names []string) { return f.planners.draining() }

// SetPlanners records the names of all known planners. The caller should keep a connection to each of them.
func (f *Forwarder) SetPlanners(names []string) { f.inputs.addNames(names) }

// ConnectionChanged records that a connection to a planner was established or lost.
func (f *Forwarder) ConnectionChanged(planner string, connected bool) {
	f.inputs.addConnection(planner, connectionChange(connected))
}

// SetForwarderIndex sets the index of this forwarder, from 0, among count forwarders. In standalone mode the forwarders divide
// the workers among themselves by these indexes, without communicating.
func (f *Forwarder) SetForwarderIndex(index, count int) {
	f.localRunner.setPosition(position{index, count})
}

// Receive records a message from a planner. It keeps no reference to what the envelope points to.
func (f *Forwarder) Receive(now time.Duration, planner string, envelope message.Envelope) {
	if f.inputs.isFull() {
		// No correct planner sends so many messages between two steps. A message is lost here, so the session must be reset.
		f.stats.Overruns++
		if session := f.planners.find(planner); session != nil {
			session.markOverrun()
		}
		return
	}
	if snapshot, ok := envelope.Message.(*message.ModelSnapshot); ok {
		f.receiveSnapshot(now, planner, envelope.Epoch, snapshot)
		return
	}
	f.inputs.addMessage(now, planner, envelope)
}

// receiveSnapshot keeps a planner's model snapshot for the local policy, unless the stored one is newer.
func (f *Forwarder) receiveSnapshot(now time.Duration, planner string, epoch message.Epoch, snapshot *message.ModelSnapshot) {
	session := f.planners.find(planner)
	isValid := session != nil && session.isAccepted() && session.epoch == epoch
	if !isValid || !f.snapshot.keep(now-max(0, snapshot.Age), snapshot.Data) {
		f.stats.StrayMessages++
	}
}

// Step processes the events of the request table, then the recorded inputs, then the timeouts that are due at now. It returns
// dst with the resulting actions appended.
func (f *Forwarder) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	f.beginStep(now, dst)
	for _, event := range events {
		f.observe(event)
	}
	f.queues.releaseUnconfirmed()
	f.processInputs()
	f.sessions.check()
	f.mode.update()
	f.placeWaiting() // before the timeouts, which give up requests that were not offered by their objective
	f.timeouts.run()
	f.workers.subscribe()
	f.placeWaiting()
	f.localRunner.run()
	f.heartbeats.send()
	f.rejections.write()
	f.setTimer()
	return f.step.finish()
}

func (f *Forwarder) beginStep(now time.Duration, dst []dispatch.Action) {
	f.step.begin(now, dst)
	f.assignments.beginStep()
	f.mode.begin()
	if late := f.timer.begin(f.step.now()); late {
		f.heartbeats.restartWaits()
	}
}

// observe processes an event of the request table.
func (f *Forwarder) observe(event dispatch.Event) {
	switch event := event.(type) {
	case dispatch.Job:
		f.validator.Observe(f.step.now(), event)
		f.admit(event)
	case dispatch.Started:
		f.attempts.started(event)
	case dispatch.Progressed:
		f.attempts.progressed(event)
	case dispatch.ResponseStarted:
		f.attempts.responseStarted(event)
	case dispatch.Outcome:
		f.attempts.ended(event)
	case dispatch.ClientDisconnected:
		f.attempts.clientDisconnected(event)
	case dispatch.HealthChecked:
		f.healthChecks.finish(event)
	case dispatch.WorkerList:
		f.workers.listChanged(event)
	case dispatch.TimerFired: // each part compares its own due time with the time of the step
	}
}

// admit adds an arriving request to the open requests, and assigns or enqueues it. It gives the request up if too many wait.
func (f *Forwarder) admit(job dispatch.Job) {
	request := f.requests.add(f.step.now(), job)
	if request == nil {
		return
	}
	f.stats.Requests++
	if f.mode.isStandalone() {
		f.localRunner.admit(request)
		return
	}
	if !f.placer.admit(request, f.inputs.mayChangeSessions()) {
		f.stats.QueueFull++
		f.responder.giveUp(request)
	}
}

// processInputs processes the recorded inputs in their order.
func (f *Forwarder) processInputs() {
	inputs := f.inputs.all()
	for i := range inputs {
		recorded := &inputs[i]
		switch body := recorded.body.(type) {
		case message.Message:
			f.receive(recorded, body)
		case connectionChange:
			f.connectionChanged(recorded.planner, body)
		case plannerNames:
			f.planners.setKnown(f.step.now(), body)
		}
	}
	f.inputs.clear()
}

func (f *Forwarder) connectionChanged(planner string, established connectionChange) {
	if established {
		f.sessions.connected(planner)
	} else {
		f.sessions.disconnected(planner)
	}
}

// receive processes a message from a planner. A message that is not of the current session, or that arrives before the session
// is accepted, has no effect.
func (f *Forwarder) receive(recorded *input, received message.Message) {
	session := f.planners.find(recorded.planner)
	if session == nil || !session.expects(recorded.epoch, received) {
		f.receiveStray(received)
		return
	}
	if session.overrun { // an earlier message was lost, and this one may depend on it
		return
	}
	switch received := received.(type) {
	case *message.HandshakeAccept:
		f.sessions.accept(session, received)
	case *message.CreditUpdate:
		session.setCredit(received.Credit)
	case *message.HeartbeatReply:
		f.heartbeats.replied(session, recorded.receivedAt, received)
	case *message.Goodbye:
		f.sessions.drain(session)
	case *message.WorkerStatus:
		f.workers.statusReceived(session, *received)
	case message.Command:
		f.commands.execute(session, received)
	default:
		f.stats.StrayMessages++
	}
}

// receiveStray counts a message that does not belong to a current session.
func (f *Forwarder) receiveStray(received message.Message) {
	if command, ok := received.(message.Command); ok {
		f.validator.Validate(f.step.now(), invalidEpoch, command) // rejects the command and counts the rejection
	} else {
		f.stats.StrayMessages++
	}
}

// placeWaiting assigns waiting requests to planners, or in standalone mode to the local policy.
func (f *Forwarder) placeWaiting() {
	if f.mode.isStandalone() {
		f.localRunner.placeWaiting()
	} else {
		f.placer.placeWaiting()
	}
}

// setTimer sets the request table's timer to the earliest time at which any part has work due.
func (f *Forwarder) setTimer() {
	next := newEarliest()
	next.consider(f.checks.next())
	for _, session := range f.planners.all() {
		next.consider(f.heartbeats.nextCheck(session))
	}
	next.consider(f.placer.nextRetry())
	next.consider(f.queues.nextRelease(f.step.now()))
	next.consider(f.planners.nextOrderChange(f.step.now()))
	next.consider(f.mode.nextCheck())
	next.consider(f.workers.nextSubscription())
	at, ok := next.after(f.step.now())
	if ok && f.timer.set(at) {
		f.step.emit(dispatch.SetTimer{After: at - f.step.now()})
	}
}
