package validator

import (
	"strings"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// execute executes a script line. If the line is a command, isCommand is true and reason is the verdict on it.
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

// outcome parses "rREQUEST #ATTEMPT wWORKER RESULT [closed]".
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

// list parses "KIND REVISION wN [cell=N] [zone=N] [kind=N] [start=DURATION] [draining] [gone] wN ...".
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

// status parses "wWORKER START REVISION STATE".
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
