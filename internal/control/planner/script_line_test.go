package planner

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// scriptLine is an input line of a transcript: words, some of which are named arguments such as "after=20ms".
type scriptLine struct {
	t     *testing.T
	words []string
	args  map[string]string
}

func newScriptLine(t *testing.T, text string) *scriptLine {
	t.Helper()
	line := &scriptLine{t: t, words: strings.Fields(text), args: map[string]string{}}
	for _, word := range line.words {
		if name, value, ok := strings.Cut(word, "="); ok {
			line.args[name] = value
		}
	}
	return line
}

func (l *scriptLine) parseNumber(text string) int {
	l.t.Helper()
	number, err := strconv.Atoi(text)
	if err != nil {
		l.t.Fatalf("%v: %v", l.words, err)
	}
	return number
}

func (l *scriptLine) parseDuration(text string) time.Duration {
	l.t.Helper()
	span, err := time.ParseDuration(text)
	if err != nil {
		l.t.Fatalf("%v: %v", l.words, err)
	}
	return span
}

// number returns a numeric argument, or 0 if it is not given.
func (l *scriptLine) number(name string) int {
	l.t.Helper()
	if l.args[name] == "" {
		return 0
	}
	return l.parseNumber(l.args[name])
}

// duration returns an argument that is a duration, or 0 if it is not given.
func (l *scriptLine) duration(name string) time.Duration {
	l.t.Helper()
	if l.args[name] == "" {
		return 0
	}
	return l.parseDuration(l.args[name])
}

// event returns the event that the line describes, or nil.
func (l *scriptLine) event(now time.Duration) Event {
	l.t.Helper()
	switch l.words[0] {
	case "connect":
		return SessionOpened{SessionID(l.parseNumber(l.words[1]))}
	case "disconnect":
		return SessionClosed{SessionID(l.parseNumber(l.words[1]))}
	case "peer-connect":
		return PeerConnected{l.words[1]}
	case "peer-disconnect":
		return PeerDisconnected{l.words[1]}
	case "peers":
		return PeersChanged{l.words[1:]}
	case "partition":
		return PartitionChanged{ownerByCell(l.words[1:]...)}
	case "endpoints":
		return EndpointsChanged{l.endpoints(now)}
	case "stop":
		return StopRequested{}
	}
	return nil
}

// endpoints parses a line such as "endpoints delta revision=3 2:up 3:draining 4:up:500". Worker 4 is in cell 4%3 and started
// 500 ms ago.
func (l *scriptLine) endpoints(now time.Duration) dispatch.WorkerList {
	l.t.Helper()
	list := dispatch.WorkerList{
		Kind: dispatch.ListKind(slices.Index(listKindNames[:], l.words[1])), Revision: int64(l.number("revision")),
	}
	for _, word := range l.words[3:] {
		parts := strings.Split(word, ":")
		id := l.parseNumber(parts[0])
		worker := dispatch.Worker{
			ID: uint64(id), Cell: id % 3, Kind: id / 10, Ready: parts[1] == "up", Removed: parts[1] == "gone",
		}
		if len(parts) > 2 {
			worker.BootAt = (now - time.Duration(l.parseNumber(parts[2]))*ms).Truncate(ms)
		}
		list.Workers = append(list.Workers, worker)
	}
	return list
}

// action returns the action of the policy that the line describes, or nil.
func (l *scriptLine) action() dispatch.Action {
	l.t.Helper()
	job, worker := uint64(l.number("job")), uint64(l.number("worker"))
	switch l.words[0] {
	case "send":
		return dispatch.Send{Job: job, Worker: worker}
	case "reject":
		return dispatch.Reject{Job: job, RetryAfter: l.duration("after")}
	case "fail":
		return dispatch.Fail{Job: job}
	case "cancel":
		return dispatch.Cancel{Job: job, Attempt: l.number("attempt")}
	case "health-check":
		return dispatch.HealthCheck{Worker: worker}
	case "close-idle":
		return dispatch.CloseIdleConnections{Worker: worker}
	case "timer":
		return dispatch.SetTimer{After: l.duration("after")}
	case "subscribe":
		return dispatch.Subscribe{}
	}
	return nil
}

// peerMessage returns the message from a peer that the line describes.
func (l *scriptLine) peerMessage(name, kind string) message.Message {
	l.t.Helper()
	switch kind {
	case "peer-handshake":
		return &message.PeerHandshake{Name: name, Version: ownVersion}
	case "worker-status":
		return l.status()
	case "load-report":
		return &message.LoadReport{
			OpenRequests: l.number("open"), QueuedRequests: l.number("queued"), FreeSlots: float64(l.number("free")),
		}
	}
	l.t.Fatalf("unknown message kind %q from a peer", kind)
	return nil
}

// forwarderMessage returns the message from a forwarder that the line describes.
func (l *scriptLine) forwarderMessage(kind string) message.Message {
	l.t.Helper()
	request, attempt := uint64(l.number("request")), l.number("attempt")
	switch kind {
	case "handshake":
		return l.handshake()
	case "request-offer":
		return &message.RequestOffer{RequestID: request, Summary: l.summary()}
	case "attempt-ended":
		return &message.AttemptEnded{RequestID: request, Attempt: attempt, Result: l.result(), Reason: l.reason()}
	case "attempt-started":
		return &message.AttemptStarted{RequestID: request, Attempt: attempt}
	case "attempt-progress":
		return &message.AttemptProgress{RequestID: request, Attempt: attempt}
	case "request-closed":
		return &message.RequestClosed{RequestID: request}
	case "health-check-result":
		return &message.HealthCheckResult{WorkerID: uint64(l.number("worker")), Result: l.result()}
	case "heartbeat":
		return &message.Heartbeat{Sequence: uint64(l.number("sequence"))}
	case "worker-status":
		return l.status()
	}
	l.t.Fatalf("unknown message kind %q from a forwarder", kind)
	return nil
}

func (l *scriptLine) handshake() *message.Handshake {
	l.t.Helper()
	version := ownVersion + 1
	if l.args["version"] != "" {
		version = l.number("version")
	}
	return &message.Handshake{Name: l.args["name"], Incarnation: uint64(l.number("incarnation")), Version: version}
}

func (l *scriptLine) status() *message.WorkerStatus {
	l.t.Helper()
	status := &message.WorkerStatus{
		WorkerID: uint64(l.number("worker")), StartedMs: int64(l.number("started")), Revision: int64(l.number("revision")),
	}
	for state := message.WorkerUp; state <= message.WorkerGone; state++ {
		if state.String() == l.args["state"] {
			status.State = state
		}
	}
	return status
}

func (l *scriptLine) result() dispatch.Result {
	return dispatch.Result(max(0, slices.Index(resultNames[:], l.args["result"])))
}

func (l *scriptLine) reason() message.RejectReason {
	for reason := range message.ReasonCount {
		if l.args["reason"] != "" && strings.ReplaceAll(reason.String(), " ", "-") == l.args["reason"] {
			return reason
		}
	}
	return message.ReasonNone
}

// summary parses arguments such as "class=1 waited=20ms w1:sent=20ms,connection-reset", with one attempt at worker 1.
func (l *scriptLine) summary() message.RequestSummary {
	l.t.Helper()
	waited := l.duration("waited")
	summary := message.RequestSummary{
		Class: l.number("class"), Tenant: l.number("tenant"), Remaining: 3*time.Second - waited, Waited: waited,
		Hint: 100 * ms, Slots: 1, Transfers: l.number("transfers"),
	}
	for _, word := range l.words[2:] {
		if worker, state, ok := strings.Cut(word, ":"); ok {
			summary.Attempts = append(summary.Attempts, l.pastAttempt(worker, strings.Split(state, ",")))
		}
	}
	return summary
}

func (l *scriptLine) pastAttempt(worker string, words []string) message.PastAttempt {
	l.t.Helper()
	past := message.PastAttempt{WorkerID: uint64(l.parseNumber(strings.TrimPrefix(worker, "w"))), PossiblyExecuted: true}
	for _, word := range words {
		switch name, value, _ := strings.Cut(word, "="); name {
		case "sent":
			past.SentAgo = l.parseDuration(value)
		case "started":
			past.StartedAgo = l.parseDuration(value)
		case "possibly-executed", "not-executed": // according to the forwarder's records, independent of the result
			past.PossiblyExecuted = word == "possibly-executed"
		default:
			past.Ended = true
			past.Result = dispatch.Result(slices.Index(resultNames[:], word))
			past.PossiblyExecuted = !provesNotExecuted(past.Result)
		}
	}
	return past
}
