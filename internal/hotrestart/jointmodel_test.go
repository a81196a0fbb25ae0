package hotrestart

import (
	"strings"
	"testing"
)

// jointState is the state of a predecessor, of its successor and of the connection between them. Messages are kinds of frames, in
// the order in which they were sent.
type jointState struct {
	predecessor   Predecessor
	successor     Successor
	toSuccessor   string // not read yet
	toPredecessor string // not read yet

	isConnected       bool // the successor has not closed the connection, nor seen its end
	closedBySuccessor bool // the predecessor has not seen the end yet
	closedByBoth      bool // the predecessor has closed the connection: what the successor sends is lost
	hasEnded          bool // the predecessor's process has ended
}

// jointStep is a step that one of the processes may take. It reports whether it is possible in a state, and changes the state.
type jointStep struct {
	name string
	take func(state *jointState) (possible bool)
}

var jointSteps = []jointStep{
	{"the successor connects", (*jointState).connect},
	{"the successor finds no process listening", (*jointState).findNone},
	{"the successor reads", (*jointState).readBySuccessor},
	{"the connection breaks at the successor", (*jointState).breakAtSuccessor},
	{"the predecessor reads", (*jointState).readByPredecessor},
	{"the predecessor begins a transfer", (*jointState).beginTransfer},
	{"the connection breaks at the predecessor, or its time is over", (*jointState).breakAtPredecessor},
	{"the predecessor ends", (*jointState).end},
}

func (j *jointState) isListening() bool { return !j.hasEnded && !j.predecessor.HasRelinquished() }

func (j *jointState) connect() bool {
	if j.isConnected || j.successor.State() != SuccessorJoining || !j.isListening() {
		return false
	}
	if j.closedBySuccessor { // the predecessor first handles what it has received on the connection before
		for j.closedBySuccessor {
			j.readByPredecessor()
		}
		if !j.isListening() {
			return true
		}
	}
	if j.predecessor.HandleConnect(true) != nil {
		return false
	}
	j.isConnected, j.closedByBoth = true, false
	j.toSuccessor, j.toPredecessor = "", string(rune(KindHandshake))
	return true
}

func (j *jointState) findNone() bool {
	if j.isConnected || j.successor.State() != SuccessorJoining || j.isListening() {
		return false
	}
	j.successor.HandlePredecessorEnded()
	return true
}

func (j *jointState) readBySuccessor() bool {
	switch {
	case !j.isConnected:
		return false
	case j.toSuccessor != "":
		kind := FrameKind(j.toSuccessor[0])
		j.toSuccessor = j.toSuccessor[1:]
		j.handleBySuccessor(kind)
		return true
	case j.closedByBoth:
		j.disconnectSuccessor()
		return true
	}
	return false
}

// handleBySuccessor handles a message as the successor does.
func (j *jointState) handleBySuccessor(kind FrameKind) {
	action, err := j.successor.HandleMessage(newMessage(kind, 1))
	if err != nil || action == ActionTakeOver && j.closedByBoth { // TakenOver can't be sent
		j.disconnectSuccessor()
		return
	}
	if action == ActionTakeOver {
		j.toPredecessor += string(rune(KindTakenOver))
		j.successor.TookOver()
	}
}

func (j *jointState) disconnectSuccessor() {
	j.isConnected = false
	j.closedBySuccessor = !j.closedByBoth
	j.toSuccessor = ""
	j.successor.HandleDisconnect()
}

func (j *jointState) breakAtSuccessor() bool {
	if !j.isConnected {
		return false
	}
	j.disconnectSuccessor()
	return true
}

func (j *jointState) readByPredecessor() bool {
	switch {
	case j.hasEnded || j.closedByBoth:
		return false
	case j.toPredecessor != "":
		kind := FrameKind(j.toPredecessor[0])
		j.toPredecessor = j.toPredecessor[1:]
		action, err := j.predecessor.HandleMessage(newMessage(kind, 0))
		if err != nil {
			return j.breakAtPredecessor()
		}
		if action == ActionAccept && j.isConnected {
			j.toSuccessor += string(rune(KindAccept))
		}
		return true
	case j.closedBySuccessor:
		j.closedBySuccessor = false
		j.predecessor.HandleDisconnect()
		return true
	}
	return false
}

func (j *jointState) beginTransfer() bool {
	if j.hasEnded || !j.predecessor.BeginTransfer() {
		return false
	}
	if j.isConnected {
		j.toSuccessor += string([]rune{rune(KindTransferBegin), rune(KindRequestTable), rune(KindTransferEnd)})
	}
	return true
}

// breakAtPredecessor ends the connection at the predecessor. It shuts the connection down first, and then reads what the successor
// has sent before; TakenOver is effective.
func (j *jointState) breakAtPredecessor() bool {
	if j.hasEnded || j.predecessor.State() == PredecessorAlone || j.predecessor.State() == PredecessorReplaced {
		return false
	}
	if j.predecessor.State() == PredecessorTransferring && strings.ContainsRune(j.toPredecessor, rune(KindTakenOver)) {
		_, _ = j.predecessor.HandleMessage(TakenOver{})
	}
	j.closedByBoth, j.closedBySuccessor, j.toPredecessor = true, false, ""
	j.predecessor.HandleDisconnect()
	return true
}

func (j *jointState) end() bool {
	if j.hasEnded {
		return false
	}
	j.hasEnded, j.closedByBoth, j.closedBySuccessor, j.toPredecessor = true, true, false, ""
	return true
}

// fault returns what is wrong with a state, or an empty string.
func (j *jointState) fault() string {
	isServing := j.successor.State() == SuccessorServing
	isOwner := !j.hasEnded && !j.predecessor.HasRelinquished()
	isTakenOver := j.predecessor.State() == PredecessorTransferring && strings.ContainsRune(j.toPredecessor, rune(KindTakenOver))
	switch {
	case isServing && isOwner && !isTakenOver: // a predecessor that transfers does nothing before it reads TakenOver
		return "both processes own the state"
	case j.predecessor.HasRelinquished() && !isServing:
		return "no process owns the state"
	case j.successor.State() == SuccessorRejected:
		return "the only successor is rejected"
	}
	return ""
}

// In every state that any steps of both processes lead to, exactly one owns the state, and when the predecessor has ended the
// successor comes to serve. Two owners had payouts that were run answered as failed.
func TestJointStatesHaveOneOwner(t *testing.T) {
	paths := map[jointState]string{{}: ""}
	for queue := []jointState{{}}; len(queue) > 0; queue = queue[1:] {
		state, path := queue[0], paths[queue[0]]
		if fault := state.fault(); fault != "" {
			t.Fatalf("%s after:%s", fault, path)
		}
		hasNext := false
		for _, step := range jointSteps {
			next := state
			if !step.take(&next) {
				continue
			}
			hasNext = true
			if _, seen := paths[next]; !seen {
				paths[next] = path + "\n\t" + step.name
				queue = append(queue, next)
			}
		}
		if !hasNext && state.successor.State() != SuccessorServing {
			t.Fatalf("the successor never serves after:%s", path)
		}
	}
	if len(paths) < 50 {
		t.Errorf("%d states were reached, expected more", len(paths))
	}
	t.Logf("%d states", len(paths))
}
