package faultinjection

import (
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
)

func TestRuleSelectsCalls(t *testing.T) {
	now := time.Duration(0)
	i := New(1, func() time.Duration { return now })
	i.Add(Rule{
		Calls:      []eventloop.Call{eventloop.CallRead},
		Descriptor: func(descriptor int) bool { return descriptor == 7 },
		From:       time.Second, Until: 2 * time.Second,
		Skip: 1, Times: 2,
		Errnos: []unix.Errno{unix.ECONNRESET},
	})
	var failed []int
	for n := range 8 {
		i.Intercept(eventloop.CallWrite, 7)
		i.Intercept(eventloop.CallRead, 8)
		if i.Intercept(eventloop.CallRead, 7).Errno == unix.ECONNRESET {
			failed = append(failed, n)
		}
		now += 250 * time.Millisecond
	}
	if !slices.Equal(failed, []int{5, 6}) {
		t.Errorf("calls %v failed, expected 5 and 6", failed)
	}
	if i.Calls(eventloop.CallRead) != 16 || i.Injected(eventloop.CallRead) != 2 || i.TotalInjected() != 2 {
		t.Errorf("%d calls, %d with a fault, %d of all kinds", i.Calls(eventloop.CallRead), i.Injected(eventloop.CallRead), i.TotalInjected())
	}
}

// A rule with a share makes about that share of the calls fail. The seed determines which ones.
func TestFailingShareDependsOnSeed(t *testing.T) {
	const calls = 10_000
	inject := func(seed uint64) (failed []bool, count int) {
		i := New(seed, nil)
		i.Add(Rule{Probability: 0.3, Errnos: []unix.Errno{unix.ENFILE, unix.EINTR}})
		for range calls {
			failed = append(failed, i.Intercept(eventloop.CallAccept, 3).Errno != 0)
		}
		return failed, i.TotalInjected()
	}
	first, count := inject(1)
	again, _ := inject(1)
	other, _ := inject(2)
	if !slices.Equal(first, again) || slices.Equal(first, other) {
		t.Error("the same seed injected other faults, or another seed the same ones")
	}
	if count < calls/4 || count > calls*7/20 {
		t.Errorf("%d of %d calls with a fault", count, calls)
	}
}

func TestReadsAndWritesAreShortened(t *testing.T) {
	i := New(1, nil)
	i.Add(Rule{Calls: []eventloop.Call{eventloop.CallRead, eventloop.CallWrite}, MaxLength: 3})
	syscalls := i.Syscalls()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = unix.Close(pair[0]), unix.Close(pair[1]) })
	n, err := syscalls.Write(pair[0], make([]byte, 100))
	if err != nil || n < 1 || n > 3 {
		t.Errorf("wrote %d bytes, expected 1 to 3: %v", n, err)
	}
	if _, err := unix.Write(pair[0], make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	if n, err = syscalls.Read(pair[1], make([]byte, 100)); err != nil || n < 1 || n > 3 {
		t.Errorf("read %d bytes, expected 1 to 3: %v", n, err)
	}
}

func TestStallRunsBeforeCall(t *testing.T) {
	now := time.Duration(0)
	i := New(1, nil)
	i.Add(Rule{Calls: []eventloop.Call{eventloop.CallWrite}, Stall: func() { now += 150 * time.Millisecond }})
	if i.Intercept(eventloop.CallWrite, 3) != (eventloop.Injection{}) || now != 150*time.Millisecond {
		t.Errorf("the clock is at %v, expected 150ms, and no injected fault", now)
	}
	i.Clear()
	if i.Intercept(eventloop.CallWrite, 3); now != 150*time.Millisecond || i.Injected(eventloop.CallWrite) != 1 {
		t.Error("a removed rule applies")
	}
}
