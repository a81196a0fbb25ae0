package forwarder

import "time"

// modeCheckDelay is the time to the next step when the local policy has more to do than one step allows.
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

	standaloneAfter time.Duration // see Config.StandaloneAfter
	settleTime      time.Duration // see Config.SettleTime

	mode             mode
	started          bool          // whether the first step has begun
	plannerAvailable bool          // a planner accepts requests
	availableSince   time.Duration // when plannerAvailable last changed
}

// begin handles the start of a step. The wait for planners begins with the first step.
func (m *modeController) begin() {
	if !m.started {
		m.started = true
		m.availableSince = m.step.now()
	}
}

// isStandalone reports whether the local policy decides on new requests.
func (m *modeController) isStandalone() bool { return m.mode == modeStandalone }

// isReturning reports whether requests of the local policy are being handed back to planners.
func (m *modeController) isReturning() bool { return m.mode == modeReturning }

// hasPlanner reports whether a planner accepts requests, as of the last update.
func (m *modeController) hasPlanner() bool { return m.plannerAvailable }

// localStopped handles that the local policy was dropped and has no requests any more. In standalone mode it changes nothing.
func (m *modeController) localStopped() { m.transition(eventLocalFinished) }

// transition applies an event to the mode. It returns false and changes nothing if the event is not valid in this mode.
func (m *modeController) transition(event modeEvent) bool {
	next, valid := m.mode.after(event)
	if valid {
		m.mode = next
	}
	return valid
}

// update enters or leaves standalone mode, depending on whether a planner accepts requests. It also ends the returning mode
// and stops the local policy once the policy has nothing left to do.
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

// shouldEnter reports whether the forwarder should enter standalone mode: after standaloneAfter without a planner, or at once
// if it has never known a planner or the local policy still has requests.
func (m *modeController) shouldEnter() bool {
	if m.plannerAvailable || m.mode == modeStandalone {
		return false
	}
	return m.planners.neverKnown() || m.mode == modeReturning || m.sinceAvailable() >= m.standaloneAfter
}

// enterForObjective enters standalone mode before standaloneAfter has passed, because a request that waits for a planner is at
// risk of missing its latency objective.
func (m *modeController) enterForObjective() {
	if !m.plannerAvailable && m.mode != modeStandalone {
		m.enter()
	}
}

// shouldLeave reports whether the forwarder should leave standalone mode: after settleTime with a planner, or at once if the
// local policy has no requests.
func (m *modeController) shouldLeave() bool {
	if !m.plannerAvailable || m.mode != modeStandalone {
		return false
	}
	return !m.local.hasRequests() || m.sinceAvailable() >= m.settleTime
}

// sinceAvailable returns the time since plannerAvailable last changed.
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

// leave leaves standalone mode. New requests are offered to planners at once, followed by the requests of the local policy that
// have no attempt in flight. The others stay with the local policy until their attempts have ended.
func (m *modeController) leave() {
	m.transition(eventPlannersSettled)
	staying := 0
	for request := range m.requests.all() { // the order does not matter: the queue sorts the requests
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

// nextCheck returns when the mode must be updated or the local policy must be stepped next, or 0 if no time is set for that.
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
