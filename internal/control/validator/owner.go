package validator

import (
	"slices"

	"valvecove/internal/control/message"
)

// Assign makes a session, or the local policy (LocalEpoch), the owner of a request. Only the owner's commands for the request
// are valid. The owner numbers the request's existing attempts from 0, and continues with its own send commands.
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

// CommandNumber converts the request table's index of an attempt to the owner's number of it. It returns false if there is no
// such attempt.
func (v *Validator) CommandNumber(id uint64, index int) (number int, ok bool) {
	request := v.requests[id]
	if request == nil || index < 0 || index >= len(request.attempts) {
		return 0, false
	}
	return request.attempts[index].commandNumber, true
}

// NextCommandNumber returns the lowest number that is valid for the owner's next send command.
func (v *Validator) NextCommandNumber(id uint64) int {
	if request := v.requests[id]; request != nil {
		return request.nextCommand
	}
	return 0
}

// AttemptIndex converts the owner's number of an attempt to the request table's index of it. It returns false if the attempt was
// not sent.
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
