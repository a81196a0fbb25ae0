package fleet

import (
	"strings"
	"testing"
)

// The error of a rig that is too large names the limit.
func TestPlanDescriptorsNamesTheLimit(t *testing.T) {
	for _, n := range []int{1 << 20, maxWorkers + 1} {
		if _, err := NewRig(Spec{Nodes: n}); err == nil || !strings.Contains(err.Error(), "which ends at") {
			t.Errorf("%d worker nodes: %v", n, err)
		}
	}
	if got := (descriptorPlan{limit: 20_000}).workerLimit(200); got != 6439 {
		t.Errorf("%d", got)
	}
}
