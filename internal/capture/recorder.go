package capture

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/requests"
)

const (
	longest     = 512             // bytes of a path or an id that a line holds
	floodBurst  = 100             // lines at once on what bad clients may send at will
	floodRate   = 20              // and a second after that
	retryAfter  = 5 * time.Second // a segment that could not be kept is followed by another after this
	whyStart    = "start"
	whyRestart  = "restart"     // another module, after a panic of the one before
	whyTaken    = "taken over"  // by another process, from this state on
	whyContinue = "goes on"     // the segment before was full
	whyGap      = "after a gap" // some was lost
)

// Recorder writes the capture. It is an observer of the ledger, and wraps its modules.
type Recorder struct {
	sink           sink
	names          requests.NameTable
	now            func() time.Duration
	log            *slog.Logger
	LookupEndpoint func(worker uint64) requests.Endpoint // to be set once there is a ledger
	seed           uint64
	settings       jsoniter.RawMessage
	modules        uint64
	edge           *edge // of the module that runs
	calls          map[uint64]string
	dropped        []uint64        // forgotten once the next step is written
	named          map[uint64]bool // workers that the segment names
	lines          []byte
	pasts          []*float64
	lost           bool // the segment is broken off
	tried          time.Duration
	off            bool // a panic of its own has switched it off
	flood          float64
	floodAt        time.Duration
	skipped        int
}

// New returns a recorder; seed and settings are those of the scheduler's start.
func New(conf config.Capture, c config.Config, now func() time.Duration, log *slog.Logger) (*Recorder, error) {
	r := &Recorder{
		names: c.Settings.Names, now: now, log: log, seed: c.Seed, calls: map[uint64]string{},
		named: map[uint64]bool{}, flood: floodBurst,
	}
	var tree any
	err := jsoniter.Config{UseNumber: true, SortMapKeys: true}.Froze().Unmarshal(c.PlatformSettings, &tree)
	if err == nil {
		r.settings, err = json.Marshal(tree) // on one line, with each number as it was
	}
	if err == nil && conf.Dir == "" {
		r.sink = &ring{most: conf.MemoryKB << 10}
	} else if err == nil {
		r.sink, err = newFiles(conf, c.Name)
	}
	return r, err
}

// Dump copies what is held in memory; nil: the capture is in files.
func (r *Recorder) Dump() []byte { return r.sink.dump() }

// Lost counts what could not be kept.
func (r *Recorder) Lost() uint64 { return r.sink.lost() }

// Close hands on what waits for a disk, for so long at most.
func (r *Recorder) Close(patience time.Duration) { r.sink.close(patience) }

// edge is a module whose steps are recorded.
type edge struct {
	*dispatch.Dispatcher
	r *Recorder
}

// Wrap records a module from its start on.
func (r *Recorder) Wrap(m *dispatch.Dispatcher) requests.Policy {
	r.modules++
	why := whyStart
	if r.modules > 1 {
		why = whyRestart
	}
	return r.begin(m, why)
}

// Continue records a module that goes on from a state which another process had.
func (r *Recorder) Continue(m *dispatch.Dispatcher) requests.Policy {
	r.modules++
	return r.begin(m, whyTaken)
}

func (r *Recorder) begin(m *dispatch.Dispatcher, why string) requests.Policy {
	r.edge = &edge{m, r}
	r.guard(func() { r.open(why) })
	return r.edge
}

// Step has the module step, and records that.
func (e *edge) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	e.r.guard(func() { e.r.before(now, events) })
	from, whole := len(dst), false
	defer func() {
		if !whole { // what a module that panics was told is recorded too
			e.r.guard(func() { e.r.step(now, events, nil, true) })
		}
	}()
	dst = e.Dispatcher.Step(now, events, dst)
	whole = true
	e.r.guard(func() { e.r.step(now, events, dst[from:], false) })
	return dst
}

// guard keeps a fault of the recorder from being taken for one of the module.
func (r *Recorder) guard(do func()) {
	defer func() {
		if p := recover(); p != nil {
			r.off = true
			r.log.Error("panic in the capture, which ends", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	if !r.off {
		do()
	}
}

// open begins a segment with the module's state.
func (r *Recorder) open(why string) {
	clear(r.named)
	r.tried, r.lines = r.now(), r.lines[:0]
	r.put(stamped(r.now(), Line{
		In: inStart, Why: why, Seed: strconv.FormatUint(r.seed, 16), Module: r.modules,
		Settings: r.settings, Snapshot: r.edge.Snapshot(nil), Calls: r.calls,
	}))
	r.lost = !r.sink.open(r.lines)
	r.lines = r.lines[:0]
}

// before begins a new segment where it is time to, and asks what the module knows of the keys that come.
func (r *Recorder) before(now time.Duration, events []dispatch.Event) {
	switch {
	case r.lost && now-r.tried >= retryAfter:
		r.open(whyGap)
	case !r.lost && r.sink.full():
		r.open(whyContinue)
	}
	r.pasts = r.pasts[:0]
	for _, e := range events {
		if j, ok := e.(dispatch.Job); ok {
			var past *float64
			if work, known := r.edge.KeyWork(j.Key); known {
				past = &work
			}
			r.pasts = append(r.pasts, past)
		}
	}
}

// step writes a step: what the module was told, and what it decided.
func (r *Recorder) step(now time.Duration, events []dispatch.Event, actions []dispatch.Action, panicked bool) {
	lines, pasts := make([]Line, 0, len(events)+len(actions)), r.pasts
	for _, e := range events {
		l := r.event(e)
		if l.In == inJob {
			l.Past, pasts = pasts[0], pasts[1:]
		}
		lines = append(lines, l)
	}
	for _, a := range actions {
		if l := r.action(a); l.Out != "" {
			lines = append(lines, l)
		}
	}
	if panicked {
		lines = append(lines, Line{Out: outPanic})
	}
	for i, l := range lines {
		if l.ID == "" && l.Job != 0 {
			l.ID = r.calls[l.Job]
		}
		if l = stamped(now, l); i > 0 {
			l.NS = 0
		} else if len(lines) > 1 {
			l.Of = len(lines)
		}
		r.put(l)
	}
	r.flush()
	for _, job := range r.dropped {
		delete(r.calls, job)
	}
	r.dropped = r.dropped[:0]
}

func stamped(now time.Duration, l Line) Line {
	l.T, l.NS = now.Milliseconds(), int64(now%time.Millisecond)
	return l
}

func (r *Recorder) event(e dispatch.Event) Line {
	switch e := e.(type) {
	case dispatch.Job:
		return Line{In: inJob, Job: e.ID, Arrived: &e}
	case dispatch.Outcome:
		return r.at(e.Worker, Line{In: inOutcome, Job: e.Job, Attempt: e.Attempt, Result: e.Result, Closed: e.Closed, Report: e.Report})
	case dispatch.Started:
		return r.at(e.Worker, Line{In: inStarted, Job: e.Job, Attempt: e.Attempt})
	case dispatch.Progressed:
		return r.at(e.Worker, Line{In: inProgress, Job: e.Job, Attempt: e.Attempt, Share: e.Share})
	case dispatch.ClientDisconnected:
		return Line{In: inGone, Job: e.Job}
	case dispatch.HealthChecked:
		return r.at(e.Worker, Line{In: inProbed, Result: e.Result, Report: e.Report})
	case dispatch.TimerFired:
		return Line{In: inTimer}
	case dispatch.Cordoned:
		return r.at(e.Worker, Line{In: inOut})
	case dispatch.Uncordoned:
		return r.at(e.Worker, Line{In: inBack})
	case dispatch.WorkerList:
		l := Line{In: inHosts, Kind: e.Kind}
		for _, w := range e.Workers {
			h := r.host(w.ID)
			l.Workers = append(l.Workers, listed{Name: h.ID, Addr: h.Addr, State: h.Lifecycle, As: w})
			r.named[w.ID] = true
		}
		return l
	}
	panic(fmt.Sprintf("an event that is not known: %T", e))
}

// action gives a decision its line. Timers and log lines are none.
func (r *Recorder) action(a dispatch.Action) Line {
	switch a := a.(type) {
	case dispatch.Send:
		return r.at(a.Worker, Line{Out: outSend, Job: a.Job, After: int64(a.AttemptTimeout)})
	case dispatch.Reject:
		return Line{Out: outRefuse, Job: a.Job, After: int64(a.RetryAfter)}
	case dispatch.Fail:
		return Line{Out: outFail, Job: a.Job}
	case dispatch.Cancel:
		return Line{Out: outCancel, Job: a.Job, Attempt: a.Attempt}
	case dispatch.HealthCheck:
		return r.at(a.Worker, Line{Out: outProbe})
	case dispatch.CloseIdleConnections:
		return r.at(a.Worker, Line{Out: outFree})
	case dispatch.Subscribe:
		return Line{Out: outWatch}
	}
	return Line{}
}

// at names the worker of a line; the first time in a segment with its number.
func (r *Recorder) at(worker uint64, l Line) Line {
	if l.Worker = r.host(worker).ID; l.Worker == "" || !r.named[worker] {
		l.Number = worker
		r.named[worker] = l.Worker != ""
	}
	return l
}

func (r *Recorder) host(worker uint64) requests.Endpoint {
	if r.LookupEndpoint == nil {
		return requests.Endpoint{}
	}
	return r.LookupEndpoint(worker)
}

// put adds a line to those that are handed on together.
func (r *Recorder) put(l Line) {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	r.lines = append(append(r.lines, b...), '\n')
}

func (r *Recorder) flush() {
	if !r.lost && len(r.lines) > 0 {
		if !r.sink.add(r.lines) {
			r.lost, r.tried = true, r.now()
		}
	}
	if r.lines = r.lines[:0]; cap(r.lines) > 256<<10 {
		r.lines = nil
	}
}

// Observe records what the module does not see, or not in the clients' words.
func (r *Recorder) Observe(n requests.Notification) {
	r.guard(func() { r.observe(n) })
}

func (r *Recorder) observe(n requests.Notification) {
	l := Line{}
	switch n.Kind {
	case requests.RequestForgotten:
		r.dropped = append(r.dropped, n.Request.ID)
		return
	case requests.RequestAdmitted:
		r.calls[n.Request.ID] = n.Request.CallID
		l = r.head(n.Request)
		l.In = inHead
	case requests.RequestRejected:
		if !r.may() {
			return
		}
		if n.Request != nil {
			l = r.head(n.Request)
		}
		l.Out, l.Status = outRefused, n.Status
	case requests.ResponseReceived:
		l = Line{In: inAnswer, ID: n.Request.CallID, Worker: n.Attempt.EndpointID, Status: n.Status}
	case requests.CallbackReceived:
		if n.Attempt == nil && !r.may() {
			return
		}
		l = Line{
			In: inNote, ID: short(n.Callback.CallID), Worker: short(n.Callback.EndpointID), State: short(n.Callback.State),
			Share: n.Callback.Progress, Unknown: n.Attempt == nil,
		}
		if n.Callback.Result != nil {
			l.Length = len(*n.Callback.Result)
		}
	case requests.RequestEnded:
		l = Line{Out: outOver, ID: n.Request.CallID, Outcome: string(n.Request.Outcome())}
	default:
		return
	}
	if l.Unknown || l.Out == outRefused {
		l.Skipped, r.skipped = r.skipped, 0
	}
	l.T = r.now().Milliseconds()
	r.put(l)
	r.flush()
}

func (r *Recorder) head(q *requests.Request) Line {
	l := Line{ID: q.CallID, Method: q.Payload.Method, Path: short(q.Payload.Path), Key: q.Payload.IdempotencyKey, Length: len(q.Payload.Body)}
	if q.Job.Class < len(r.names.Classes) {
		l.Class = r.names.Classes[q.Job.Class]
	}
	if q.Job.Tenant < len(r.names.Tenants) {
		l.Tenant = r.names.Tenants[q.Job.Tenant]
	}
	return l
}

// may keeps a flood that anybody can send from washing out the rest.
func (r *Recorder) may() bool {
	now := r.now()
	r.flood = min(floodBurst, r.flood+floodRate*(now-r.floodAt).Seconds())
	if r.floodAt = now; r.flood < 1 {
		r.skipped++
		return false
	}
	r.flood--
	return true
}

func short(text string) string { return text[:min(len(text), longest)] }
