package process

import (
	"errors"
	"fmt"
	"os/exec"
	"runtime"
	"sync"

	"golang.org/x/sys/unix"
)

// This file holds the thread that starts processes, each on its own core.

// starter starts processes, all from one thread that lives as long as the run: a process that is to die with its
// parent dies with the thread that it was started from.
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

// start starts a command on a core (below 0: any).
func (s *starter) start(command *exec.Cmd, core int) error {
	done := make(chan error)
	s.commands <- func() {
		if core < 0 {
			done <- command.Start()
			return
		}
		// Set for this thread it is inherited; set for the process once that runs, some of its threads would miss it.
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
