package forwarder

import (
	"slices"
	"time"

	"valvecove/internal/control/message"
)

// maxInputs limits the messages that are recorded between two steps.
const maxInputs = 1 << 16

// input is a message or a change of the planners, recorded for the next step.
type input struct {
	receivedAt time.Duration
	planner    string
	epoch      message.Epoch // of the message's session; unset if the body is not a message
	body       any           // a message.Message, a connectionChange or a plannerNames
}

// connectionChange reports whether a connection was established (true) or lost (false).
type connectionChange bool

// plannerNames holds the names of all known planners, sorted.
type plannerNames []string

// inputQueue holds the inputs for the next step in the order in which they were recorded.
type inputQueue struct {
	inputs          []input
	sessionsPending bool // whether some of the inputs may start or end a session
}

// isFull reports whether the limit of recorded inputs is reached.
func (i *inputQueue) isFull() bool { return len(i.inputs) >= maxInputs }

// mayChangeSessions reports whether some inputs may start or end a session.
func (i *inputQueue) mayChangeSessions() bool { return i.sessionsPending }

// isEmpty reports whether nothing is recorded.
func (i *inputQueue) isEmpty() bool { return len(i.inputs) == 0 }

// addMessage records a message from a planner. It keeps no reference to what the envelope points to.
func (i *inputQueue) addMessage(now time.Duration, planner string, envelope message.Envelope) {
	if _, isGoodbye := envelope.Message.(*message.Goodbye); isGoodbye {
		i.sessionsPending = true
	}
	envelope = envelope.Clone()
	i.inputs = append(i.inputs, input{receivedAt: now, planner: planner, epoch: envelope.Epoch, body: envelope.Message})
}

// addConnection records a change of the connection to a planner.
func (i *inputQueue) addConnection(planner string, change connectionChange) {
	i.inputs = append(i.inputs, input{planner: planner, body: change})
	i.sessionsPending = true
}

// addNames records the names of all known planners, up to maxPlanners of them.
func (i *inputQueue) addNames(names []string) {
	names = slices.Clone(names[:min(len(names), maxPlanners)])
	slices.Sort(names)
	i.inputs = append(i.inputs, input{body: plannerNames(slices.Compact(names))})
}

// all returns the recorded inputs. The slice is valid until the next add or clear.
func (i *inputQueue) all() []input { return i.inputs }

// clear removes the recorded inputs.
func (i *inputQueue) clear() {
	clear(i.inputs)
	i.inputs = i.inputs[:0]
	i.sessionsPending = false
}
