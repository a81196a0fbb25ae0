package judge

import (
	"math"
	"time"

	"valvecove/internal/lab/scenario"
)

// class is a class of jobs, as far as rules go.
type class struct {
	name    string
	safe    bool
	keyed   bool
	unsafe  bool
	group   string // of keyed ones
	window  time.Duration
	aim     time.Duration
	stretch float64
	mean    time.Duration // of its work
}

// job is what a client wants, with all that is known of it.
type job struct {
	id       uint64
	class    *class
	tenant   int
	slots    float64
	work     time.Duration
	at       time.Duration
	deadline time.Duration
	tries    []try
	attempts []attempt
	log      []entry
	missing  int // entries that the log had no room for
	broken   uint32
	breaches []int // in Judge.found
	settled  bool
}

// newJobs makes room for jobs, each with what most of them need.
func newJobs() []*job {
	type room struct {
		job
		tries    [1]try
		attempts [1]attempt
		log      [14]entry
	}
	const many = 32
	rooms, jobs := make([]room, many), make([]*job, many)
	for i := range rooms {
		r := &rooms[i]
		r.job.tries, r.job.attempts, r.job.log = r.tries[:0], r.attempts[:0], r.log[:0]
		jobs[i] = &r.job
	}
	return jobs
}

// try is one query of a client.
type try struct {
	call    string
	key     string
	text    string        // of its last answer
	at      time.Duration // asked
	due     time.Duration // its budget is over
	over    time.Duration // answered or ended, as its client saw it
	nothing time.Duration // when the scheduler knew that no further attempt is allowed; 0: one is
	unread  time.Duration // until then an attempt was out that no worker node had read
	sched   int
	process int // of the scheduler
	sent    int // attempts that have reached a worker node
	answers int
	status  int
	state   tryState
	first   bool // on its connection
	again   bool // it was sent a second time, on another connection
}

type tryState uint8

const (
	open tryState = iota
	answered
	lost
	left // by its client
	gaveUp
)

// attempt is one sending of a query, from when it has reached a worker node.
type attempt struct {
	result   string
	first    time.Duration // its first byte was written
	ended    time.Duration // 0: it has not
	try      int
	node     int
	unrun    bool // and that proves that it never ran
	done     bool // by a result
	begun    bool
	accepted bool
	told     time.Duration // the scheduler has heard of its end, or gave it up itself; 0: not that anybody knows
}

// mayHaveRun tells whether at t nothing proved that it had not.
func (a *attempt) mayHaveRun(t time.Duration) bool { return !a.unrun || a.ended > t }

// out tells whether at t it had neither ended nor been given up.
func (a *attempt) out(t time.Duration) bool { return a.ended == 0 || a.ended > t }

func (a *attempt) end(at time.Duration) {
	if a.ended == 0 {
		a.ended = at
	}
}

func (a *attempt) tell(at time.Duration) {
	if a.told == 0 {
		a.told = at
	}
}

func (b *job) try(call string) (*try, int) {
	for i := len(b.tries) - 1; i >= 0; i-- {
		if b.tries[i].call == call {
			return &b.tries[i], i
		}
	}
	return nil, -1
}

// attempt finds what a sight at a worker node is about. Of two that are out there one is turned away, the last that
// came; all else is about the first. Where none is out it is the last.
func (b *job) attempt(try, node int, last bool) *attempt {
	var found *attempt
	for i := range b.attempts {
		a := &b.attempts[i]
		if a.try != try || a.node != node {
			continue
		}
		if a.ended == 0 && !last {
			return a
		}
		found = a
	}
	return found
}

// out tells whether an attempt of its is.
func (b *job) out() bool {
	for i := range b.attempts {
		if b.attempts[i].ended == 0 {
			return true
		}
	}
	return false
}

// sched is a scheduler, and what became of its processes.
type sched struct {
	process int
	up      bool
	ends    []ending // by process
	term    time.Duration
	frozen  []span                // the last one lasts as long as its end is open
	drained map[int]time.Duration // by worker node: told so
	breach  bool                  // of its limits, by this process
}

// ending is how a process ended.
type ending struct {
	at     time.Duration // 0: it runs
	term   time.Duration // SIGTERM; 0: none
	killed bool
}

// met tells whether it was frozen at any time from a to b.
func (s *sched) met(a, b time.Duration) bool { return len(s.frozen) > 0 && meet(s.frozen, a, b) }

// wake ends a freeze, if there is one.
func (s *sched) wake(at time.Duration) {
	if n := len(s.frozen); n > 0 && s.frozen[n-1].to == ever {
		s.frozen[n-1].to = at
	}
}

// ever is the end of what has none.
const ever = time.Duration(math.MaxInt64)

// span is a part of the play.
type span struct{ from, to time.Duration }

// meet tells whether one of the spans has a part of the time from a to b.
func meet(list []span, a, b time.Duration) bool {
	for _, s := range list {
		if s.from <= b && a <= s.to {
			return true
		}
	}
	return false
}

// badClient is one that is owed an error or a close.
type badClient struct {
	at   time.Duration
	kind string
	over bool // it had one
}

// overlap is a suspicion: two attempts of a job are out at once.
type overlap struct {
	job         *job
	rule        rule
	early, late int
	sched, node int           // the way by which the early one would have been given up
	open        time.Duration // when that proved open; 0: not yet
}

// remember keeps a settled job for a while.
type remember struct {
	job   *job
	id    uint64 // by which a reused one is told
	until time.Duration
}

// shelf is a queue of settled jobs, the oldest first, that uses its room again.
type shelf struct {
	ring       []remember
	head, size int
}

func (f *shelf) add(r remember) {
	if f.size == len(f.ring) {
		ring := make([]remember, max(64, 2*len(f.ring)))
		for i := range f.size {
			ring[i] = f.ring[(f.head+i)%len(f.ring)]
		}
		f.ring, f.head = ring, 0
	}
	f.ring[(f.head+f.size)%len(f.ring)] = r
	f.size++
}

func (f *shelf) first() *remember { return &f.ring[f.head] }

func (f *shelf) drop() {
	f.head = (f.head + 1) % len(f.ring)
	f.size--
}

// classes are the scenario's classes.
func classes(spec *scenario.Scenario) []class {
	list := make([]class, len(spec.Classes))
	for i := range spec.Classes {
		c := &spec.Classes[i]
		list[i] = class{
			name: c.Name, safe: c.Effect == "safe", keyed: c.Effect == "keyed", unsafe: c.Effect == "unsafe",
			group: c.Group, window: c.Window.D(), aim: c.Aim.D(), stretch: c.Stretch, mean: c.Work.D(),
		}
	}
	return list
}

// retention is how long a settled job is remembered that must not run again: what is sent again after the longest
// window is still known.
func retention(spec *scenario.Scenario) time.Duration {
	longest := 5 * time.Second
	for i := range spec.Classes {
		longest = max(longest, spec.Classes[i].Window.D())
	}
	return longest
}

// racks are the cells and zones of the scenario's worker nodes, by node. Nodes are dealt out to zones in turn, and
// cells are filled zone by zone, apart from those in which a zone ends and the next begins.
func racks(spec *scenario.Scenario) (cells, zones []int) {
	n, size, many := spec.Fleet.Nodes, max(1, spec.Fleet.CellSize), max(1, len(spec.Fleet.Zones))
	cells, zones = make([]int, n), make([]int, n)
	place := 0
	for z := range many {
		for i := z; i < n; i += many {
			cells[i], zones[i] = place/size, z
			place++
		}
	}
	return cells, zones
}
