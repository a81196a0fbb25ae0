package score

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// JobOutcome is the one bucket that each job ends in.
type JobOutcome int

// Outcomes.
const (
	OutcomeInTime     JobOutcome = iota // served within its aim
	OutcomeLate                         // served after it
	OutcomeRejected                     // its last answer was 429 or 503
	OutcomeFailed                       // its last answer was another
	OutcomeUnanswered                   // its client's time was up
	OutcomeLost                         // its last connection ended without an answer
	OutcomeClientLeft                   // its client went away of its own accord
	outcomeCount
)

// OutcomeNames are the names of the outcomes, in order.
var OutcomeNames = [outcomeCount]string{"in time", "late", "refused", "failed", "unanswered", "lost", "left"}

const (
	wasteRepeated   = iota // another run had given the answer
	wasteTooLate           // its client's time was up
	wasteClientLeft        // its client had gone
	wasteUnused            // its client was refused, told of a failure, or cut off
	wasteErrors            // it ended with an error
	wasteKilled            // it died on the way
	wasteKinds
)

// Result is the figures of a play. Shares are from 0 to 1, work is in seconds at speed 1 times slots, instants are in
// seconds since the play's start, latencies in milliseconds. Series have a value for each second.
type Result struct {
	Name        string  `json:"name"`
	Description string  `json:"about,omitempty"`
	Driver      string  `json:"driver,omitempty"`
	Seed        uint64  `json:"seed"`
	Length      float64 `json:"length_s"` // jobs fell due for so long
	End         float64 `json:"end_s"`    // the last sight
	Capacity    float64 `json:"capacity"` // of the warm fleet, work a second, as its kinds are described

	Value        Value               `json:"worth"`
	Whole        Group               `json:"whole"`
	Classes      []Group             `json:"classes"`
	Tenants      []Group             `json:"tenants"`
	Effort       Effort              `json:"effort"`
	Waste        Waste               `json:"waste"`
	Fleet        Occupancy           `json:"occupancy"`
	Seconds      Seconds             `json:"seconds"`
	Processes    []Process           `json:"schedulers"`
	Faults       []Fault             `json:"faults"`
	Marks        []Mark              `json:"marks"`
	Omitted      int                 `json:"faults_and_marks_left_out,omitempty"`
	Disturbances []Disturbance       `json:"disturbances"`
	Recovery     Recovery            `json:"recovery"`
	Misbehaving  []MisbehavingCounts `json:"bad_clients"`
	Lateness     Lateness            `json:"lab_lateness"`
}

// Value is the worth answered in time over the worth asked for.
type Value struct {
	Requested   float64 `json:"asked"`
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
	Name                   string            `json:"name"`
	Requested              float64           `json:"worth_asked"`
	Earned                 float64           `json:"worth_earned"`
	EarnedShare            float64           `json:"in_time"`            // Earned over Asked
	RequestedWithinQuota   float64           `json:"worth_asked_within"` // of jobs within their tenant's share
	EarnedWithinQuota      float64           `json:"worth_earned_within"`
	EarnedShareWithinQuota float64           `json:"in_time_within"` // EarnedWithin over AskedWithin
	JobsDue                int               `json:"due"`
	Open                   int               `json:"open"` // not settled when the play ended
	Outcomes               [outcomeCount]int `json:"outcomes"`
	Shares                 OutcomeShares     `json:"shares"`
	Attempts               float64           `json:"attempts"` // for each settled job, of those that reached a worker node
	Latency                Latency           `json:"latency"`  // of those served, from when they were due
	histogram              *hdrhistogram.Histogram
}

// OutcomeShares are shares of the jobs due.
type OutcomeShares struct {
	Served     float64 `json:"served"` // in time or late
	InTime     float64 `json:"in_time"`
	Rejected   float64 `json:"refused"`
	Failed     float64 `json:"failed"`
	Unanswered float64 `json:"unanswered"`
	Lost       float64 `json:"lost"`
	ClientLeft float64 `json:"left"`
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
	Requests           int     `json:"tries"`
	Retries            int     `json:"retries"`         // tries after a job's first
	RequestsUnreached  int     `json:"tries_unreached"` // found no scheduler; not among Tries
	Resent             int     `json:"resent"`          // the same query once more on a new connection
	RequestsServed     int     `json:"tries_served"`    // answers, by tries
	RequestsRejected   int     `json:"tries_refused"`   // by schedulers
	RequestsFailed     int     `json:"tries_failed"`
	Attempts           int     `json:"attempts"` // that reached worker nodes
	PerJob             float64 `json:"attempts_per_job"`
	MaxAttempts        int     `json:"attempts_most"` // of one job, over all its tries
	Hedged             int     `json:"second_copies"` // while an earlier one of the query had neither ended nor been given up
	Accepted           int     `json:"accepted"`
	Rejected           int     `json:"turned_away"` // by worker nodes
	Full               int     `json:"full"`        // of these, 503 and 504
	Returned           int     `json:"returned"`    // handed back unstarted
	Cancelled          int     `json:"withdrawn"`
	DuplicatesDropped  int     `json:"repeats_dropped"` // by a cell that knew the key
	Callbacks          int     `json:"notes"`
	CallbacksLost      int     `json:"notes_lost"`
	HealthChecks       int     `json:"probes"`
	Connections        int     `json:"links"`          // connections opened to worker nodes
	Overloads          int     `json:"pushed_over"`    // cold worker nodes
	Duplicates         int     `json:"strays"`         // sights of attempts whose query is not known, or was over for long
	Unknown            int     `json:"unknown"`        // sights of jobs or queries that are not open
	WorkAfterObjective float64 `json:"work_after_aim"` // of jobs served late; no waste
	WorkRequested      float64 `json:"work_asked"`     // once for each job
	WorkRun            float64 `json:"work_run"`       // by worker nodes
	WorkUseful         float64 `json:"work_useful"`    // a served try's answer came of it
	WorkPending        float64 `json:"work_pending"`   // done for tries that were open when the play ended
}

// Waste is work run that served nobody. What died on the way counts for as long as it ran, at most its work.
type Waste struct {
	Share      float64 `json:"share"` // of the work asked for
	Work       float64 `json:"work"`
	Repeated   float64 `json:"repeated"`    // another run had given the answer
	TooLate    float64 `json:"too_late"`    // its client's time was up
	ClientLeft float64 `json:"client_left"` // its client had gone
	Unused     float64 `json:"unused"`      // its client was refused, told of a failure or cut off all the same
	Errors     float64 `json:"errors"`      // it ended with an error
	Killed     float64 `json:"killed"`      // it died on the way
}

// Occupancy is slots x time in use over slots x time up, as long as jobs fell due.
type Occupancy struct {
	Whole         float64     `json:"whole"`
	Mean          float64     `json:"mean"` // over the worker nodes that were up for a second or more
	Busiest       float64     `json:"busiest"`
	BusiestWorker int         `json:"busiest_node"`
	OverMean      float64     `json:"busiest_over_mean"`
	Workers       []WorkerUse `json:"nodes"`
	CellSeconds   float64     `json:"strip_cell_s"`
	Strip         []StripLine `json:"strip"` // to the end of the play
}

// WorkerUse is a worker node's.
type WorkerUse struct {
	Worker    int     `json:"node"`
	Use       float64 `json:"use"`
	Up        float64 `json:"up"` // share of the time
	Slots     float64 `json:"slots"`
	Attempts  int     `json:"attempts"`
	Full      int     `json:"full,omitempty"`
	Overloads int     `json:"pushed_over,omitempty"`
}

// StripLine is the occupancy of worker nodes First to Last over time; -1: none of them was up.
type StripLine struct {
	First int    `json:"first"`
	Last  int    `json:"last"`
	Use   Series `json:"use"`
}

// Seconds are the series of a play. Those that say "due" count a job when it was due, the others when it happened.
type Seconds struct {
	DueJobs        Series        `json:"due_jobs"`
	DueValue       Series        `json:"due_worth"`
	DueValueEarned Series        `json:"due_worth_earned"`
	GoodputValue   Series        `json:"goodput_worth"`
	GoodputJobs    Series        `json:"goodput_jobs"`
	Served         Series        `json:"served_jobs"`
	Rejected       Series        `json:"refused_tries"`
	Attempts       Series        `json:"attempts"`
	InFlight       Series        `json:"in_flight"` // jobs due and not settled, mean over the second
	Occupancy      Series        `json:"occupancy"`
	WorkersUp      Series        `json:"nodes_up"`
	P50            Series        `json:"p50_ms"` // of answers in time or late; 0: none
	P99            Series        `json:"p99_ms"`
	MaxLatency     Series        `json:"max_ms"`
	Classes        []ClassSeries `json:"classes"`
}

// ClassSeries are those of a class.
type ClassSeries struct {
	Name           string `json:"name"`
	DueJobs        Series `json:"due_jobs"`
	DueValue       Series `json:"due_worth"`
	DueValueEarned Series `json:"due_worth_earned"`
	GoodputValue   Series `json:"goodput_worth"`
	GoodputJobs    Series `json:"goodput_jobs"`
	Rejected       Series `json:"refused_tries"`
	InFlight       Series `json:"in_flight"`
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

// MisbehavingCounts are of the bad clients of a kind.
type MisbehavingCounts struct {
	Kind      string  `json:"kind"`
	Connected int     `json:"connected"`
	Errors    int     `json:"errors"` // were answered 4xx or 5xx
	Closed    int     `json:"closed"`
	Served    int     `json:"served"` // were answered otherwise
	Open      int     `json:"open"`   // neither, when the play ended
	MaxWaitMs float64 `json:"longest_ms"`
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

// latencyPoint is the latency of a second's answers.
type latencyPoint struct{ p50, p99, max float64 }

func newLatencyPoint(h *hdrhistogram.Histogram) latencyPoint {
	return latencyPoint{milliseconds(h.ValueAtQuantile(50)), milliseconds(h.ValueAtQuantile(99)), milliseconds(h.Max())}
}

func indexName(i int) string { return "w-" + strconv.Itoa(i) }

// Result takes stock. The play may go on; what is open counts as open.
func (s *Score) Result() *Result {
	result := &Result{
		Name: s.spec.Name, Description: s.spec.Description, Driver: s.options.Driver, Seed: s.options.Seed,
		Length: s.length.Seconds(), End: s.now.Seconds(), Capacity: s.spec.Capacity(),
		Faults: slices.Clone(s.faults), Marks: slices.Clone(s.marks), Omitted: s.omitted,
	}
	if result.Length == 0 {
		result.Length = result.End
	}
	result.Classes = make([]Group, len(s.classes))
	for i := range s.classes {
		result.Classes[i] = s.classes[i].result(s.spec.Classes[i].Name)
	}
	result.Tenants = make([]Group, len(s.spec.Tenants))
	for i := range result.Tenants {
		result.Tenants[i] = s.tenants[i].result(s.spec.Tenants[i].Name)
	}
	result.Whole = s.wholeGroup(result.Classes)
	result.Seconds = s.seconds()
	result.Value = result.valueFigures()
	result.Effort, result.Waste = s.effortAndWaste()
	result.Fleet = s.occupancy()
	result.Processes = s.processes()
	result.Disturbances = disturbances(result.Faults, result.Seconds.DueValue, result.Seconds.DueValueEarned, result.Length)
	result.Recovery = recovery(result.Disturbances)
	result.Misbehaving = slices.Clone(s.misbehaving)
	for i := range result.Misbehaving {
		b := &result.Misbehaving[i]
		b.Open = b.Connected - b.Errors - b.Closed - b.Served
	}
	result.Lateness = Lateness{s.lateness.TotalCount(), milliseconds(s.lateness.ValueAtQuantile(99.9)), milliseconds(s.lateness.Max())}
	return result
}

func (g *group) result(name string) Group {
	out := Group{
		Name: name, Requested: g.value.requested, Earned: g.value.earned, JobsDue: g.jobsDue, Outcomes: g.outcomes,
		Latency: latencyOf(g.histogram), RequestedWithinQuota: g.valueWithinQuota.requested, EarnedWithinQuota: g.valueWithinQuota.earned, histogram: g.histogram,
	}
	out.finish(g.attempts)
	return out
}

func (g *Group) finish(attempts int) {
	settled := 0
	for _, n := range g.Outcomes {
		settled += n
	}
	g.Open = g.JobsDue - settled
	g.EarnedShare, g.EarnedShareWithinQuota = share(g.Earned, g.Requested), share(g.EarnedWithinQuota, g.RequestedWithinQuota)
	of := func(n int) float64 { return share(float64(n), float64(g.JobsDue)) }
	o := &g.Outcomes
	g.Shares = OutcomeShares{
		of(o[OutcomeInTime] + o[OutcomeLate]), of(o[OutcomeInTime]), of(o[OutcomeRejected]), of(o[OutcomeFailed]), of(o[OutcomeUnanswered]),
		of(o[OutcomeLost]), of(o[OutcomeClientLeft]),
	}
	g.Attempts = share(float64(attempts), float64(settled))
}

func (s *Score) wholeGroup(classes []Group) Group {
	all := Group{Name: "all"}
	hist, attempts := newHistogram(latencyDigits), 0
	for i := range classes {
		c := &classes[i]
		all.Requested += c.Requested
		all.Earned += c.Earned
		all.RequestedWithinQuota += c.RequestedWithinQuota
		all.EarnedWithinQuota += c.EarnedWithinQuota
		all.JobsDue += c.JobsDue
		for k, n := range c.Outcomes {
			all.Outcomes[k] += n
		}
		hist.Merge(c.histogram)
		attempts += s.classes[i].attempts
	}
	all.Latency = latencyOf(hist)
	all.finish(attempts)
	return all
}

// The shares of the mix.
const (
	weightWhole, weightWorst10s, weightWorstClass, weightWorstTenant = 0.40, 0.15, 0.20, 0.25
	worstWindowSeconds                                               = 10 // seconds
)

func (r *Result) valueFigures() Value {
	w := Value{Requested: r.Whole.Requested, Earned: r.Whole.Earned, Whole: r.Whole.EarnedShare}
	w.Worst10, w.Worst10At = worstSpan(r.Seconds.DueValue, r.Seconds.DueValueEarned, int(math.Ceil(r.Length)))
	w.WorstClass = worstGroup(r.Classes, w.Whole, func(g *Group) (float64, float64) { return g.Requested, g.EarnedShare })
	w.WorstTenant = worstGroup(r.Tenants, w.Whole, func(g *Group) (float64, float64) { return g.RequestedWithinQuota, g.EarnedShareWithinQuota })
	w.Mix = weightWhole*w.Whole + weightWorst10s*w.Worst10 + weightWorstClass*w.WorstClass.Value + weightWorstTenant*w.WorstTenant.Value
	return w
}

// worstSpan finds the window of 10 s, from whole second to whole second, of whose worth the least was earned. A play
// that is shorter is one window; a window in which nothing was asked for is none.
func worstSpan(asked, earned Series, length int) (least, at float64) {
	least = 1
	length = min(length, len(asked))
	found := false
	for from := 0; from == 0 || from+worstWindowSeconds <= length; from++ {
		to := min(from+worstWindowSeconds, length)
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
	n := secondOf(s.now) + 1
	if s.now > 0 && s.now%time.Second == 0 && n > 1 {
		n-- // nothing of the next has passed
	}
	for i := range s.classes { // a job may be booked at the very end
		n = max(n, len(s.classes[i].bins))
	}
	series := func() Series { return make(Series, n) }
	out := Seconds{
		DueJobs: series(), DueValue: series(), DueValueEarned: series(), GoodputValue: series(), GoodputJobs: series(),
		Served: series(), Rejected: series(), Attempts: series(), InFlight: series(), P50: series(), P99: series(),
		MaxLatency: series(), Classes: make([]ClassSeries, len(s.classes)),
	}
	for i := range s.classes {
		group := &s.classes[i]
		classSeries := ClassSeries{
			Name: s.spec.Classes[i].Name, DueJobs: series(), DueValue: series(), DueValueEarned: series(),
			GoodputValue: series(), GoodputJobs: series(), Rejected: series(), InFlight: series(),
		}
		for k := range group.bins {
			b := &group.bins[k]
			classSeries.DueJobs[k], classSeries.DueValue[k], classSeries.DueValueEarned[k] = float64(b.jobsDue), b.requested, b.earned
			classSeries.GoodputValue[k], classSeries.GoodputJobs[k], classSeries.Rejected[k] = b.goodput, float64(b.inTime), float64(b.rejected)
			out.Served[k] += float64(b.served)
			out.Attempts[k] += float64(b.attempts)
		}
		group.inFlight.advanceTo(s.now)
		copy(classSeries.InFlight, group.inFlight.means())
		for k := range n {
			out.DueJobs[k] += classSeries.DueJobs[k]
			out.DueValue[k] += classSeries.DueValue[k]
			out.DueValueEarned[k] += classSeries.DueValueEarned[k]
			out.GoodputValue[k] += classSeries.GoodputValue[k]
			out.GoodputJobs[k] += classSeries.GoodputJobs[k]
			out.Rejected[k] += classSeries.Rejected[k]
			out.InFlight[k] += classSeries.InFlight[k]
		}
		out.Classes[i] = classSeries
	}
	put := func(k int, p latencyPoint) { out.P50[k], out.P99[k], out.MaxLatency[k] = p.p50, p.p99, p.max }
	for k, p := range s.latency {
		put(k, p)
	}
	if s.currentSecond.TotalCount() > 0 {
		put(s.currentSecondIndex, newLatencyPoint(s.currentSecond))
	}
	s.workersUpCurve.advanceTo(s.now)
	out.WorkersUp = append(s.workersUpCurve.means(), series()...)[:n]
	out.Occupancy = append(s.fleet.series(s.now, 0), series()...)[:n]
	return out
}

// series is the occupancy bin by bin, and none where nothing was up.
func (r *stripRow) series(now time.Duration, none float64) Series {
	r.use.advanceTo(now)
	r.available.advanceTo(now)
	out := make(Series, len(r.available.integrals))
	for i, up := range r.available.integrals {
		if out[i] = none; up > 1e-9 {
			out[i] = share(r.use.integrals[i], up)
		}
	}
	return out
}

func (s *Score) effortAndWaste() (Effort, Waste) {
	effort := s.effort.Effort
	effort.RequestsServed, effort.RequestsRejected, effort.RequestsFailed = s.responses[0], s.responses[1], s.responses[2]
	effort.PerJob = share(float64(effort.Attempts), float64(s.jobsDue))
	effort.WorkRequested, effort.WorkRun, effort.WorkUseful = s.effort.workRequested, s.effort.workRun, s.effort.workUseful
	w := &s.effort.wasted
	out := Waste{
		Repeated: w[wasteRepeated], TooLate: w[wasteTooLate], ClientLeft: w[wasteClientLeft], Unused: w[wasteUnused], Errors: w[wasteErrors],
		Killed: w[wasteKilled],
	}
	for _, work := range w {
		out.Work += work
	}
	out.Share = share(out.Work, s.effort.workRequested)
	if effort.WorkPending = effort.WorkRun - effort.WorkUseful - out.Work; effort.WorkPending < 1e-9*effort.WorkRun {
		effort.WorkPending = 0 // what the order of sums leaves over
	}
	return effort, out
}

func (s *Score) occupancy() Occupancy {
	out := Occupancy{Workers: make([]WorkerUse, 0, len(s.workers)), CellSeconds: s.strip[0].available.width.Seconds()}
	var use, available, sum float64
	counted, within := 0, s.settleWindow()
	for i := range s.workers {
		n := &s.workers[i]
		if !n.known {
			continue
		}
		n.occupancy.advanceTo(within)
		n.availability.advanceTo(within)
		use += n.occupancy.integral
		available += n.availability.integral
		line := WorkerUse{
			Worker: i, Use: share(n.occupancy.integral, n.availability.integral), Slots: n.slots, Attempts: n.attempts, Full: n.full,
			Overloads: n.overloads, Up: share(n.availability.integral, n.slots*within.Seconds()),
		}
		out.Workers = append(out.Workers, line)
		if n.availability.integral >= n.slots {
			counted++
			sum += line.Use
			if line.Use > out.Busiest || counted == 1 {
				out.Busiest, out.BusiestWorker = line.Use, i
			}
		}
	}
	out.Whole, out.Mean = share(use, available), share(sum, float64(counted))
	out.OverMean = share(out.Busiest, out.Mean)
	out.Strip = make([]StripLine, len(s.strip))
	for i := range out.Strip {
		out.Strip[i] = StripLine{First: -1, Use: s.strip[i].series(s.now, -1)}
	}
	for i := range max(len(s.workers), s.spec.Fleet.Workers) {
		line := &out.Strip[s.stripRowOf(i)]
		if line.First < 0 {
			line.First = i
		}
		line.Last = i
	}
	return out
}

// Snapshot is how a play stands: cheap to take, while it runs.
type Snapshot struct {
	At        time.Duration
	JobsDue   int
	InTime    int
	Settled   int
	Rejected  int // tries
	InFlight  int
	WorkersUp int
	Workers   int
	Faults    []string // that are on
}

// Snapshot takes one. It keeps the room of t.Faults.
func (s *Score) Snapshot(t *Snapshot) {
	*t = Snapshot{
		At: s.now, JobsDue: s.jobsDue, InTime: s.inTime, Settled: s.settled, Rejected: s.responses[requestRejected-requestServed],
		InFlight: len(s.jobs), WorkersUp: s.workersUp, Workers: max(len(s.workers), s.spec.Fleet.Workers), Faults: t.Faults[:0],
	}
	for i := range s.faults {
		if s.faults[i].Off < 0 {
			t.Faults = append(t.Faults, s.faults[i].Text)
		}
	}
}
