package validator

import (
	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

var commandKinds = map[string]message.Kind{
	"send":         message.KindSendCommand,
	"reject":       message.KindRejectCommand,
	"fail":         message.KindFailCommand,
	"cancel":       message.KindCancelCommand,
	"transfer":     message.KindTransferCommand,
	"health-check": message.KindHealthCheckCommand,
	"close-idle":   message.KindCloseIdleCommand,
	"handshake":    message.KindHandshake, // a message that is not a command
}

// command parses and validates "VERB eEPOCH [rREQUEST] [#NUMBER] [wWORKER]", and applies it if it is valid.
func (r *scriptRunner) command(verb string, words []string) message.RejectReason {
	kind, ok := commandKinds[verb]
	if !ok {
		r.t.Fatalf("unknown command %q", verb)
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

// anyCommand holds the fields of a command of any kind.
type anyCommand struct {
	kind    message.Kind
	request uint64
	worker  uint64
	attempt int
}

// message returns the command as a message, or a Handshake if kind is not a command.
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

// action returns the action to apply if the command is valid, or nil if there is none.
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
