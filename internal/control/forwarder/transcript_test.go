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
func TestTranscripts(t *testing.T) {
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
			s := newTranscript(t)
			got := s.run(script)
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

// transcript is where a play goes on.
type transcript struct {
	t              *testing.T
	harness        *harness
	settings       dispatch.Settings
	config         Config
	selector       *fixedOrder
	output         strings.Builder
	clients        map[string]*client
	attempts       map[string]*requests.Attempt // the last of a query at a node, "q1 w2"
	planners       map[string]*transcriptPlanner
	epochs         []message.Epoch // of sessions, in order
	workerNames    map[uint64]string
	knownPlanners  []string
	plannerVersion int    // of planners
	unusableAt     string // a worker node that can use no query, and says so at once
	poisonRequest  string // a query whose arrival makes the own module panic
}

// transcriptPlanner is a planner of a play.
type transcriptPlanner struct {
	epoch      message.Epoch
	frozen     bool
	heartbeats []uint64 // heartbeats that it has not answered
}

func newTranscript(t *testing.T) *transcript {
	return &transcript{t: t, selector: &fixedOrder{}, clients: map[string]*client{}, attempts: map[string]*requests.Attempt{},
		planners: map[string]*transcriptPlanner{}, plannerVersion: 1 << 8, workerNames: map[uint64]string{}}
}

func (s *transcript) duration(x string) time.Duration {
	d, err := time.ParseDuration(x)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

func (s *transcript) number(x string) int {
	n, err := strconv.Atoi(strings.TrimLeft(x, "qc#s@"))
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *transcript) record(format string, args ...any) {
	fmt.Fprintf(&s.output, "    %v "+format+"\n", append([]any{s.harness.now - startTime}, args...)...)
}

func (s *transcript) run(script string) string {
	joined := false
	for line := range strings.Lines(script) {
		f := strings.Fields(line)
		switch {
		case len(f) == 0:
		case f[0] == "#":
			s.output.WriteString(line)
		case f[0] == "set":
			s.applySetting(f[1], f[2:])
		default:
			if s.harness == nil {
				s.start()
			}
			switch at := startTime + s.duration(f[0]); {
			case joined:
			case f[1] == "late": // nothing was done until then
				s.harness.now = at
			default:
				s.harness.runUntil(at)
			}
			s.output.WriteString(line)
			last := len(f) - 1
			if joined = f[last] == "&"; joined { // in one step with the next line
				s.perform(f[1], f[2:last])
			} else {
				s.perform(f[1], f[2:])
				s.harness.settle()
			}
		}
	}
	x := s.harness.forwarder.Stats()
	fmt.Fprintf(&s.output, "open %d, of these waiting %d, mine %d", x.Open, x.Waiting, x.Local)
	for why, n := range x.ByReason {
		if n > 0 {
			fmt.Fprintf(&s.output, "; refused as %s %d", message.RejectReason(why), n)
		}
	}
	s.output.WriteString("\n")
	return s.output.String()
}

func (s *transcript) applySetting(what string, f []string) {
	switch what {
	case "tries":
		s.settings.AttemptLimit = s.number(f[0])
	case "copies":
		s.settings.Hedging = true
	case "cancelling":
		s.settings.Cancellation = true
	case "probes":
		s.settings.HealthChecks = true
	case "subscribe":
		s.settings.MustSubscribe, s.settings.PollInterval = true, time.Second
	case "retry":
		s.settings.MaxRetryAfter = s.duration(f[0])
	case "order":
		s.selector.planners = f
	case "planners":
		s.knownPlanners = f
	case "waiting":
		s.config.MaxWaiting = s.number(f[0])
	case "version":
		s.plannerVersion = 2<<8 | 1
	case "spoilt":
		s.unusableAt = f[0]
	case "poison":
		s.poisonRequest = f[0]
	case "class":
		c := dispatch.Class{Idempotency: map[string]dispatch.Idempotency{"unsafe": dispatch.NonIdempotent, "keyed": dispatch.IdempotentWithKey,
			"safe": dispatch.Idempotent}[f[0]]}
		for _, x := range f[1:] {
			switch name, value, _ := strings.Cut(x, "="); name {
			case "aim":
				c.LatencyObjective = s.duration(value)
			case "window":
				c.DeduplicationWindow = s.duration(value)
			default:
				c.DeduplicationScope = map[string]dispatch.DeduplicationScope{"cell": dispatch.ScopeCell, "zone": dispatch.ScopeZone,
					"all": dispatch.ScopeAll}[x]
			}
		}
		s.settings.Classes = append(s.settings.Classes, c)
	default:
		s.t.Fatalf("set %s", what)
	}
}

func (s *transcript) start() {
	own := func() Policy {
		return &simplePolicy{jobs: map[uint64]*simpleJob{}, onEvent: s.localPolicyNotified, panicsOn: func(e dispatch.Event) bool {
			j, ok := e.(dispatch.JobResumed)
			return ok && "q"+strconv.FormatUint(j.Job.ID, 10) == s.poisonRequest
		}}
	}
	r := newHarness(s.settings, s.config, s.selector, own)
	s.harness = r
	r.forwarder.config.Version = 1 << 8
	name := func(a *requests.Attempt) string { return a.Request.CallID + " " + s.workerName(a.Worker) }
	r.onStart = func(a *requests.Attempt) {
		s.attempts[name(a)] = a
		s.record("sent %s for %v", name(a), a.At-r.now)
		if s.workerName(a.Worker) == s.unusableAt {
			r.table.EndAttempt(a, nil, &requests.AttemptError{Reason: requests.ReasonInvalidRequest})
		}
		a.Stage = requests.StageWritten // plays have no links: what is sent is there at once
	}
	r.onAbandon = func(a *requests.Attempt) { s.record("given up %s", name(a)) }
	r.onCheckHealth = func(w uint64) { s.record("probe %s", s.workerName(w)) }
	r.onCloseIdle = func(w uint64) { s.record("free links to %s", s.workerName(w)) }
	r.onWatch = func(after int64) { s.record("watch from generation %d", after) }
	r.onResponse = func(a *client, what string, after time.Duration) {
		if after > 0 {
			what += fmt.Sprintf(", to come back after %v", after)
		}
		s.record("%s is %s", a.name, what)
	}
	r.onAction = func(a dispatch.Action) {
		if l, ok := a.(dispatch.Log); ok {
			text := l.Text
			if i := strings.Index(text, "panic"); i >= 0 { // the stack is not for golden files
				text = text[:i+5]
			}
			s.record("log: %s", s.nameSessions(text))
		}
	}
	r.onMessage = s.messageSent
	s.harness.start(requests.EndpointList{})
	r.forwarder.SetPlanners(s.knownPlanners)
	r.settle()
}

// nameSessions puts names in place of epochs.
func (s *transcript) nameSessions(text string) string {
	for i, e := range s.epochs {
		text = strings.ReplaceAll(text, fmt.Sprintf("session=%d ", e), fmt.Sprintf("session=s%d ", i+1))
	}
	return text
}

func (s *transcript) workerName(w uint64) string {
	if name := s.workerNames[w]; name != "" {
		return name
	}
	return "w?"
}

func (s *transcript) epochName(e message.Epoch) string {
	for i, x := range s.epochs {
		if x == e {
			return "s" + strconv.Itoa(i+1)
		}
	}
	return "s?"
}

func (s *transcript) messageSent(e Outgoing) {
	a := s.planners[e.Planner]
	switch m := e.Message.(type) {
	case *message.Handshake:
		s.epochs = append(s.epochs, e.Epoch)
		a.epoch, a.heartbeats = e.Epoch, nil
	case *message.Heartbeat:
		if a.heartbeats = append(a.heartbeats, m.Sequence); !a.frozen {
			s.harness.after(time.Millisecond, func() { s.replyToHeartbeats(e.Planner) })
		}
		return
	}
	s.record("to %s: %s", e.Planner, messageText(e.Envelope, s.epochName, s.workerName))
}

// replyToHeartbeats has a planner answer all that it was asked, which was in its newest session.
func (s *transcript) replyToHeartbeats(name string) {
	a := s.planners[name]
	if a.frozen {
		return
	}
	for _, sequence := range a.heartbeats {
		s.harness.forwarder.Receive(s.harness.now, name, message.Envelope{Epoch: a.epoch, Message: &message.HeartbeatReply{Sequence: sequence}})
	}
	a.heartbeats = nil
}

func (s *transcript) localPolicyNotified(e dispatch.Event) {
	switch e := e.(type) {
	case dispatch.Job:
		s.record("own module: job q%d", e.ID)
	case dispatch.JobResumed:
		s.record("own module: resumed q%d left=%v waited=%v, %d attempts", e.Job.ID, e.Job.Remaining, e.Age,
			len(e.Attempts))
	case dispatch.Outcome:
		s.record("own module: ended q%d #%d %s, closed %v", e.Job, e.Attempt, resultNames[e.Result], e.Closed)
	case dispatch.ClientDisconnected:
		s.record("own module: gone q%d", e.Job)
	case dispatch.ReplicasChanged:
		s.record("own module: shared, %d of %d", e.ReplicaIndex, e.Replicas)
	case dispatch.ModelUpdate:
		s.record("own module: taught %q, %v old, part %v", e.Snapshot, e.Age, e.LoadShare)
	case dispatch.WorkerList:
		if e.Kind == dispatch.ListUnavailable {
			s.record("own module: list lost")
			return
		}
		names := []string{}
		for _, w := range e.Workers {
			name := s.workerName(w.ID)
			if !w.Ready {
				name += " shut"
			}
			names = append(names, name)
		}
		s.record("own module: list %s", strings.Join(names, ", "))
	}
}

func (s *transcript) perform(what string, f []string) {
	r := s.harness
	switch what {
	case "wait", "late":
	case "list":
		r.table.UpdateEndpoints(s.endpointList(f))
	case "lost":
		r.table.DiscoveryFailed()
	case "planners":
		r.forwarder.SetPlanners(f)
	case "members":
		r.forwarder.SetForwarderIndex(s.number(f[0]), s.number(f[1]))
	case "up":
		s.planners[f[0]] = &transcriptPlanner{}
		r.forwarder.SessionChanged(f[0], true)
	case "down":
		r.forwarder.SessionChanged(f[0], false)
	case "ask":
		s.clients[f[0]] = r.admit(f[0], dispatch.Job{Class: s.number(f[1]), Remaining: s.duration(f[2]), Slots: 1})
	case "gone":
		r.table.ClientDisconnected(s.clients[f[0]].request)
	case "node": // node w1 started q1
		n := requests.Callback{CallID: f[2], EndpointID: f[0], State: f[1], Result: new(string)}
		if f[1] == "running" {
			n.Progress = 0.5
		}
		if _, err := r.table.HandleCallback(n); err != nil {
			s.t.Fatal(err)
		}
	case "cut": // cut q1 w1 connecting, or written, or unusable
		a := s.attempts[f[0]+" "+f[1]]
		fault := &requests.AttemptError{Reason: requests.ReasonConnectionLost}
		switch f[2] {
		case "written":
			fault.Stage = requests.StageWritten
		case "unusable":
			fault.Reason = requests.ReasonInvalidRequest
		}
		r.table.EndAttempt(a, nil, fault)
	case "freeze":
		s.planners[f[0]].frozen = true
	case "wake":
		s.planners[f[0]].frozen = false
		s.replyToHeartbeats(f[0])
	default:
		s.plannerSends(what, f)
	}
}

// endpointList is "full 41 w1 draining w2 start=5s ...".
func (s *transcript) endpointList(f []string) requests.EndpointList {
	g := requests.EndpointList{Reset: f[0] == "full", Revision: int64(s.number(f[1]))}
	for _, x := range f[2:] {
		last := len(g.Endpoints) - 1
		switch name, value, _ := strings.Cut(x, "="); name {
		case "draining", "removed":
			g.Endpoints[last].Lifecycle = x
		case "start":
			g.Endpoints[last].StartedAtMs = s.duration(value).Milliseconds()
		case "cell":
			g.Endpoints[last].Cell = s.number(value)
		default:
			s.workerNames[workerID(x)] = x
			g.Endpoints = append(g.Endpoints, requests.Endpoint{ID: x, Addr: "a", Lifecycle: "up", MachineType: "k0", Zone: "z0"})
		}
	}
	return g
}

// plannerSends has a planner say something, in its present session or, with @s1, in another.
func (s *transcript) plannerSends(name string, f []string) {
	epoch := s.planners[name].epoch
	var args []string
	for _, x := range f[1:] {
		if x[0] == '@' {
			epoch = s.epochs[s.number(x)-1]
		} else {
			args = append(args, x)
		}
	}
	m := s.parseMessage(f[0], args)
	if m == nil {
		s.t.Fatalf("%s %v", name, f)
	}
	s.harness.forwarder.Receive(s.harness.now, name, message.Envelope{Epoch: epoch, Message: m})
}

// parseMessage is what a planner says, by the name of its kind: "send q1 #0 w2 80ms", say.
func (s *transcript) parseMessage(kind string, args []string) message.Message {
	var id, worker uint64
	var attempt int
	var rest []string
	for _, x := range args {
		switch x[0] {
		case '#':
			attempt = s.number(x)
		case 'q':
			id = uint64(s.number(x))
		case 'w':
			worker = workerID(x)
		default:
			rest = append(rest, x)
		}
	}
	span := func() time.Duration {
		if len(rest) == 0 {
			return 0
		}
		return s.duration(rest[0])
	}
	credit := func() int {
		if len(rest) == 0 {
			return 0
		}
		return s.number(rest[0])
	}
	switch kind {
	case "handshake-accept":
		return &message.HandshakeAccept{Version: s.plannerVersion, Credit: credit()}
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
		return &message.ModelSnapshot{Age: s.duration(args[0]), Data: []byte(args[1])}
	case "goodbye":
		return &message.Goodbye{}
	case "worker-status": // worker-status WORKER START REVISION STATE
		states := map[string]message.WorkerState{"up": message.WorkerUp, "draining": message.WorkerDraining, "gone": message.WorkerGone}
		return &message.WorkerStatus{
			WorkerID: worker, StartedMs: s.duration(args[1]).Milliseconds(), Revision: int64(s.number(args[2])), State: states[args[3]],
		}
	case "handshake":
		return &message.Handshake{Version: s.plannerVersion}
	case "load-report":
		return &message.LoadReport{}
	}
	return nil
}
