package scenario

import (
	"math"
	"testing"
	"time"
)

// The load, the quotas and the capacity agree.
func TestScenarioCapacity(t *testing.T) {
	s := &Scenario{
		Fleet: Fleet{Workers: 10, Zones: []string{"a", "b"}, Kinds: []WorkerKind{
			{Share: 3, Cores: 4, Slots: 4, Speed: 1},
			{Share: 1, Cores: 8, Slots: 2, Speed: 0.5},
		}},
		Classes: []Class{
			{Share: 1, Work: Duration(time.Second), Slots: []float64{1, 1}},
			{Share: 3, Work: Duration(100 * time.Millisecond)},
		},
		Tenants: []Tenant{{Quota: 1}, {Quota: 3}},
		Load:    Load{CapacityShare: 0.5, Quota: 0.8},
	}
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s %v, expected %v", what, got, want)
		}
	}
	near("capacity", s.Capacity(), 10*(3*4+1*2*0.5)/4)
	near("mean cost", s.MeanCost(), (1.5+3*0.1)/4)
	near("rate", s.Rate(), 0.5*s.Capacity()/s.MeanCost())
	near("quota", s.QuotaRate(1), 0.8*0.75*s.CapacityRate())
	if s.ZoneOf(0) != 0 || s.ZoneOf(3) != 1 {
		t.Errorf("schedulers 0 and 3 are in zones %d and %d, expected 0 and 1", s.ZoneOf(0), s.ZoneOf(3))
	}
	s.Load = Load{Rate: 7}
	near("given rate", s.Rate(), 7)
	s.Load = Load{ClosedClients: 5, CapacityShare: 1}
	near("closed load", s.Rate(), 0)
	near("an empty fleet", (&Scenario{}).CapacityRate(), 0)
}
