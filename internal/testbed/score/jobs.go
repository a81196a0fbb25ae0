package score

import (
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// JobOutcome is how a settled job ended. Each job has one.
type JobOutcome int

// Outcomes of jobs.
const (
	OutcomeInTime     JobOutcome = iota // served within its latency objective
	OutcomeLate                         // served after its latency objective
	OutcomeRejected                     // its last response was 429 or 503
	OutcomeFailed                       // its last response was an error of another status
	OutcomeUnanswered                   // its client timed out, or found no scheduler
	OutcomeLost                         // the connection of its last request ended without a response
	OutcomeClientLeft                   // its client left before a response
	outcomeCount
)

// OutcomeNames has the names of the outcomes, by JobOutcome.
var OutcomeNames = [outcomeCount]string{"in time", "late", "refused", "failed", "unanswered", "lost", "left"}

// isServed reports whether the client got a result.
func (o JobOutcome) isServed() bool { return o == OutcomeInTime || o == OutcomeLate }

// job is a job that is not settled.
type job struct {
	id         uint64
	dueAt      time.Duration
	objective  time.Duration
	value      float64
	work       float64 // seconds at speed 1, times slots
	slots      float64
	class      int
	tenant     int
	overQuota  bool
	requests   int
	attempts   int
	lastEnding requestEnding // of its last request
	wasteCount int           // finished attempts of its requests whose result no client got so far
	lastWaste  wasteCause    // of the last of those attempts
	next       *job          // in the free list
}

func (s *Score) newJob() *job {
	reused := s.freeJobs
	if reused == nil {
		return &job{}
	}
	s.freeJobs = reused.next
	return reused
}

func (s *Score) jobDue(event *trace.Event) {
	if s.jobs[event.JobID] != nil { // a job becomes due only once
		s.effort.Unknown++
		return
	}
	added := s.newJob()
	*added = job{
		id:        event.JobID,
		dueAt:     event.At,
		objective: event.LatencyObjective,
		work:      event.Work * event.Slots,
		slots:     event.Slots,
		class:     event.Class,
		tenant:    event.Tenant,
		overQuota: event.OverQuota,
	}
	added.value = s.spec.Classes[event.Class].PriorityWeight * added.work
	if added.overQuota {
		added.value *= s.spec.Load.OverQuotaWeight
	}
	s.jobs[event.JobID] = added
	s.jobsDue++
	s.effort.workRequested += added.work

	class, tenant := &s.classes[event.Class], &s.tenants[event.Tenant]
	class.addDue(added)
	tenant.addDue(added)
	class.inFlight.add(s.now, 1)
	second := class.bin(s.now)
	second.jobsDue++
	second.requested += added.value
}

// addDue counts a job that becomes due.
func (g *group) addDue(added *job) {
	g.jobsDue++
	g.value.requested += added.value
	if !added.overQuota {
		g.valueWithinQuota.requested += added.value
	}
}

// addSettled counts a job that is settled.
func (g *group) addSettled(settled *job, outcome JobOutcome, latency time.Duration) {
	g.outcomes[outcome]++
	g.attempts += settled.attempts
	if outcome.isServed() {
		record(g.histogram, latency)
	}
	if outcome == OutcomeInTime {
		g.value.earned += settled.value
		if !settled.overQuota {
			g.valueWithinQuota.earned += settled.value
		}
	}
}

// bin returns the sums of the second in which an instant lies.
func (g *group) bin(at time.Duration) *bin {
	second := secondOf(at)
	g.bins = growTo(g.bins, second)
	return &g.bins[second]
}

func (s *Score) jobSettled(event *trace.Event) {
	settled := s.jobs[event.JobID]
	if settled == nil {
		s.effort.Unknown++
		return
	}
	delete(s.jobs, event.JobID)
	s.settled++
	s.effort.MaxAttempts = max(s.effort.MaxAttempts, settled.attempts)

	latency := s.now - settled.dueAt
	outcome := classifyOutcome(settled, event.Status, latency)
	class, tenant := &s.classes[settled.class], &s.tenants[settled.tenant]
	class.addSettled(settled, outcome, latency)
	tenant.addSettled(settled, outcome, latency)
	class.inFlight.add(s.now, -1)
	if outcome.isServed() {
		class.bin(s.now).served++
		s.advanceSecond()
		record(s.currentSecond, latency)
	}
	switch outcome {
	case OutcomeInTime:
		s.inTime++
		second := class.bin(s.now)
		second.inTime++
		second.goodput += settled.value
		class.bin(settled.dueAt).earned += settled.value
	case OutcomeLate:
		s.effort.WorkAfterObjective += settled.work
	}
	*settled = job{next: s.freeJobs}
	s.freeJobs = settled
}

// classifyOutcome returns the outcome of a job from the status that it was settled with and the end of its last request.
func classifyOutcome(settled *job, status int, latency time.Duration) JobOutcome {
	switch {
	case status == http.StatusOK && latency <= settled.objective:
		return OutcomeInTime
	case status == http.StatusOK:
		return OutcomeLate
	case settled.lastEnding == requestLost:
		return OutcomeLost
	case settled.lastEnding == requestClientLeft:
		return OutcomeClientLeft
	case settled.lastEnding == requestTimedOut || status == 0 && settled.lastEnding == requestOpen:
		return OutcomeUnanswered
	case settled.lastEnding == requestRejected || isRejection(status):
		return OutcomeRejected
	}
	return OutcomeFailed
}

// isRejection reports whether a status is one with which schedulers reject requests.
func isRejection(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// advanceSecond stores the latency of the last second with responses once that second has ended.
func (s *Score) advanceSecond() {
	now := secondOf(s.now)
	if now == s.currentSecondIndex {
		return
	}
	if s.currentSecond.TotalCount() > 0 {
		s.latency = growTo(s.latency, s.currentSecondIndex)
		s.latency[s.currentSecondIndex] = newLatencyPoint(s.currentSecond)
		s.currentSecond.Reset()
	}
	s.currentSecondIndex = now
}
