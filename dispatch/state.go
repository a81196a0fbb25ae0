package dispatch

import (
	"math/rand/v2"
	"time"
)

// Dispatcher decides for one instance; see Step.
type Dispatcher struct {
	settings                      Settings
	rng                           *rand.Rand
	source                        *rand.PCG     // under rng: all of its state
	now, bornAt                   time.Duration // born: the first step
	actions                       []Action
	jobs                          map[uint64]*jobInfo
	workers                       map[uint64]*workerInfo
	workerList                    []*workerInfo // map order decides nothing
	maintenance                   timer         // of the upkeep
	queue                         jobQueue      // the held jobs
	placementGroups               []int         // by class: the first that may go to the same workers
	timers                        minHeap[*timer]
	available                     workerIndex   // the workers that may have room
	dirty                         []*workerInfo // to be put in their place there before the next choice
	deferred                      []*jobInfo    // that fit nowhere, in this step
	timerAt                       time.Duration // when the caller's timer is due; 0: none
	sizeCorrection                [][4]float64  // correction to sizes, by class and slots
	overrunFactor                 []float64     // by class: how far jobs have lately outrun what was expected
	weights                       []float64     // of the logistic model: a bias per class, then hint and slots
	longCut                       float64       // log of the run time past which a job is long
	muShort, meanWeight           float64
	meanCost, arrivals            float64            // work times slots of the mean job
	keyWork                       map[uint64]float64 // by key: the work that its last run showed
	keysOmitted                   int                // keys known too, whose work a snapshot left out
	fullTimeout                   []time.Duration    // by class: the time that a first try leaves
	spread                        float64            // mean distance, in logs, of run times from what was expected
	minStartDelay                 time.Duration      // least delay of any start notice: the way there and back
	kinds                         map[int]*machineInfo
	topSpeed                      float64         // log speed of the fastest ready worker
	usedSlots                     float64         // our slots in use at all workers
	unstarted                     startTracker    // attempts that are out and have not started
	pilotSentAt                   time.Duration   // when the last attempt was sent; 0: it has started
	lateCount                     float64         // those that are late, as of this step
	meanLateStart                 time.Duration   // mean delay of late starts
	zoneBusy                      map[int]float64 // by zone: how likely a worker has no free slot
	reserved                      *workerInfo     // takes nothing but keptFor, a large job
	reservedFor                   *jobInfo
	nextTrialAt                   time.Duration // no suspect is tried before
	mostSuspect, allBroken        bool          // most workers look bad; every worker looks broken
	hedgeTokens, checkTokens      float64       // budgets
	trialTokens                   float64       // jobs that may go though they are thought to miss their aim
	quotaTokens                   []float64
	quotaRefilledAt               []time.Duration
	subscribing, subscribed       bool
	subscribeAt, subscribeBackoff time.Duration
	minCheckDelay                 time.Duration            // least delay of any answer to a probe
	stalledAt, stallLength        time.Duration            // when this process was last late itself, and by how much
	maxIdle                       time.Duration            // links idle longer are closed first
	idleOutcomes                  idleHistory              // how attempts on links idle for so long fared of late
	maxIdleSetAt                  time.Duration            // when idleMost was set
	cordoned                      map[uint64]time.Duration // workers taken out by hand, and since when
	allCordoned                   bool                     // all that are listed are
	sharing                       ReplicasChanged          // in place of the settings'; Of 0: not told
}

// jobInfo is a request that is owed a final answer, or whose attempts are still out.
type jobInfo struct {
	Job
	class                                      *Class
	demand                                     float64 // slots, or memory where that is more
	arrivedAt, deadline, objectiveAt           time.Duration
	longChance, work                           float64 // chance of running long; expected seconds at speed 1
	warmUpDraw                                 float64 // above 0 and up to 1, for the lots of cold workers; 0: not drawn yet
	demoted, unreachable                       bool    // cannot earn in full any more: goes after those that can; its aim is past reach
	recheckOnEnd                               bool    // it was out when its aim was looked at, and is not looked at again
	closed, streaming, inPromotions            bool    // aged: it has an entry in the pile by arrival
	heapIndex, shape                           int     // in the heap of held jobs of its shape, or -1
	deadlineTimer, objectiveTimer, checksTimer timer   // at its deadline; its aim; when workers asked for it should have answered
	attempts                                   []*attemptInfo
	promoteAt                                  time.Duration // when it counts as held over tau
	inFlight, deferrals                        int           // attempts outstanding; releases that looked at others first for its sake
	checksUntil                                time.Duration // workers asked for it answer until then
}

// attemptInfo is one sending of a job.
type attemptInfo struct {
	job               *jobInfo
	number            int
	worker            *workerInfo
	zone, cell        int // of the worker when sent
	sentAt, startedAt time.Duration
	progressAt        time.Duration // when it last told of itself
	started, ended    bool
	orphaned          bool          // its worker was taken out and came back: it takes no slots there any more
	limitBound        bool          // room was what limited us
	connIdle          time.Duration // how long its connection had been idle; 0: a new one
	result            Result
	expectedRun       time.Duration // expected run on this worker
	timer             timer         // when it should have started, or ended
}

// workerInfo is what is known of one worker.
type workerInfo struct {
	Worker
	listed                     bool
	listedReady                bool // ready by the list; Ready besides asks that it is not banned
	usedSlots, limit           float64
	logSpeed                   float64 // log of speed against a standard core
	speed                      float64 // speed itself
	runs                       float64 // runs learned from
	heardAt, learnedAt         time.Duration
	progressAt                 time.Duration // last sign that it gets on with work
	decreasedAt                time.Duration // last halving: older attempts are the same piece of news
	backoff, backoffUntil      time.Duration // after late starts with a room of one
	ejectedUntil, ejectionTime time.Duration
	failures, connFailures     int           // failures in a row; broken connections in a row
	connLost                   bool          // its connections broke, and it has not answered since
	returnedAt                 time.Duration // when it answered again
	freeSlots, runningSlots    float64       // slots by the last report and since; slots of ours that have started
	reportedAt, checkedAt      time.Duration
	checking, broken           bool    // broken: suspected on more than late starts
	rejectedDemand             float64 // refused a job of this size while idle; 0: none
	inFlight                   []*attemptInfo
	uncordonedAt               time.Duration // when it was brought back by hand, and sent nothing since; 0: never
	orphans                    int           // attempts out that take no slots any more
	warmUpSpends               []spend
	lotStart, lotWidth         float64       // of the draws those from lot on, so many; none: it is not cold
	connections                int           // connections that we have open
	lastEndAt                  time.Duration // when an attempt last ended
	timer                      timer         // when it may have room again by itself, or is warm
	machine                    *machineInfo
	bucket                     *bucket // where it is on the shelf; nil: it is not
	row, slot, position        int     // there, and in the order
	dirty                      bool
}

// spend is work sent to a cold worker.
type spend struct {
	at   time.Duration
	work float64
}

// machineInfo is what is known of one kind of machine: log speed, runs it was learnt from, slots seen, and late starts
// where one more was tried.
type machineInfo struct {
	logSpeed, runs, maxSlots float64
	lateOverflows            int
}

// timer is a look that the dispatcher has promised itself. Each is part of what it is about, and set once at a time.
type timer struct {
	at        time.Duration
	heapIndex int // in the heap and one more; 0: not set
	purpose   timerPurpose
	job       *jobInfo
	attempt   *attemptInfo
	worker    *workerInfo
}

// timerPurpose is what an alarm is for.
type timerPurpose int

const (
	reviewQueue timerPurpose = iota // nothing but the look at held jobs that ends each step
	runMaintenance
	jobDeadline
	jobObjective
	attemptOverdue
	workerAvailable
)
