package push

import (
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/eventloop"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/eventloop/faultinjection"
	"valvecove/internal/metrics"
	"valvecove/internal/requests"
)

const interval = time.Second

// receive returns the datagrams that are pending at a socket.
func receive(descriptor int) (datagrams []string) {
	buffer := make([]byte, 1<<16)
	for {
		size, _, err := unix.Recvfrom(descriptor, buffer, unix.MSG_DONTWAIT)
		if err != nil {
			return datagrams
		}
		datagrams = append(datagrams, string(buffer[:size]))
	}
}

// The metrics are sent once per interval, in datagrams that do not end with a line break, and once more by Flush.
func TestMetricsAreSentEachInterval(t *testing.T) {
	loop := eventlooptest.NewLoop(t, eventloop.Hooks{})
	descriptor, address := eventlooptest.OpenDatagramSocket(t, "127.0.0.2")
	defer func() { _ = unix.Close(descriptor) }()
	counters := metrics.NewCounters(requests.NameTable{Classes: []string{"a"}})
	conf := config.Metrics{FlushInterval: interval, MaxBatchBytes: 40, Format: "statsd"}
	pusher := Start(loop.Loop, metrics.NewExporter(conf, counters, loop.Now, NewCollector(loop.Syscalls(), address)))
	counters.Observe(requests.Notification{Kind: requests.RequestAdmitted, Request: &requests.Request{Job: dispatch.Job{}}})
	loop.Advance(interval - 1)
	if got := receive(descriptor); got != nil {
		t.Errorf("received %q before the end of the interval", got)
	}
	for range 2 {
		loop.Advance(interval)
		got := receive(descriptor)
		if len(got) < 2 || !strings.Contains(strings.Join(got, " "), "open") || strings.HasSuffix(got[0], "\n") {
			t.Errorf("received %q", got)
		}
	}
	pusher.Flush()
	if len(receive(descriptor)) < 2 {
		t.Error("Flush sent nothing")
	}
}

// If sending a batch fails and the socket is still usable, the socket is kept. Otherwise the next batch opens another one.
func TestCollectorReopensUnusableSocket(t *testing.T) {
	for errno, keepsSocket := range map[unix.Errno]bool{
		unix.ECONNREFUSED: true, unix.EAGAIN: true, unix.EMSGSIZE: true, unix.ENETDOWN: false, unix.EBADF: false,
	} {
		descriptor, address := eventlooptest.OpenDatagramSocket(t, "127.0.0.2")
		isFailing := true
		opened := 0
		syscalls := eventloop.Syscalls{Interceptor: func(call eventloop.Call, _ int) (injection eventloop.Injection) {
			if call == eventloop.CallSendMessage && isFailing {
				injection.Errno = errno
			}
			if call == eventloop.CallSocket {
				opened++
			}
			return injection
		}}
		collector := NewCollector(&syscalls, address)
		if err := collector.Send([]byte("lost\n")); err == nil {
			t.Errorf("no error is returned for %v", errno)
		}
		isFailing = false
		if err := collector.Send([]byte("sent\n")); err != nil {
			t.Errorf("after %v: %v", errno, err)
		}
		if got := receive(descriptor); len(got) != 1 || got[0] != "sent" || opened == 1 != keepsSocket {
			t.Errorf("after %v: received %q, %d sockets opened", errno, got, opened)
		}
		_ = unix.Close(collector.descriptor)
		_ = unix.Close(descriptor)
	}
}

// Metrics that can't be sent because a resource of the machine is exhausted are dropped. Later ones are sent.
func TestCollectorRecoversFromResourceShortage(t *testing.T) {
	receiver, address := eventlooptest.OpenDatagramSocket(t, "127.0.0.1")
	t.Cleanup(func() { _ = unix.Close(receiver) })
	injector := faultinjection.New(1, nil)
	syscalls := injector.Syscalls()
	for _, call := range []eventloop.Call{eventloop.CallSocket, eventloop.CallConnect, eventloop.CallSendMessage} {
		collector := NewCollector(&syscalls, address)
		injector.Add(faultinjection.Rule{Calls: []eventloop.Call{call}, Errnos: []unix.Errno{unix.ENOBUFS}})
		if collector.Send([]byte("lost\n")) == nil {
			t.Errorf("%v failed, and no error is returned", call)
		}
		injector.Clear()
		if err := collector.Send([]byte("sent\n")); err != nil {
			t.Errorf("after %v had failed: %v", call, err)
		}
		buffer := make([]byte, 64)
		if n, err := unix.Read(receiver, buffer); err != nil || string(buffer[:n]) != "sent" {
			t.Errorf("received %q: %v", buffer[:max(n, 0)], err)
		}
		_ = unix.Close(collector.descriptor)
	}
}
