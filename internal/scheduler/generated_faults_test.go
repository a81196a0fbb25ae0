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
	faultSeedsVariable   = "VALVECOVE_FAULT_SEEDS" // environment variable with the number of seeds to run
	defaultFaultSeeds    = 20
	faultSteps           = 150
	maxStall             = 150 * time.Millisecond // total delay by the stalled calls of a step
	maxAttemptAfterClose = 100 * time.Millisecond // an attempt may reach a worker until this long after its client's close
	maxLateAnswer        = 500 * time.Millisecond // after the deadline, when system calls fail
	maxUnhandledTime     = 250 * time.Millisecond // for which descriptors may have events that the loop does not handle
)

// systemFaults contains the faults of a deployment's system calls, and the sockets of its connections. These are Unix sockets,
// where each side sees immediately what the other has done.
type systemFaults struct {
	*deployment
	injector              *faultinjection.Injector
	clients               unix.Sockaddr // where the scheduler listens
	workers               unix.Sockaddr // where the test listens, for connections that the scheduler dials
	workerListener        int
	remoteEndOfDescriptor map[int]*remoteEnd // of connections that a fault may break: to workers and discovery
	unhandledSince        time.Duration      // since when descriptors have had unhandled events; 0: none have
	stalledCalls          int                // number of calls that were stalled
	remainingStall        time.Duration      // rest of maxStall in this step
}

// addFaults draws the faults of the system calls that a scheduler makes while it serves.
func (d *deployment) addFaults(seed uint64) {
	faults := &systemFaults{deployment: d, remoteEndOfDescriptor: map[int]*remoteEnd{}}
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
		{Calls: []eventloop.Call{eventloop.CallAccept}, Probability: share(), Errnos: []unix.Errno{
			unix.ECONNABORTED, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENETUNREACH, unix.EPROTO, unix.EINTR, unix.ETIMEDOUT, unix.EPERM,
		}},
		{Calls: []eventloop.Call{eventloop.CallSocket}, Probability: share(), Errnos: []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM}},
		{Calls: []eventloop.Call{eventloop.CallConnect}, Probability: share(), Errnos: []unix.Errno{
			unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ETIMEDOUT,
		}},
		{Calls: transfers, Probability: share() / 3, Errnos: []unix.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM}},
		{Calls: transfers, Probability: share() / 30, Descriptor: func(fd int) bool { return faults.remoteEndOfDescriptor[fd] != nil }, Errnos: []unix.Errno{
			unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ECONNRESET, unix.EPIPE,
		}},
		{Calls: []eventloop.Call{eventloop.CallEpollWait}, Probability: share(), Errnos: []unix.Errno{unix.EINTR}},
		{Calls: []eventloop.Call{eventloop.CallEpollControl}, Probability: share() / 3, Errnos: []unix.Errno{unix.ENOMEM}},
		{Calls: []eventloop.Call{eventloop.CallClose}, Probability: share(), Errnos: []unix.Errno{unix.EINTR}},
		{Calls: []eventloop.Call{eventloop.CallSetOption}, Probability: share(), Errnos: []unix.Errno{unix.ENOBUFS}},
		{Calls: transfers, Probability: 0.003, Stall: faults.stall},
		{Calls: transfers, Probability: share(), MaxLength: 40},
	} {
		faults.injector.Add(rule)
	}
}

// syscalls returns system calls with the injected faults. It tracks the connections of descriptors, and the answers that are lost
// with a connection.
func (s *systemFaults) syscalls() eventloop.Syscalls {
	return eventloop.Syscalls{Interceptor: func(call eventloop.Call, descriptor int) eventloop.Injection {
		injection := s.injector.Intercept(call, descriptor)
		if injection.Errno != 0 && eventloop.Classify(call, injection.Errno) == eventloop.ErrorConnectionLost {
			s.loseUnreadInput(descriptor)
		}
		if call == eventloop.CallClose {
			delete(s.remoteEndOfDescriptor, descriptor)
		}
		return injection
	}}
}

// loseUnreadInput records that a connection is lost with unread input. A worker's unread response has the effect of a reset. A
// list update of discovery is unknown to the scheduler until it is sent again.
func (s *systemFaults) loseUnreadInput(descriptor int) {
	unread, err := unix.IoctlGetInt(descriptor, unix.TIOCINQ)
	remote := s.remoteEndOfDescriptor[descriptor]
	switch {
	case remote == nil || err != nil || unread == 0:
	case remote.node == nil:
		for _, n := range s.nodes {
			n.drainingSince = 0
		}
	case remote.lastAnswered != nil:
		remote.lastAnswered.ended = true
	}
}

// recordListSent records that a snapshot of the list was sent on a new watch.
func (s *systemFaults) recordListSent() {
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

// listenForClients makes the scheduler accept clients. Faults at its start are covered by other tests.
func (s *systemFaults) listenForClients(scheduler *Scheduler) {
	socket := s.listen(s.clients)
	for eventloop.ClassOf(scheduler.clients.AddSocket(socket)).IsMomentary() {
		s.now += time.Millisecond
	}
	s.T.Cleanup(func() { _ = unix.Close(s.workerListener) })
}

// connectClient returns the client's end of a connection that the scheduler has not accepted yet.
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

// dial does what eventloop.Loop.Dial does, with a Unix socket, and returns the remote end too.
func (s *systemFaults) dial(remote *remoteEnd) (p *peer, fd int, err error) {
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
	s.remoteEndOfDescriptor[fd] = remote
	return p, fd, nil
}

// stall delays the process in a call, for at most maxStall in one step.
func (s *systemFaults) stall() {
	span := min(time.Duration(s.rng.Int64N(int64(maxStall))), s.remainingStall)
	s.remainingStall -= span
	s.now += span
	s.stalledCalls++
}

// checkEventsHandled checks that no descriptor keeps having events: events that the loop does not handle would keep it busy.
func (s *systemFaults) checkEventsHandled() {
	s.remainingStall = maxStall // in the next step
	for range 50 {
		if s.readyDescriptors() == 0 {
			s.unhandledSince = 0
			return
		}
		s.runIterations()
	}
	if s.unhandledSince == 0 {
		s.unhandledSince = s.now
	}
	s.Check(s.now-s.unhandledSince <= maxUnhandledTime, "events have not been handled for %v", s.now-s.unhandledSince)
}

// sendDelayedResponses runs the loop until the last responses are sent, which a failed call may have delayed.
func (s *systemFaults) sendDelayedResponses() {
	for range 2 * eventloop.MaxAcceptBackoff / time.Millisecond {
		s.now += time.Millisecond
		s.runUntilSettled()
	}
	s.Check(s.scheduler.IsIdle(), "responses are not sent")
}

// stallAllowance returns the additional delay that faults may cause.
func (d *deployment) stallAllowance() time.Duration {
	if d.faults == nil {
		return 0
	}
	return maxStall
}

// maxAnswerDelay returns how long after its deadline a request may be answered.
func (d *deployment) maxAnswerDelay() time.Duration {
	if d.faults == nil {
		return 50 * time.Millisecond
	}
	return maxLateAnswer
}

// faultSeeds returns the number of seeds to run.
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

// Whatever system calls fail, transfer only a part or take long: each request is answered once, no request runs more often than
// its class allows, the loop handles all events, and no descriptor is left open.
func TestGeneratedSystemFaults(t *testing.T) {
	injected, stalled := 0, 0
	for seed := range faultSeeds(t) {
		before := countDescriptors(t)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			d := drawDeployment(t, 2000+seed, seed%2 > 0, keepSettings)
			d.addFaults(seed)
			d.open()
			d.run(faultSteps)
			injected += d.faults.injector.TotalInjected()
			stalled += d.faults.stalledCalls
		})
		if after := countDescriptors(t); after != before {
			t.Errorf("seed %d: %d descriptors are open, %d were open before", seed, after, before)
		}
	}
	if t.Logf("%d calls failed, were partial or were stalled, of which %d were stalled", injected, stalled); injected == 0 || stalled == 0 {
		t.Error("no fault or no stall was injected")
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
