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

var update = flag.Bool("update", false, "rewrite the transcripts in testdata with the actual output")

// separator is the line between the script and the transcript of a file.
const separator = "----\n"

// Each file in testdata has a script, with one line per event, and below a line of dashes the expected transcript: the script
// lines with what the forwarder does after each of them. transcriptscript_test.go defines the script commands. Planners reply to
// heartbeats after 1 ms unless they are frozen; transcripts leave out heartbeats and replies. A line that ends in & is processed
// in the same step as the next line.
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

// transcript runs a forwarder whose events come from a script, and records what it does.
type transcript struct {
	test     *testing.T
	harness  *harness // nil until the first event
	settings dispatch.Settings
	config   Config
	selector *fixedOrder
	output   strings.Builder

	clients        map[string]*client
	attempts       map[string]*requests.Attempt // the last attempt of a request at a worker, by "q1 w2"
	workerNames    map[uint64]string
	unusableAt     string // name of a worker that rejects every attempt as invalid at once
	poison         string // name of a request that makes the local policy panic when it is resumed
	planners       map[string]*transcriptPlanner
	knownPlanners  []string
	plannerVersion int
	epochs         []message.Epoch // epochs of the sessions, in order; s1 is the first
}

// transcriptPlanner is a planner that sends the messages in the script.
type transcriptPlanner struct {
	epoch      message.Epoch
	frozen     bool
	heartbeats []uint64 // sequence numbers of heartbeats that it has not replied to
}

func newTranscript(t *testing.T) *transcript {
	t.Helper()
	return &transcript{
		test:           t,
		selector:       &fixedOrder{},
		clients:        map[string]*client{},
		attempts:       map[string]*requests.Attempt{},
		workerNames:    map[uint64]string{},
		planners:       map[string]*transcriptPlanner{},
		plannerVersion: 1 << 8,
	}
}

// run executes a script, and returns the transcript.
func (t *transcript) run(script string) string {
	sameStep := false
	for line := range strings.Lines(script) {
		fields := strings.Fields(line)
		switch {
		case len(fields) == 0:
		case fields[0] == "#":
			t.output.WriteString(line)
		case fields[0] == "set":
			t.applySetting(fields[1], fields[2:])
		default:
			sameStep = t.runLine(line, fields, sameStep)
		}
	}
	t.writeSummary()
	return t.output.String()
}

// runLine executes a line of a script, in the same step as the previous line or in a step of its own. It reports whether the
// next line belongs to the same step.
func (t *transcript) runLine(line string, fields []string, sameStep bool) (nextInSameStep bool) {
	if t.harness == nil {
		t.start()
	}
	at, command, arguments := startTime+t.duration(fields[0]), fields[1], fields[2:]
	switch {
	case sameStep:
	case command == "late": // the time jumps, and nothing that was due meanwhile has run
		t.harness.now = at
	default:
		t.harness.runUntil(at)
	}
	t.output.WriteString(line)
	if last := len(arguments) - 1; last >= 0 && arguments[last] == "&" {
		t.perform(command, arguments[:last])
		return true
	}
	t.perform(command, arguments)
	t.harness.settle()
	return false
}

// writeSummary writes the numbers of remaining requests and of rejected commands.
func (t *transcript) writeSummary() {
	stats := t.harness.forwarder.Stats()
	fmt.Fprintf(&t.output, "open %d, waiting %d, local %d", stats.Open, stats.Waiting, stats.Local)
	for reason, count := range stats.ByReason {
		if count > 0 {
			fmt.Fprintf(&t.output, "; rejected as %s %d", message.RejectReason(reason), count)
		}
	}
	t.output.WriteString("\n")
}

// record writes a line about something that the forwarder did.
func (t *transcript) record(format string, args ...any) {
	fmt.Fprintf(&t.output, "    %v ", t.harness.now-startTime)
	fmt.Fprintf(&t.output, format, args...)
	t.output.WriteString("\n")
}

// start starts the forwarder, once all settings are applied.
func (t *transcript) start() {
	t.config.Version = 1 << 8
	t.harness = newHarness(t.settings, t.config, t.selector, t.newLocalPolicy)
	t.harness.onStart = t.attemptStarted
	t.harness.onAbandon = func(attempt *requests.Attempt) { t.record("abandon %s", t.attemptName(attempt)) }
	t.harness.onCheckHealth = func(worker uint64) { t.record("health-check %s", t.workerName(worker)) }
	t.harness.onCloseIdle = func(worker uint64) { t.record("close-idle %s", t.workerName(worker)) }
	t.harness.onWatch = func(revision int64) { t.record("watch from revision %d", revision) }
	t.harness.onResponse = t.clientResponded
	t.harness.onAction = t.actionTaken
	t.harness.onMessage = t.messageSent
	t.harness.start(requests.EndpointList{})
	t.harness.forwarder.SetPlanners(t.knownPlanners)
	t.harness.settle()
}

func (t *transcript) newLocalPolicy() Policy {
	isPoison := func(event dispatch.Event) bool {
		resumed, ok := event.(dispatch.JobResumed)
		return ok && "q"+strconv.FormatUint(resumed.Job.ID, 10) == t.poison
	}
	return &simplePolicy{jobs: map[uint64]*simpleJob{}, onEvent: t.localPolicyNotified, panicsOn: isPoison}
}

func (t *transcript) attemptStarted(attempt *requests.Attempt) {
	name := t.attemptName(attempt)
	t.attempts[name] = attempt
	t.record("start %s timeout=%v", name, attempt.At-t.harness.now)
	if t.workerName(attempt.Worker) == t.unusableAt {
		t.harness.table.EndAttempt(attempt, nil, &requests.AttemptError{Reason: requests.ReasonInvalidRequest})
	}
	attempt.Stage = requests.StageWritten // without real connections, a request arrives as soon as it is sent
}

func (t *transcript) clientResponded(respondent *client, response string, retryAfter time.Duration) {
	if retryAfter > 0 {
		t.record("%s is %s, retry after %v", respondent.name, response, retryAfter)
	} else {
		t.record("%s is %s", respondent.name, response)
	}
}

// actionTaken records log lines. The stack trace of a panic is left out because it changes with the code.
func (t *transcript) actionTaken(action dispatch.Action) {
	line, ok := action.(dispatch.Log)
	if !ok {
		return
	}
	text, _, _ := strings.Cut(line.Text, " stack=")
	t.record("log: %s", t.nameSessions(text))
}

// messageSent records a message to a planner, and makes the planner process it.
func (t *transcript) messageSent(outgoing Outgoing) {
	to := t.planners[outgoing.Planner]
	switch body := outgoing.Message.(type) {
	case *message.Handshake:
		t.epochs = append(t.epochs, outgoing.Epoch)
		to.epoch = outgoing.Epoch
		to.heartbeats = nil
	case *message.Heartbeat:
		to.heartbeats = append(to.heartbeats, body.Sequence)
		if !to.frozen {
			t.harness.after(time.Millisecond, func() { t.replyToHeartbeats(outgoing.Planner) })
		}
		return
	}
	t.record("to %s: %s", outgoing.Planner, messageText(outgoing.Envelope, t.epochName, t.workerName))
}

// replyToHeartbeats sends a planner's replies to all outstanding heartbeats of its newest session.
func (t *transcript) replyToHeartbeats(name string) {
	sender := t.planners[name]
	if sender.frozen {
		return
	}
	for _, sequence := range sender.heartbeats {
		t.receive(name, sender.epoch, &message.HeartbeatReply{Sequence: sequence})
	}
	sender.heartbeats = nil
}

// receive passes a message from a planner to the forwarder.
func (t *transcript) receive(planner string, epoch message.Epoch, body message.Message) {
	t.harness.forwarder.Receive(t.harness.now, planner, message.Envelope{Epoch: epoch, Message: body})
}

// localPolicyNotified records an event that the local policy is notified of.
func (t *transcript) localPolicyNotified(event dispatch.Event) {
	switch event := event.(type) {
	case dispatch.Job:
		t.record("local policy: job q%d", event.ID)
	case dispatch.JobResumed:
		t.record("local policy: resumed q%d remaining=%v waited=%v, %d attempts", event.Job.ID, event.Job.Remaining,
			event.Age, len(event.Attempts))
	case dispatch.Outcome:
		t.record("local policy: ended q%d #%d %s, closed %v", event.Job, event.Attempt, resultNames[event.Result], event.Closed)
	case dispatch.ClientDisconnected:
		t.record("local policy: client-disconnected q%d", event.Job)
	case dispatch.ReplicasChanged:
		t.record("local policy: replica %d of %d", event.ReplicaIndex, event.Replicas)
	case dispatch.ModelUpdate:
		t.record("local policy: model %q, %v old, load share %v", event.Snapshot, event.Age, event.LoadShare)
	case dispatch.WorkerList:
		t.record("local policy: list %s", t.listText(event))
	}
}

func (t *transcript) listText(list dispatch.WorkerList) string {
	if list.Kind == dispatch.ListUnavailable {
		return "unavailable"
	}
	names := []string{}
	for _, worker := range list.Workers {
		name := t.workerName(worker.ID)
		if !worker.Ready {
			name += " not ready"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

// nameSessions replaces the epoch in a log line by the name of the session.
func (t *transcript) nameSessions(text string) string {
	for i, epoch := range t.epochs {
		text = strings.ReplaceAll(text, fmt.Sprintf("session=%d ", epoch), fmt.Sprintf("session=s%d ", i+1))
	}
	return text
}

func (t *transcript) epochName(epoch message.Epoch) string {
	for i, known := range t.epochs {
		if known == epoch {
			return "s" + strconv.Itoa(i+1)
		}
	}
	return "s?"
}

func (t *transcript) workerName(worker uint64) string {
	if name := t.workerNames[worker]; name != "" {
		return name
	}
	return "w?"
}

func (t *transcript) attemptName(attempt *requests.Attempt) string {
	return attempt.Request.CallID + " " + t.workerName(attempt.Worker)
}
