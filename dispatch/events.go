package dispatch

import "time"

// Event is an input of Dispatcher.Step.
type Event interface{ event() }

// Worker is an entry of the list of workers. Captures store it under the names in the tags.
type Worker struct {
	ID      uint64        `json:"ID"`
	Kind    int           `json:"Kind"`  // machine kind
	Ready   bool          `json:"Ready"` // false: draining
	Removed bool          `json:"Gone"`
	Size    float64       `json:"Size"` // capacity relative to other workers; 0: unknown
	Cell    int           `json:"Cell"`
	Zone    int           `json:"Zone"`
	BootAt  time.Duration `json:"BootAt"` // latest start of its process; 0: long ago
	// Assignees is the number of dispatchers that may send the worker jobs while it warms up, and
	// AssigneeRank the rank of this one among them, from 0. If jobs are large, only those with the lowest
	// ranks may. A dispatcher whose rank is Assignees or more may not. If Assignees is 0, all dispatchers
	// may, ranked by the worker's ID.
	AssigneeRank int `json:"Rank"`
	Assignees    int `json:"Of"`
}

// ListKind says what a WorkerList contains.
type ListKind int

// The kinds of worker list.
const (
	ListDelta       ListKind = iota // the entries that have changed
	ListFull                        // every worker
	ListCached                      // every worker of an earlier list, which may be outdated
	ListUnavailable                 // no entries: a request failed, or the watch was disconnected
)

// Result is the result of an attempt or a health check.
type Result int

// The results of attempts and health checks.
const (
	OK              Result = iota
	Failed                 // possibly executed: the worker responded with an error
	WorkerFull             // not executed: the worker rejected it
	TimedOut               // possibly executed, and possibly still running
	ConnectFailed          // not executed
	ConnectionReset        // possibly executed
	Cancelled              // possibly executed
	NotSent                // not executed: the job was closed, out of time or over the attempt limit
)

// The events.
type (
	// WorkerList contains the workers that have changed, or all of them.
	WorkerList struct {
		Kind     ListKind
		Workers  []Worker
		Revision int64 // of the list; 0: unknown
	}
	// Job is a new job. It must get exactly one final answer, within Remaining. Captures and hot restarts
	// store it under the names in the tags.
	Job struct {
		ID        uint64        `json:"ID"`
		Class     int           `json:"Class"`  // index into Settings.Classes
		Tenant    int           `json:"Tenant"` // index into Settings.TenantQuota; out of its range: no quota
		Key       uint64        `json:"Key"`    // identifies jobs of similar work; 0: none
		Remaining time.Duration `json:"Left"`   // until the client gives up
		Hint      time.Duration `json:"Hint"`   // expected work on a standard core; 0: unknown
		Slots     float64       `json:"Slots"`
		Memory    float64       `json:"Memory"` // in units of one slot's memory
		Retry     bool          `json:"Retry"`  // the client has sent it before
	}
	// Outcome ends an attempt. Closed: the job has had its final answer. Report is the worker's load report,
	// with the values of Settings.ReportFields in their order. It was made before the attempt ended.
	Outcome struct {
		Job     uint64
		Attempt int
		Worker  uint64
		Result  Result
		Closed  bool
		Report  []float64
	}
	// Started says that a worker has started an attempt.
	Started struct {
		Job     uint64
		Attempt int
		Worker  uint64
	}
	// Progressed says that a worker is executing an attempt, of which Share, from 0 to 1, is done.
	Progressed struct {
		Job     uint64
		Attempt int
		Worker  uint64
		Share   float64
	}
	// ResponseStarted says that the response of an attempt is being sent to the client. From then on the job
	// has no deadline and gets no other answer.
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
	// TimerFired says that the duration of the last SetTimer has passed.
	TimerFired struct{}
	// JobResumed is a job that another dispatcher has admitted, or this one under another ID. Its further
	// attempts are numbered after Attempts. Those of Attempts that have not ended are in flight: their
	// Outcomes refer to them by their indexes in Attempts.
	JobResumed struct {
		Job          Job
		Age          time.Duration // since its first arrival
		QuotaCharged bool          // to its tenant; implied if there are Attempts
		Attempts     []PastAttempt
	}
	// ReplicasChanged replaces Settings.Replicas and Settings.ReplicaIndex. QuotaShare is this dispatcher's
	// share of each tenant's quota; 0: an equal share.
	ReplicasChanged struct {
		Replicas, ReplicaIndex int
		QuotaShare             float64
	}
	// Cordoned stops new attempts at a worker until Uncordoned, whatever lists say. It may precede the
	// worker's entry.
	Cordoned struct{ Worker uint64 }
	// Uncordoned ends the cordon of a worker, even after several Cordoned. The worker's process counts as
	// restarted; see handleUncordoned.
	Uncordoned struct{ Worker uint64 }
	// ModelUpdate contains the estimates that another dispatcher had Age ago, as written by
	// Dispatcher.ModelSnapshot. It is for a dispatcher without observations of its own, which has the list of
	// workers and gets the share LoadShare of the other's load. A snapshot that is malformed, or for other
	// classes, is ignored.
	ModelUpdate struct {
		Snapshot  []byte
		Age       time.Duration
		LoadShare float64
	}
	// PeerMessageReceived is a message from another dispatcher.
	PeerMessageReceived struct {
		From    int // its Settings.ReplicaIndex
		Message PeerMessage
	}
)

// PastAttempt is an earlier attempt of a resumed job. An unlisted worker belongs to no cell and no zone.
type PastAttempt struct {
	Worker     uint64
	SentAgo    time.Duration
	StartedAgo time.Duration // 0: no start notification was received
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
