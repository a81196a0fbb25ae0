package follow

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/internal/ledger"
	"valvecove/internal/tier"
	"valvecove/logic"
)

var update = flag.Bool("update", false, "write what is seen to the golden files")

// Each file of testdata is a play, a line each for what happens to the forwarder, and below a line of dashes the same
// with all that it does. Planners answer whether they are there, 1 ms after they are asked, unless they are frozen;
// that is left out. A line that ends
// in & is in one step with the next one.
func TestPlays(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d plays, %v", len(files), err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			b, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			script, want, _ := strings.Cut(string(b), "----\n")
			s := newStage(t)
			got := s.play(script)
			if *update {
				if err := os.WriteFile(name, []byte(script+"----\n"+got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != want {
				t.Errorf("seen\n%s\nwant\n%s", got, want)
			}
		})
	}
}

// stage is where a play goes on.
type stage struct {
	t       *testing.T
	r       *rig
	set     logic.Settings
	conf    Config
	chooser *inOrder
	out     strings.Builder
	queries map[string]*asker
	tries   map[string]*ledger.Attempt // the last of a query at a node, "q1 w2"
	actors  map[string]*actor
	epochs  []tier.Epoch // of sessions, in order
	workers map[uint64]string
	known   []string
	version int    // of planners
	spoilt  string // a worker node that can use no query, and says so at once
	poison  string // a query whose arrival makes the own module panic
}

// actor is a planner of a play.
type actor struct {
	epoch  tier.Epoch
	frozen bool
	asked  []tier.Message // that it has not answered
}

func newStage(t *testing.T) *stage {
	return &stage{t: t, chooser: &inOrder{}, queries: map[string]*asker{}, tries: map[string]*ledger.Attempt{},
		actors: map[string]*actor{}, version: 1 << 8, workers: map[uint64]string{}}
}

func (s *stage) span(x string) time.Duration {
	d, err := time.ParseDuration(x)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

func (s *stage) count(x string) int {
	n, err := strconv.Atoi(strings.TrimLeft(x, "qc#s@"))
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *stage) note(format string, args ...any) {
	fmt.Fprintf(&s.out, "    %v "+format+"\n", append([]any{s.r.now - rigStart}, args...)...)
}

func (s *stage) play(script string) string {
	joined := false
	for line := range strings.Lines(script) {
		f := strings.Fields(line)
		switch {
		case len(f) == 0:
		case f[0] == "#":
			s.out.WriteString(line)
		case f[0] == "set":
			s.setting(f[1], f[2:])
		default:
			if s.r == nil {
				s.begin()
			}
			switch at := rigStart + s.span(f[0]); {
			case joined:
			case f[1] == "late": // nothing was done until then
				s.r.now = at
			default:
				s.r.until(at)
			}
			s.out.WriteString(line)
			last := len(f) - 1
			if joined = f[last] == "&"; joined { // in one step with the next line
				s.line(f[1], f[2:last])
			} else {
				s.line(f[1], f[2:])
				s.r.settle()
			}
		}
	}
	x := s.r.f.Figures()
	fmt.Fprintf(&s.out, "open %d, of these waiting %d, mine %d", x.Open, x.Waiting, x.Mine)
	for why, n := range x.ByWhy {
		if n > 0 {
			fmt.Fprintf(&s.out, "; refused as %s %d", tier.Why(why), n)
		}
	}
	s.out.WriteString("\n")
	return s.out.String()
}

func (s *stage) setting(what string, f []string) {
	switch what {
	case "tries":
		s.set.TryLimit = s.count(f[0])
	case "copies":
		s.set.SecondCopies = true
	case "cancelling":
		s.set.Cancelling = true
	case "probes":
		s.set.Probes = true
	case "subscribe":
		s.set.MustSubscribe, s.set.AskEvery = true, time.Second
	case "retry":
		s.set.MaxRetryAfter = s.span(f[0])
	case "order":
		s.chooser.best = f
	case "planners":
		s.known = f
	case "waiting":
		s.conf.MostWaiting = s.count(f[0])
	case "version":
		s.version = 2<<8 | 1
	case "spoilt":
		s.spoilt = f[0]
	case "poison":
		s.poison = f[0]
	case "class":
		c := logic.Class{Effect: map[string]logic.Effect{"unsafe": logic.Unsafe, "keyed": logic.Keyed,
			"safe": logic.Safe}[f[0]]}
		for _, x := range f[1:] {
			switch name, value, _ := strings.Cut(x, "="); name {
			case "aim":
				c.Aim = s.span(value)
			case "window":
				c.Window = s.span(value)
			default:
				c.Group = map[string]logic.Group{"cell": logic.GroupCell, "zone": logic.GroupZone,
					"all": logic.GroupAll}[x]
			}
		}
		s.set.Classes = append(s.set.Classes, c)
	default:
		s.t.Fatalf("set %s", what)
	}
}

func (s *stage) begin() {
	own := func() Module {
		return &plain{jobs: map[uint64]*plainJob{}, tell: s.ownHears, panic: func(e logic.Event) bool {
			j, ok := e.(logic.Resumed)
			return ok && "q"+strconv.FormatUint(j.Job.ID, 10) == s.poison
		}}
	}
	r := newRig(s.set, s.conf, s.chooser, own)
	s.r = r
	r.f.conf.Version = 1 << 8
	name := func(a *ledger.Attempt) string { return a.Query.Call + " " + s.worker(a.Worker) }
	r.carry = func(a *ledger.Attempt) {
		s.tries[name(a)] = a
		s.note("sent %s for %v", name(a), a.At-r.now)
		if s.worker(a.Worker) == s.spoilt {
			r.l.End(a, nil, &ledger.Fault{Reason: ledger.Unusable})
		}
		a.Stage = ledger.AllWritten // plays have no links: what is sent is there at once
	}
	r.giveUp = func(a *ledger.Attempt) { s.note("given up %s", name(a)) }
	r.probe = func(w uint64) { s.note("probe %s", s.worker(w)) }
	r.free = func(w uint64) { s.note("free links to %s", s.worker(w)) }
	r.watched = func(after int64) { s.note("watch from generation %d", after) }
	r.answer = func(a *asker, what string, after time.Duration) {
		if after > 0 {
			what += fmt.Sprintf(", to come back after %v", after)
		}
		s.note("%s is %s", a.name, what)
	}
	r.did = func(a logic.Action) {
		if l, ok := a.(logic.Log); ok {
			text := l.Text
			if i := strings.Index(text, "panic"); i >= 0 { // the stack is not for golden files
				text = text[:i+5]
			}
			s.note("log: %s", s.sessions(text))
		}
	}
	r.tell = s.told
	s.r.begin(ledger.HostGroup{})
	r.f.Planners(r.now, s.known)
	r.settle()
}

// sessions puts names in place of epochs.
func (s *stage) sessions(text string) string {
	for i, e := range s.epochs {
		text = strings.ReplaceAll(text, fmt.Sprintf("session %d,", e), fmt.Sprintf("session s%d,", i+1))
	}
	return text
}

func (s *stage) worker(w uint64) string {
	if name := s.workers[w]; name != "" {
		return name
	}
	return "w?"
}

func (s *stage) epoch(e tier.Epoch) string {
	for i, x := range s.epochs {
		if x == e {
			return "s" + strconv.Itoa(i+1)
		}
	}
	return "s?"
}

func (s *stage) told(e Envelope) {
	a := s.actors[e.To]
	switch e.M.Kind {
	case tier.Hello:
		s.epochs = append(s.epochs, e.M.Epoch)
		a.epoch, a.asked = e.M.Epoch, nil
	case tier.Asked:
		if a.asked = append(a.asked, e.M); !a.frozen {
			s.r.after(time.Millisecond, func() { s.here(e.To) })
		}
		return
	}
	s.note("to %s: %s", e.To, text(&e.M, s.epoch, s.worker))
}

// here has a planner answer all that it was asked.
func (s *stage) here(name string) {
	a := s.actors[name]
	if a.frozen {
		return
	}
	for _, m := range a.asked {
		s.r.f.Hear(s.r.now, name, &tier.Message{Kind: tier.Here, Epoch: m.Epoch, Number: m.Number})
	}
	a.asked = nil
}

func (s *stage) ownHears(e logic.Event) {
	switch e := e.(type) {
	case logic.Job:
		s.note("own module: job q%d", e.ID)
	case logic.Resumed:
		s.note("own module: resumed q%d left=%v waited=%v, %d attempts", e.Job.ID, e.Job.Left, e.Waited,
			len(e.Attempts))
	case logic.Outcome:
		s.note("own module: ended q%d #%d %s, closed %v", e.Job, e.Attempt, resultNames[e.Result], e.Closed)
	case logic.ClientGone:
		s.note("own module: gone q%d", e.Job)
	case logic.Shared:
		s.note("own module: shared, %d of %d", e.Me, e.Of)
	case logic.Taught:
		s.note("own module: taught %q, %v old, part %v", e.Lesson, e.Age, e.Part)
	case logic.WorkerList:
		if e.Kind == logic.ListLost {
			s.note("own module: list lost")
			return
		}
		names := []string{}
		for _, w := range e.Workers {
			name := s.worker(w.ID)
			if !w.Ready {
				name += " shut"
			}
			names = append(names, name)
		}
		s.note("own module: list %s", strings.Join(names, ", "))
	}
}

func (s *stage) line(what string, f []string) {
	r, now := s.r, s.r.now
	switch what {
	case "wait", "late":
	case "list":
		r.l.Hosts(s.group(f))
	case "lost":
		r.l.HostsLost()
	case "planners":
		r.f.Planners(now, f)
	case "members":
		r.f.Members(s.count(f[0]), s.count(f[1]))
	case "up":
		s.actors[f[0]] = &actor{}
		r.f.Session(now, f[0], true)
	case "down":
		r.f.Session(now, f[0], false)
	case "ask":
		s.queries[f[0]] = r.take(f[0], logic.Job{Class: s.count(f[1]), Left: s.span(f[2]), Slots: 1})
	case "gone":
		r.l.Gone(s.queries[f[0]].q)
	case "node": // node w1 started q1
		n := ledger.Note{ID: f[2], From: f[0], State: f[1], Result: new(string)}
		if f[1] == "running" {
			n.Share = 0.5
		}
		if _, err := r.l.Tell(n); err != nil {
			s.t.Fatal(err)
		}
	case "cut": // cut q1 w1 connecting, or written, or unusable
		a := s.tries[f[0]+" "+f[1]]
		fault := &ledger.Fault{Reason: ledger.Cut}
		switch f[2] {
		case "written":
			fault.Stage = ledger.AllWritten
		case "unusable":
			fault.Reason = ledger.Unusable
		}
		r.l.End(a, nil, fault)
	case "freeze":
		s.actors[f[0]].frozen = true
	case "wake":
		s.actors[f[0]].frozen = false
		s.here(f[0])
	default:
		s.speak(what, f)
	}
}

// group is "full 41 w1 draining w2 start=5s ...".
func (s *stage) group(f []string) ledger.HostGroup {
	g := ledger.HostGroup{Reset: f[0] == "full", Generation: int64(s.count(f[1]))}
	for _, x := range f[2:] {
		last := len(g.Hosts) - 1
		switch name, value, _ := strings.Cut(x, "="); name {
		case "draining", "removed":
			g.Hosts[last].State = x
		case "start":
			g.Hosts[last].StartedMs = s.span(value).Milliseconds()
		case "cell":
			g.Hosts[last].Cell = s.count(value)
		default:
			s.workers[number(x)] = x
			g.Hosts = append(g.Hosts, ledger.Host{ID: x, Addr: "a", State: "up", Kind: "k0", Zone: "z0"})
		}
	}
	return g
}

// speak has a planner say something, in its present session or, with @s1, in another.
func (s *stage) speak(name string, f []string) {
	m := tier.Message{Epoch: s.actors[name].epoch, Version: s.version}
	for _, k := range allKinds {
		if k.String() == f[0] {
			m.Kind = k
		}
	}
	if m.Kind == 0 {
		s.t.Fatalf("%s %v", name, f)
	}
	for i, x := range f[1:] {
		switch {
		case x[0] == '@':
			m.Epoch = s.epochs[s.count(x)-1]
		case x[0] == '#':
			m.Attempt = s.count(x)
		case x[0] == 'q':
			m.Query = uint64(s.count(x))
		case x[0] == 'w':
			m.Worker = number(x)
		case m.Kind == tier.Move:
			m.Name = x
		case m.Kind == tier.Welcome || m.Kind == tier.Credit:
			m.Credit = s.count(x)
		case m.Kind == tier.Send:
			m.Patience = s.span(x)
		case m.Kind == tier.Refuse:
			m.After = s.span(x)
		case m.Kind == tier.Snapshot:
			m.Age, m.Bytes = s.span(x), []byte(f[i+2])
			s.r.f.Hear(s.r.now, name, &m)
			return
		case m.Kind == tier.Word:
			m.Word = &tier.WordOf{Worker: m.Worker, StartedMs: s.span(x).Milliseconds(),
				Generation: int64(s.count(f[i+2])),
				State:      map[string]tier.State{"up": tier.Up, "draining": tier.Draining, "gone": tier.Gone}[f[i+3]]}
			m.Worker = 0
			s.r.f.Hear(s.r.now, name, &m)
			return
		}
	}
	s.r.f.Hear(s.r.now, name, &m)
}

var allKinds = []tier.Kind{tier.Welcome, tier.Credit, tier.Send, tier.Refuse, tier.Fail, tier.Cancel, tier.Probe,
	tier.Free,
	tier.Move, tier.Here, tier.Snapshot, tier.Bye, tier.Word, tier.Hello, tier.Load}
