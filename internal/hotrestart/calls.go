package hotrestart

import "slices"

// CordonCall is an operator's call to cordon or uncordon a worker.
type CordonCall struct {
	WorkerID string
	Cordoned bool
	// Respond sends the response to the caller. It is called once.
	Respond func(statusCode int, message string)
}

// PendingCalls holds the cordon calls that were forwarded to the other process and have no result yet, in order of arrival. The
// zero value is empty.
type PendingCalls struct {
	lastSequence uint64
	calls        []pendingCall
}

// pendingCall is a call with the sequence number of its SetCordon message.
type pendingCall struct {
	sequence uint64
	CordonCall
}

// message returns the message that forwards the call.
func (p pendingCall) message() SetCordon {
	return SetCordon{Sequence: p.sequence, WorkerID: p.WorkerID, Cordoned: p.Cordoned}
}

// Add appends a call, and returns the message that forwards it.
func (p *PendingCalls) Add(call CordonCall) SetCordon {
	p.lastSequence++
	pending := pendingCall{p.lastSequence, call}
	p.calls = append(p.calls, pending)
	return pending.message()
}

// Messages returns the messages that forward all pending calls again, to another process or in another session.
func (p *PendingCalls) Messages() []SetCordon {
	var messages []SetCordon
	for _, call := range p.calls {
		messages = append(messages, call.message())
	}
	return messages
}

// Complete responds to the call with the sequence number of the result, and removes it. Results may be received in another order
// than the calls: a rejected call has its result immediately, any other call when the file is written. A result without a pending
// call is ignored.
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
