package planner

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

var update = flag.Bool("update", false, "write the results of transcripts to their files")

// In a transcript, lines with the prefix "> " are inputs, and an empty line ends the inputs of a step. Lines with the prefix
// "< " are the expected results.
func TestTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) < 10 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := newTranscript(t).run(string(want))
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

// transcript runs one transcript.
type transcript struct {
	t       *testing.T
	planner *Planner
	policy  *scriptedPolicy // the current policy
	panics  int             // number of steps of the policy that will panic
	now     time.Duration
	timerAt time.Duration // 0 if not set
	events  []Event       // for the next step
	lines   []string      // results since the last flush
	epochs  map[SessionID]message.Epoch
}

func newTranscript(t *testing.T) *transcript {
	t.Helper()
	s := &transcript{t: t, now: time.Hour, epochs: map[SessionID]message.Epoch{}}
	s.planner = newTestPlanner(Config{
		MaxOpenRequests: 40, MinCredit: 4, MaxCredit: 30, LoadReportInterval: time.Hour, SnapshotInterval: time.Hour,
		NewPolicy: func() Policy {
			s.policy = &scriptedPolicy{lines: &s.lines, panics: &s.panics}
			return s.policy
		},
	})
	s.events = []Event{PartitionChanged{Owner: ownerByCell(ownName, "plan-b", "plan-c")}}
	s.step()
	s.lines = nil
	return s
}

// run runs the inputs of a transcript, and returns the transcript with the actual results.
func (s *transcript) run(text string) string {
	s.t.Helper()
	var result strings.Builder
	pending := false
	flush := func() {
		if !pending {
			return
		}
		pending = false
		s.step()
		for _, line := range s.lines {
			fmt.Fprintf(&result, "< %s\n", line)
		}
		s.lines = nil
	}
	for _, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if strings.HasPrefix(line, "<") {
			continue
		}
		if line == "" {
			flush()
		}
		result.WriteString(line + "\n")
		if line, ok := strings.CutPrefix(line, "> "); ok {
			s.execute(newScriptLine(s.t, line))
			pending = true
		}
	}
	flush()
	return result.String()
}

func (s *transcript) step() {
	s.t.Helper()
	if s.timerAt > 0 && s.timerAt <= s.now {
		s.timerAt = 0
	}
	actions := s.planner.Step(s.now, s.events, nil)
	s.events = nil
	for _, action := range actions {
		if timer, ok := action.(SetTimer); ok {
			if at := s.now + timer.After; s.timerAt == 0 || at < s.timerAt {
				s.timerAt = at
			}
			continue
		}
		s.lines = append(s.lines, actionText(action))
	}
	if err := checkInvariants(s.planner); err != nil {
		s.t.Errorf("after %v: %v", s.now-time.Hour, err)
	}
}

// wait advances the time, and runs a step whenever the timer fires.
func (s *transcript) wait(span time.Duration) {
	s.t.Helper()
	end := s.now + span
	for range 10_000 {
		if s.timerAt == 0 || s.timerAt > end {
			s.now = end
			return
		}
		s.now = s.timerAt
		s.step()
	}
	s.t.Fatalf("more than 10000 steps within %v", span)
}

// execute executes an input line.
func (s *transcript) execute(line *scriptLine) {
	s.t.Helper()
	if sender, isMessage := strings.CutSuffix(line.words[0], ":"); isMessage {
		s.receive(sender, line)
		return
	}
	if event := line.event(s.now); event != nil {
		s.events = append(s.events, event)
		return
	}
	if action := line.action(); action != nil {
		s.policy.next = append(s.policy.next, action)
		return
	}
	switch line.words[0] {
	case "wait":
		s.wait(line.parseDuration(line.words[1]))
	case "freeze":
		s.now += line.parseDuration(line.words[1])
	case "panics":
		s.panics = line.number("n")
	default:
		s.t.Fatalf("unknown input %q", line.words[0])
	}
}

// receive delivers a message. The sender is a session ID for a forwarder, or the name of a peer.
func (s *transcript) receive(sender string, line *scriptLine) {
	s.t.Helper()
	kind := line.words[1]
	epoch := message.Epoch(line.number("epoch"))
	if strings.HasPrefix(sender, "plan") {
		envelope := message.Envelope{Epoch: epoch, Message: line.peerMessage(sender, kind)}
		s.events = append(s.events, PeerMessage{Peer: sender, Envelope: envelope})
		return
	}
	if kind == "request-offers" {
		for id := line.number("from"); id <= line.number("to"); id++ {
			s.execute(newScriptLine(s.t, fmt.Sprintf("%s: request-offer request=%d", sender, id)))
		}
		return
	}
	session := SessionID(line.parseNumber(sender))
	if kind == "handshake" {
		s.epochs[session] = epoch
	} else if epoch == 0 {
		epoch = s.epochs[session]
	}
	envelope := message.Envelope{Epoch: epoch, Message: line.forwarderMessage(kind)}
	s.events = append(s.events, ForwarderMessage{Session: session, Envelope: envelope})
}

// actionText formats an action for transcripts.
func actionText(action Action) string {
	switch a := action.(type) {
	case SendToForwarder:
		return fmt.Sprintf("to %d: %s", a.Session, messageText(a.Envelope))
	case SendToPeer:
		return fmt.Sprintf("to %s: %s", a.Peer, messageText(a.Envelope))
	case CloseSession:
		return fmt.Sprintf("close session %d", a.Session)
	case WatchEndpoints:
		return fmt.Sprintf("watch endpoints from revision %d", a.Revision)
	case LogLine:
		return "log: " + logText(a)
	case Stopped:
		return "stopped"
	}
	return fmt.Sprintf("%T %+v", action, action)
}

// logText formats a log line without the location, which differs between builds.
func logText(line LogLine) string {
	text := line.Message
	for i := 0; i+1 < len(line.Attributes); i += 2 {
		if key := line.Attributes[i]; key != "location" {
			text += fmt.Sprintf(" %v=%v", key, line.Attributes[i+1])
		}
	}
	return text
}

// messageText formats a message; some fields are omitted if they are zero.
func messageText(envelope message.Envelope) string {
	line := textBuilder{envelope.Message.Kind().String()}
	switch m := envelope.Message.(type) {
	case *message.HandshakeAccept:
		line.add("epoch", envelope.Epoch)
		line.addAlways("credit", m.Credit)
		line.add("version", m.Version)
		line.add("name", m.Name)
	case *message.CreditUpdate:
		line.addAlways("credit", m.Credit)
	case *message.HeartbeatReply:
		line.add("sequence", m.Sequence)
		line.add("timer_lag", m.TimerLag)
	case *message.ModelSnapshot:
		line.add("data", string(m.Data))
	case *message.PeerHandshake:
		line.add("version", m.Version)
		line.add("name", m.Name)
	case *message.WorkerStatus:
		line.addAlways("worker", m.WorkerID)
		line.addAlways("started", m.StartedMs)
		line.addAlways("revision", m.Revision)
		line.addAlways("state", m.State)
	case *message.LoadReport:
		line.addAlways("open", m.OpenRequests)
		line.addAlways("queued", m.QueuedRequests)
		line.addAlways("forwarders", m.Forwarders)
		line.addAlways("used", m.UsedSlots)
		line.addAlways("free", m.FreeSlots)
	case message.Command:
		line.addCommand(m)
	}
	return line.text
}

// textBuilder appends fields to a line.
type textBuilder struct{ text string }

func (b *textBuilder) addAlways(name string, value any) { b.text += fmt.Sprintf(" %s=%v", name, value) }

// add appends a field unless its value is zero.
func (b *textBuilder) add(name string, value any) {
	if text := fmt.Sprint(value); text != "0" && text != "0s" && text != "" {
		b.addAlways(name, value)
	}
}

func (b *textBuilder) addCommand(command message.Command) {
	switch m := command.(type) {
	case *message.SendCommand:
		b.add("request", m.RequestID)
		b.addAlways("attempt", m.Attempt)
		b.add("worker", m.WorkerID)
		b.add("timeout", m.Timeout)
	case *message.CancelCommand:
		b.add("request", m.RequestID)
		b.addAlways("attempt", m.Attempt)
	case *message.RejectCommand:
		b.add("request", m.RequestID)
		b.add("retry_after", m.RetryAfter)
	case *message.FailCommand:
		b.add("request", m.RequestID)
	case *message.TransferCommand:
		b.add("request", m.RequestID)
		b.add("planner", m.Planner)
	case *message.HealthCheckCommand:
		b.add("worker", m.WorkerID)
	case *message.CloseIdleCommand:
		b.add("worker", m.WorkerID)
	}
}

var listKindNames = [...]string{
	dispatch.ListDelta: "delta", dispatch.ListFull: "full", dispatch.ListCached: "cached", dispatch.ListUnavailable: "unavailable",
}

var resultNames = [...]string{
	"ok", "failed", "worker-full", "timed-out", "connect-failed", "connection-reset", "cancelled", "not-sent",
}
