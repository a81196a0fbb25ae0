package environment

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// datagrams returns what scheduler 1 receives of one datagram of scheduler 0.
func datagrams(t *testing.T, peers scenario.Peers, before func(f *faultHarness)) (received []simapi.DatagramReceived) {
	t.Helper()
	spec := quiet(2, 3)
	spec.Peers = peers
	f := newFaultHarness(t, spec, 1)
	f.run(time.Second)
	if before != nil {
		f.do(func() { before(f) })
	}
	f.inputs = f.inputs[:0]
	f.outputs = append(f.outputs, simapi.Output{Message: simapi.DatagramWritten{To: 1, Bytes: []byte("payload")}})
	f.run(time.Second)
	for _, input := range f.inputs {
		if datagram, ok := input.Message.(simapi.DatagramReceived); ok && input.Scheduler == 1 {
			received = append(received, datagram)
		}
	}
	return received
}

func TestPeersShareOfDatagrams(t *testing.T) {
	for _, test := range []struct {
		name  string
		peers scenario.Peers
		from  []int // senders of what arrives
		torn  bool
	}{
		{"off", scenario.Peers{}, nil, false},
		{"on", scenario.Peers{On: true}, []int{0}, false},
		{"lost", scenario.Peers{On: true, Loss: 1}, nil, false},
		{"twice", scenario.Peers{On: true, Duplicate: 1}, []int{0, 0}, false},
		{"torn", scenario.Peers{On: true, Torn: 1}, []int{0}, true},
		{"forged", scenario.Peers{On: true, Forged: 1}, []int{unknownSender, 0}, false},
	} {
		received := datagrams(t, test.peers, nil)
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

func TestPeersDelay(t *testing.T) {
	spec := quiet(2, 3)
	spec.Peers = scenario.Peers{On: true, Delay: scenario.Duration(time.Second), DelayMax: scenario.Duration(2 * time.Second)}
	f := newFaultHarness(t, spec, 1)
	f.run(time.Second)
	f.outputs = append(f.outputs, simapi.Output{Message: simapi.DatagramWritten{To: 1, Bytes: []byte("payload")}})
	isDatagram := func(input simapi.Input) bool {
		_, ok := input.Message.(simapi.DatagramReceived)
		return ok
	}
	f.run(900 * time.Millisecond)
	if slices.ContainsFunc(f.inputs, isDatagram) {
		t.Error("it arrived before its least delay")
	}
	f.run(1200 * time.Millisecond)
	if !slices.ContainsFunc(f.inputs, isDatagram) {
		t.Error("it has not arrived after its greatest delay")
	}
}

// What a cut between schedulers or the death of the receiver takes is gone.
func TestPeersFaults(t *testing.T) {
	on := scenario.Peers{On: true}
	cut := func(schedulers ...int) func(f *faultHarness) {
		return func(f *faultHarness) {
			fault := &activeFault{timeline: f.w.faults, Fault: &scenario.Fault{
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
		{"cut off from all", cut(1), 0},
		{"on one side", cut(0, 1), 1},
		{"all cut", cut(), 0},
		{"killed", func(f *faultHarness) { f.w.schedulers[1].kill(0) }, 0},
	} {
		if received := datagrams(t, on, test.before); len(received) != test.count {
			t.Errorf("%s: %d datagrams, want %d", test.name, len(received), test.count)
		}
	}
}
