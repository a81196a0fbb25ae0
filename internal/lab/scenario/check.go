package scenario

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/config"
)

// Bounds that keep a play within what a machine can hold.
const (
	maxNodes      = 100_000
	maxSchedulers = 128
	maxPlanners   = 16
	maxEntries    = 1000 // of any list
	maxRate       = 1e7  // jobs a second
	maxClosed     = 1_000_000
	maxLength     = Span(24 * time.Hour)
	maxSpan       = Span(24 * time.Hour)
)

// A fault's keys besides what and at.
type faultRule struct {
	size       float64 // default; 0: the kind has no size
	low, high  float64 // of the size
	needsSize  bool
	needsFor   bool
	hasFor     bool
	takesNodes bool // On may name worker nodes though it isn't done to them
}

var faultRules = map[string]faultRule{
	"crash": {hasFor: true}, "vanish": {hasFor: true}, "hang": {hasFor: true},
	"pause":  {hasFor: true, needsFor: true},
	"slow":   {hasFor: true, size: 2, low: 1, high: 1000},
	"errors": {hasFor: true, size: 0.5, low: 0.001, high: 1},
	"full":   {hasFor: true}, "drain": {}, "restart": {hasFor: true},
	"replace": {hasFor: true, needsFor: true}, "gone": {}, "no_notes": {hasFor: true},
	"early_202_crash": {hasFor: true}, "handback": {},
	"cut": {hasFor: true}, "cut_one_way": {hasFor: true},
	"delay":  {hasFor: true, needsSize: true, low: 0.001, high: 60_000},
	"refuse": {hasFor: true}, "never_up": {hasFor: true},
	"reset_at":  {hasFor: true, size: 64, low: -1 << 20, high: 1 << 20},
	"half_open": {hasFor: true, size: 0.1, low: 0.001, high: 3600},
	"drop_idle": {hasFor: true, size: 1, low: 0.001, high: 3600},
	"slow_read": {hasFor: true}, "disco_down": {hasFor: true},
	"disco_late":  {hasFor: true, size: 5, low: 0.001, high: 3600},
	"disco_wrong": {hasFor: true, takesNodes: true}, "disco_old": {hasFor: true},
	"disco_slow":  {hasFor: true, size: 4, low: 1, high: 1e6},
	"disco_moves": {}, "burst": {hasFor: true, size: 3, low: 0.001, high: 1000},
	"storm":      {hasFor: true, size: 3, low: 1, high: 1000},
	"sched_kill": {hasFor: true}, "sched_term": {hasFor: true},
	"sched_freeze": {hasFor: true, needsFor: true}, "sched_reload": {}, "sched_replace": {},
	"planner_kill": {hasFor: true}, "planner_term": {hasFor: true}, "planner_start": {}, "planner_drop": {},
	"planner_freeze": {hasFor: true, needsFor: true},
	"planner_slow":   {hasFor: true, size: 80, low: 0.001, high: 60_000},
	"planner_cut":    {hasFor: true}, "planner_cut_one_way": {hasFor: true},
}

// pairs of crowds that speak to each other.
var pairs = [][2]string{
	{"schedulers", "nodes"},
	{"schedulers", "discovery"},
	{"schedulers", "clients"},
	{"nodes", "discovery"},
}

// plannerPairs are those with planners, and forwarders among each other.
var plannerPairs = [][2]string{
	{"planners", "schedulers"},
	{"planners", "planners"},
	{"planners", "discovery"},
	{"schedulers", "schedulers"},
}

// Check says what is wrong with a scenario: each faulty key, one to a line; nil: nothing.
func (s *Scenario) Check() error {
	c := &checker{}
	c.name("name", s.Name)
	if s.Seed < 0 {
		c.fault("seed", "expected 0 or more, got %d", s.Seed)
	}
	c.spanIn("length", s.Length, 100*ms, maxLength)
	c.spanIn("settle", s.Settle, 0, maxLength)
	if len(s.Drivers) == 0 {
		c.fault("drivers", "expected one at least of %s, %s", Virtual, Live)
	}
	for i, d := range s.Drivers {
		c.oneOf(at("drivers", i), d, Virtual, Live)
	}
	c.unlike("drivers", s.Drivers)
	if s.Plays(Live) && s.Fleet.Nodes > LiveNodes {
		c.fault("drivers", "live ends at %d worker nodes, and fleet.nodes is %d", LiveNodes, s.Fleet.Nodes)
	}
	s.checkFleet(c)
	s.checkClasses(c)
	s.checkLoad(c)
	s.checkRest(c)
	for i := range s.Faults {
		s.checkFault(c, at("fault", i), &s.Faults[i])
	}
	for i, text := range s.Expect {
		if _, err := s.expectation(text); err != nil {
			c.fault(at("expect", i), "%w", err)
		}
	}
	for _, l := range []struct {
		key string
		n   int
	}{
		{"fault", len(s.Faults)},
		{"expect", len(s.Expect)},
		{"bad", len(s.Bad)},
		{"class", len(s.Classes)},
		{"tenant", len(s.Tenants)},
		{"fleet.kind", len(s.Fleet.Kinds)},
		{"fleet.zones", len(s.Fleet.Zones)},
	} {
		if l.n > maxEntries {
			c.fault(l.key, "expected %d entries at most, got %d", maxEntries, l.n)
		}
	}
	return errors.Join(c.faults...)
}

// Plays tells whether a driver is among those of the scenario.
func (s *Scenario) Plays(driver string) bool { return slices.Contains(s.Drivers, driver) }

func (s *Scenario) checkFleet(c *checker) {
	f := &s.Fleet
	c.wholeIn("fleet.nodes", f.Nodes, 1, maxNodes)
	c.wholeIn("fleet.cell_size", f.CellSize, 1, maxNodes)
	c.oneOf("fleet.weights", f.Weights, "off", "nominal", "rough")
	if len(f.Zones) == 0 {
		c.fault("fleet.zones", "expected one at least")
	}
	for i, z := range f.Zones {
		c.name(at("fleet.zones", i), z)
	}
	c.unlike("fleet.zones", f.Zones)
	if len(f.Kinds) == 0 {
		c.fault("fleet.kind", "expected one at least")
	}
	names, sum := []string(nil), 0.0
	for i := range f.Kinds {
		k, key := &f.Kinds[i], at("fleet.kind", i)
		names, sum = append(names, k.Name), sum+k.Share
		c.name(key+".name", k.Name)
		c.in(key+".share", k.Share, 0, 1)
		c.in(key+".cores", k.Cores, 0.01, 1024)
		c.in(key+".speed", k.Speed, 0.01, 100)
		c.in(key+".spread", k.Spread, 0, 1)
		c.wholeIn(key+".slots", k.Slots, 1, 4096)
		c.wholeIn(key+".queue", k.Queue, 0, 1_000_000)
		c.oneOf(key+".order", k.Order, "fifo", "backfill")
		c.in(key+".cold_from", k.ColdFrom, 0.01, 1)
		c.oneOf(key+".warm_by", k.WarmBy, "time", "work")
		c.in(key+".error_rate", k.ErrorRate, 0, 1)
		c.wholeIn(key+".conns", k.Conns, 1, 1_000_000)
		c.oneOf(key+".expired", k.Expired, "run", "drop")
		c.in(key+".note_early", k.NoteEarly, 0, 1)
		c.in(key+".note_twice", k.NoteTwice, 0, 1)
		c.in(key+".note_lost", k.NoteLost, 0, 1)
		for _, x := range []struct {
			key string
			s   Span
		}{
			{"cold", k.Cold},
			{"pause_every", k.PauseEvery},
			{"pause", k.Pause},
			{"handshake", k.Handshake},
			{"idle", k.Idle},
			{"progress", k.Progress},
			{"probe_work", k.ProbeWork},
			{"accept", k.Accept},
			{"note_late", k.NoteLate},
		} {
			c.spanIn(key+"."+x.key, x.s, 0, maxSpan)
		}
		if k.PauseEvery > 0 && k.Pause == 0 {
			c.fault(key+".pause", "expected more than 0s, as pause_every is %v", k.PauseEvery)
		}
		if k.Progress > 0 {
			c.spanIn(key+".progress", k.Progress, 10*ms, maxSpan)
		}
	}
	c.unlike("fleet.kind", names)
	c.one("fleet.kind", sum)
}

func (s *Scenario) checkClasses(c *checker) {
	if len(s.Classes) == 0 {
		c.fault("class", "expected one at least")
	}
	names, sum := []string(nil), 0.0
	for i := range s.Classes {
		x, key := &s.Classes[i], at("class", i)
		names, sum = append(names, x.Name), sum+x.Share
		c.name(key+".name", x.Name)
		c.in(key+".share", x.Share, 0, 1)
		c.spanIn(key+".work", x.Work, us, Span(time.Hour))
		c.oneOf(key+".dist", x.Dist, "fixed", "exp", "lognormal", "pareto")
		if x.Dist == "lognormal" || x.Dist == "pareto" {
			c.in(key+".cv", x.CV, 0.01, 100)
		}
		c.in(key+".noise", x.Noise, 0, 10)
		if n := len(x.Slots); n < 1 || n > 4 {
			c.fault(key+".slots", "expected one to four shares, of jobs that take 1, 2, 4 and 8 slots, got %d", n)
		}
		slots, most := 0.0, 0
		for j, share := range x.Slots {
			c.in(at(key+".slots", j), share, 0, 1)
			if slots += share; share > 0 {
				most = 1 << min(j, 8)
			}
		}
		c.one(key+".slots", slots)
		c.spanIn(key+".aim", x.Aim, 0, maxSpan)
		c.in(key+".stretch", x.Stretch, 0, 1000)
		c.spanIn(key+".deadline", x.Deadline, 10*ms, Span(time.Hour))
		c.in(key+".worth", x.Worth, 0, 1e6)
		c.oneOf(key+".effect", x.Effect, "safe", "keyed", "unsafe")
		c.oneOf(key+".group", x.Group, "cell", "zone", "all")
		c.spanIn(key+".window", x.Window, ms, maxSpan)
		fits, known := false, x.Kind == ""
		for k := range s.Fleet.Kinds {
			if kind := &s.Fleet.Kinds[k]; x.Kind == "" || x.Kind == kind.Name {
				known, fits = true, fits || kind.Slots >= most
			}
		}
		if !known {
			c.fault(key+".kind", "%q is no kind of worker node here", x.Kind)
		} else if !fits {
			c.fault(key+".slots", "a job of %d slots fits no worker node that may run it", most)
		}
	}
	c.unlike("class", names)
	c.one("class", sum)
	if len(s.Tenants) == 0 {
		c.fault("tenant", "expected one at least")
	}
	tenants, sum, usage := []string(nil), 0.0, 0.0
	for i := range s.Tenants {
		t, key := &s.Tenants[i], at("tenant", i)
		tenants, sum, usage = append(tenants, t.Name), sum+t.Share, usage+t.Share*t.Usage
		c.name(key+".name", t.Name)
		c.in(key+".share", t.Share, 0, 1)
		c.in(key+".usage", t.Usage, 0, 1000)
		if slices.Contains(names, t.Name) {
			c.fault(key+".name", "%q is a class already", t.Name)
		}
	}
	c.unlike("tenant", tenants)
	if c.one("tenant", sum); usage <= 0 {
		c.fault("tenant", "none asks for anything")
	}
}

func (s *Scenario) checkLoad(c *checker) {
	l := &s.Load
	given := 0
	for _, x := range []struct {
		key         string
		value, most float64
	}{{"load.of", l.Of, 100}, {"load.rate", l.Rate, maxRate}, {"load.closed", float64(l.Closed), maxClosed}} {
		if c.in(x.key, x.value, 0, x.most); x.value > 0 {
			given++
		}
	}
	if given != 1 {
		c.fault("load", "expected one of load.of, load.rate and load.closed above 0, got %d", given)
	}
	c.oneOf("load.shape", l.Shape, "steady", "bursty", "swell", "month_start")
	c.in("load.swing", l.Swing, 0, 1)
	c.oneOf("load.hints", l.Hints, "none", "exact", "rough", "wrong")
	c.in("load.hint_factor", l.HintFactor, 0, 1000)
	if l.Hints == "wrong" {
		c.in("load.hint_factor", l.HintFactor, 0.001, 1000)
	}
	c.in("load.over_worth", l.OverWorth, 0, 1)
	c.in("load.quota", l.Quota, 0.001, 100)
	c.wholeIn("clients.retries", s.Clients.Retries, 0, 100)
	c.spanIn("clients.backoff", s.Clients.Backoff, 0, maxSpan)
	c.in("clients.honour", s.Clients.Honour, 0, 1)
	c.in("clients.impatient", s.Clients.Impatient, 0, 1)
	c.in("clients.try_share", s.Clients.TryShare, 0.01, 1)
	for i := range s.Bad {
		b, key := &s.Bad[i], at("bad", i)
		c.oneOf(key+".kind", b.Kind, BadKinds...)
		c.in(key+".rate", b.Rate, 0.001, 100_000)
		c.spanIn(key+".at", b.At, 0, s.Length-1)
		c.spanIn(key+".for", b.For, 0, maxSpan)
		if !s.Plays(Live) {
			c.fault(key, "bad clients are live only, and live is not among drivers")
		}
	}
}

func (s *Scenario) checkRest(c *checker) {
	n, d, p, r := &s.Net, &s.Discovery, &s.Schedulers, &s.Rules
	for _, x := range []struct {
		key       string
		s         Span
		low, high Span
	}{
		{"net.delay", n.Delay, 0, 10 * s1},
		{"net.cross", n.Cross, 0, 10 * s1},
		{"net.client", n.Client, 0, 10 * s1},
		{"net.handshake", n.Handshake, 0, 10 * s1},
		{"net.drops_idle", n.DropsIdle, 0, maxSpan},
		{"discovery.notice", d.Notice, 0, maxSpan},
		{"discovery.silent_notice", d.SilentNotice, 0, maxSpan},
		{"discovery.add", d.Add, 0, maxSpan},
		{"discovery.period", d.Period, ms, maxSpan},
		{"discovery.timeout", d.Timeout, ms, maxSpan},
		{"front.notice", s.Front.Notice, 0, maxSpan},
		{"schedulers.max_retry_after", p.MaxRetryAfter, 0, maxSpan},
		{"schedulers.conn_idle", p.ConnIdle, 0, maxSpan},
		{"schedulers.conn_timeout", p.ConnTimeout, ms, maxSpan},
		{"schedulers.start_over", p.StartOver, 0, s.Length},
		{"rules.slack", r.Slack, 0, maxSpan},
		{"rules.drain_grace", r.DrainGrace, ms, maxSpan},
		{"rules.ask_every", r.AskEvery, ms, maxSpan},
		{"rules.fall", r.Fall, ms, maxSpan},
		{"rules.bad_answered", r.BadAnswered, ms, maxSpan},
		{"rules.give_up_within", r.GiveUpWithin, ms, maxSpan},
	} {
		c.spanIn(x.key, x.s, x.low, x.high)
	}
	c.in("net.jitter", n.Jitter, 0, 10)
	c.in("discovery.capacity", d.Capacity, 0, 1e9)
	c.wholeIn("schedulers.count", p.Count, 1, maxSchedulers)
	c.wholeIn("planners.count", s.Planners.Count, 0, maxPlanners)
	c.wholeIn("planners.idle", s.Planners.Idle, 0, s.Planners.Count)
	c.spanIn("planners.drops", s.Planners.Drops, 0, maxSpan)
	if s.Planners.Count > 0 && s.Plays(Live) {
		c.fault("drivers", "planners are virtual only, and live is among the drivers")
	}
	c.in("schedulers.cores", p.Cores, 0.01, 64)
	c.wholeIn("schedulers.memory_mb", p.MemoryMB, 16, 65536)
	c.wholeIn("schedulers.sockets", p.Sockets, 64, 1<<20)
	c.wholeIn("schedulers.try_limit", p.TryLimit, 1, 100)
	if _, err := config.DecodeOps(p.Ops); err != nil {
		c.fault("schedulers.ops", "%w", err)
	}
	c.in("rules.fall_factor", r.FallFactor, 1, 1000)
}

func (s *Scenario) checkFault(c *checker, key string, f *Fault) {
	to, ok := FaultKinds[f.What]
	if !ok {
		c.fault(key+".what", "%q is none of the faults: %s", f.What,
			strings.Join(slices.Sorted(maps.Keys(FaultKinds)), ", "))
		return
	}
	rule := faultRules[f.What]
	switch {
	case f.At < 0 || f.At >= s.Length:
		c.fault(key+".at", "%v is outside the play, which is %v long", f.At, s.Length)
	case f.Spread < 0 || f.At+f.Spread > s.Length:
		c.fault(key+".spread", "%v reaches outside the play, which is %v long", f.Spread, s.Length)
	case f.Spread > 0 && (to != "node" && to != "sched" && to != "planner" || f.What == "half_open"):
		c.fault(key+".spread", "%s strikes all at once", f.What)
	}
	c.spanIn(key+".for", f.For, 0, maxSpan)
	switch {
	case rule.needsFor && f.For == 0:
		c.fault(key+".for", "missing: %s does not hold for good", f.What)
	case !rule.hasFor && f.For != 0:
		c.fault(key+".for", "%s has none", f.What)
	}
	switch {
	case rule.size == 0 && !rule.needsSize:
		if f.Size != 0 {
			c.fault(key+".size", "%s has none", f.What)
		}
	case f.Size == 0:
		c.fault(key+".size", "missing")
	default:
		c.in(key+".size", f.Size, rule.low, rule.high)
	}
	if f.What == "reset_at" && f.Size != math.Trunc(f.Size) {
		c.fault(key+".size", "expected a whole number of bytes, got %v", f.Size)
	}
	if f.What == "disco_slow" && s.Discovery.Capacity == 0 {
		c.fault(key+".what", "discovery.capacity is 0, without limit: there is nothing to slow")
	}
	nodes, scheds := to == "node" || rule.takesNodes, to == "sched"
	if (to == "planner" || to == "planners") && s.Planners.Count == 0 {
		c.fault(key+".what", "there are no planners")
	}
	if to == "net" || to == "planners" {
		some := pairs
		if to == "planners" {
			some = plannerPairs
		}
		if !slices.ContainsFunc(some, func(p [2]string) bool {
			return p == [2]string{f.Between, f.And} || p == [2]string{f.And, f.Between}
		}) {
			c.fault(key+".between", "%q and %q do not speak to each other", f.Between, f.And)
		}
		if f.What == "drop_idle" && (f.Between == "discovery" || f.And == "discovery") {
			c.fault(key+".between", "discovery keeps no idle connections")
		}
		nodes = f.Between == "nodes" || f.And == "nodes"
		scheds = f.Between == "schedulers" || f.And == "schedulers"
	} else if f.Between != "" || f.And != "" {
		c.fault(key+".between", "%s is not done to the network between two crowds", f.What)
	}
	s.checkTarget(c, key+".on", f, nodes, scheds, to == "planner" || f.Between == "planners" || f.And == "planners",
		to == "clients" && f.What == "burst")
}

// checkTarget refuses what a target can't name, and what matches nothing.
func (s *Scenario) checkTarget(c *checker, key string, f *Fault, nodes, scheds, planners, tenants bool) {
	t := &f.On
	may := func(part string, given, ok bool) bool {
		if given && !ok {
			c.fault(key+"."+part, "%s is done to nobody who has one", f.What)
		}
		return given && ok
	}
	if may("names", len(t.Names) > 0, nodes) {
		for i, name := range t.Names {
			if _, ok := NodeIndex(name, s.Fleet.Nodes); !ok {
				c.fault(at(key+".names", i), "%q matches nothing: worker nodes are w-0 to w-%d", name, s.Fleet.Nodes-1)
			}
		}
	}
	if may("cells", len(t.Cells) > 0, nodes) {
		cells := (s.Fleet.Nodes + s.Fleet.CellSize - 1) / max(1, s.Fleet.CellSize)
		for i, cell := range t.Cells {
			if cell < 0 || cell >= cells {
				c.fault(at(key+".cells", i), "%d matches nothing: cells are 0 to %d", cell, cells-1)
			}
		}
	}
	if may("kind", t.Kind != "", nodes) &&
		!slices.ContainsFunc(s.Fleet.Kinds, func(k Kind) bool { return k.Name == t.Kind && k.Share > 0 }) {
		c.fault(key+".kind", "%q matches nothing: there is no worker node of that kind", t.Kind)
	}
	zones := s.Fleet.Zones[:min(len(s.Fleet.Zones), max(0, s.Fleet.Nodes))] // dealt out in turn
	if may("zone", t.Zone != "", nodes) && !slices.Contains(zones, t.Zone) {
		c.fault(key+".zone", "%q matches nothing: zones are %s", t.Zone, strings.Join(zones, ", "))
	}
	if may("planners", len(t.Planners) > 0, planners) {
		for i, n := range t.Planners {
			if n < 0 || n >= s.Planners.Count {
				c.fault(at(key+".planners", i), "%d matches nothing: planners are 0 to %d", n, s.Planners.Count-1)
			}
		}
	}
	to := FaultKinds[f.What]
	if may("share", t.Share != 0, to == "planner" || to != "planners" && (nodes || scheds)) {
		c.in(key+".share", t.Share, 0, 1)
	}
	if may("schedulers", len(t.Schedulers) > 0, scheds) {
		for i, n := range t.Schedulers {
			if n < 0 || n >= s.Schedulers.Count {
				c.fault(at(key+".schedulers", i), "%d matches nothing: schedulers are 0 to %d", n, s.Schedulers.Count-1)
			}
		}
	}
	if may("tenant", t.Tenant != "", tenants) &&
		!slices.ContainsFunc(s.Tenants, func(x Tenant) bool { return x.Name == t.Tenant }) {
		c.fault(key+".tenant", "%q matches nothing: there is no such tenant", t.Tenant)
	}
	if may("class", t.Class != "", tenants) &&
		!slices.ContainsFunc(s.Classes, func(x Class) bool { return x.Name == t.Class }) {
		c.fault(key+".class", "%q matches nothing: there is no such class", t.Class)
	}
}

// NodeIndex is the index of the worker node that is named w-N in a fleet of so many.
func NodeIndex(name string, nodes int) (int, bool) {
	digits, ok := strings.CutPrefix(name, "w-")
	n, err := strconv.Atoi(digits)
	return n, ok && err == nil && n >= 0 && n < nodes && strconv.Itoa(n) == digits
}

// checker gathers what is wrong.
type checker struct{ faults []error }

func (c *checker) fault(key, format string, args ...any) {
	c.faults = append(c.faults, fmt.Errorf("key %q: "+format, append([]any{key}, args...)...))
}

func at(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

func (c *checker) in(key string, x, low, high float64) {
	if !(x >= low && x <= high) { // nor NaN
		c.fault(key, "expected %v to %v, got %v", low, high, x)
	}
}

func (c *checker) wholeIn(key string, n, low, high int) {
	if n < low || n > high {
		c.fault(key, "expected %d to %d, got %d", low, high, n)
	}
}

func (c *checker) spanIn(key string, s, low, high Span) {
	if s < low || s > high {
		c.fault(key, "expected %v to %v, got %v", low, high, s)
	}
}

func (c *checker) oneOf(key, text string, words ...string) {
	if !slices.Contains(words, text) {
		c.fault(key, "expected one of %s, got %q", strings.Join(words, ", "), text)
	}
}

// one checks a sum of shares.
func (c *checker) one(key string, sum float64) {
	if !(math.Abs(sum-1) <= 0.005) {
		c.fault(key, "the shares make %.4g, and have to make 1", sum)
	}
}

// name checks a word that goes into paths, headers and files' names.
func (c *checker) name(key, text string) {
	ok := text != "" && len(text) <= 64 && text[0] != '.' && text[0] != '-'
	for _, b := range []byte(text) {
		ok = ok && (b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-' || b == '_' || b == '.')
	}
	if !ok {
		c.fault(key, "expected up to 64 letters, digits, '-', '_' or '.', got %q", text)
	}
}

// unlike checks that no name is there twice.
func (c *checker) unlike(key string, names []string) {
	for i, n := range names {
		if slices.Index(names, n) < i {
			c.fault(at(key, i), "%q is there twice", n)
		}
	}
}
