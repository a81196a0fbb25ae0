package capture

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/config"
	"valvecove/internal/ledger"
	"valvecove/logic"
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
	sink     sink
	names    ledger.Names
	now      func() time.Duration
	log      *slog.Logger
	Host     func(worker uint64) ledger.Host // to be set once there is a ledger
	seed     uint64
	settings jsoniter.RawMessage
	modules  uint64
	edge     *edge // of the module that runs
	calls    map[uint64]string
	dropped  []uint64        // forgotten once the next step is written
	named    map[uint64]bool // workers that the segment names
	lines    []byte
	pasts    []*float64
	lost     bool // the segment is broken off
	tried    time.Duration
	off      bool // a panic of its own has switched it off
	flood    float64
	floodAt  time.Duration
	skipped  int
}

// New returns a recorder; seed and settings are those of the scheduler's start.
func New(conf config.Capture, c config.Config, now func() time.Duration, log *slog.Logger) (*Recorder, error) {
	r := &Recorder{names: c.Settings.Names, now: now, log: log, seed: c.Seed, calls: map[uint64]string{},
		named: map[uint64]bool{}, flood: floodBurst}
	var tree any
	err := jsoniter.Config{UseNumber: true, SortMapKeys: true}.Froze().Unmarshal(c.Platform, &tree)
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
	*logic.Dispatcher
	r *Recorder
}

// Wrap records a module from its start on.
func (r *Recorder) Wrap(m *logic.Dispatcher) ledger.Module {
	r.modules++
	why := whyStart
	if r.modules > 1 {
		why = whyRestart
	}
	return r.begin(m, why)
}

// Continue records a module that goes on from a state which another process had.
func (r *Recorder) Continue(m *logic.Dispatcher) ledger.Module {
	r.modules++
	return r.begin(m, whyTaken)
}

func (r *Recorder) begin(m *logic.Dispatcher, why string) ledger.Module {
	r.edge = &edge{m, r}
	r.guard(func() { r.open(why) })
	return r.edge
}

// Step has the module step, and records that.
func (e *edge) Step(now time.Duration, events []logic.Event, dst []logic.Action) []logic.Action {
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
	r.put(stamped(r.now(), Line{In: inStart, Why: why, Seed: strconv.FormatUint(r.seed, 16), Module: r.modules,
		Settings: r.settings, Snapshot: r.edge.Snapshot(nil), Calls: r.calls}))
	r.lost = !r.sink.open(r.lines)
	r.lines = r.lines[:0]
}

// before begins a new segment where it is time to, and asks what the module knows of the keys that come.
func (r *Recorder) before(now time.Duration, events []logic.Event) {
	switch {
	case r.lost && now-r.tried >= retryAfter:
		r.open(whyGap)
	case !r.lost && r.sink.full():
		r.open(whyContinue)
	}
	r.pasts = r.pasts[:0]
	for _, e := range events {
		if j, ok := e.(logic.Job); ok {
			var past *float64
			if work, known := r.edge.Past(j.Key); known {
				past = &work
			}
			r.pasts = append(r.pasts, past)
		}
	}
}

// step writes a step: what the module was told, and what it decided.
func (r *Recorder) step(now time.Duration, events []logic.Event, actions []logic.Action, panicked bool) {
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

func (r *Recorder) event(e logic.Event) Line {
	switch e := e.(type) {
	case logic.Job:
		return Line{In: inJob, Job: e.ID, Arrived: &e}
	case logic.Outcome:
		return r.at(e.Worker, Line{In: inOutcome, Job: e.Job, Attempt: e.Attempt, Result: e.Result, Closed: e.Closed, Report: e.Report})
	case logic.Started:
		return r.at(e.Worker, Line{In: inStarted, Job: e.Job, Attempt: e.Attempt})
	case logic.Progressed:
		return r.at(e.Worker, Line{In: inProgress, Job: e.Job, Attempt: e.Attempt, Share: e.Share})
	case logic.ClientGone:
		return Line{In: inGone, Job: e.Job}
	case logic.Probed:
		return r.at(e.Worker, Line{In: inProbed, Result: e.Result, Report: e.Report})
	case logic.TimerFired:
		return Line{In: inTimer}
	case logic.Suspended:
		return r.at(e.Worker, Line{In: inOut})
	case logic.Restored:
		return r.at(e.Worker, Line{In: inBack})
	case logic.WorkerList:
		l := Line{In: inHosts, Kind: e.Kind}
		for _, w := range e.Workers {
			h := r.host(w.ID)
			l.Workers = append(l.Workers, listed{Name: h.ID, Addr: h.Addr, State: h.State, As: w})
			r.named[w.ID] = true
		}
		return l
	}
	panic(fmt.Sprintf("an event that is not known: %T", e))
}

// action gives a decision its line. Timers and log lines are none.
func (r *Recorder) action(a logic.Action) Line {
	switch a := a.(type) {
	case logic.Send:
		return r.at(a.Worker, Line{Out: outSend, Job: a.Job, After: int64(a.Patience)})
	case logic.Refuse:
		return Line{Out: outRefuse, Job: a.Job, After: int64(a.After)}
	case logic.Fail:
		return Line{Out: outFail, Job: a.Job}
	case logic.Cancel:
		return Line{Out: outCancel, Job: a.Job, Attempt: a.Attempt}
	case logic.Probe:
		return r.at(a.Worker, Line{Out: outProbe})
	case logic.FreeLinks:
		return r.at(a.Worker, Line{Out: outFree})
	case logic.Subscribe:
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

func (r *Recorder) host(worker uint64) ledger.Host {
	if r.Host == nil {
		return ledger.Host{}
	}
	return r.Host(worker)
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
func (r *Recorder) Observe(n ledger.News) {
	r.guard(func() { r.observe(n) })
}

func (r *Recorder) observe(n ledger.News) {
	l := Line{}
	switch n.What {
	case ledger.NewsDropped:
		r.dropped = append(r.dropped, n.Query.ID)
		return
	case ledger.NewsTaken:
		r.calls[n.Query.ID] = n.Query.Call
		l = r.head(n.Query)
		l.In = inHead
	case ledger.NewsRefused:
		if !r.may() {
			return
		}
		if n.Query != nil {
			l = r.head(n.Query)
		}
		l.Out, l.Status = outRefused, n.Status
	case ledger.NewsAnswer:
		l = Line{In: inAnswer, ID: n.Query.Call, Worker: n.Attempt.From, Status: n.Status}
	case ledger.NewsNote:
		if n.Attempt == nil && !r.may() {
			return
		}
		l = Line{In: inNote, ID: short(n.Note.ID), Worker: short(n.Note.From), State: short(n.Note.State),
			Share: n.Note.Share, Unknown: n.Attempt == nil}
		if n.Note.Result != nil {
			l.Length = len(*n.Note.Result)
		}
	case ledger.NewsOver:
		l = Line{Out: outOver, ID: n.Query.Call, Outcome: string(n.Query.Outcome())}
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

func (r *Recorder) head(q *ledger.Query) Line {
	l := Line{ID: q.Call, Method: q.Parcel.Verb, Path: short(q.Parcel.Path), Key: q.Parcel.Key, Length: len(q.Parcel.Body)}
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
