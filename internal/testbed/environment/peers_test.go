package environment

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// receivedDatagrams returns the datagrams that scheduler 1 receives after scheduler 0 has sent one. before may inject a fault.
func receivedDatagrams(t *testing.T, peers scenario.Peers, before func(f *faultHarness)) (received []simapi.DatagramReceived) {
	t.Helper()
	spec := idleScenario(2, 3)
	spec.Peers = peers
	f := newFaultHarness(t, spec, 1)
	f.runFor(time.Second)
	if before != nil {
		f.doNow(func() { before(f) })
	}
	f.inputs = f.inputs[:0]
	f.outputs = append(f.outputs, simapi.Output{Message: simapi.DatagramWritten{To: 1, Bytes: []byte("payload")}})
	f.runFor(time.Second)
	for _, input := range f.inputs {
		if datagram, ok := input.Message.(simapi.DatagramReceived); ok && input.Scheduler == 1 {
			received = append(received, datagram)
		}
	}
	return received
}

func TestPeerDatagramFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		peers scenario.Peers
		from  []int // senders of the datagrams that arrive
		torn  bool
	}{
		{"off", scenario.Peers{}, nil, false},
		{"on", scenario.Peers{On: true}, []int{0}, false},
		{"lost", scenario.Peers{On: true, Loss: 1}, nil, false},
		{"twice", scenario.Peers{On: true, Duplicate: 1}, []int{0, 0}, false},
		{"torn", scenario.Peers{On: true, Torn: 1}, []int{0}, true},
		{"forged", scenario.Peers{On: true, Forged: 1}, []int{unknownSender, 0}, false},
	} {
		received := receivedDatagrams(t, test.peers, nil)
		var from []int
		for _, datagram := range received {
			from = append(from, datagram.From)
			if isTorn := !bytes.Equal(datagram.Bytes, []byte("payload")); isTorn != test.torn {
				t.Errorf("%s: got %q", test.name, datagram.Bytes)
			}
		}
		slices.Sort(from)
		if !slices.Equal(from, test.from) {
			t.Errorf("%s: datagrams from %v, want %v", test.name, from, test.from)
		}
	}
}

func TestPeerDatagramDelay(t *testing.T) {
	spec := idleScenario(2, 3)
	spec.Peers = scenario.Peers{On: true, Delay: scenario.Duration(time.Second), DelayMax: scenario.Duration(2 * time.Second)}
	f := newFaultHarness(t, spec, 1)
	f.runFor(time.Second)
	f.outputs = append(f.outputs, simapi.Output{Message: simapi.DatagramWritten{To: 1, Bytes: []byte("payload")}})
	isDatagram := func(input simapi.Input) bool {
		_, ok := input.Message.(simapi.DatagramReceived)
		return ok
	}
	f.runFor(900 * time.Millisecond)
	if slices.ContainsFunc(f.inputs, isDatagram) {
		t.Error("datagram arrived before its minimum delay")
	}
	f.runFor(1200 * time.Millisecond)
	if !slices.ContainsFunc(f.inputs, isDatagram) {
		t.Error("datagram has not arrived after its maximum delay")
	}
}

// Datagrams that meet a partition between schedulers, or whose receiver does not run, are lost.
func TestPeerDatagramsUnderSchedulerFaults(t *testing.T) {
	on := scenario.Peers{On: true}
	cut := func(schedulers ...int) func(f *faultHarness) {
		return func(f *faultHarness) {
			fault := &activeFault{timeline: f.env.faults, Fault: &scenario.Fault{
				Kind: "cut", Between: "schedulers", And: "schedulers", Target: scenario.Target{Schedulers: schedulers},
			}}
			fault.chooseTargets(0)
			fault.applyToAll()
		}
	}
	for _, test := range []struct {
		name   string
		before func(f *faultHarness)
		count  int
	}{
		{"partitioned from all others", cut(1), 0},
		{"both on one side of a partition", cut(0, 1), 1},
		{"partition with all as targets", cut(), 0},
		{"killed", func(f *faultHarness) { f.env.schedulers[1].kill(0) }, 0},
	} {
		if received := receivedDatagrams(t, on, test.before); len(received) != test.count {
			t.Errorf("%s: %d datagrams, want %d", test.name, len(received), test.count)
		}
	}
}
