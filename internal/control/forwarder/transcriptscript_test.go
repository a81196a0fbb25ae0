package forwarder

import (
	"strconv"
	"strings"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/requests"
)

// applySetting applies a line "set NAME VALUE..." of a script.
func (t *transcript) applySetting(name string, values []string) {
	switch name {
	case "attempt-limit":
		t.settings.AttemptLimit = t.number(values[0])
	case "hedging":
		t.settings.Hedging = true
	case "cancellation":
		t.settings.Cancellation = true
	case "health-checks":
		t.settings.HealthChecks = true
	case "subscribe":
		t.settings.MustSubscribe = true
		t.settings.PollInterval = time.Second
	case "max-retry-after":
		t.settings.MaxRetryAfter = t.duration(values[0])
	case "class":
		t.settings.Classes = append(t.settings.Classes, t.class(values))
	case "max-waiting":
		t.config.MaxWaiting = t.number(values[0])
	default:
		t.applyEnvironmentSetting(name, values)
	}
}

// applyEnvironmentSetting applies a setting of the planners, the workers or the local policy.
func (t *transcript) applyEnvironmentSetting(name string, values []string) {
	switch name {
	case "preferred": // planners, the most preferred first
		t.selector.planners = values
	case "planners": // that the forwarder knows
		t.knownPlanners = values
	case "planner-version": // MAJOR.MINOR
		major, minor, _ := strings.Cut(values[0], ".")
		t.plannerVersion = t.number(major)<<8 | t.number(minor)
	case "unusable-at":
		t.unusableAt = values[0]
	case "poison":
		t.poison = values[0]
	default:
		t.test.Fatalf("unknown setting %q", name)
	}
}

// class parses the class "IDEMPOTENCY [SCOPE] [objective=DURATION] [window=DURATION]".
func (t *transcript) class(values []string) (class dispatch.Class) {
	idempotencies := map[string]dispatch.Idempotency{
		"non-idempotent":      dispatch.NonIdempotent,
		"idempotent-with-key": dispatch.IdempotentWithKey,
		"idempotent":          dispatch.Idempotent,
	}
	scopes := map[string]dispatch.DeduplicationScope{
		"cell": dispatch.ScopeCell,
		"zone": dispatch.ScopeZone,
		"all":  dispatch.ScopeAll,
	}
	class.Idempotency = idempotencies[values[0]]
	for _, value := range values[1:] {
		switch name, duration, _ := strings.Cut(value, "="); name {
		case "objective":
			class.LatencyObjective = t.duration(duration)
		case "window":
			class.DeduplicationWindow = t.duration(duration)
		default:
			class.DeduplicationScope = scopes[name]
		}
	}
	return class
}

// perform executes the command of a script line.
func (t *transcript) perform(command string, arguments []string) {
	forwarder, table := t.harness.forwarder, t.harness.table
	switch command {
	case "wait", "late": // only the time advances
	case "list":
		table.UpdateEndpoints(t.endpointList(arguments))
	case "list-lost":
		table.DiscoveryFailed()
	case "planners":
		forwarder.SetPlanners(arguments)
	case "forwarder-index":
		forwarder.SetForwarderIndex(t.number(arguments[0]), t.number(arguments[1]))
	case "connect":
		t.planners[arguments[0]] = &transcriptPlanner{}
		forwarder.ConnectionChanged(arguments[0], true)
	case "disconnect":
		forwarder.ConnectionChanged(arguments[0], false)
	case "freeze":
		t.planners[arguments[0]].frozen = true
	case "thaw":
		t.planners[arguments[0]].frozen = false
		t.replyToHeartbeats(arguments[0])
	default:
		t.performForRequest(command, arguments)
	}
}

// performForRequest executes a command of a client or a worker, or makes a planner send a message.
func (t *transcript) performForRequest(command string, arguments []string) {
	switch command {
	case "arrive": // REQUEST CLASS REMAINING
		job := dispatch.Job{Class: t.number(arguments[1]), Remaining: t.duration(arguments[2]), Slots: 1}
		t.clients[arguments[0]] = t.harness.admit(arguments[0], job)
	case "client-disconnect": // REQUEST
		t.harness.table.ClientDisconnected(t.clients[arguments[0]].request)
	case "callback": // WORKER STATE REQUEST
		t.callback(arguments[0], arguments[1], arguments[2])
	case "end": // REQUEST WORKER connection-lost|invalid
		t.endAttempt(t.attempts[arguments[0]+" "+arguments[1]], arguments[2])
	default:
		t.plannerSends(command, arguments)
	}
}

func (t *transcript) callback(worker, state, request string) {
	callback := requests.Callback{CallID: request, EndpointID: worker, State: state, Result: new(string)}
	if state == callbackRunning {
		callback.Progress = 0.5
	}
	if _, err := t.harness.table.HandleCallback(callback); err != nil {
		t.test.Fatal(err)
	}
}

func (t *transcript) endAttempt(attempt *requests.Attempt, reason string) {
	attemptError := &requests.AttemptError{}
	switch reason {
	case "connection-lost":
		attemptError.Stage = requests.StageWritten
		attemptError.Reason = requests.ReasonConnectionLost
	case "invalid":
		attemptError.Reason = requests.ReasonInvalidRequest
	default:
		t.test.Fatalf("unknown reason %q for the end of an attempt", reason)
	}
	t.harness.table.EndAttempt(attempt, nil, attemptError)
}

// endpointList parses the list "full|delta REVISION WORKER [draining|removed] [start=DURATION] [cell=NUMBER] ...".
func (t *transcript) endpointList(arguments []string) requests.EndpointList {
	list := requests.EndpointList{Reset: arguments[0] == "full", Revision: int64(t.number(arguments[1]))}
	for _, argument := range arguments[2:] {
		last := len(list.Endpoints) - 1
		switch name, value, _ := strings.Cut(argument, "="); name {
		case "draining", "removed":
			list.Endpoints[last].Lifecycle = name
		case "start":
			list.Endpoints[last].StartedAtMs = t.duration(value).Milliseconds()
		case "cell":
			list.Endpoints[last].Cell = t.number(value)
		default:
			t.workerNames[workerID(name)] = name
			endpoint := requests.Endpoint{ID: name, Addr: "a", Lifecycle: "up", MachineType: "k0", Zone: "z0"}
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// plannerSends makes a planner send the message "KIND ARGUMENTS...", in its newest session or, with an argument such as @s1, in
// another session.
func (t *transcript) plannerSends(planner string, arguments []string) {
	sender := t.planners[planner]
	if sender == nil {
		t.test.Fatalf("unknown command or planner %q with arguments %q", planner, arguments)
	}
	epoch := sender.epoch
	var values []string
	for _, argument := range arguments[1:] {
		if argument[0] == '@' {
			epoch = t.epochs[t.number(argument)-1]
		} else {
			values = append(values, argument)
		}
	}
	body := t.parseMessage(arguments[0], t.parseArguments(values))
	if body == nil {
		t.test.Fatalf("%s sends an unknown message: %q", planner, arguments)
	}
	t.receive(planner, epoch, body)
}

// messageArguments holds the parsed arguments of a message in a script, such as "q1 #0 w2 80ms".
type messageArguments struct {
	request uint64
	attempt int
	worker  uint64
	values  []string
}

func (t *transcript) parseArguments(arguments []string) (parsed messageArguments) {
	for _, argument := range arguments {
		switch argument[0] {
		case '#':
			parsed.attempt = t.number(argument)
		case 'q':
			parsed.request = uint64(t.number(argument))
		case 'w':
			parsed.worker = workerID(argument)
		default:
			parsed.values = append(parsed.values, argument)
		}
	}
	return parsed
}

// parseMessage returns a message of the named kind, or nil if there is no such kind.
func (t *transcript) parseMessage(kind string, args messageArguments) message.Message {
	switch kind {
	case "handshake-accept":
		return &message.HandshakeAccept{Version: t.plannerVersion, Credit: t.optionalNumber(args.values)}
	case "credit-update":
		return &message.CreditUpdate{Credit: t.optionalNumber(args.values)}
	case "heartbeat-reply":
		return &message.HeartbeatReply{}
	case "model-snapshot": // AGE DATA
		return &message.ModelSnapshot{Age: t.duration(args.values[0]), Data: []byte(args.values[1])}
	case "goodbye":
		return &message.Goodbye{}
	case "worker-status": // WORKER START REVISION STATE
		return t.workerStatus(args)
	case "handshake":
		return &message.Handshake{Version: t.plannerVersion}
	case "load-report":
		return &message.LoadReport{}
	}
	if command := t.parseCommand(kind, args); command != nil {
		return command
	}
	return nil
}

// parseCommand returns a command of the named kind, or nil if there is no such kind.
func (t *transcript) parseCommand(kind string, args messageArguments) message.Command {
	switch kind {
	case "send":
		return &message.SendCommand{
			RequestID: args.request,
			Attempt:   args.attempt,
			WorkerID:  args.worker,
			Timeout:   t.optionalDuration(args.values),
		}
	case "reject":
		return &message.RejectCommand{RequestID: args.request, RetryAfter: t.optionalDuration(args.values)}
	case "fail":
		return &message.FailCommand{RequestID: args.request}
	case "cancel":
		return &message.CancelCommand{RequestID: args.request, Attempt: args.attempt}
	case "health-check":
		return &message.HealthCheckCommand{WorkerID: args.worker}
	case "close-idle":
		return &message.CloseIdleCommand{WorkerID: args.worker}
	case "transfer":
		return &message.TransferCommand{RequestID: args.request, Planner: strings.Join(args.values, "")}
	}
	return nil
}

func (t *transcript) workerStatus(args messageArguments) message.Message {
	states := map[string]message.WorkerState{
		"up":       message.WorkerUp,
		"draining": message.WorkerDraining,
		"gone":     message.WorkerGone,
	}
	return &message.WorkerStatus{
		WorkerID:  args.worker,
		StartedMs: t.duration(args.values[0]).Milliseconds(),
		Revision:  int64(t.number(args.values[1])),
		State:     states[args.values[2]],
	}
}

func (t *transcript) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.test.Fatal(err)
	}
	return duration
}

// optionalDuration parses the first argument, or returns 0 if there is none.
func (t *transcript) optionalDuration(arguments []string) time.Duration {
	if len(arguments) == 0 {
		return 0
	}
	return t.duration(arguments[0])
}

// number parses the number in a text such as q1, c0, #2, @s1 or 7.
func (t *transcript) number(text string) int {
	number, err := strconv.Atoi(strings.TrimLeft(text, "qc#s@"))
	if err != nil {
		t.test.Fatal(err)
	}
	return number
}

// optionalNumber parses the first argument, or returns 0 if there is none.
func (t *transcript) optionalNumber(arguments []string) int {
	if len(arguments) == 0 {
		return 0
	}
	return t.number(arguments[0])
}
