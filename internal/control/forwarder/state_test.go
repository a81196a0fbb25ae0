package forwarder

import (
	"fmt"
	"strings"
	"testing"
)

// transitions lists the transitions of a state machine, one line "from: event to, event to" per state.
func transitions[S fmt.Stringer, E ~uint8](states []S, events int, after func(S, E) (S, bool)) []string {
	var lines []string
	for _, from := range states {
		var parts []string
		for event := range events {
			if to, valid := after(from, E(event)); valid {
				parts = append(parts, fmt.Sprintf("%d %v", event, to))
			}
		}
		lines = append(lines, fmt.Sprintf("%v: %s", from, strings.Join(parts, ", ")))
	}
	return lines
}

func checkTransitions(t *testing.T, got []string, want ...string) {
	t.Helper()
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Events that are not valid in a state, and unknown events, leave the state unchanged.
func TestTransitions(t *testing.T) {
	const unknownEvents = 2
	t.Run("session", func(t *testing.T) {
		states := []sessionState{sessionNone, sessionHandshaking, sessionActive, sessionDraining}
		checkTransitions(t, transitions(states, int(eventSessionEnded)+unknownEvents, sessionState.after),
			"none: 0 handshaking",
			"handshaking: 1 active, 3 none",
			"active: 2 draining, 3 none",
			"draining: 3 none")
	})
	t.Run("heartbeat", func(t *testing.T) {
		states := []heartbeatState{heartbeatIdle, heartbeatAwaiting, heartbeatOverdue}
		checkTransitions(t, transitions(states, int(eventReplyReceived)+unknownEvents, heartbeatState.after),
			"idle: 0 awaiting",
			"awaiting: 1 overdue, 2 idle",
			"overdue: 2 idle")
	})
	t.Run("request", func(t *testing.T) {
		states := []requestState{requestWaiting, requestOffered, requestLocal, requestClosed}
		checkTransitions(t, transitions(states, int(eventClosed)+unknownEvents, requestState.after),
			"waiting: 0 offered, 1 local, 3 closed",
			"offered: 2 waiting, 3 closed",
			"local: 2 waiting, 3 closed",
			"closed: ")
	})
	t.Run("mode", func(t *testing.T) {
		states := []mode{modeManaged, modeStandalone, modeReturning}
		checkTransitions(t, transitions(states, int(eventLocalFinished)+unknownEvents, mode.after),
			"managed: 0 standalone",
			"standalone: 1 returning",
			"returning: 0 standalone, 2 managed")
	})
	t.Run("subscription", func(t *testing.T) {
		states := []subscriptionState{subscriptionNone, subscriptionPending, subscriptionActive}
		checkTransitions(t, transitions(states, int(eventListLost)+unknownEvents, subscriptionState.after),
			"none: 0 pending, 2 none",
			"pending: 1 active, 2 none",
			"active: 2 none")
	})
}

// A log line consists of the message and its attributes. Values that are empty or contain spaces or equals signs are quoted.
func TestLogLine(t *testing.T) {
	for _, test := range []struct {
		attributes []any
		want       string
	}{
		{nil, "message"},
		{[]any{"planner", "p1", "requests", 3}, "message: planner=p1 requests=3"},
		{[]any{"reason", "two words", "empty", "", "equation", "a=b"}, `message: reason="two words" empty="" equation="a=b"`},
	} {
		if got := logLine("message", test.attributes); got != test.want {
			t.Errorf("got %s, want %s", got, test.want)
		}
	}
}
