package discovery

import "fmt"

// State is the state of a Watch.
type State uint8

// States of a Watch, in the order of a successful connection.
const (
	Disconnected      State = iota // no connection, and none is scheduled
	BackingOff                     // no connection; the next one is scheduled
	Connecting                     // the connection is not established yet
	AwaitingFirstLine              // the connection is established, and nothing was received
	Watching                       // at least one line was received
)

// IsOpen reports whether there is a connection, which may not be established yet.
func (s State) IsOpen() bool { return s >= Connecting }

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Disconnected:
		return "disconnected"
	case BackingOff:
		return "backing off"
	case Connecting:
		return "connecting"
	case AwaitingFirstLine:
		return "awaiting the first line"
	case Watching:
		return "watching"
	default:
		return fmt.Sprintf("State(%d)", uint8(s))
	}
}

// event is an event that changes the state.
type event uint8

const (
	eventStart        event = iota // the watch is started or restarted
	eventStop                      // the watch is stopped
	eventChangeServer              // another server is watched from now on
	eventConnect                   // a connection is being opened
	eventConnected                 // the connection is established
	eventReceived                  // a line was received
	eventEnd                       // the connection has ended
)

// transition applies an event to the state. It returns false and changes nothing if the event is not valid in the current state.
func (w *Watch) transition(e event) bool {
	next, valid := w.state.after(e)
	if valid {
		w.state = next
	}
	return valid
}

// after returns the state that follows s after an event, and whether the event is valid in s.
func (s State) after(e event) (next State, valid bool) {
	switch e {
	case eventStart:
		return BackingOff, s == Disconnected
	case eventStop:
		return Disconnected, true
	case eventChangeServer:
		return BackingOff, true
	case eventConnect:
		return Connecting, s == BackingOff
	case eventConnected:
		return AwaitingFirstLine, s == Connecting
	case eventReceived:
		return Watching, s == AwaitingFirstLine || s == Watching
	case eventEnd:
		return BackingOff, s.IsOpen()
	default:
		return s, false
	}
}

// Action is what the caller of a Watch must do.
type Action uint8

// Actions.
const (
	ActionNone    Action = iota
	ActionConnect        // open a connection, and call ConnectStarted
	ActionAbort          // close the connection, which has timed out, and call Ended
)

// String returns the name of the action.
func (a Action) String() string {
	switch a {
	case ActionNone:
		return "none"
	case ActionConnect:
		return "connect"
	case ActionAbort:
		return "abort"
	default:
		return fmt.Sprintf("Action(%d)", uint8(a))
	}
}
