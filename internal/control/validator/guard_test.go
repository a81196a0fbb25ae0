package validator

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

var update = flag.Bool("update", false, "write what is found to the golden files")

// Each file of testdata is a play: what the forwarder's ledger told, sessions, words and orders, and below a line of
// dashes what became of each order.
func TestPlays(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d plays, %v", len(files), err)
	}
	seen := map[message.RejectReason]bool{}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			script, want, _ := strings.Cut(string(text), "----\n")
			p := stage{t: t, seen: seen}
			got := p.play(script)
			if *update {
				if err := os.WriteFile(name, []byte(script+"----\n"+got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != want {
				t.Errorf("found\n%s\nwant\n%s", got, want)
			}
		})
	}
	for why := range message.ReasonCount {
		if !seen[why] {
			t.Errorf("no play has an order of which the guard says %q", why)
		}
	}
}

// stage is where a play goes on.
type stage struct {
	t    *testing.T
	set  dispatch.Settings
	g    *Validator
	now  time.Duration
	seen map[message.RejectReason]bool
}

func (p *stage) play(script string) string {
	out := &strings.Builder{}
	for line := range strings.Lines(script) {
		f := strings.Fields(line)
		switch {
		case len(f) == 0 || f[0] == "#":
		case f[0] == "set":
			p.setting(f[1:])
		default:
			if p.g == nil {
				p.g = New(p.set)
			}
			p.now = p.span(f[0])
			if why, asked := p.line(f[1], f[2:]); asked {
				p.seen[why] = true
				text := why.String()
				if why == message.ReasonNone {
					text = "follows"
				}
				fmt.Fprintf(out, "%s: %s\n", strings.TrimSpace(line), text)
			}
		}
	}
	for why := range message.ReasonCount {
		if n := p.g.RejectedCount(why); n > 0 {
			fmt.Fprintf(out, "refused as %s: %d\n", why, n)
		}
	}
	return out.String()
}

func (p *stage) span(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		p.t.Fatal(err)
	}
	return d
}

// number reads what stands after a letter, "q7" say, or after an equals sign.
func (p *stage) number(s string) uint64 {
	n, err := strconv.ParseUint(s[strings.IndexAny(s, "=qw#ec")+1:], 10, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return n
}

func (p *stage) setting(f []string) {
	switch s := &p.set; f[0] {
	case "tries":
		s.AttemptLimit = int(p.number("=" + f[1]))
	case "copies":
		s.Hedging = true
	case "cancelling":
		s.Cancellation = true
	case "probes":
		s.HealthChecks = true
	case "class":
		c := dispatch.Class{Idempotency: map[string]dispatch.Idempotency{"unsafe": dispatch.NonIdempotent, "keyed": dispatch.IdempotentWithKey,
			"safe": dispatch.Idempotent}[f[1]]}
		for _, x := range f[2:] {
			switch {
			case strings.HasPrefix(x, "kind="):
				c.Kinds = append(c.Kinds, int(p.number(x)))
			case strings.HasPrefix(x, "window="):
				c.DeduplicationWindow = p.span(x[7:])
			default:
				c.DeduplicationScope = map[string]dispatch.DeduplicationScope{"cell": dispatch.ScopeCell, "zone": dispatch.ScopeZone,
					"all": dispatch.ScopeAll}[x]
			}
		}
		s.Classes = append(s.Classes, c)
	}
}

var listKinds = map[string]dispatch.ListKind{"delta": dispatch.ListDelta, "full": dispatch.ListFull, "cached": dispatch.ListCached,
	"lost": dispatch.ListUnavailable}

var results = map[string]dispatch.Result{"ok": dispatch.OK, "failed": dispatch.Failed, "full": dispatch.WorkerFull,
	"timeout":   dispatch.TimedOut,
	"noconnect": dispatch.ConnectFailed, "reset": dispatch.ConnectionReset, "cancelled": dispatch.Cancelled, "notsent": dispatch.NotSent}

func (p *stage) line(what string, f []string) (why message.RejectReason, asked bool) {
	switch what {
	case "list": // list KIND GENERATION then wN with cell=, zone=, kind=, start=, draining, gone
		l := dispatch.WorkerList{Kind: listKinds[f[0]], Revision: int64(p.number("=" + f[1]))}
		for _, x := range f[2:] {
			if x[0] == 'w' {
				l.Workers = append(l.Workers, dispatch.Worker{ID: p.number(x), Ready: true})
				continue
			}
			w := &l.Workers[len(l.Workers)-1]
			switch name, value, _ := strings.Cut(x, "="); name {
			case "cell":
				w.Cell = int(p.number("=" + value))
			case "zone":
				w.Zone = int(p.number("=" + value))
			case "kind":
				w.Kind = int(p.number("=" + value))
			case "start":
				w.BootAt = p.span(value)
			case "draining":
				w.Ready = false
			case "gone":
				w.Removed = true
			}
		}
		p.g.Observe(p.now, l)
	case "job":
		p.g.Observe(p.now, dispatch.Job{ID: p.number(f[0]), Class: int(p.number(f[1])), Remaining: p.span(f[2])})
	case "gone":
		p.g.Observe(p.now, dispatch.ClientDisconnected{Job: p.number(f[0])})
	case "started":
		p.g.Observe(p.now, dispatch.Started{Job: p.number(f[0]), Attempt: int(p.number(f[1])), Worker: p.number(f[2])})
	case "stream":
		p.g.Observe(p.now, dispatch.ResponseStarted{Job: p.number(f[0]), Attempt: int(p.number(f[1])), Worker: p.number(f[2])})
	case "ended":
		r := results[f[3]]
		p.g.Observe(p.now, dispatch.Outcome{Job: p.number(f[0]), Attempt: int(p.number(f[1])), Worker: p.number(f[2]),
			Result: r,
			Closed: r == dispatch.OK || len(f) > 4})
	case "open":
		p.g.OpenSession(message.Epoch(p.number(f[0])))
	case "close":
		p.g.CloseSession(message.Epoch(p.number(f[0])))
	case "give":
		p.g.Assign(p.number(f[0]), message.Epoch(p.number(f[1])))
	case "word":
		w := message.WorkerStatus{WorkerID: p.number(f[0]), StartedMs: p.span(f[1]).Milliseconds(),
			Revision: int64(p.number("=" + f[2]))}
		w.State = map[string]message.WorkerState{"up": message.WorkerUp, "draining": message.WorkerDraining, "gone": message.WorkerGone}[f[3]]
		p.g.ObserveStatus(p.now, w)
	default:
		return p.order(what, f), true
	}
	return 0, false
}

// order is "send eEPOCH qQUERY #NUMBER wWORKER" and the like.
func (p *stage) order(what string, f []string) message.RejectReason {
	m := &modelCommand{kind: map[string]message.Kind{"send": message.KindSendCommand, "refuse": message.KindRejectCommand, "fail": message.KindFailCommand,
		"cancel": message.KindCancelCommand,
		"move":   message.KindTransferCommand, "probe": message.KindHealthCheckCommand, "free": message.KindCloseIdleCommand, "hello": message.KindHandshake}[what]}
	for _, x := range f[1:] {
		switch x[0] {
		case 'q':
			m.request = p.number(x)
		case '#':
			m.attempt = int(p.number(x))
		case 'w':
			m.worker = p.number(x)
		}
	}
	why := p.g.Validate(p.now, message.Epoch(p.number(f[0])), m.message())
	if why != message.ReasonNone {
		return why
	}
	switch m.kind {
	case message.KindSendCommand:
		p.g.Apply(p.now, dispatch.Send{Job: m.request, Worker: m.worker})
	case message.KindRejectCommand:
		p.g.Apply(p.now, dispatch.Reject{Job: m.request})
	case message.KindFailCommand:
		p.g.Apply(p.now, dispatch.Fail{Job: m.request})
	}
	return why
}

// What others say of strangers is forgotten in the end, what they say of listed nodes is not, and neither depends on
// the order in which a map is walked.
func TestWordsAreBounded(t *testing.T) {
	run := func() (held []uint64) {
		g := New(dispatch.Settings{})
		list := dispatch.WorkerList{Kind: dispatch.ListFull, Revision: 1}
		for id := uint64(1); id <= 3000; id++ {
			list.Workers = append(list.Workers, dispatch.Worker{ID: id, Ready: true})
		}
		g.Observe(time.Hour, list)
		for id := uint64(1); id <= 20000; id++ {
			if !g.ObserveStatus(time.Hour, message.WorkerStatus{WorkerID: id, Revision: 2, State: message.WorkerDraining}) {
				t.Fatalf("word of %d is no news", id)
			}
		}
		if n := len(g.statuses.latest); n > 3000+maxUnlisted {
			t.Fatalf("%d words held", n)
		}
		for id := uint64(1); id <= 3000; id++ {
			if !g.Blocked(id) {
				t.Fatalf("the word of %d, which is listed, is forgotten", id)
			}
		}
		g.Observe(time.Hour, dispatch.WorkerList{Kind: dispatch.ListFull}) // strangers all
		for id := uint64(30001); id <= 30003; id++ {
			g.ObserveStatus(time.Hour, message.WorkerStatus{WorkerID: id, State: message.WorkerGone})
		}
		for id := range g.statuses.latest {
			held = append(held, id)
		}
		slices.Sort(held)
		return held
	}
	if a, b := run(), run(); !slices.Equal(a, b) || len(a) != maxUnlisted {
		t.Errorf("%d and %d words held", len(a), len(b))
	}
}

// A word that can't be right is none.
func TestWordsOfTheFuture(t *testing.T) {
	g := New(dispatch.Settings{})
	now := 1000 * time.Hour
	g.Observe(now, dispatch.WorkerList{Kind: dispatch.ListFull, Revision: 9, Workers: []dispatch.Worker{{ID: 1, Ready: true}}})
	for _, at := range []int64{(now + 2*time.Minute).Milliseconds(), -1, 1 << 62} {
		if g.ObserveStatus(now, message.WorkerStatus{WorkerID: 1, StartedMs: at, Revision: 10, State: message.WorkerDraining}) || g.Blocked(1) {
			t.Errorf("a start at %d is believed", at)
		}
	}
}

func BenchmarkOrder(b *testing.B) {
	set := dispatch.Settings{AttemptLimit: 4, Hedging: true, Classes: []dispatch.Class{{Idempotency: dispatch.Idempotent}}}
	g := New(set)
	list := dispatch.WorkerList{Kind: dispatch.ListFull}
	for id := range uint64(1000) {
		list.Workers = append(list.Workers, dispatch.Worker{ID: id, Ready: true})
	}
	g.Observe(1, list)
	g.OpenSession(1)
	for id := range uint64(500) { // that stay open
		g.Observe(1, dispatch.Job{ID: 1<<40 + id, Remaining: time.Hour})
	}
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		g.Observe(1, dispatch.Job{ID: id, Remaining: time.Second})
		g.Assign(id, 1)
		m := &message.SendCommand{RequestID: id, WorkerID: id % 1000}
		if why := g.Validate(1, 1, m); why != message.ReasonNone {
			b.Fatal(why)
		}
		g.Apply(1, dispatch.Send{Job: id, Worker: id % 1000})
		g.Observe(1, dispatch.Outcome{Job: id, Worker: id % 1000, Closed: true})
	}
}
