package scenario

import (
	"strconv"
	"strings"
)

// FaultScope is the part of the environment that a kind of fault affects.
type FaultScope string

// Scopes of faults.
const (
	FaultScopeWorker         FaultScope = "node"
	FaultScopeNetwork        FaultScope = "net" // between two groups, neither of them planners
	FaultScopeDiscovery      FaultScope = "disco"
	FaultScopeClients        FaultScope = "clients"
	FaultScopeScheduler      FaultScope = "sched"
	FaultScopePlanner        FaultScope = "planner"
	FaultScopePlannerNetwork FaultScope = "planners" // between planners or schedulers and another group
)

// Groups that the network connects, as Fault.Between and Fault.And name them.
const (
	groupSchedulers = "schedulers"
	groupWorkers    = "nodes"
	groupDiscovery  = "discovery"
	groupClients    = "clients"
	groupPlanners   = "planners"
)

// Kinds of faults with rules of their own.
const (
	faultBurst         = "burst"
	faultDiscoverySlow = "disco_slow"
	faultDropIdle      = "drop_idle"
	faultHalfOpen      = "half_open"
	faultResetAt       = "reset_at"
)

// Fault is a fault that is injected during a run. The package comment says what Size means for each kind.
type Fault struct {
	Kind     string   `toml:"what"` // a key of FaultKinds
	At       Duration `toml:"at"`
	Duration Duration `toml:"for"`     // 0: until the end of the run
	Spread   Duration `toml:"spread"`  // targets are struck one after the other over this time
	Target   Target   `toml:"on"`      // default: everything in the fault's scope
	Between  string   `toml:"between"` // of network faults: schedulers, nodes, discovery, clients, planners
	And      string   `toml:"and"`
	Size     float64  `toml:"size"`
}

// Target selects what a fault strikes: everything that matches all given criteria.
type Target struct {
	Names      []string `toml:"names"`      // of workers: w-0, w-1, ...
	Cells      []int    `toml:"cells"`      // of workers
	Kind       string   `toml:"kind"`       // of workers
	Zone       string   `toml:"zone"`       // of workers
	Share      float64  `toml:"share"`      // of those that match the other criteria, chosen by the seed, at least one; 0: all
	Schedulers []int    `toml:"schedulers"` // by index; empty: all
	Planners   []int    `toml:"planners"`   // by index; empty: all
	Tenant     string   `toml:"tenant"`
	Class      string   `toml:"class"`
}

// FaultKinds has the scope of each kind of fault.
var FaultKinds = scopesByKind()

func scopesByKind() map[string]FaultScope {
	scopes := make(map[string]FaultScope, len(faultRules))
	for kind, rule := range faultRules {
		scopes[kind] = rule.scope
	}
	return scopes
}

// faultRule says which keys, besides what and at, a kind of fault has.
type faultRule struct {
	scope            FaultScope
	size             float64 // default; 0: the kind has no size, or needsSize is set
	minSize          float64
	maxSize          float64
	needsSize        bool
	hasDuration      bool
	needsDuration    bool
	targetsWorkers   bool // the target may select workers although the scope is not FaultScopeWorker
	strikesAllAtOnce bool // the targets can't be struck one after the other
}

// hasSize reports whether the kind has the key size.
func (r *faultRule) hasSize() bool { return r.size != 0 || r.needsSize }

// canSpread reports whether the targets may be struck one after the other.
func (r *faultRule) canSpread() bool {
	switch r.scope {
	case FaultScopeWorker, FaultScopeScheduler, FaultScopePlanner:
		return !r.strikesAllAtOnce
	}
	return false
}

var faultRules = map[string]faultRule{
	"crash":           {scope: FaultScopeWorker, hasDuration: true},
	"vanish":          {scope: FaultScopeWorker, hasDuration: true},
	"hang":            {scope: FaultScopeWorker, hasDuration: true},
	"pause":           {scope: FaultScopeWorker, hasDuration: true, needsDuration: true},
	"slow":            {scope: FaultScopeWorker, hasDuration: true, size: 2, minSize: 1, maxSize: 1000},
	"errors":          {scope: FaultScopeWorker, hasDuration: true, size: 0.5, minSize: 0.001, maxSize: 1},
	"full":            {scope: FaultScopeWorker, hasDuration: true},
	"drain":           {scope: FaultScopeWorker},
	"restart":         {scope: FaultScopeWorker, hasDuration: true},
	"replace":         {scope: FaultScopeWorker, hasDuration: true, needsDuration: true},
	"gone":            {scope: FaultScopeWorker},
	"no_notes":        {scope: FaultScopeWorker, hasDuration: true},
	"early_202_crash": {scope: FaultScopeWorker, hasDuration: true},
	"handback":        {scope: FaultScopeWorker},
	"refuse":          {scope: FaultScopeWorker, hasDuration: true},
	"never_up":        {scope: FaultScopeWorker, hasDuration: true},
	faultResetAt:      {scope: FaultScopeWorker, hasDuration: true, size: 64, minSize: -1 << 20, maxSize: 1 << 20},
	faultHalfOpen: {
		scope: FaultScopeWorker, hasDuration: true, size: 0.1, minSize: 0.001, maxSize: 3600, strikesAllAtOnce: true,
	},
	"slow_read": {scope: FaultScopeWorker, hasDuration: true},

	"cut":         {scope: FaultScopeNetwork, hasDuration: true},
	"cut_one_way": {scope: FaultScopeNetwork, hasDuration: true},
	"delay":       {scope: FaultScopeNetwork, hasDuration: true, needsSize: true, minSize: 0.001, maxSize: 60_000},
	faultDropIdle: {scope: FaultScopeNetwork, hasDuration: true, size: 1, minSize: 0.001, maxSize: 3600},

	"disco_down":       {scope: FaultScopeDiscovery, hasDuration: true},
	"disco_late":       {scope: FaultScopeDiscovery, hasDuration: true, size: 5, minSize: 0.001, maxSize: 3600},
	"disco_wrong":      {scope: FaultScopeDiscovery, hasDuration: true, targetsWorkers: true},
	"disco_old":        {scope: FaultScopeDiscovery, hasDuration: true},
	faultDiscoverySlow: {scope: FaultScopeDiscovery, hasDuration: true, size: 4, minSize: 1, maxSize: 1e6},
	"disco_moves":      {scope: FaultScopeDiscovery},

	faultBurst: {scope: FaultScopeClients, hasDuration: true, size: 3, minSize: 0.001, maxSize: 1000},
	"storm":    {scope: FaultScopeClients, hasDuration: true, size: 3, minSize: 1, maxSize: 1000},

	"sched_kill":    {scope: FaultScopeScheduler, hasDuration: true},
	"sched_term":    {scope: FaultScopeScheduler, hasDuration: true},
	"sched_freeze":  {scope: FaultScopeScheduler, hasDuration: true, needsDuration: true},
	"sched_reload":  {scope: FaultScopeScheduler},
	"sched_replace": {scope: FaultScopeScheduler},

	"planner_kill":   {scope: FaultScopePlanner, hasDuration: true},
	"planner_term":   {scope: FaultScopePlanner, hasDuration: true},
	"planner_freeze": {scope: FaultScopePlanner, hasDuration: true, needsDuration: true},
	"planner_start":  {scope: FaultScopePlanner},
	"planner_slow":   {scope: FaultScopePlanner, hasDuration: true, size: 80, minSize: 0.001, maxSize: 60_000},
	"planner_drop":   {scope: FaultScopePlanner},

	"planner_cut":         {scope: FaultScopePlannerNetwork, hasDuration: true},
	"planner_cut_one_way": {scope: FaultScopePlannerNetwork, hasDuration: true},
}

// networkPairs has, by scope, the pairs of groups between which a network fault may be.
var networkPairs = map[FaultScope][][2]string{
	FaultScopeNetwork: {
		{groupSchedulers, groupWorkers},
		{groupSchedulers, groupDiscovery},
		{groupSchedulers, groupClients},
		{groupSchedulers, groupSchedulers},
		{groupWorkers, groupDiscovery},
	},
	FaultScopePlannerNetwork: {
		{groupPlanners, groupSchedulers},
		{groupPlanners, groupPlanners},
		{groupPlanners, groupDiscovery},
		{groupSchedulers, groupSchedulers},
	},
}

// isBetween reports whether the group is one side of a network fault.
func (f *Fault) isBetween(group string) bool { return f.Between == group || f.And == group }

// isAmongSchedulers reports whether a network fault is between schedulers and other schedulers.
func (f *Fault) isAmongSchedulers() bool {
	return f.Between == groupSchedulers && f.And == groupSchedulers
}

// WorkerIndex returns the index N of the worker named w-N, and false if a fleet of the given size has no such worker.
func WorkerIndex(name string, workers int) (int, bool) {
	digits, hasPrefix := strings.CutPrefix(name, workerNamePrefix)
	if !hasPrefix {
		return 0, false
	}
	index, err := strconv.Atoi(digits)
	isCanonical := err == nil && strconv.Itoa(index) == digits
	return index, isCanonical && index >= 0 && index < workers
}

const workerNamePrefix = "w-"
