package scenario

// The drivers that can run a scenario, as the key drivers names them.
const (
	DriverSimulation = "virtual"
	DriverProcess    = "live"
)

// Scenario describes a run. The seed is given when the run is started.
type Scenario struct {
	Name         string               `toml:"name"`    // default: the name of the file
	Description  string               `toml:"about"`   // one sentence
	Seed         int                  `toml:"seed"`    // of the run for which the scenario was saved; 0: none
	Length       Duration             `toml:"length"`  // time in which jobs become due
	Settle       Duration             `toml:"settle"`  // maximum time after that; default: the longest deadline plus 2 s
	Drivers      []string             `toml:"drivers"` // default: both
	Fleet        Fleet                `toml:"fleet"`
	Classes      []Class              `toml:"class"`  // default: the four of the deployment
	Tenants      []Tenant             `toml:"tenant"` // default: the three of the deployment
	Load         Load                 `toml:"load"`
	Clients      Clients              `toml:"clients"`
	Misbehaving  []MisbehavingClients `toml:"bad"`
	Network      Network              `toml:"net"`
	Discovery    Discovery            `toml:"discovery"`
	LoadBalancer LoadBalancer         `toml:"front"`
	Schedulers   Schedulers           `toml:"schedulers"`
	Planners     Planners             `toml:"planners"` // default: none
	Peers        Peers                `toml:"peers"`    // default: off
	Rules        Rules                `toml:"rules"`
	Faults       []Fault              `toml:"fault"`
	Expect       []string             `toml:"expect"` // "in_time >= 0.95", "recovered_within <= 5s"
}

// Fleet describes the workers.
type Fleet struct {
	Workers  int          `toml:"nodes"`
	Zones    []string     `toml:"zones"`     // assigned to workers in turn; default one, "a"
	CellSize int          `toml:"cell_size"` // workers that share the idempotency keys they have seen; default 4
	Weights  string       `toml:"weights"`   // the weights that discovery publishes: off, nominal, rough (default)
	Kinds    []WorkerKind `toml:"kind"`      // default: the two of the deployment
}

// WorkerKind describes the workers of one kind. The speed of each is drawn at random.
type WorkerKind struct {
	Name                    string   `toml:"name"`
	Share                   float64  `toml:"share"` // of the fleet
	Cores                   float64  `toml:"cores"`
	Speed                   float64  `toml:"speed"`         // of a core, relative to a standard core
	Spread                  float64  `toml:"spread"`        // coefficient of variation of the speed between workers
	Slots                   int      `toml:"slots"`         // jobs at a time; more jobs than cores share the cores
	Queue                   int      `toml:"queue"`         // jobs that may be queued; further ones are rejected as full
	QueueOrder              string   `toml:"order"`         // fifo (the first waits to fit), backfill (the first that fits)
	WarmUpCapacity          float64  `toml:"cold_from"`     // share of the capacity directly after a start
	WarmUp                  Duration `toml:"cold"`          // from the start until the whole capacity is available
	WarmUpBy                string   `toml:"warm_by"`       // what warms it up: time or work
	PauseEvery              Duration `toml:"pause_every"`   // mean interval; 0: never
	Pause                   Duration `toml:"pause"`         // mean length
	ErrorRate               float64  `toml:"error_rate"`    // share of jobs that end with an error after they ran
	ConnLimit               int      `toml:"conns"`         // open connections at most
	Handshake               Duration `toml:"handshake"`     // work for each new connection, and the delay of its first request
	ConnIdleTimeout         Duration `toml:"idle"`          // after which it closes idle connections
	ExpiredJobs             string   `toml:"expired"`       // what it does with queued jobs past their deadline: run or drop
	CancellationStops       bool     `toml:"cancel_stops"`  // DELETE stops a running job; else it has no effect
	ReturnsQueued           bool     `toml:"hands_back"`    // when it drains, it returns the jobs that have not started
	OmitsStartNotifications bool     `toml:"starts_untold"` // it sends no callbacks for starts and progress
	ProgressInterval        Duration `toml:"progress"`      // between callbacks for progress; 0: none
	HealthCheckWork         Duration `toml:"probe_work"`    // work of a health check
	Accept                  Duration `toml:"accept"`        // from the last byte of an attempt to the 202
	CallbackDelay           Duration `toml:"note_late"`     // mean additional delay of callbacks
	CallbackEarlyShare      float64  `toml:"note_early"`    // share of jobs whose start callback is sent before the 202
	CallbackTwiceShare      float64  `toml:"note_twice"`    // share of callbacks that are sent again although they were answered
	CallbackLossShare       float64  `toml:"note_lost"`     // share of a callback's sendings, ten at most, that never arrive
}

// Class describes a class of jobs and its service objectives.
type Class struct {
	Name                string    `toml:"name"`
	Share               float64   `toml:"share"`   // of the jobs
	Work                Duration  `toml:"work"`    // mean run time on one standard core
	Distribution        string    `toml:"dist"`    // fixed, exp, lognormal, pareto
	CV                  float64   `toml:"cv"`      // of lognormal and pareto
	Noise               float64   `toml:"noise"`   // log-normal spread between runs of the same job
	Slots               []float64 `toml:"slots"`   // shares of the jobs that take 1, 2, 4, 8 slots
	LatencyObjective    Duration  `toml:"aim"`     // fixed part of the latency objective, from when a job is due
	ObjectiveStretch    float64   `toml:"stretch"` // times a job's work: the other part; their sum is at most Deadline
	Deadline            Duration  `toml:"deadline"`
	PriorityWeight      float64   `toml:"worth"`
	Idempotency         string    `toml:"effect"` // safe, keyed, unsafe
	DeduplicationScope  string    `toml:"group"`  // of keyed classes: cell, zone, all
	DeduplicationWindow Duration  `toml:"window"`
	Kind                string    `toml:"kind"` // the only kind of worker that runs it; empty: any
}

// Tenant is a customer of the service.
type Tenant struct {
	Name  string  `toml:"name"`
	Quota float64 `toml:"share"` // share of the service
	Usage float64 `toml:"usage"` // its load, as a multiple of its share; default 1
}

// Load describes the requests of clients. One of CapacityShare, Rate and ClosedClients is given.
type Load struct {
	CapacityShare   float64 `toml:"of"`          // work requested, as a share of the capacity of the warm fleet
	Rate            float64 `toml:"rate"`        // jobs a second
	Shape           string  `toml:"shape"`       // steady, bursty, swell (rises to a peak at 2/3), month_start (declines)
	Swing           float64 `toml:"swing"`       // of bursty, swell and month_start: deviation from the mean, as a share of it
	Hints           string  `toml:"hints"`       // of a job's work: none, exact, rough (log-normal), wrong (all by hint_factor)
	HintFactor      float64 `toml:"hint_factor"` // log-normal spread of rough hints, default 0.5; factor of wrong ones, default 3
	OverQuotaWeight float64 `toml:"over_worth"`  // factor of the priority weight beyond a tenant's quota, default 0.1
	Quota           float64 `toml:"quota"`       // share of the capacity that is divided into the tenants' quotas, default 0.8
	ClosedClients   int     `toml:"closed"`      // number of clients that each send a request once their last one is answered
}

// Clients describes how clients behave.
type Clients struct {
	Retries             int      `toml:"retries"`    // of a request, at most
	Backoff             Duration `toml:"backoff"`    // before the first retry; doubles; times a random factor of 0.5 to 1.5
	HonourRetryAfter    float64  `toml:"honour"`     // share of clients that follow Retry-After
	Impatient           float64  `toml:"impatient"`  // share of jobs whose client leaves early, uniformly up to the deadline
	RequestTimeoutShare float64  `toml:"try_share"`  // share of a class's deadline that one request may take; default 1
	MarkRetry           bool     `toml:"mark_retry"` // retries carry X-Again: 1
}

// MisbehaviorKinds has the kinds of misbehaving clients.
var MisbehaviorKinds = []string{
	"garbage", "endless_head", "wrong_length", "negative_length", "huge_length", "huge_body",
	"unknown_class", "bad_deadline", "no_id", "stolen_id", "half_then_close", "flood", "insist", "silent", "smuggle",
	"slow_head", "slow_reader",
}

// MisbehavingClients describes a group of misbehaving clients, for the process driver only.
type MisbehavingClients struct {
	Kind     string   `toml:"kind"` // one of MisbehaviorKinds
	Rate     float64  `toml:"rate"` // connections per second
	At       Duration `toml:"at"`
	Duration Duration `toml:"for"` // 0: to the end of the run
}

// Network describes the network. Delays are means, one way.
type Network struct {
	Delay          Duration `toml:"delay"`      // within a zone
	CrossZone      Duration `toml:"cross"`      // between zones
	ClientDelay    Duration `toml:"client"`     // between clients and schedulers
	Jitter         float64  `toml:"jitter"`     // coefficient of variation
	Handshake      Duration `toml:"handshake"`  // further delay of a new connection
	DropsIdleAfter Duration `toml:"drops_idle"` // after which the network forgets idle connections; 0: never
}

// Discovery describes the discovery service, and how fast it notices changes in the fleet.
type Discovery struct {
	NoticeDelay       Duration `toml:"notice"`        // of a worker that ended or is draining
	SilentNoticeDelay Duration `toml:"silent_notice"` // of a worker that vanished or is partitioned
	AddDelay          Duration `toml:"add"`           // of a worker that started
	Period            Duration `toml:"period"`        // between updates of its list
	Capacity          float64  `toml:"capacity"`      // endpoints listed per second; calls queue up to timeout; 0: no limit
	Timeout           Duration `toml:"timeout"`
}

// LoadBalancer describes the load balancer between clients and schedulers.
type LoadBalancer struct {
	NoticeDelay Duration `toml:"notice"` // until it notices that a scheduler has ended
}

// Schedulers describes the schedulers: their number, resources and settings.
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
	OperationsFile  string   `toml:"ops"`        // contents of a file for valvecove --config, for the process driver only
	StartSpread     Duration `toml:"start_over"` // time over which their starts are spread at the beginning
}

// Planners describes the planners, for the simulation driver only. With planners, schedulers are forwarders.
type Planners struct {
	Count int      `toml:"count"` // 0: schedulers decide themselves
	Idle  int      `toml:"idle"`  // how many of them, those with the highest indexes, are started only by the fault planner_start
	Drops Duration `toml:"drops"` // mean time until one of their connections breaks; 0: only by faults
}

// Values of Peers.Lie.
const (
	LieFull       = "full"        // the shard never has a free slot
	LieSameWorker = "same_worker" // every lease is granted at once, all of them at the same worker
)

// Peers describes the datagrams that schedulers send each other. Shares are probabilities for each datagram.
type Peers struct {
	On        bool     `toml:"on"`        // they may send datagrams
	Price     float64  `toml:"price"`     // share of the result deducted for every 256 bytes per job
	Delay     Duration `toml:"delay"`     // minimum additional delay of a datagram, on top of the network's
	DelayMax  Duration `toml:"delay_max"` // maximum additional delay; uniformly distributed
	Loss      float64  `toml:"loss"`      // share that never arrives
	Duplicate float64  `toml:"duplicate"` // share that arrives twice
	Reorder   float64  `toml:"reorder"`   // share that arrives after datagrams that were sent later
	Torn      float64  `toml:"torn"`      // share that arrives truncated or with a wrong byte
	Forged    float64  `toml:"forged"`    // share that arrives a second time from an address of no peer
	Liars     []int    `toml:"liars"`     // schedulers, by index, that lie as coordinators; simulation driver only
	Lie       string   `toml:"lie"`       // one of LieFull, LieSameWorker
}

// Rules are the parameters of the invariants that the checker checks.
type Rules struct {
	Slack               Duration `toml:"slack"`          // how late a response may be; default 50 ms, in simulation 16 ms
	DrainGrace          Duration `toml:"drain_grace"`    // default 500 ms
	PollInterval        Duration `toml:"ask_every"`      // default 10 s
	OverloadFactor      float64  `toml:"fall_factor"`    // default 3
	OverloadWindow      Duration `toml:"fall"`           // default 2 s
	MisbehaviorDeadline Duration `toml:"bad_answered"`   // until misbehaving clients get an error or are cut off; default 3 s
	RejectionDeadline   Duration `toml:"give_up_within"` // until a rejection is due, default 250 ms: see package checker
}
