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

// Bounds that keep a run within what a machine can hold.
const (
	maxWorkers       = 100_000
	maxSchedulers    = 128
	maxPlanners      = 16
	maxEntries       = 1000 // of any list
	maxRate          = 1e7  // jobs a second
	maxClosedClients = 1_000_000
	maxLength        = Duration(24 * time.Hour)
	maxDuration      = Duration(24 * time.Hour)
)

// A fault's keys besides what and at.
type faultRule struct {
	size       float64 // default; 0: the kind has no size
	low, high  float64 // of the size
	needsSize  bool
	needsFor   bool
	hasFor     bool
	takesNodes bool // On may name workers though it isn't done to them
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

// networkPairs of crowds that speak to each other.
var networkPairs = [][2]string{
	{"schedulers", "nodes"},
	{"schedulers", "discovery"},
	{"schedulers", "clients"},
	{"nodes", "discovery"},
}

// plannerNetworkPairs are those with planners, and forwarders among each other.
var plannerNetworkPairs = [][2]string{
	{"planners", "schedulers"},
	{"planners", "planners"},
	{"planners", "discovery"},
	{"schedulers", "schedulers"},
}

// Check says what is wrong with a scenario: each faulty key, one to a line; nil: nothing.
func (s *Scenario) Check() error {
	validator := &validator{}
	validator.validName("name", s.Name)
	if s.Seed < 0 {
		validator.report("seed", "expected 0 or more, got %d", s.Seed)
	}
	validator.durationInRange("length", s.Length, 100*millisecond, maxLength)
	validator.durationInRange("settle", s.Settle, 0, maxLength)
	if len(s.Drivers) == 0 {
		validator.report("drivers", "expected one at least of %s, %s", DriverSimulation, DriverProcess)
	}
	for i, d := range s.Drivers {
		validator.oneOf(entryKey("drivers", i), d, DriverSimulation, DriverProcess)
	}
	validator.distinct("drivers", s.Drivers)
	if s.SupportsDriver(DriverProcess) && s.Fleet.Workers > MaxProcessWorkers {
		validator.report("drivers", "live ends at %d worker nodes, and fleet.nodes is %d", MaxProcessWorkers, s.Fleet.Workers)
	}
	s.checkFleet(validator)
	s.checkClasses(validator)
	s.checkLoad(validator)
	s.checkEnvironment(validator)
	for i := range s.Faults {
		s.checkFault(validator, entryKey("fault", i), &s.Faults[i])
	}
	for i, text := range s.Expect {
		if _, err := s.expectation(text); err != nil {
			validator.report(entryKey("expect", i), "%w", err)
		}
	}
	for _, limit := range []struct {
		key string
		n   int
	}{
		{"fault", len(s.Faults)},
		{"expect", len(s.Expect)},
		{"bad", len(s.Misbehaving)},
		{"class", len(s.Classes)},
		{"tenant", len(s.Tenants)},
		{"fleet.kind", len(s.Fleet.Kinds)},
		{"fleet.zones", len(s.Fleet.Zones)},
	} {
		if limit.n > maxEntries {
			validator.report(limit.key, "expected %d entries at most, got %d", maxEntries, limit.n)
		}
	}
	return errors.Join(validator.problems...)
}

// SupportsDriver tells whether a driver is among those of the scenario.
func (s *Scenario) SupportsDriver(driver string) bool { return slices.Contains(s.Drivers, driver) }

func (s *Scenario) checkFleet(validator *validator) {
	f := &s.Fleet
	validator.intInRange("fleet.nodes", f.Workers, 1, maxWorkers)
	validator.intInRange("fleet.cell_size", f.CellSize, 1, maxWorkers)
	validator.oneOf("fleet.weights", f.Weights, "off", "nominal", "rough")
	if len(f.Zones) == 0 {
		validator.report("fleet.zones", "expected one at least")
	}
	for i, z := range f.Zones {
		validator.validName(entryKey("fleet.zones", i), z)
	}
	validator.distinct("fleet.zones", f.Zones)
	if len(f.Kinds) == 0 {
		validator.report("fleet.kind", "expected one at least")
	}
	names, sum := []string(nil), 0.0
	for i := range f.Kinds {
		workerKind, key := &f.Kinds[i], entryKey("fleet.kind", i)
		names, sum = append(names, workerKind.Name), sum+workerKind.Share
		validator.validName(key+".name", workerKind.Name)
		validator.inRange(key+".share", workerKind.Share, 0, 1)
		validator.inRange(key+".cores", workerKind.Cores, 0.01, 1024)
		validator.inRange(key+".speed", workerKind.Speed, 0.01, 100)
		validator.inRange(key+".spread", workerKind.Spread, 0, 1)
		validator.intInRange(key+".slots", workerKind.Slots, 1, 4096)
		validator.intInRange(key+".queue", workerKind.Queue, 0, 1_000_000)
		validator.oneOf(key+".order", workerKind.QueueOrder, "fifo", "backfill")
		validator.inRange(key+".cold_from", workerKind.WarmUpCapacity, 0.01, 1)
		validator.oneOf(key+".warm_by", workerKind.WarmUpBy, "time", "work")
		validator.inRange(key+".error_rate", workerKind.ErrorRate, 0, 1)
		validator.intInRange(key+".conns", workerKind.ConnLimit, 1, 1_000_000)
		validator.oneOf(key+".expired", workerKind.ExpiredJobs, "run", "drop")
		validator.inRange(key+".note_early", workerKind.CallbackEarlyShare, 0, 1)
		validator.inRange(key+".note_twice", workerKind.CallbackTwiceShare, 0, 1)
		validator.inRange(key+".note_lost", workerKind.CallbackLossShare, 0, 1)
		for _, entry := range []struct {
			key string
			s   Duration
		}{
			{"cold", workerKind.WarmUp},
			{"pause_every", workerKind.PauseEvery},
			{"pause", workerKind.Pause},
			{"handshake", workerKind.Handshake},
			{"idle", workerKind.ConnIdleTimeout},
			{"progress", workerKind.ProgressInterval},
			{"probe_work", workerKind.HealthCheckWork},
			{"accept", workerKind.Accept},
			{"note_late", workerKind.CallbackDelay},
		} {
			validator.durationInRange(key+"."+entry.key, entry.s, 0, maxDuration)
		}
		if workerKind.PauseEvery > 0 && workerKind.Pause == 0 {
			validator.report(key+".pause", "expected more than 0s, as pause_every is %v", workerKind.PauseEvery)
		}
		if workerKind.ProgressInterval > 0 {
			validator.durationInRange(key+".progress", workerKind.ProgressInterval, 10*millisecond, maxDuration)
		}
	}
	validator.distinct("fleet.kind", names)
	validator.sumsToOne("fleet.kind", sum)
}

func (s *Scenario) checkClasses(c *validator) {
	if len(s.Classes) == 0 {
		c.report("class", "expected one at least")
	}
	names, sum := []string(nil), 0.0
	for i := range s.Classes {
		class, key := &s.Classes[i], entryKey("class", i)
		names, sum = append(names, class.Name), sum+class.Share
		c.validName(key+".name", class.Name)
		c.inRange(key+".share", class.Share, 0, 1)
		c.durationInRange(key+".work", class.Work, microsecond, Duration(time.Hour))
		c.oneOf(key+".dist", class.Distribution, "fixed", "exp", "lognormal", "pareto")
		if class.Distribution == "lognormal" || class.Distribution == "pareto" {
			c.inRange(key+".cv", class.CV, 0.01, 100)
		}
		c.inRange(key+".noise", class.Noise, 0, 10)
		if n := len(class.Slots); n < 1 || n > 4 {
			c.report(key+".slots", "expected one to four shares, of jobs that take 1, 2, 4 and 8 slots, got %d", n)
		}
		slots, most := 0.0, 0
		for j, share := range class.Slots {
			c.inRange(entryKey(key+".slots", j), share, 0, 1)
			if slots += share; share > 0 {
				most = 1 << min(j, 8)
			}
		}
		c.sumsToOne(key+".slots", slots)
		c.durationInRange(key+".aim", class.LatencyObjective, 0, maxDuration)
		c.inRange(key+".stretch", class.ObjectiveStretch, 0, 1000)
		c.durationInRange(key+".deadline", class.Deadline, 10*millisecond, Duration(time.Hour))
		c.inRange(key+".worth", class.PriorityWeight, 0, 1e6)
		c.oneOf(key+".effect", class.Idempotency, "safe", "keyed", "unsafe")
		c.oneOf(key+".group", class.DeduplicationScope, "cell", "zone", "all")
		c.durationInRange(key+".window", class.DeduplicationWindow, millisecond, maxDuration)
		fits, known := false, class.Kind == ""
		for k := range s.Fleet.Kinds {
			if kind := &s.Fleet.Kinds[k]; class.Kind == "" || class.Kind == kind.Name {
				known, fits = true, fits || kind.Slots >= most
			}
		}
		if !known {
			c.report(key+".kind", "%q is no kind of worker node here", class.Kind)
		} else if !fits {
			c.report(key+".slots", "a job of %d slots fits no worker node that may run it", most)
		}
	}
	c.distinct("class", names)
	c.sumsToOne("class", sum)
	if len(s.Tenants) == 0 {
		c.report("tenant", "expected one at least")
	}
	tenants, sum, usage := []string(nil), 0.0, 0.0
	for i := range s.Tenants {
		t, key := &s.Tenants[i], entryKey("tenant", i)
		tenants, sum, usage = append(tenants, t.Name), sum+t.Quota, usage+t.Quota*t.Usage
		c.validName(key+".name", t.Name)
		c.inRange(key+".share", t.Quota, 0, 1)
		c.inRange(key+".usage", t.Usage, 0, 1000)
		if slices.Contains(names, t.Name) {
			c.report(key+".name", "%q is a class already", t.Name)
		}
	}
	c.distinct("tenant", tenants)
	if c.sumsToOne("tenant", sum); usage <= 0 {
		c.report("tenant", "none asks for anything")
	}
}

func (s *Scenario) checkLoad(validator *validator) {
	load := &s.Load
	given := 0
	for _, x := range []struct {
		key         string
		value, most float64
	}{{"load.of", load.CapacityShare, 100}, {"load.rate", load.Rate, maxRate}, {"load.closed", float64(load.ClosedClients), maxClosedClients}} {
		if validator.inRange(x.key, x.value, 0, x.most); x.value > 0 {
			given++
		}
	}
	if given != 1 {
		validator.report("load", "expected one of load.of, load.rate and load.closed above 0, got %d", given)
	}
	validator.oneOf("load.shape", load.Shape, "steady", "bursty", "swell", "month_start")
	validator.inRange("load.swing", load.Swing, 0, 1)
	validator.oneOf("load.hints", load.Hints, "none", "exact", "rough", "wrong")
	validator.inRange("load.hint_factor", load.HintFactor, 0, 1000)
	if load.Hints == "wrong" {
		validator.inRange("load.hint_factor", load.HintFactor, 0.001, 1000)
	}
	validator.inRange("load.over_worth", load.OverQuotaWeight, 0, 1)
	validator.inRange("load.quota", load.Quota, 0.001, 100)
	validator.intInRange("clients.retries", s.Clients.Retries, 0, 100)
	validator.durationInRange("clients.backoff", s.Clients.Backoff, 0, maxDuration)
	validator.inRange("clients.honour", s.Clients.HonourRetryAfter, 0, 1)
	validator.inRange("clients.impatient", s.Clients.Impatient, 0, 1)
	validator.inRange("clients.try_share", s.Clients.RequestTimeoutShare, 0.01, 1)
	for i := range s.Misbehaving {
		b, key := &s.Misbehaving[i], entryKey("bad", i)
		validator.oneOf(key+".kind", b.Kind, MisbehaviorKinds...)
		validator.inRange(key+".rate", b.Rate, 0.001, 100_000)
		validator.durationInRange(key+".at", b.At, 0, s.Length-1)
		validator.durationInRange(key+".for", b.Duration, 0, maxDuration)
		if !s.SupportsDriver(DriverProcess) {
			validator.report(key, "bad clients are live only, and live is not among drivers")
		}
	}
}

func (s *Scenario) checkEnvironment(validator *validator) {
	n, d, p, rules := &s.Network, &s.Discovery, &s.Schedulers, &s.Rules
	for _, entry := range []struct {
		key       string
		s         Duration
		low, high Duration
	}{
		{"net.delay", n.Delay, 0, 10 * second},
		{"net.cross", n.CrossZone, 0, 10 * second},
		{"net.client", n.ClientDelay, 0, 10 * second},
		{"net.handshake", n.Handshake, 0, 10 * second},
		{"net.drops_idle", n.DropsIdleAfter, 0, maxDuration},
		{"discovery.notice", d.NoticeDelay, 0, maxDuration},
		{"discovery.silent_notice", d.SilentNoticeDelay, 0, maxDuration},
		{"discovery.add", d.AddDelay, 0, maxDuration},
		{"discovery.period", d.Period, millisecond, maxDuration},
		{"discovery.timeout", d.Timeout, millisecond, maxDuration},
		{"front.notice", s.LoadBalancer.NoticeDelay, 0, maxDuration},
		{"schedulers.max_retry_after", p.MaxRetryAfter, 0, maxDuration},
		{"schedulers.conn_idle", p.ConnIdleTimeout, 0, maxDuration},
		{"schedulers.conn_timeout", p.ConnTimeout, millisecond, maxDuration},
		{"schedulers.start_over", p.StartSpread, 0, s.Length},
		{"rules.slack", rules.Slack, 0, maxDuration},
		{"rules.drain_grace", rules.DrainGrace, millisecond, maxDuration},
		{"rules.ask_every", rules.PollInterval, millisecond, maxDuration},
		{"rules.fall", rules.OverloadWindow, millisecond, maxDuration},
		{"rules.bad_answered", rules.MisbehaviorDeadline, millisecond, maxDuration},
		{"rules.give_up_within", rules.RejectionDeadline, millisecond, maxDuration},
	} {
		validator.durationInRange(entry.key, entry.s, entry.low, entry.high)
	}
	validator.inRange("net.jitter", n.Jitter, 0, 10)
	validator.inRange("discovery.capacity", d.Capacity, 0, 1e9)
	validator.intInRange("schedulers.count", p.Count, 1, maxSchedulers)
	validator.intInRange("planners.count", s.Planners.Count, 0, maxPlanners)
	validator.intInRange("planners.idle", s.Planners.Idle, 0, s.Planners.Count)
	validator.durationInRange("planners.drops", s.Planners.Drops, 0, maxDuration)
	if s.Planners.Count > 0 && s.SupportsDriver(DriverProcess) {
		validator.report("drivers", "planners are virtual only, and live is among the drivers")
	}
	validator.inRange("schedulers.cores", p.Cores, 0.01, 64)
	validator.intInRange("schedulers.memory_mb", p.MemoryMB, 16, 65536)
	validator.intInRange("schedulers.sockets", p.Sockets, 64, 1<<20)
	validator.intInRange("schedulers.try_limit", p.AttemptLimit, 1, 100)
	if _, err := config.DecodeOps(p.OperationsFile); err != nil {
		validator.report("schedulers.ops", "%w", err)
	}
	validator.inRange("rules.fall_factor", rules.OverloadFactor, 1, 1000)
}

func (s *Scenario) checkFault(c *validator, key string, f *Fault) {
	end, ok := FaultKinds[f.Kind]
	if !ok {
		c.report(key+".what", "%q is none of the faults: %s", f.Kind,
			strings.Join(slices.Sorted(maps.Keys(FaultKinds)), ", "))
		return
	}
	rule := faultRules[f.Kind]
	switch {
	case f.At < 0 || f.At >= s.Length:
		c.report(key+".at", "%v is outside the play, which is %v long", f.At, s.Length)
	case f.Spread < 0 || f.At+f.Spread > s.Length:
		c.report(key+".spread", "%v reaches outside the play, which is %v long", f.Spread, s.Length)
	case f.Spread > 0 && (end != "node" && end != "sched" && end != "planner" || f.Kind == "half_open"):
		c.report(key+".spread", "%s strikes all at once", f.Kind)
	}
	c.durationInRange(key+".for", f.Duration, 0, maxDuration)
	switch {
	case rule.needsFor && f.Duration == 0:
		c.report(key+".for", "missing: %s does not hold for good", f.Kind)
	case !rule.hasFor && f.Duration != 0:
		c.report(key+".for", "%s has none", f.Kind)
	}
	switch {
	case rule.size == 0 && !rule.needsSize:
		if f.Size != 0 {
			c.report(key+".size", "%s has none", f.Kind)
		}
	case f.Size == 0:
		c.report(key+".size", "missing")
	default:
		c.inRange(key+".size", f.Size, rule.low, rule.high)
	}
	if f.Kind == "reset_at" && f.Size != math.Trunc(f.Size) {
		c.report(key+".size", "expected a whole number of bytes, got %v", f.Size)
	}
	if f.Kind == "disco_slow" && s.Discovery.Capacity == 0 {
		c.report(key+".what", "discovery.capacity is 0, without limit: there is nothing to slow")
	}
	nodes, scheds := end == "node" || rule.takesNodes, end == "sched"
	if (end == "planner" || end == "planners") && s.Planners.Count == 0 {
		c.report(key+".what", "there are no planners")
	}
	if end == "net" || end == "planners" {
		some := networkPairs
		if end == "planners" {
			some = plannerNetworkPairs
		}
		if !slices.ContainsFunc(some, func(p [2]string) bool {
			return p == [2]string{f.Between, f.And} || p == [2]string{f.And, f.Between}
		}) {
			c.report(key+".between", "%q and %q do not speak to each other", f.Between, f.And)
		}
		if f.Kind == "drop_idle" && (f.Between == "discovery" || f.And == "discovery") {
			c.report(key+".between", "discovery keeps no idle connections")
		}
		nodes = f.Between == "nodes" || f.And == "nodes"
		scheds = f.Between == "schedulers" || f.And == "schedulers"
	} else if f.Between != "" || f.And != "" {
		c.report(key+".between", "%s is not done to the network between two crowds", f.Kind)
	}
	s.checkTarget(c, key+".on", f, nodes, scheds, end == "planner" || f.Between == "planners" || f.And == "planners",
		end == "clients" && f.Kind == "burst")
}

// checkTarget refuses what a target can't name, and what matches nothing.
func (s *Scenario) checkTarget(c *validator, key string, f *Fault, nodes, scheds, planners, tenants bool) {
	t := &f.Target
	may := func(part string, given, ok bool) bool {
		if given && !ok {
			c.report(key+"."+part, "%s is done to nobody who has one", f.Kind)
		}
		return given && ok
	}
	if may("names", len(t.Names) > 0, nodes) {
		for i, name := range t.Names {
			if _, ok := NodeIndex(name, s.Fleet.Workers); !ok {
				c.report(entryKey(key+".names", i), "%q matches nothing: worker nodes are w-0 to w-%d", name, s.Fleet.Workers-1)
			}
		}
	}
	if may("cells", len(t.Cells) > 0, nodes) {
		cells := (s.Fleet.Workers + s.Fleet.CellSize - 1) / max(1, s.Fleet.CellSize)
		for i, cell := range t.Cells {
			if cell < 0 || cell >= cells {
				c.report(entryKey(key+".cells", i), "%d matches nothing: cells are 0 to %d", cell, cells-1)
			}
		}
	}
	if may("kind", t.Kind != "", nodes) &&
		!slices.ContainsFunc(s.Fleet.Kinds, func(k WorkerKind) bool { return k.Name == t.Kind && k.Share > 0 }) {
		c.report(key+".kind", "%q matches nothing: there is no worker node of that kind", t.Kind)
	}
	zones := s.Fleet.Zones[:min(len(s.Fleet.Zones), max(0, s.Fleet.Workers))] // dealt out in turn
	if may("zone", t.Zone != "", nodes) && !slices.Contains(zones, t.Zone) {
		c.report(key+".zone", "%q matches nothing: zones are %s", t.Zone, strings.Join(zones, ", "))
	}
	if may("planners", len(t.Planners) > 0, planners) {
		for i, n := range t.Planners {
			if n < 0 || n >= s.Planners.Count {
				c.report(entryKey(key+".planners", i), "%d matches nothing: planners are 0 to %d", n, s.Planners.Count-1)
			}
		}
	}
	to := FaultKinds[f.Kind]
	if may("share", t.Share != 0, to == "planner" || to != "planners" && (nodes || scheds)) {
		c.inRange(key+".share", t.Share, 0, 1)
	}
	if may("schedulers", len(t.Schedulers) > 0, scheds) {
		for i, n := range t.Schedulers {
			if n < 0 || n >= s.Schedulers.Count {
				c.report(entryKey(key+".schedulers", i), "%d matches nothing: schedulers are 0 to %d", n, s.Schedulers.Count-1)
			}
		}
	}
	if may("tenant", t.Tenant != "", tenants) &&
		!slices.ContainsFunc(s.Tenants, func(x Tenant) bool { return x.Name == t.Tenant }) {
		c.report(key+".tenant", "%q matches nothing: there is no such tenant", t.Tenant)
	}
	if may("class", t.Class != "", tenants) &&
		!slices.ContainsFunc(s.Classes, func(x Class) bool { return x.Name == t.Class }) {
		c.report(key+".class", "%q matches nothing: there is no such class", t.Class)
	}
}

// NodeIndex is the index of the worker that is named w-N in a fleet of so many.
func NodeIndex(name string, nodes int) (int, bool) {
	digits, ok := strings.CutPrefix(name, "w-")
	n, err := strconv.Atoi(digits)
	return n, ok && err == nil && n >= 0 && n < nodes && strconv.Itoa(n) == digits
}

// validator gathers what is wrong.
type validator struct{ problems []error }

func (c *validator) report(key, format string, args ...any) {
	c.problems = append(c.problems, fmt.Errorf("key %q: "+format, append([]any{key}, args...)...))
}

func entryKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

func (c *validator) inRange(key string, x, low, high float64) {
	if !(x >= low && x <= high) { // nor NaN
		c.report(key, "expected %v to %v, got %v", low, high, x)
	}
}

func (c *validator) intInRange(key string, n, low, high int) {
	if n < low || n > high {
		c.report(key, "expected %d to %d, got %d", low, high, n)
	}
}

func (c *validator) durationInRange(key string, s, low, high Duration) {
	if s < low || s > high {
		c.report(key, "expected %v to %v, got %v", low, high, s)
	}
}

func (c *validator) oneOf(key, text string, words ...string) {
	if !slices.Contains(words, text) {
		c.report(key, "expected one of %s, got %q", strings.Join(words, ", "), text)
	}
}

// sumsToOne checks a sum of shares.
func (c *validator) sumsToOne(key string, sum float64) {
	if !(math.Abs(sum-1) <= 0.005) {
		c.report(key, "the shares make %.4g, and have to make 1", sum)
	}
}

// validName checks a word that goes into paths, headers and files' names.
func (c *validator) validName(key, text string) {
	ok := text != "" && len(text) <= 64 && text[0] != '.' && text[0] != '-'
	for _, b := range []byte(text) {
		ok = ok && (b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-' || b == '_' || b == '.')
	}
	if !ok {
		c.report(key, "expected up to 64 letters, digits, '-', '_' or '.', got %q", text)
	}
}

// distinct checks that no name is there twice.
func (c *validator) distinct(key string, names []string) {
	for i, n := range names {
		if slices.Index(names, n) < i {
			c.report(entryKey(key, i), "%q is there twice", n)
		}
	}
}
