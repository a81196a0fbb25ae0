package score

import (
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// duplicateText is the text of an AttemptStarted event if the worker's cell has seen the attempt's idempotency key before.
const duplicateText = "repeat"

// attempt is an attempt that reached a worker and has not ended there. It is in two linked lists, that of its request and
// that of its worker.
type attempt struct {
	request      *request
	worker       int
	started      bool
	duplicate    bool // the cell has seen its idempotency key before: it does no work
	cancelled    bool
	startedAt    time.Duration
	next         *attempt // in the list of its request, or in the free list
	prevOfWorker *attempt
	nextOfWorker *attempt
}

// attemptEnding is how an attempt ended at its worker.
type attemptEnding uint8

const (
	attemptNotRun attemptEnding = iota // it was rejected or returned
	attemptFinished
	attemptFailed // it finished with an error
	attemptDied   // it ended without a result, with its worker's process or alone
)

// findAttempt returns an attempt of the event's request at the event's worker that has started, or one that has not; nil if
// there is none.
func (s *Score) findAttempt(event *trace.Event, started bool) *attempt {
	sent := s.requests[event.RequestID]
	if sent == nil {
		return nil
	}
	for candidate := sent.first; candidate != nil; candidate = candidate.next {
		if candidate.worker == event.Worker && candidate.started == started {
			return candidate
		}
	}
	return nil
}

func (s *Score) attemptReceived(event *trace.Event) {
	s.effort.Attempts++
	s.workerAt(event.Worker).attempts++
	s.processOf(event.Scheduler).attempts++
	sent := s.requests[event.RequestID]
	if sent == nil {
		s.effort.OrphanedEvents++
		return
	}
	s.classes[sent.class].bin(s.now).attempts++
	if sender := sent.openJob(); sender != nil {
		sender.attempts++
	}
	if sent.hasLiveAttempt() {
		s.effort.Hedged++
	}
	s.addAttempt(sent, event.Worker)
}

// hasLiveAttempt reports whether an attempt has neither ended nor been cancelled.
func (r *request) hasLiveAttempt() bool {
	for candidate := r.first; candidate != nil; candidate = candidate.next {
		if !candidate.cancelled {
			return true
		}
	}
	return false
}

func (s *Score) newAttempt() *attempt {
	reused := s.freeAttempts
	if reused == nil {
		return &attempt{}
	}
	s.freeAttempts = reused.next
	return reused
}

// addAttempt adds an attempt to the lists of its request, as the last, and of its worker, as the first.
func (s *Score) addAttempt(sent *request, worker int) *attempt {
	added := s.newAttempt()
	*added = attempt{request: sent, worker: worker}
	end := &sent.first
	for *end != nil {
		end = &(*end).next
	}
	*end = added
	at := s.workerAt(worker)
	added.nextOfWorker = at.first
	if at.first != nil {
		at.first.prevOfWorker = added
	}
	at.first = added
	return added
}

// removeAttempt removes an attempt from both lists.
func (s *Score) removeAttempt(removed *attempt) {
	for link := &removed.request.first; *link != nil; link = &(*link).next {
		if *link == removed {
			*link = removed.next
			break
		}
	}
	if removed.nextOfWorker != nil {
		removed.nextOfWorker.prevOfWorker = removed.prevOfWorker
	}
	if removed.prevOfWorker != nil {
		removed.prevOfWorker.nextOfWorker = removed.nextOfWorker
	} else {
		s.workerAt(removed.worker).first = removed.nextOfWorker
	}
	*removed = attempt{next: s.freeAttempts}
	s.freeAttempts = removed
}

func (s *Score) attemptStarted(event *trace.Event) {
	started := s.findAttempt(event, false)
	if started == nil {
		sent := s.requests[event.RequestID]
		if sent == nil {
			s.effort.OrphanedEvents++
			return
		}
		started = s.addAttempt(sent, event.Worker)
	}
	started.started = true
	started.startedAt = s.now
	started.duplicate = event.Text == duplicateText
	if started.duplicate { // it takes no slot
		started.request.deduplicated++
		s.effort.DuplicatesDropped++
		return
	}
	s.addOccupancy(started.worker, started.request.slots)
}

func (s *Score) attemptRejected(event *trace.Event) {
	s.effort.Rejected++
	if event.Status == http.StatusServiceUnavailable || event.Status == http.StatusGatewayTimeout {
		s.effort.Full++
		s.workerAt(event.Worker).full++
	}
	s.attemptEnded(event, attemptNotRun)
}

func (s *Score) attemptReturned(event *trace.Event) {
	s.effort.Returned++
	s.attemptEnded(event, attemptNotRun)
}

func (s *Score) attemptDied(event *trace.Event) { s.attemptEnded(event, attemptDied) }

func (s *Score) attemptCancelled(event *trace.Event) {
	s.effort.Cancelled++
	if cancelled := s.findAttempt(event, false); cancelled != nil {
		cancelled.cancelled = true
	}
}

func (s *Score) attemptFinished(event *trace.Event) {
	finished := s.findAttempt(event, true)
	if finished == nil {
		finished = s.findAttempt(event, false)
	}
	if finished == nil {
		s.effort.OrphanedEvents++
		return
	}
	ending := attemptFinished
	if event.Status != http.StatusOK && event.Status != 0 {
		ending = attemptFailed
	}
	s.endAttempt(finished, ending)
}

// attemptEnded ends an attempt that did not finish. If several match the event, it ends one that has not started.
func (s *Score) attemptEnded(event *trace.Event, ending attemptEnding) {
	ended := s.findAttempt(event, false)
	if ended == nil {
		ended = s.findAttempt(event, true)
	}
	if ended != nil {
		s.endAttempt(ended, ending)
	}
}

// endAttempt counts the end of an attempt and removes it.
func (s *Score) endAttempt(ended *attempt, ending attemptEnding) {
	sent := ended.request
	if ended.started && !ended.duplicate {
		s.addOccupancy(ended.worker, -sent.slots)
		s.countWork(ended, ending)
	}
	s.removeAttempt(ended)
	s.retainRequest(sent)
}

// countWork counts the work that an attempt did.
func (s *Score) countWork(ended *attempt, ending attemptEnding) {
	sent := ended.request
	switch ending {
	case attemptDied:
		done := min(sent.work, (s.now-ended.startedAt).Seconds()*sent.slots)
		s.effort.workRun += done
		s.effort.wasted[wasteKilled] += done
	case attemptFailed:
		s.effort.workRun += sent.work
		s.effort.wasted[wasteErrors] += sent.work
	case attemptFinished:
		s.effort.workRun += sent.work
		if sent.ending == requestOpen {
			sent.attempts++
		} else {
			s.countWaste(sent, 1)
		}
	}
}
