// Package simapi is the interface between the testbed's environment and a scheduler under test: what reaches the
// scheduler's sockets and process (Input) and what leaves them (Output). The environment simulates network delays and
// losses.
//
// Both drivers use it. The simulation driver runs the dispatch policy and the request table as a Scheduler; the process
// driver translates the sockets of a real process to Outputs and carries out Inputs on them. A run alternates:
//
//	inputs = environment.Step(now, outputs, inputs[:0])
//	outputs = scheduler.Step(now, inputs, outputs[:0])
//
// All instants are durations since the start of the run. The package reads no clock and has no state.
package simapi

import "time"

// Scheduler is one scheduler under test, over all of its processes.
type Scheduler interface {
	// Step handles the inputs that have reached the scheduler by now, and appends its outputs to dst. It retains neither
	// slice.
	Step(now time.Duration, inputs []Input, dst []Output) []Output
	// Next returns when Step has to be called at the latest. If ok is false, Step has to be called only once there is an
	// input.
	Next() (at time.Duration, ok bool)
}

// Input is a message that reaches the scheduler with index Scheduler. Planners, where a scenario has any, are numbered
// after the schedulers. In messages to the process driver itself, Scheduler has no meaning.
type Input struct {
	Scheduler int
	Message   InputMessage
}

// Output is a message that comes from the scheduler with index Scheduler.
type Output struct {
	Scheduler int
	Message   OutputMessage
}

// Conn identifies a connection; a number is never used twice in a run. The environment numbers the connections of
// clients, the driver of a scheduler those to workers (WorkerConn).
type Conn uint64

// The parts of a Conn to a worker.
const (
	workerConnBit  = 1 << 63
	schedulerShift = 40
)

// WorkerConn returns the n-th connection that a scheduler opens to workers, counted over its restarts.
func WorkerConn(scheduler int, n uint64) Conn {
	return Conn(workerConnBit | uint64(scheduler)<<schedulerShift | n)
}

// IsWorkerConn reports whether the connection leads to a worker; else it is a client's.
func (c Conn) IsWorkerConn() bool { return c&workerConnBit != 0 }
