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
func (s *transcript) applySetting(name string, values []string) {
	switch name {
	case "attempt-limit":
		s.settings.AttemptLimit = s.number(values[0])
	case "hedging":
		s.settings.Hedging = true
	case "cancellation":
		s.settings.Cancellation = true
	case "health-checks":
		s.settings.HealthChecks = true
	case "subscribe":
		s.settings.MustSubscribe = true
		s.settings.PollInterval = time.Second
	case "max-retry-after":
		s.settings.MaxRetryAfter = s.duration(values[0])
	case "class":
		s.settings.Classes = append(s.settings.Classes, s.class(values))
	case "max-waiting":
		s.config.MaxWaiting = s.number(values[0])
	default:
		s.applyPeerSetting(name, values)
	}
}

// applyPeerSetting applies a setting of those that the forwarder has to do with.
func (s *transcript) applyPeerSetting(name string, values []string) {
	switch name {
	case "preferred": // planners, the best one first
		s.selector.planners = values
	case "planners": // that the forwarder knows
		s.knownPlanners = values
	case "planner-version": // MAJOR.MINOR
		major, minor, _ := strings.Cut(values[0], ".")
		s.plannerVersion = s.number(major)<<8 | s.number(minor)
	case "unusable-at":
		s.unusableAt = values[0]
	case "poison":
		s.poison = values[0]
	default:
		s.t.Fatalf("set %s", name)
	}
}

// class returns the class "IDEMPOTENCY [SCOPE] [objective=DURATION] [window=DURATION]".
func (s *transcript) class(values []string) (class dispatch.Class) {
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
			class.LatencyObjective = s.duration(duration)
		case "window":
			class.DeduplicationWindow = s.duration(duration)
		default:
			class.DeduplicationScope = scopes[name]
		}
	}
	return class
}

// perform performs the command of a line.
func (s *transcript) perform(command string, arguments []string) {
	forwarder, table := s.harness.forwarder, s.harness.table
	switch command {
	case "wait", "late": // time passes
	case "list":
		table.UpdateEndpoints(s.endpointList(arguments))
	case "list-lost":
		table.DiscoveryFailed()
	case "planners":
		forwarder.SetPlanners(arguments)
	case "forwarder-index":
		forwarder.SetForwarderIndex(s.number(arguments[0]), s.number(arguments[1]))
	case "connect":
		s.planners[arguments[0]] = &transcriptPlanner{}
		forwarder.SessionChanged(arguments[0], true)
	case "disconnect":
		forwarder.SessionChanged(arguments[0], false)
	case "freeze":
		s.planners[arguments[0]].frozen = true
	case "thaw":
		s.planners[arguments[0]].frozen = false
		s.replyToHeartbeats(arguments[0])
	default:
		s.performForRequest(command, arguments)
	}
}

// performForRequest performs a command of a client or a worker, or else has a planner send a message.
func (s *transcript) performForRequest(command string, arguments []string) {
	switch command {
	case "arrive": // REQUEST CLASS REMAINING
		job := dispatch.Job{Class: s.number(arguments[1]), Remaining: s.duration(arguments[2]), Slots: 1}
		s.clients[arguments[0]] = s.harness.admit(arguments[0], job)
	case "client-disconnect": // REQUEST
		s.harness.table.ClientDisconnected(s.clients[arguments[0]].request)
	case "callback": // WORKER STATE REQUEST
		s.callback(arguments[0], arguments[1], arguments[2])
	case "end": // REQUEST WORKER connection-lost|invalid
		s.endAttempt(s.attempts[arguments[0]+" "+arguments[1]], arguments[2])
	default:
		s.plannerSends(command, arguments)
	}
}

func (s *transcript) callback(worker, state, request string) {
	callback := requests.Callback{CallID: request, EndpointID: worker, State: state, Result: new(string)}
	if state == callbackRunning {
		callback.Progress = 0.5
	}
	if _, err := s.harness.table.HandleCallback(callback); err != nil {
		s.t.Fatal(err)
	}
}

func (s *transcript) endAttempt(attempt *requests.Attempt, reason string) {
	attemptError := &requests.AttemptError{}
	switch reason {
	case "connection-lost":
		attemptError.Stage = requests.StageWritten
		attemptError.Reason = requests.ReasonConnectionLost
	case "invalid":
		attemptError.Reason = requests.ReasonInvalidRequest
	default:
		s.t.Fatalf("end %s", reason)
	}
	s.harness.table.EndAttempt(attempt, nil, attemptError)
}

// endpointList returns the list "full|delta REVISION WORKER [draining|removed] [start=DURATION] [cell=NUMBER] ...".
func (s *transcript) endpointList(arguments []string) requests.EndpointList {
	list := requests.EndpointList{Reset: arguments[0] == "full", Revision: int64(s.number(arguments[1]))}
	for _, argument := range arguments[2:] {
		last := len(list.Endpoints) - 1
		switch name, value, _ := strings.Cut(argument, "="); name {
		case "draining", "removed":
			list.Endpoints[last].Lifecycle = name
		case "start":
			list.Endpoints[last].StartedAtMs = s.duration(value).Milliseconds()
		case "cell":
			list.Endpoints[last].Cell = s.number(value)
		default:
			s.workerNames[workerID(name)] = name
			endpoint := requests.Endpoint{ID: name, Addr: "a", Lifecycle: "up", MachineType: "k0", Zone: "z0"}
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// plannerSends has a planner send a message "KIND ARGUMENTS...", in its newest session or, with @s1, in another.
func (s *transcript) plannerSends(planner string, arguments []string) {
	sender := s.planners[planner]
	if sender == nil {
		s.t.Fatalf("unknown command %s %v", planner, arguments)
	}
	epoch := sender.epoch
	var values []string
	for _, argument := range arguments[1:] {
		if argument[0] == '@' {
			epoch = s.epochs[s.number(argument)-1]
		} else {
			values = append(values, argument)
		}
	}
	body := s.parseMessage(arguments[0], s.parseArguments(values))
	if body == nil {
		s.t.Fatalf("%s %v", planner, arguments)
	}
	s.receive(planner, epoch, body)
}

// messageArguments are the arguments of a message in a script: "q1 #0 w2 80ms", say.
type messageArguments struct {
	request uint64
	attempt int
	worker  uint64
	values  []string
}

func (s *transcript) parseArguments(arguments []string) (parsed messageArguments) {
	for _, argument := range arguments {
		switch argument[0] {
		case '#':
			parsed.attempt = s.number(argument)
		case 'q':
			parsed.request = uint64(s.number(argument))
		case 'w':
			parsed.worker = workerID(argument)
		default:
			parsed.values = append(parsed.values, argument)
		}
	}
	return parsed
}

// parseMessage returns a message by the name of its kind; nil: there is none of that name.
func (s *transcript) parseMessage(kind string, args messageArguments) message.Message {
	switch kind {
	case "handshake-accept":
		return &message.HandshakeAccept{Version: s.plannerVersion, Credit: s.optionalNumber(args.values)}
	case "credit-update":
		return &message.CreditUpdate{Credit: s.optionalNumber(args.values)}
	case "heartbeat-reply":
		return &message.HeartbeatReply{}
	case "model-snapshot": // AGE DATA
		return &message.ModelSnapshot{Age: s.duration(args.values[0]), Data: []byte(args.values[1])}
	case "goodbye":
		return &message.Goodbye{}
	case "worker-status": // WORKER START REVISION STATE
		return s.workerStatus(args)
	case "handshake":
		return &message.Handshake{Version: s.plannerVersion}
	case "load-report":
		return &message.LoadReport{}
	}
	if command := s.parseCommand(kind, args); command != nil {
		return command
	}
	return nil
}

// parseCommand returns a command by the name of its kind; nil: there is none of that name.
func (s *transcript) parseCommand(kind string, args messageArguments) message.Command {
	switch kind {
	case "send":
		return &message.SendCommand{
			RequestID: args.request,
			Attempt:   args.attempt,
			WorkerID:  args.worker,
			Timeout:   s.optionalDuration(args.values),
		}
	case "reject":
		return &message.RejectCommand{RequestID: args.request, RetryAfter: s.optionalDuration(args.values)}
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

func (s *transcript) workerStatus(args messageArguments) message.Message {
	states := map[string]message.WorkerState{
		"up":       message.WorkerUp,
		"draining": message.WorkerDraining,
		"gone":     message.WorkerGone,
	}
	return &message.WorkerStatus{
		WorkerID:  args.worker,
		StartedMs: s.duration(args.values[0]).Milliseconds(),
		Revision:  int64(s.number(args.values[1])),
		State:     states[args.values[2]],
	}
}

func (s *transcript) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return duration
}

// optionalDuration returns the first of some arguments; 0: there is none.
func (s *transcript) optionalDuration(arguments []string) time.Duration {
	if len(arguments) == 0 {
		return 0
	}
	return s.duration(arguments[0])
}

// number returns the number of a text such as q1, c0, #2, @s1 or 7.
func (s *transcript) number(text string) int {
	number, err := strconv.Atoi(strings.TrimLeft(text, "qc#s@"))
	if err != nil {
		s.t.Fatal(err)
	}
	return number
}

// optionalNumber returns the first of some arguments; 0: there is none.
func (s *transcript) optionalNumber(arguments []string) int {
	if len(arguments) == 0 {
		return 0
	}
	return s.number(arguments[0])
}
