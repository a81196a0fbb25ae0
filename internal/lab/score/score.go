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

	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
)

// Options is what a score is told beside the scenario.
type Options struct {
	Seed   uint64
	Driver string // scenario.Virtual or scenario.Live
	Rows   int    // of the occupancy strip; default 200
}

// Score takes in the sights of one play. It is used by one goroutine.
type Score struct {
	spec   *scenario.Scenario
	opt    Options
	length time.Duration // occupancy counts until then; 0: to the end
	now    time.Duration

	jobs      map[uint64]*job
	calls     map[string]*call
	closed    queue // calls that are over, until their late attempts can no longer come
	idleJobs  *job
	idleCalls *call
	idleRuns  *attempt

	classes, tenants []group
	second           *hdrhistogram.Histogram // latency of the answers of this second
	secondAt         int
	latency          []spot // of the seconds before

	nodes    []node
	rows     []row
	fleet    row // by the second
	nodesUp  int
	upCurve  curve
	procs    []process
	lab      process
	faults   []Fault
	dropped  int // faults and marks for which there was no room
	marks    []Mark
	late     *hdrhistogram.Histogram
	effort   effort
	bad      []BadFigures
	badOpen  map[uint64]badConn
	due      int
	settled  int
	inTime   int
	answered [3]int // tries answered: served, refused, failed
}

// job is a job that is not settled.
type job struct {
	id       uint64
	due      time.Duration
	aim      time.Duration
	worth    float64
	work     float64 // s at speed 1, over all slots
	slots    float64
	class    int
	tenant   int
	over     bool
	tries    int
	attempts int
	last     ending // of its last try
	wasted   int    // runs of its tries that seemed to have served nobody
	why      int    // of the last of these: one of the wastes
	next     *job   // among the idle
}

// ending says how a try ended for its client.
type ending uint8

const (
	openTry ending = iota
	servedTry
	refusedTry
	failedTry
	lostTry
	leftTry
	gaveUpTry
)

// call is a client's query, until none of its attempts can come up any more.
type call struct {
	id     string
	job    *job // that with jobID, or else it is settled
	jobID  uint64
	class  int
	work   float64
	slots  float64
	end    ending
	runs   int      // finished well while the client still waits
	reruns int      // attempts that a cell dropped as repeats of an earlier run
	first  *attempt // those that are not over, oldest first
	queued bool
	over   time.Duration
	next   *call // among the idle
}

// attempt is one that reached a worker node and has not ended there.
type attempt struct {
	call       *call
	node       int
	begun      bool
	repeat     bool // the cell knows its key: it does no work
	withdrawn  bool
	began      time.Duration
	next       *attempt // of its call; among the idle
	prev, then *attempt // of its node
}

type node struct {
	known    bool
	up       bool
	slots    float64
	use      meter
	upTime   meter
	first    *attempt
	attempts int
	full     int
	falls    int
}

// row is the occupancy of some worker nodes over time.
type row struct{ use, up curve }

type group struct {
	worth, within worth
	outcomes      [outcomes]int
	due           int
	attempts      int
	hist          *hdrhistogram.Histogram
	bins          []bin
	flight        curve
}

type worth struct{ asked, earned float64 }

// bin is a second of a class.
type bin struct {
	asked, earned float64 // by the second in which jobs were due
	good          float64 // by the second of the answer
	due           int32
	inTime        int32 // by the second of the answer, as the rest
	served        int32
	refused       int32 // tries
	attempts      int32
}

type effort struct {
	Effort
	asked, ran, useful float64
	wasted             [wastes]float64
}

type badConn struct {
	kind int
	at   time.Duration
}

// How long a call that is over is still known, and how many such there are at most: an attempt that a scheduler sent
// just before reaches its worker node after, and one that a cut of the network held up much later.
const (
	linger     = 30 * time.Second
	mostLinger = 1 << 14
)

const (
	mostFaults = 10_000
	mostMarks  = 1_000
	mostBad    = 100_000 // open connections of bad clients
)

// New returns a score of a play of a checked scenario.
func New(spec *scenario.Scenario, opt Options) *Score {
	if opt.Rows <= 0 {
		opt.Rows = 200
	}
	s := &Score{
		spec: spec, opt: opt, length: spec.Length.D(),
		jobs: map[uint64]*job{}, calls: map[string]*call{}, badOpen: map[uint64]badConn{},
		second: newHistogram(coarse), late: newHistogram(fine),
		classes: make([]group, len(spec.Classes)), tenants: make([]group, max(1, len(spec.Tenants))),
		procs: make([]process, spec.Schedulers.Count),
	}
	whole := spec.Length.D() + spec.Settle.D()
	seconds := second(whole) + 2
	for i := range s.classes {
		s.classes[i] = group{hist: newHistogram(fine), bins: make([]bin, 0, seconds), flight: newCurve(time.Second, seconds)}
	}
	for i := range s.tenants {
		s.tenants[i].hist = newHistogram(fine)
	}
	s.latency = make([]spot, 0, seconds)
	s.upCurve = newCurve(time.Second, seconds)
	s.fleet = row{use: newCurve(time.Second, seconds), up: newCurve(time.Second, seconds)}
	s.rows = make([]row, min(opt.Rows, max(1, spec.Fleet.Nodes)))
	cell := (whole/(600*time.Second) + 1) * time.Second
	for i := range s.rows {
		s.rows[i] = row{use: newCurve(cell, int(whole/cell)+2), up: newCurve(cell, int(whole/cell)+2)}
	}
	s.nodes = make([]node, spec.Fleet.Nodes)
	return s
}

func newCurve(width time.Duration, bins int) curve {
	return curve{bin: width, sums: make([]float64, 0, bins)}
}

// Watch takes in a sight. It is a seen.Watcher.
func (s *Score) Watch(x *seen.Sight) {
	s.now = max(s.now, x.At)
	switch x.What {
	case seen.Due:
		s.fellDue(x)
	case seen.Asked:
		s.asked(x)
	case seen.Answered:
		end := failedTry
		switch x.Status {
		case 200:
			end = servedTry
		case 429, 503:
			end = refusedTry
		}
		s.ended(x, end)
	case seen.Lost:
		s.ended(x, lostTry)
	case seen.Left:
		s.ended(x, leftTry)
	case seen.GaveUp:
		s.ended(x, gaveUpTry)
	case seen.Unreached:
		s.effort.Unreached++
		if j := s.jobs[x.Job]; j != nil {
			j.last = gaveUpTry
		}
	case seen.Settled:
		s.settle(x)
	case seen.Reached:
		s.reached(x)
	case seen.Rejected:
		s.effort.Turned++
		if x.Status == 503 || x.Status == 504 {
			s.effort.Full++
			s.node(x.Node).full++
		}
		s.stop(x, "")
	case seen.Began:
		s.began(x)
	case seen.Finished:
		s.stop(x, "done")
	case seen.Returned:
		s.effort.Returned++
		s.stop(x, "")
	case seen.Died:
		s.stop(x, "died")
	case seen.Withdrawn:
		s.effort.Withdrawn++
		if a := s.attempt(x, false); a != nil {
			a.withdrawn = true
		}
	case seen.Accepted:
		s.effort.Accepted++
	case seen.Noted:
		s.effort.Notes++
	case seen.NoteLost:
		s.effort.NotesLost++
	case seen.Probed:
		s.effort.Probes++
	case seen.Linked:
		s.effort.Links++
	case seen.Fell:
		s.node(x.Node).falls++
		s.effort.Falls++
		s.mark("worker node " + name(x.Node) + " pushed over")
	case seen.NodeUp:
		s.nodeUp(x)
	case seen.NodeDown:
		s.nodeDown(x)
	case seen.FaultOn:
		s.faultOn(x.Text)
	case seen.FaultOff:
		s.faultOff(x.Text)
	case seen.Late:
		record(s.late, x.Span)
	case seen.OddBegan:
		s.oddBegan(x)
	case seen.OddEnded:
		s.oddEnded(x)
	case seen.SchedUp, seen.SchedReady, seen.SchedTerm, seen.SchedKill, seen.SchedFroze, seen.SchedWoke, seen.SchedHup, seen.SchedReplace,
		seen.SchedExit, seen.Usage:
		s.processed(x)
	}
}

// Jobs and queries, at clients.

func (s *Score) fellDue(x *seen.Sight) {
	if s.jobs[x.Job] != nil { // a job is due once
		s.effort.Unknown++
		return
	}
	j := s.idleJobs
	if j == nil {
		j = &job{}
	} else {
		s.idleJobs = j.next
	}
	c := &s.spec.Classes[x.Class]
	*j = job{
		id: x.Job, due: x.At, aim: x.Aim, work: x.Work * x.Slots, slots: x.Slots, class: x.Class, tenant: x.Tenant,
		over: x.Over,
	}
	j.worth = c.Worth * j.work
	if j.over {
		j.worth *= s.spec.Load.OverWorth
	}
	s.jobs[x.Job] = j
	s.due++
	s.effort.asked += j.work

	of, by := &s.classes[x.Class], s.tenant(x.Tenant)
	of.due++
	of.worth.asked += j.worth
	of.flight.add(s.now, 1)
	by.due++
	by.worth.asked += j.worth
	if !j.over {
		of.within.asked += j.worth
		by.within.asked += j.worth
	}
	b := of.bin(s.now)
	b.due++
	b.asked += j.worth
}

func (s *Score) tenant(i int) *group { return &s.tenants[i] }

func (g *group) bin(at time.Duration) *bin {
	i := second(at)
	g.bins = grown(g.bins, i)
	return &g.bins[i]
}

func (s *Score) asked(x *seen.Sight) {
	j := s.jobs[x.Job]
	if c := s.calls[x.Call]; c != nil { // once more on a new connection, as the first closed between requests
		s.effort.Resent++
		if c.end == lostTry && j != nil {
			c.end, j.last = openTry, openTry
		}
		return
	}
	if j == nil {
		s.effort.Unknown++
		return
	}
	j.tries++
	j.last = openTry
	s.effort.Tries++
	if j.tries > 1 {
		s.effort.Retries++
	}
	s.process(x.Sched).tries++
	c := s.idleCalls
	if c == nil {
		c = &call{}
	} else {
		s.idleCalls = c.next
	}
	*c = call{id: x.Call, job: j, jobID: j.id, class: j.class, work: j.work, slots: j.slots}
	s.calls[x.Call] = c
}

// ended is told how a try ended for its client.
func (s *Score) ended(x *seen.Sight, how ending) {
	c := s.calls[x.Call]
	if c == nil || c.end != openTry {
		s.effort.Unknown++
		return
	}
	c.end = how
	if how <= failedTry {
		s.answered[how-servedTry]++
	}
	if how == refusedTry {
		s.classes[c.class].bin(s.now).refused++
	}
	j := c.open()
	if j != nil {
		j.last = how
	}
	n := c.runs
	switch {
	case how != servedTry:
	case n > 0:
		s.effort.useful += c.work
		n--
	case c.reruns > 0 && j != nil && j.wasted > 0: // the result is that of an earlier try's run
		j.wasted--
		s.effort.useful += c.work
		s.effort.wasted[j.why] -= c.work
	}
	s.waste(c, n)
	s.shelve(c)
}

// open is the query's job, or nil if that is settled.
func (c *call) open() *job {
	if c.job != nil && c.job.id == c.jobID {
		return c.job
	}
	return nil
}

func (s *Score) settle(x *seen.Sight) {
	j := s.jobs[x.Job]
	if j == nil {
		s.effort.Unknown++
		return
	}
	delete(s.jobs, x.Job)
	s.settled++
	of, by := &s.classes[j.class], s.tenant(j.tenant)
	took := s.now - j.due
	out := outcomeOf(j, x.Status, took)
	of.outcomes[out]++
	by.outcomes[out]++
	of.attempts += j.attempts
	by.attempts += j.attempts
	s.effort.MostAttempts = max(s.effort.MostAttempts, j.attempts)
	of.flight.add(s.now, -1)
	if out <= Late {
		b := of.bin(s.now)
		b.served++
		record(of.hist, took)
		record(by.hist, took)
		s.roll()
		record(s.second, took)
		if out == InTime {
			s.inTime++
			of.worth.earned += j.worth
			by.worth.earned += j.worth
			if !j.over {
				of.within.earned += j.worth
				by.within.earned += j.worth
			}
			b.inTime++
			b.good += j.worth
			of.bin(j.due).earned += j.worth
		} else {
			s.effort.AfterAim += j.work
		}
	}
	*j = job{next: s.idleJobs}
	s.idleJobs = j
}

// outcomeOf is the one bucket that a settled job is in. A last answer decides; without one, how its last try ended.
func outcomeOf(j *job, status int, took time.Duration) Outcome {
	switch {
	case status == 200 && took <= j.aim:
		return InTime
	case status == 200:
		return Late
	case j.last == lostTry:
		return Lost
	case j.last == leftTry:
		return Left
	case j.last == gaveUpTry || status == 0 && j.last == openTry:
		return Unanswered
	case j.last == refusedTry || status == 429 || status == 503:
		return Refused
	}
	return Failed
}

// roll closes the seconds before this one.
func (s *Score) roll() {
	now := second(s.now)
	if now == s.secondAt {
		return
	}
	if s.second.TotalCount() > 0 {
		s.latency = grown(s.latency, s.secondAt)
		s.latency[s.secondAt] = newSpot(s.second)
		s.second.Reset()
	}
	s.secondAt = now
}

// Attempts, at worker nodes.

// attempt finds one of a query at a worker node: one that runs, or one that does not.
func (s *Score) attempt(x *seen.Sight, begun bool) *attempt {
	c := s.calls[x.Call]
	if c == nil {
		return nil
	}
	for a := c.first; a != nil; a = a.next {
		if a.node == x.Node && a.begun == begun {
			return a
		}
	}
	return nil
}

func (s *Score) reached(x *seen.Sight) {
	s.effort.Attempts++
	n := s.node(x.Node)
	n.attempts++
	s.process(x.Sched).attempts++
	c := s.calls[x.Call]
	if c == nil {
		s.effort.Strays++
		return
	}
	s.classes[c.class].bin(s.now).attempts++
	if j := c.open(); j != nil {
		j.attempts++
	}
	for a := c.first; a != nil; a = a.next {
		if !a.withdrawn {
			s.effort.SecondCopies++
			break
		}
	}
	s.put(c, x.Node)
}

func (s *Score) put(c *call, at int) *attempt {
	a := s.idleRuns
	if a == nil {
		a = &attempt{}
	} else {
		s.idleRuns = a.next
	}
	*a = attempt{call: c, node: at}
	end := &c.first
	for *end != nil {
		end = &(*end).next
	}
	*end = a
	n := s.node(at)
	if a.then = n.first; a.then != nil {
		a.then.prev = a
	}
	n.first = a
	return a
}

func (s *Score) began(x *seen.Sight) {
	a := s.attempt(x, false)
	if a == nil {
		c := s.calls[x.Call]
		if c == nil {
			s.effort.Strays++
			return
		}
		a = s.put(c, x.Node)
	}
	a.begun, a.began, a.repeat = true, s.now, x.Text == "repeat"
	if a.repeat { // it takes no slot
		a.call.reruns++
		s.effort.Dropped++
		return
	}
	s.occupy(a.node, a.call.slots)
}

func (s *Score) occupy(at int, slots float64) {
	s.node(at).use.add(s.within(), slots)
	s.row(at).use.add(s.now, slots)
	s.fleet.use.add(s.now, slots)
}

// within is the present, as far as occupancy counts.
func (s *Score) within() time.Duration {
	if s.length > 0 {
		return min(s.now, s.length)
	}
	return s.now
}

// stop takes in the end of an attempt at its worker node: "done", "died", or "" where it did not run.
func (s *Score) stop(x *seen.Sight, how string) {
	a := s.attempt(x, how == "done")
	if a == nil {
		a = s.attempt(x, how != "done")
	}
	if a == nil {
		if how == "done" {
			s.effort.Strays++
		}
		return
	}
	s.end(a, how, how == "done" && x.Status != 200 && x.Status != 0)
}

func (s *Score) end(a *attempt, how string, failed bool) {
	c := a.call
	if a.begun && !a.repeat {
		s.occupy(a.node, -c.slots)
		switch {
		case how == "died":
			part := min(c.work, (s.now-a.began).Seconds()*c.slots)
			s.effort.ran += part
			s.effort.wasted[killed] += part
		case how == "done" && failed:
			s.effort.ran += c.work
			s.effort.wasted[errored] += c.work
		case how == "done":
			s.effort.ran += c.work
			if c.end == openTry {
				c.runs++
			} else {
				s.waste(c, 1)
			}
		}
	}
	for at := &c.first; *at != nil; at = &(*at).next {
		if *at == a {
			*at = a.next
			break
		}
	}
	if a.then != nil {
		a.then.prev = a.prev
	}
	if a.prev != nil {
		a.prev.then = a.then
	} else {
		s.node(a.node).first = a.then
	}
	*a = attempt{next: s.idleRuns}
	s.idleRuns = a
	s.shelve(c)
}

// waste books n finished runs of a query, whose end is known, that served nobody.
func (s *Score) waste(c *call, n int) {
	if n == 0 {
		return
	}
	why := unused
	switch c.end {
	case servedTry:
		why = repeated
	case gaveUpTry:
		why = tooLate
	case leftTry:
		why = clientLeft
	}
	s.effort.wasted[why] += float64(n) * c.work
	if j := c.open(); j != nil && why != repeated {
		j.wasted, j.why = j.wasted+n, why
	}
}

// shelve puts a query that is over, and has no attempt that is not, among those to be forgotten.
func (s *Score) shelve(c *call) {
	if c.end == openTry || c.first != nil || c.queued {
		return
	}
	c.queued, c.over = true, s.now
	s.closed.push(c)
	for s.closed.len() > 0 && (s.now-s.closed.first().over > linger || s.closed.len() > mostLinger) {
		c := s.closed.pop()
		c.queued = false
		if c.first != nil || c.end == openTry { // an attempt has come after all, or it was sent again
			continue
		}
		delete(s.calls, c.id)
		*c = call{next: s.idleCalls}
		s.idleCalls = c
	}
}

// queue is a ring of queries.
type queue struct {
	ring []*call // its length is a power of two
	from int
	n    int
}

func (q *queue) len() int     { return q.n }
func (q *queue) first() *call { return q.ring[q.from] }

func (q *queue) push(c *call) {
	if q.n == len(q.ring) {
		ring := make([]*call, max(64, 2*q.n))
		for i := range q.n {
			ring[i] = q.ring[(q.from+i)&(q.n-1)]
		}
		q.ring, q.from = ring, 0
	}
	q.ring[(q.from+q.n)&(len(q.ring)-1)] = c
	q.n++
}

func (q *queue) pop() *call {
	c := q.ring[q.from]
	q.ring[q.from] = nil
	q.from = (q.from + 1) & (len(q.ring) - 1)
	q.n--
	return c
}

// Worker nodes.

// node is the line of a worker node. One that nobody saw start was there from the beginning.
func (s *Score) node(i int) *node {
	s.nodes = grown(s.nodes, i)
	n := &s.nodes[i]
	if !n.known {
		slots := s.usualSlots()
		s.nowUp(i, slots)
		n.upTime.sum = slots * s.within().Seconds()
		s.row(i).up.past(slots)
		s.fleet.up.past(slots)
		s.upCurve.past(1)
	}
	return n
}

// usualSlots is a worker node's slots where nobody tells: the mean of the kinds.
func (s *Score) usualSlots() float64 {
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

func (s *Score) row(i int) *row { return &s.rows[s.rowOf(i)] }

func (s *Score) rowOf(i int) int { return min(i*len(s.rows)/max(1, s.spec.Fleet.Nodes), len(s.rows)-1) }

// nowUp counts a worker node as up from now on.
func (s *Score) nowUp(i int, slots float64) {
	n := &s.nodes[i]
	n.known, n.up, n.slots = true, true, slots
	s.nodesUp++
	n.upTime.add(s.within(), slots)
	s.row(i).up.add(s.now, slots)
	s.fleet.up.add(s.now, slots)
	s.upCurve.add(s.now, 1)
}

func (s *Score) nodeUp(x *seen.Sight) {
	s.nodes = grown(s.nodes, x.Node)
	if n := &s.nodes[x.Node]; n.known && n.up {
		s.nodeDown(x)
	}
	slots := x.Slots
	if slots <= 0 {
		slots = s.usualSlots()
	}
	s.nowUp(x.Node, slots)
}

func (s *Score) nodeDown(x *seen.Sight) {
	n := s.node(x.Node)
	for n.first != nil {
		s.end(n.first, "died", false)
	}
	if !n.up {
		return
	}
	n.up = false
	s.nodesUp--
	n.upTime.add(s.within(), -n.slots)
	s.row(x.Node).up.add(s.now, -n.slots)
	s.fleet.up.add(s.now, -n.slots)
	s.upCurve.add(s.now, -1)
}

// Faults and bad clients.

func (s *Score) faultOn(text string) {
	if len(s.faults) == mostFaults {
		s.dropped++
		return
	}
	s.faults = append(s.faults, Fault{Text: text, On: s.now.Seconds(), Off: -1})
}

func (s *Score) faultOff(text string) {
	for i := range s.faults {
		if f := &s.faults[i]; f.Off < 0 && f.Text == text {
			f.Off = s.now.Seconds()
			return
		}
	}
}

func (s *Score) mark(text string) {
	if len(s.marks) == mostMarks {
		s.dropped++
		return
	}
	s.marks = append(s.marks, Mark{At: s.now.Seconds(), Text: text})
}

func (s *Score) oddBegan(x *seen.Sight) {
	kind := -1
	for i := range s.bad {
		if s.bad[i].Kind == x.Text {
			kind = i
		}
	}
	if kind < 0 {
		kind = len(s.bad)
		s.bad = append(s.bad, BadFigures{Kind: x.Text})
	}
	s.bad[kind].Connected++
	if len(s.badOpen) < mostBad {
		s.badOpen[x.Conn] = badConn{kind, s.now}
	}
}

func (s *Score) oddEnded(x *seen.Sight) {
	c, ok := s.badOpen[x.Conn]
	if !ok {
		return
	}
	delete(s.badOpen, x.Conn)
	b := &s.bad[c.kind]
	switch {
	case x.Status == 0:
		b.Closed++
	case x.Status >= 400:
		b.Errors++
	default:
		b.Served++
	}
	b.LongestMs = max(b.LongestMs, float64((s.now-c.at).Microseconds())/1000)
}
