package fleet

import (
	"strings"
	"testing"
)

// The error of a rig that is too large has the number of workers that would be possible.
func TestPlanDescriptorsNamesTheLimit(t *testing.T) {
	for _, n := range []int{1 << 20, maxWorkers + 1} {
		if _, err := NewRig(Spec{Workers: n}); err == nil || !strings.Contains(err.Error(), "allows up to") {
			t.Errorf("%d workers: %v", n, err)
		}
	}
	if got := (descriptorPlan{limit: 20_000}).workerLimit(200); got != 6439 {
		t.Errorf("up to %d workers with 20,000 descriptors and 200 clients, want 6439", got)
	}
}
