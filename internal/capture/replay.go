package capture

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
)

// Replay feeds a capture's inputs to the module again and writes a line for each decision that comes out
// otherwise than recorded. It counts these. After one it goes on with what was recorded.
func Replay(capture io.Reader, ops config.Ops, out, warnings io.Writer) (differences int, err error) {
	p := &player{ops: ops, out: out, warnings: warnings}
	err = p.read(bufio.NewReaderSize(capture, 1<<16))
	return p.differences, err
}

// player replays one capture.
type player struct {
	ops           config.Ops
	out, warnings io.Writer
	differences   int
	line          int
	module        *dispatch.Dispatcher // nil: before the first segment, or after a panic
	begun         bool
	passed        int               // steps for which there was no module
	batch         []numbered        // the step that is being read
	numbers       map[string]uint64 // of workers, by name
	names         map[uint64]string
	calls         map[uint64]string
}

type numbered struct {
	Line
	at int
}

// LineError is a line that is no part of a capture.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap gives what is wrong with it.
func (e *LineError) Unwrap() error { return e.Err }

// ErrNoCapture is said of text that holds no segment.
var ErrNoCapture = errors.New("no capture in it: no line opens a segment")

func (p *player) warn(format string, args ...any) { fmt.Fprintf(p.warnings, format+"\n", args...) }

// logLine begins each line of a log in JSON; no line of a capture has such a field.
var logLine = []byte(`{"time":`)

// read takes the capture line by line. A last line that is broken was cut off; any other is a fault.
func (p *player) read(from *bufio.Reader) error {
	var broken *LineError
	for {
		text, err := from.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		ended := err != nil
		p.line++
		if text = bytes.TrimSpace(text); len(text) > 0 {
			if broken != nil {
				return broken
			}
			if text[0] == '{' && !bytes.HasPrefix(text, logLine) { // else it is a line of the log
				var l Line
				if err := json.Unmarshal(text, &l); err != nil {
					broken = &LineError{p.line, err}
				} else if err := p.take(l); err != nil {
					return &LineError{p.line, err}
				}
			}
		}
		if ended {
			break
		}
	}
	if broken != nil {
		p.warn("warning: line %d is cut short and skipped: %v", broken.Line, broken.Err)
	}
	if len(p.batch) > 0 {
		p.warn("warning: the step from line %d on is cut short and skipped", p.batch[0].at)
	}
	if p.passed > 0 {
		p.warn("warning: %d steps before the first segment, or after the module had failed, are skipped", p.passed)
	}
	if !p.begun {
		return ErrNoCapture
	}
	return nil
}

func (p *player) take(l Line) error {
	kind := l.In + l.Out
	switch {
	case l.In != "" && l.Out != "" || !known[kind] && !atEdge[kind]:
		return fmt.Errorf("not a line of a capture: in %q, out %q", l.In, l.Out)
	case len(p.batch) > 0 && !atEdge[kind]:
		return fmt.Errorf("%q within the step that began at line %d", kind, p.batch[0].at)
	case kind == inStart:
		return p.start(l)
	case !atEdge[kind]:
		return nil
	}
	if l.Job != 0 && l.ID != "" && p.calls != nil {
		p.calls[l.Job] = l.ID
	}
	if p.begun && l.Worker != "" {
		if l.Number != 0 {
			p.call(l.Worker, l.Number)
		} else if l.Number = p.numbers[l.Worker]; l.Number == 0 {
			return fmt.Errorf("worker %q has not been given a number", l.Worker)
		}
	}
	if l.In == inJob && l.Arrived == nil {
		return errors.New("a job without what arrived")
	}
	if p.begun {
		for _, w := range l.Workers {
			p.call(w.Name, w.As.ID)
		}
	}
	p.batch = append(p.batch, numbered{l, p.line})
	if len(p.batch) < p.batch[0].Of {
		return nil
	}
	batch := p.batch
	p.batch = nil
	if p.module == nil {
		p.passed++
		return nil
	}
	p.step(batch)
	return nil
}

func (p *player) call(name string, number uint64) {
	if name != "" {
		p.numbers[name], p.names[number] = number, name
	}
}

// start opens a segment. A module's first begins it anew, so that other settings hold from its start on.
func (p *player) start(l Line) error {
	set, err := p.ops.Override(l.Settings)
	if err != nil {
		return err
	}
	seed, err := strconv.ParseUint(l.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if l.Why == whyStart || l.Why == whyRestart {
		p.module = dispatch.New(set.Settings, seed+l.Module)
	} else if p.module, err = dispatch.Restore(set.Settings, l.Snapshot); err != nil {
		return err
	}
	p.begun, p.numbers, p.names, p.calls = true, map[string]uint64{}, map[uint64]string{}, l.Calls
	if p.calls == nil {
		p.calls = map[uint64]string{}
	}
	return nil
}

// decision is what was decided on a subject, a job or a worker.
type decision struct {
	subject, what string
	at            int
}

func (p *player) step(batch []numbered) {
	now := time.Duration(batch[0].T)*time.Millisecond + time.Duration(batch[0].NS)
	var events []dispatch.Event
	var was, is []decision
	for _, l := range batch {
		if l.Past != nil && l.Arrived != nil {
			p.module.RecallKeyWork(l.Arrived.Key, *l.Past)
		}
		if l.Out == "" {
			events = append(events, l.event())
		} else {
			was = append(was, p.recorded(l))
		}
	}
	actions, fine := p.run(now, events)
	for _, a := range actions {
		if d := p.decided(a); d.what != "" {
			is = append(is, d)
		}
	}
	if !fine {
		is = append(is, decision{subject: "the module", what: "a panic"})
		p.module = nil
	} else if len(was) > 0 && was[len(was)-1].what == "a panic" {
		p.module = nil // what it knows is of no use: the next segment is another module's
	}
	p.compare(batch[0].at, was, is)
}

// run has the module step. What it does after a difference may be more than it can take.
func (p *player) run(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, fine bool) {
	defer func() {
		if recover() != nil {
			actions, fine = nil, false
		}
	}()
	return p.module.Step(now, events, nil), true
}

// compare tells of each decision on a subject that is not what was recorded, in the order of the record.
func (p *player) compare(first int, was, is []decision) {
	left := map[string][]string{}
	for _, d := range is {
		left[d.subject] = append(left[d.subject], d.what)
	}
	for _, d := range was {
		now := "nothing"
		if more := left[d.subject]; len(more) > 0 {
			now, left[d.subject] = more[0], more[1:]
		}
		p.differ(d.at, d.subject, d.what, now)
	}
	for _, d := range is {
		for _, what := range left[d.subject] {
			p.differ(first, d.subject, "nothing", what)
		}
		delete(left, d.subject)
	}
}

func (p *player) differ(at int, subject, was, now string) {
	if was != now {
		p.differences++
		fmt.Fprintf(p.out, "line %d: %s was %s, now %s\n", at, subject, was, now)
	}
}

// event is the line's input as the module was told it.
func (l *Line) event() dispatch.Event {
	switch l.In {
	case inJob:
		return *l.Arrived
	case inOutcome:
		return dispatch.Outcome{Job: l.Job, Attempt: l.Attempt, Worker: l.Number, Result: l.Result, Closed: l.Closed, Report: l.Report}
	case inStarted:
		return dispatch.Started{Job: l.Job, Attempt: l.Attempt, Worker: l.Number}
	case inProgress:
		return dispatch.Progressed{Job: l.Job, Attempt: l.Attempt, Worker: l.Number, Share: l.Share}
	case inGone:
		return dispatch.ClientDisconnected{Job: l.Job}
	case inProbed:
		return dispatch.HealthChecked{Worker: l.Number, Result: l.Result, Report: l.Report}
	case inOut:
		return dispatch.Cordoned{Worker: l.Number}
	case inBack:
		return dispatch.Uncordoned{Worker: l.Number}
	case inHosts:
		list := dispatch.WorkerList{Kind: l.Kind}
		for _, w := range l.Workers {
			list.Workers = append(list.Workers, w.As)
		}
		return list
	}
	return dispatch.TimerFired{}
}

// recorded is the decision of a line.
func (p *player) recorded(l numbered) decision {
	switch after := time.Duration(l.After); l.Out {
	case outSend:
		return p.send(l.at, l.Job, l.Number, after)
	case outRefuse:
		return p.refuse(l.at, l.Job, after)
	case outFail:
		return decision{p.job(l.Job), "failed", l.at}
	case outCancel:
		return decision{p.job(l.Job), cancelled(l.Attempt), l.at}
	case outProbe:
		return decision{p.worker(l.Number), "probed", l.at}
	case outFree:
		return decision{p.worker(l.Number), "links closed", l.at}
	case outWatch:
		return decision{"the host group", "watched", l.at}
	}
	return decision{"the module", "a panic", l.at}
}

// decided is the decision of an action; none for timers and log lines.
func (p *player) decided(a dispatch.Action) decision {
	switch a := a.(type) {
	case dispatch.Send:
		return p.send(0, a.Job, a.Worker, a.AttemptTimeout)
	case dispatch.Reject:
		return p.refuse(0, a.Job, a.RetryAfter)
	case dispatch.Fail:
		return decision{p.job(a.Job), "failed", 0}
	case dispatch.Cancel:
		return decision{p.job(a.Job), cancelled(a.Attempt), 0}
	case dispatch.HealthCheck:
		return decision{p.worker(a.Worker), "probed", 0}
	case dispatch.CloseIdleConnections:
		return decision{p.worker(a.Worker), "links closed", 0}
	case dispatch.Subscribe:
		return decision{"the host group", "watched", 0}
	}
	return decision{}
}

func (p *player) send(at int, job, worker uint64, patience time.Duration) decision {
	what := p.worker(worker)
	if patience != 0 {
		what += fmt.Sprintf(" for %v", patience)
	}
	return decision{p.job(job), what, at}
}

func (p *player) refuse(at int, job uint64, after time.Duration) decision {
	what := "refused"
	if after != 0 {
		what += fmt.Sprintf(" for %v", after)
	}
	return decision{p.job(job), what, at}
}

func cancelled(attempt int) string { return "attempt " + strconv.Itoa(attempt) + " cancelled" }

func (p *player) job(number uint64) string {
	if id := p.calls[number]; id != "" {
		return id
	}
	return "job " + strconv.FormatUint(number, 10)
}

func (p *player) worker(number uint64) string {
	if name := p.names[number]; name != "" {
		return name
	}
	return "worker " + strconv.FormatUint(number, 10)
}

// ReplayCommand is `valvecove replay`; it returns the exit code: 0 no difference, 1 some, 2 nothing could be replayed.
func ReplayCommand(capture string, ops config.Ops, out, warnings io.Writer) int {
	f, err := os.Open(capture)
	if err != nil {
		fmt.Fprintln(warnings, "valvecove replay:", err)
		return 2
	}
	defer func() { _ = f.Close() }()
	buffered := bufio.NewWriter(out)
	n, err := Replay(f, ops, buffered, warnings)
	if err == nil {
		err = buffered.Flush()
	} else {
		_ = buffered.Flush()
	}
	switch {
	case err != nil:
		fmt.Fprintf(warnings, "valvecove replay: %s: %v\n", capture, err)
		return 2
	case n > 0:
		return 1
	}
	return 0
}
