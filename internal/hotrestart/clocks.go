package hotrestart

import (
	"time"

	"valvecove/internal/requests"
)

const (
	// maxMessageDelay is how long after it was sent a TransferBegin may be read. A transfer takes less.
	maxMessageDelay = time.Second

	// clockPrecision is the least difference of two processes' clocks that counts: the clocks of one process are read some
	// microseconds apart.
	clockPrecision = time.Millisecond
)

// ClockReadings are the clocks of a process, read at one moment. The clock that its instants are of counts from the Unix
// epoch by what the wall clock said when the process started; the monotonic clock is the same for all processes of a machine.
// From the two follows by how much the wall clock was stepped between the starts of two processes.
type ClockReadings struct {
	Clock     time.Duration `json:"Clock"`     // that the process's instants are of
	Monotonic time.Duration `json:"Monotonic"` // since the machine started; 0: not known
}

// AheadOf returns by how much the clock of the process that has read its clocks now is ahead of that of its predecessor, whose
// readings have just come. Builds before these readings were sent have none; they count as right.
func (r ClockReadings) AheadOf(predecessor ClockReadings) time.Duration {
	if predecessor == (ClockReadings{}) {
		return 0
	}
	passed := r.Monotonic - predecessor.Monotonic
	if passed < 0 || passed > maxMessageDelay { // not the same monotonic clock, as across time namespaces
		passed = 0
	}
	ahead := r.Clock - predecessor.Clock - passed
	if ahead.Abs() < clockPrecision {
		return 0
	}
	return ahead
}

// moveClock has all instants of the request table and the connections be of a clock that is ahead of the one that they were
// of. The policy's snapshot stays as it is: see ReceivedState.ClockAhead.
func (s *ReceivedState) moveClock(ahead time.Duration) {
	s.RequestTable = s.RequestTable.OnClock(ahead)
	for i := range s.OpenRequests {
		s.OpenRequests[i] = s.OpenRequests[i].OnClock(ahead)
	}
	for i := range s.ClientConnections {
		s.ClientConnections[i].LastActivity = requests.MoveInstant(s.ClientConnections[i].LastActivity, ahead)
	}
	for i := range s.WorkerConnections {
		s.WorkerConnections[i].IdleSince = requests.MoveInstant(s.WorkerConnections[i].IdleSince, ahead)
	}
}
