package process

import (
	"fmt"

	"golang.org/x/sys/unix"

	"valvecove/internal/testbed/scenario"
)

const reservedDescriptors = 256 // for callbacks and for the driver itself

// descriptorsNeeded returns how many descriptors the testbed needs for a run: a listener for each pair of a worker and a
// scheduler, the far ends of all sockets that the schedulers may hold, and the reserved ones.
func descriptorsNeeded(spec *scenario.Scenario) int {
	s, listens := spec.Schedulers, spec.Schedulers.Count*spec.Fleet.Workers
	return listens + s.Count*s.Sockets + reservedDescriptors
}

// checkDescriptors returns an error if this process may not open enough descriptors for a run.
func checkDescriptors(spec *scenario.Scenario) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("reading the limit on descriptors: %w", err)
	}
	if spec.Schedulers.Count < 1 || spec.Fleet.Workers < 1 {
		return fmt.Errorf("a live run needs at least one scheduler and one worker, not %d and %d", spec.Schedulers.Count,
			spec.Fleet.Workers)
	}
	if need := descriptorsNeeded(spec); uint64(need) > limit.Cur {
		return fmt.Errorf("%d workers and %d schedulers need %d descriptors live, %d are allowed (ulimit -n); "+
			"virtual time needs none", spec.Fleet.Workers, spec.Schedulers.Count, need, limit.Cur)
	}
	return nil
}
