package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/hotrestart"
)

// Files in the state directory whose locks prove ownership. The kernel releases them with the process.
const (
	ownerFileName     = "owner.lock"     // locked by the process that owns the state
	successorFileName = "successor.lock" // locked by a process in standby, until it has the other one
	lockFileMode      = 0o600
)

// lockRetryDelay is the delay before another try to lock a file that another process is about to release.
const lockRetryDelay = time.Millisecond

// ErrOwned is returned while another process owns the state, or is about to take it over.
var ErrOwned = errors.New("another process serves")

// ownership is this process's proof that no other process owns the state. That no process listens for a successor is none: between the
// end of a transfer and the restoration of the state nobody does.
//
// A process that serves holds the lock of the owner. To get it, a process first needs the lock of the successor. A process in standby
// holds that until its predecessor has released the lock of the owner, so that no third process gets either in between. A predecessor
// of an earlier build holds no lock; its successor does all the same.
type ownership struct {
	syscalls  *eventloop.Syscalls
	log       *slog.Logger
	stateDir  string // empty: nothing is locked, and ownership is assumed
	owner     int    // locked files, or hotrestart.NoDescriptor
	successor int
}

func newOwnership(syscalls *eventloop.Syscalls, log *slog.Logger) ownership {
	return ownership{syscalls: syscalls, log: log, owner: hotrestart.NoDescriptor, successor: hotrestart.NoDescriptor}
}

// reserve gets the lock of the successor. The error is that of lock.
func (o *ownership) reserve() error { return o.lock(successorFileName, &o.successor) }

// claim gets the lock of the owner, and releases that of the successor. The error is that of lock.
func (o *ownership) claim() error {
	if o.owner != hotrestart.NoDescriptor {
		return nil
	}
	wasReserved := o.successor != hotrestart.NoDescriptor
	if err := o.reserve(); err != nil {
		return err
	}
	err := o.lock(ownerFileName, &o.owner)
	if err == nil || !wasReserved {
		o.unlock(&o.successor)
	}
	if err == nil {
		o.recordProcess()
	}
	return err
}

// release releases both locks.
func (o *ownership) release() {
	o.unlock(&o.owner)
	o.unlock(&o.successor)
}

// lock locks a file of the state directory, unless it is locked already. The error is ErrOwned, or a momentary one after which ownership
// is not known. A directory that can't be used is logged, and nothing is locked from then on: the process could never serve otherwise.
func (o *ownership) lock(name string, descriptor *int) error {
	if o.stateDir == "" || *descriptor != hotrestart.NoDescriptor {
		return nil
	}
	locked, err := o.lockFile(filepath.Join(o.stateDir, name))
	switch {
	case err == nil:
		*descriptor = locked
	case errors.Is(err, unix.EWOULDBLOCK):
		return ErrOwned
	case isMomentary(err):
		return err
	default:
		o.log.Warn("ownership not proved", "file", name, "error", err)
		o.stateDir = ""
	}
	return nil
}

// lockFile returns a descriptor of a file that it has locked. The error is unix.EWOULDBLOCK if another process has.
func (o *ownership) lockFile(path string) (descriptor int, err error) {
	descriptor, err = retryInterrupted(func() (int, error) {
		return o.syscalls.Open(path, unix.O_RDWR|unix.O_CREAT|unix.O_CLOEXEC, lockFileMode)
	})
	if err != nil {
		return hotrestart.NoDescriptor, eventloop.NewCallError(eventloop.CallOpen, err)
	}
	_, err = retryInterrupted(func() (int, error) { return 0, unix.Flock(descriptor, unix.LOCK_EX|unix.LOCK_NB) })
	if err != nil {
		_ = o.syscalls.Close(descriptor)
		return hotrestart.NoDescriptor, err
	}
	return descriptor, nil
}

// retryInterrupted makes a call again while a signal interrupts it.
func retryInterrupted(call func() (int, error)) (result int, err error) {
	for {
		if result, err = call(); !errors.Is(err, unix.EINTR) {
			return result, err
		}
	}
}

// unlock closes a locked file, which releases the lock.
func (o *ownership) unlock(descriptor *int) {
	if *descriptor != hotrestart.NoDescriptor {
		_ = o.syscalls.Close(*descriptor)
		*descriptor = hotrestart.NoDescriptor
	}
}

// recordProcess writes this process's ID to the owner's file, for operators.
func (o *ownership) recordProcess() {
	if o.owner == hotrestart.NoDescriptor {
		return
	}
	if unix.Ftruncate(o.owner, 0) == nil {
		_, _ = unix.Pwrite(o.owner, []byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	}
}

// ownerError returns ErrOwned with the process that owns the state and since when, as far as that is known.
func (o *ownership) ownerError() error {
	path := filepath.Join(o.stateDir, ownerFileName)
	text, readErr := os.ReadFile(path)
	info, statErr := os.Stat(path)
	if readErr != nil || statErr != nil {
		return ErrOwned
	}
	return fmt.Errorf("%w: process %s, since %s; stop it, or wait until it can be replaced", ErrOwned, strings.TrimSpace(string(text)),
		info.ModTime().UTC().Format(time.RFC3339))
}

// Own makes this process the owner of the state, if there is none. The error is ErrOwned, with the owner, or a momentary one.
func (r *Roles) Own(stateDir string) error {
	r.ownership.stateDir = stateDir
	err := r.ownership.claim()
	if errors.Is(err, ErrOwned) {
		return r.ownership.ownerError()
	}
	return err
}

// ownAfterTransfer gets the lock of the owner as soon as the predecessor has released it.
func (r *Roles) ownAfterTransfer() {
	if !r.HasRelinquished() && r.ownership.claim() != nil {
		r.loop.After(lockRetryDelay, r.ownAfterTransfer)
	}
}

// reserveOwnership gets the lock of the successor for a process in standby. Another process may have it while it starts.
func (s *successor) reserveOwnership() {
	isStandby := s.IsOpen() && s.protocol.State() == hotrestart.SuccessorStandby
	if isStandby && s.roles.ownership.reserve() != nil {
		s.roles.loop.After(lockRetryDelay, s.reserveOwnership)
	}
}

// isReserved reports whether no third process can become the owner.
func (o *ownership) isReserved() bool {
	return o.stateDir == "" || o.successor != hotrestart.NoDescriptor
}
