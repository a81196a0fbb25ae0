// Package tier is what forwarders and planners say to each other, as values: no bytes (package frame), no sockets and
// no decisions. A forwarder holds clients' queries, carries attempts to worker nodes, and answers; a planner decides
// for many forwarders where each query goes, and sees heads and figures only, never bodies.
//
// # Sessions
//
// A forwarder has a session with each planner that it can reach, and each of its queries is with one planner at a time,
// or with the forwarder's own module. A session has an epoch, given by the forwarder: a number that only grows over all
// its sessions and all its processes. Whatever belongs to a session says its epoch; what says an older one is void. In a
// session messages come in order and once, as the connection that carries them does it; when the connection ends, so
// does the session, and all that was on its way may have arrived or not.
//
// # Queries and attempts
//
// A forwarder's number of a query is unique within its process and never used twice; heads carry it. A planner's orders
// name it and count the query's attempts: those that the head told of first, from 0, then those that the planner has
// ordered, each order one more. Every order to send ends in exactly one Ended of that number, one refused by the guard
// included, unless the session ends or the query is over for the planner (Over, or another planner's).
//
// # Queries handed on
//
// A planner that can't place a query orders it to be moved to another by name, at most twice in the query's life
// (HeadOf.Moves counts). An order to move without a name gives a query back that made the planner's module panic: the
// forwarder offers it to another planner, and answers it with a failure after the second such order. A head beyond a
// forwarder's credit, or beyond what a planner has room for, is handed on or refused like any other.
//
// Times on the wire are spans, never instants: clocks differ. Spans in a message count from its sending.
package message

import (
	"time"

	"valvecove/dispatch"
)

// Epoch numbers a session.
type Epoch uint64

// Kind says what a message is.
type Kind uint8

// What a forwarder tells a planner.
const (
	KindHandshake         Kind = iota + 1 // it opens a session: Name, Process, Epoch, Version
	KindRequestOffer                      // a query is offered: Query, Head
	KindAttemptEnded                      // an attempt has ended: Query, Attempt, Result; Why where the guard refused the order
	KindAttemptStarted                    // a worker node told that an attempt has begun: Query, Attempt
	KindAttemptProgress                   // or how far it is: Query, Attempt, Share
	KindRequestClosed                     // a query has had its answer otherwise than by this planner, or its client has left: Query
	KindHealthCheckResult                 // a probe has ended: Worker, Result
	KindHeartbeat                         // are you there: Number; the planner answers with Here
)

// What a planner tells a forwarder.
const (
	KindHandshakeAccept    Kind = iota + 32 // the session is open: Name, Process, Version, Credit
	KindCreditUpdate                        // so many heads may be open with it in all: Credit
	KindSendCommand                         // order: send Query to Worker as attempt Attempt, wait for it Patience (0: its deadline)
	KindRejectCommand                       // order: answer it with a throttle, to come back After
	KindFailCommand                         // order: answer it with a failure
	KindCancelCommand                       // order: give up Attempt
	KindHealthCheckCommand                  // order: probe Worker
	KindCloseIdleCommand                    // order: close idle links to Worker
	KindTransferCommand                     // order: offer Query to planner Name instead; the planner knows nothing of it any more
	KindHeartbeatReply                      // Number, and how late the planner is itself: Late
	KindModelSnapshot                       // what the planner's module knows, for a forwarder that has to go on alone: Age, Bytes
	KindGoodbye                             // the planner stops: everything is to be offered elsewhere; its open orders stand
)

// What both tell, and planners tell each other.
const (
	KindWorkerStatus  Kind = iota + 64 // what is known of a worker node: Word
	KindPeerHandshake                  // a planner opens a session with another: Name, Process, Epoch, Version
	KindLoadReport                     // how a planner stands: Load
)

var kindNames = [...]string{KindHandshake: "hello", KindRequestOffer: "head", KindAttemptEnded: "ended", KindAttemptStarted: "started", KindAttemptProgress: "progress", KindRequestClosed: "over",
	KindHealthCheckResult: "probed", KindHeartbeat: "asked", KindHandshakeAccept: "welcome", KindCreditUpdate: "credit", KindSendCommand: "send", KindRejectCommand: "refuse", KindFailCommand: "fail",
	KindCancelCommand: "cancel", KindHealthCheckCommand: "probe", KindCloseIdleCommand: "free", KindTransferCommand: "move", KindHeartbeatReply: "here", KindModelSnapshot: "snapshot", KindGoodbye: "bye", KindWorkerStatus: "word",
	KindPeerHandshake: "greet", KindLoadReport: "load"}

func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}

// Message is any of them. Fields that its kind does not name are zero.
type Message struct {
	Kind        Kind
	Epoch       Epoch
	RequestID   uint64
	WorkerID    uint64 // by the number that its id hashes to; all schedulers agree on it
	Sequence    uint64
	Incarnation uint64 // when the sender's process started, Unix time in ns: tells one from the one before
	Attempt     int
	Credit      int
	Version     int
	Result      dispatch.Result
	Reason      RejectReason
	Fraction    float64
	Timeout     time.Duration
	RetryAfter  time.Duration
	TimerLag    time.Duration
	Age         time.Duration
	Name        string
	Summary     *RequestSummary
	Status      *WorkerStatus
	LoadReport  *LoadReport
	Data        []byte
}

// RequestSummary is what a planner hears of a query.
type RequestSummary struct {
	Class     int
	Tenant    int
	Key       uint64 // of what it is about; 0: none
	Remaining time.Duration
	Waited    time.Duration // since it came to the forwarder
	Hint      time.Duration
	Slots     float64
	Memory    float64
	Retry     bool
	Transfers int           // orders of planners to move it that were followed so far; none orders a third
	Attempts  []PastAttempt // made so far, by whomever, in order
}

// PastAttempt is an attempt that was made before the head was offered.
type PastAttempt struct {
	WorkerID         uint64
	SentAgo          time.Duration // since it was sent
	StartedAgo       time.Duration // since it was told to have started; 0: it was not
	Ended            bool
	Result           dispatch.Result // if it has
	PossiblyExecuted bool            // it may have run, or may yet; the forwarder's book says so
}

// WorkerStatus is what somebody knows of a worker node. Of two words about one worker node the one with the later start of its
// process is the newer, then the one with the higher list generation; on a tie the one that allows less wins.
type WorkerStatus struct {
	WorkerID  uint64
	StartedMs int64 // the node's own start time by the list
	Revision  int64 // of the list that said so; 0: not by a list
	State     WorkerState
}

// WorkerState of a worker node, those that allow less being greater.
type WorkerState uint8

// States.
const (
	WorkerUp WorkerState = iota
	WorkerDraining
	WorkerGone
)

// Supersedes tells whether w takes the place of o.
func (w WorkerStatus) Supersedes(o WorkerStatus) bool {
	if w.StartedMs != o.StartedMs {
		return w.StartedMs > o.StartedMs
	}
	if w.Revision != o.Revision {
		return w.Revision > o.Revision
	}
	return w.State > o.State
}

// LoadReport is how a planner stands.
type LoadReport struct {
	OpenRequests   int           // open
	QueuedRequests int           // of them without an attempt out
	Forwarders     int           // that have a session with it
	TimerLag       time.Duration // how late it is for its own timers, of late
	UsedSlots      float64       // in use by its orders
	FreeSlots      float64       // slots that it takes to be free
}

// RejectReason is why a guard refused an order.
type RejectReason uint8

// ReasonCount.
const (
	ReasonNone              RejectReason = iota
	ReasonStaleEpoch                     // of a session that is over
	ReasonUnknownRequest                 // over, or never offered to this planner
	ReasonNotOwner                       // it is with another planner now
	ReasonPossiblyExecuted               // unsafe, and an attempt may have run
	ReasonOutsideScope                   // keyed, and not in the cell or zone of the attempt that may have run
	ReasonWindowExpired                  // keyed, and the window is over
	ReasonWorkerDraining                 // by the newest word
	ReasonUnknownWorker                  // not on the forwarder's own list
	ReasonDuplicateAtWorker              // the worker node has an attempt of it
	ReasonHedgingDisabled                // one is out, and there may be no second
	ReasonAttemptLimit                   // try limit
	ReasonDeadlineExceeded               // its time is up
	ReasonUnsafeRejection                // a refusal of what may have run
	ReasonDuplicateCommand               // an order of that number has been given before
	ReasonClassMismatch                  // its class may go to no such kind, or to no such zone
	ReasonNotPermitted                   // the platform's settings rule it out
	ReasonCount                          // their number
)

var reasonNames = [...]string{"", "old epoch", "no such query", "not yours", "may have run", "outside its group", "past its window",
	"node drains", "no such node", "twice at a node", "second copy", "too many tries", "past its deadline", "not harmless",
	"repeated", "not for its class", "not allowed"}

func (w RejectReason) String() string {
	if int(w) < len(reasonNames) {
		return reasonNames[w]
	}
	return "unknown"
}
