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
	// Assignees is the number of dispatchers that divide the worker's budget while it warms up, and
	// AssigneeRank the rank of this one among them, from 0. If jobs are large, only those with the lowest
	// ranks have a part. A dispatcher whose rank is Assignees or more has none. If Assignees is 0, all
	// dispatchers divide it, ranked by the worker's ID. If it is 1, the others send the worker nothing in
	// that time; else all may send it the few jobs that draw its lottery tickets.
	AssigneeRank int `json:"Rank"`
	Assignees    int `json:"Of"`
}

// ListKind says what a WorkerList contains.
type ListKind int

// The kinds of worker list. ListFull and ListCached replace the whole list.
const (
	ListDelta       ListKind = iota // the entries that have changed
	ListFull                        // every worker
	ListCached                      // every worker of an earlier list, which may be outdated
	ListUnavailable                 // no entries, and no change: a Subscribe failed, or the watch has ended
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
	NotSent                // not executed: closed, out of time, over the attempt limit, or sending failed
)

// The events.
type (
	// WorkerList contains the workers that have changed, or all of them.
	WorkerList struct {
		Kind     ListKind
		Workers  []Worker
		Revision int64 // of the list; 0: unknown
	}
	// Job is a new job. Unless its client disconnects, it gets exactly one final answer within Remaining: the
	// response of an attempt, a Reject or a Fail. Captures and hot restarts store it under the names in the
	// tags.
	Job struct {
		ID        uint64        `json:"ID"`
		Class     int           `json:"Class"`  // index into Settings.Classes
		Tenant    int           `json:"Tenant"` // index into Settings.TenantQuota; out of its range: no quota
		Key       uint64        `json:"Key"`    // identifies jobs of similar work; 0: none
		Remaining time.Duration `json:"Left"`   // until the client gives up
		Hint      time.Duration `json:"Hint"`   // expected run time on a standard core; 0: unknown
		Slots     float64       `json:"Slots"`  // slots of a worker that it uses; less than 1 counts as 1
		Memory    float64       `json:"Memory"` // in units of one slot's memory
		Retry     bool          `json:"Retry"`  // the client has sent it before
	}
	// Outcome ends an attempt. Each Send gets one Outcome, also after a Cancel.
	Outcome struct {
		Job     uint64
		Attempt int // as numbered by Send
		Worker  uint64
		Result  Result
		Closed  bool // the job has had its final answer, and is not attempted again
		// Report is the worker's load report: the values of Settings.ReportFields, in their order. A missing
		// value is NaN; nil: no report. It was made before the attempt ended, so that the attempt's slots
		// count as used in it.
		Report []float64
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
	// gets no other answer, even after its deadline.
	ResponseStarted struct {
		Job     uint64
		Attempt int
		Worker  uint64
	}
	// ClientDisconnected closes a job without an answer.
	ClientDisconnected struct{ Job uint64 }
	// HealthChecked ends a health check. Report is as in Outcome; it is used if Result is OK.
	HealthChecked struct {
		Worker uint64
		Result Result
		Report []float64
	}
	// TimerFired says that the duration of the last SetTimer has passed.
	TimerFired struct{}
	// JobResumed is a job that another dispatcher has admitted, or this one under another ID.
	JobResumed struct {
		Job          Job           // Remaining is the time that is left now
		Age          time.Duration // since its first arrival
		QuotaCharged bool          // it was charged to its tenant's quota; implied if there are Attempts
		// Attempts are numbered by their indexes; the next Send has the number len(Attempts). Those that have
		// not ended are in flight, and get an Outcome.
		Attempts []PastAttempt
	}
	// ReplicasChanged replaces Settings.Replicas and Settings.ReplicaIndex for warm-up budgets, preferences
	// and quotas; other rules keep the values of the settings. QuotaShare is this dispatcher's share of each
	// tenant's quota, from 0 to 1; 0: an equal share.
	ReplicasChanged struct {
		Replicas, ReplicaIndex int
		QuotaShare             float64
	}
	// Cordoned stops new attempts at a worker until Uncordoned, also if a list says that the worker is ready.
	// The worker need not be listed yet.
	Cordoned struct{ Worker uint64 }
	// Uncordoned ends the cordon of a worker, even after several Cordoned. The worker counts as restarted: it
	// warms up, and its attempts in flight use no slots any more.
	Uncordoned struct{ Worker uint64 }
	// ModelUpdate contains the estimates of another dispatcher. It is for a dispatcher that has the list of
	// workers but no observations of its own.
	ModelUpdate struct {
		Snapshot  []byte        // of Dispatcher.ModelSnapshot; ignored if malformed, or for other classes
		Age       time.Duration // since the snapshot
		LoadShare float64       // fraction of the other's load that this dispatcher gets, from 0 to 1
	}
	// PeerMessageReceived is a message from another dispatcher.
	PeerMessageReceived struct {
		From    int // its Settings.ReplicaIndex
		Message PeerMessage
	}
)

// PastAttempt is an earlier attempt of a resumed job. Its worker need not be listed; one that is not belongs
// to no cell and no zone.
type PastAttempt struct {
	Worker     uint64
	SentAgo    time.Duration // time since it was sent
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
