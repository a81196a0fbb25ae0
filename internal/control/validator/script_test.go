package validator

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

var update = flag.Bool("update", false, "write the verdicts to the golden files")

// Each file of testdata is a script: events of the request table, sessions, statuses and commands, and below a line of
// dashes the verdict on each command.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scripts, %v", len(files), err)
	}
	seen := map[message.RejectReason]bool{}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			script, want, _ := strings.Cut(string(text), "----\n")
			runner := scriptRunner{t: t, seen: seen}
			got := runner.run(script)
			if *update {
				if err := os.WriteFile(name, []byte(script+"----\n"+got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != want {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
	for reason := range message.ReasonCount {
		if !seen[reason] {
			t.Errorf("no script has a command with the verdict %q", reason)
		}
	}
}

// scriptRunner runs one script.
type scriptRunner struct {
	t         *testing.T
	settings  dispatch.Settings
	validator *Validator
	now       time.Duration
	seen      map[message.RejectReason]bool // verdicts of all scripts
}

func (r *scriptRunner) run(script string) string {
	verdicts := &strings.Builder{}
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		switch {
		case len(words) == 0 || words[0] == "#":
		case words[0] == "set":
			r.set(words[1], words[2:])
		default:
			if r.validator == nil {
				r.validator = New(r.settings)
			}
			r.now = r.duration(words[0])
			if reason, isCommand := r.execute(words[1], words[2:]); isCommand {
				r.seen[reason] = true
				fmt.Fprintf(verdicts, "%s: %s\n", strings.TrimSpace(line), verdictText(reason))
			}
		}
	}
	for reason := range message.ReasonCount {
		if count := r.validator.RejectedCount(reason); count > 0 {
			fmt.Fprintf(verdicts, "rejected as %s: %d\n", reason, count)
		}
	}
	return verdicts.String()
}

func verdictText(reason message.RejectReason) string {
	if reason == message.ReasonNone {
		return "valid"
	}
	return reason.String()
}

func (r *scriptRunner) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		r.t.Fatal(err)
	}
	return duration
}

// number reads the number after a letter, "r7" say, or after an equals sign.
func (r *scriptRunner) number(text string) uint64 {
	number, err := strconv.ParseUint(text[strings.IndexAny(text, "=rw#ec")+1:], 10, 64)
	if err != nil {
		r.t.Fatal(err)
	}
	return number
}

func (r *scriptRunner) int(text string) int { return int(r.number(text)) }

// ---- Settings ----

func (r *scriptRunner) set(name string, words []string) {
	switch name {
	case "attempt-limit":
		r.settings.AttemptLimit = r.int(words[0])
	case "hedging":
		r.settings.Hedging = true
	case "cancellation":
		r.settings.Cancellation = true
	case "health-checks":
		r.settings.HealthChecks = true
	case "class":
		r.settings.Classes = append(r.settings.Classes, r.class(words))
	default:
		r.t.Fatalf("unknown setting %q", name)
	}
}

var idempotencies = map[string]dispatch.Idempotency{
	"non-idempotent":      dispatch.NonIdempotent,
	"idempotent-with-key": dispatch.IdempotentWithKey,
	"idempotent":          dispatch.Idempotent,
}

var deduplicationScopes = map[string]dispatch.DeduplicationScope{
	"cell": dispatch.ScopeCell,
	"zone": dispatch.ScopeZone,
	"all":  dispatch.ScopeAll,
}

// class reads "IDEMPOTENCY [SCOPE] [kind=N] [window=DURATION]".
func (r *scriptRunner) class(words []string) dispatch.Class {
	idempotency, ok := idempotencies[words[0]]
	if !ok {
		r.t.Fatalf("unknown idempotency %q", words[0])
	}
	class := dispatch.Class{Idempotency: idempotency}
	for _, word := range words[1:] {
		switch name, value, _ := strings.Cut(word, "="); name {
		case "kind":
			class.Kinds = append(class.Kinds, r.int(value))
		case "window":
			class.DeduplicationWindow = r.duration(value)
		default:
			class.DeduplicationScope = deduplicationScopes[word]
		}
	}
	return class
}

// ---- Events ----

// execute executes a line; isCommand: it is a command, and reason its verdict.
func (r *scriptRunner) execute(verb string, words []string) (reason message.RejectReason, isCommand bool) {
	switch verb {
	case "list", "request", "client-disconnected", "started", "response-started", "ended":
		r.validator.Observe(r.now, r.event(verb, words))
	case "open-session":
		r.validator.OpenSession(r.epoch(words[0]))
	case "close-session":
		r.validator.CloseSession(r.epoch(words[0]))
	case "assign":
		r.validator.Assign(r.number(words[0]), r.epoch(words[1]))
	case "status":
		r.validator.ObserveStatus(r.now, r.status(words))
	default:
		return r.command(verb, words), true
	}
	return message.ReasonNone, false
}

func (r *scriptRunner) epoch(word string) message.Epoch { return message.Epoch(r.number(word)) }

func (r *scriptRunner) event(verb string, words []string) dispatch.Event {
	if verb == "list" {
		return r.list(words)
	}
	id := r.number(words[0])
	switch verb {
	case "request":
		return dispatch.Job{ID: id, Class: r.int(words[1]), Remaining: r.duration(words[2])}
	case "client-disconnected":
		return dispatch.ClientDisconnected{Job: id}
	case "started":
		return dispatch.Started{Job: id, Attempt: r.int(words[1]), Worker: r.number(words[2])}
	case "response-started":
		return dispatch.ResponseStarted{Job: id, Attempt: r.int(words[1]), Worker: r.number(words[2])}
	}
	return r.outcome(words)
}

var results = map[string]dispatch.Result{
	"ok":               dispatch.OK,
	"failed":           dispatch.Failed,
	"worker-full":      dispatch.WorkerFull,
	"timed-out":        dispatch.TimedOut,
	"connect-failed":   dispatch.ConnectFailed,
	"connection-reset": dispatch.ConnectionReset,
	"cancelled":        dispatch.Cancelled,
	"not-sent":         dispatch.NotSent,
}

// outcome reads "rREQUEST #ATTEMPT wWORKER RESULT [closed]".
func (r *scriptRunner) outcome(words []string) dispatch.Outcome {
	result, ok := results[words[3]]
	if !ok {
		r.t.Fatalf("unknown result %q", words[3])
	}
	return dispatch.Outcome{
		Job: r.number(words[0]), Attempt: r.int(words[1]), Worker: r.number(words[2]), Result: result,
		Closed: result == dispatch.OK || len(words) > 4,
	}
}

var listKinds = map[string]dispatch.ListKind{
	"delta":  dispatch.ListDelta,
	"full":   dispatch.ListFull,
	"cached": dispatch.ListCached,
	"lost":   dispatch.ListUnavailable,
}

// list reads "KIND REVISION wN [cell=N] [zone=N] [kind=N] [start=DURATION] [draining] [gone] wN ...".
func (r *scriptRunner) list(words []string) dispatch.WorkerList {
	kind, ok := listKinds[words[0]]
	if !ok {
		r.t.Fatalf("unknown kind of list %q", words[0])
	}
	list := dispatch.WorkerList{Kind: kind, Revision: int64(r.number(words[1]))}
	for _, word := range words[2:] {
		if word[0] == 'w' {
			list.Workers = append(list.Workers, dispatch.Worker{ID: r.number(word), Ready: true})
		} else {
			r.setWorker(&list.Workers[len(list.Workers)-1], word)
		}
	}
	return list
}

func (r *scriptRunner) setWorker(worker *dispatch.Worker, word string) {
	switch name, value, _ := strings.Cut(word, "="); name {
	case "cell":
		worker.Cell = r.int(value)
	case "zone":
		worker.Zone = r.int(value)
	case "kind":
		worker.Kind = r.int(value)
	case "start":
		worker.BootAt = r.duration(value)
	case "draining":
		worker.Ready = false
	case "gone":
		worker.Removed = true
	default:
		r.t.Fatalf("unknown attribute %q of a worker", word)
	}
}

var workerStates = map[string]message.WorkerState{
	"up":       message.WorkerUp,
	"draining": message.WorkerDraining,
	"gone":     message.WorkerGone,
}

// status reads "wWORKER START REVISION STATE".
func (r *scriptRunner) status(words []string) message.WorkerStatus {
	state, ok := workerStates[words[3]]
	if !ok {
		r.t.Fatalf("unknown state %q", words[3])
	}
	return message.WorkerStatus{
		WorkerID: r.number(words[0]), StartedMs: r.duration(words[1]).Milliseconds(), Revision: int64(r.number(words[2])),
		State: state,
	}
}

// ---- Commands ----

var commandKinds = map[string]message.Kind{
	"send":         message.KindSendCommand,
	"reject":       message.KindRejectCommand,
	"fail":         message.KindFailCommand,
	"cancel":       message.KindCancelCommand,
	"transfer":     message.KindTransferCommand,
	"health-check": message.KindHealthCheckCommand,
	"close-idle":   message.KindCloseIdleCommand,
	"handshake":    message.KindHandshake, // no command
}

// command validates "VERB eEPOCH [rREQUEST] [#NUMBER] [wWORKER]", and applies it if it is valid.
func (r *scriptRunner) command(verb string, words []string) message.RejectReason {
	kind, ok := commandKinds[verb]
	if !ok {
		r.t.Fatalf("unknown line %q", verb)
	}
	command := &anyCommand{kind: kind}
	for _, word := range words[1:] {
		switch word[0] {
		case 'r':
			command.request = r.number(word)
		case '#':
			command.attempt = r.int(word)
		case 'w':
			command.worker = r.number(word)
		}
	}
	reason := r.validator.Validate(r.now, r.epoch(words[0]), command.message())
	if action := command.action(); reason == message.ReasonNone && action != nil {
		r.validator.Apply(r.now, action)
	}
	return reason
}

// anyCommand is a command of any kind.
type anyCommand struct {
	kind    message.Kind
	request uint64
	worker  uint64
	attempt int
}

// message returns the command as it is validated.
func (c *anyCommand) message() message.Message {
	switch c.kind {
	case message.KindSendCommand:
		return &message.SendCommand{RequestID: c.request, Attempt: c.attempt, WorkerID: c.worker}
	case message.KindRejectCommand:
		return &message.RejectCommand{RequestID: c.request}
	case message.KindFailCommand:
		return &message.FailCommand{RequestID: c.request}
	case message.KindCancelCommand:
		return &message.CancelCommand{RequestID: c.request, Attempt: c.attempt}
	case message.KindTransferCommand:
		return &message.TransferCommand{RequestID: c.request}
	case message.KindHealthCheckCommand:
		return &message.HealthCheckCommand{WorkerID: c.worker}
	case message.KindCloseIdleCommand:
		return &message.CloseIdleCommand{WorkerID: c.worker}
	}
	return &message.Handshake{}
}

// action returns what is applied once the command is valid; nil: nothing.
func (c *anyCommand) action() dispatch.Action {
	switch c.kind {
	case message.KindSendCommand:
		return dispatch.Send{Job: c.request, Worker: c.worker}
	case message.KindRejectCommand:
		return dispatch.Reject{Job: c.request}
	case message.KindFailCommand:
		return dispatch.Fail{Job: c.request}
	}
	return nil
}
