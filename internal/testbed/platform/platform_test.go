package platform

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/scenario"
)

func none(string) string { return "" }

// A scheduler reads in the text what the scenario says, and nothing in it is unknown to it or out of its bounds.
func TestConfig(t *testing.T) {
	spec := scenario.Default()
	spec.Schedulers.Count, spec.Fleet.Zones = 3, []string{"a", "b"}
	spec.Classes[2].Kind = "slow-4c"
	text := Config(spec, 1, Options{
		Listen: "127.0.0.1:9000", Discovery: "127.0.0.1:8500", Seed: 0xfe,
		KnownEndpoints: requests.EndpointList{Revision: 4, Endpoints: []requests.Endpoint{{ID: "w-1", Addr: "127.0.0.2:1"}}},
	})
	c, err := config.Decode(text, none)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n1" || c.Seed != 0xfe || c.Listen.Port() != 9000 || c.Limits.Sockets != spec.Schedulers.Sockets ||
		c.KnownEndpoints.Revision != 4 || len(c.KnownEndpoints.Endpoints) != 1 {
		t.Errorf("read %+v", c)
	}
	set := c.Settings
	if set.Replicas != 3 || set.ReplicaIndex != 1 || set.Zone != 1 || !set.MustSubscribe || set.AttemptLimit != 6 ||
		set.ConnectTimeout != 250*time.Millisecond || set.MaxRetryAfter != 2*time.Second || set.OverloadFactor != 3 ||
		set.OverloadWindow != 2*time.Second || set.WarmUp != 8*time.Second || set.WarmUpCapacity != 0.35 || !set.StartNotifications ||
		set.ProgressInterval != 2*time.Second || set.PollInterval != 10*time.Second || len(set.ReportFields) != 0 ||
		set.HealthCheckCost != healthCheckPrice {
		t.Errorf("settings %+v", set.Settings)
	}
	check, payout, credit := set.Classes[0], set.Classes[2], set.Classes[3]
	if check.LatencyObjective != 80*time.Millisecond || check.ObjectiveStretch != 2.5 || check.ClientTimeout != 5*time.Second ||
		check.Idempotency != dispatch.Idempotent || check.PriorityWeight != 2 || check.Kinds != nil ||
		payout.Idempotency != dispatch.NonIdempotent || !reflect.DeepEqual(payout.Kinds, []int{1}) ||
		credit.Idempotency != dispatch.IdempotentWithKey || credit.DeduplicationScope != dispatch.ScopeCell || credit.DeduplicationWindow != 20*time.Second {
		t.Errorf("classes %+v", set.Classes)
	}
	if got := strings.Join(set.Names.MachineTypes, " ") + " " + strings.Join(set.Names.Zones, " "); got != "std-4c slow-4c a b" {
		t.Errorf("names %s", got)
	}
	// The quotas add up to the part of the capacity that is given away, in jobs a second.
	sum := 0.0
	for _, q := range set.TenantQuota {
		sum += q
	}
	if want := spec.Load.Quota * spec.Capacity() / spec.MeanCost(); sum < want*0.999 || sum > want*1.001 {
		t.Errorf("quotas add up to %v, expected %v", sum, want)
	}
	same, err := Settings(spec, 1)
	if err != nil || !reflect.DeepEqual(same, set) {
		t.Errorf("settings alone differ: %+v, %v", same, err)
	}
}

// What one kind of worker does not tell can't be relied on, and the weakest start is the one that counts.
func TestKindsThatDiffer(t *testing.T) {
	spec := scenario.Default()
	spec.Fleet.Kinds[1].OmitsStartNotifications, spec.Fleet.Kinds[1].WarmUpCapacity = true, 0.2
	spec.Fleet.Kinds[0].WarmUp, spec.Fleet.Kinds[0].QueueOrder = scenario.Duration(12*time.Second), "backfill"
	set, err := Settings(spec, 0)
	if err != nil || set.StartNotifications || set.ProgressInterval != 0 || set.WarmUpCapacity != 0.2 || set.WarmUp != 12*time.Second {
		t.Errorf("%+v, %v", set.Settings, err)
	}
	if sequence := newSettings(spec, 0).Domain.QueueOrder; sequence != "fifo" {
		t.Errorf("queue order %s", sequence)
	}
}
