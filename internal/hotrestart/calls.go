package hotrestart

import "slices"

// CordonCall is an operator's call to cordon or uncordon a worker.
type CordonCall struct {
	WorkerID string
	Cordoned bool
	// Respond answers the caller. It is called once.
	Respond func(statusCode int, message string)
}

// PendingCalls are the cordon calls that were forwarded to the other process and are not answered yet, in order.
type PendingCalls struct {
	lastSequence uint64
	calls        []pendingCall
}

type pendingCall struct {
	sequence uint64
	CordonCall
}

func (c pendingCall) message() SetCordon {
	return SetCordon{Sequence: c.sequence, WorkerID: c.WorkerID, Cordoned: c.Cordoned}
}

// Add appends a call, and returns the message that forwards it.
func (p *PendingCalls) Add(call CordonCall) SetCordon {
	p.lastSequence++
	pending := pendingCall{p.lastSequence, call}
	p.calls = append(p.calls, pending)
	return pending.message()
}

// Messages returns the messages that forward all pending calls anew.
func (p *PendingCalls) Messages() []SetCordon {
	var messages []SetCordon
	for _, call := range p.calls {
		messages = append(messages, call.message())
	}
	return messages
}

// Complete answers the call that the result is for, whichever came before it: a call that is rejected has its result at
// once, and one that is carried out only when the file is written. A result for no pending call is ignored.
func (p *PendingCalls) Complete(result CordonResult) {
	i := slices.IndexFunc(p.calls, func(call pendingCall) bool { return call.sequence == result.Sequence })
	if i < 0 {
		return
	}
	call := p.calls[i]
	p.calls = slices.Delete(p.calls, i, i+1)
	call.Respond(result.StatusCode, result.Message)
}

// TakeAll removes all pending calls and returns them.
func (p *PendingCalls) TakeAll() []CordonCall {
	var calls []CordonCall
	for _, pending := range p.calls {
		calls = append(calls, pending.CordonCall)
	}
	p.calls = nil
	return calls
}
