package forwarder

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/requests"
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
	set     dispatch.Settings
	conf    Config
	chooser *inOrder
	out     strings.Builder
	queries map[string]*asker
	tries   map[string]*requests.Attempt // the last of a query at a node, "q1 w2"
	actors  map[string]*actor
	epochs  []message.Epoch // of sessions, in order
	workers map[uint64]string
	known   []string
	version int    // of planners
	spoilt  string // a worker node that can use no query, and says so at once
	poison  string // a query whose arrival makes the own module panic
}

// actor is a planner of a play.
type actor struct {
	epoch  message.Epoch
	frozen bool
	asked  []uint64 // heartbeats that it has not answered
}

func newStage(t *testing.T) *stage {
	return &stage{t: t, chooser: &inOrder{}, queries: map[string]*asker{}, tries: map[string]*requests.Attempt{},
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
	x := s.r.f.Stats()
	fmt.Fprintf(&s.out, "open %d, of these waiting %d, mine %d", x.Open, x.Waiting, x.Local)
	for why, n := range x.ByReason {
		if n > 0 {
			fmt.Fprintf(&s.out, "; refused as %s %d", message.RejectReason(why), n)
		}
	}
	s.out.WriteString("\n")
	return s.out.String()
}

func (s *stage) setting(what string, f []string) {
	switch what {
	case "tries":
		s.set.AttemptLimit = s.count(f[0])
	case "copies":
		s.set.Hedging = true
	case "cancelling":
		s.set.Cancellation = true
	case "probes":
		s.set.HealthChecks = true
	case "subscribe":
		s.set.MustSubscribe, s.set.PollInterval = true, time.Second
	case "retry":
		s.set.MaxRetryAfter = s.span(f[0])
	case "order":
		s.chooser.best = f
	case "planners":
		s.known = f
	case "waiting":
		s.conf.MaxWaiting = s.count(f[0])
	case "version":
		s.version = 2<<8 | 1
	case "spoilt":
		s.spoilt = f[0]
	case "poison":
		s.poison = f[0]
	case "class":
		c := dispatch.Class{Idempotency: map[string]dispatch.Idempotency{"unsafe": dispatch.NonIdempotent, "keyed": dispatch.IdempotentWithKey,
			"safe": dispatch.Idempotent}[f[0]]}
		for _, x := range f[1:] {
			switch name, value, _ := strings.Cut(x, "="); name {
			case "aim":
				c.LatencyObjective = s.span(value)
			case "window":
				c.DeduplicationWindow = s.span(value)
			default:
				c.DeduplicationScope = map[string]dispatch.DeduplicationScope{"cell": dispatch.ScopeCell, "zone": dispatch.ScopeZone,
					"all": dispatch.ScopeAll}[x]
			}
		}
		s.set.Classes = append(s.set.Classes, c)
	default:
		s.t.Fatalf("set %s", what)
	}
}

func (s *stage) begin() {
	own := func() Policy {
		return &plain{jobs: map[uint64]*plainJob{}, tell: s.ownHears, panic: func(e dispatch.Event) bool {
			j, ok := e.(dispatch.JobResumed)
			return ok && "q"+strconv.FormatUint(j.Job.ID, 10) == s.poison
		}}
	}
	r := newRig(s.set, s.conf, s.chooser, own)
	s.r = r
	r.f.config.Version = 1 << 8
	name := func(a *requests.Attempt) string { return a.Request.CallID + " " + s.worker(a.Worker) }
	r.carry = func(a *requests.Attempt) {
		s.tries[name(a)] = a
		s.note("sent %s for %v", name(a), a.At-r.now)
		if s.worker(a.Worker) == s.spoilt {
			r.l.EndAttempt(a, nil, &requests.AttemptError{Reason: requests.ReasonInvalidRequest})
		}
		a.Stage = requests.StageWritten // plays have no links: what is sent is there at once
	}
	r.giveUp = func(a *requests.Attempt) { s.note("given up %s", name(a)) }
	r.probe = func(w uint64) { s.note("probe %s", s.worker(w)) }
	r.free = func(w uint64) { s.note("free links to %s", s.worker(w)) }
	r.watched = func(after int64) { s.note("watch from generation %d", after) }
	r.answer = func(a *asker, what string, after time.Duration) {
		if after > 0 {
			what += fmt.Sprintf(", to come back after %v", after)
		}
		s.note("%s is %s", a.name, what)
	}
	r.did = func(a dispatch.Action) {
		if l, ok := a.(dispatch.Log); ok {
			text := l.Text
			if i := strings.Index(text, "panic"); i >= 0 { // the stack is not for golden files
				text = text[:i+5]
			}
			s.note("log: %s", s.sessions(text))
		}
	}
	r.tell = s.told
	s.r.begin(requests.EndpointList{})
	r.f.SetPlanners(s.known)
	r.settle()
}

// sessions puts names in place of epochs.
func (s *stage) sessions(text string) string {
	for i, e := range s.epochs {
		text = strings.ReplaceAll(text, fmt.Sprintf("session=%d ", e), fmt.Sprintf("session=s%d ", i+1))
	}
	return text
}

func (s *stage) worker(w uint64) string {
	if name := s.workers[w]; name != "" {
		return name
	}
	return "w?"
}

func (s *stage) epoch(e message.Epoch) string {
	for i, x := range s.epochs {
		if x == e {
			return "s" + strconv.Itoa(i+1)
		}
	}
	return "s?"
}

func (s *stage) told(e Outgoing) {
	a := s.actors[e.Planner]
	switch m := e.Message.(type) {
	case *message.Handshake:
		s.epochs = append(s.epochs, e.Epoch)
		a.epoch, a.asked = e.Epoch, nil
	case *message.Heartbeat:
		if a.asked = append(a.asked, m.Sequence); !a.frozen {
			s.r.after(time.Millisecond, func() { s.here(e.Planner) })
		}
		return
	}
	s.note("to %s: %s", e.Planner, text(e.Envelope, s.epoch, s.worker))
}

// here has a planner answer all that it was asked, which was in its newest session.
func (s *stage) here(name string) {
	a := s.actors[name]
	if a.frozen {
		return
	}
	for _, sequence := range a.asked {
		s.r.f.Receive(s.r.now, name, message.Envelope{Epoch: a.epoch, Message: &message.HeartbeatReply{Sequence: sequence}})
	}
	a.asked = nil
}

func (s *stage) ownHears(e dispatch.Event) {
	switch e := e.(type) {
	case dispatch.Job:
		s.note("own module: job q%d", e.ID)
	case dispatch.JobResumed:
		s.note("own module: resumed q%d left=%v waited=%v, %d attempts", e.Job.ID, e.Job.Remaining, e.Age,
			len(e.Attempts))
	case dispatch.Outcome:
		s.note("own module: ended q%d #%d %s, closed %v", e.Job, e.Attempt, resultNames[e.Result], e.Closed)
	case dispatch.ClientDisconnected:
		s.note("own module: gone q%d", e.Job)
	case dispatch.ReplicasChanged:
		s.note("own module: shared, %d of %d", e.ReplicaIndex, e.Replicas)
	case dispatch.ModelUpdate:
		s.note("own module: taught %q, %v old, part %v", e.Snapshot, e.Age, e.LoadShare)
	case dispatch.WorkerList:
		if e.Kind == dispatch.ListUnavailable {
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
	r := s.r
	switch what {
	case "wait", "late":
	case "list":
		r.l.UpdateEndpoints(s.group(f))
	case "lost":
		r.l.DiscoveryFailed()
	case "planners":
		r.f.SetPlanners(f)
	case "members":
		r.f.SetForwarderIndex(s.count(f[0]), s.count(f[1]))
	case "up":
		s.actors[f[0]] = &actor{}
		r.f.SessionChanged(f[0], true)
	case "down":
		r.f.SessionChanged(f[0], false)
	case "ask":
		s.queries[f[0]] = r.take(f[0], dispatch.Job{Class: s.count(f[1]), Remaining: s.span(f[2]), Slots: 1})
	case "gone":
		r.l.ClientDisconnected(s.queries[f[0]].q)
	case "node": // node w1 started q1
		n := requests.Callback{CallID: f[2], EndpointID: f[0], State: f[1], Result: new(string)}
		if f[1] == "running" {
			n.Progress = 0.5
		}
		if _, err := r.l.HandleCallback(n); err != nil {
			s.t.Fatal(err)
		}
	case "cut": // cut q1 w1 connecting, or written, or unusable
		a := s.tries[f[0]+" "+f[1]]
		fault := &requests.AttemptError{Reason: requests.ReasonConnectionLost}
		switch f[2] {
		case "written":
			fault.Stage = requests.StageWritten
		case "unusable":
			fault.Reason = requests.ReasonInvalidRequest
		}
		r.l.EndAttempt(a, nil, fault)
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
func (s *stage) group(f []string) requests.EndpointList {
	g := requests.EndpointList{Reset: f[0] == "full", Revision: int64(s.count(f[1]))}
	for _, x := range f[2:] {
		last := len(g.Endpoints) - 1
		switch name, value, _ := strings.Cut(x, "="); name {
		case "draining", "removed":
			g.Endpoints[last].Lifecycle = x
		case "start":
			g.Endpoints[last].StartedAtMs = s.span(value).Milliseconds()
		case "cell":
			g.Endpoints[last].Cell = s.count(value)
		default:
			s.workers[number(x)] = x
			g.Endpoints = append(g.Endpoints, requests.Endpoint{ID: x, Addr: "a", Lifecycle: "up", MachineType: "k0", Zone: "z0"})
		}
	}
	return g
}

// speak has a planner say something, in its present session or, with @s1, in another.
func (s *stage) speak(name string, f []string) {
	epoch := s.actors[name].epoch
	var args []string
	for _, x := range f[1:] {
		if x[0] == '@' {
			epoch = s.epochs[s.count(x)-1]
		} else {
			args = append(args, x)
		}
	}
	m := s.message(f[0], args)
	if m == nil {
		s.t.Fatalf("%s %v", name, f)
	}
	s.r.f.Receive(s.r.now, name, message.Envelope{Epoch: epoch, Message: m})
}

// message is what a planner says, by the name of its kind: "send q1 #0 w2 80ms", say.
func (s *stage) message(kind string, args []string) message.Message {
	var id, worker uint64
	var attempt int
	var rest []string
	for _, x := range args {
		switch x[0] {
		case '#':
			attempt = s.count(x)
		case 'q':
			id = uint64(s.count(x))
		case 'w':
			worker = number(x)
		default:
			rest = append(rest, x)
		}
	}
	span := func() time.Duration {
		if len(rest) == 0 {
			return 0
		}
		return s.span(rest[0])
	}
	credit := func() int {
		if len(rest) == 0 {
			return 0
		}
		return s.count(rest[0])
	}
	switch kind {
	case "handshake-accept":
		return &message.HandshakeAccept{Version: s.version, Credit: credit()}
	case "credit-update":
		return &message.CreditUpdate{Credit: credit()}
	case "send":
		return &message.SendCommand{RequestID: id, Attempt: attempt, WorkerID: worker, Timeout: span()}
	case "reject":
		return &message.RejectCommand{RequestID: id, RetryAfter: span()}
	case "fail":
		return &message.FailCommand{RequestID: id}
	case "cancel":
		return &message.CancelCommand{RequestID: id, Attempt: attempt}
	case "health-check":
		return &message.HealthCheckCommand{WorkerID: worker}
	case "close-idle":
		return &message.CloseIdleCommand{WorkerID: worker}
	case "transfer":
		return &message.TransferCommand{RequestID: id, Planner: strings.Join(rest, "")}
	case "heartbeat-reply":
		return &message.HeartbeatReply{}
	case "model-snapshot": // model-snapshot AGE DATA
		return &message.ModelSnapshot{Age: s.span(args[0]), Data: []byte(args[1])}
	case "goodbye":
		return &message.Goodbye{}
	case "worker-status": // worker-status WORKER START REVISION STATE
		states := map[string]message.WorkerState{"up": message.WorkerUp, "draining": message.WorkerDraining, "gone": message.WorkerGone}
		return &message.WorkerStatus{
			WorkerID: worker, StartedMs: s.span(args[1]).Milliseconds(), Revision: int64(s.count(args[2])), State: states[args[3]],
		}
	case "handshake":
		return &message.Handshake{Version: s.version}
	case "load-report":
		return &message.LoadReport{}
	}
	return nil
}
