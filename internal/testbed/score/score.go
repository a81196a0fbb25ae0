// Package score turns what the world saw in a play into figures: the worth answered in time over the worth asked
// for, latency from the time a job was due, goodput second by second, occupancy, attempts, waste, and what each
// process took. It goes by the sights of package seen alone, never by a scheduler's word.
//
// # Worth
//
// A job's worth is its class's, times its work at speed 1, times its slots; beyond its tenant's share it counts
// Load.OverWorth of that. It is earned if the job's client has its 200 within the job's aim, counted from the time
// the job was due, over all its tries. The figure of a play is mixed of four such shares: 40% the whole play, 15% the
// worst 10 s (by the second in which jobs were due), 20% the worst class, 25% the worst tenant within its share.
//
// # Seconds
//
// Series are by the second of the play. "Asked" and "Earned" count a job in the second in which it was due, so that
// Earned over Asked is a share of the same jobs; "Goodput" counts it in the second in which it was answered.
//
// # Bounds
//
// A Score keeps what is open: jobs not settled, queries and attempts not over, and a line for each worker node. Of
// what is over it keeps sums, one histogram for each class and tenant, and the series. An occupancy strip has at most
// Options.Rows rows, whatever the fleet.
package score

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// Options is what a score is told beside the scenario.
type Options struct {
	Seed      uint64
	Driver    string // scenario.Virtual or scenario.Live
	StripRows int    // of the occupancy strip; default 200
}

// Score takes in the sights of one play. It is used by one goroutine.
type Score struct {
	spec    *scenario.Scenario
	options Options
	length  time.Duration // occupancy counts until then; 0: to the end
	now     time.Duration

	jobs         map[uint64]*job
	requests     map[string]*request
	retained     requestQueue // calls that are over, until their late attempts can no longer come
	freeJobs     *job
	freeRequests *request
	freeAttempts *attempt

	classes, tenants   []group
	currentSecond      *hdrhistogram.Histogram // latency of the answers of this second
	currentSecondIndex int
	latency            []latencyPoint // of the seconds before

	workers         []workerUsage
	strip           []stripRow
	fleet           stripRow // by the second
	workersUp       int
	workersUpCurve  binnedMeter
	processFigures  []process
	testbed         process
	faults          []Fault
	omitted         int // faults and marks for which there was no room
	marks           []Mark
	lateness        *hdrhistogram.Histogram
	effort          effort
	misbehaving     []MisbehavingCounts
	misbehavingOpen map[uint64]misbehavingConn
	jobsDue         int
	settled         int
	inTime          int
	responses       [3]int // tries answered: served, refused, failed
}

// job is a job that is not settled.
type job struct {
	id         uint64
	dueAt      time.Duration
	objective  time.Duration
	value      float64
	work       float64 // s at speed 1, over all slots
	slots      float64
	class      int
	tenant     int
	overQuota  bool
	requests   int
	attempts   int
	lastEnding requestEnding // of its last try
	wasteCount int           // runs of its tries that seemed to have served nobody
	lastWaste  int           // of the last of these: one of the wastes
	next       *job          // among the idle
}

// requestEnding says how a try ended for its client.
type requestEnding uint8

const (
	requestOpen requestEnding = iota
	requestServed
	requestRejected
	requestFailed
	requestLost
	requestClientLeft
	requestTimedOut
)

// request is a client's query, until none of its attempts can come up any more.
type request struct {
	id       string
	job      *job // that with jobID, or else it is settled
	jobID    uint64
	class    int
	work     float64
	slots    float64
	ending   requestEnding
	attempts int      // finished well while the client still waits
	reruns   int      // attempts that a cell dropped as repeats of an earlier run
	first    *attempt // those that are not over, oldest first
	retained bool
	endedAt  time.Duration
	next     *request // among the idle
}

// attempt is one that reached a worker node and has not ended there.
type attempt struct {
	request             *request
	worker              int
	started             bool
	duplicate           bool // the cell knows its key: it does no work
	cancelled           bool
	startedAt           time.Duration
	next                *attempt // of its call; among the idle
	prev, nextOfRequest *attempt // of its node
}

type workerUsage struct {
	known        bool
	isUp         bool
	slots        float64
	occupancy    meter
	availability meter
	first        *attempt
	attempts     int
	full         int
	overloads    int
}

// stripRow is the occupancy of some worker nodes over time.
type stripRow struct{ use, available binnedMeter }

type group struct {
	value, valueWithinQuota valueSum
	outcomes                [outcomeCount]int
	jobsDue                 int
	attempts                int
	histogram               *hdrhistogram.Histogram
	bins                    []bin
	inFlight                binnedMeter
}

type valueSum struct{ requested, earned float64 }

// bin is a second of a class.
type bin struct {
	requested, earned float64 // by the second in which jobs were due
	goodput           float64 // by the second of the answer
	jobsDue           int32
	inTime            int32 // by the second of the answer, as the rest
	served            int32
	rejected          int32 // tries
	attempts          int32
}

type effort struct {
	Effort
	workRequested, workRun, workUseful float64
	wasted                             [wasteKinds]float64
}

type misbehavingConn struct {
	kind        int
	connectedAt time.Duration
}

// How long a call that is over is still known, and how many such there are at most: an attempt that a scheduler sent
// just before reaches its worker node after, and one that a cut of the network held up much later.
const (
	settleGrace    = 30 * time.Second
	maxSettleGrace = 1 << 14
)

const (
	maxFaults      = 10_000
	maxMarks       = 1_000
	maxMisbehaving = 100_000 // open connections of bad clients
)

// New returns a score of a play of a checked scenario.
func New(spec *scenario.Scenario, opt Options) *Score {
	if opt.StripRows <= 0 {
		opt.StripRows = 200
	}
	score := &Score{
		spec: spec, options: opt, length: spec.Length.Std(),
		jobs: map[uint64]*job{}, requests: map[string]*request{}, misbehavingOpen: map[uint64]misbehavingConn{},
		currentSecond: newHistogram(secondDigits), lateness: newHistogram(latencyDigits),
		classes: make([]group, len(spec.Classes)), tenants: make([]group, max(1, len(spec.Tenants))),
		processFigures: make([]process, spec.Schedulers.Count),
	}
	whole := spec.Length.Std() + spec.Settle.Std()
	seconds := secondOf(whole) + 2
	for i := range score.classes {
		score.classes[i] = group{histogram: newHistogram(latencyDigits), bins: make([]bin, 0, seconds), inFlight: newBinnedMeter(time.Second, seconds)}
	}
	for i := range score.tenants {
		score.tenants[i].histogram = newHistogram(latencyDigits)
	}
	score.latency = make([]latencyPoint, 0, seconds)
	score.workersUpCurve = newBinnedMeter(time.Second, seconds)
	score.fleet = stripRow{use: newBinnedMeter(time.Second, seconds), available: newBinnedMeter(time.Second, seconds)}
	score.strip = make([]stripRow, min(opt.StripRows, max(1, spec.Fleet.Workers)))
	cell := (whole/(600*time.Second) + 1) * time.Second
	for i := range score.strip {
		score.strip[i] = stripRow{use: newBinnedMeter(cell, int(whole/cell)+2), available: newBinnedMeter(cell, int(whole/cell)+2)}
	}
	score.workers = make([]workerUsage, spec.Fleet.Workers)
	return score
}

func newBinnedMeter(width time.Duration, bins int) binnedMeter {
	return binnedMeter{width: width, integrals: make([]float64, 0, bins)}
}

// Observe takes in a sight. It is a seen.Watcher.
func (s *Score) Observe(x *trace.Event) {
	s.now = max(s.now, x.At)
	switch x.Kind {
	case trace.JobDue:
		s.jobDue(x)
	case trace.RequestSent:
		s.requestSent(x)
	case trace.ResponseReceived:
		end := requestFailed
		switch x.Status {
		case 200:
			end = requestServed
		case 429, 503:
			end = requestRejected
		}
		s.requestEnded(x, end)
	case trace.ConnectionLost:
		s.requestEnded(x, requestLost)
	case trace.ClientLeft:
		s.requestEnded(x, requestClientLeft)
	case trace.ClientTimedOut:
		s.requestEnded(x, requestTimedOut)
	case trace.SchedulerUnreachable:
		s.effort.RequestsUnreached++
		if j := s.jobs[x.JobID]; j != nil {
			j.lastEnding = requestTimedOut
		}
	case trace.JobSettled:
		s.jobSettled(x)
	case trace.AttemptReceived:
		s.attemptReceived(x)
	case trace.AttemptRejected:
		s.effort.Rejected++
		if x.Status == 503 || x.Status == 504 {
			s.effort.Full++
			s.workerAt(x.Worker).full++
		}
		s.attemptStopped(x, "")
	case trace.AttemptStarted:
		s.attemptStarted(x)
	case trace.AttemptFinished:
		s.attemptStopped(x, "done")
	case trace.AttemptReturned:
		s.effort.Returned++
		s.attemptStopped(x, "")
	case trace.AttemptDied:
		s.attemptStopped(x, "died")
	case trace.AttemptCancelled:
		s.effort.Cancelled++
		if a := s.attempt(x, false); a != nil {
			a.cancelled = true
		}
	case trace.AttemptAccepted:
		s.effort.Accepted++
	case trace.CallbackAnswered:
		s.effort.Callbacks++
	case trace.CallbackLost:
		s.effort.CallbacksLost++
	case trace.HealthChecked:
		s.effort.HealthChecks++
	case trace.WorkerConnected:
		s.effort.Connections++
	case trace.WorkerOverloaded:
		s.workerAt(x.Worker).overloads++
		s.effort.Overloads++
		s.addMark("worker node " + indexName(x.Worker) + " pushed over")
	case trace.WorkerStarted:
		s.workerStarted(x)
	case trace.WorkerStopped:
		s.workerStopped(x)
	case trace.FaultStarted:
		s.faultStarted(x.Text)
	case trace.FaultEnded:
		s.faultEnded(x.Text)
	case trace.TestbedLate:
		record(s.lateness, x.Lateness)
	case trace.MisbehavingClientConnected:
		s.misbehavingConnected(x)
	case trace.MisbehavingClientAnswered:
		s.misbehavingAnswered(x)
	case trace.SchedulerStarted, trace.SchedulerReady, trace.SchedulerTerminated, trace.SchedulerKilled, trace.SchedulerFrozen, trace.SchedulerResumed, trace.SchedulerReloaded, trace.SchedulerReplaced,
		trace.SchedulerExited, trace.ResourceUsage:
		s.processEvent(x)
	}
}

// Jobs and queries, at clients.

func (s *Score) jobDue(event *trace.Event) {
	if s.jobs[event.JobID] != nil { // a job is due once
		s.effort.Unknown++
		return
	}
	j := s.freeJobs
	if j == nil {
		j = &job{}
	} else {
		s.freeJobs = j.next
	}
	c := &s.spec.Classes[event.Class]
	*j = job{
		id: event.JobID, dueAt: event.At, objective: event.LatencyObjective, work: event.Work * event.Slots, slots: event.Slots, class: event.Class, tenant: event.Tenant,
		overQuota: event.OverQuota,
	}
	j.value = c.PriorityWeight * j.work
	if j.overQuota {
		j.value *= s.spec.Load.OverQuotaWeight
	}
	s.jobs[event.JobID] = j
	s.jobsDue++
	s.effort.workRequested += j.work

	of, by := &s.classes[event.Class], s.tenantGroup(event.Tenant)
	of.jobsDue++
	of.value.requested += j.value
	of.inFlight.add(s.now, 1)
	by.jobsDue++
	by.value.requested += j.value
	if !j.overQuota {
		of.valueWithinQuota.requested += j.value
		by.valueWithinQuota.requested += j.value
	}
	b := of.bin(s.now)
	b.jobsDue++
	b.requested += j.value
}

func (s *Score) tenantGroup(i int) *group { return &s.tenants[i] }

func (g *group) bin(at time.Duration) *bin {
	i := secondOf(at)
	g.bins = growTo(g.bins, i)
	return &g.bins[i]
}

func (s *Score) requestSent(event *trace.Event) {
	job := s.jobs[event.JobID]
	if c := s.requests[event.RequestID]; c != nil { // once more on a new connection, as the first closed between requests
		s.effort.Resent++
		if c.ending == requestLost && job != nil {
			c.ending, job.lastEnding = requestOpen, requestOpen
		}
		return
	}
	if job == nil {
		s.effort.Unknown++
		return
	}
	job.requests++
	job.lastEnding = requestOpen
	s.effort.Requests++
	if job.requests > 1 {
		s.effort.Retries++
	}
	s.processOf(event.Scheduler).requests++
	c := s.freeRequests
	if c == nil {
		c = &request{}
	} else {
		s.freeRequests = c.next
	}
	*c = request{id: event.RequestID, job: job, jobID: job.id, class: job.class, work: job.work, slots: job.slots}
	s.requests[event.RequestID] = c
}

// requestEnded is told how a try ended for its client.
func (s *Score) requestEnded(x *trace.Event, how requestEnding) {
	request := s.requests[x.RequestID]
	if request == nil || request.ending != requestOpen {
		s.effort.Unknown++
		return
	}
	request.ending = how
	if how <= requestFailed {
		s.responses[how-requestServed]++
	}
	if how == requestRejected {
		s.classes[request.class].bin(s.now).rejected++
	}
	job := request.open()
	if job != nil {
		job.lastEnding = how
	}
	n := request.attempts
	switch {
	case how != requestServed:
	case n > 0:
		s.effort.workUseful += request.work
		n--
	case request.reruns > 0 && job != nil && job.wasteCount > 0: // the result is that of an earlier try's run
		job.wasteCount--
		s.effort.workUseful += request.work
		s.effort.wasted[job.lastWaste] -= request.work
	}
	s.countWaste(request, n)
	s.retainRequest(request)
}

// open is the query's job, or nil if that is settled.
func (c *request) open() *job {
	if c.job != nil && c.job.id == c.jobID {
		return c.job
	}
	return nil
}

func (s *Score) jobSettled(x *trace.Event) {
	j := s.jobs[x.JobID]
	if j == nil {
		s.effort.Unknown++
		return
	}
	delete(s.jobs, x.JobID)
	s.settled++
	group, by := &s.classes[j.class], s.tenantGroup(j.tenant)
	took := s.now - j.dueAt
	out := classifyOutcome(j, x.Status, took)
	group.outcomes[out]++
	by.outcomes[out]++
	group.attempts += j.attempts
	by.attempts += j.attempts
	s.effort.MaxAttempts = max(s.effort.MaxAttempts, j.attempts)
	group.inFlight.add(s.now, -1)
	if out <= OutcomeLate {
		b := group.bin(s.now)
		b.served++
		record(group.histogram, took)
		record(by.histogram, took)
		s.advanceSecond()
		record(s.currentSecond, took)
		if out == OutcomeInTime {
			s.inTime++
			group.value.earned += j.value
			by.value.earned += j.value
			if !j.overQuota {
				group.valueWithinQuota.earned += j.value
				by.valueWithinQuota.earned += j.value
			}
			b.inTime++
			b.goodput += j.value
			group.bin(j.dueAt).earned += j.value
		} else {
			s.effort.WorkAfterObjective += j.work
		}
	}
	*j = job{next: s.freeJobs}
	s.freeJobs = j
}

// classifyOutcome is the one bucket that a settled job is in. A last answer decides; without one, how its last try ended.
func classifyOutcome(job *job, status int, took time.Duration) JobOutcome {
	switch {
	case status == 200 && took <= job.objective:
		return OutcomeInTime
	case status == 200:
		return OutcomeLate
	case job.lastEnding == requestLost:
		return OutcomeLost
	case job.lastEnding == requestClientLeft:
		return OutcomeClientLeft
	case job.lastEnding == requestTimedOut || status == 0 && job.lastEnding == requestOpen:
		return OutcomeUnanswered
	case job.lastEnding == requestRejected || status == 429 || status == 503:
		return OutcomeRejected
	}
	return OutcomeFailed
}

// advanceSecond closes the seconds before this one.
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

// Attempts, at worker nodes.

// attempt finds one of a query at a worker node: one that runs, or one that does not.
func (s *Score) attempt(x *trace.Event, begun bool) *attempt {
	c := s.requests[x.RequestID]
	if c == nil {
		return nil
	}
	for a := c.first; a != nil; a = a.next {
		if a.worker == x.Worker && a.started == begun {
			return a
		}
	}
	return nil
}

func (s *Score) attemptReceived(event *trace.Event) {
	s.effort.Attempts++
	n := s.workerAt(event.Worker)
	n.attempts++
	s.processOf(event.Scheduler).attempts++
	request := s.requests[event.RequestID]
	if request == nil {
		s.effort.Duplicates++
		return
	}
	s.classes[request.class].bin(s.now).attempts++
	if j := request.open(); j != nil {
		j.attempts++
	}
	for a := request.first; a != nil; a = a.next {
		if !a.cancelled {
			s.effort.Hedged++
			break
		}
	}
	s.newAttempt(request, event.Worker)
}

func (s *Score) newAttempt(c *request, index int) *attempt {
	a := s.freeAttempts
	if a == nil {
		a = &attempt{}
	} else {
		s.freeAttempts = a.next
	}
	*a = attempt{request: c, worker: index}
	end := &c.first
	for *end != nil {
		end = &(*end).next
	}
	*end = a
	n := s.workerAt(index)
	if a.nextOfRequest = n.first; a.nextOfRequest != nil {
		a.nextOfRequest.prev = a
	}
	n.first = a
	return a
}

func (s *Score) attemptStarted(x *trace.Event) {
	attempt := s.attempt(x, false)
	if attempt == nil {
		c := s.requests[x.RequestID]
		if c == nil {
			s.effort.Duplicates++
			return
		}
		attempt = s.newAttempt(c, x.Worker)
	}
	attempt.started, attempt.startedAt, attempt.duplicate = true, s.now, x.Text == "repeat"
	if attempt.duplicate { // it takes no slot
		attempt.request.reruns++
		s.effort.DuplicatesDropped++
		return
	}
	s.addOccupancy(attempt.worker, attempt.request.slots)
}

func (s *Score) addOccupancy(at int, slots float64) {
	s.workerAt(at).occupancy.add(s.settleWindow(), slots)
	s.stripRow(at).use.add(s.now, slots)
	s.fleet.use.add(s.now, slots)
}

// settleWindow is the present, as far as occupancy counts.
func (s *Score) settleWindow() time.Duration {
	if s.length > 0 {
		return min(s.now, s.length)
	}
	return s.now
}

// attemptStopped takes in the end of an attempt at its worker node: "done", "died", or "" where it did not run.
func (s *Score) attemptStopped(event *trace.Event, how string) {
	a := s.attempt(event, how == "done")
	if a == nil {
		a = s.attempt(event, how != "done")
	}
	if a == nil {
		if how == "done" {
			s.effort.Duplicates++
		}
		return
	}
	s.endAttempt(a, how, how == "done" && event.Status != 200 && event.Status != 0)
}

func (s *Score) endAttempt(a *attempt, how string, failed bool) {
	request := a.request
	if a.started && !a.duplicate {
		s.addOccupancy(a.worker, -request.slots)
		switch {
		case how == "died":
			part := min(request.work, (s.now-a.startedAt).Seconds()*request.slots)
			s.effort.workRun += part
			s.effort.wasted[wasteKilled] += part
		case how == "done" && failed:
			s.effort.workRun += request.work
			s.effort.wasted[wasteErrors] += request.work
		case how == "done":
			s.effort.workRun += request.work
			if request.ending == requestOpen {
				request.attempts++
			} else {
				s.countWaste(request, 1)
			}
		}
	}
	for at := &request.first; *at != nil; at = &(*at).next {
		if *at == a {
			*at = a.next
			break
		}
	}
	if a.nextOfRequest != nil {
		a.nextOfRequest.prev = a.prev
	}
	if a.prev != nil {
		a.prev.nextOfRequest = a.nextOfRequest
	} else {
		s.workerAt(a.worker).first = a.nextOfRequest
	}
	*a = attempt{next: s.freeAttempts}
	s.freeAttempts = a
	s.retainRequest(request)
}

// countWaste books n finished runs of a query, whose end is known, that served nobody.
func (s *Score) countWaste(request *request, n int) {
	if n == 0 {
		return
	}
	why := wasteUnused
	switch request.ending {
	case requestServed:
		why = wasteRepeated
	case requestTimedOut:
		why = wasteTooLate
	case requestClientLeft:
		why = wasteClientLeft
	}
	s.effort.wasted[why] += float64(n) * request.work
	if j := request.open(); j != nil && why != wasteRepeated {
		j.wasteCount, j.lastWaste = j.wasteCount+n, why
	}
}

// retainRequest puts a query that is over, and has no attempt that is not, among those to be forgotten.
func (s *Score) retainRequest(c *request) {
	if c.ending == requestOpen || c.first != nil || c.retained {
		return
	}
	c.retained, c.endedAt = true, s.now
	s.retained.push(c)
	for s.retained.len() > 0 && (s.now-s.retained.first().endedAt > settleGrace || s.retained.len() > maxSettleGrace) {
		c := s.retained.pop()
		c.retained = false
		if c.first != nil || c.ending == requestOpen { // an attempt has come after all, or it was sent again
			continue
		}
		delete(s.requests, c.id)
		*c = request{next: s.freeRequests}
		s.freeRequests = c
	}
}

// requestQueue is a ring of queries.
type requestQueue struct {
	ring       []*request // its length is a power of two
	firstIndex int
	length     int
}

func (q *requestQueue) len() int        { return q.length }
func (q *requestQueue) first() *request { return q.ring[q.firstIndex] }

func (q *requestQueue) push(c *request) {
	if q.length == len(q.ring) {
		ring := make([]*request, max(64, 2*q.length))
		for i := range q.length {
			ring[i] = q.ring[(q.firstIndex+i)&(q.length-1)]
		}
		q.ring, q.firstIndex = ring, 0
	}
	q.ring[(q.firstIndex+q.length)&(len(q.ring)-1)] = c
	q.length++
}

func (q *requestQueue) pop() *request {
	c := q.ring[q.firstIndex]
	q.ring[q.firstIndex] = nil
	q.firstIndex = (q.firstIndex + 1) & (len(q.ring) - 1)
	q.length--
	return c
}

// Worker nodes.

// workerAt is the line of a worker node. One that nobody saw start was there from the beginning.
func (s *Score) workerAt(i int) *workerUsage {
	s.workers = growTo(s.workers, i)
	n := &s.workers[i]
	if !n.known {
		slots := s.defaultSlots()
		s.setUp(i, slots)
		n.availability.integral = slots * s.settleWindow().Seconds()
		s.stripRow(i).available.quantile(slots)
		s.fleet.available.quantile(slots)
		s.workersUpCurve.quantile(1)
	}
	return n
}

// defaultSlots is a worker node's slots where nobody tells: the mean of the kinds.
func (s *Score) defaultSlots() float64 {
	var slots, shares float64
	for i := range s.spec.Fleet.Kinds {
		k := &s.spec.Fleet.Kinds[i]
		slots += k.Share * float64(k.Slots)
		shares += k.Share
	}
	if shares <= 0 || slots <= 0 {
		return 1
	}
	return slots / shares
}

func (s *Score) stripRow(i int) *stripRow { return &s.strip[s.stripRowOf(i)] }

func (s *Score) stripRowOf(i int) int {
	return min(i*len(s.strip)/max(1, s.spec.Fleet.Workers), len(s.strip)-1)
}

// setUp counts a worker node as up from now on.
func (s *Score) setUp(i int, slots float64) {
	n := &s.workers[i]
	n.known, n.isUp, n.slots = true, true, slots
	s.workersUp++
	n.availability.add(s.settleWindow(), slots)
	s.stripRow(i).available.add(s.now, slots)
	s.fleet.available.add(s.now, slots)
	s.workersUpCurve.add(s.now, 1)
}

func (s *Score) workerStarted(x *trace.Event) {
	s.workers = growTo(s.workers, x.Worker)
	if n := &s.workers[x.Worker]; n.known && n.isUp {
		s.workerStopped(x)
	}
	slots := x.Slots
	if slots <= 0 {
		slots = s.defaultSlots()
	}
	s.setUp(x.Worker, slots)
}

func (s *Score) workerStopped(event *trace.Event) {
	n := s.workerAt(event.Worker)
	for n.first != nil {
		s.endAttempt(n.first, "died", false)
	}
	if !n.isUp {
		return
	}
	n.isUp = false
	s.workersUp--
	n.availability.add(s.settleWindow(), -n.slots)
	s.stripRow(event.Worker).available.add(s.now, -n.slots)
	s.fleet.available.add(s.now, -n.slots)
	s.workersUpCurve.add(s.now, -1)
}

// Faults and bad clients.

func (s *Score) faultStarted(text string) {
	if len(s.faults) == maxFaults {
		s.omitted++
		return
	}
	s.faults = append(s.faults, Fault{Text: text, On: s.now.Seconds(), Off: -1})
}

func (s *Score) faultEnded(text string) {
	for i := range s.faults {
		if f := &s.faults[i]; f.Off < 0 && f.Text == text {
			f.Off = s.now.Seconds()
			return
		}
	}
}

func (s *Score) addMark(text string) {
	if len(s.marks) == maxMarks {
		s.omitted++
		return
	}
	s.marks = append(s.marks, Mark{At: s.now.Seconds(), Text: text})
}

func (s *Score) misbehavingConnected(event *trace.Event) {
	kind := -1
	for i := range s.misbehaving {
		if s.misbehaving[i].Kind == event.Text {
			kind = i
		}
	}
	if kind < 0 {
		kind = len(s.misbehaving)
		s.misbehaving = append(s.misbehaving, MisbehavingCounts{Kind: event.Text})
	}
	s.misbehaving[kind].Connected++
	if len(s.misbehavingOpen) < maxMisbehaving {
		s.misbehavingOpen[event.Conn] = misbehavingConn{kind, s.now}
	}
}

func (s *Score) misbehavingAnswered(x *trace.Event) {
	misbehavingConn, ok := s.misbehavingOpen[x.Conn]
	if !ok {
		return
	}
	delete(s.misbehavingOpen, x.Conn)
	b := &s.misbehaving[misbehavingConn.kind]
	switch {
	case x.Status == 0:
		b.Closed++
	case x.Status >= 400:
		b.Errors++
	default:
		b.Served++
	}
	b.MaxWaitMs = max(b.MaxWaitMs, float64((s.now-misbehavingConn.connectedAt).Microseconds())/1000)
}
