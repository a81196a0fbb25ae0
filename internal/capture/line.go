// Package capture records what comes into the scheduler and what the module decides, as JSON lines, in a ring in
// memory or in files, and replays it. The record is taken at the module's edge: the events of each step as they
// were handed over, at the time that the module was told, and what it did with them. Each segment opens with the
// module's whole state, so that what is left of a ring that has wrapped still replays exactly.
package capture

import (
	jsoniter "github.com/json-iterator/go"

	"valvecove/dispatch"
)

// Line is one line of a capture. In says what came in, Out what was decided.
type Line struct {
	T  int64 `json:"t"`            // Unix time in milliseconds
	NS int64 `json:"ns,omitempty"` // and nanoseconds beyond that, where exact time matters
	// Of is on the first line of a step, if that has more than one: the step's lines, itself included.
	Of  int    `json:"of,omitempty"`
	In  string `json:"in,omitempty"`
	Out string `json:"out,omitempty"`
	ID  string `json:"id,omitempty"` // the client's, X-Call-Id

	// A request's head, and what became of the request.
	Method  string            `json:"method,omitempty"`
	Path    string            `json:"path,omitempty"`
	Class   string            `json:"class,omitempty"`
	Tenant  string            `json:"tenant,omitempty"`
	Key     string            `json:"key,omitempty"` // Idempotency-Key
	Length  int               `json:"length,omitempty"`
	Status  int               `json:"status,omitempty"`
	State   string            `json:"state,omitempty"`
	Outcome string            `json:"outcome,omitempty"`
	Unknown bool              `json:"unknown,omitempty"` // a note on no attempt that is out
	Skipped int               `json:"skipped,omitempty"` // such lines left out before this one, in a flood
	Share   float64           `json:"share,omitempty"`
	Worker  string            `json:"worker,omitempty"` // instanceId
	Number  uint64            `json:"number,omitempty"` // the worker's, where a segment first names it
	Job     uint64            `json:"job,omitempty"`    // the job's number
	Attempt int               `json:"attempt,omitempty"`
	Result  dispatch.Result   `json:"result,omitempty"`
	Closed  bool              `json:"closed,omitempty"`
	Report  []float64         `json:"report,omitempty"`
	After   int64             `json:"after_ns,omitempty"` // patience of a send, advice of a refusal
	Arrived *dispatch.Job     `json:"arrived,omitempty"`
	Past    *float64          `json:"past,omitempty"` // what the module had learnt of the job's key
	Kind    dispatch.ListKind `json:"kind,omitempty"`
	Workers []listed          `json:"workers,omitempty"`

	// The opening of a segment.
	Why      string              `json:"why,omitempty"`
	Seed     string              `json:"seed,omitempty"`   // of the scheduler's start
	Module   uint64              `json:"module,omitempty"` // counts the modules since then
	Settings jsoniter.RawMessage `json:"settings,omitempty"`
	Snapshot []byte              `json:"snapshot,omitempty"`
	Calls    map[uint64]string   `json:"calls,omitempty"` // ids of the jobs at hand
}

// listed is one entry of a host group.
type listed struct {
	Name  string          `json:"instanceId"`
	Addr  string          `json:"hostPort,omitempty"`
	State string          `json:"lifecycle,omitempty"`
	As    dispatch.Worker `json:"as"` // as the module was told
}

// What lines are.
const (
	inStart    = "start" // opens a segment
	inHead     = "head"
	inAnswer   = "answer"
	inNote     = "event"
	outRefused = "turned away" // at the door
	outOver    = "over"

	// At the module's edge.
	inJob      = "job"
	inOutcome  = "outcome"
	inStarted  = "started"
	inProgress = "progress"
	inGone     = "gone"
	inHosts    = "hosts"
	inProbed   = "probed"
	inTimer    = "timer"
	inOut      = "taken out" // by hand
	inBack     = "brought back"
	outSend    = "send"
	outRefuse  = "refuse"
	outFail    = "fail"
	outCancel  = "cancel"
	outProbe   = "probe"
	outFree    = "free"
	outWatch   = "watch"
	outPanic   = "panic"
)

// atEdge tells which lines belong to a step.
var atEdge = map[string]bool{
	inJob: true, inOutcome: true, inStarted: true, inProgress: true, inGone: true,
	inHosts: true, inProbed: true, inTimer: true, inOut: true, inBack: true, outSend: true, outRefuse: true, outFail: true, outCancel: true,
	outProbe: true, outFree: true, outWatch: true, outPanic: true,
}

var known = map[string]bool{inStart: true, inHead: true, inAnswer: true, inNote: true, outRefused: true, outOver: true}

var json = jsoniter.ConfigCompatibleWithStandardLibrary
