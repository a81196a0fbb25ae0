package validator

import (
	"slices"

	"valvecove/internal/control/message"
)

// Assign makes a session, or the local policy (LocalEpoch), the owner of a request. Only the owner's commands for it are
// valid. The owner counts the attempts before from 0, and its own send commands after them.
func (v *Validator) Assign(id uint64, owner message.Epoch) {
	request := v.requests[id]
	if request == nil {
		return
	}
	request.assigned = true
	request.owner = owner
	request.nextCommand = len(request.attempts)
	for i := range request.attempts {
		request.attempts[i].commandNumber = i
	}
}

// Unassign removes the owner of a request.
func (v *Validator) Unassign(id uint64) {
	if request := v.requests[id]; request != nil {
		request.assigned = false
	}
}

// CommandNumber converts the request table's number of an attempt to the owner's. It returns false if there is none.
func (v *Validator) CommandNumber(id uint64, index int) (number int, ok bool) {
	request := v.requests[id]
	if request == nil || index < 0 || index >= len(request.attempts) {
		return 0, false
	}
	return request.attempts[index].commandNumber, true
}

// NextCommandNumber returns the lowest valid number of the owner's next send command.
func (v *Validator) NextCommandNumber(id uint64) int {
	if request := v.requests[id]; request != nil {
		return request.nextCommand
	}
	return 0
}

// AttemptIndex converts the owner's number of an attempt to the request table's. It returns false if it was not sent.
func (v *Validator) AttemptIndex(id uint64, commandNumber int) (index int, ok bool) {
	request := v.requests[id]
	if request == nil {
		return 0, false
	}
	index = slices.IndexFunc(request.attempts, func(attempt attemptRecord) bool { return attempt.commandNumber == commandNumber })
	if index < 0 {
		return 0, false
	}
	return index, true
}
