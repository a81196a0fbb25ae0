package scenarios

import (
	"testing"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/scenario"
)

// leaseSeeds is how many runs of each kind a comparison of leases makes.
const leaseSeeds = 5

// Where slots are leased no less is earned than without leases, which is the stated target of leases: with datagrams as they are, lost,
// torn or repeated, after restarts and partitions.
func TestLeasesEarnNoLess(t *testing.T) {
	testLeases(t, "peers_8", "peers_40", "peers_lossy", "peers_restart", "peers_split", "peers_torn")
}

// The same with datagrams that take 20 to 400 ms longer.
func TestLeasesEarnNoLessWithLateDatagrams(t *testing.T) { testLeases(t, "peers_late") }

// The same with a coordinator of half of the workers that lies.
func TestLeasesEarnNoLessUnderLiars(t *testing.T) {
	testLeases(t, "peers_liar_full", "peers_liar_same")
}

// testLeases compares scenarios with the same without leases, on the same seeds.
func testLeases(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leased, unleased := earnedShare(t, name, true), earnedShare(t, name, false)
			if leased < unleased {
				t.Errorf("%.3f earned with leases, %.3f without", leased, unleased)
			}
		})
	}
}

// earnedShare returns the share that is earned of what is asked for, in the mean over the seeds.
func earnedShare(t *testing.T, name string, leases bool) (share float64) {
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
		share += result.Result().Value.Whole / leaseSeeds
	}
	return share
}
