package scheduler

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/eventloop/faultinjection"
)

const (
	faultSeedsVariable   = "VALVECOVE_FAULT_SEEDS" // how many seeds are played, in place of so many
	defaultFaultSeeds    = 20
	faultSteps           = 150
	maxStall             = 150 * time.Millisecond // of the calls of a step
	maxAttemptAfterClose = 100 * time.Millisecond
	maxLateAnswer        = 500 * time.Millisecond // where calls fail; up to then an answer is one
	maxBusy              = 250 * time.Millisecond // for which events may be there that nothing is done about
)

// systemFaults are the faults of a deployment's system calls, and the sockets that they are made on: Unix sockets, which tell
// each side at once what the other has done.
type systemFaults struct {
	*deployment
	injector       *faultinjection.Injector
	clients        unix.Sockaddr // where the loop listens
	workers        unix.Sockaddr // where the test listens, for what the loop dials
	workerListener int
	farEnds        map[int]*farEnd // of the connections that a fault may break: those to workers and discovery
	busySince      time.Duration   // 0: it is not
	stalled        int             // calls
	stallLeft      time.Duration   // of maxStall, in this step
}

// addFaults draws faults of the calls that a scheduler makes while it serves.
func (d *deployment) addFaults(seed uint64) {
	faults := &systemFaults{deployment: d, farEnds: map[int]*farEnd{}}
	d.faults = faults
	faults.injector = faultinjection.New(seed, func() time.Duration { return d.now })
	directory := d.T.TempDir()
	faults.clients = &unix.SockaddrUnix{Name: filepath.Join(directory, "clients")}
	faults.workers = &unix.SockaddrUnix{Name: filepath.Join(directory, "workers")}
	faults.workerListener = faults.listen(faults.workers)
	share := func() float64 { return 0.3 * d.rng.Float64() }
	reads := []eventloop.Call{eventloop.CallRead, eventloop.CallReceive}
	transfers := append([]eventloop.Call{eventloop.CallWrite}, reads...)
	for _, rule := range []faultinjection.Rule{
		{Calls: []eventloop.Call{eventloop.CallAccept}, Share: share(), Errnos: []unix.Errno{
			unix.ECONNABORTED, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENETUNREACH, unix.EPROTO, unix.EINTR, unix.ETIMEDOUT, unix.EPERM,
		}},
		{Calls: []eventloop.Call{eventloop.CallSocket}, Share: share(), Errnos: []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM}},
		{Calls: []eventloop.Call{eventloop.CallConnect}, Share: share(), Errnos: []unix.Errno{
			unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ETIMEDOUT,
		}},
		{Calls: transfers, Share: share() / 3, Errnos: []unix.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM}},
		{Calls: transfers, Share: share() / 30, Descriptor: func(fd int) bool { return faults.farEnds[fd] != nil }, Errnos: []unix.Errno{
			unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ECONNRESET, unix.EPIPE,
		}},
		{Calls: []eventloop.Call{eventloop.CallEpollWait}, Share: share(), Errnos: []unix.Errno{unix.EINTR}},
		{Calls: []eventloop.Call{eventloop.CallEpollControl}, Share: share() / 3, Errnos: []unix.Errno{unix.ENOMEM}},
		{Calls: []eventloop.Call{eventloop.CallClose}, Share: share(), Errnos: []unix.Errno{unix.EINTR}},
		{Calls: []eventloop.Call{eventloop.CallSetOption}, Share: share(), Errnos: []unix.Errno{unix.ENOBUFS}},
		{Calls: transfers, Share: 0.003, Stall: faults.stall},
		{Calls: transfers, Share: share(), MaxLength: 40},
	} {
		faults.injector.Add(rule)
	}
}

// syscalls keeps account of which descriptors are whose, and of the answers that are lost with a connection.
func (s *systemFaults) syscalls() eventloop.Syscalls {
	return eventloop.Syscalls{Interceptor: func(call eventloop.Call, descriptor int) eventloop.Injection {
		injection := s.injector.Intercept(call, descriptor)
		if injection.Errno != 0 && eventloop.Classify(call, injection.Errno) == eventloop.ErrorConnectionLost {
			s.loseAnswer(descriptor)
		}
		if call == eventloop.CallClose {
			delete(s.farEnds, descriptor)
		}
		return injection
	}}
}

// loseAnswer records that a connection is lost with unread input: a worker's response on it ends as a reset, and a list update of
// discovery arrives when it is sent again.
func (s *systemFaults) loseAnswer(descriptor int) {
	unread, err := unix.IoctlGetInt(descriptor, unix.TIOCINQ)
	far := s.farEnds[descriptor]
	switch {
	case far == nil || err != nil || unread == 0:
	case far.node == nil:
		for _, n := range s.nodes {
			n.drainingSince = 0
		}
	case far.answer != nil:
		far.answer.ended = true
	}
}

// listSent records that the whole list was sent on a new watch.
func (s *systemFaults) listSent() {
	if s == nil {
		return
	}
	for _, n := range s.nodes {
		if n.Lifecycle != "up" && n.drainingSince == 0 {
			n.drainingSince = s.now
		}
	}
}

// listen returns a socket that listens at an address.
func (s *systemFaults) listen(address unix.Sockaddr) int {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = errors.Join(unix.Bind(fd, address), unix.Listen(fd, 256))
	}
	if err != nil {
		s.T.Fatal(err)
	}
	return fd
}

// listenForClients has the scheduler accept clients. Its start is tested elsewhere.
func (s *systemFaults) listenForClients(loop *Scheduler) {
	socket := s.listen(s.clients)
	for eventloop.ClassOf(loop.clients.AddSocket(socket)).IsMomentary() {
		s.now += time.Millisecond
	}
	s.T.Cleanup(func() { _ = unix.Close(s.workerListener) })
}

// connectClient gives the client's end of a connection, which the loop has yet to accept.
func (s *systemFaults) connectClient() *peer {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Connect(fd, s.clients)
	}
	if err != nil {
		s.T.Fatal(err)
	}
	p := &peer{Peer: &eventlooptest.Peer{FD: fd}}
	s.T.Cleanup(p.Close)
	return p
}

// dial is eventloop.Loop.Dial by Unix sockets, with the far end.
func (s *systemFaults) dial(far *farEnd) (p *peer, fd int, err error) {
	syscalls := s.scheduler.Syscalls()
	fd, err = syscalls.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, -1, eventloop.NewCallError(eventloop.CallSocket, err)
	}
	err = syscalls.Connect(fd, s.workers)
	if err != nil && eventloop.Classify(eventloop.CallConnect, err) != eventloop.ErrorPending {
		_ = syscalls.Close(fd)
		return nil, -1, eventloop.NewCallError(eventloop.CallConnect, err)
	}
	accepted, _, err := unix.Accept4(s.workerListener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		s.T.Fatal(err)
	}
	p = &peer{Peer: &eventlooptest.Peer{FD: accepted}}
	s.T.Cleanup(p.Close)
	s.farEnds[fd] = far
	return p, fd, nil
}

// stall holds the process up in a call, for maxStall at most in one step.
func (s *systemFaults) stall() {
	span := min(time.Duration(s.rng.Int64N(int64(maxStall))), s.stallLeft)
	s.stallLeft -= span
	s.now += span
	s.stalled++
}

// checkRest checks that the loop comes to rest: events that it does nothing about would keep it busy.
func (s *systemFaults) checkRest() {
	s.stallLeft = maxStall // in the next step
	for range 50 {
		if s.readyDescriptors() == 0 {
			s.busySince = 0
			return
		}
		s.runIterations()
	}
	if s.busySince == 0 {
		s.busySince = s.now
	}
	s.Check(s.now-s.busySince <= maxBusy, "there have been events for %v that nothing is done about", s.now-s.busySince)
}

// sendWhatWaits lets the loop send the last answers, which a call that has failed may have held back.
func (s *systemFaults) sendWhatWaits() {
	for range 2 * eventloop.MaxAcceptBackoff / time.Millisecond {
		s.now += time.Millisecond
		s.runUntilSettled()
	}
	s.Check(s.scheduler.IsQuiet(), "answers are not sent")
}

// stalls is how much later than without faults something may be.
func (d *deployment) stalls() time.Duration {
	if d.faults == nil {
		return 0
	}
	return maxStall
}

// answerSlack is how late an answer may be.
func (d *deployment) answerSlack() time.Duration {
	if d.faults == nil {
		return 50 * time.Millisecond
	}
	return maxLateAnswer
}

// faultSeeds returns how many seeds are to be played.
func faultSeeds(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv(faultSeedsVariable)
	if text == "" {
		return defaultFaultSeeds
	}
	seeds, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		t.Fatal(err)
	}
	return seeds
}

// Whatever system calls fail, fall short or take long, each request has one answer, nothing runs twice that may not, the loop
// comes to rest, and no descriptor is left open.
func TestGeneratedSystemFaults(t *testing.T) {
	injected, stalled := 0, 0
	for seed := range faultSeeds(t) {
		before := countDescriptors(t)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			d := drawDeployment(t, 2000+seed, seed%2 > 0, asDrawn)
			d.addFaults(seed)
			d.open()
			d.run(faultSteps)
			injected += d.faults.injector.TotalInjected()
			stalled += d.faults.stalled
		})
		if after := countDescriptors(t); after != before {
			t.Errorf("seed %d: %d descriptors are open, %d were before", seed, after, before)
		}
	}
	if t.Logf("%d calls failed, fell short or took long, %d of them the latter", injected, stalled); injected == 0 || stalled == 0 {
		t.Error("nothing was injected")
	}
}

// countDescriptors counts the descriptors that this process has open.
func countDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}
