package fleet

import (
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sys/unix"
)

const (
	maxCoreNumber  = 1023 // the highest core number that an affinity mask holds
	maxEngineCores = 4    // cores given to the engines of a rig
)

// allowedCores lists the cores that this thread may run on, in ascending order.
func allowedCores() ([]int, error) {
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &set); err != nil {
		return nil, fmt.Errorf("cores: %w", err)
	}
	var cores []int
	for core := range maxCoreNumber + 1 {
		if set.IsSet(core) {
			cores = append(cores, core)
		}
	}
	return cores, nil
}

// FindCores assigns the cores that this process may use, in the form of Options.Cores: the last one goes to the
// scheduler, and up to four others go to the engines of the rig. Where there are three or more, one is left to
// everything else. It fails where there are fewer than two.
func FindCores() ([]int, error) {
	cores, err := allowedCores()
	if err != nil {
		return nil, err
	}
	if len(cores) < 2 {
		return nil, errors.New("at least two cores are needed: one for the scheduler alone and one for the rig")
	}
	last := len(cores) - 1
	firstEngine := min(1, last-1)
	engines := cores[firstEngine:min(last, maxEngineCores+1)]
	return append(cores[last:], engines...), nil
}

// coresExcept lists the cores that this thread may run on, without the one given.
func coresExcept(excluded int) ([]int, error) {
	cores, err := allowedCores()
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(cores, func(core int) bool { return core == excluded }), nil
}

// setAffinity restricts the calling thread, and the processes it starts from then on, to the cores given.
func setAffinity(cores ...int) error {
	var set unix.CPUSet
	for _, core := range cores {
		set.Set(core)
	}
	if err := unix.SchedSetaffinity(0, &set); err != nil {
		return fmt.Errorf("cores %v: %w", cores, err)
	}
	return nil
}
