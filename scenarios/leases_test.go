package scenarios

import (
	"testing"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/scenario"
)

// leaseSeeds is the number of runs with leases, and of those without, in a comparison.
const leaseSeeds = 5

// With leases the value of a run is at least that without them, which is their stated target: on a sound network, with lost,
// duplicated, reordered, damaged or forged datagrams, and after restarts and partitions.
func TestLeasesEarnNoLess(t *testing.T) {
	testLeases(t, "peers_8", "peers_40", "peers_lossy", "peers_restart", "peers_split", "peers_torn")
}

// TestLeasesEarnNoLess with a further delay of 20 to 400 ms for each datagram.
func TestLeasesEarnNoLessWithLateDatagrams(t *testing.T) { testLeases(t, "peers_late") }

// TestLeasesEarnNoLess with a faulty coordinator for half of the workers, which sends false answers.
func TestLeasesEarnNoLessWithFalseAnswers(t *testing.T) {
	testLeases(t, "peers_liar_full", "peers_liar_same")
}

// testLeases runs scenarios with and without leases on the same seeds, and compares their values.
func testLeases(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leased, unleased := valueWithLeases(t, name, true), valueWithLeases(t, name, false)
			if leased < unleased {
				t.Errorf("value %.3f with leases is below %.3f without", leased, unleased)
			}
		})
	}
}

// valueWithLeases returns the share of the requested value that is answered in time, with or without leases, as a mean over the
// seeds.
func valueWithLeases(t *testing.T, name string, leases bool) (value float64) {
	t.Helper()
	for seed := range uint64(leaseSeeds) {
		spec, err := Open(name)
		if err != nil {
			t.Fatal(err)
		}
		spec.Peers.On = leases
		result, err := experiment.Run(t.Context(), experiment.Job{
			Spec: spec, Seed: 1 + seed, Driver: scenario.DriverSimulation,
			Subject: experiment.Subject{Name: experiment.PolicyDispatch},
		})
		if err != nil {
			t.Fatal(err)
		}
		value += result.Result().Value.Whole / leaseSeeds
	}
	return value
}
