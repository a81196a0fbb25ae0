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

var update = flag.Bool("update", false, "write what happens to the transcripts")

// separator is the line between the script and the transcript of a file.
const separator = "----\n"

// Each file of testdata has a script, a line for each thing that happens to the forwarder, and below a line of dashes its
// transcript: the same with all that the forwarder does. transcriptscript_test.go has the commands of scripts. Planners
// reply to heartbeats after 1 ms, unless they are frozen; heartbeats and replies are left out. A line that ends in & is in
// one step with the next one.
func TestTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d transcripts, %v", len(files), err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			content, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			script, want, _ := strings.Cut(string(content), separator)
			got := newTranscript(t).run(script)
			if *update {
				if err := os.WriteFile(name, []byte(script+separator+got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != want {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
}

// transcript is a forwarder whose events come from a script.
type transcript struct {
	t        *testing.T
	harness  *harness // nil: nothing has happened yet
	settings dispatch.Settings
	config   Config
	selector *fixedOrder
	output   strings.Builder

	clients        map[string]*client
	attempts       map[string]*requests.Attempt // the last one of a request at a worker, by "q1 w2"
	workerNames    map[uint64]string
	unusableAt     string // a worker that rejects every attempt as invalid at once
	poison         string // a request that makes the local policy panic when it is resumed
	planners       map[string]*transcriptPlanner
	knownPlanners  []string
	plannerVersion int
	epochs         []message.Epoch // of sessions, in order
}

// transcriptPlanner is a planner that the script speaks for.
type transcriptPlanner struct {
	epoch      message.Epoch
	frozen     bool
	heartbeats []uint64 // that it has not replied to
}

func newTranscript(t *testing.T) *transcript {
	t.Helper()
	return &transcript{
		t:              t,
		selector:       &fixedOrder{},
		clients:        map[string]*client{},
		attempts:       map[string]*requests.Attempt{},
		workerNames:    map[uint64]string{},
		planners:       map[string]*transcriptPlanner{},
		plannerVersion: 1 << 8,
	}
}

// run performs a script, and returns the transcript.
func (s *transcript) run(script string) string {
	sameStep := false
	for line := range strings.Lines(script) {
		fields := strings.Fields(line)
		switch {
		case len(fields) == 0:
		case fields[0] == "#":
			s.output.WriteString(line)
		case fields[0] == "set":
			s.applySetting(fields[1], fields[2:])
		default:
			sameStep = s.runLine(line, fields, sameStep)
		}
	}
	s.writeSummary()
	return s.output.String()
}

// runLine performs a line of a script, in one step with the line before or in a step of its own. It returns whether the next
// line is in the same step.
func (s *transcript) runLine(line string, fields []string, sameStep bool) (nextInSameStep bool) {
	if s.harness == nil {
		s.start()
	}
	at, command, arguments := startTime+s.duration(fields[0]), fields[1], fields[2:]
	switch {
	case sameStep:
	case command == "late": // nothing was done until then
		s.harness.now = at
	default:
		s.harness.runUntil(at)
	}
	s.output.WriteString(line)
	if last := len(arguments) - 1; last >= 0 && arguments[last] == "&" {
		s.perform(command, arguments[:last])
		return true
	}
	s.perform(command, arguments)
	s.harness.settle()
	return false
}

// writeSummary writes what is left at the end.
func (s *transcript) writeSummary() {
	stats := s.harness.forwarder.Stats()
	fmt.Fprintf(&s.output, "open %d, waiting %d, local %d", stats.Open, stats.Waiting, stats.Local)
	for reason, count := range stats.ByReason {
		if count > 0 {
			fmt.Fprintf(&s.output, "; rejected as %s %d", message.RejectReason(reason), count)
		}
	}
	s.output.WriteString("\n")
}

// record writes something that the forwarder has done.
func (s *transcript) record(format string, args ...any) {
	fmt.Fprintf(&s.output, "    %v ", s.harness.now-startTime)
	fmt.Fprintf(&s.output, format, args...)
	s.output.WriteString("\n")
}

// start starts the forwarder, once all settings are applied.
func (s *transcript) start() {
	s.config.Version = 1 << 8
	s.harness = newHarness(s.settings, s.config, s.selector, s.newLocalPolicy)
	s.harness.onStart = s.attemptStarted
	s.harness.onAbandon = func(attempt *requests.Attempt) { s.record("abandon %s", s.attemptName(attempt)) }
	s.harness.onCheckHealth = func(worker uint64) { s.record("health-check %s", s.workerName(worker)) }
	s.harness.onCloseIdle = func(worker uint64) { s.record("close-idle %s", s.workerName(worker)) }
	s.harness.onWatch = func(revision int64) { s.record("watch from revision %d", revision) }
	s.harness.onResponse = s.clientResponded
	s.harness.onAction = s.actionTaken
	s.harness.onMessage = s.messageSent
	s.harness.start(requests.EndpointList{})
	s.harness.forwarder.SetPlanners(s.knownPlanners)
	s.harness.settle()
}

func (s *transcript) newLocalPolicy() Policy {
	isPoison := func(event dispatch.Event) bool {
		resumed, ok := event.(dispatch.JobResumed)
		return ok && "q"+strconv.FormatUint(resumed.Job.ID, 10) == s.poison
	}
	return &simplePolicy{jobs: map[uint64]*simpleJob{}, onEvent: s.localPolicyNotified, panicsOn: isPoison}
}

func (s *transcript) attemptStarted(attempt *requests.Attempt) {
	name := s.attemptName(attempt)
	s.attempts[name] = attempt
	s.record("start %s timeout=%v", name, attempt.At-s.harness.now)
	if s.workerName(attempt.Worker) == s.unusableAt {
		s.harness.table.EndAttempt(attempt, nil, &requests.AttemptError{Reason: requests.ReasonInvalidRequest})
	}
	attempt.Stage = requests.StageWritten // there are no connections: what is sent arrives at once
}

func (s *transcript) clientResponded(respondent *client, response string, retryAfter time.Duration) {
	if retryAfter > 0 {
		s.record("%s is %s, retry after %v", respondent.name, response, retryAfter)
	} else {
		s.record("%s is %s", respondent.name, response)
	}
}

// actionTaken writes log lines. The stack of a panic is left out: it changes with the code.
func (s *transcript) actionTaken(action dispatch.Action) {
	line, ok := action.(dispatch.Log)
	if !ok {
		return
	}
	text, _, _ := strings.Cut(line.Text, " stack=")
	s.record("log: %s", s.nameSessions(text))
}

// messageSent writes a message to a planner, and has the planner process it.
func (s *transcript) messageSent(outgoing Outgoing) {
	to := s.planners[outgoing.Planner]
	switch body := outgoing.Message.(type) {
	case *message.Handshake:
		s.epochs = append(s.epochs, outgoing.Epoch)
		to.epoch = outgoing.Epoch
		to.heartbeats = nil
	case *message.Heartbeat:
		to.heartbeats = append(to.heartbeats, body.Sequence)
		if !to.frozen {
			s.harness.after(time.Millisecond, func() { s.replyToHeartbeats(outgoing.Planner) })
		}
		return
	}
	s.record("to %s: %s", outgoing.Planner, messageText(outgoing.Envelope, s.epochName, s.workerName))
}

// replyToHeartbeats has a planner reply to all heartbeats of its newest session.
func (s *transcript) replyToHeartbeats(name string) {
	sender := s.planners[name]
	if sender.frozen {
		return
	}
	for _, sequence := range sender.heartbeats {
		s.receive(name, sender.epoch, &message.HeartbeatReply{Sequence: sequence})
	}
	sender.heartbeats = nil
}

// receive has a message of a planner reach the forwarder.
func (s *transcript) receive(planner string, epoch message.Epoch, body message.Message) {
	s.harness.forwarder.Receive(s.harness.now, planner, message.Envelope{Epoch: epoch, Message: body})
}

// localPolicyNotified writes an event that the local policy is notified of.
func (s *transcript) localPolicyNotified(event dispatch.Event) {
	switch event := event.(type) {
	case dispatch.Job:
		s.record("local policy: job q%d", event.ID)
	case dispatch.JobResumed:
		s.record("local policy: resumed q%d remaining=%v waited=%v, %d attempts", event.Job.ID, event.Job.Remaining,
			event.Age, len(event.Attempts))
	case dispatch.Outcome:
		s.record("local policy: ended q%d #%d %s, closed %v", event.Job, event.Attempt, resultNames[event.Result], event.Closed)
	case dispatch.ClientDisconnected:
		s.record("local policy: client-disconnected q%d", event.Job)
	case dispatch.ReplicasChanged:
		s.record("local policy: replica %d of %d", event.ReplicaIndex, event.Replicas)
	case dispatch.ModelUpdate:
		s.record("local policy: model %q, %v old, load share %v", event.Snapshot, event.Age, event.LoadShare)
	case dispatch.WorkerList:
		s.record("local policy: list %s", s.listText(event))
	}
}

func (s *transcript) listText(list dispatch.WorkerList) string {
	if list.Kind == dispatch.ListUnavailable {
		return "unavailable"
	}
	names := []string{}
	for _, worker := range list.Workers {
		name := s.workerName(worker.ID)
		if !worker.Ready {
			name += " not ready"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

// nameSessions puts names in place of epochs in a log line.
func (s *transcript) nameSessions(text string) string {
	for i, epoch := range s.epochs {
		text = strings.ReplaceAll(text, fmt.Sprintf("session=%d ", epoch), fmt.Sprintf("session=s%d ", i+1))
	}
	return text
}

func (s *transcript) epochName(epoch message.Epoch) string {
	for i, known := range s.epochs {
		if known == epoch {
			return "s" + strconv.Itoa(i+1)
		}
	}
	return "s?"
}

func (s *transcript) workerName(worker uint64) string {
	if name := s.workerNames[worker]; name != "" {
		return name
	}
	return "w?"
}

func (s *transcript) attemptName(attempt *requests.Attempt) string {
	return attempt.Request.CallID + " " + s.workerName(attempt.Worker)
}
