package dispatch

import (
	"math/rand/v2"
	"time"
)

// Dispatcher decides for one instance; see Step. It is for one goroutine.
type Dispatcher struct {
	settings Settings
	sharing  ReplicasChanged // in place of the settings' figures; Replicas 0: not notified
	rng      *rand.Rand
	source   *rand.PCG     // of rng: all of its state
	now      time.Duration // of this step
	bornAt   time.Duration // the first step
	actions  []Action      // of this step

	timers      timerQueue
	maintenance timer
	stalledAt   time.Duration // when this process last noticed that it had been stalled
	stallLength time.Duration

	jobs         map[uint64]*jobInfo
	queue        jobQueue
	quotas       tenantQuotas
	objectives   objectives
	arrivals     arrivalStatistics
	workload     workloadModel
	subscription endpointSubscription
	hedges       tokenBucket // one token for each hedged request, or less by its work
	checks       tokenBucket // one token for each health check

	leases *leaseExchange

	workers     map[uint64]*workerInfo
	workerList  []*workerInfo // all workers: the order of the map decides nothing
	available   workerIndex   // those that may have capacity
	rings       preferenceRings
	dirty       []*workerInfo // to be reindexed before the next choice
	reserved    *workerInfo   // takes nothing but reservedFor, a large job
	reservedFor *jobInfo
	nextTrialAt time.Duration            // no ejected worker is tried before
	mostEjected bool                     // most ready workers are
	allBroken   bool                     // all ready workers are
	cordoned    map[uint64]time.Duration // by worker: since when
	allCordoned bool                     // all listed workers are

	usedSlots     float64         // ours, at all workers
	unstarted     startTracker    // attempts in flight that have not started
	lateCount     float64         // those that are late, as of this step
	pilotSentAt   time.Duration   // when the last attempt was sent; 0: it has started
	meanLateStart time.Duration   // mean delay of late starts
	zoneBusy      map[int]float64 // by zone: the chance that a worker has no free slot
	minStartDelay time.Duration   // least delay of any start notification: the way there and back
	minCheckDelay time.Duration   // least delay of any answer to a health check
	maxIdle       time.Duration   // connections idle for longer are closed first; 0: none
	maxIdleSetAt  time.Duration   // when that was set
	idleOutcomes  idleHistory     // how attempts on idle connections have fared
}

// attemptInfo is one attempt of a job.
type attemptInfo struct {
	job         *jobInfo
	number      int
	worker      *workerInfo
	zone, cell  int // of the worker when it was sent
	sentAt      time.Duration
	startedAt   time.Duration
	progressAt  time.Duration // last notification
	started     bool
	ended       bool
	orphaned    bool          // its worker's process is gone: it takes no slots there any more
	limitBound  bool          // the concurrency limit was what bound the worker when it was sent
	connIdle    time.Duration // how long its connection had been idle; 0: a new one
	result      Result
	lease       *leaseInfo    // nil: none
	expectedRun time.Duration // on this worker
	timer       timer         // when it should have started, or ended
}

// workerInfo is what is known of one worker.
type workerInfo struct {
	Worker
	listed      bool
	listedReady bool // by the list; Ready is false for cordoned ones too
	position    int  // in workerList
	dirty       bool // it is to be reindexed
	bucket      *bucket
	level, slot int   // in the bucket, if any
	preference  int   // place in the order in which equals are preferred, the least first
	onRing      bool  // it is among the rings' workers
	timer       timer // when it may have capacity again by itself, or is warm

	usedSlots      float64 // ours, of attempts in flight
	runningSlots   float64 // ours, of attempts that have started
	limit          float64 // our concurrency limit
	decreasedAt    time.Duration
	rejectedDemand float64 // it has rejected a job of this size while idle; 0: none
	inFlight       []*attemptInfo
	orphans        int // attempts in flight whose process is gone
	connections    int // ours
	lastEndAt      time.Duration
	freeSlots      float64 // by the last load report, and what has ended since
	reportedAt     time.Duration
	machine        *machineInfo
	logSpeed       float64 // against a standard core
	speed          float64 // the same without the log
	runs           float64 // that it was learnt from
	learnedAt      time.Duration

	aliveAt      time.Duration // last sign of life
	progressAt   time.Duration // last sign that it gets on with work
	backoff      time.Duration
	backoffUntil time.Duration
	ejectionTime time.Duration // 0: it is not suspect
	ejectedUntil time.Duration
	broken       bool          // suspected on more than silence
	failures     int           // in a row
	connFailures int           // in a row
	connLost     bool          // its connections broke, and it has not answered since
	returnedAt   time.Duration // when it answered again: it counts as started then
	uncordonedAt time.Duration // and it has been sent nothing since; 0: never
	checking     bool
	checkedAt    time.Duration
	warmUpSpends []spend
	lotStart     float64 // draws from here on
	lotWidth     float64 // and so far are its; 0: it does not warm up
}

// spend is work sent to a warming worker.
type spend struct {
	at   time.Duration
	work float64
}

// machineInfo is what is known of one kind of machine.
type machineInfo struct {
	logSpeed      float64 // of its workers, against a standard core
	runs          float64 // that it was learnt from
	maxSlots      float64 // the most seen free or running on one
	lateOverflows int     // late starts with as many running
}
