package environment

import "time"

// machine is the hardware that a worker's processes run on. Its state outlasts a process, and is reset when another
// machine replaces it.
type machine struct {
	number          int     // counts the machines of a worker; 0: the first
	coreSpeed       float64 // speed of a core, as drawn; a standard core has 1
	slowFactor      float64 // divides coreSpeed
	errorRate       float64 // share of attempts that end with an error; < 0: that of the worker's kind
	refusesConns    bool
	acceptsSilently bool // connection attempts get no answer
	slowReads       bool // the last byte of a request is read slowReadFor late
	resetBytes      int  // bytes after which a new connection is reset, see setResetBytes
	reportedMode    int  // accept mode that the driver was last notified of
}

// slowReadFor is the delay of the last byte of a request on a machine that reads slowly.
const slowReadFor = time.Second

// newMachine returns a machine without faults.
func newMachine(number int, coreSpeed float64) machine {
	return machine{number: number, coreSpeed: coreSpeed, slowFactor: 1, errorRate: -1}
}

// replacement returns the machine that takes the place of this one.
func (m *machine) replacement(coreSpeed float64) machine {
	next := newMachine(m.number+1, coreSpeed)
	next.reportedMode = m.reportedMode
	return next
}

// speed returns the present speed of a core of a warm process.
func (m *machine) speed() float64 { return m.coreSpeed / m.slowFactor }

// effectiveErrorRate returns the share of attempts that end with an error, given the rate of the worker's kind.
func (m *machine) effectiveErrorRate(kindRate float64) float64 {
	if m.errorRate >= 0 {
		return m.errorRate
	}
	return kindRate
}

// readDelay returns the delay of the last byte of a request.
func (m *machine) readDelay() time.Duration {
	if m.slowReads {
		return slowReadFor
	}
	return 0
}
