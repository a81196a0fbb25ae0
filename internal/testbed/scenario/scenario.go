package scenario

import "time"

// Duration is a span of time, written as in "250ms".
type Duration time.Duration

// Std is the span as the standard library has it.
func (s Duration) Std() time.Duration { return time.Duration(s) }

// Drivers of a scenario.
const (
	DriverSimulation = "virtual"
	DriverProcess    = "live"
)

// Scenario is a run before its seed is known.
type Scenario struct {
	Name         string               `toml:"name"`    // defaults to the file's
	Description  string               `toml:"about"`   // one sentence
	Seed         int                  `toml:"seed"`    // of the run that it is kept for; 0: of none
	Length       Duration             `toml:"length"`  // jobs fall due for so long
	Settle       Duration             `toml:"settle"`  // and the run goes on for at most so long; default: the longest deadline and 2 s
	Drivers      []string             `toml:"drivers"` // default both
	Fleet        Fleet                `toml:"fleet"`
	Classes      []Class              `toml:"class"`  // default: the co-operative's four
	Tenants      []Tenant             `toml:"tenant"` // default: the co-operative's three
	Load         Load                 `toml:"load"`
	Clients      Clients              `toml:"clients"`
	Misbehaving  []MisbehavingClients `toml:"bad"`
	Network      Network              `toml:"net"`
	Discovery    Discovery            `toml:"discovery"`
	LoadBalancer LoadBalancer         `toml:"front"`
	Schedulers   Schedulers           `toml:"schedulers"`
	Planners     Planners             `toml:"planners"` // default none
	Rules        Rules                `toml:"rules"`
	Faults       []Fault              `toml:"fault"`
	Expect       []string             `toml:"expect"` // "in_time >= 0.95", "recovered_within <= 5s"
}

// Fleet is the workers.
type Fleet struct {
	Workers  int          `toml:"nodes"`
	Zones    []string     `toml:"zones"`     // dealt out in turn; default one, "a"
	CellSize int          `toml:"cell_size"` // workers that share the keys they have seen; default 4
	Weights  string       `toml:"weights"`   // what discovery tells as weight: off, nominal, rough (default)
	Kinds    []WorkerKind `toml:"kind"`      // default: the co-operative's two
}

// WorkerKind is a kind of worker. A draw within its spread is made for each node.
type WorkerKind struct {
	Name                    string   `toml:"name"`
	Share                   float64  `toml:"share"` // of the fleet
	Cores                   float64  `toml:"cores"`
	Speed                   float64  `toml:"speed"`         // of a core, against a standard one
	Spread                  float64  `toml:"spread"`        // coefficient of variation of the speed between nodes
	Slots                   int      `toml:"slots"`         // jobs at once; beyond the cores they share them
	Queue                   int      `toml:"queue"`         // jobs that may wait; beyond that, 'full'
	QueueOrder              string   `toml:"order"`         // fifo (the head waits until it fits) or backfill (whatever fits first)
	WarmUpCapacity          float64  `toml:"cold_from"`     // share of the capacity that a start begins with
	WarmUp                  Duration `toml:"cold"`          // until it is warm
	WarmUpBy                string   `toml:"warm_by"`       // time or work
	PauseEvery              Duration `toml:"pause_every"`   // mean; 0: never
	Pause                   Duration `toml:"pause"`         // mean length
	ErrorRate               float64  `toml:"error_rate"`    // of jobs that run and end with an error
	ConnLimit               int      `toml:"conns"`         // connections that it holds
	Handshake               Duration `toml:"handshake"`     // work that a new connection costs it, and what its first request waits
	ConnIdleTimeout         Duration `toml:"idle"`          // it closes connections idle for so long
	ExpiredJobs             string   `toml:"expired"`       // what it does with waiting work whose budget is over: run or drop
	CancellationStops       bool     `toml:"cancel_stops"`  // DELETE ends running work; else nothing happens
	ReturnsQueued           bool     `toml:"hands_back"`    // when it drains, what has not begun is returned
	OmitsStartNotifications bool     `toml:"starts_untold"` // it tells no starts and no progress
	ProgressInterval        Duration `toml:"progress"`      // between callbacks of progress; 0: none
	HealthCheckWork         Duration `toml:"probe_work"`    // work of a probe
	Accept                  Duration `toml:"accept"`        // from the last byte of an attempt to the 202
	CallbackDelay           Duration `toml:"note_late"`     // mean further delay of notes
	CallbackEarlyShare      float64  `toml:"note_early"`    // share of jobs whose start is told before the 202
	CallbackTwiceShare      float64  `toml:"note_twice"`    // share of notes sent again though answered
	CallbackLossShare       float64  `toml:"note_lost"`     // share of notes' calls that never arrive (each is tried up to ten times)
}

// Class is a class of jobs, and what a scheduler is told of it.
type Class struct {
	Name                string    `toml:"name"`
	Share               float64   `toml:"share"` // of the jobs
	Work                Duration  `toml:"work"`  // mean run time on one standard core
	Distribution        string    `toml:"dist"`  // fixed, exp, lognormal, pareto
	CV                  float64   `toml:"cv"`    // of lognormal and pareto
	Noise               float64   `toml:"noise"` // log-normal spread of one job's runs
	Slots               []float64 `toml:"slots"` // shares of jobs that take 1, 2, 4, 8 slots
	LatencyObjective    Duration  `toml:"aim"`
	ObjectiveStretch    float64   `toml:"stretch"`
	Deadline            Duration  `toml:"deadline"`
	PriorityWeight      float64   `toml:"worth"`
	Idempotency         string    `toml:"effect"` // safe, keyed, non-idempotent
	DeduplicationScope  string    `toml:"group"`  // of keyed: cell, zone, all
	DeduplicationWindow Duration  `toml:"window"`
	Kind                string    `toml:"kind"` // the only kind of worker that runs it; empty: any
}

// Tenant is a member society.
type Tenant struct {
	Name  string  `toml:"name"`
	Quota float64 `toml:"share"` // of the service
	Usage float64 `toml:"usage"` // what it asks for, as a multiple of its share of the load; default 1
}

// Load is what clients ask for.
type Load struct {
	CapacityShare   float64 `toml:"of"`          // work offered, as a share of what the warm fleet can do
	Rate            float64 `toml:"rate"`        // or jobs a second; one of the two
	Shape           string  `toml:"shape"`       // steady, bursty, swell (rises to a peak at 2/3), month_start (falls off from the start)
	Swing           float64 `toml:"swing"`       // of bursty, swell and month_start: by so much above and below the mean
	Hints           string  `toml:"hints"`       // none, exact, rough (log-normal), wrong (all by hint_factor)
	HintFactor      float64 `toml:"hint_factor"` // spread (log) of rough ones, default 0.5; factor of wrong ones
	OverQuotaWeight float64 `toml:"over_worth"`  // worth beyond a tenant's share, default 0.1
	Quota           float64 `toml:"quota"`       // the tenants' shares are of this part of the capacity, default 0.8
	ClosedClients   int     `toml:"closed"`      // instead of an open load: so many clients that each wait for their answer and ask again at once
}

// Clients is how clients act.
type Clients struct {
	Retries             int      `toml:"retries"`    // further tries
	Backoff             Duration `toml:"backoff"`    // before the first, doubling, drawn between half and one and a half
	HonourRetryAfter    float64  `toml:"honour"`     // share of clients that follow Retry-After
	Impatient           float64  `toml:"impatient"`  // share of jobs whose client leaves early, at a moment drawn evenly up to its deadline
	RequestTimeoutShare float64  `toml:"try_share"`  // of a class's deadline that one try may take; default 1
	MarkRetry           bool     `toml:"mark_retry"` // retries carry X-Again: 1
}

// MisbehaviorKinds are the kinds of misbehaving clients.
var MisbehaviorKinds = []string{
	"garbage", "endless_head", "wrong_length", "negative_length", "huge_length", "huge_body",
	"unknown_class", "bad_deadline", "no_id", "stolen_id", "half_then_close", "flood", "insist", "silent", "smuggle",
	"slow_head", "slow_reader",
}

// MisbehavingClients is a crowd of misbehaving clients. Live only.
type MisbehavingClients struct {
	Kind     string   `toml:"kind"` // one of BadKinds
	Rate     float64  `toml:"rate"` // connections a second
	At       Duration `toml:"at"`
	Duration Duration `toml:"for"` // default: to the end
}

// Network is the network. Delays are one-way means.
type Network struct {
	Delay          Duration `toml:"delay"`      // within a zone
	CrossZone      Duration `toml:"cross"`      // between zones
	ClientDelay    Duration `toml:"client"`     // clients and schedulers
	Jitter         float64  `toml:"jitter"`     // coefficient of variation
	Handshake      Duration `toml:"handshake"`  // a new connection's further delay
	DropsIdleAfter Duration `toml:"drops_idle"` // something on the way forgets connections idle for so long; 0: never
}

// Discovery is the list of workers and how it comes to know of them.
type Discovery struct {
	NoticeDelay       Duration `toml:"notice"`        // of a process that ended or drains
	SilentNoticeDelay Duration `toml:"silent_notice"` // of a worker that vanished or is cut off
	AddDelay          Duration `toml:"add"`           // of a start
	Period            Duration `toml:"period"`        // between looks at its own list
	Capacity          float64  `toml:"capacity"`      // lines of lists a second; calls wait in turn and fail after timeout; 0: no limit
	Timeout           Duration `toml:"timeout"`
}

// LoadBalancer spreads clients' connections over schedulers.
type LoadBalancer struct {
	NoticeDelay Duration `toml:"notice"` // a scheduler's death is noticed so late
}

// Schedulers is what each scheduler is told and given.
type Schedulers struct {
	Count           int      `toml:"count"`
	Cores           float64  `toml:"cores"`
	MemoryMB        int      `toml:"memory_mb"`
	Sockets         int      `toml:"sockets"`
	AttemptLimit    int      `toml:"try_limit"`
	Hedging         bool     `toml:"second_copies"`
	Cancellation    bool     `toml:"cancelling"`
	HealthChecks    bool     `toml:"probes"`
	MaxRetryAfter   Duration `toml:"max_retry_after"`
	ConnIdleTimeout Duration `toml:"conn_idle"`
	ConnTimeout     Duration `toml:"conn_timeout"`
	OperationsFile  string   `toml:"ops"`        // text of an operators' file for valvecove --config; live only
	StartSpread     Duration `toml:"start_over"` // spread of their starts at the beginning
}

// Planners are those that decide for the schedulers, which only pass requests on then. Virtual only.
type Planners struct {
	Count int      `toml:"count"` // 0: schedulers decide by themselves
	Idle  int      `toml:"idle"`  // the last so many start by planner_start alone
	Drops Duration `toml:"drops"` // each connection of theirs breaks after so long on the mean; 0: none does by itself
}

// Rules are the figures of the rules that the checker holds schedulers to.
type Rules struct {
	Slack               Duration `toml:"slack"`          // after a deadline an answer still counts; default 50 ms live, 16 ms virtual
	DrainGrace          Duration `toml:"drain_grace"`    // default 500 ms
	PollInterval        Duration `toml:"ask_every"`      // default 10 s
	OverloadFactor      float64  `toml:"fall_factor"`    // default 3
	OverloadWindow      Duration `toml:"fall"`           // default 2 s
	MisbehaviorDeadline Duration `toml:"bad_answered"`   // misbehaving clients are owed an error or a close within, default 3 s
	RejectionDeadline   Duration `toml:"give_up_within"` // default 250 ms: see judge
}

// FaultKinds says what may go wrong, and to whom it is done.
var FaultKinds = map[string]string{
	// Workers. For 0 means for good.
	"crash": "node", "vanish": "node", "hang": "node", "pause": "node", "slow": "node", "errors": "node",
	"full": "node", "drain": "node", "restart": "node", "replace": "node", "gone": "node", "no_notes": "node",
	"early_202_crash": "node", // it answers 202 and dies at that instant, at its next job
	"handback":        "node", // what waits is returned
	// The network, between `between` and `and`, or of nodes.
	"cut": "net", "cut_one_way": "net", "delay": "net", "refuse": "node", "never_up": "node", "reset_at": "node",
	"half_open": "node", "drop_idle": "net", "slow_read": "node",
	// Discovery.
	"disco_down": "disco", "disco_late": "disco", "disco_wrong": "disco", "disco_old": "disco", "disco_slow": "disco",
	"disco_moves": "disco",
	// Clients.
	"burst": "clients", "storm": "clients",
	// Schedulers.
	"sched_kill": "sched", "sched_term": "sched", "sched_freeze": "sched", "sched_reload": "sched",
	"sched_replace": "sched",
	// Planners, and the network among them and schedulers.
	"planner_kill": "planner", "planner_term": "planner", "planner_freeze": "planner", "planner_start": "planner",
	"planner_slow": "planner", "planner_drop": "planner", "planner_cut": "planners", "planner_cut_one_way": "planners",
}

// Fault is something that goes wrong in the course of a run. doc.go says what Size means for each kind.
type Fault struct {
	Kind     string   `toml:"what"` // one of FaultKinds
	At       Duration `toml:"at"`
	Duration Duration `toml:"for"`
	Spread   Duration `toml:"spread"` // targets are struck over so long, in turn
	Target   Target   `toml:"on"`
	Between  string   `toml:"between"` // of net faults: schedulers, nodes, discovery, clients, planners
	And      string   `toml:"and"`
	Size     float64  `toml:"size"`
}

// Target says whom a fault strikes: all that match all that is given.
type Target struct {
	Names      []string `toml:"names"`      // of workers: w-0, w-1, ...
	Cells      []int    `toml:"cells"`      // of workers
	Kind       string   `toml:"kind"`       // of workers
	Zone       string   `toml:"zone"`       // of workers
	Share      float64  `toml:"share"`      // so much of those that match otherwise, drawn by the seed, one at least
	Schedulers []int    `toml:"schedulers"` // by number; empty: all
	Planners   []int    `toml:"planners"`   // by number; empty: all
	Tenant     string   `toml:"tenant"`
	Class      string   `toml:"class"`
}
