package forwarder

import "time"

// modeCheckDelay is the time to the next step when the local policy has more to do than fits into one step.
const modeCheckDelay = time.Millisecond

// policyStarter starts the local policy, if it is not running.
type policyStarter interface{ startPolicy() }

// modeController decides when the forwarder enters and leaves standalone mode.
type modeController struct {
	step     *step
	stats    *Stats
	planners *plannerSet
	requests *openRequests
	queues   *requestQueues
	checks   *checkSchedule
	local    *localPolicy
	starter  policyStarter

	standaloneAfter time.Duration // without a planner, the forwarder enters standalone mode after this time
	settleTime      time.Duration // with a planner, it leaves standalone mode after this time

	mode             mode
	started          bool          // there has been a step
	plannerAvailable bool          // a planner accepts requests
	availableSince   time.Duration // when plannerAvailable last changed
}

// begin processes the start of a step. The first one is when the wait for planners starts.
func (m *modeController) begin() {
	if !m.started {
		m.started = true
		m.availableSince = m.step.now()
	}
}

// isStandalone reports whether the local policy decides on new requests.
func (m *modeController) isStandalone() bool { return m.mode == modeStandalone }

// isReturning reports whether requests of the local policy are to return to planners.
func (m *modeController) isReturning() bool { return m.mode == modeReturning }

// hasPlanner reports whether a planner accepts requests, as of the last update.
func (m *modeController) hasPlanner() bool { return m.plannerAvailable }

// localStopped processes that the local policy has no requests any more. In standalone mode it changes nothing.
func (m *modeController) localStopped() { m.transition(eventLocalFinished) }

// transition changes the mode for an event. It reports false, and changes nothing, where the event has no meaning.
func (m *modeController) transition(event modeEvent) bool {
	next, valid := m.mode.after(event)
	if valid {
		m.mode = next
	}
	return valid
}

// update enters or leaves standalone mode, by whether there is a planner that accepts requests.
func (m *modeController) update() {
	if available := m.planners.anyAccepts(); available != m.plannerAvailable {
		m.plannerAvailable = available
		m.availableSince = m.step.now()
	}
	switch {
	case m.shouldEnter():
		m.enter()
	case m.shouldLeave():
		m.leave()
	}
	if m.mode == modeReturning && m.local.isIdle() {
		m.transition(eventLocalFinished)
		m.local.stop()
	}
}

// shouldEnter reports whether the forwarder is to enter standalone mode: at once if it has never known a planner, or if the
// local policy still has requests.
func (m *modeController) shouldEnter() bool {
	if m.plannerAvailable || m.mode == modeStandalone {
		return false
	}
	return m.planners.neverKnown() || m.mode == modeReturning || m.sinceAvailable() >= m.standaloneAfter
}

// enterForObjective enters standalone mode before Config.StandaloneAfter has passed without a planner, as a request that waits for
// one starts to risk its objective.
func (m *modeController) enterForObjective() {
	if !m.plannerAvailable && m.mode != modeStandalone {
		m.enter()
	}
}

// shouldLeave reports whether the forwarder is to leave standalone mode: at once if the local policy has no requests.
func (m *modeController) shouldLeave() bool {
	if !m.plannerAvailable || m.mode != modeStandalone {
		return false
	}
	return !m.local.hasRequests() || m.sinceAvailable() >= m.settleTime
}

// sinceAvailable returns the time since the first or the last planner became available or unavailable.
func (m *modeController) sinceAvailable() time.Duration { return m.step.now() - m.availableSince }

// enter enters standalone mode.
func (m *modeController) enter() {
	m.transition(eventPlannersLost)
	m.stats.Standalone++
	for m.queues.returning.Len() > 0 {
		dequeue(m.queues.returning.first())
	}
	m.step.log("standalone mode entered", "waiting", m.queues.countWaiting())
	m.starter.startPolicy()
}

// leave leaves standalone mode. New requests are offered to planners at once, then those of the local policy that have no
// attempt in flight. The others stay with it until their attempts have ended.
func (m *modeController) leave() {
	m.transition(eventPlannersSettled)
	staying := 0
	for request := range m.requests.all() { // in any order: the queue sorts them
		switch {
		case request.state != requestLocal:
		case m.checks.hasAttempts(request):
			staying++
		default:
			m.queues.returning.add(request)
		}
	}
	m.step.log("standalone mode left", "returning", m.queues.returning.Len(), "staying", staying)
}

// nextCheck returns when the mode is to be updated or the local policy is to be stepped; 0: not by time.
func (m *modeController) nextCheck() time.Duration {
	standalone := m.isStandalone()
	switch {
	case m.local.hasEvents() || standalone && m.queues.countWaiting() > 0:
		return m.step.now() + modeCheckDelay
	case m.plannerAvailable && standalone:
		return m.local.earlierTimer(m.availableSince + m.settleTime)
	case !m.plannerAvailable && !standalone:
		return m.local.earlierTimer(m.availableSince + m.standaloneAfter)
	case m.mode == modeReturning && !m.local.hasRequests():
		return m.step.now() + modeCheckDelay // the next step stops the local policy
	}
	return m.local.nextTimer()
}
