package forwarder

import "fmt"

// mode is the operating mode of the forwarder: whether planners or the local policy decide on requests.
type mode uint8

const (
	modeManaged    mode = iota // planners decide; the local policy is stopped
	modeStandalone             // the local policy decides
	modeReturning              // planners decide on new requests, the local policy on those that are still assigned to it
)

// String returns the mode's name.
func (m mode) String() string {
	switch m {
	case modeManaged:
		return "managed"
	case modeStandalone:
		return "standalone"
	case modeReturning:
		return "returning"
	default:
		return fmt.Sprintf("mode(%d)", uint8(m))
	}
}

// modeEvent is an event that may change the mode.
type modeEvent uint8

const (
	eventPlannersLost    modeEvent = iota // no planner is available, and requests can't wait for one any longer
	eventPlannersSettled                  // a planner has been available for long enough, see shouldLeave
	eventLocalFinished                    // the local policy has no more requests
)

// after returns the mode after an event, or false if the event is not valid in this mode.
func (m mode) after(event modeEvent) (next mode, valid bool) {
	switch event {
	case eventPlannersLost:
		return modeStandalone, m != modeStandalone
	case eventPlannersSettled:
		return modeReturning, m == modeStandalone
	case eventLocalFinished:
		return modeManaged, m == modeReturning
	default:
		return m, false
	}
}
