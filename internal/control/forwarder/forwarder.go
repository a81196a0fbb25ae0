package forwarder

import (
	"math"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/validator"
)

// noEpoch is the epoch of no session.
const noEpoch = message.Epoch(math.MaxUint64)

// Forwarder is the decision module of one forwarder. It is used by one goroutine.
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

// LastEpoch returns the epoch of the newest session. A forwarder that replaces one that has panicked numbers its sessions
// from there (Config.LastEpoch), and needs a SessionChanged for each connection.
func (f *Forwarder) LastEpoch() message.Epoch { return f.sessions.lastEpoch }

// Outbox returns the messages of the last Step, in order. They are valid until the next Step.
func (f *Forwarder) Outbox() []Outgoing { return f.step.messages() }

// HasPending reports whether the next Step has inputs to process besides the events of the request table.
func (f *Forwarder) HasPending() bool { return !f.inputs.isEmpty() }

// DrainingPlanners returns the names of the planners that shut down. They have no request of this forwarder; the
// connections to them are to be closed.
func (f *Forwarder) DrainingPlanners() (names []string) { return f.planners.draining() }

// SetPlanners records the names of all known planners. The forwarder is to have a connection to each of them.
func (f *Forwarder) SetPlanners(names []string) { f.inputs.addNames(names) }

// SessionChanged records that a connection to a planner is established, or lost.
func (f *Forwarder) SessionChanged(planner string, connected bool) {
	f.inputs.addConnection(planner, connectionChange(connected))
}

// SetForwarderIndex sets the index of this forwarder, from 0, among a count of forwarders. In standalone mode they share
// the workers by that, without communication.
func (f *Forwarder) SetForwarderIndex(index, count int) {
	f.localRunner.setPosition(position{index, count})
}

// Receive records a message of a planner. It keeps no reference to what the envelope points to.
func (f *Forwarder) Receive(now time.Duration, planner string, envelope message.Envelope) {
	if f.inputs.isFull() {
		// No working planner sends so many messages between two steps. The session has lost one, so that it is to be reset.
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

// receiveSnapshot keeps a planner's model snapshot for the local policy, if it is newer than the present one.
func (f *Forwarder) receiveSnapshot(now time.Duration, planner string, epoch message.Epoch, snapshot *message.ModelSnapshot) {
	session := f.planners.find(planner)
	isValid := session != nil && session.isAccepted() && session.epoch == epoch
	if !isValid || !f.snapshot.keep(now-max(0, snapshot.Age), snapshot.Data) {
		f.stats.StrayMessages++
	}
}

// Step processes the events of the request table, then the recorded inputs, then what is due at the instant. It returns dst
// with the resulting actions appended.
func (f *Forwarder) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	f.beginStep(now, dst)
	for _, event := range events {
		f.observe(event)
	}
	f.queues.releaseUnconfirmed()
	f.processInputs()
	f.sessions.check()
	f.mode.update()
	f.placeWaiting() // before the timeouts, which give up requests that are not placed
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
	case dispatch.TimerFired: // each part finds out by the instant whether anything is due
	}
}

// admit admits a request.
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

// receive processes a message of a planner. It is void if it is not of the present session, or if the session is not
// accepted yet.
func (f *Forwarder) receive(recorded *input, received message.Message) {
	session := f.planners.find(recorded.planner)
	if session == nil || !session.expects(recorded.epoch, received) {
		f.receiveStray(received)
		return
	}
	if session.overrun { // a message before this one was lost, which may change what this one means
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

// receiveStray counts a message that is not of a present session.
func (f *Forwarder) receiveStray(received message.Message) {
	if command, ok := received.(message.Command); ok {
		f.validator.Validate(f.step.now(), noEpoch, command) // rejects it, and counts that
	} else {
		f.stats.StrayMessages++
	}
}

// placeWaiting assigns the requests that wait to planners, or in standalone mode to the local policy.
func (f *Forwarder) placeWaiting() {
	if f.mode.isStandalone() {
		f.localRunner.placeWaiting()
	} else {
		f.placer.placeWaiting()
	}
}

// setTimer sets the request table's timer to the earliest instant at which any part has something to do.
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
