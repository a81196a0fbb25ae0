package capture

import (
	jsoniter "github.com/json-iterator/go"

	"valvecove/dispatch"
)

// Line is one line of a capture. Input says what came in, or Output what was decided; the other one is empty. Which of the
// fields after them are set depends on that. The names and the order of the tags are the stored form.
type Line struct {
	Milliseconds int64 `json:"t"`            // Unix time
	Nanoseconds  int64 `json:"ns,omitempty"` // beyond the milliseconds, on the first line of a step
	// StepLines counts the lines of a step of several, on the first of them, itself included.
	StepLines int    `json:"of,omitempty"`
	Input     string `json:"in,omitempty"`
	Output    string `json:"out,omitempty"`
	CallID    string `json:"id,omitempty"` // the client's, from X-Call-Id

	// A request's header, and what became of the request.
	Method         string  `json:"method,omitempty"`
	Path           string  `json:"path,omitempty"`
	Class          string  `json:"class,omitempty"`
	Tenant         string  `json:"tenant,omitempty"`
	IdempotencyKey string  `json:"key,omitempty"`
	BodyBytes      int     `json:"length,omitempty"`
	Status         int     `json:"status,omitempty"` // HTTP status
	State          string  `json:"state,omitempty"`  // of the job, by a callback
	Outcome        string  `json:"outcome,omitempty"`
	UnknownAttempt bool    `json:"unknown,omitempty"` // a callback is about no attempt in flight
	Skipped        int     `json:"skipped,omitempty"` // lines of this kind that were left out before it, to bound their rate
	Progress       float64 `json:"share,omitempty"`   // from 0 to 1

	// The dispatcher's events and actions.
	Worker           string            `json:"worker,omitempty"` // the endpoint's id
	WorkerNumber     uint64            `json:"number,omitempty"` // the dispatcher's, where a segment first names the worker
	Job              uint64            `json:"job,omitempty"`    // the job's number
	Attempt          int               `json:"attempt,omitempty"`
	Result           dispatch.Result   `json:"result,omitempty"`
	Closed           bool              `json:"closed,omitempty"`
	Report           []float64         `json:"report,omitempty"`
	DelayNanoseconds int64             `json:"after_ns,omitempty"` // attempt timeout of a send, Retry-After of a rejection
	ArrivedJob       *dispatch.Job     `json:"arrived,omitempty"`
	KeyWork          *float64          `json:"past,omitempty"` // what the dispatcher had learnt of the job's key
	ListKind         dispatch.ListKind `json:"kind,omitempty"`
	Workers          []listedWorker    `json:"workers,omitempty"`
	Peer             int               `json:"peer,omitempty"`    // the scheduler that a message is from or to
	Message          *peerMessage      `json:"message,omitempty"` // between schedulers

	// The opening of a segment.
	Reason           string              `json:"why,omitempty"`
	Seed             string              `json:"seed,omitempty"`   // of the scheduler's start, in hexadecimal
	DispatcherNumber uint64              `json:"module,omitempty"` // counts the dispatchers since the start
	Settings         jsoniter.RawMessage `json:"settings,omitempty"`
	Snapshot         []byte              `json:"snapshot,omitempty"` // of the dispatcher
	CallIDs          map[uint64]string   `json:"calls,omitempty"`    // of the open jobs
	// PeerMessages and PeerBudget are those of the dispatcher's settings. The platform's alone don't decide them: it takes
	// the addresses of others, and the operators' file.
	PeerMessages bool    `json:"peers,omitempty"`
	PeerBudget   float64 `json:"peer_budget,omitempty"`
	// SnapshotWithLeases takes the place of Snapshot where schedulers exchange messages.
	SnapshotWithLeases []byte `json:"snapshot_with_leases,omitempty"`
}

// listedWorker is one entry of an endpoint list.
type listedWorker struct {
	Name   string          `json:"instanceId"`
	Addr   string          `json:"hostPort,omitempty"`
	State  string          `json:"lifecycle,omitempty"`
	Worker dispatch.Worker `json:"as"` // as the dispatcher was given it
}

// Kinds of lines that are no part of a step.
const (
	inputStart     = "start" // opens a segment
	inputRequest   = "head"
	inputResponse  = "answer"
	inputCallback  = "event"
	outputRejected = "turned away" // at admission
	outputEnded    = "over"
)

// Kinds of lines of a step: the events that it was given, and the actions that it took.
const (
	inputJob           = "job"
	inputOutcome       = "outcome"
	inputStarted       = "started"
	inputProgress      = "progress"
	inputDisconnected  = "gone"
	inputWorkerList    = "hosts"
	inputHealthChecked = "probed"
	inputTimer         = "timer"
	inputCordoned      = "taken out"
	inputUncordoned    = "brought back"
	inputPeerMessage   = "message received"
	outputSend         = "send"
	outputReject       = "refuse"
	outputFail         = "fail"
	outputCancel       = "cancel"
	outputHealthCheck  = "probe"
	outputCloseIdle    = "free"
	outputSubscribe    = "watch"
	outputPeerMessage  = "message sent"
	outputPanic        = "panic"
)

// Reasons for which a segment is opened.
const (
	reasonStart       = "start"
	reasonRestart     = "restart"     // another dispatcher, after a panic of the one before
	reasonTakenOver   = "taken over"  // from the state of another process
	reasonSegmentFull = "goes on"     // the segment before was full
	reasonGap         = "after a gap" // the rest of the segment before was lost
)

// stepKinds are the kinds of lines that belong to a step.
var stepKinds = map[string]bool{
	inputJob: true, inputOutcome: true, inputStarted: true, inputProgress: true, inputDisconnected: true,
	inputWorkerList: true, inputHealthChecked: true, inputTimer: true, inputCordoned: true, inputUncordoned: true,
	inputPeerMessage: true,
	outputSend:       true, outputReject: true, outputFail: true, outputCancel: true, outputHealthCheck: true,
	outputCloseIdle: true, outputSubscribe: true, outputPeerMessage: true, outputPanic: true,
}

// otherKinds are all other kinds of lines.
var otherKinds = map[string]bool{
	inputStart: true, inputRequest: true, inputResponse: true, inputCallback: true, outputRejected: true, outputEnded: true,
}

// json writes and reads lines as encoding/json does.
var json = jsoniter.ConfigCompatibleWithStandardLibrary
