package dispatch

// Start monitor: how soon attempts start, and whether so many are late that the whole fleet is backed
// up. By the design a worker's limit grows when a job starts promptly; this file defines promptly. The
// design does not cover the limit over the fleet.

import "time"

const (
	promptStartDivisor      = 4   // of the objective: within this, and a round trip, a start is prompt
	lostAfterMeanLateDelays = 3   // after so many of these an unstarted attempt is taken for lost
	lateDelayWindow         = 10  // late starts that their mean delay follows
	maxLateFraction         = 0.5 // late attempts, as a fraction of the other slots in use
	manyReplicas            = 8   // with more dispatchers than these most have little work each
)

// What is assumed before any start has been observed.
const (
	lateDelaysPerObjective = 3                // mean late delays in the mean objective
	startDelaysPerConnect  = 4                // least start delays in the connect timeout
	minInitialStartDelay   = time.Millisecond // the least delay is assumed to be no less
)

// startMonitor watches how soon attempts start.
type startMonitor struct {
	unstarted     startTracker  // attempts in flight that have not started
	lateCount     float64       // of these, the late ones, as of the latest dispatch cycle
	usedSlots     float64       // of this dispatcher, at all workers
	lastSentAt    time.Duration // when the latest attempt was sent; 0: it has started
	meanLateDelay time.Duration // mean start delay of the attempts that started late
	minDelay      time.Duration // least start delay of all attempts: the round trip of a notification
}

// newStartMonitor returns a monitor that has observed no start, with assumptions from the settings.
func newStartMonitor(settings *Settings) startMonitor {
	return startMonitor{
		unstarted:     newStartTracker(len(settings.Classes)),
		meanLateDelay: seconds(meanObjective(settings.Classes) / lateDelaysPerObjective),
		minDelay:      max(settings.ConnectTimeout/startDelaysPerConnect, minInitialStartDelay),
	}
}

// promptStart returns the greatest start delay that shows no queue at the worker. It is measured from
// the least delay, as a mean would grow with the queues.
func (s *startMonitor) promptStart(class *Class) time.Duration {
	return 2*s.minDelay + class.LatencyObjective/promptStartDivisor
}

// handleSent counts an attempt that this dispatcher has sent.
func (s *startMonitor) handleSent(now time.Duration) { s.lastSentAt = now }

// handleStarted counts the start of an attempt by when it was sent.
func (s *startMonitor) handleStarted(sentAt time.Duration) {
	if sentAt == s.lastSentAt {
		s.lastSentAt = 0
	}
}

func (s *startMonitor) observeDelay(delay time.Duration) { s.minDelay = min(s.minDelay, delay) }

func (s *startMonitor) observeLateDelay(delay time.Duration) {
	s.meanLateDelay += (delay - s.meanLateDelay) / lateDelayWindow
}

// lostAfter returns the delay from which on an unstarted attempt is taken for lost.
func (s *startMonitor) lostAfter() time.Duration { return lostAfterMeanLateDelays * s.meanLateDelay }

func (s *startMonitor) useSlots(slots float64)     { s.usedSlots += slots }
func (s *startMonitor) releaseSlots(slots float64) { s.usedSlots = max(0, s.usedSlots-slots) }

// isBackedUp reports whether the queues of the workers are full: several dispatchers with few jobs each
// can fill all of them though every limit is one. One job is sent all the same each time the latest
// attempt has started or is as late as others are.
func (s *startMonitor) isBackedUp(now time.Duration) bool {
	isLatestPending := now-s.lastSentAt < s.meanLateDelay
	return s.lateCount > maxLateFraction*(s.usedSlots-s.lateCount) && isLatestPending
}

// updateLateCount counts the attempts that start late, one for each job: a job of many slots waits more
// often than others.
func (s *startMonitor) updateLateCount(classes []Class, now time.Duration) {
	isLate := func(class int, a *attemptInfo) bool { return now-a.sentAt > s.promptStart(&classes[class]) }
	isOver := func(a *attemptInfo) bool { return a.started || a.ended || now-a.sentAt >= s.lostAfter() }
	s.unstarted.update(isLate, isOver)
	s.lateCount = 0
	for _, a := range s.unstarted.late {
		isLatest := a.number == len(a.job.attempts)-1
		if a.job.heapIndex < 0 && !a.job.closed && isLatest && !a.mayBeDeduplicated() {
			s.lateCount++
		}
	}
}
