package limits

import (
	"net/netip"
	"testing"

	"valvecove/internal/config"
)

// The shares of a process with all or half of its limits leave descriptors for each process and its features. With the low
// limits below workers and clients still get connections.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		limits   config.Limits
		features int
		halved   bool
		want     Shares
	}{
		"full limits":        {config.Limits{Sockets: 1024, MemoryMB: 64}, 0, false, Shares{24, 0, 166, 834, 751, 16384, 5941930}},
		"half of the limits": {config.Limits{Sockets: 1024, MemoryMB: 64}, 0, true, Shares{24, 0, 81, 407, 367, 16384, 2970965}},
		"low limits":         {config.Limits{Sockets: 64, MemoryMB: 16}, 30, false, Shares{24, 30, 8, 2, -6, 4096, 699050}},
		"half of low limits": {
			config.Limits{Sockets: 64, MemoryMB: 16},
			30, true,
			Shares{24, 30, 8, 8, 0, 4096, 349525},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			budget := NewBudget(test.limits, test.features)
			budget.SetHalved(test.halved)
			if got := budget.Shares(); got != test.want || budget.IsHalved() != test.halved {
				t.Errorf("%+v, expected %+v", got, test.want)
			}
		})
	}
}

// Guards against a process being killed for memory while it is replaced: what it held for its clients did not fit twice.
func TestHeldMemoryFitsTwice(t *testing.T) {
	for memoryMB := 32; memoryMB <= 4096; memoryMB += 8 {
		shares := NewBudget(config.Limits{Sockets: 1024, MemoryMB: memoryMB}, 0).Shares()
		process := processBytes + heldKinds*shares.BufferBytes
		if limit := memoryMB << bytesPerMBShift; 2*process > limit {
			t.Errorf("%d MB: two processes may have %d bytes without garbage, %d allowed", memoryMB, 2*process, limit)
		}
	}
}

// OnChange's function is called after each change of the limits, even if the shares stay the same. A process with half of its
// limits gets half of the new ones.
func TestOnChangeIsCalledForEachChange(t *testing.T) {
	budget := NewBudget(config.Limits{Sockets: 1024, MemoryMB: 64}, 0)
	var reported []int
	budget.OnChange(func(shares Shares) { reported = append(reported, shares.ClientConnections) })
	budget.SetHalved(true)
	budget.SetLimits(config.Limits{Sockets: 512, MemoryMB: 64})
	budget.SetHalved(false)
	budget.SetHalved(false)
	want := []int{407, 194, 407, 407}
	if len(reported) != len(want) {
		t.Fatalf("reported %v, expected four changes", reported)
	}
	for i := range want {
		if reported[i] != want[i] {
			t.Errorf("reported %v, expected %v", reported, want)
		}
	}
}

// The descriptors of each enabled feature are counted.
func TestFeatureDescriptors(t *testing.T) {
	conf := config.Config{}
	if count := FeatureDescriptors(conf, config.Ops{}); count != 0 {
		t.Errorf("%d descriptors without features, expected 0", count)
	}
	conf.Management = netip.MustParseAddrPort("127.0.0.1:1")
	ops := config.Ops{Status: &config.Status{}, Metrics: &config.Metrics{}}
	if count := FeatureDescriptors(conf, ops); count != 16+2+8+2+2 {
		t.Errorf("%d descriptors with management, status and metrics, expected 30", count)
	}
	if shares := SharesOf(conf, ops); shares.FeatureDescriptors != 30 {
		t.Errorf("shares %+v, expected 30 descriptors for features", shares)
	}
}
