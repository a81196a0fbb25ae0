package score

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

const ms = time.Millisecond

// Random steps are the same in every run, unless the command line asks for others.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// spec is a small scenario: two classes, two tenants, three worker nodes of two slots.
func spec(seconds int) *scenario.Scenario {
	s := scenario.Default()
	s.Name, s.Length, s.Settle = "test", scenario.Duration(seconds)*scenario.Duration(time.Second), scenario.Duration(5*time.Second)
	s.Classes, s.Tenants = s.Classes[:2], s.Tenants[:2]
	s.Classes[0].PriorityWeight, s.Classes[1].PriorityWeight = 2, 1
	s.Fleet.Workers = 3
	s.Fleet.Kinds = s.Fleet.Kinds[:1]
	s.Fleet.Kinds[0].Slots = 2
	return s
}

// eventTape plays sights at instants in ms.
type eventTape struct{ *Score }

func (t eventTape) at(at int, x trace.Event) {
	x.At = time.Duration(at) * ms
	t.Observe(&x)
}

// model is what a score should come to, kept as plain lists.
type model struct {
	t     *rapid.T
	s     *Score
	now   time.Duration
	open  []*modelJob
	over  []*modelJob
	calls int
	runs  []*modelAttempt
	ran   float64
	slots [3]float64 // s in use, by worker node
}

type modelJob struct {
	id            uint64
	due, aim      time.Duration
	class, tenant int
	over          bool
	work, slots   float64
	call          string // of the open try
	tries         int
	out           JobOutcome
	end           JobOutcome // of the last try
	hasTry        bool
	settledAt     time.Duration
}

type modelAttempt struct {
	call  string
	node  int
	slots float64
	work  float64
	began time.Duration
	begun bool
}

func (m *model) tell(x trace.Event) {
	x.At = m.now
	m.s.Observe(&x)
}

func (m *model) endRun(i int, what trace.Kind, status int) {
	r := m.runs[i]
	m.runs = append(m.runs[:i], m.runs[i+1:]...)
	if r.begun {
		m.slots[r.node] += r.slots * (m.now - r.began).Seconds()
		if what == trace.AttemptFinished {
			m.ran += r.work * r.slots
		} else {
			m.ran += min(r.work, (m.now-r.began).Seconds()) * r.slots
		}
	}
	if what != trace.WorkerStopped {
		m.tell(trace.Event{Kind: what, RequestID: r.call, Worker: r.node, Status: status})
	}
}

// step does one random thing that the world might report.
func (m *model) step() {
	t := m.t
	m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
	pick := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
	switch pick(8, "what") {
	case 0, 1:
		j := &modelJob{
			id: uint64(len(m.open) + len(m.over) + 1), due: m.now, aim: time.Duration(100+pick(1500, "aim")) * ms,
			class: pick(2, "class"), tenant: pick(2, "tenant"), over: pick(4, "over") == 0,
			work: float64(1+pick(20, "work")) / 10, slots: float64(1 + pick(2, "slots")),
		}
		m.open = append(m.open, j)
		m.tell(trace.Event{
			Kind: trace.JobDue, JobID: j.id, Class: j.class, Tenant: j.tenant, OverQuota: j.over, Work: j.work,
			Slots: j.slots, LatencyObjective: j.aim,
		})
	case 2, 3:
		if len(m.open) == 0 {
			return
		}
		j := m.open[pick(len(m.open), "job")]
		if j.call == "" {
			m.calls++
			j.call, j.tries, j.hasTry = fmt.Sprint("c", m.calls), j.tries+1, true
			m.tell(trace.Event{Kind: trace.RequestSent, RequestID: j.call, JobID: j.id, Scheduler: 0})
			return
		}
		node := pick(3, "node")
		for _, r := range m.runs {
			if r.call == j.call && r.node == node {
				return // one attempt of a query at a time at a worker node
			}
		}
		m.tell(trace.Event{Kind: trace.AttemptReceived, RequestID: j.call, Worker: node})
		m.runs = append(m.runs, &modelAttempt{call: j.call, node: node, slots: j.slots, work: j.work})
	case 4, 5:
		if len(m.runs) == 0 {
			return
		}
		i := pick(len(m.runs), "run")
		if r := m.runs[i]; !r.begun && pick(4, "end") > 0 {
			r.begun, r.began = true, m.now
			m.tell(trace.Event{Kind: trace.AttemptStarted, RequestID: r.call, Worker: r.node})
		} else if r.begun {
			m.endRun(i, []trace.Kind{trace.AttemptFinished, trace.AttemptDied}[pick(2, "how")], []int{200, 500}[pick(2, "status")])
		} else {
			m.endRun(i, []trace.Kind{trace.AttemptRejected, trace.AttemptReturned, trace.AttemptDied}[pick(3, "how")], 503)
		}
	case 6:
		if len(m.open) > 0 {
			m.endTry(pick(len(m.open), "job"))
		}
	case 7:
		if pick(5, "down") == 0 {
			node := pick(3, "node")
			for i := len(m.runs) - 1; i >= 0; i-- {
				if m.runs[i].node == node {
					m.endRun(i, trace.WorkerStopped, 0)
				}
			}
			m.tell(trace.Event{Kind: trace.WorkerStopped, Worker: node})
			m.tell(trace.Event{Kind: trace.WorkerStarted, Worker: node, Slots: 2})
		}
	}
}

func (m *model) endTry(i int) {
	j := m.open[i]
	status := 0
	if j.call != "" {
		ends := []struct {
			what   trace.Kind
			status int
			out    JobOutcome
		}{
			{trace.ResponseReceived, 200, OutcomeInTime},
			{trace.ResponseReceived, 503, OutcomeRejected},
			{trace.ResponseReceived, 429, OutcomeRejected},
			{trace.ResponseReceived, 504, OutcomeFailed},
			{trace.ConnectionLost, 0, OutcomeLost},
			{trace.ClientLeft, 0, OutcomeClientLeft},
			{trace.ClientTimedOut, 0, OutcomeUnanswered},
		}
		e := ends[rapid.IntRange(0, len(ends)-1).Draw(m.t, "end")]
		m.tell(trace.Event{Kind: e.what, RequestID: j.call, Status: e.status})
		j.call, j.end, status = "", e.out, e.status
		if e.status != 200 && e.out != OutcomeClientLeft && rapid.Bool().Draw(m.t, "again") {
			return
		}
	}
	j.out = j.end
	if !j.hasTry {
		j.out = OutcomeUnanswered
	}
	if j.out == OutcomeInTime && m.now-j.due > j.aim {
		j.out = OutcomeLate
	}
	j.settledAt = m.now
	m.tell(trace.Event{Kind: trace.JobSettled, JobID: j.id, Status: status})
	m.open, m.over = append(m.open[:i], m.open[i+1:]...), append(m.over, j)
}

// check compares the sums: each job is in one bucket, and parts make the whole.
func (m *model) check() {
	m.tell(trace.Event{Kind: trace.HealthChecked}) // brings the score's clock up to now
	r := m.s.Result()
	same := func(what string, got, want float64) {
		if math.Abs(got-want) > 1e-6*(1+math.Abs(want)) {
			m.t.Fatalf("%s: got %v, want %v", what, got, want)
		}
	}
	class, tenant := make([]Group, 2), make([]Group, 2)
	for _, list := range [][]*modelJob{m.over, m.open} {
		for _, j := range list {
			worth := m.s.spec.Classes[j.class].PriorityWeight * j.work * j.slots
			if j.over {
				worth *= m.s.spec.Load.OverQuotaWeight
			}
			for _, g := range []*Group{&class[j.class], &tenant[j.tenant]} {
				g.JobsDue++
				g.Requested += worth
				if j.settledAt == 0 {
					g.Open++
					continue
				}
				if g.Outcomes[j.out]++; j.out == OutcomeInTime {
					g.Earned += worth
				}
			}
		}
	}
	var sums [2]Group
	for k, side := range [][2][]Group{{r.Classes, class}, {r.Tenants, tenant}} {
		for i, want := range side[1] {
			got := side[0][i]
			if got.JobsDue != want.JobsDue || got.Open != want.Open || got.Outcomes != want.Outcomes {
				m.t.Fatalf("%s: got %+v, want %+v", got.Name, got, want)
			}
			same("asked", got.Requested, want.Requested)
			same("earned", got.Earned, want.Earned)
			sums[k].JobsDue += got.JobsDue
			sums[k].Open += got.Open
			sums[k].Requested += got.Requested
			sums[k].Earned += got.Earned
			sums[k].Attempts += float64(got.Latency.Count)
			for o, n := range got.Outcomes {
				sums[k].Outcomes[o] += n
			}
		}
		if sums[k].JobsDue != r.Whole.JobsDue || sums[k].Open != r.Whole.Open || sums[k].Outcomes != r.Whole.Outcomes ||
			sums[k].Attempts != float64(r.Whole.Latency.Count) {
			m.t.Fatalf("parts %+v, whole %+v", sums[k], r.Whole)
		}
		same("asked of all", sums[k].Requested, r.Whole.Requested)
		same("earned of all", sums[k].Earned, r.Whole.Earned)
	}
	same("due by second", r.Seconds.DueJobs.Sum(), float64(r.Whole.JobsDue))
	same("worth by second due", r.Seconds.DueValueEarned.Sum(), r.Whole.Earned)
	same("goodput by second", r.Seconds.GoodputValue.Sum(), r.Whole.Earned)
	same("jobs in time by second", r.Seconds.GoodputJobs.Sum(), float64(r.Whole.Outcomes[OutcomeInTime]))
	same("work run", r.Effort.WorkRun, m.ran)
	same("work", r.Effort.WorkUseful+r.Waste.Work+r.Effort.WorkPending, m.ran)
	if r.Effort.Duplicates+r.Effort.Unknown > 0 {
		m.t.Fatalf("strays %d, unknown %d", r.Effort.Duplicates, r.Effort.Unknown)
	}
	for i, use := range m.slots {
		for _, run := range m.runs {
			if run.node == i && run.begun {
				use += run.slots * (m.now - run.began).Seconds()
			}
		}
		if up := 2 * m.now.Seconds(); up > 0 {
			same("occupancy", r.Fleet.Workers[i].Use, use/up)
		}
	}
}

// Totals balance whatever happens, while a play goes on and at its end.
func TestTotalsBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, s: New(spec(90), Options{})}
		for i := range 3 {
			m.tell(trace.Event{Kind: trace.WorkerStarted, Worker: i, Slots: 2})
		}
		for i := range rapid.IntRange(1, 150).Draw(t, "steps") {
			if m.step(); i%40 == 39 {
				m.check()
			}
		}
		m.check()
		m.now += 2 * settleGrace // what is over is forgotten
		for len(m.runs) > 0 {
			m.endRun(0, trace.AttemptDied, 0)
		}
		m.check()
	})
}

// Work is waste by what became of its client.
func TestWaste(t *testing.T) {
	ends := map[string]struct {
		end  trace.Event
		late bool // the run ends after the client's try
		of   func(*Waste) float64
	}{
		"repeated":  {trace.Event{Kind: trace.ResponseReceived, Status: 200}, true, func(w *Waste) float64 { return w.Repeated }},
		"too late":  {trace.Event{Kind: trace.ClientTimedOut}, true, func(w *Waste) float64 { return w.TooLate }},
		"left":      {trace.Event{Kind: trace.ClientLeft}, true, func(w *Waste) float64 { return w.ClientLeft }},
		"refused":   {trace.Event{Kind: trace.ResponseReceived, Status: 503}, false, func(w *Waste) float64 { return w.Unused }},
		"cut off":   {trace.Event{Kind: trace.ConnectionLost}, false, func(w *Waste) float64 { return w.Unused }},
		"it served": {trace.Event{Kind: trace.ResponseReceived, Status: 200}, false, func(w *Waste) float64 { return 4 - w.Work }},
	}
	for name, c := range ends {
		s := eventTape{New(spec(60), Options{})}
		s.at(0, trace.Event{Kind: trace.JobDue, JobID: 1, Work: 2, Slots: 2, LatencyObjective: time.Second})
		s.at(0, trace.Event{Kind: trace.RequestSent, JobID: 1, RequestID: "a"})
		run := func(node, at int) {
			s.at(at, trace.Event{Kind: trace.AttemptFinished, RequestID: "a", Worker: node, Status: 200})
		}
		for node := range 2 {
			s.at(1, trace.Event{Kind: trace.AttemptReceived, RequestID: "a", Worker: node})
			s.at(1, trace.Event{Kind: trace.AttemptStarted, RequestID: "a", Worker: node})
		}
		s.at(500, trace.Event{Kind: trace.AttemptDied, RequestID: "a", Worker: 1})
		if !c.late {
			run(0, 900)
		} else if name == "repeated" {
			s.at(501, trace.Event{Kind: trace.AttemptReceived, RequestID: "a", Worker: 2})
			s.at(501, trace.Event{Kind: trace.AttemptStarted, RequestID: "a", Worker: 2})
			run(2, 900)
		}
		c.end.RequestID = "a"
		s.at(1000, c.end)
		s.at(1000, trace.Event{Kind: trace.JobSettled, JobID: 1, Status: c.end.Status})
		if c.late {
			run(0, 2500)
		}
		r := s.Result()
		if got := c.of(&r.Waste); math.Abs(got-4) > 0.999 || math.Abs(r.Waste.Killed-0.998) > 1e-9 {
			t.Errorf("%s: %+v", name, r.Waste)
		}
	}
}

// A run whose result a repeat brings a later try has served after all; a query sent once more is the same try; and a
// job that found no scheduler is unanswered.
func TestTries(t *testing.T) {
	s := eventTape{New(spec(60), Options{})}
	s.at(0, trace.Event{Kind: trace.JobDue, JobID: 1, Work: 3, Slots: 1, LatencyObjective: time.Minute})
	for i, call := range []string{"a", "b"} {
		s.at(i*1000, trace.Event{Kind: trace.RequestSent, JobID: 1, RequestID: call})
		s.at(i*1000, trace.Event{Kind: trace.ConnectionLost, RequestID: call})
		s.at(i*1000, trace.Event{Kind: trace.RequestSent, JobID: 1, RequestID: call})
		s.at(i*1000, trace.Event{Kind: trace.AttemptReceived, RequestID: call, Worker: i})
		s.at(i*1000, trace.Event{Kind: trace.AttemptStarted, RequestID: call, Worker: i, Text: []string{"", "repeat"}[i]})
		if i == 0 {
			s.at(500, trace.Event{Kind: trace.ClientTimedOut, RequestID: call})
		}
	}
	s.at(1500, trace.Event{Kind: trace.AttemptFinished, RequestID: "a", Worker: 0, Status: 200})
	if w := s.Result().Waste; w.TooLate != 3 {
		t.Errorf("before the answer: %+v", w)
	}
	s.at(1600, trace.Event{Kind: trace.AttemptFinished, RequestID: "b", Worker: 1, Status: 200})
	s.at(1600, trace.Event{Kind: trace.ResponseReceived, RequestID: "b", Status: 200})
	s.at(1600, trace.Event{Kind: trace.JobSettled, JobID: 1, Status: 200})
	s.at(2000, trace.Event{Kind: trace.JobDue, JobID: 2, Work: 3, Slots: 1, LatencyObjective: time.Minute})
	s.at(2000, trace.Event{Kind: trace.SchedulerUnreachable, JobID: 2, RequestID: "c"})
	s.at(2000, trace.Event{Kind: trace.JobSettled, JobID: 2})
	r := s.Result()
	if r.Waste.Work != 0 || r.Effort.WorkUseful != 3 || r.Effort.DuplicatesDropped != 1 || r.Fleet.Workers[1].Use != 0 {
		t.Errorf("waste %+v, effort %+v", r.Waste, r.Effort)
	}
	if r.Effort.Requests != 2 || r.Effort.Resent != 2 || r.Effort.RequestsUnreached != 1 || r.Whole.Outcomes[OutcomeInTime] != 1 ||
		r.Whole.Outcomes[OutcomeUnanswered] != 1 {
		t.Errorf("%+v %v", r.Effort, r.Whole.Outcomes)
	}
}

// The mix, its parts, and what a tenant's excess is worth.
func TestWorth(t *testing.T) {
	s := eventTape{New(spec(30), Options{})}
	for i := range 300 { // ten a second; those due from 10 to 14 s are late; of class 1 in the last 5 s none is served
		at, status, took := i*100, 200, 100
		if at >= 10_000 && at < 14_000 {
			took = 600
		}
		id := uint64(i + 1)
		call := fmt.Sprint(id)
		x := trace.Event{Kind: trace.JobDue, JobID: id, Class: i % 2, Tenant: i / 2 % 2, Work: 1, Slots: 2, LatencyObjective: 500 * ms}
		if x.OverQuota = x.Tenant == 1 && i%5 == 0; x.OverQuota {
			status = 503
		}
		if x.Class == 1 && at >= 25_000 {
			status = 503
		}
		s.at(at, x)
		s.at(at, trace.Event{Kind: trace.RequestSent, RequestID: call, JobID: id})
		s.at(at+min(took, 99), trace.Event{Kind: trace.CallbackAnswered})
		s.at(at+took, trace.Event{Kind: trace.ResponseReceived, RequestID: call, Status: status})
		s.at(at+took, trace.Event{Kind: trace.JobSettled, JobID: id, Status: status})
	}
	r := s.Result()
	w := r.Value
	if w.Worst10At < 4 || w.Worst10At > 10 || w.WorstClass.Name != r.Classes[1].Name || w.Worst10 >= w.Whole {
		t.Errorf("%+v", w)
	}
	if want := 0.4*w.Whole + 0.15*w.Worst10 + 0.2*w.WorstClass.Value + 0.25*w.WorstTenant.Value; w.Mix != want {
		t.Errorf("mix %v, want %v", w.Mix, want)
	}
	if b := r.Tenants[1]; b.EarnedShareWithinQuota <= b.EarnedShare || b.Shares.Rejected <= r.Tenants[0].Shares.Rejected {
		t.Errorf("excess counts as much as the share: %+v", b)
	}
	if r.Whole.Latency.P50 < 99 || r.Whole.Latency.P50 > 101 || r.Whole.Latency.Max < 599 || r.Seconds.P99[12] < 590 {
		t.Errorf("latency %+v, in the 12th second %v", r.Whole.Latency, r.Seconds.P99[12])
	}
	met := Check([]scenario.Expectation{
		{Metric: "in_time", Operator: ">=", Bound: 0.5},
		{Metric: "rules_broken", Operator: "=", Bound: 0},
		{Metric: "in_time", Group: r.Tenants[1].Name, Operator: ">", Bound: r.Tenants[1].EarnedShare},
		{Metric: "p99_ms", Operator: "<=", Bound: 10},
		{Metric: "refused", Group: "nobody", Operator: "<=", Bound: 1},
	}, r, 1)
	for i, want := range []bool{true, false, true, false, false} {
		if met[i].OK != want {
			t.Errorf("%v: got %v %s", met[i].Expectation, met[i].Value, met[i].Reason)
		}
	}
	for _, f := range scenario.Metrics {
		if x, note := r.MetricValue(f.Name, "", 0); math.IsNaN(x) {
			t.Errorf("%s: %s", f.Name, note)
		}
	}
	text, err := json.Marshal(struct {
		*Result
		Met []Evaluation
	}{r, met})
	if err != nil || !json.Valid(text) {
		t.Fatal(err)
	}
	var again Result
	if err := json.Unmarshal(text, &again); err != nil || again.Value != r.Value || len(again.Classes) != 2 {
		t.Error(err, again.Value)
	}
}

// Recovery on curves whose answers are plain.
func TestRecovery(t *testing.T) {
	curve := func(n int, dips ...[2]int) (asked, earned Series) {
		for i := range n {
			x := 10.0
			for _, d := range dips {
				if i >= d[0] && i < d[1] {
					x = 4
				}
			}
			asked, earned = append(asked, 10), append(earned, x)
		}
		return asked, earned
	}
	cases := []struct {
		name   string
		faults []Fault
		dips   [][2]int
		want   []Disturbance // Faults by number only
	}{
		{"no dip", []Fault{{"a", 10, 15}}, nil, []Disturbance{{From: 10, To: 15, Recovered: true}}},
		{
			"back before its end",
			[]Fault{{"a", 10, 20}},
			[][2]int{{10, 13}},
			[]Disturbance{{From: 10, To: 20, HasDip: true, FromStart: 3, Recovered: true}},
		},
		{
			"back after its end",
			[]Fault{{"a", 10.5, 15.5}},
			[][2]int{{10, 18}},
			[]Disturbance{{From: 10.5, To: 15.5, HasDip: true, FromStart: 7.5, FromEnd: 2.5, Recovered: true}},
		},
		{
			"for good",
			[]Fault{{"a", 10, -1}},
			[][2]int{{11, 14}},
			[]Disturbance{{From: 10, To: 10, Lasting: true, HasDip: true, FromStart: 4, FromEnd: 4, Recovered: true}},
		},
		{
			"never back",
			[]Fault{{"a", 10, 12}},
			[][2]int{{10, 40}},
			[]Disturbance{{From: 10, To: 12, HasDip: true, FromStart: 30, FromEnd: 28}},
		},
		{
			"one into the other",
			[]Fault{{"a", 10, 12}, {"b", 11, 13}, {"c", 15, 16}},
			[][2]int{{10, 19}},
			[]Disturbance{{From: 10, To: 16, HasDip: true, FromStart: 9, FromEnd: 3, Recovered: true}},
		},
		{
			"two",
			[]Fault{{"a", 10, 12}, {"b", 20, 22}},
			[][2]int{{10, 14}, {20, 21}},
			[]Disturbance{
				{From: 10, To: 12, HasDip: true, FromStart: 4, FromEnd: 2, Recovered: true},
				{From: 20, To: 22, HasDip: true, FromStart: 1, Recovered: true},
			},
		},
		{"after the load", []Fault{{"a", 41, 42}}, nil, []Disturbance{}},
	}
	for _, c := range cases {
		asked, earned := curve(40, c.dips...)
		got := disturbances(c.faults, asked, earned, 40)
		for i := range got {
			if got[i].Before != 1 || got[i].HasDip != (got[i].Lowest >= 0.4 && got[i].Lowest < 0.95) {
				t.Errorf("%s: %+v", c.name, got[i])
			}
			got[i].Before, got[i].Lowest, got[i].Faults = 0, 0, nil
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s:\ngot  %+v\nwant %+v", c.name, got, c.want)
		}
	}
}

// What processes, bad clients and marks come to.
func TestProcesses(t *testing.T) {
	s := eventTape{New(spec(10), Options{})}
	s.at(0, trace.Event{Kind: trace.SchedulerStarted})
	s.at(500, trace.Event{Kind: trace.ResourceUsage, CPU: 100 * ms, Memory: 10, OpenFiles: 5})
	s.at(1500, trace.Event{Kind: trace.ResourceUsage, CPU: 300 * ms, Memory: 30, OpenFiles: 4})
	s.at(1600, trace.Event{Kind: trace.SchedulerKilled})
	s.at(2000, trace.Event{Kind: trace.SchedulerStarted})
	s.at(3000, trace.Event{Kind: trace.ResourceUsage, CPU: 50 * ms, Memory: 20, OpenFiles: 9})
	s.at(3000, trace.Event{Kind: trace.ResourceUsage, Scheduler: -1, CPU: 50 * ms, Memory: 20})
	s.at(3000, trace.Event{Kind: trace.MisbehavingClientConnected, Conn: 7, Text: "garbage"})
	s.at(3010, trace.Event{Kind: trace.MisbehavingClientAnswered, Conn: 7, Status: 400})
	s.at(3010, trace.Event{Kind: trace.TestbedLate, Lateness: 3 * ms})
	r := s.Result()
	p := r.Processes[0]
	if p.Starts != 2 || p.Kills != 1 || p.PeakMemory != 30 || p.PeakFiles != 9 || math.Abs(p.CPU-0.35) > 1e-9 {
		t.Errorf("%+v", p)
	}
	if math.Abs(p.CPUBySecond[0]-0.2) > 1e-9 || math.Abs(p.CPUBySecond[1]-0.1) > 1e-9 || math.Abs(p.CPUBySecond[2]-0.05) > 1e-9 {
		t.Errorf("by second: %v", p.CPUBySecond)
	}
	if len(r.Processes) != 2 || r.Processes[1].Scheduler != -1 || len(r.Marks) != 2 || r.Lateness.Max < 2.99 {
		t.Errorf("%+v %+v %+v", r.Processes, r.Marks, r.Lateness)
	}
	if b := r.Misbehaving; len(b) != 1 || b[0] != (MisbehavingCounts{Kind: "garbage", Connected: 1, Errors: 1, MaxWaitMs: 10}) {
		t.Errorf("%+v", b)
	}
}

func TestStatistics(t *testing.T) {
	a := []float64{0.90, 0.80, 0.95, 0.70, 0.85}
	plus := func(xs []float64, by ...float64) []float64 {
		out := make([]float64, len(xs))
		for i := range xs {
			out[i] = xs[i] + by[i]
		}
		return out
	}
	// Differences 1..5: mean 3, sd 1.5811, t(4) = 2.7764, half width 1.9632.
	p := Compare("x", "old", "new", make([]float64, 5), []float64{1, 2, 3, 4, 5}, Higher)
	if math.Abs(p.Low-1.0368) > 1e-4 || math.Abs(p.High-4.9632) > 1e-4 || math.Abs(p.P-0.013236) > 1e-5 || !p.Significant ||
		p.Verdict != "new is better: by 3, 95% sure of 1.04 to 4.96 over 5 seeds" {
		t.Errorf("%+v", p)
	}
	for _, c := range []struct {
		b    []float64
		says string
	}{
		{plus(a, 0.01, -0.01, 0.02, -0.02, 0), "no difference seen: "},
		{a, "no difference: the same in all, over 5 seeds"},
		{plus(a, -0.1, -0.11, -0.09, -0.1, -0.1), "new is worse: by 0.1, "},
		{a[:1], "one seed tells nothing"},
		{[]float64{math.NaN()}, "nothing to compare"},
	} {
		if p := Compare("x", "old", "new", a, c.b, Higher); len(p.Verdict) < len(c.says) || p.Verdict[:len(c.says)] != c.says {
			t.Errorf("got %q, want %q", p.Verdict, c.says)
		}
	}
	for _, c := range []struct {
		ys     []float64
		better Sense
		at     int
		ok     bool
	}{
		{[]float64{1, 1, 1, 0.9, 0.4, 0.1}, Higher, 3, true},
		{[]float64{1, 1, 1, 0.1, 0, 0}, Higher, 2, true}, // not the foot of the fall
		{[]float64{1, 1, 1, 0.1, 0, 0}, Lower, 3, true},
		{[]float64{1, 2, 3, 4, 5, 6}, Neither, 0, false},
		{[]float64{1, 1, 1, 1, 1, 1}, Neither, 0, false},
		{[]float64{0, 4, 4.5, 4.8, 4.9, 5}, Higher, 1, true},
		{[]float64{0, 4, 4.5, 4.8, 4.9, 5}, Lower, 0, false},
	} {
		if at, ok := Knee([]float64{1, 2, 3, 4, 5, 6}, c.ys, c.better); ok != c.ok || ok && at != c.at {
			t.Errorf("%v: knee at %d, %v", c.ys, at, ok)
		}
	}
}

// steady is a play of which each job takes the same course.
type steady struct {
	s     *Score
	x     trace.Event
	calls [2 * maxSettleGrace]string
	n     uint64
	now   time.Duration
}

func newSteady(nodes int) *steady {
	sc := spec(3600)
	sc.Fleet.Workers = nodes
	p := &steady{s: New(sc, Options{})}
	for i := range p.calls {
		p.calls[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
	}
	return p
}

func (p *steady) tell(what trace.Kind, status int) {
	p.x.At, p.x.Kind, p.x.Status = p.now, what, status
	p.s.Observe(&p.x)
}

// request plays a whole job: ten sights. Jobs come every 0.5 ms; ids are used again once they are forgotten.
func (p *steady) request() {
	p.n++
	p.now += 500 * time.Microsecond
	p.x = trace.Event{
		JobID: p.n, RequestID: p.calls[p.n%uint64(len(p.calls))], Class: int(p.n % 2), Tenant: int(p.n / 2 % 2),
		Work: 0.2, Slots: 1, LatencyObjective: time.Second, Worker: int(p.n*7919) % len(p.s.workers),
	}
	p.tell(trace.JobDue, 0)
	p.tell(trace.RequestSent, 0)
	p.tell(trace.AttemptReceived, 0)
	p.tell(trace.AttemptAccepted, 202)
	p.tell(trace.AttemptStarted, 0)
	p.tell(trace.CallbackAnswered, 200)
	p.tell(trace.AttemptFinished, 200)
	p.tell(trace.CallbackAnswered, 200)
	p.tell(trace.ResponseReceived, 200)
	p.tell(trace.JobSettled, 200)
}

// In a steady state nothing is allocated, and what is over is forgotten.
func TestSteady(t *testing.T) {
	p := newSteady(100)
	for range 3 * maxSettleGrace {
		p.request()
	}
	if n := testing.AllocsPerRun(5_000, p.request); n != 0 {
		t.Errorf("%v allocations a job", n)
	}
	if len(p.s.jobs) != 0 || len(p.s.requests) > maxSettleGrace || p.s.effort.Unknown+p.s.effort.Resent+p.s.effort.Duplicates > 0 {
		t.Errorf("%d jobs, %d queries are kept; %+v", len(p.s.jobs), len(p.s.requests), p.s.effort.Effort)
	}
}

func BenchmarkWatch(b *testing.B) {
	for _, nodes := range []int{10, 100, 10_000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			p := newSteady(nodes)
			b.ReportAllocs()
			for b.Loop() {
				p.request()
			}
		})
	}
}
