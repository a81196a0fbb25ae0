package score

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the one bucket that each job ends in.
type Outcome int

// Outcomes.
const (
	InTime     Outcome = iota // served within its aim
	Late                      // served after it
	Refused                   // its last answer was 429 or 503
	Failed                    // its last answer was another
	Unanswered                // its client's time was up
	Lost                      // its last connection ended without an answer
	Left                      // its client went away of its own accord
	outcomes
)

// OutcomeNames are the names of the outcomes, in order.
var OutcomeNames = [outcomes]string{"in time", "late", "refused", "failed", "unanswered", "lost", "left"}

const (
	repeated   = iota // another run had given the answer
	tooLate           // its client's time was up
	clientLeft        // its client had gone
	unused            // its client was refused, told of a failure, or cut off
	errored           // it ended with an error
	killed            // it died on the way
	wastes
)

// Result is the figures of a play. Shares are from 0 to 1, work is in seconds at speed 1 times slots, instants are in
// seconds since the play's start, latencies in milliseconds. Series have a value for each second.
type Result struct {
	Name     string  `json:"name"`
	About    string  `json:"about,omitempty"`
	Driver   string  `json:"driver,omitempty"`
	Seed     uint64  `json:"seed"`
	Length   float64 `json:"length_s"` // jobs fell due for so long
	End      float64 `json:"end_s"`    // the last sight
	Capacity float64 `json:"capacity"` // of the warm fleet, work a second, as its kinds are described

	Worth    Worth         `json:"worth"`
	Whole    Group         `json:"whole"`
	Classes  []Group       `json:"classes"`
	Tenants  []Group       `json:"tenants"`
	Effort   Effort        `json:"effort"`
	Waste    Waste         `json:"waste"`
	Fleet    Occupancy     `json:"occupancy"`
	Seconds  Seconds       `json:"seconds"`
	Procs    []Process     `json:"schedulers"`
	Faults   []Fault       `json:"faults"`
	Marks    []Mark        `json:"marks"`
	Unlisted int           `json:"faults_and_marks_left_out,omitempty"`
	Troubles []Disturbance `json:"disturbances"`
	Recovery Recovery      `json:"recovery"`
	Bad      []BadFigures  `json:"bad_clients"`
	Lateness Lateness      `json:"lab_lateness"`
}

// Worth is the worth answered in time over the worth asked for.
type Worth struct {
	Asked       float64 `json:"asked"`
	Earned      float64 `json:"earned"`
	Whole       float64 `json:"whole"`
	Worst10     float64 `json:"worst_10s"`
	Worst10At   float64 `json:"worst_10s_at"` // where that window begins
	WorstClass  Named   `json:"worst_class"`
	WorstTenant Named   `json:"worst_tenant"` // within its share
	Mix         float64 `json:"mix"`          // 0.40 Whole + 0.15 Worst10 + 0.20 WorstClass + 0.25 WorstTenant
}

// Named is a figure of a class or a tenant.
type Named struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Group is all jobs, or those of a class or a tenant. Due is the sum of Outcomes and Open.
type Group struct {
	Name         string        `json:"name"`
	Asked        float64       `json:"worth_asked"`
	Earned       float64       `json:"worth_earned"`
	Share        float64       `json:"in_time"`            // Earned over Asked
	AskedWithin  float64       `json:"worth_asked_within"` // of jobs within their tenant's share
	EarnedWithin float64       `json:"worth_earned_within"`
	Within       float64       `json:"in_time_within"` // EarnedWithin over AskedWithin
	Due          int           `json:"due"`
	Open         int           `json:"open"` // not settled when the play ended
	Outcomes     [outcomes]int `json:"outcomes"`
	Shares       OutcomeShares `json:"shares"`
	Attempts     float64       `json:"attempts"` // for each settled job, of those that reached a worker node
	Latency      Latency       `json:"latency"`  // of those served, from when they were due
	of           *hdrhistogram.Histogram
}

// OutcomeShares are shares of the jobs due.
type OutcomeShares struct {
	Served     float64 `json:"served"` // in time or late
	InTime     float64 `json:"in_time"`
	Refused    float64 `json:"refused"`
	Failed     float64 `json:"failed"`
	Unanswered float64 `json:"unanswered"`
	Lost       float64 `json:"lost"`
	Left       float64 `json:"left"`
}

// Latency is in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// Effort is what was done to serve, counted at clients and worker nodes.
type Effort struct {
	Tries        int     `json:"tries"`
	Retries      int     `json:"retries"`         // tries after a job's first
	Unreached    int     `json:"tries_unreached"` // found no scheduler; not among Tries
	Resent       int     `json:"resent"`          // the same query once more on a new connection
	Served       int     `json:"tries_served"`    // answers, by tries
	Refused      int     `json:"tries_refused"`   // by schedulers
	Failed       int     `json:"tries_failed"`
	Attempts     int     `json:"attempts"` // that reached worker nodes
	PerJob       float64 `json:"attempts_per_job"`
	MostAttempts int     `json:"attempts_most"` // of one job, over all its tries
	SecondCopies int     `json:"second_copies"` // while an earlier one of the query had neither ended nor been given up
	Accepted     int     `json:"accepted"`
	Turned       int     `json:"turned_away"` // by worker nodes
	Full         int     `json:"full"`        // of these, 503 and 504
	Returned     int     `json:"returned"`    // handed back unstarted
	Withdrawn    int     `json:"withdrawn"`
	Dropped      int     `json:"repeats_dropped"` // by a cell that knew the key
	Notes        int     `json:"notes"`
	NotesLost    int     `json:"notes_lost"`
	Probes       int     `json:"probes"`
	Links        int     `json:"links"`          // connections opened to worker nodes
	Falls        int     `json:"pushed_over"`    // cold worker nodes
	Strays       int     `json:"strays"`         // sights of attempts whose query is not known, or was over for long
	Unknown      int     `json:"unknown"`        // sights of jobs or queries that are not open
	AfterAim     float64 `json:"work_after_aim"` // of jobs served late; no waste
	WorkAsked    float64 `json:"work_asked"`     // once for each job
	WorkRun      float64 `json:"work_run"`       // by worker nodes
	WorkUseful   float64 `json:"work_useful"`    // a served try's answer came of it
	WorkPending  float64 `json:"work_pending"`   // done for tries that were open when the play ended
}

// Waste is work run that served nobody. What died on the way counts for as long as it ran, at most its work.
type Waste struct {
	Share    float64 `json:"share"` // of the work asked for
	Work     float64 `json:"work"`
	Repeated float64 `json:"repeated"`    // another run had given the answer
	TooLate  float64 `json:"too_late"`    // its client's time was up
	Left     float64 `json:"client_left"` // its client had gone
	Unused   float64 `json:"unused"`      // its client was refused, told of a failure or cut off all the same
	Errors   float64 `json:"errors"`      // it ended with an error
	Killed   float64 `json:"killed"`      // it died on the way
}

// Occupancy is slots x time in use over slots x time up, as long as jobs fell due.
type Occupancy struct {
	Whole       float64     `json:"whole"`
	Mean        float64     `json:"mean"` // over the worker nodes that were up for a second or more
	Busiest     float64     `json:"busiest"`
	BusiestNode int         `json:"busiest_node"`
	OverMean    float64     `json:"busiest_over_mean"`
	Nodes       []NodeUse   `json:"nodes"`
	CellSpan    float64     `json:"strip_cell_s"`
	Strip       []StripLine `json:"strip"` // to the end of the play
}

// NodeUse is a worker node's.
type NodeUse struct {
	Node     int     `json:"node"`
	Use      float64 `json:"use"`
	Up       float64 `json:"up"` // share of the time
	Slots    float64 `json:"slots"`
	Attempts int     `json:"attempts"`
	Full     int     `json:"full,omitempty"`
	Falls    int     `json:"pushed_over,omitempty"`
}

// StripLine is the occupancy of worker nodes First to Last over time; -1: none of them was up.
type StripLine struct {
	First int    `json:"first"`
	Last  int    `json:"last"`
	Use   Series `json:"use"`
}

// Seconds are the series of a play. Those that say "due" count a job when it was due, the others when it happened.
type Seconds struct {
	AskedJobs   Series        `json:"due_jobs"`
	Asked       Series        `json:"due_worth"`
	Earned      Series        `json:"due_worth_earned"`
	Goodput     Series        `json:"goodput_worth"`
	GoodputJobs Series        `json:"goodput_jobs"`
	Served      Series        `json:"served_jobs"`
	Refused     Series        `json:"refused_tries"`
	Attempts    Series        `json:"attempts"`
	InFlight    Series        `json:"in_flight"` // jobs due and not settled, mean over the second
	Occupancy   Series        `json:"occupancy"`
	NodesUp     Series        `json:"nodes_up"`
	P50         Series        `json:"p50_ms"` // of answers in time or late; 0: none
	P99         Series        `json:"p99_ms"`
	Slowest     Series        `json:"max_ms"`
	Classes     []ClassSeries `json:"classes"`
}

// ClassSeries are those of a class.
type ClassSeries struct {
	Name        string `json:"name"`
	AskedJobs   Series `json:"due_jobs"`
	Asked       Series `json:"due_worth"`
	Earned      Series `json:"due_worth_earned"`
	Goodput     Series `json:"goodput_worth"`
	GoodputJobs Series `json:"goodput_jobs"`
	Refused     Series `json:"refused_tries"`
	InFlight    Series `json:"in_flight"`
}

// Fault is one of the timeline, as it was played.
type Fault struct {
	Text string  `json:"text"`
	On   float64 `json:"on"`
	Off  float64 `json:"off"` // -1: it did not end
}

// Mark is something that befell a scheduler or a worker node.
type Mark struct {
	At   float64 `json:"at"`
	Text string  `json:"text"`
}

// BadFigures are of the bad clients of a kind.
type BadFigures struct {
	Kind      string  `json:"kind"`
	Connected int     `json:"connected"`
	Errors    int     `json:"errors"` // were answered 4xx or 5xx
	Closed    int     `json:"closed"`
	Served    int     `json:"served"` // were answered otherwise
	Open      int     `json:"open"`   // neither, when the play ended
	LongestMs float64 `json:"longest_ms"`
}

// Lateness is the lab's own.
type Lateness struct {
	Count int64   `json:"count"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// Series is a figure second by second. As JSON it is written to six digits.
type Series []float64

// MarshalJSON writes a list of numbers.
func (s Series) MarshalJSON() ([]byte, error) {
	b := append(make([]byte, 0, 2+8*len(s)), '[')
	for i, x := range s {
		if i > 0 {
			b = append(b, ',')
		}
		if math.IsNaN(x) || math.IsInf(x, 0) {
			b = append(b, "null"...)
			continue
		}
		b = strconv.AppendFloat(b, x, 'g', 6, 64)
	}
	return append(b, ']'), nil
}

// Sum is the sum of the figures.
func (s Series) Sum() float64 {
	sum := 0.0
	for _, x := range s {
		sum += x
	}
	return sum
}

// Max is the greatest of them, 0 at least.
func (s Series) Max() float64 {
	most := 0.0
	for _, x := range s {
		most = max(most, x)
	}
	return most
}

// spot is the latency of a second's answers.
type spot struct{ p50, p99, max float64 }

func newSpot(h *hdrhistogram.Histogram) spot {
	return spot{millis(h.ValueAtQuantile(50)), millis(h.ValueAtQuantile(99)), millis(h.Max())}
}

func name(i int) string { return "w-" + strconv.Itoa(i) }

// Result takes stock. The play may go on; what is open counts as open.
func (s *Score) Result() *Result {
	r := &Result{
		Name: s.spec.Name, About: s.spec.About, Driver: s.opt.Driver, Seed: s.opt.Seed,
		Length: s.length.Seconds(), End: s.now.Seconds(), Capacity: s.spec.Capacity(),
		Faults: slices.Clone(s.faults), Marks: slices.Clone(s.marks), Unlisted: s.dropped,
	}
	if r.Length == 0 {
		r.Length = r.End
	}
	r.Classes = make([]Group, len(s.classes))
	for i := range s.classes {
		r.Classes[i] = s.classes[i].result(s.spec.Classes[i].Name)
	}
	r.Tenants = make([]Group, len(s.spec.Tenants))
	for i := range r.Tenants {
		r.Tenants[i] = s.tenants[i].result(s.spec.Tenants[i].Name)
	}
	r.Whole = s.whole(r.Classes)
	r.Seconds = s.seconds()
	r.Worth = r.worth()
	r.Effort, r.Waste = s.efforts()
	r.Fleet = s.occupancy()
	r.Procs = s.processes()
	r.Troubles = disturbances(r.Faults, r.Seconds.Asked, r.Seconds.Earned, r.Length)
	r.Recovery = recovery(r.Troubles)
	r.Bad = slices.Clone(s.bad)
	for i := range r.Bad {
		b := &r.Bad[i]
		b.Open = b.Connected - b.Errors - b.Closed - b.Served
	}
	r.Lateness = Lateness{s.late.TotalCount(), millis(s.late.ValueAtQuantile(99.9)), millis(s.late.Max())}
	return r
}

func (g *group) result(name string) Group {
	out := Group{
		Name: name, Asked: g.worth.asked, Earned: g.worth.earned, Due: g.due, Outcomes: g.outcomes,
		Latency: latency(g.hist), AskedWithin: g.within.asked, EarnedWithin: g.within.earned, of: g.hist,
	}
	out.finish(g.attempts)
	return out
}

func (g *Group) finish(attempts int) {
	settled := 0
	for _, n := range g.Outcomes {
		settled += n
	}
	g.Open = g.Due - settled
	g.Share, g.Within = share(g.Earned, g.Asked), share(g.EarnedWithin, g.AskedWithin)
	of := func(n int) float64 { return share(float64(n), float64(g.Due)) }
	o := &g.Outcomes
	g.Shares = OutcomeShares{
		of(o[InTime] + o[Late]), of(o[InTime]), of(o[Refused]), of(o[Failed]), of(o[Unanswered]),
		of(o[Lost]), of(o[Left]),
	}
	g.Attempts = share(float64(attempts), float64(settled))
}

func (s *Score) whole(classes []Group) Group {
	all := Group{Name: "all"}
	hist, attempts := newHistogram(fine), 0
	for i := range classes {
		c := &classes[i]
		all.Asked += c.Asked
		all.Earned += c.Earned
		all.AskedWithin += c.AskedWithin
		all.EarnedWithin += c.EarnedWithin
		all.Due += c.Due
		for k, n := range c.Outcomes {
			all.Outcomes[k] += n
		}
		hist.Merge(c.of)
		attempts += s.classes[i].attempts
	}
	all.Latency = latency(hist)
	all.finish(attempts)
	return all
}

// The shares of the mix.
const (
	ofWhole, ofWorst10, ofWorstClass, ofWorstTenant = 0.40, 0.15, 0.20, 0.25
	worstWindow                                     = 10 // seconds
)

func (r *Result) worth() Worth {
	w := Worth{Asked: r.Whole.Asked, Earned: r.Whole.Earned, Whole: r.Whole.Share}
	w.Worst10, w.Worst10At = worstOf(r.Seconds.Asked, r.Seconds.Earned, int(math.Ceil(r.Length)))
	w.WorstClass = worstGroup(r.Classes, w.Whole, func(g *Group) (float64, float64) { return g.Asked, g.Share })
	w.WorstTenant = worstGroup(r.Tenants, w.Whole, func(g *Group) (float64, float64) { return g.AskedWithin, g.Within })
	w.Mix = ofWhole*w.Whole + ofWorst10*w.Worst10 + ofWorstClass*w.WorstClass.Value + ofWorstTenant*w.WorstTenant.Value
	return w
}

// worstOf finds the window of 10 s, from whole second to whole second, of whose worth the least was earned. A play
// that is shorter is one window; a window in which nothing was asked for is none.
func worstOf(asked, earned Series, length int) (least, at float64) {
	least = 1
	length = min(length, len(asked))
	found := false
	for from := 0; from == 0 || from+worstWindow <= length; from++ {
		to := min(from+worstWindow, length)
		if a := asked[from:to].Sum(); a > 0 {
			if x := share(earned[from:to].Sum(), a); !found || x < least {
				least, at, found = x, float64(from), true
			}
		}
	}
	if !found {
		return 0, 0
	}
	return least, at
}

// worstGroup is the worst of those that asked for something; without any, the whole stands in.
func worstGroup(groups []Group, whole float64, of func(*Group) (asked, share float64)) Named {
	worst := Named{Value: whole}
	for i := range groups {
		if asked, x := of(&groups[i]); asked > 0 && (worst.Name == "" || x < worst.Value) {
			worst = Named{groups[i].Name, x}
		}
	}
	return worst
}

func (s *Score) seconds() Seconds {
	n := second(s.now) + 1
	if s.now > 0 && s.now%time.Second == 0 && n > 1 {
		n-- // nothing of the next has passed
	}
	for i := range s.classes { // a job may be booked at the very end
		n = max(n, len(s.classes[i].bins))
	}
	series := func() Series { return make(Series, n) }
	out := Seconds{
		AskedJobs: series(), Asked: series(), Earned: series(), Goodput: series(), GoodputJobs: series(),
		Served: series(), Refused: series(), Attempts: series(), InFlight: series(), P50: series(), P99: series(),
		Slowest: series(), Classes: make([]ClassSeries, len(s.classes)),
	}
	for i := range s.classes {
		g := &s.classes[i]
		c := ClassSeries{
			Name: s.spec.Classes[i].Name, AskedJobs: series(), Asked: series(), Earned: series(),
			Goodput: series(), GoodputJobs: series(), Refused: series(), InFlight: series(),
		}
		for k := range g.bins {
			b := &g.bins[k]
			c.AskedJobs[k], c.Asked[k], c.Earned[k] = float64(b.due), b.asked, b.earned
			c.Goodput[k], c.GoodputJobs[k], c.Refused[k] = b.good, float64(b.inTime), float64(b.refused)
			out.Served[k] += float64(b.served)
			out.Attempts[k] += float64(b.attempts)
		}
		g.flight.until(s.now)
		copy(c.InFlight, g.flight.means())
		for k := range n {
			out.AskedJobs[k] += c.AskedJobs[k]
			out.Asked[k] += c.Asked[k]
			out.Earned[k] += c.Earned[k]
			out.Goodput[k] += c.Goodput[k]
			out.GoodputJobs[k] += c.GoodputJobs[k]
			out.Refused[k] += c.Refused[k]
			out.InFlight[k] += c.InFlight[k]
		}
		out.Classes[i] = c
	}
	put := func(k int, p spot) { out.P50[k], out.P99[k], out.Slowest[k] = p.p50, p.p99, p.max }
	for k, p := range s.latency {
		put(k, p)
	}
	if s.second.TotalCount() > 0 {
		put(s.secondAt, newSpot(s.second))
	}
	s.upCurve.until(s.now)
	out.NodesUp = append(s.upCurve.means(), series()...)[:n]
	out.Occupancy = append(s.fleet.series(s.now, 0), series()...)[:n]
	return out
}

// series is the occupancy bin by bin, and none where nothing was up.
func (r *row) series(now time.Duration, none float64) Series {
	r.use.until(now)
	r.up.until(now)
	out := make(Series, len(r.up.sums))
	for i, up := range r.up.sums {
		if out[i] = none; up > 1e-9 {
			out[i] = share(r.use.sums[i], up)
		}
	}
	return out
}

func (s *Score) efforts() (Effort, Waste) {
	e := s.effort.Effort
	e.Served, e.Refused, e.Failed = s.answered[0], s.answered[1], s.answered[2]
	e.PerJob = share(float64(e.Attempts), float64(s.due))
	e.WorkAsked, e.WorkRun, e.WorkUseful = s.effort.asked, s.effort.ran, s.effort.useful
	w := &s.effort.wasted
	out := Waste{
		Repeated: w[repeated], TooLate: w[tooLate], Left: w[clientLeft], Unused: w[unused], Errors: w[errored],
		Killed: w[killed],
	}
	for _, work := range w {
		out.Work += work
	}
	out.Share = share(out.Work, s.effort.asked)
	if e.WorkPending = e.WorkRun - e.WorkUseful - out.Work; e.WorkPending < 1e-9*e.WorkRun {
		e.WorkPending = 0 // what the order of sums leaves over
	}
	return e, out
}

func (s *Score) occupancy() Occupancy {
	out := Occupancy{Nodes: make([]NodeUse, 0, len(s.nodes)), CellSpan: s.rows[0].up.bin.Seconds()}
	var use, up, sum float64
	counted, within := 0, s.within()
	for i := range s.nodes {
		n := &s.nodes[i]
		if !n.known {
			continue
		}
		n.use.until(within)
		n.upTime.until(within)
		use += n.use.sum
		up += n.upTime.sum
		line := NodeUse{
			Node: i, Use: share(n.use.sum, n.upTime.sum), Slots: n.slots, Attempts: n.attempts, Full: n.full,
			Falls: n.falls, Up: share(n.upTime.sum, n.slots*within.Seconds()),
		}
		out.Nodes = append(out.Nodes, line)
		if n.upTime.sum >= n.slots {
			counted++
			sum += line.Use
			if line.Use > out.Busiest || counted == 1 {
				out.Busiest, out.BusiestNode = line.Use, i
			}
		}
	}
	out.Whole, out.Mean = share(use, up), share(sum, float64(counted))
	out.OverMean = share(out.Busiest, out.Mean)
	out.Strip = make([]StripLine, len(s.rows))
	for i := range out.Strip {
		out.Strip[i] = StripLine{First: -1, Use: s.rows[i].series(s.now, -1)}
	}
	for i := range max(len(s.nodes), s.spec.Fleet.Nodes) {
		line := &out.Strip[s.rowOf(i)]
		if line.First < 0 {
			line.First = i
		}
		line.Last = i
	}
	return out
}

// Tally is how a play stands: cheap to take, while it runs.
type Tally struct {
	At       time.Duration
	Due      int
	InTime   int
	Settled  int
	Refused  int // tries
	InFlight int
	NodesUp  int
	Nodes    int
	Faults   []string // that are on
}

// Tally takes one. It keeps the room of t.Faults.
func (s *Score) Tally(t *Tally) {
	*t = Tally{
		At: s.now, Due: s.due, InTime: s.inTime, Settled: s.settled, Refused: s.answered[refusedTry-servedTry],
		InFlight: len(s.jobs), NodesUp: s.nodesUp, Nodes: max(len(s.nodes), s.spec.Fleet.Nodes), Faults: t.Faults[:0],
	}
	for i := range s.faults {
		if s.faults[i].Off < 0 {
			t.Faults = append(t.Faults, s.faults[i].Text)
		}
	}
}
