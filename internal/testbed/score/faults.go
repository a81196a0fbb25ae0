package score

import (
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// Fault is a fault of the scenario, with the times at which it began and ended in the run.
type Fault struct {
	Text string  `json:"text"`
	On   float64 `json:"on"`
	Off  float64 `json:"off"` // -1: it did not end
}

// Mark is something that happened to a scheduler or a worker.
type Mark struct {
	At   float64 `json:"at"`
	Text string  `json:"text"`
}

// MisbehavingCounts counts the connections of the misbehaving clients of a kind.
type MisbehavingCounts struct {
	Kind      string  `json:"kind"`
	Connected int     `json:"connected"`
	Errors    int     `json:"errors"` // were answered with 4xx or 5xx
	Closed    int     `json:"closed"` // were closed without an answer
	Served    int     `json:"served"` // were answered otherwise
	Open      int     `json:"open"`   // were open, without an answer, when the run ended
	MaxWaitMs float64 `json:"longest_ms"`
}

// notEnded is the value of Fault.Off while the fault is active.
const notEnded = -1

// misbehavingConn is an open connection of a misbehaving client.
type misbehavingConn struct {
	kind        int // index in Score.misbehaving
	connectedAt time.Duration
}

func (s *Score) faultStarted(event *trace.Event) {
	if len(s.faults) == maxFaults {
		s.omitted++
		return
	}
	s.faults = append(s.faults, Fault{Text: event.Text, On: s.now.Seconds(), Off: notEnded})
}

// faultEnded ends the first active fault that has the event's text.
func (s *Score) faultEnded(event *trace.Event) {
	for i := range s.faults {
		if fault := &s.faults[i]; fault.Off < 0 && fault.Text == event.Text {
			fault.Off = s.now.Seconds()
			return
		}
	}
}

func (s *Score) addMark(text string) {
	if len(s.marks) == maxMarks {
		s.omitted++
		return
	}
	s.marks = append(s.marks, Mark{At: s.now.Seconds(), Text: text})
}

func (s *Score) misbehavingConnected(event *trace.Event) {
	kind := s.misbehavingKind(event.Text)
	s.misbehaving[kind].Connected++
	if len(s.misbehavingOpen) < maxMisbehaving {
		s.misbehavingOpen[event.Conn] = misbehavingConn{kind, s.now}
	}
}

// misbehavingKind returns the index of the counts of a kind, and adds them if they are missing.
func (s *Score) misbehavingKind(kind string) int {
	for i := range s.misbehaving {
		if s.misbehaving[i].Kind == kind {
			return i
		}
	}
	s.misbehaving = append(s.misbehaving, MisbehavingCounts{Kind: kind})
	return len(s.misbehaving) - 1
}

func (s *Score) misbehavingAnswered(event *trace.Event) {
	conn, isOpen := s.misbehavingOpen[event.Conn]
	if !isOpen {
		return
	}
	delete(s.misbehavingOpen, event.Conn)
	counts := &s.misbehaving[conn.kind]
	switch {
	case event.Status == 0:
		counts.Closed++
	case event.Status >= http.StatusBadRequest:
		counts.Errors++
	default:
		counts.Served++
	}
	counts.MaxWaitMs = max(counts.MaxWaitMs, milliseconds((s.now - conn.connectedAt).Microseconds()))
}
