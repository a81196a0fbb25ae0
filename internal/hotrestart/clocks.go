package hotrestart

import (
	"time"

	"valvecove/internal/requests"
)

const (
	// maxMessageDelay is the maximum time between sending and reading a TransferBegin. A complete transfer takes less.
	maxMessageDelay = time.Second

	// clockPrecision is the minimum difference between the clocks of two processes that is corrected. Smaller ones are
	// measurement errors, as a process reads its two clocks some microseconds apart.
	clockPrecision = time.Millisecond
)

// ClockReadings contains readings of two clocks at the same time. The process's clock is the wall clock at the process's start
// plus the time since then; the monotonic clock is the same for all processes of a machine. The readings of two processes show
// how much the wall clock was stepped between their starts.
type ClockReadings struct {
	Clock     time.Duration `json:"Clock"`     // the process's clock, since the Unix epoch
	Monotonic time.Duration `json:"Monotonic"` // since the start of the machine; 0: not known
}

// AheadOf returns how far the process's clock is ahead of that of its predecessor, whose readings have just been received. c are
// the readings of this process, taken now. It returns 0 if the predecessor's build sends no readings.
func (c ClockReadings) AheadOf(predecessor ClockReadings) time.Duration {
	if predecessor == (ClockReadings{}) {
		return 0
	}
	passed := c.Monotonic - predecessor.Monotonic
	if passed < 0 || passed > maxMessageDelay { // not the same monotonic clock, for example in another time namespace
		passed = 0
	}
	ahead := c.Clock - predecessor.Clock - passed
	if ahead.Abs() < clockPrecision {
		return 0
	}
	return ahead
}

// moveClock converts all instants of the request table and the connections to a clock that is ahead by the given difference. The
// policy's snapshot is not changed; see ReceivedState.ClockAhead.
func (r *ReceivedState) moveClock(ahead time.Duration) {
	r.RequestTable = r.RequestTable.OnClock(ahead)
	for i := range r.OpenRequests {
		r.OpenRequests[i] = r.OpenRequests[i].OnClock(ahead)
	}
	for i := range r.ClientConnections {
		connection := &r.ClientConnections[i]
		connection.LastActivity = requests.ShiftInstant(connection.LastActivity, ahead)
		for j := range connection.InputArrivals {
			connection.InputArrivals[j].At = requests.ShiftInstant(connection.InputArrivals[j].At, ahead)
		}
	}
	for i := range r.WorkerConnections {
		connection := &r.WorkerConnections[i]
		connection.IdleSince = requests.ShiftInstant(connection.IdleSince, ahead)
		connection.WriteDeadline = requests.ShiftInstant(connection.WriteDeadline, ahead)
	}
}
