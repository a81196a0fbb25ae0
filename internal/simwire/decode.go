package simwire

import (
	"errors"
	"fmt"

	"valvecove/dispatch"
)

// resultsByCode maps the protocol's completion codes to the results of attempts and health checks.
var resultsByCode = map[int64]dispatch.Result{
	200: dispatch.OK,
	410: dispatch.NotSent,
	499: dispatch.Cancelled,
	500: dispatch.Failed,
	502: dispatch.ConnectFailed,
	503: dispatch.WorkerFull,
	504: dispatch.TimedOut,
	598: dispatch.ConnectionReset,
}

// listKinds maps the values of the field kind of a DISCOVERY line.
var listKinds = map[string]dispatch.ListKind{
	"incr":      dispatch.ListDelta,
	"total":     dispatch.ListFull,
	"warm_copy": dispatch.ListCached,
	"lost":      dispatch.ListUnavailable,
}

// Kinds of progress in a PROGRESS line. All others are ignored.
const (
	progressStarted = 1
	progressShare   = 2
)

// decoders maps the first word of a line to the function that decodes the line. DISCOVERY is not included, as it is followed by
// further lines.
var decoders = map[string]func(line *fields) Message{
	"ENLIST":              decodeStart,
	"DETACH":              func(*fields) Message { return Stop{} },
	"REQUEST":             decodeJob,
	"RESOLVED":            decodeOutcome,
	"CHECKED":             decodeHealthCheck,
	"PROGRESS":            decodeProgress,
	"FIRST":               decodeResponseStart,
	"CANCELLED_BY_CLIENT": decodeDisconnect,
	"WAKEUP":              func(*fields) Message { return Event{dispatch.TimerFired{}} },
	"PEER_DATA":           decodePeerDatagram,
}

// decodeInput decodes the line of an event and, for a worker list, the entries that follow it.
func (r *Reader) decodeInput(line string) (Input, error) {
	name, fields := splitLine(line)
	if name == "M" || name == "ROUND" {
		return Input{}, r.unexpectedLine("an event or EOF_BATCH", line)
	}
	input := Input{Instance: int(fields.integer("i", required))}
	if name == "DISCOVERY" {
		list, err := r.readWorkerList(fields)
		input.Message = Event{list}
		return input, err
	}
	decode := decoders[name]
	if decode == nil {
		return input, r.unexpectedLine("an event", line)
	}
	input.Message = decode(fields)
	if fields.err != nil {
		return input, r.lineError(fields.err)
	}
	return input, nil
}

func decodeStart(line *fields) Message {
	return Start{Seed: line.seed("seed"), Settings: line.settings("boot_info")}
}

func decodeJob(line *fields) Message {
	return Event{dispatch.Job{
		ID:        line.id("txn"),
		Class:     int(line.integer("service", required)),
		Tenant:    int(line.integer("client_group", optional)),
		Key:       uint64(line.integer("key", optional)),
		Remaining: line.duration("left", required),
		Hint:      line.duration("effort", optional),
		Slots:     line.number("slots"),
		Memory:    line.number("mem"),
		Retry:     line.flag("retry"),
	}}
}

// attemptID identifies an attempt.
type attemptID struct {
	job     uint64
	attempt int
	worker  uint64
}

func decodeAttemptID(line *fields) attemptID {
	return attemptID{job: line.id("txn"), attempt: int(line.integer("shot", optional)), worker: line.id("worker")}
}

func decodeOutcome(line *fields) Message {
	id := decodeAttemptID(line)
	return Event{dispatch.Outcome{
		Job:     id.job,
		Attempt: id.attempt,
		Worker:  id.worker,
		Result:  line.result("verdict"),
		Closed:  line.flag("terminal"),
		Report:  line.numbers("telemetry"),
	}}
}

func decodeHealthCheck(line *fields) Message {
	return Event{dispatch.HealthChecked{
		Worker: line.id("worker"),
		Result: line.result("verdict"),
		Report: line.numbers("telemetry"),
	}}
}

func decodeProgress(line *fields) Message {
	id := decodeAttemptID(line)
	switch line.integer("what", required) {
	case progressStarted:
		return Event{dispatch.Started{Job: id.job, Attempt: id.attempt, Worker: id.worker}}
	case progressShare:
		share := line.number("level")
		return Event{dispatch.Progressed{Job: id.job, Attempt: id.attempt, Worker: id.worker, Share: share}}
	default:
		return Ignored{}
	}
}

func decodeResponseStart(line *fields) Message {
	id := decodeAttemptID(line)
	return Event{dispatch.ResponseStarted{Job: id.job, Attempt: id.attempt, Worker: id.worker}}
}

func decodeDisconnect(line *fields) Message {
	return Event{dispatch.ClientDisconnected{Job: line.id("txn")}}
}

// readWorkerList decodes a DISCOVERY line and the lines of its entries.
func (r *Reader) readWorkerList(line *fields) (dispatch.WorkerList, error) {
	kind, ok := listKinds[line.text("kind")]
	if !ok {
		line.fail("kind", "incr, total, warm_copy or lost", line.text("kind"))
	}
	entryCount := line.integer("rows", optional)
	if line.err != nil {
		return dispatch.WorkerList{}, r.lineError(line.err)
	}
	workers, err := r.readWorkers(entryCount)
	return dispatch.WorkerList{Kind: kind, Workers: workers}, err
}

func (r *Reader) readWorkers(entryCount int64) ([]dispatch.Worker, error) {
	var workers []dispatch.Worker
	for n := range entryCount {
		expected := fmt.Sprintf("entry %d of %d", n+1, entryCount)
		line, err := r.nextLine()
		if errors.Is(err, errEndOfInput) {
			return nil, r.endOfInputError(expected)
		}
		if err != nil {
			return nil, err
		}
		name, fields := splitLine(line)
		if name != "M" {
			return nil, r.unexpectedLine(expected, line)
		}
		worker := decodeWorker(fields)
		if fields.err != nil {
			return nil, r.lineError(fields.err)
		}
		workers = append(workers, worker)
	}
	return workers, nil
}

func decodeWorker(line *fields) dispatch.Worker {
	worker := dispatch.Worker{
		ID:     line.id("worker"),
		Kind:   int(line.integer("model", optional)),
		Size:   line.number("power_hint"),
		Cell:   int(line.integer("cohort", optional)),
		Zone:   int(line.integer("dc", optional)),
		BootAt: line.duration("boot_time", optional),
	}
	switch state := line.text("state"); state {
	case "Ready":
		worker.Ready = true
	case "Terminating":
	case "Gone":
		worker.Removed = true
	default:
		line.fail("state", "Ready, Terminating or Gone", state)
	}
	return worker
}

func decodePeerDatagram(line *fields) Message {
	return PeerDatagram{From: int(line.integer("src", required)), Payload: line.bytes("payload")}
}
