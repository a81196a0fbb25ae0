package fleet

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"

	"golang.org/x/sys/unix"
)

// process is a child process of a measurement.
type process struct {
	*exec.Cmd
	exited chan struct{}  // closed once it has ended
	stdin  io.WriteCloser // nil without pipes
	stdout io.ReadCloser  // nil without pipes
}

// startProcess starts a process on the cores given. It has to be called from a goroutine that is locked to its thread: the
// kernel kills the child when that thread ends.
func startProcess(command *exec.Cmd, cores []int) (*process, error) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	var previous unix.CPUSet
	if err := unix.SchedGetaffinity(0, &previous); err != nil {
		return nil, fmt.Errorf("cores: %w", err)
	}
	// The child inherits the affinity of this thread. If it were set once the child runs, it would miss those of its threads
	// that had started by then.
	if err := setAffinity(cores...); err != nil {
		return nil, err
	}
	err := command.Start()
	if err := errors.Join(err, unix.SchedSetaffinity(0, &previous)); err != nil {
		return nil, err
	}
	started := &process{Cmd: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(started.exited)
	}()
	return started, nil
}

// startPiped is startProcess with pipes to the process's standard input and from its standard output.
func startPiped(command *exec.Cmd, cores []int) (*process, error) {
	childStdin, stdin, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer func() { _ = childStdin.Close() }()
	stdout, childStdout, err := os.Pipe()
	if err != nil {
		_ = stdin.Close()
		return nil, err
	}
	defer func() { _ = childStdout.Close() }()
	command.Stdin, command.Stdout = childStdin, childStdout
	started, err := startProcess(command, cores)
	if err != nil {
		_, _ = stdin.Close(), stdout.Close()
		return nil, err
	}
	started.stdin, started.stdout = stdin, stdout
	return started, nil
}

// kill ends the process and waits until it has ended. It does nothing for a nil process.
func (p *process) kill() {
	if p == nil {
		return
	}
	if p.stdin != nil {
		_ = p.stdin.Close()
	}
	_ = p.Process.Kill()
	<-p.exited
	if p.stdout != nil {
		_ = p.stdout.Close()
	}
}
