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

	timers      minHeap[*timer]
	timerAt     time.Duration // when the caller's timer is due; 0: none
	maintenance timer

	jobs            map[uint64]*jobInfo
	queue           jobQueue
	placementGroups []int      // by class: the first that may go to the same workers
	skipped         []*jobInfo // of this pass: they fit nowhere
	quotaTokens     []float64  // by tenant
	quotaRefilledAt []time.Duration
	trialTokens     float64 // jobs that may go though thought out of reach

	directory   peerDirectory
	client      leaseClient
	coordinator slotCoordinator
	ownMessages []PeerMessage // to this dispatcher itself, not handled yet

	fleet           workerFleet
	cordons         cordons
	reservation     reservation
	starts          startMonitor
	outliers        outlierDetector
	stalls          stallDetector
	checks          healthChecker
	idleConnections connectionHistory

	subscription     subscription
	subscribeAt      time.Duration
	subscribeBackoff time.Duration

	hedgeTokens float64

	sizeCorrection [][slotBuckets]float64 // log, by class and slots
	overrunFactor  []float64              // by class: how far jobs have lately outrun what was expected; at least 1
	weights        []float64              // of the logistic model: a bias for each class, then hint and slots
	longCut        float64                // log of the work beyond which a job is long
	muShort        float64                // seconds: the paper's mean sojourn of short jobs
	meanWeight     float64                // priority weight of the mean job
	meanCost       float64                // work times slots of the mean job
	arrivals       float64
	keyWork        map[uint64]float64   // by key: the work that its last run showed
	keysOmitted    int                  // keys that count as known, whose work a snapshot omitted
	fullTimeout    []time.Duration      // by class: the time that a first try has remaining
	spread         float64              // mean log distance of runs from what was expected
	kinds          map[int]*machineInfo // by kind of machine
	topSpeed       float64              // log speed of the fastest ready worker
}

// subscription is the state of the watch on the list of workers.
type subscription int

const (
	unsubscribed subscription = iota
	subscribing               // requested, and not answered yet
	subscribed
)

// priorityLevel is what a job can still earn. Later ones are worth less.
type priorityLevel int

const (
	levelFull        priorityLevel = iota
	levelOverQuota                 // its tenant is over quota
	levelUnreachable               // no worker could meet its objective any more
)

// jobInfo is a job that is owed a final answer, or whose attempts are still in flight.
type jobInfo struct {
	Job
	class          *Class
	demand         float64 // slots, or memory where that is more
	work           float64 // expected seconds on a worker of speed 1
	longChance     float64 // of running long: the paper's score
	arrivedAt      time.Duration
	deadline       time.Duration
	objectiveAt    time.Duration // an answer until then earns in full
	promoteAt      time.Duration // when it is queued for longer than tau
	priority       priorityLevel
	recheckOnEnd   bool // it was in flight at its objective, and is looked at again when an attempt ends
	closed         bool // it has had its final answer
	streaming      bool // its response has begun
	inPromotions   bool // it has an entry in a shape's byPromotion
	heapIndex      int  // in byScore of its shape; -1: it is not queued
	demandClass    int
	leases         []*leaseInfo // that it waits for
	refused        []uint64     // workers whose slots were granted and can't be used
	withoutLease   bool         // it leaves without one
	skipCount      int          // passes over the queue that it was set back by
	attempts       []*attemptInfo
	inFlight       int           // attempts
	lotteryDraw    float64       // above 0 and up to 1, for the lottery of warming workers; 0: not drawn yet
	checksUntil    time.Duration // workers checked for it should have answered by then
	deadlineTimer  timer
	objectiveTimer timer
	checksTimer    timer
}

// isDeprioritized tells whether a job cannot earn in full any more: it leaves after those that can.
func (j *jobInfo) isDeprioritized() bool { return j.priority != levelFull }

// machineInfo is what is known of one kind of machine.
type machineInfo struct {
	logSpeed      float64 // of its workers, against a standard core
	runs          float64 // that it was learnt from
	maxSlots      float64 // the most seen free or running on one
	lateOverflows int     // late starts with as many running
}
