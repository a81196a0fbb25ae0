package forwarder

import (
	"slices"
	"time"

	"valvecove/internal/control/message"
)

const (
	maxPlanners = 64
	maxInputs   = 1 << 16 // recorded between two steps
)

// input is something that was recorded for the next step.
type input struct {
	receivedAt time.Duration
	planner    string
	epoch      message.Epoch // of a message
	body       any           // a message.Message, a connectionChange or a plannerNames
}

// connectionChange tells whether a connection has been established, or else lost.
type connectionChange bool

// plannerNames are the names of all known planners, in order.
type plannerNames []string

// Receive records a message of a planner. It keeps nothing that the envelope points to.
func (f *Forwarder) Receive(now time.Duration, planner string, envelope message.Envelope) {
	if len(f.inputs) >= maxInputs {
		// No working planner sends so much between two steps. The session has lost a message and can't be relied on.
		f.stats.Overruns++
		if session := f.findSession(planner); session != nil {
			session.overrun = true
		}
		return
	}
	switch body := envelope.Message.(type) {
	case *message.ModelSnapshot:
		f.keepSnapshot(now, planner, envelope.Epoch, body)
		return
	case *message.Goodbye:
		f.sessionInputsPending = true
	}
	envelope = envelope.Clone()
	f.inputs = append(f.inputs, input{receivedAt: now, planner: planner, epoch: envelope.Epoch, body: envelope.Message})
}

// SessionChanged records that a connection to a planner is established, or lost.
func (f *Forwarder) SessionChanged(planner string, connected bool) {
	f.inputs = append(f.inputs, input{planner: planner, body: connectionChange(connected)})
	f.sessionInputsPending = true
}

// SetPlanners records the names of all known planners. The forwarder is to have a connection to each of them.
func (f *Forwarder) SetPlanners(names []string) {
	names = slices.Clone(names[:min(len(names), maxPlanners)])
	slices.Sort(names)
	f.inputs = append(f.inputs, input{body: plannerNames(slices.Compact(names))})
}

// HasPending reports whether the next Step has inputs to process besides the events of the request table.
func (f *Forwarder) HasPending() bool { return len(f.inputs) > 0 }

// processInputs processes the recorded inputs in their order.
func (f *Forwarder) processInputs() {
	for i := range f.inputs {
		recorded := &f.inputs[i]
		switch body := recorded.body.(type) {
		case message.Message:
			f.receive(recorded, body)
		case connectionChange:
			f.connectionChanged(recorded.planner, bool(body))
		case plannerNames:
			f.plannersChanged(body)
		}
	}
	clear(f.inputs)
	f.inputs = f.inputs[:0]
	f.sessionInputsPending = false
}
