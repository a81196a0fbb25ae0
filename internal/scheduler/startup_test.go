package scheduler

import (
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/hotrestart/transport"
	"valvecove/internal/logging"
	"valvecove/internal/modeltest"
)

const startConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{"sockets":64},
"known":{"generation":1,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}]},
"settings":{"classes":[{"name":"a","promise":80000,"give_up":500000,"idempotency":"pure"}],
"bounds":{"try_limit":2,"connect_timeout":250000}}}`

// startCalls are the system calls that must succeed for a start.
var startCalls = []eventloop.Call{
	eventloop.CallSocket, eventloop.CallBind, eventloop.CallListen,
	eventloop.CallEpollCreate, eventloop.CallEventfd, eventloop.CallEpollControl,
}

// openWithFaults opens a scheduler while fault rules apply. The times of the rules are relative to now.
func openWithFaults(t *testing.T, rules ...faultinjection.Rule) (*Scheduler, error) {
	t.Helper()
	conf, err := config.Decode([]byte(startConfig), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	injector := faultinjection.New(1, func() time.Duration { return time.Since(start) })
	for _, rule := range rules {
		injector.Add(rule)
	}
	return open(nil, injector.Syscalls(), conf, config.Ops{}, logging.NewFactory(config.Log{}, "n0", io.Discard))
}

// A start is retried while any or all of its system calls fail for 2 s, and then succeeds.
func TestStartRetriesTemporaryFailures(t *testing.T) {
	failing := map[string][]eventloop.Call{"all": startCalls}
	for _, call := range startCalls {
		failing[call.String()] = []eventloop.Call{call}
	}
	for name, calls := range failing {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before := time.Now()
				scheduler, err := openWithFaults(t, faultinjection.Rule{
					Calls: calls, Until: 2 * time.Second, Errnos: []unix.Errno{unix.ENOMEM, unix.ENFILE, unix.ENOBUFS, unix.EMFILE, unix.EINTR},
				})
				if err != nil {
					t.Fatal(err)
				}
				defer scheduler.CloseDescriptors()
				if took := time.Since(before); !scheduler.Addr().IsValid() || took < 2*time.Second || took > 2*time.Second+2*maxStartBackoff {
					t.Errorf("listens at %v, %v after the start", scheduler.Addr(), took)
				}
			})
		})
	}
}

// A start that fails returns its error: immediately if the error is permanent, after addressInUseTimeout if an address is in
// use, and after startTimeout otherwise. It leaves no descriptor open.
func TestStartFails(t *testing.T) {
	tests := map[string]struct {
		call    eventloop.Call
		errno   unix.Errno
		message string
		timeout time.Duration
	}{
		"no memory for a socket":     {eventloop.CallSocket, unix.ENOMEM, "socket: cannot allocate memory", startTimeout},
		"no memory for epoll":        {eventloop.CallEpollCreate, unix.ENOMEM, "epoll: cannot allocate memory", startTimeout},
		"no memory for eventfd":      {eventloop.CallEventfd, unix.ENOMEM, "eventfd: cannot allocate memory", startTimeout},
		"no memory for epoll add":    {eventloop.CallEpollControl, unix.ENOMEM, "epoll add: cannot allocate memory", startTimeout},
		"the address is in use":      {eventloop.CallBind, unix.EADDRINUSE, "listening at 127.0.0.1:0: address already in use", addressInUseTimeout},
		"the address is not allowed": {eventloop.CallBind, unix.EACCES, "listening at 127.0.0.1:0: permission denied", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before := time.Now()
				freeBefore := lowestFreeDescriptor(t)
				_, err := openWithFaults(t, faultinjection.Rule{Calls: []eventloop.Call{test.call}, Errnos: []unix.Errno{test.errno}})
				took := time.Since(before)
				if err == nil || !strings.HasSuffix(err.Error(), test.message) || !errors.Is(err, test.errno) {
					t.Errorf("%v, expected %s", err, test.message)
				}
				if took > test.timeout || took < test.timeout-maxStartBackoff {
					t.Errorf("the start failed after %v, expected %v", took, test.timeout)
				}
				if free := lowestFreeDescriptor(t); free != freeBefore {
					t.Errorf("descriptor %d is left open", freeBefore)
				}
			})
		})
	}
}

// lowestFreeDescriptor returns the number that the next descriptor to be opened will have.
func lowestFreeDescriptor(t *testing.T) int {
	t.Helper()
	fd, err := unix.Eventfd(0, unix.EFD_CLOEXEC)
	if err != nil {
		t.Fatal(err)
	}
	_ = unix.Close(fd)
	return fd
}

// A process that has taken over retries adding the client listener's socket to its event loop if that fails temporarily.
func TestTakeOverRetriesTemporaryFailures(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	successor := predecessor.startSuccessor(dir, address)
	successor.scheduler.OnFail(func(err error) { t.Errorf("the successor failed: %v", err) })
	injector := successor.injectFaults(1, faultinjection.Rule{
		Calls: []eventloop.Call{eventloop.CallEpollControl}, Times: 5, Errnos: []unix.Errno{unix.ENOMEM},
		Descriptor: func(descriptor int) bool { return localAddress(descriptor) == address },
	})
	if err := predecessor.handOverTo(successor); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		successor.now += maxStartBackoff
		successor.runIterations()
	}
	if injector.TotalInjected() != 5 || successor.scheduler.Addr() != address {
		t.Errorf("%d calls failed; the successor listens at %v, expected %v", injector.TotalInjected(), successor.scheduler.Addr(), address)
	}
	successor.connectClient()
	if successor.runUntilNoEvents(); successor.scheduler.clients.ConnectionCount() != 1 {
		t.Error("a client is not accepted")
	}
}

// localAddress returns the address that a socket is bound to; it is not valid for another descriptor.
func localAddress(descriptor int) netip.AddrPort {
	sockaddr, err := unix.Getsockname(descriptor)
	if err != nil {
		return netip.AddrPort{}
	}
	return eventloop.AddrPort(sockaddr)
}

// Guards against a start beside a process that serves and can't be joined: it retries, and ends with an error that names the owner.
func TestStartBesideOwnerEndsWithError(t *testing.T) {
	dir := t.TempDir()
	owner, starting := newHarness(&modeltest.Steps{T: t}), newHarness(&modeltest.Steps{T: t})
	owner.enableHotRestart()
	starting.enableHotRestart()
	if err := owner.scheduler.restart.Own(dir); err != nil {
		t.Fatal(err)
	}
	calls := 0
	starting.scheduler.startup = newStartup(func() time.Duration { calls++; return time.Duration(calls) * startTimeout / 4 }, nil)
	conf := config.Config{StateDir: dir, Listen: netip.MustParseAddrPort("127.0.0.1:1")}
	hasJoined, err := starting.scheduler.joinOrOwn(conf)
	if hasJoined || !errors.Is(err, transport.ErrOwned) || calls < 3 {
		t.Errorf("joined %v, %v after %d readings of the clock, expected ErrOwned after retries", hasJoined, err, calls)
	}
	owner.scheduler.restart.Close()
	if _, err := starting.scheduler.joinOrOwn(conf); err != nil {
		t.Errorf("after the owner's end: %v", err)
	}
}
