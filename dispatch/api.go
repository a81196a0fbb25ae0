// Package logic makes the decisions of a dispatcher that pushes jobs to workers.
//
// This file is the whole interface; logic.go holds every decision. The caller feeds events to Step and
// carries out the actions that it returns, in order. All instants and spans are time.Duration, counted from
// an origin of the caller's choice. The package reads no clock, starts no goroutine and keeps no globals.
//
// Contradictory input is tolerated: an event about a job, attempt or worker that is unknown or already done
// with is ignored; a second arrival of an open job's id is ignored; the last of several entries for one
// worker in a list counts; negative, infinite or missing figures are read as absent; a clock that steps back
// is held at its highest value.
package dispatch

import "time"

// Idempotency says what running a job twice does.
type Idempotency int

// The effects a class of jobs may have.
const (
	NonIdempotent     Idempotency = iota // must never run twice
	IdempotentWithKey                    // repeats are dropped by a group of workers for a while
	Idempotent                           // may be repeated freely
)

// DeduplicationScope names the workers that share knowledge of the keyed jobs they have seen.
type DeduplicationScope int

// The groups that drop repeats.
const (
	ScopeCell DeduplicationScope = iota
	ScopeZone
	ScopeAll
)

// ReportField is the meaning of one figure of a load report.
type ReportField int

// The report fields that decisions use; others arrive as FieldOther.
const (
	ReportFieldOther ReportField = iota
	ReportFieldFreeSlots
)

// Class describes one class of jobs.
type Class struct {
	LatencyObjective    time.Duration // an answer within Aim + Stretch x own work earns full worth
	ObjectiveStretch    float64
	ClientTimeout       time.Duration // the client's whole wait, over all its tries
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration // how long a keyed repeat is dropped
	LateValue           float64       // share of the worth that a late answer still earns
	PriorityWeight      float64
	Kinds               []int // the only machine kinds that it may go to; nil: any
	Zones               []int // the only zones that it may go to; nil: any
}

// Settings are what a dispatcher knows at start-up.
type Settings struct {
	Replicas           int // dispatchers that share the workers, this one included
	ReplicaIndex       int // this one's number among them, from 0
	Zone               int
	Classes            []Class
	TenantQuota        []float64 // jobs a second within each tenant's share, over all dispatchers; 0: no limit
	MustSubscribe      bool      // the worker list has to be asked for
	AttemptLimit       int
	Hedging            bool
	Cancellation       bool
	HealthChecks       bool
	StartNotifications bool
	ProgressInterval   time.Duration // interval of progress reports; 0: none
	MaxRetryAfter      time.Duration // 0: clients follow no advice on when to return
	ReportFields       []ReportField
	HealthCheckCost    float64 // share of the result lost at one probe a job
	CrossZoneCost      float64 // share of the result lost when each job crosses zones once
	HandshakeCost      float64 // share of the result lost when each job opens a connection
	TailShare          float64 // share of the result that counts in full only while misses are few
	MissBudget         float64 // and the share of misses up to which it does
	ConnectTimeout     time.Duration
	ConnIdleTimeout    time.Duration // connections close when idle this long; 0: never
	PollInterval       time.Duration // a list not asked for this long counts as heard anyhow
	WarmUp             time.Duration // a started worker is warm after this
	WarmUpCapacity     float64       // share of its capacity that it starts with
	OverloadFactor     float64       // multiple of its present capacity that pushes a cold worker over
	OverloadWindow     time.Duration // when sustained this long
}

// Event is something the dispatcher is told.
type Event interface{ event() }

// Worker is one entry of a worker list. Captures hold it under the names in the tags.
type Worker struct {
	ID      uint64        `json:"ID"`
	Kind    int           `json:"Kind"`
	Ready   bool          `json:"Ready"` // false: draining
	Removed bool          `json:"Gone"`
	Size    float64       `json:"Size"` // for comparison with other workers' figures; 0: unknown
	Cell    int           `json:"Cell"`
	Zone    int           `json:"Zone"`
	BootAt  time.Duration `json:"BootAt"` // latest start; 0: long past
	// AssigneeRank is this dispatcher's place, from 0, among the Of that may send it work while it is cold: few may where jobs
	// are large, those of the lowest ranks, and one whose rank is Of or more may not at all. Of 0: all that share the
	// workers may, in an order that follows from its id.
	AssigneeRank int `json:"Rank"`
	Assignees    int `json:"Of"`
}

// ListKind says what a WorkerList holds.
type ListKind int

// Kinds of worker list.
const (
	ListDelta       ListKind = iota // changed entries only
	ListFull                        // every worker
	ListCached                      // every worker as once known, perhaps outdated
	ListUnavailable                 // a call failed or the subscription broke; no entries
)

// Result is how an attempt ended.
type Result int

// Results of attempts and probes.
const (
	OK              Result = iota
	Failed                 // the worker answered with an error; may have run
	WorkerFull             // turned away unseen; never ran
	TimedOut               // may have run or be running
	ConnectFailed          // never ran
	ConnectionReset        // the connection broke; may have run
	Cancelled              // withdrawn; may have run
	NotSent                // never ran: closed, out of time or over the try limit
)

// The events.
type (
	// WorkerList brings news of the workers.
	WorkerList struct {
		Kind     ListKind
		Workers  []Worker
		Revision int64 // of the list, as discovery counts; 0: not told
	}
	// Job arrives and is owed exactly one final answer within Left. Captures and hand-overs hold it under the names in
	// the tags.
	Job struct {
		ID        uint64        `json:"ID"`
		Class     int           `json:"Class"`
		Tenant    int           `json:"Tenant"`
		Key       uint64        `json:"Key"` // 0: none
		Remaining time.Duration `json:"Left"`
		Hint      time.Duration `json:"Hint"` // expected work on a standard core; 0: unknown
		Slots     float64       `json:"Slots"`
		Memory    float64       `json:"Memory"` // in units of one slot's memory
		Retry     bool          `json:"Retry"`
	}
	// Outcome ends one attempt. Closed is set once the job has had its final answer.
	Outcome struct {
		Job     uint64
		Attempt int
		Worker  uint64
		Result  Result
		Closed  bool
		Report  []float64 // in the order of Settings.Report
	}
	// Started tells that a worker has begun an attempt.
	Started struct {
		Job     uint64
		Attempt int
		Worker  uint64
	}
	// Progressed tells the share of an attempt that is done.
	Progressed struct {
		Job     uint64
		Attempt int
		Worker  uint64
		Share   float64
	}
	// ResponseStarted tells that an attempt's answer has begun to reach the client; no deadline holds any more.
	ResponseStarted struct {
		Job     uint64
		Attempt int
		Worker  uint64
	}
	// ClientDisconnected closes a job without an answer.
	ClientDisconnected struct{ Job uint64 }
	// HealthChecked ends a probe.
	HealthChecked struct {
		Worker uint64
		Result Result
		Report []float64
	}
	// TimerFired tells that a timer set by SetTimer is due.
	TimerFired struct{}
	// JobResumed is a job that another dispatcher has had, or this one under another id: it comes with its attempts so far,
	// and further ones count on from these. Those that have not ended are out, and their outcomes come by their numbers.
	JobResumed struct {
		Job          Job
		Age          time.Duration // since it first came
		QuotaCharged bool          // its tenant's quota has been charged for it, as for any that comes with attempts
		Attempts     []PastAttempt
	}
	// ReplicasChanged tells that from now on so many dispatchers share the workers, in place of Settings.Replicas and Me. Part
	// is this one's of each tenant's quota; 0: an equal one.
	ReplicasChanged struct {
		Replicas, ReplicaIndex int
		QuotaShare             float64
	}
	// Cordoned takes a worker out by hand, listed or not: no attempt goes there until Restored, whatever lists say.
	Cordoned struct{ Worker uint64 }
	// Uncordoned ends that, however often the worker was suspended. Its process counts as started at this moment.
	Uncordoned struct{ Worker uint64 }
	// ModelUpdate brings what another dispatcher had learnt, so long ago, as Dispatcher.Lesson gives it. It is for one that
	// has learnt nothing yet but has the list of workers, and sends this part of what the other sent. A lesson that can't
	// be read, or of other classes, teaches nothing.
	ModelUpdate struct {
		Snapshot  []byte
		Age       time.Duration
		LoadShare float64
	}
)

// PastAttempt is an attempt that a resumed job comes with. A worker that is not known stands in no cell and no zone.
type PastAttempt struct {
	Worker     uint64
	SentAgo    time.Duration // since it was sent
	StartedAgo time.Duration // since it was told to have started; 0: it was not
	Ended      bool
	Result     Result // if it has
}

func (WorkerList) event()         {}
func (Job) event()                {}
func (Outcome) event()            {}
func (Started) event()            {}
func (Progressed) event()         {}
func (ResponseStarted) event()    {}
func (ClientDisconnected) event() {}
func (HealthChecked) event()      {}
func (TimerFired) event()         {}
func (JobResumed) event()         {}
func (ReplicasChanged) event()    {}
func (ModelUpdate) event()        {}
func (Cordoned) event()           {}
func (Uncordoned) event()         {}

// Action is something the dispatcher wants done.
type Action interface{ action() }

// The actions.
type (
	// Send starts an attempt; a job's attempts count up from 0. Patience 0 waits until the client gives up.
	Send struct {
		Job            uint64
		Worker         uint64
		AttemptTimeout time.Duration
	}
	// Reject is a final answer: the job did not run and may be tried again.
	Reject struct {
		Job        uint64
		RetryAfter time.Duration // advice on when to return; 0: none
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ Job uint64 }
	// Cancel withdraws one attempt.
	Cancel struct {
		Job     uint64
		Attempt int
	}
	// HealthCheck asks a worker for a sign of life and a report.
	HealthCheck struct{ Worker uint64 }
	// CloseIdleConnections closes the idle connections to a worker.
	CloseIdleConnections struct{ Worker uint64 }
	// SetTimer asks for TimerFired after a span.
	SetTimer struct{ After time.Duration }
	// Subscribe asks for the list and its changes.
	Subscribe struct{}
	// Log leaves a line for the operators.
	Log struct{ Text string }
)

func (Send) action()                 {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (Cancel) action()               {}
func (HealthCheck) action()          {}
func (CloseIdleConnections) action() {}
func (SetTimer) action()             {}
func (Subscribe) action()            {}
func (Log) action()                  {}
