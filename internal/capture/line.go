package capture

import (
	jsoniter "github.com/json-iterator/go"

	"valvecove/dispatch"
)

// Line is one line of a capture. Either Input is the kind of a received event, or Output the kind of a decision; the other one is
// empty. The kind determines which further fields are set. The names and the order of the tags are the stored format.
type Line struct {
	Milliseconds int64 `json:"t"`            // Unix time
	Nanoseconds  int64 `json:"ns,omitempty"` // remainder of the time, on the first line of a step
	// StepLines is the number of lines of a step, on its first line. It is 0 for a step with one line.
	StepLines int    `json:"of,omitempty"`
	Input     string `json:"in,omitempty"`
	Output    string `json:"out,omitempty"`
	CallID    string `json:"id,omitempty"` // the client's, from X-Call-Id

	// The header of a request, and the outcome.
	Method         string  `json:"method,omitempty"`
	Path           string  `json:"path,omitempty"`
	Class          string  `json:"class,omitempty"`
	Tenant         string  `json:"tenant,omitempty"`
	IdempotencyKey string  `json:"key,omitempty"`
	BodyBytes      int     `json:"length,omitempty"`
	Status         int     `json:"status,omitempty"` // HTTP status
	State          string  `json:"state,omitempty"`  // of a callback
	Outcome        string  `json:"outcome,omitempty"`
	UnknownAttempt bool    `json:"unknown,omitempty"` // the callback is not about an attempt in flight
	Skipped        int     `json:"skipped,omitempty"` // number of lines of this kind that were omitted before this one to limit their rate
	Progress       float64 `json:"share,omitempty"`   // from 0 to 1

	// The dispatcher's events and actions.
	Worker           string            `json:"worker,omitempty"` // ID of the endpoint
	WorkerNumber     uint64            `json:"number,omitempty"` // the dispatcher's number, on the first line of a segment about the worker
	Job              uint64            `json:"job,omitempty"`    // the job's number
	Attempt          int               `json:"attempt,omitempty"`
	Result           dispatch.Result   `json:"result,omitempty"`
	Closed           bool              `json:"closed,omitempty"`
	Report           []float64         `json:"report,omitempty"`
	DelayNanoseconds int64             `json:"after_ns,omitempty"` // attempt timeout of a send, Retry-After of a rejection
	ArrivedJob       *dispatch.Job     `json:"arrived,omitempty"`
	KeyWork          *float64          `json:"past,omitempty"` // the dispatcher's estimate of the work for the job's key, in seconds
	ListKind         dispatch.ListKind `json:"kind,omitempty"`
	Workers          []listedWorker    `json:"workers,omitempty"`
	Peer             int               `json:"peer,omitempty"`    // the scheduler that a message is from or to
	Message          *peerMessage      `json:"message,omitempty"` // between schedulers
	ResumedJob       *resumedJob       `json:"resumed,omitempty"`
	Replicas         *replicas         `json:"replicas,omitempty"`
	ModelUpdate      *modelUpdate      `json:"model,omitempty"`

	// The first line of a segment.
	Reason           string              `json:"why,omitempty"`
	Seed             string              `json:"seed,omitempty"`   // random seed of the process, in hexadecimal
	DispatcherNumber uint64              `json:"module,omitempty"` // number of the dispatcher in the process, from 1
	Settings         jsoniter.RawMessage `json:"settings,omitempty"`
	Snapshot         []byte              `json:"snapshot,omitempty"` // of the dispatcher
	CallIDs          map[uint64]string   `json:"calls,omitempty"`    // of the open jobs
	// PeerMessages and PeerBudget are those of the dispatcher's settings. They are recorded because they depend not only on the
	// platform's settings but also on the addresses of the peers and on the operators' file.
	PeerMessages bool    `json:"peers,omitempty"`
	PeerBudget   float64 `json:"peer_budget,omitempty"`
	// SnapshotWithLeases is set instead of Snapshot if schedulers exchange messages.
	SnapshotWithLeases []byte `json:"snapshot_with_leases,omitempty"`
}

// listedWorker is one entry of an endpoint list.
type listedWorker struct {
	Name   string          `json:"instanceId"`
	Addr   string          `json:"hostPort,omitempty"`
	State  string          `json:"lifecycle,omitempty"`
	Worker dispatch.Worker `json:"as"` // the event's entry
}

// Kinds of lines that are not part of a step.
const (
	inputStart     = "start" // first line of a segment
	inputRequest   = "head"
	inputResponse  = "answer"
	inputCallback  = "event"
	outputRejected = "turned away" // at admission
	outputEnded    = "over"
)

// Kinds of lines of a step: events and actions.
const (
	inputJob             = "job"
	inputOutcome         = "outcome"
	inputStarted         = "started"
	inputProgress        = "progress"
	inputDisconnected    = "gone"
	inputWorkerList      = "hosts"
	inputHealthChecked   = "probed"
	inputTimer           = "timer"
	inputCordoned        = "taken out"
	inputUncordoned      = "brought back"
	inputPeerMessage     = "message received"
	inputJobResumed      = "job resumed"
	inputResponseStarted = "response started"
	inputReplicasChanged = "replicas changed"
	inputModelUpdate     = "model update"
	outputSend           = "send"
	outputReject         = "refuse"
	outputFail           = "fail"
	outputCancel         = "cancel"
	outputHealthCheck    = "probe"
	outputCloseIdle      = "free"
	outputSubscribe      = "watch"
	outputPeerMessage    = "message sent"
	outputPanic          = "panic"
)

// Reasons for starting a segment.
const (
	reasonStart       = "start"
	reasonRestart     = "restart"     // a new dispatcher, after a panic of the previous one
	reasonTakenOver   = "taken over"  // a dispatcher that is restored from the state of another process
	reasonSegmentFull = "goes on"     // the previous segment was full
	reasonGap         = "after a gap" // the rest of the previous segment was lost
)

// stepKinds contains the kinds of lines of a step.
var stepKinds = map[string]bool{
	inputJob: true, inputOutcome: true, inputStarted: true, inputProgress: true, inputDisconnected: true,
	inputWorkerList: true, inputHealthChecked: true, inputTimer: true, inputCordoned: true, inputUncordoned: true,
	inputPeerMessage: true, inputJobResumed: true, inputResponseStarted: true, inputReplicasChanged: true, inputModelUpdate: true,
	outputSend: true, outputReject: true, outputFail: true, outputCancel: true, outputHealthCheck: true,
	outputCloseIdle: true, outputSubscribe: true, outputPeerMessage: true, outputPanic: true,
}

// otherKinds contains all other kinds of lines.
var otherKinds = map[string]bool{
	inputStart: true, inputRequest: true, inputResponse: true, inputCallback: true, outputRejected: true, outputEnded: true,
}

// json encodes and decodes lines like encoding/json.
var json = jsoniter.ConfigCompatibleWithStandardLibrary
