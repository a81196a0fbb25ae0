package forwarder

import (
	"slices"
	"time"

	"valvecove/internal/control/message"
)

// maxInputs is how many inputs are recorded between two steps.
const maxInputs = 1 << 16

// input is an event that was recorded for the next step.
type input struct {
	receivedAt time.Duration
	planner    string
	epoch      message.Epoch // of a message
	body       any           // a message.Message, a connectionChange or a plannerNames
}

// connectionChange is whether a connection was established (true) or lost.
type connectionChange bool

// plannerNames are the names of all known planners, in order.
type plannerNames []string

// inputQueue holds the inputs for the next step in the order in which they were recorded.
type inputQueue struct {
	inputs          []input
	sessionsPending bool // some inputs may start or end a session
}

// isFull reports whether no more messages may be recorded.
func (i *inputQueue) isFull() bool { return len(i.inputs) >= maxInputs }

// mayChangeSessions reports whether some inputs may start or end a session.
func (i *inputQueue) mayChangeSessions() bool { return i.sessionsPending }

// isEmpty reports whether nothing is recorded.
func (i *inputQueue) isEmpty() bool { return len(i.inputs) == 0 }

// addMessage records a message of a planner. It keeps no reference to what the envelope points to.
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

// addNames records the names of all known planners, of which there are at most maxPlanners.
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
