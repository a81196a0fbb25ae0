package process

import (
	"fmt"

	"golang.org/x/sys/unix"

	"valvecove/internal/testbed/scenario"
)

// Descriptors that a run needs: a listener for each worker and scheduler, both ends' worth of what schedulers
// may hold, callbacks, and some of its own.
const reservedDescriptors = 256

func descriptorsNeeded(spec *scenario.Scenario) int {
	s, listens := spec.Schedulers, spec.Schedulers.Count*spec.Fleet.Workers
	return listens + s.Count*s.Sockets + reservedDescriptors
}

// checkDescriptors tells whether this machine can hold a run.
func checkDescriptors(spec *scenario.Scenario) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("limit on descriptors: %w", err)
	}
	if spec.Schedulers.Count < 1 || spec.Fleet.Workers < 1 {
		return fmt.Errorf("a live run needs a scheduler and a worker, %d and %d are given", spec.Schedulers.Count,
			spec.Fleet.Workers)
	}
	if need := descriptorsNeeded(spec); uint64(need) > limit.Cur {
		return fmt.Errorf("%d workers and %d schedulers need %d descriptors live, %d are allowed (ulimit -n); "+
			"virtual time needs none", spec.Fleet.Workers, spec.Schedulers.Count, need, limit.Cur)
	}
	return nil
}
