package logic

import (
	"math/rand/v2"
	"time"
)

// Dispatcher decides for one instance; see Step.
type Dispatcher struct {
	set                   Settings
	rng                   *rand.Rand
	src                   *rand.PCG     // under rng: all of its state
	now, born             time.Duration // born: the first step
	dst                   []Action
	jobs                  map[uint64]*job
	workers               map[uint64]*worker
	order                 []*worker // map order decides nothing
	tick                  alarm     // of the upkeep
	roll                  roll      // the held jobs
	groups                []int     // by class: the first that may go to the same workers
	alarms                pile[*alarm]
	shelf                 shelf         // the workers that may have room
	touched               []*worker     // to be put in their place there before the next choice
	aside                 []*job        // that fit nowhere, in this step
	armed                 time.Duration // when the caller's timer is due; 0: none
	sizeLog               [][4]float64  // correction to sizes, by class and slots
	tail                  []float64     // by class: how far jobs have lately outrun what was expected
	weights               []float64     // of the logistic model: a bias per class, then hint and slots
	cutLog                float64       // log of the run time past which a job is long
	muShort, meanWorth    float64
	meanCost, arrivals    float64            // work times slots of the mean job
	keyWork               map[uint64]float64 // by key: the work that its last run showed
	keysAway              int                // keys known too, whose work a snapshot left out
	fullLeft              []time.Duration    // by class: the time that a first try leaves
	spread                float64            // mean distance, in logs, of run times from what was expected
	startBest             time.Duration      // least delay of any start notice: the way there and back
	kinds                 map[int]*kind
	best                  float64         // log speed of the fastest ready worker
	used                  float64         // our slots in use at all workers
	unstarted             lateness        // attempts that are out and have not started
	scout                 time.Duration   // when the last attempt was sent; 0: it has started
	waiting               float64         // those that are late, as of this step
	lateStart             time.Duration   // mean delay of late starts
	busy                  map[int]float64 // by zone: how likely a worker has no free slot
	kept                  *worker         // takes nothing but keptFor, a large job
	keptFor               *job
	trialAt               time.Duration // no suspect is tried before
	mistrust, mistrustAll bool          // most workers look bad; every worker looks broken
	copies, probes        float64       // budgets
	trials                float64       // jobs that may go though they are thought to miss their aim
	quota                 []float64
	quotaAt               []time.Duration
	asked, follows        bool
	askAt, askWait        time.Duration
	probeBest             time.Duration            // least delay of any answer to a probe
	wokeAt, wokeLate      time.Duration            // when this process was last late itself, and by how much
	idleMost              time.Duration            // links idle longer are closed first
	idleNews              idleNews                 // how attempts on links idle for so long fared of late
	idleAt                time.Duration            // when idleMost was set
	banned                map[uint64]time.Duration // workers taken out by hand, and since when
	barred                bool                     // all that are listed are
	shared                Shared                   // in place of the settings'; Of 0: not told
}

// job is a request that is owed a final answer, or whose attempts are still out.
type job struct {
	Job
	class                  *Class
	need                   float64 // slots, or memory where that is more
	arrived, deadline, aim time.Duration
	score, work            float64 // chance of running long; expected seconds at speed 1
	draw                   float64 // above 0 and up to 1, for the lots of cold workers; 0: not drawn yet
	spare, late            bool    // cannot earn in full any more: goes after those that can; its aim is past reach
	passed                 bool    // it was out when its aim was looked at, and is not looked at again
	closed, stream, aged   bool    // aged: it has an entry in the pile by arrival
	index, shape           int     // in the heap of held jobs of its shape, or -1
	ends, past, answered   alarm   // at its deadline; its aim; when workers asked for it should have answered
	attempts               []*attempt
	promote                time.Duration // when it counts as held over tau
	out, passes            int           // attempts outstanding; releases that looked at others first for its sake
	askUntil               time.Duration // workers asked for it answer until then
}

// attempt is one sending of a job.
type attempt struct {
	job            *job
	number         int
	worker         *worker
	zone, cell     int // of the worker when sent
	sent, start    time.Duration
	told           time.Duration // when it last told of itself
	started, ended bool
	void           bool          // its worker was taken out and came back: it takes no slots there any more
	limited        bool          // room was what limited us
	idle           time.Duration // how long its connection had been idle; 0: a new one
	result         Result
	expect         time.Duration // expected run on this worker
	due            alarm         // when it should have started, or ended
}

// worker is what is known of one worker.
type worker struct {
	Worker
	listed           bool
	up               bool // ready by the list; Ready besides asks that it is not banned
	used, room       float64
	speed            float64 // log of speed against a standard core
	pace             float64 // speed itself
	seen             float64 // runs learned from
	heard, learned   time.Duration
	worked           time.Duration // last sign that it gets on with work
	cut              time.Duration // last halving: older attempts are the same piece of news
	rest, restUntil  time.Duration // after late starts with a room of one
	badUntil, pause  time.Duration
	streak, breaks   int           // failures in a row; broken connections in a row
	lost             bool          // its connections broke, and it has not answered since
	back             time.Duration // when it answered again
	free, running    float64       // slots by the last report and since; slots of ours that have started
	reported, probed time.Duration
	probing, broken  bool    // broken: suspected on more than late starts
	tooBig           float64 // refused a job of this size while idle; 0: none
	out              []*attempt
	freed            time.Duration // when it was brought back by hand, and sent nothing since; 0: never
	voids            int           // attempts out that take no slots any more
	ledger           []spend
	lot, lots        float64       // of the draws those from lot on, so many; none: it is not cold
	links            int           // connections that we have open
	ended            time.Duration // when an attempt last ended
	wake             alarm         // when it may have room again by itself, or is warm
	kin              *kind
	lane             *lane // where it is on the shelf; nil: it is not
	row, spot, place int   // there, and in the order
	touched          bool
}

// spend is work sent to a cold worker.
type spend struct {
	at   time.Duration
	work float64
}

// kind is what is known of one kind of machine: log speed, runs it was learnt from, slots seen, and late starts
// where one more was tried.
type kind struct {
	speed, seen, slots float64
	over               int
}

// alarm is a look that the dispatcher has promised itself. Each is part of what it is about, and set once at a time.
type alarm struct {
	at      time.Duration
	index   int // in the heap and one more; 0: not set
	what    look
	job     *job
	attempt *attempt
	worker  *worker
}

// look is what an alarm is for.
type look int

const (
	heldJobs look = iota // nothing but the look at held jobs that ends each step
	upkeep
	deadline
	aimPast
	overlate
	woken
)
