package hotrestart

import "fmt"

// SuccessorState is where an heir stands with its elder.
type SuccessorState int

// The stands of an heir.
const (
	SuccessorJoining   SuccessorState = iota // it has said hello
	SuccessorStandby                         // it may take over: the elder serves
	SuccessorReceiving                       // all that the elder has is coming
	SuccessorServing                         // it is the owner
	SuccessorRejected                        // the elder does not want it
)

// Action is what an heir is to do next.
type Action int

// The steps.
const (
	ActionApply      Action = iota // take the frame in
	ActionTakeOver                 // all has come: say that it is taken, and then own it
	ActionServeAlone               // the elder has gone: what came of its goods is void, serve without them
	ActionGiveUp                   // the elder does not want an heir: end
	ActionReconnect                // the talk has broken off: what came is void, and the elder, if it can be reached, is asked anew
	ActionNone                     // the talk is over, and nothing hangs on it
)

// maxSessions is how often an heir asks at most. An elder that goes on living keeps what it has, and two that serve side by
// side would get each other's call-backs.
const maxSessions = 3

// Successor decides, by what comes on the channel, who is the owner. Until it has been given all, it owns nothing; what has come
// in part is void if no more comes, as the elder then still has it, or has died with it.
type Successor struct {
	state          SuccessorState
	sessionsLost   int // that have broken off
	framesReceived int
	snapshotSize   int
}

// State tells where it stands.
func (h *Successor) State() SuccessorState { return h.state }

// HandleFrame takes in a frame. An error ends the talk like its end does.
func (h *Successor) HandleFrame(f Frame) (Action, error) {
	switch {
	case h.state == SuccessorJoining && f.Kind == KindAccept:
		var w Accept
		if err := f.Decode(&w); err != nil {
			return ActionApply, err
		}
		if w.Version != ProtocolVersion {
			return ActionApply, fmt.Errorf("the elder speaks form %d, expected %d", w.Version, ProtocolVersion)
		}
		h.state = SuccessorStandby
		return ActionApply, nil
	case h.state == SuccessorJoining && f.Kind == KindReject:
		h.state = SuccessorRejected
		return ActionGiveUp, nil
	case h.state != SuccessorJoining && f.Kind == KindCordonResult, h.state == SuccessorStandby && f.Kind == KindCordonedWorkers, h.state == SuccessorServing && f.Kind == KindSetCordon:
		return ActionApply, nil
	case h.state == SuccessorStandby && f.Kind == KindTransferBegin:
		h.state, h.framesReceived, h.snapshotSize = SuccessorReceiving, 0, 0
		return ActionApply, nil
	case h.state == SuccessorReceiving && f.Kind >= KindSnapshotChunk && f.Kind <= KindWorkerConnection:
		h.framesReceived++
		if f.Kind == KindSnapshotChunk {
			if h.snapshotSize += len(f.Body); h.snapshotSize > MaxSnapshotSize {
				return ActionApply, fmt.Errorf("a module of over %d bytes", MaxSnapshotSize)
			}
		}
		return ActionApply, nil
	case h.state == SuccessorReceiving && f.Kind == KindTransferEnd:
		var e TransferEnd
		if err := f.Decode(&e); err != nil {
			return ActionApply, err
		}
		if e.FrameCount != h.framesReceived {
			return ActionApply, fmt.Errorf("%d frames have come of %d", h.framesReceived, e.FrameCount)
		}
		return ActionTakeOver, nil
	}
	return ActionApply, fmt.Errorf("%v out of turn", f.Kind)
}

// TookOver makes it the owner: it has said so to the elder.
func (h *Successor) TookOver() { h.state = SuccessorServing }

// HandleDisconnect takes in that the channel has ended, or that the elder can't be reached.
func (h *Successor) HandleDisconnect() Action {
	switch h.sessionsLost++; {
	case h.state == SuccessorServing || h.state == SuccessorRejected:
		return ActionNone
	case h.state != SuccessorJoining && h.sessionsLost < maxSessions:
		h.state = SuccessorJoining
		return ActionReconnect
	}
	h.state = SuccessorServing
	return ActionServeAlone
}
