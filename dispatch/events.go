package dispatch

import "time"

// Event is something that the dispatcher is notified of.
type Event interface{ event() }

// Worker is one entry of a list of workers. Captures hold it under the names in the tags.
type Worker struct {
	ID      uint64        `json:"ID"`
	Kind    int           `json:"Kind"`  // of machine
	Ready   bool          `json:"Ready"` // false: draining
	Removed bool          `json:"Gone"`
	Size    float64       `json:"Size"` // for comparison with other workers' figures; 0: unknown
	Cell    int           `json:"Cell"`
	Zone    int           `json:"Zone"`
	BootAt  time.Duration `json:"BootAt"` // latest start; 0: long past
	// AssigneeRank is this dispatcher's place, from 0, among the Assignees that may send the worker jobs while it warms
	// up. Few may where jobs are large, those of the lowest ranks, and one whose rank is Assignees or more may not at
	// all. Assignees 0: all that share the workers may, in an order that follows from the worker's id.
	AssigneeRank int `json:"Rank"`
	Assignees    int `json:"Of"`
}

// ListKind says what a WorkerList holds.
type ListKind int

// The kinds of worker list.
const (
	ListDelta       ListKind = iota // changed entries only
	ListFull                        // every worker
	ListCached                      // every worker as once known, perhaps outdated
	ListUnavailable                 // a request failed or the watch broke; no entries
)

// Result is how an attempt or a health check ended.
type Result int

// The results of attempts and health checks.
const (
	OK              Result = iota
	Failed                 // the worker answered with an error; possibly executed
	WorkerFull             // rejected unseen; not executed
	TimedOut               // possibly executed, perhaps still running
	ConnectFailed          // not executed
	ConnectionReset        // possibly executed
	Cancelled              // possibly executed
	NotSent                // not executed: closed, out of time or over the attempt limit
)

// The events.
type (
	// WorkerList brings workers that have changed, or all of them. Revision is the list's own; 0: unknown.
	WorkerList struct {
		Kind     ListKind
		Workers  []Worker
		Revision int64
	}
	// Job arrives and is owed exactly one final answer within Remaining. Captures and hot restarts hold it under the
	// names in the tags.
	Job struct {
		ID        uint64        `json:"ID"`
		Class     int           `json:"Class"`  // index into Settings.Classes
		Tenant    int           `json:"Tenant"` // index into Settings.TenantQuota; any other has no quota
		Key       uint64        `json:"Key"`    // 0: none
		Remaining time.Duration `json:"Left"`
		Hint      time.Duration `json:"Hint"` // expected work on a standard core; 0: unknown
		Slots     float64       `json:"Slots"`
		Memory    float64       `json:"Memory"` // in units of one slot's memory
		Retry     bool          `json:"Retry"`
	}
	// Outcome ends one attempt. Closed is set once the job has had its final answer. Report is in the order of
	// Settings.ReportFields, and older than the end of the attempt.
	Outcome struct {
		Job     uint64
		Attempt int
		Worker  uint64
		Result  Result
		Closed  bool
		Report  []float64
	}
	// Started notifies that a worker has started an attempt.
	Started struct {
		Job     uint64
		Attempt int
		Worker  uint64
	}
	// Progressed notifies of the share of an attempt that is done.
	Progressed struct {
		Job     uint64
		Attempt int
		Worker  uint64
		Share   float64
	}
	// ResponseStarted notifies that an attempt's response has begun to reach the client. The job has no deadline, and
	// gets no other answer, from then on.
	ResponseStarted struct {
		Job     uint64
		Attempt int
		Worker  uint64
	}
	// ClientDisconnected closes a job without an answer.
	ClientDisconnected struct{ Job uint64 }
	// HealthChecked ends a health check.
	HealthChecked struct {
		Worker uint64
		Result Result
		Report []float64
	}
	// TimerFired tells that the span of the latest SetTimer is over.
	TimerFired struct{}
	// JobResumed is a job that another dispatcher has had, or this one under another id. It comes with its attempts so
	// far, and further ones count on from these. Those that have not ended are in flight, and their outcomes come by
	// their numbers.
	JobResumed struct {
		Job          Job
		Age          time.Duration // since it first arrived
		QuotaCharged bool          // its tenant's quota has been charged for it, as for any that comes with attempts
		Attempts     []PastAttempt
	}
	// ReplicasChanged replaces Settings.Replicas and Settings.ReplicaIndex. QuotaShare is this dispatcher's of each
	// tenant's quota; 0: an equal one.
	ReplicasChanged struct {
		Replicas, ReplicaIndex int
		QuotaShare             float64
	}
	// Cordoned keeps new attempts from a worker, listed or not, until Uncordoned, whatever lists say.
	Cordoned struct{ Worker uint64 }
	// Uncordoned ends that, however often the worker was cordoned. Its process counts as started at this moment.
	Uncordoned struct{ Worker uint64 }
	// ModelUpdate brings what another dispatcher had learnt so long ago, as Dispatcher.ModelSnapshot gives it. It is for
	// one that has learnt nothing yet but has the list of workers, and sends LoadShare of what the other sent. A snapshot
	// that cannot be read, or is of other classes, is ignored.
	ModelUpdate struct {
		Snapshot  []byte
		Age       time.Duration
		LoadShare float64
	}
	// PeerMessageReceived brings a message of another dispatcher.
	PeerMessageReceived struct {
		From    int // its Settings.ReplicaIndex
		Message PeerMessage
	}
)

// PastAttempt is an attempt that a resumed job comes with. A worker that is not known stands in no cell and no zone.
type PastAttempt struct {
	Worker     uint64
	SentAgo    time.Duration
	StartedAgo time.Duration // 0: no start was notified
	Ended      bool
	Result     Result // if it has ended
}

func (WorkerList) event()          {}
func (Job) event()                 {}
func (Outcome) event()             {}
func (Started) event()             {}
func (Progressed) event()          {}
func (ResponseStarted) event()     {}
func (ClientDisconnected) event()  {}
func (HealthChecked) event()       {}
func (TimerFired) event()          {}
func (JobResumed) event()          {}
func (ReplicasChanged) event()     {}
func (ModelUpdate) event()         {}
func (PeerMessageReceived) event() {}
func (Cordoned) event()            {}
func (Uncordoned) event()          {}
