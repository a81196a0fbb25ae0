// Package simwire reads and writes the bench's line protocol. It translates words and figures and decides nothing.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
)

// Kind tells what an Input is.
type Kind int

// Kinds of input.
const (
	KindEvent Kind = iota // Event is set
	KindStart             // Settings and Seed are set
	KindStop              // the instance is gone
	KindOther             // a message that the library has no use for
)

// Input is one event of a batch, for one instance.
type Input struct {
	Instance int
	Kind     Kind
	Event    dispatch.Event
	Settings dispatch.Settings
	Seed     uint64
}

// Batch is all that happened at one instant.
type Batch struct {
	Now    time.Duration
	Inputs []Input
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<16)} }

// errEnd marks the regular end of input, which may come only between batches.
var errEnd = errors.New("end of input")

// next returns the next line without its end.
func (r *Reader) next() (string, error) {
	s, err := r.in.ReadString('\n')
	if err == io.EOF && s == "" {
		return "", errEnd
	}
	if err != nil && err != io.EOF {
		return "", fmt.Errorf("reading line %d: %w", r.line+1, err)
	}
	r.line++
	return strings.TrimRight(s, "\r\n"), nil
}

func (r *Reader) fault(err error) error { return fmt.Errorf("line %d: %w", r.line, err) }

// Read fills b with the next batch. It returns io.EOF at the end of input.
func (r *Reader) Read(b *Batch) error {
	b.Inputs = b.Inputs[:0]
	line := ""
	for line == "" { // blank lines between batches are harmless
		var err error
		if line, err = r.next(); err != nil {
			if errors.Is(err, errEnd) {
				return io.EOF
			}
			return err
		}
	}
	name, f := split(line)
	if name != "ROUND" {
		return r.fault(fmt.Errorf("expected ROUND, got %q", short(line)))
	}
	now := f.span("sim_time", true)
	if f.err != nil {
		return r.fault(f.err)
	}
	b.Now = now
	for {
		line, err := r.next()
		if errors.Is(err, errEnd) {
			return fmt.Errorf("line %d: expected EOF_BATCH, got end of input", r.line+1)
		}
		if err != nil {
			return err
		}
		if line == "EOF_BATCH" {
			return nil
		}
		in, err := r.input(line)
		if err != nil {
			return err
		}
		b.Inputs = append(b.Inputs, in)
	}
}

var results = map[int64]dispatch.Result{
	200: dispatch.OK, 500: dispatch.Failed, 503: dispatch.WorkerFull, 504: dispatch.TimedOut,
	502: dispatch.ConnectFailed, 598: dispatch.ConnectionReset, 499: dispatch.Cancelled, 410: dispatch.NotSent,
}

var listKinds = map[string]dispatch.ListKind{
	"incr": dispatch.ListDelta, "total": dispatch.ListFull,
	"warm_copy": dispatch.ListCached, "lost": dispatch.ListUnavailable,
}

// input decodes one event line and, for a worker list, the entries that follow it.
func (r *Reader) input(line string) (Input, error) {
	name, f := split(line)
	if name == "M" || name == "ROUND" {
		return Input{}, r.fault(fmt.Errorf("expected an event or EOF_BATCH, got %q", short(line)))
	}
	in := Input{Instance: int(f.whole("i", true))}
	id, shot, worker := uint64(0), 0, uint64(0)
	attempt := func() { id, shot, worker = f.id("txn"), int(f.whole("shot", false)), f.id("worker") }
	switch name {
	case "ENLIST":
		in.Kind = KindStart
		in.Seed = f.seed("seed")
		in.Settings = f.settings("boot_info")
	case "DETACH":
		in.Kind = KindStop
	case "DISCOVERY":
		kind, ok := listKinds[f.text("kind")]
		if !ok {
			f.fail("kind", "incr, total, warm_copy or lost", f.text("kind"))
		}
		rows := f.whole("rows", false)
		if f.err != nil {
			return in, r.fault(f.err)
		}
		list, err := r.entries(rows)
		if err != nil {
			return in, err
		}
		in.Event = dispatch.WorkerList{Kind: kind, Workers: list}
	case "REQUEST":
		in.Event = dispatch.Job{
			ID: f.id("txn"), Class: int(f.whole("service", true)),
			Tenant: int(f.whole("client_group", false)), Key: uint64(f.whole("key", false)),
			Remaining: f.span("left", true), Hint: f.span("effort", false), Slots: f.number("slots"),
			Memory: f.number("mem"), Retry: f.flag("retry"),
		}
	case "RESOLVED":
		attempt()
		in.Event = dispatch.Outcome{
			Job: id, Attempt: shot, Worker: worker, Result: f.result("verdict"),
			Closed: f.flag("terminal"), Report: f.row("telemetry"),
		}
	case "CHECKED":
		in.Event = dispatch.HealthChecked{Worker: f.id("worker"), Result: f.result("verdict"), Report: f.row("telemetry")}
	case "PROGRESS":
		attempt()
		switch f.whole("what", true) {
		case 1:
			in.Event = dispatch.Started{Job: id, Attempt: shot, Worker: worker}
		case 2:
			in.Event = dispatch.Progressed{Job: id, Attempt: shot, Worker: worker, Share: f.number("level")}
		default:
			in.Kind = KindOther
		}
	case "FIRST":
		attempt()
		in.Event = dispatch.ResponseStarted{Job: id, Attempt: shot, Worker: worker}
	case "CANCELLED_BY_CLIENT":
		in.Event = dispatch.ClientDisconnected{Job: f.id("txn")}
	case "WAKEUP":
		in.Event = dispatch.TimerFired{}
	case "PEER_DATA":
		in.Kind = KindOther
	default:
		return in, r.fault(fmt.Errorf("expected an event, got %q", short(line)))
	}
	if f.err != nil {
		return in, r.fault(f.err)
	}
	return in, nil
}

func (r *Reader) entries(rows int64) ([]dispatch.Worker, error) {
	var list []dispatch.Worker
	for n := range rows {
		line, err := r.next()
		if errors.Is(err, errEnd) {
			return nil, fmt.Errorf("line %d: expected entry %d of %d, got end of input", r.line+1, n+1, rows)
		}
		if err != nil {
			return nil, err
		}
		name, f := split(line)
		if name != "M" {
			return nil, r.fault(fmt.Errorf("expected entry %d of %d, got %q", n+1, rows, short(line)))
		}
		w := dispatch.Worker{
			ID: f.id("worker"), Kind: int(f.whole("model", false)), Size: f.number("power_hint"),
			Cell: int(f.whole("cohort", false)), Zone: int(f.whole("dc", false)), BootAt: f.span("boot_time", false),
		}
		switch s := f.text("state"); s {
		case "Ready":
			w.Ready = true
		case "Terminating":
		case "Gone":
			w.Removed = true
		default:
			f.fail("state", "Ready, Terminating or Gone", s)
		}
		if f.err != nil {
			return nil, r.fault(f.err)
		}
		list = append(list, w)
	}
	return list, nil
}

// fields are the name=value pairs of a line. The first fault met is kept in err.
type fields struct {
	rest string
	err  error
}

func split(line string) (string, *fields) {
	name, rest, _ := strings.Cut(line, " ")
	return name, &fields{rest: rest}
}

func short(s string) string { return s[:min(len(s), 40)] }

func (f *fields) fail(name, want, got string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: expected %s, got %q", name, want, short(got))
	}
}

func (f *fields) find(name string) (string, bool) {
	for rest := f.rest; rest != ""; {
		var part string
		part, rest, _ = strings.Cut(rest, " ")
		if k, v, ok := strings.Cut(part, "="); ok && k == name {
			return v, true
		}
	}
	return "", false
}

func (f *fields) text(name string) string {
	s, _ := f.find(name)
	return s
}

func (f *fields) whole(name string, must bool) int64 {
	s, ok := f.find(name)
	if !ok && !must {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(name, "a whole number", s)
	}
	return n
}

func (f *fields) id(name string) uint64 {
	n := f.whole(name, true)
	if n < 0 {
		f.fail(name, "a number from 0", f.text(name))
	}
	return uint64(n)
}

func (f *fields) seed(name string) uint64 {
	s := f.text(name)
	if n, err := strconv.ParseUint(s, 10, 64); err == nil {
		return n
	}
	return uint64(f.whole(name, true))
}

func (f *fields) span(name string, must bool) time.Duration {
	n := f.whole(name, must)
	if most := int64(math.MaxInt64 / time.Microsecond); n > most || n < -most {
		f.fail(name, "a span in microseconds", f.text(name))
	}
	return time.Duration(n) * time.Microsecond
}

func (f *fields) number(name string) float64 {
	s, ok := f.find(name)
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		f.fail(name, "a number", s)
	}
	return x
}

func (f *fields) flag(name string) bool {
	switch s, ok := f.find(name); {
	case !ok || s == "0":
		return false
	case s == "1":
		return true
	default:
		f.fail(name, "0 or 1", s)
		return false
	}
}

func (f *fields) result(name string) dispatch.Result {
	code := f.whole(name, true)
	r, ok := results[code]
	if !ok {
		f.fail(name, "a completion code", f.text(name))
	}
	return r
}

func (f *fields) row(name string) []float64 {
	s, ok := f.find(name)
	if !ok || s == "" {
		return nil
	}
	var row []float64
	for _, part := range strings.Split(s, ",") {
		x, err := strconv.ParseFloat(part, 64)
		if err != nil {
			if part == "" || part == "-" {
				x = math.NaN() // this value is absent
			} else {
				f.fail(name, "numbers set apart by commas", s)
			}
		}
		row = append(row, x)
	}
	return row
}

func (f *fields) settings(name string) dispatch.Settings {
	_, object, ok := strings.Cut(" "+f.rest, " "+name+"=")
	if !ok {
		f.fail(name, "an object", "")
		return dispatch.Settings{}
	}
	s, err := config.DecodeSettings([]byte(object))
	if err != nil && f.err == nil {
		f.err = fmt.Errorf("%s: expected a settings object: %w", name, err)
	}
	return s.Settings
}

// Writer writes replies.
type Writer struct {
	out *bufio.Writer
	buf []byte
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 1<<16)} }

// Actions adds what one instance wants done to the reply.
func (w *Writer) Actions(instance int, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			w.line("FORWARD", instance, field{"txn", a.Job}, field{"patience", us(a.AttemptTimeout)}, field{"worker", a.Worker})
		case dispatch.Reject:
			w.line("REFUSE", instance, field{"txn", a.Job}, field{"not_before_for", us(a.RetryAfter)})
		case dispatch.Fail:
			w.line("END_FAILED", instance, field{"txn", a.Job})
		case dispatch.Cancel:
			w.line("REVOKE", instance, field{"txn", a.Job}, field{"shot", uint64(a.Attempt)})
		case dispatch.HealthCheck:
			w.line("TOUCH", instance, field{"worker", a.Worker})
		case dispatch.CloseIdleConnections:
			w.line("FREE_LINKS", instance, field{"worker", a.Worker})
		case dispatch.SetTimer:
			// Timers round up, so that one is never early; the text of the tag carries nothing.
			w.line("ARM", instance, field{"tag", 1}, field{"offset", us(a.After + time.Microsecond - 1)})
		case dispatch.Subscribe:
			w.line("SUBSCRIBE", instance, field{"on", 1})
		case dispatch.Log:
			w.text("LOG", instance, a.Text)
		}
	}
}

// Fault reports that the decision code of an instance failed.
func (w *Writer) Fault(instance int, text string) { w.text("INTERNAL_ERROR", instance, text) }

// End closes the reply and flushes it.
func (w *Writer) End() error {
	_, _ = w.out.WriteString("NEXT\n")
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("writing the reply: %w", err)
	}
	return nil
}

type field struct {
	name  string
	value uint64
}

func us(d time.Duration) uint64 { return uint64(max(0, d.Microseconds())) }

func (w *Writer) line(name string, instance int, fs ...field) {
	b := w.buf[:0]
	b = append(b, name...)
	b = append(b, " i="...)
	b = strconv.AppendInt(b, int64(instance), 10)
	for _, f := range fs {
		b = append(b, ' ')
		b = append(b, f.name...)
		b = append(b, '=')
		b = strconv.AppendUint(b, f.value, 10)
	}
	b = append(b, '\n')
	w.buf = b
	_, _ = w.out.Write(w.buf) // a write error stays in out and shows when the reply is flushed
}

func (w *Writer) text(name string, instance int, s string) {
	s = strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, s)
	fmt.Fprintf(w.out, "%s i=%d msg=%s\n", name, instance, s)
}
