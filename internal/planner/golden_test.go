package planner

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

var update = flag.Bool("update", false, "write what golden plays give into their files")

// script is a module that does as it is told, and notes what it hears.
type script struct {
	next   []logic.Action
	heard  *[]string
	panics *int // so many steps, of whichever module
}

func (s *script) Step(_ time.Duration, events []logic.Event, dst []logic.Action) []logic.Action {
	if *s.panics > 0 {
		*s.panics--
		panic("script")
	}
	for _, e := range events {
		line := fmt.Sprintf("module: %T %+v", e, e)
		switch e := e.(type) {
		case logic.WorkerList:
			line = fmt.Sprintf("module: list %s", [...]string{"delta", "full", "cached", "lost"}[e.Kind])
			for _, w := range e.Workers {
				state := map[bool]string{true: "ready", false: "not ready"}[w.Ready]
				if w.Gone {
					state = "gone"
				} else if w.Rank > 0 {
					state += ", no cold work"
				}
				line += fmt.Sprintf(" [w%d %s]", w.ID, state)
			}
		case logic.Job:
			if line = fmt.Sprintf("module: job %d, left %v", e.ID, e.Left); e.Tenant == poison {
				panic("poison")
			}
		case logic.Resumed:
			if e.Job.Tenant == poison {
				panic("poison")
			}
			line = fmt.Sprintf("module: resumed job %d, left %v, waited %v", e.Job.ID, e.Job.Left, e.Waited)
			for _, p := range e.Attempts {
				fate := "out"
				if p.Ended {
					fate = resultNames[p.Result]
				}
				line += fmt.Sprintf(" [w%d ago %v, began %v, %s]", p.Worker, p.Ago, p.Began, fate)
			}
		case logic.Outcome:
			line = fmt.Sprintf("module: job %d, attempt %d at w%d: %s", e.Job, e.Attempt, e.Worker, resultNames[e.Result])
			if e.Closed {
				line += ", closed"
			}
		case logic.ClientGone:
			line = fmt.Sprintf("module: job %d is over", e.Job)
		case logic.Started:
			line = fmt.Sprintf("module: job %d, attempt %d at w%d started", e.Job, e.Attempt, e.Worker)
		}
		*s.heard = append(*s.heard, line)
	}
	dst = append(dst, s.next...)
	s.next = nil
	return dst
}

// Overlong gives each attempt half a second.
func (s *script) Overlong(uint64, int) (time.Duration, bool) { return 500 * ms, true }

// Lesson is never the same, and short.
func (s *script) Lesson(int, []byte) []byte { return []byte("lesson") }

// Golden plays: "> " lines are what happens, in one step up to the next empty line; "< " lines are what that gave.
func TestGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/golden/*.txt")
	if err != nil || len(files) < 10 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := newStage(t).perform(string(want))
			if *update {
				err = os.WriteFile(file, []byte(got), 0o644)
			} else if got != string(want) {
				t.Errorf("got\n%s", got)
			}
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}

// stage is where golden plays are performed.
type stage struct {
	t     *testing.T
	b     *Book
	m     *script
	heard []string
	now   time.Duration
	timer time.Duration
	ins   []In
	epoch map[Session]tier.Epoch

	panics int
}

func newStage(t *testing.T) *stage {
	s := &stage{t: t, now: time.Hour, epoch: map[Session]tier.Epoch{}}
	conf := Config{Heads: 40, Least: 4, Most: 30, LoadEvery: time.Hour, LessonEvery: time.Hour}
	conf.Start = func() Module {
		s.m = &script{heard: &s.heard, panics: &s.panics}
		return s.m
	}
	s.b = newBook(conf)
	s.ins = []In{{Kind: Part, Owner: ownerByCell(me, "plan-b", "plan-c")}}
	s.step()
	s.heard = nil
	return s
}

func (s *stage) perform(text string) string {
	var out strings.Builder
	todo := false
	flush := func() {
		if todo {
			s.step()
			for _, line := range s.heard {
				fmt.Fprintf(&out, "< %s\n", line)
			}
			s.heard, todo = nil, false
		}
	}
	for _, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if strings.HasPrefix(line, "<") {
			continue
		}
		if line == "" {
			flush()
		}
		out.WriteString(line + "\n")
		if line, ok := strings.CutPrefix(line, "> "); ok {
			s.do(strings.Fields(line))
			todo = true
		}
	}
	flush()
	if err := checkBook(s.b); err != nil {
		s.t.Error(err)
	}
	return out.String()
}

func (s *stage) step() {
	if s.timer > 0 && s.timer <= s.now {
		s.timer = 0
	}
	outs := s.b.Step(s.now, s.ins, nil)
	s.ins = nil
	for i := range outs {
		switch o := &outs[i]; o.Kind {
		case Say:
			s.heard = append(s.heard, fmt.Sprintf("to %d: %s", o.Session, text(&o.Msg)))
		case SayPeer:
			s.heard = append(s.heard, fmt.Sprintf("to %s: %s", o.Peer, text(&o.Msg)))
		case Close:
			s.heard = append(s.heard, fmt.Sprintf("close %d", o.Session))
		case SetTimer:
			if at := s.now + o.After; s.timer == 0 || at < s.timer {
				s.timer = at
			}
		case Watch:
			s.heard = append(s.heard, fmt.Sprintf("watch after generation %d", o.Generation))
		case Log:
			line, _, _ := strings.Cut(o.Text, ", at planner.")
			s.heard = append(s.heard, "log: "+line)
		case Done:
			s.heard = append(s.heard, "done")
		}
	}
}

// text is a message without what is zero.
func text(m *tier.Message) string {
	line := m.Kind.String()
	add := func(name string, x any) {
		if t := fmt.Sprint(x); t != "0" && t != "0s" && t != "" {
			line += fmt.Sprintf(" %s=%s", name, t)
		}
	}
	if m.Kind == tier.Welcome {
		add("epoch", m.Epoch)
	}
	add("q", m.Query)
	if m.Kind == tier.Send || m.Kind == tier.Cancel {
		line += fmt.Sprintf(" n=%d", m.Attempt)
	}
	add("w", m.Worker)
	add("number", m.Number)
	if m.Kind == tier.Welcome || m.Kind == tier.Credit {
		line += fmt.Sprintf(" credit=%d", m.Credit)
	}
	add("version", m.Version)
	add("patience", m.Patience)
	add("after", m.After)
	add("late", m.Late)
	add("name", m.Name)
	add("bytes", string(m.Bytes))
	if w := m.Word; w != nil {
		line += fmt.Sprintf(" w=%d start=%d generation=%d %s", w.Worker, w.StartedMs, w.Generation, stateNames[w.State])
	}
	if l := m.Load; l != nil {
		line += fmt.Sprintf(" heads=%d held=%d forwarders=%d slots=%v room=%v", l.Heads, l.Held, l.Forwarders, l.Slots, l.Room)
	}
	return line
}

var stateNames = [...]string{"up", "draining", "gone"}

var resultNames = [...]string{"ok", "failed", "full", "timedout", "noconnect", "reset", "cancelled", "notsent"}

func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

// do is one line of a play.
func (s *stage) do(words []string) {
	args := map[string]string{}
	for _, w := range words {
		if name, x, ok := strings.Cut(w, "="); ok {
			args[name] = x
		}
	}
	num := func(name string) int {
		n, err := strconv.Atoi(args[name])
		if err != nil && args[name] != "" {
			s.t.Fatalf("%v: %v", words, err)
		}
		return n
	}
	span := func(name string) time.Duration {
		d, err := time.ParseDuration(args[name])
		if err != nil && args[name] != "" {
			s.t.Fatalf("%v: %v", words, err)
		}
		return d
	}
	word := func() *tier.WordOf {
		return &tier.WordOf{Worker: uint64(num("w")), StartedMs: int64(num("start")), Generation: int64(num("generation")),
			State: tier.State(max(0, index(stateNames[:], args["state"])))}
	}
	if who, isPeer := strings.CutSuffix(words[0], ":"); isPeer && strings.HasPrefix(who, "plan") {
		m := &tier.Message{Kind: kindOf(words[1]), Epoch: tier.Epoch(num("epoch")), Name: who, Version: 0x100, Word: word(),
			Load: &tier.LoadOf{Heads: num("heads"), Held: num("held"), Room: float64(num("room"))}}
		s.ins = append(s.ins, In{Kind: FromPeer, Peer: who, Msg: m})
		return
	} else if isPeer {
		n, _ := strconv.Atoi(who)
		for q := num("from"); words[1] == "heads" && q <= num("to"); q++ {
			s.do([]string{words[0], "head", fmt.Sprint("q=", q)})
		}
		if words[1] == "heads" {
			return
		}
		s.ins = append(s.ins, In{Kind: FromForwarder, Session: Session(n), Msg: s.message(Session(n), words, args, num, span, word())})
		return
	}
	switch words[0] {
	case "wait": // with whatever timers are due
		end := s.now + mustSpan(s.t, words[1])
		for n := 0; ; n++ {
			if n > 10_000 {
				s.t.Fatalf("%v: it steps on and on", words)
			}
			if s.timer == 0 || s.timer > end {
				s.now = end
				return
			}
			s.now = s.timer
			s.step()
		}
	case "freeze":
		s.now += mustSpan(s.t, words[1])
	case "up", "down":
		n, _ := strconv.Atoi(words[1])
		s.ins = append(s.ins, In{Kind: map[string]InKind{"up": SessionUp, "down": SessionDown}[words[0]], Session: Session(n)})
	case "link", "unlink":
		s.ins = append(s.ins, In{Kind: map[string]InKind{"link": PeerUp, "unlink": PeerDown}[words[0]], Peer: words[1]})
	case "alive":
		s.ins = append(s.ins, In{Kind: Peers, Names: words[1:]})
	case "part":
		s.ins = append(s.ins, In{Kind: Part, Owner: ownerByCell(words[1:]...)})
	case "hosts": // hosts delta generation=3 2:up 3:draining 4:up:500 (its cell is 4%3, its start 500 ms ago)
		l := logic.WorkerList{Kind: logic.ListKind(index([]string{"delta", "full", "cached", "lost"}, words[1])), Generation: int64(num("generation"))}
		for _, x := range words[3:] {
			part := strings.Split(x, ":")
			id, _ := strconv.Atoi(part[0])
			w := logic.Worker{ID: uint64(id), Cell: id % 3, Kind: id / 10, Ready: part[1] == "up", Gone: part[1] == "gone"}
			if len(part) > 2 {
				ago, _ := strconv.Atoi(part[2])
				w.BootAt = (s.now - time.Duration(ago)*ms).Truncate(ms)
			}
			l.Workers = append(l.Workers, w)
		}
		s.ins = append(s.ins, In{Kind: Hosts, List: l})
	case "send":
		s.m.next = append(s.m.next, logic.Send{Job: uint64(num("job")), Worker: uint64(num("w"))})
	case "refuse":
		s.m.next = append(s.m.next, logic.Refuse{Job: uint64(num("job")), After: span("after")})
	case "fail":
		s.m.next = append(s.m.next, logic.Fail{Job: uint64(num("job"))})
	case "cancel":
		s.m.next = append(s.m.next, logic.Cancel{Job: uint64(num("job")), Attempt: num("n")})
	case "probe":
		s.m.next = append(s.m.next, logic.Probe{Worker: uint64(num("w"))})
	case "free":
		s.m.next = append(s.m.next, logic.FreeLinks{Worker: uint64(num("w"))})
	case "timer":
		s.m.next = append(s.m.next, logic.SetTimer{After: span("after")})
	case "panics":
		s.panics = num("n")
	case "subscribe":
		s.m.next = append(s.m.next, logic.Subscribe{})
	case "stop":
		s.ins = append(s.ins, In{Kind: Stop})
	default:
		s.t.Fatalf("%q is nothing that happens", words[0])
	}
}

func mustSpan(t *testing.T, x string) time.Duration {
	d, err := time.ParseDuration(x)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func kindOf(name string) tier.Kind {
	for k := range tier.Kind(128) {
		if k.String() == name {
			return k
		}
	}
	return 0
}

// message is what a forwarder says: "1: head q=7 class=1 w1:ago=20ms,reset". Its epoch is that of its last hello, if none
// is given.
func (s *stage) message(id Session, words []string, args map[string]string, num func(string) int,
	span func(string) time.Duration, word *tier.WordOf) *tier.Message {
	m := &tier.Message{Kind: kindOf(words[1]), Epoch: tier.Epoch(num("epoch")), Query: uint64(num("q")), Worker: uint64(num("w")),
		Number: uint64(num("number")), Attempt: num("n"), Process: uint64(num("process")), Name: args["name"], Version: 0x101}
	if m.Kind == tier.Hello {
		if s.epoch[id] = m.Epoch; args["version"] != "" {
			m.Version = num("version")
		}
	} else if m.Epoch == 0 {
		m.Epoch = s.epoch[id]
	}
	m.Result = logic.Result(max(0, index(resultNames[:], args["result"])))
	for why := range tier.Reasons {
		if args["why"] != "" && strings.ReplaceAll(why.String(), " ", "-") == args["why"] {
			m.Why = why
		}
	}
	if m.Kind == tier.Word || args["state"] != "" {
		m.Word = word
	}
	if m.Kind != tier.Head {
		return m
	}
	m.Head = &tier.HeadOf{Class: num("class"), Tenant: num("tenant"), Left: 3*time.Second - span("waited"), Waited: span("waited"),
		Hint: 100 * ms, Slots: 1, Moves: num("moves")}
	for _, x := range words[2:] {
		name, fate, ok := strings.Cut(x, ":")
		if !ok {
			continue
		}
		worker, _ := strconv.Atoi(strings.TrimPrefix(name, "w"))
		p := tier.Past{Worker: uint64(worker), MayRun: true}
		for _, f := range strings.Split(fate, ",") {
			switch what, d, _ := strings.Cut(f, "="); what {
			case "ago":
				p.Ago = mustSpan(s.t, d)
			case "began":
				p.Began = mustSpan(s.t, d)
			case "mayrun", "norun": // by the forwarder's book, whatever the result
				p.MayRun = f == "mayrun"
			default:
				p.Ended, p.Result = true, logic.Result(index(resultNames[:], f))
				p.MayRun = !provesNothingRan(p.Result)
			}
		}
		m.Head.Attempts = append(m.Head.Attempts, p)
	}
	return m
}
