package validator

import (
	"slices"

	"valvecove/internal/control/message"
)

// Assign makes a session, or the local policy, the owner of a request, which alone may decide on it. The owner's send
// commands are numbered after the attempts that there have been.
func (v *Validator) Assign(id uint64, owner message.Epoch) {
	req := v.requests[id]
	if req == nil {
		return
	}
	req.assigned = true
	req.owner = owner
	req.nextCommand = len(req.attempts)
	for i := range req.attempts {
		req.attempts[i].commandNumber = i
	}
}

// Unassign leaves a request without an owner.
func (v *Validator) Unassign(id uint64) {
	if req := v.requests[id]; req != nil {
		req.assigned = false
	}
}

// CommandNumber returns the owner's number of an attempt, by the request table's number.
func (v *Validator) CommandNumber(id uint64, index int) (number int, ok bool) {
	req := v.requests[id]
	if req == nil || index < 0 || index >= len(req.attempts) {
		return 0, false
	}
	return req.attempts[index].commandNumber, true
}

// NextCommandNumber returns the least number of the owner's next send command.
func (v *Validator) NextCommandNumber(id uint64) int {
	if req := v.requests[id]; req != nil {
		return req.nextCommand
	}
	return 0
}

// AttemptIndex returns the request table's number of an attempt, by the owner's number; not ok: it was never sent.
func (v *Validator) AttemptIndex(id uint64, commandNumber int) (index int, ok bool) {
	req := v.requests[id]
	if req == nil {
		return 0, false
	}
	index = slices.IndexFunc(req.attempts, func(a attempt) bool { return a.commandNumber == commandNumber })
	if index < 0 {
		return 0, false
	}
	return index, true
}
