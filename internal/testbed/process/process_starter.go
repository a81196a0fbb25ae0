package process

import (
	"errors"
	"fmt"
	"os/exec"
	"runtime"
	"sync"

	"golang.org/x/sys/unix"
)

// starter starts all processes from one thread that lives as long as the run. The processes have a parent-death signal,
// which the kernel sends when the thread that started them ends, not only when the testbed does.
type starter struct {
	commands chan func()
	running  sync.WaitGroup
}

func (s *starter) run() {
	s.running.Go(func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for do := range s.commands {
			do()
		}
	})
}

func (s *starter) close() {
	close(s.commands)
	s.running.Wait()
}

// start starts a command on a core, or on any core if the number is below 0.
func (s *starter) start(command *exec.Cmd, core int) error {
	done := make(chan error)
	s.commands <- func() {
		if core < 0 {
			done <- command.Start()
			return
		}
		// The process inherits the affinity of this thread. If it were set once the process runs, it would miss those of
		// its threads that had started by then.
		var all, one unix.CPUSet
		if err := unix.SchedGetaffinity(0, &all); err != nil {
			done <- fmt.Errorf("cores: %w", err)
			return
		}
		one.Set(core)
		if err := unix.SchedSetaffinity(0, &one); err != nil {
			done <- fmt.Errorf("core %d: %w", core, err)
			return
		}
		err := command.Start()
		done <- errors.Join(err, unix.SchedSetaffinity(0, &all))
	}
	return <-done
}
