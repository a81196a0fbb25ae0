package guard

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

	"valvecove/internal/tier"
	"valvecove/logic"
)

var update = flag.Bool("update", false, "write what is found to the golden files")

// Each file of testdata is a play: what the forwarder's ledger told, sessions, words and orders, and below a line of
// dashes what became of each order.
func TestPlays(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d plays, %v", len(files), err)
	}
	seen := map[tier.Why]bool{}
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
	for why := range tier.Reasons {
		if !seen[why] {
			t.Errorf("no play has an order of which the guard says %q", why)
		}
	}
}

// stage is where a play goes on.
type stage struct {
	t    *testing.T
	set  logic.Settings
	g    *Guard
	now  time.Duration
	seen map[tier.Why]bool
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
				if why == tier.NotRefused {
					text = "follows"
				}
				fmt.Fprintf(out, "%s: %s\n", strings.TrimSpace(line), text)
			}
		}
	}
	for why := range tier.Reasons {
		if n := p.g.Refused(why); n > 0 {
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
		s.TryLimit = int(p.number("=" + f[1]))
	case "copies":
		s.SecondCopies = true
	case "cancelling":
		s.Cancelling = true
	case "probes":
		s.Probes = true
	case "class":
		c := logic.Class{Effect: map[string]logic.Effect{"unsafe": logic.Unsafe, "keyed": logic.Keyed,
			"safe": logic.Safe}[f[1]]}
		for _, x := range f[2:] {
			switch {
			case strings.HasPrefix(x, "kind="):
				c.Kinds = append(c.Kinds, int(p.number(x)))
			case strings.HasPrefix(x, "window="):
				c.Window = p.span(x[7:])
			default:
				c.Group = map[string]logic.Group{"cell": logic.GroupCell, "zone": logic.GroupZone,
					"all": logic.GroupAll}[x]
			}
		}
		s.Classes = append(s.Classes, c)
	}
}

var listKinds = map[string]logic.ListKind{"delta": logic.ListDelta, "full": logic.ListFull, "cached": logic.ListCached,
	"lost": logic.ListLost}

var results = map[string]logic.Result{"ok": logic.OK, "failed": logic.Failed, "full": logic.Full,
	"timeout":   logic.TimedOut,
	"noconnect": logic.NoConnect, "reset": logic.Reset, "cancelled": logic.Cancelled, "notsent": logic.NotSent}

func (p *stage) line(what string, f []string) (why tier.Why, asked bool) {
	switch what {
	case "list": // list KIND GENERATION then wN with cell=, zone=, kind=, start=, draining, gone
		l := logic.WorkerList{Kind: listKinds[f[0]], Generation: int64(p.number("=" + f[1]))}
		for _, x := range f[2:] {
			if x[0] == 'w' {
				l.Workers = append(l.Workers, logic.Worker{ID: p.number(x), Ready: true})
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
				w.Gone = true
			}
		}
		p.g.Heard(p.now, l)
	case "job":
		p.g.Heard(p.now, logic.Job{ID: p.number(f[0]), Class: int(p.number(f[1])), Left: p.span(f[2])})
	case "gone":
		p.g.Heard(p.now, logic.ClientGone{Job: p.number(f[0])})
	case "started":
		p.g.Heard(p.now, logic.Started{Job: p.number(f[0]), Attempt: int(p.number(f[1])), Worker: p.number(f[2])})
	case "stream":
		p.g.Heard(p.now, logic.StreamBegun{Job: p.number(f[0]), Attempt: int(p.number(f[1])), Worker: p.number(f[2])})
	case "ended":
		r := results[f[3]]
		p.g.Heard(p.now, logic.Outcome{Job: p.number(f[0]), Attempt: int(p.number(f[1])), Worker: p.number(f[2]),
			Result: r,
			Closed: r == logic.OK || len(f) > 4})
	case "open":
		p.g.Open(tier.Epoch(p.number(f[0])))
	case "close":
		p.g.Close(tier.Epoch(p.number(f[0])))
	case "give":
		p.g.Give(p.number(f[0]), tier.Epoch(p.number(f[1])))
	case "word":
		w := tier.WordOf{Worker: p.number(f[0]), StartedMs: p.span(f[1]).Milliseconds(),
			Generation: int64(p.number("=" + f[2]))}
		w.State = map[string]tier.State{"up": tier.Up, "draining": tier.Draining, "gone": tier.Gone}[f[3]]
		p.g.Word(p.now, w)
	default:
		return p.order(what, f), true
	}
	return 0, false
}

// order is "send eEPOCH qQUERY #NUMBER wWORKER" and the like.
func (p *stage) order(what string, f []string) tier.Why {
	m := tier.Message{Kind: map[string]tier.Kind{"send": tier.Send, "refuse": tier.Refuse, "fail": tier.Fail,
		"cancel": tier.Cancel,
		"move":   tier.Move, "probe": tier.Probe, "free": tier.Free, "hello": tier.Hello}[what]}
	for _, x := range f[1:] {
		switch x[0] {
		case 'q':
			m.Query = p.number(x)
		case '#':
			m.Attempt = int(p.number(x))
		case 'w':
			m.Worker = p.number(x)
		}
	}
	why := p.g.Check(p.now, tier.Epoch(p.number(f[0])), &m)
	if why != tier.NotRefused {
		return why
	}
	switch m.Kind {
	case tier.Send:
		p.g.Did(p.now, logic.Send{Job: m.Query, Worker: m.Worker})
	case tier.Refuse:
		p.g.Did(p.now, logic.Refuse{Job: m.Query})
	case tier.Fail:
		p.g.Did(p.now, logic.Fail{Job: m.Query})
	}
	return why
}

// What others say of strangers is forgotten in the end, what they say of listed nodes is not, and neither depends on
// the order in which a map is walked.
func TestWordsAreBounded(t *testing.T) {
	run := func() (held []uint64) {
		g := New(logic.Settings{})
		list := logic.WorkerList{Kind: logic.ListFull, Generation: 1}
		for id := uint64(1); id <= 3000; id++ {
			list.Workers = append(list.Workers, logic.Worker{ID: id, Ready: true})
		}
		g.Heard(time.Hour, list)
		for id := uint64(1); id <= 20000; id++ {
			if !g.Word(time.Hour, tier.WordOf{Worker: id, Generation: 2, State: tier.Draining}) {
				t.Fatalf("word of %d is no news", id)
			}
		}
		if n := len(g.words.of); n > 3000+mostStrangers {
			t.Fatalf("%d words held", n)
		}
		for id := uint64(1); id <= 3000; id++ {
			if !g.Shut(id) {
				t.Fatalf("the word of %d, which is listed, is forgotten", id)
			}
		}
		g.Heard(time.Hour, logic.WorkerList{Kind: logic.ListFull}) // strangers all
		for id := uint64(30001); id <= 30003; id++ {
			g.Word(time.Hour, tier.WordOf{Worker: id, State: tier.Gone})
		}
		for id := range g.words.of {
			held = append(held, id)
		}
		slices.Sort(held)
		return held
	}
	if a, b := run(), run(); !slices.Equal(a, b) || len(a) != mostStrangers {
		t.Errorf("%d and %d words held", len(a), len(b))
	}
}

// A word that can't be right is none.
func TestWordsOfTheFuture(t *testing.T) {
	g := New(logic.Settings{})
	now := 1000 * time.Hour
	g.Heard(now, logic.WorkerList{Kind: logic.ListFull, Generation: 9, Workers: []logic.Worker{{ID: 1, Ready: true}}})
	for _, at := range []int64{(now + 2*time.Minute).Milliseconds(), -1, 1 << 62} {
		if g.Word(now, tier.WordOf{Worker: 1, StartedMs: at, Generation: 10, State: tier.Draining}) || g.Shut(1) {
			t.Errorf("a start at %d is believed", at)
		}
	}
}

func BenchmarkOrder(b *testing.B) {
	set := logic.Settings{TryLimit: 4, SecondCopies: true, Classes: []logic.Class{{Effect: logic.Safe}}}
	g := New(set)
	list := logic.WorkerList{Kind: logic.ListFull}
	for id := range uint64(1000) {
		list.Workers = append(list.Workers, logic.Worker{ID: id, Ready: true})
	}
	g.Heard(1, list)
	g.Open(1)
	for id := range uint64(500) { // that stay open
		g.Heard(1, logic.Job{ID: 1<<40 + id, Left: time.Hour})
	}
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		g.Heard(1, logic.Job{ID: id, Left: time.Second})
		g.Give(id, 1)
		m := tier.Message{Kind: tier.Send, Query: id, Worker: id % 1000}
		if why := g.Check(1, 1, &m); why != tier.NotRefused {
			b.Fatal(why)
		}
		g.Did(1, logic.Send{Job: id, Worker: id % 1000})
		g.Heard(1, logic.Outcome{Job: id, Worker: id % 1000, Closed: true})
	}
}
