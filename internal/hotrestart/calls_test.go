package hotrestart

import (
	"fmt"
	"slices"
	"testing"
)

// Each caller is answered once, with the result of its own call, in whatever order results are received.
func TestPendingCalls(t *testing.T) {
	var pending PendingCalls
	var answers []string
	add := func(workerID string, cordoned bool) SetCordon {
		return pending.Add(CordonCall{workerID, cordoned, func(statusCode int, message string) {
			answers = append(answers, fmt.Sprint(workerID, " ", statusCode, " ", message))
		}})
	}
	first, second, third := add("s-0", true), add("s-1", false), add("s-0", false)
	if first != (SetCordon{1, "s-0", true}) || second != (SetCordon{2, "s-1", false}) || third != (SetCordon{3, "s-0", false}) {
		t.Errorf("messages %v, %v, %v", first, second, third)
	}
	pending.Complete(CordonResult{2, 404, "no such worker node"})
	pending.Complete(CordonResult{2, 200, "again"})
	pending.Complete(CordonResult{9, 200, "unknown sequence"})
	if got := pending.Messages(); !slices.Equal(got, []SetCordon{first, third}) {
		t.Errorf("still pending: %v", got)
	}
	pending.Complete(CordonResult{3, 200, "serving"})
	remaining := pending.TakeAll()
	if len(remaining) != 1 || remaining[0].WorkerID != "s-0" || !remaining[0].Cordoned || len(pending.Messages()) != 0 {
		t.Errorf("removed %v, still pending %v", remaining, pending.Messages())
	}
	pending.Complete(CordonResult{1, 200, "out"})
	if want := []string{"s-1 404 no such worker node", "s-0 200 serving"}; !slices.Equal(answers, want) {
		t.Errorf("answers %q, expected %q", answers, want)
	}
	if next := add("s-2", true); next.Sequence != 4 {
		t.Errorf("next sequence number %d, expected 4", next.Sequence)
	}
}
