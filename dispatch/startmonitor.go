package dispatch

// Start monitor: how soon attempts start, and whether so many are late that the whole fleet is backed up. In
// the design a worker's limit grows when a job starts promptly; this file defines "promptly". The design does
// not cover the limit for the whole fleet.

import "time"

const (
	promptStartDivisor      = 4   // a start is prompt within the objective / this, plus a round trip
	lostAfterMeanLateDelays = 3   // an unstarted attempt counts as lost after this many mean late delays
	lateDelayWindow         = 10  // late starts that the mean late delay averages over
	maxLateFraction         = 0.5 // late attempts, as a fraction of the other slots in use
	minLateAttempts         = 2   // that show a backlog of the whole fleet
	minLateAmidProgress     = 3   // the same while workers make progress
	manyReplicas            = 8   // with more dispatchers than this, most have little work each
)

// The initial estimates, before any start has been observed.
const (
	lateDelaysPerObjective = 3                // the mean late delay is the mean objective divided by this
	startDelaysPerConnect  = 4                // the least start delay is the connect timeout divided by this
	minInitialStartDelay   = time.Millisecond // and no less than this
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

// newStartMonitor returns a monitor that has observed no start. Its initial estimates follow from the
// settings.
func newStartMonitor(settings *Settings) startMonitor {
	return startMonitor{
		unstarted:     newStartTracker(len(settings.Classes)),
		meanLateDelay: seconds(meanObjective(settings.Classes) / lateDelaysPerObjective),
		minDelay:      max(settings.ConnectTimeout/startDelaysPerConnect, minInitialStartDelay),
	}
}

// promptStart returns the longest start delay that does not indicate a queue at the worker. It is based on
// the least delay observed, as a mean would grow with the queues.
func (s *startMonitor) promptStart(class *Class) time.Duration {
	return 2*s.minDelay + class.LatencyObjective/promptStartDivisor
}

// handleSent records that this dispatcher has sent an attempt.
func (s *startMonitor) handleSent(now time.Duration) { s.lastSentAt = now }

// handleStarted records the start of an attempt that was sent at sentAt.
func (s *startMonitor) handleStarted(sentAt time.Duration) {
	if sentAt == s.lastSentAt {
		s.lastSentAt = 0
	}
}

func (s *startMonitor) observeDelay(delay time.Duration) { s.minDelay = min(s.minDelay, delay) }

func (s *startMonitor) observeLateDelay(delay time.Duration) {
	s.meanLateDelay += (delay - s.meanLateDelay) / lateDelayWindow
}

// lostAfter returns the delay after which an unstarted attempt counts as lost.
func (s *startMonitor) lostAfter() time.Duration { return lostAfterMeanLateDelays * s.meanLateDelay }

func (s *startMonitor) useSlots(slots float64)     { s.usedSlots += slots }
func (s *startMonitor) releaseSlots(slots float64) { s.usedSlots = max(0, s.usedSlots-slots) }

// isBackedUp reports whether the queues of the workers are full. Several dispatchers with few jobs each can
// fill all of them although every limit is one. It is false again once the latest attempt has started or has
// waited for the mean late delay, so that one more job is sent.
func (s *startMonitor) isBackedUp(now time.Duration) bool {
	isLatestPending := now-s.lastSentAt < s.meanLateDelay
	return s.lateCount > maxLateFraction*(s.usedSlots-s.lateCount) && isLatestPending
}

// updateLateCount counts the attempts whose start is late. Only the latest attempt of a job counts, as one
// whatever its slots: jobs of many slots have to wait more often than others.
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
