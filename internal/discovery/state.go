package discovery

import "fmt"

// State is what a watch is doing.
type State uint8

// States, in the order in which a connection passes through them.
const (
	Disconnected      State = iota // no connection, and none is planned
	BackingOff                     // no connection; the next one is planned
	Connecting                     // the connection is not up yet
	AwaitingFirstLine              // it is up, and nothing has been received
	Watching                       // lines are received
)

// IsOpen reports whether there is a connection, be it one that is not up yet.
func (s State) IsOpen() bool { return s >= Connecting }

// String returns the state for logs and tests.
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

// event is what changes the state.
type event uint8

const (
	eventStart        event = iota // the list is to be followed
	eventStop                      // it is to be followed no longer
	eventChangeServer              // by another server from now on
	eventConnect                   // a connection is being opened
	eventConnected                 // it is up
	eventReceived                  // a line has come
	eventEnd                       // the connection has ended
)

// transition changes the state for an event. It reports false, and changes nothing, where the event has no meaning in the
// present state.
func (w *Watch) transition(e event) bool {
	next, valid := w.state.after(e)
	if valid {
		w.state = next
	}
	return valid
}

// after returns the state that follows s on an event.
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

// Action is what the caller is to do.
type Action uint8

// Actions.
const (
	ActionNone    Action = iota
	ActionConnect        // open a connection, and report Connect
	ActionAbort          // close the connection, whose time is up, and report Ended
)

// String returns the action for logs and tests.
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
