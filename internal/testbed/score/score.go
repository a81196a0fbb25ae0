package score

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

// Bounds on the memory of a score.
const (
	defaultStripRows = 200
	maxStripCells    = 600 // of a row, approximately: a cell is a whole number of seconds
	maxFaults        = 10_000
	maxMarks         = 1_000
	maxMisbehaving   = 100_000 // open connections of misbehaving clients
)

// Options are the parameters of a score that the scenario does not have.
type Options struct {
	Seed      uint64
	Driver    string // scenario.DriverSimulation or scenario.DriverProcess
	StripRows int    // of the occupancy strip; default 200
}

// Score observes the events of one run. It is used by one goroutine.
type Score struct {
	spec    *scenario.Scenario
	options Options
	length  time.Duration // occupancy is measured until then; 0: until the end
	now     time.Duration // the time of the latest event

	jobs         map[uint64]*job
	requests     map[string]*request
	retained     requestQueue // ended requests whose attempts may still arrive
	freeJobs     *job
	freeRequests *request
	freeAttempts *attempt

	classes            []group
	tenants            []group
	currentSecond      *hdrhistogram.Histogram // latency of this second's responses
	currentSecondIndex int
	latency            []latencyPoint // of earlier seconds

	workers        []workerUsage
	strip          []stripRow
	fleet          stripRow // by the second
	workersUp      int
	workersUpCurve binnedMeter

	schedulerProcesses []process
	testbed            process

	faults          []Fault
	omitted         int // faults and marks beyond maxFaults and maxMarks
	marks           []Mark
	lateness        *hdrhistogram.Histogram
	effort          effort
	misbehaving     []MisbehavingCounts
	misbehavingOpen map[uint64]misbehavingConn

	jobsDue   int
	settled   int
	inTime    int
	responses responseCounts
}

// group has the sums of a class or a tenant.
type group struct {
	value            valueSum
	valueWithinQuota valueSum
	outcomes         [outcomeCount]int
	jobsDue          int
	attempts         int
	histogram        *hdrhistogram.Histogram
	bins             []bin       // of a class
	inFlight         binnedMeter // of a class
}

// valueSum is the value of jobs.
type valueSum struct{ requested, earned float64 }

// bin has the sums of a class for one second.
type bin struct {
	requested float64 // by the second in which jobs were due
	earned    float64 // likewise
	jobsDue   int32   // likewise
	goodput   float64 // by the second of the response
	inTime    int32   // likewise
	served    int32   // likewise
	rejected  int32   // requests, by the second of the response
	attempts  int32   // by the second in which they reached workers
}

// effort has the counts of Effort and sums of work.
type effort struct {
	Effort
	workRequested float64
	workRun       float64
	workUseful    float64
	wasted        [wasteCauses]float64
}

// New returns the score of a run that has not begun. The scenario must have passed Check.
func New(spec *scenario.Scenario, options Options) *Score {
	if options.StripRows <= 0 {
		options.StripRows = defaultStripRows
	}
	runLength := spec.Length.Std() + spec.Settle.Std()
	seconds := secondOf(runLength) + 2
	score := &Score{
		spec:               spec,
		options:            options,
		length:             spec.Length.Std(),
		jobs:               map[uint64]*job{},
		requests:           map[string]*request{},
		misbehavingOpen:    map[uint64]misbehavingConn{},
		currentSecond:      newHistogram(secondDigits),
		lateness:           newHistogram(latencyDigits),
		classes:            make([]group, len(spec.Classes)),
		tenants:            make([]group, max(1, len(spec.Tenants))),
		schedulerProcesses: make([]process, spec.Schedulers.Count),
		latency:            make([]latencyPoint, 0, seconds),
		workersUpCurve:     newBinnedMeter(time.Second, seconds),
		fleet:              newStripRow(time.Second, seconds),
		strip:              make([]stripRow, min(options.StripRows, max(1, spec.Fleet.Workers))),
		workers:            make([]workerUsage, spec.Fleet.Workers),
	}
	for i := range score.classes {
		score.classes[i] = group{
			histogram: newHistogram(latencyDigits),
			bins:      make([]bin, 0, seconds),
			inFlight:  newBinnedMeter(time.Second, seconds),
		}
	}
	for i := range score.tenants {
		score.tenants[i].histogram = newHistogram(latencyDigits)
	}
	cell := (runLength/(maxStripCells*time.Second) + 1) * time.Second
	for i := range score.strip {
		score.strip[i] = newStripRow(cell, int(runLength/cell)+2)
	}
	return score
}

// handlers has the function for each kind of event that affects the score.
var handlers = [...]func(*Score, *trace.Event){
	trace.JobDue:                     (*Score).jobDue,
	trace.RequestSent:                (*Score).requestSent,
	trace.ResponseReceived:           (*Score).responseReceived,
	trace.ConnectionLost:             (*Score).connectionLost,
	trace.ClientLeft:                 (*Score).clientLeft,
	trace.ClientTimedOut:             (*Score).clientTimedOut,
	trace.SchedulerUnreachable:       (*Score).schedulerUnreachable,
	trace.JobSettled:                 (*Score).jobSettled,
	trace.AttemptReceived:            (*Score).attemptReceived,
	trace.AttemptRejected:            (*Score).attemptRejected,
	trace.AttemptStarted:             (*Score).attemptStarted,
	trace.AttemptFinished:            (*Score).attemptFinished,
	trace.AttemptReturned:            (*Score).attemptReturned,
	trace.AttemptDied:                (*Score).attemptDied,
	trace.AttemptCancelled:           (*Score).attemptCancelled,
	trace.AttemptAccepted:            func(s *Score, _ *trace.Event) { s.effort.Accepted++ },
	trace.CallbackAnswered:           func(s *Score, _ *trace.Event) { s.effort.Callbacks++ },
	trace.CallbackLost:               func(s *Score, _ *trace.Event) { s.effort.CallbacksLost++ },
	trace.HealthChecked:              func(s *Score, _ *trace.Event) { s.effort.HealthChecks++ },
	trace.WorkerConnected:            func(s *Score, _ *trace.Event) { s.effort.Connections++ },
	trace.WorkerOverloaded:           (*Score).workerOverloaded,
	trace.WorkerStarted:              (*Score).workerStarted,
	trace.WorkerStopped:              (*Score).workerStopped,
	trace.FaultStarted:               (*Score).faultStarted,
	trace.FaultEnded:                 (*Score).faultEnded,
	trace.TestbedLate:                func(s *Score, event *trace.Event) { record(s.lateness, event.Lateness) },
	trace.MisbehavingClientConnected: (*Score).misbehavingConnected,
	trace.MisbehavingClientAnswered:  (*Score).misbehavingAnswered,
	trace.SchedulerStarted:           (*Score).schedulerStarted,
	trace.SchedulerReady:             (*Score).schedulerSeen,
	trace.SchedulerTerminated:        (*Score).schedulerTerminated,
	trace.SchedulerKilled:            (*Score).schedulerKilled,
	trace.SchedulerFrozen:            (*Score).schedulerFrozen,
	trace.SchedulerResumed:           (*Score).schedulerResumed,
	trace.SchedulerReloaded:          (*Score).schedulerReloaded,
	trace.SchedulerReplaced:          (*Score).schedulerSeen,
	trace.SchedulerExited:            (*Score).schedulerExited,
	trace.ResourceUsage:              (*Score).resourceUsage,
}

// Observe counts an event. It implements trace.Observer and does not keep the event.
func (s *Score) Observe(event *trace.Event) {
	s.now = max(s.now, event.At)
	if int(event.Kind) >= len(handlers) {
		return
	}
	if handle := handlers[event.Kind]; handle != nil {
		handle(s, event)
	}
}

// occupancyTime returns the current time, but at most the end of the time in which occupancy is measured.
func (s *Score) occupancyTime() time.Duration {
	if s.length > 0 {
		return min(s.now, s.length)
	}
	return s.now
}
