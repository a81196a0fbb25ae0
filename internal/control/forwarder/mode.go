package forwarder

import "fmt"

// mode says whether planners or the local policy decide on requests.
type mode uint8

const (
	modeManaged    mode = iota // planners decide; there is no local policy
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

// modeEvent is what changes the mode.
type modeEvent uint8

const (
	eventPlannersLost    modeEvent = iota // there is no planner, and waiting for one any longer would be too late
	eventPlannersSettled                  // there has been one for Config.SettleTime
	eventLocalFinished                    // the local policy has no requests any more
)

// after returns the mode after an event, or false if the event has no meaning in this mode.
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
