package simulation

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/testbed/simapi"
)

const peersOn = `
[peers]
on = true
loss = 0.1
duplicate = 0.1
reorder = 0.1
torn = 0.1
forged = 0.1
`

// withPeerFaults is manyFaults with peer messages, and faults of the network between schedulers.
func withPeerFaults() string {
	cut := `{ what = "cut", at = "3s", for = "1s", between = "schedulers", and = "schedulers", on = { schedulers = [0] } },`
	return strings.Replace(manyFaults, "fault = [", "fault = [\n  "+cut, 1) + peersOn
}

// TestPeersAreDeterministic checks that scenario and seed determine a run with peer messages, on any number of cores.
func TestPeersAreDeterministic(t *testing.T) {
	spec := parse(t, withPeerFaults())
	run := func(seed uint64) *Outcome {
		got, err := Run(spec, seed, Options{Digest: true})
		if err != nil || !got.Finished || got.Peers.Datagrams == 0 || got.Peers.Bytes < got.Peers.Datagrams {
			t.Fatalf("run with peer messages is not finished or has no datagrams: %+v, %v", got, err)
		}
		return got
	}
	old := runtime.GOMAXPROCS(1)
	want := run(1)
	runtime.GOMAXPROCS(8)
	got, other := run(1), run(2)
	runtime.GOMAXPROCS(old)
	if got.Digest != want.Digest || got.Peers != want.Peers {
		t.Errorf("on one core %+v, on eight %+v", want, got)
	}
	if other.Digest == want.Digest {
		t.Error("seeds 1 and 2 give the same run")
	}
}

// TestPeersOff checks that without peers.on schedulers send no datagrams, and that the rest of the section changes nothing.
func TestPeersOff(t *testing.T) {
	off := strings.Replace(peersOn, "on = true", "on = false", 1)
	digests := map[uint64]bool{}
	for _, text := range []string{manyFaults, manyFaults + off} {
		got, err := Run(parse(t, text), 1, Options{Digest: true})
		if err != nil || got.Peers != (PeerTraffic{}) {
			t.Fatalf("run without peer messages has datagrams, or failed: %+v, %v", got, err)
		}
		digests[got.Digest] = true
	}
	if len(digests) != 1 {
		t.Error("the section changes a run although it is off")
	}
}

// TestPeersLies checks that a lying coordinator falsifies its lease answers only.
func TestPeersLies(t *testing.T) {
	grant := func(worker uint64) dispatch.PeerMessage {
		return dispatch.LeaseGranted{ID: 7, Worker: worker, FreeSlots: 5}
	}
	report := dispatch.LeaseStarted{ID: 3, Prompt: true}
	queued := dispatch.LeaseQueued{ID: 7, FreeSlots: 2}
	for _, test := range []struct {
		lie            string
		message, wants dispatch.PeerMessage
	}{
		{"", grant(2), grant(2)},
		{"full", grant(2), dispatch.LeaseQueued{ID: 7}},
		{"full", queued, dispatch.LeaseQueued{ID: 7}},
		{"full", report, report},
		{"same_worker", grant(2), dispatch.LeaseGranted{ID: 7, Worker: 1, FreeSlots: 1}},
		{"same_worker", queued, dispatch.LeaseGranted{ID: 7, Worker: 1, FreeSlots: 1}},
	} {
		socket := &peerSocket{lie: test.lie}
		socket.falsify(grant(1))
		if got := socket.falsify(test.message); got != test.wants {
			t.Errorf("lie %q: sends %+v for %+v, want %+v", test.lie, got, test.message, test.wants)
		}
	}
}

// TestFrozenProcessBuffersDatagrams checks that a frozen process keeps a limited number of datagrams, and all other inputs.
func TestFrozenProcessBuffersDatagrams(t *testing.T) {
	spec := parse(t, manyFaults+peersOn)
	scheduler, err := NewScheduler(spec, 0, StartTime, Model{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	inputs := []simapi.Input{{Message: simapi.Start{Name: "s1"}}, {Message: simapi.Freeze{}}}
	for range maxWaitingDatagrams + 10 {
		inputs = append(inputs, simapi.Input{Message: simapi.DatagramReceived{From: 1}})
	}
	scheduler.Step(time.Second, append(inputs, simapi.Input{Message: simapi.Terminate{}}), nil)
	if got := len(scheduler.pendingInputs); got != maxWaitingDatagrams+1 {
		t.Errorf("%d inputs wait, want %d", got, maxWaitingDatagrams+1)
	}
}
