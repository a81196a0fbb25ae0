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

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

var update = flag.Bool("update", false, "write what golden plays give into their files")

// script is a module that does as it is told, and notes what it hears.
type script struct {
	next   []dispatch.Action
	heard  *[]string
	panics *int // so many steps, of whichever module
}

func (s *script) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	if *s.panics > 0 {
		*s.panics--
		panic("script")
	}
	for _, e := range events {
		line := fmt.Sprintf("module: %T %+v", e, e)
		switch e := e.(type) {
		case dispatch.WorkerList:
			line = fmt.Sprintf("module: list %s", [...]string{"delta", "full", "cached", "lost"}[e.Kind])
			for _, w := range e.Workers {
				state := map[bool]string{true: "ready", false: "not ready"}[w.Ready]
				if w.Removed {
					state = "gone"
				} else if w.AssigneeRank > 0 {
					state += ", no cold work"
				}
				line += fmt.Sprintf(" [w%d %s]", w.ID, state)
			}
		case dispatch.Job:
			if line = fmt.Sprintf("module: job %d, left %v", e.ID, e.Remaining); e.Tenant == poison {
				panic("poison")
			}
		case dispatch.JobResumed:
			if e.Job.Tenant == poison {
				panic("poison")
			}
			line = fmt.Sprintf("module: resumed job %d, left %v, waited %v", e.Job.ID, e.Job.Remaining, e.Age)
			for _, p := range e.Attempts {
				fate := "out"
				if p.Ended {
					fate = resultNames[p.Result]
				}
				line += fmt.Sprintf(" [w%d ago %v, began %v, %s]", p.Worker, p.SentAgo, p.StartedAgo, fate)
			}
		case dispatch.Outcome:
			line = fmt.Sprintf("module: job %d, attempt %d at w%d: %s", e.Job, e.Attempt, e.Worker, resultNames[e.Result])
			if e.Closed {
				line += ", closed"
			}
		case dispatch.ClientDisconnected:
			line = fmt.Sprintf("module: job %d is over", e.Job)
		case dispatch.Started:
			line = fmt.Sprintf("module: job %d, attempt %d at w%d started", e.Job, e.Attempt, e.Worker)
		}
		*s.heard = append(*s.heard, line)
	}
	dst = append(dst, s.next...)
	s.next = nil
	return dst
}

// TimeUntilOverdue gives each attempt half a second.
func (s *script) TimeUntilOverdue(uint64, int) (time.Duration, bool) { return 500 * ms, true }

// ModelSnapshot is never the same, and short.
func (s *script) ModelSnapshot(int, []byte) []byte { return []byte("lesson") }

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
	b     *Planner
	m     *script
	heard []string
	now   time.Duration
	timer time.Duration
	ins   []Event
	epoch map[SessionID]message.Epoch

	panics int
}

func newStage(t *testing.T) *stage {
	s := &stage{t: t, now: time.Hour, epoch: map[SessionID]message.Epoch{}}
	conf := Config{MaxOpenRequests: 40, MinCredit: 4, MaxCredit: 30, LoadReportInterval: time.Hour, SnapshotInterval: time.Hour}
	conf.NewPolicy = func() Policy {
		s.m = &script{heard: &s.heard, panics: &s.panics}
		return s.m
	}
	s.b = newBook(conf)
	s.ins = []Event{PartitionChanged{Owner: ownerByCell(me, "plan-b", "plan-c")}}
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
		switch o := outs[i].(type) {
		case SendToForwarder:
			s.heard = append(s.heard, fmt.Sprintf("to %d: %s", o.Session, text(o.Envelope)))
		case SendToPeer:
			s.heard = append(s.heard, fmt.Sprintf("to %s: %s", o.Peer, text(o.Envelope)))
		case CloseSession:
			s.heard = append(s.heard, fmt.Sprintf("close %d", o.Session))
		case SetTimer:
			if at := s.now + o.After; s.timer == 0 || at < s.timer {
				s.timer = at
			}
		case WatchEndpoints:
			s.heard = append(s.heard, fmt.Sprintf("watch after generation %d", o.Revision))
		case Log:
			s.heard = append(s.heard, "log: "+logText(o))
		case Stopped:
			s.heard = append(s.heard, "done")
		}
	}
}

// logText is a line of the log without what differs from build to build.
func logText(line Log) string {
	text := line.Message
	for i := 0; i+1 < len(line.Attributes); i += 2 {
		if key := line.Attributes[i]; key != "location" {
			text += fmt.Sprintf(" %v=%v", key, line.Attributes[i+1])
		}
	}
	return text
}

// text is a message without what is zero.
func text(e message.Envelope) string {
	line := e.Message.Kind().String()
	add := func(name string, x any) {
		if t := fmt.Sprint(x); t != "0" && t != "0s" && t != "" {
			line += fmt.Sprintf(" %s=%s", name, t)
		}
	}
	switch m := e.Message.(type) {
	case *message.HandshakeAccept:
		add("epoch", e.Epoch)
		line += fmt.Sprintf(" credit=%d", m.Credit)
		add("version", m.Version)
		add("name", m.Name)
	case *message.CreditUpdate:
		line += fmt.Sprintf(" credit=%d", m.Credit)
	case *message.SendCommand:
		add("q", m.RequestID)
		line += fmt.Sprintf(" n=%d", m.Attempt)
		add("w", m.WorkerID)
		add("patience", m.Timeout)
	case *message.CancelCommand:
		add("q", m.RequestID)
		line += fmt.Sprintf(" n=%d", m.Attempt)
	case *message.RejectCommand:
		add("q", m.RequestID)
		add("after", m.RetryAfter)
	case *message.FailCommand:
		add("q", m.RequestID)
	case *message.TransferCommand:
		add("q", m.RequestID)
		add("name", m.Planner)
	case *message.HealthCheckCommand:
		add("w", m.WorkerID)
	case *message.CloseIdleCommand:
		add("w", m.WorkerID)
	case *message.HeartbeatReply:
		add("number", m.Sequence)
		add("late", m.TimerLag)
	case *message.ModelSnapshot:
		add("bytes", string(m.Data))
	case *message.PeerHandshake:
		add("version", m.Version)
		add("name", m.Name)
	case *message.WorkerStatus:
		line += fmt.Sprintf(" w=%d start=%d generation=%d %v", m.WorkerID, m.StartedMs, m.Revision, m.State)
	case *message.LoadReport:
		line += fmt.Sprintf(" heads=%d held=%d forwarders=%d slots=%v room=%v", m.OpenRequests, m.QueuedRequests, m.Forwarders,
			m.UsedSlots, m.FreeSlots)
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
	if who, isMessage := strings.CutSuffix(words[0], ":"); isMessage {
		s.says(who, words[1], words[2:], scriptArgs{args, num, span})
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
		s.ins = append(s.ins, map[string]Event{"up": SessionOpened{SessionID(n)}, "down": SessionClosed{SessionID(n)}}[words[0]])
	case "link", "unlink":
		s.ins = append(s.ins, map[string]Event{"link": PeerConnected{words[1]}, "unlink": PeerDisconnected{words[1]}}[words[0]])
	case "alive":
		s.ins = append(s.ins, PeersChanged{Names: words[1:]})
	case "part":
		s.ins = append(s.ins, PartitionChanged{Owner: ownerByCell(words[1:]...)})
	case "hosts": // hosts delta generation=3 2:up 3:draining 4:up:500 (its cell is 4%3, its start 500 ms ago)
		l := dispatch.WorkerList{Kind: dispatch.ListKind(index([]string{"delta", "full", "cached", "lost"}, words[1])), Revision: int64(num("generation"))}
		for _, x := range words[3:] {
			part := strings.Split(x, ":")
			id, _ := strconv.Atoi(part[0])
			w := dispatch.Worker{ID: uint64(id), Cell: id % 3, Kind: id / 10, Ready: part[1] == "up", Removed: part[1] == "gone"}
			if len(part) > 2 {
				ago, _ := strconv.Atoi(part[2])
				w.BootAt = (s.now - time.Duration(ago)*ms).Truncate(ms)
			}
			l.Workers = append(l.Workers, w)
		}
		s.ins = append(s.ins, EndpointsChanged{Endpoints: l})
	case "send":
		s.m.next = append(s.m.next, dispatch.Send{Job: uint64(num("job")), Worker: uint64(num("w"))})
	case "refuse":
		s.m.next = append(s.m.next, dispatch.Reject{Job: uint64(num("job")), RetryAfter: span("after")})
	case "fail":
		s.m.next = append(s.m.next, dispatch.Fail{Job: uint64(num("job"))})
	case "cancel":
		s.m.next = append(s.m.next, dispatch.Cancel{Job: uint64(num("job")), Attempt: num("n")})
	case "probe":
		s.m.next = append(s.m.next, dispatch.HealthCheck{Worker: uint64(num("w"))})
	case "free":
		s.m.next = append(s.m.next, dispatch.CloseIdleConnections{Worker: uint64(num("w"))})
	case "timer":
		s.m.next = append(s.m.next, dispatch.SetTimer{After: span("after")})
	case "panics":
		s.panics = num("n")
	case "subscribe":
		s.m.next = append(s.m.next, dispatch.Subscribe{})
	case "stop":
		s.ins = append(s.ins, StopRequested{})
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

// scriptArgs are the arguments of a line by their names, as text, numbers and spans.
type scriptArgs struct {
	text map[string]string
	num  func(name string) int
	span func(name string) time.Duration
}

// says is what a forwarder, by the number of its session, or a peer says.
func (s *stage) says(who, kind string, words []string, args scriptArgs) {
	epoch := message.Epoch(args.num("epoch"))
	if strings.HasPrefix(who, "plan") {
		e := message.Envelope{Epoch: epoch, Message: s.peerMessage(who, kind, args)}
		s.ins = append(s.ins, PeerMessage{Peer: who, Envelope: e})
		return
	}
	n, err := strconv.Atoi(who)
	if err != nil {
		s.t.Fatal(err)
	}
	if kind == "heads" {
		for q := args.num("from"); q <= args.num("to"); q++ {
			s.do([]string{who + ":", "request-offer", fmt.Sprint("q=", q)})
		}
		return
	}
	id := SessionID(n)
	if kind == "handshake" {
		s.epoch[id] = epoch
	} else if epoch == 0 {
		epoch = s.epoch[id]
	}
	e := message.Envelope{Epoch: epoch, Message: s.forwarderMessage(kind, words, args)}
	s.ins = append(s.ins, ForwarderMessage{Session: id, Envelope: e})
}

func (a scriptArgs) status() *message.WorkerStatus {
	return &message.WorkerStatus{
		WorkerID: uint64(a.num("w")), StartedMs: int64(a.num("start")), Revision: int64(a.num("generation")),
		State: message.WorkerState(max(0, index(stateNames[:], a.text["state"]))),
	}
}

func (a scriptArgs) result() dispatch.Result {
	return dispatch.Result(max(0, index(resultNames[:], a.text["result"])))
}

func (a scriptArgs) reason() message.RejectReason {
	for reason := range message.ReasonCount {
		if a.text["why"] != "" && strings.ReplaceAll(reason.String(), " ", "-") == a.text["why"] {
			return reason
		}
	}
	return message.ReasonNone
}

func (s *stage) peerMessage(who, kind string, args scriptArgs) message.Message {
	switch kind {
	case "peer-handshake":
		return &message.PeerHandshake{Name: who, Version: 0x100}
	case "worker-status":
		return args.status()
	case "load-report":
		return &message.LoadReport{
			OpenRequests: args.num("heads"), QueuedRequests: args.num("held"), FreeSlots: float64(args.num("room")),
		}
	}
	s.t.Fatalf("a peer says no %q", kind)
	return nil
}

// forwarderMessage is what a forwarder says: "1: request-offer q=7 class=1 w1:ago=20ms,reset". Its epoch is that of its
// last handshake, if none is given.
func (s *stage) forwarderMessage(kind string, words []string, args scriptArgs) message.Message {
	id, attempt := uint64(args.num("q")), args.num("n")
	switch kind {
	case "handshake":
		version := 0x101
		if args.text["version"] != "" {
			version = args.num("version")
		}
		return &message.Handshake{Name: args.text["name"], Incarnation: uint64(args.num("process")), Version: version}
	case "request-offer":
		return &message.RequestOffer{RequestID: id, Summary: s.summary(words, args)}
	case "attempt-ended":
		return &message.AttemptEnded{RequestID: id, Attempt: attempt, Result: args.result(), Reason: args.reason()}
	case "attempt-started":
		return &message.AttemptStarted{RequestID: id, Attempt: attempt}
	case "attempt-progress":
		return &message.AttemptProgress{RequestID: id, Attempt: attempt}
	case "request-closed":
		return &message.RequestClosed{RequestID: id}
	case "health-check-result":
		return &message.HealthCheckResult{WorkerID: uint64(args.num("w")), Result: args.result()}
	case "heartbeat":
		return &message.Heartbeat{Sequence: uint64(args.num("number"))}
	case "worker-status":
		return args.status()
	}
	s.t.Fatalf("a forwarder says no %q", kind)
	return nil
}

func (s *stage) summary(words []string, args scriptArgs) message.RequestSummary {
	summary := message.RequestSummary{
		Class: args.num("class"), Tenant: args.num("tenant"), Remaining: 3*time.Second - args.span("waited"),
		Waited: args.span("waited"), Hint: 100 * ms, Slots: 1, Transfers: args.num("moves"),
	}
	for _, x := range words {
		name, fate, ok := strings.Cut(x, ":")
		if !ok {
			continue
		}
		worker, _ := strconv.Atoi(strings.TrimPrefix(name, "w"))
		p := message.PastAttempt{WorkerID: uint64(worker), PossiblyExecuted: true}
		for _, f := range strings.Split(fate, ",") {
			switch what, d, _ := strings.Cut(f, "="); what {
			case "ago":
				p.SentAgo = mustSpan(s.t, d)
			case "began":
				p.StartedAgo = mustSpan(s.t, d)
			case "mayrun", "norun": // by the forwarder's book, whatever the result
				p.PossiblyExecuted = f == "mayrun"
			default:
				p.Ended, p.Result = true, dispatch.Result(index(resultNames[:], f))
				p.PossiblyExecuted = !provesNotExecuted(p.Result)
			}
		}
		summary.Attempts = append(summary.Attempts, p)
	}
	return summary
}
