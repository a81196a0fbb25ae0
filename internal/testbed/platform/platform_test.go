package platform

import (
	"math"
	"reflect"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/scenario"
)

// environment is an environment without variables.
func environment(string) string { return "" }

// field is one value of a decoded configuration, with the value that the scenario gives it.
type field struct {
	name      string
	got, want any
}

func checkFields(t *testing.T, fields []field) {
	t.Helper()
	for _, f := range fields {
		if !reflect.DeepEqual(f.got, f.want) {
			t.Errorf("%s: got %v, want %v", f.name, f.got, f.want)
		}
	}
}

// testScenario returns a scenario with two zones, and a class that is bound to a kind of worker.
func testScenario() *scenario.Scenario {
	spec := scenario.Default()
	spec.Schedulers.Count = 3
	spec.Fleet.Zones = []string{"a", "b"}
	spec.Classes[2].Kind = "slow-4c"
	return spec
}

func decodeConfig(t *testing.T, spec *scenario.Scenario) config.Config {
	t.Helper()
	text := Config(spec, 1, Options{
		Listen: "127.0.0.1:9000", Discovery: "127.0.0.1:8500", Seed: 0xfe,
		KnownEndpoints: requests.EndpointList{Revision: 4, Endpoints: []requests.Endpoint{{ID: "w-1", Addr: "127.0.0.2:1"}}},
	})
	decoded, err := config.Decode(text, environment)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// A scheduler accepts the configuration, and the decoded values are those of the scenario.
func TestConfig(t *testing.T) {
	spec := testScenario()
	decoded := decodeConfig(t, spec)
	set := decoded.Settings
	checkFields(t, []field{
		{"name", decoded.Name, "n1"},
		{"seed", decoded.Seed, uint64(0xfe)},
		{"port", decoded.Listen.Port(), uint16(9000)},
		{"sockets", decoded.Limits.Sockets, spec.Schedulers.Sockets},
		{"revision", decoded.KnownEndpoints.Revision, int64(4)},
		{"endpoints", len(decoded.KnownEndpoints.Endpoints), 1},
		{"replicas", set.Replicas, 3},
		{"replica index", set.ReplicaIndex, 1},
		{"zone", set.Zone, 1},
		{"must subscribe", set.MustSubscribe, true},
		{"attempt limit", set.AttemptLimit, 6},
		{"connect timeout", set.ConnectTimeout, 250 * time.Millisecond},
		{"max retry after", set.MaxRetryAfter, 2 * time.Second},
		{"overload factor", set.OverloadFactor, 3.0},
		{"overload window", set.OverloadWindow, 2 * time.Second},
		{"warm-up", set.WarmUp, 8 * time.Second},
		{"warm-up capacity", set.WarmUpCapacity, 0.35},
		{"start notifications", set.StartNotifications, true},
		{"progress interval", set.ProgressInterval, 2 * time.Second},
		{"poll interval", set.PollInterval, 10 * time.Second},
		{"report fields", len(set.ReportFields), 0},
		{"health check cost", set.HealthCheckCost, healthCheckPrice},
		{"machine types", set.Names.MachineTypes, []string{"std-4c", "slow-4c"}},
		{"zones", set.Names.Zones, []string{"a", "b"}},
	})
}

func TestConfigClasses(t *testing.T) {
	set := decodeConfig(t, testScenario()).Settings
	check, payout, credit := set.Classes[0], set.Classes[2], set.Classes[3]
	checkFields(t, []field{
		{"latency objective", check.LatencyObjective, 80 * time.Millisecond},
		{"objective stretch", check.ObjectiveStretch, 2.5},
		{"client timeout", check.ClientTimeout, 5 * time.Second},
		{"idempotency", check.Idempotency, dispatch.Idempotent},
		{"priority weight", check.PriorityWeight, 2.0},
		{"kinds of any", check.Kinds, []int(nil)},
		{"idempotency of payout", payout.Idempotency, dispatch.NonIdempotent},
		{"kinds of payout", payout.Kinds, []int{1}},
		{"idempotency of credit", credit.Idempotency, dispatch.IdempotentWithKey},
		{"deduplication scope", credit.DeduplicationScope, dispatch.ScopeCell},
		{"deduplication window", credit.DeduplicationWindow, 20 * time.Second},
	})
}

// The quotas sum to the share of the capacity that the scenario assigns to tenants, in jobs a second.
func TestConfigQuotas(t *testing.T) {
	spec := testScenario()
	sum := 0.0
	for _, quota := range decodeConfig(t, spec).Settings.TenantQuota {
		sum += quota
	}
	want := spec.Load.Quota * spec.Capacity() / spec.MeanCost()
	if math.Abs(sum-want) > 0.001*want {
		t.Errorf("quotas sum to %v, want %v", sum, want)
	}
}

func TestSettingsAsInConfig(t *testing.T) {
	spec := testScenario()
	set, err := Settings(spec, 1)
	if err != nil {
		t.Fatal(err)
	}
	if want := decodeConfig(t, spec).Settings; !reflect.DeepEqual(set, want) {
		t.Errorf("got %+v, want %+v", set, want)
	}
}

// If the kinds of workers differ, the settings have the values that hold for every kind.
func TestSettingsKindsThatDiffer(t *testing.T) {
	spec := scenario.Default()
	spec.Fleet.Kinds[1].OmitsStartNotifications = true
	spec.Fleet.Kinds[1].WarmUpCapacity = 0.2
	spec.Fleet.Kinds[0].WarmUp = scenario.Duration(12 * time.Second)
	spec.Fleet.Kinds[0].QueueOrder = queueBackfill
	set, err := Settings(spec, 0)
	if err != nil {
		t.Fatal(err)
	}
	checkFields(t, []field{
		{"start notifications", set.StartNotifications, false},
		{"progress interval", set.ProgressInterval, time.Duration(0)},
		{"warm-up capacity", set.WarmUpCapacity, 0.2},
		{"warm-up", set.WarmUp, 12 * time.Second},
		{"queue policy", newSettings(spec, 0).Domain.QueueOrder, queueFIFO},
	})
}

// If schedulers are peers, the configuration has their addresses and the price of peer messages.
func TestConfigPeers(t *testing.T) {
	spec := testScenario()
	spec.Peers = scenario.Peers{On: true, Price: 0.02}
	addresses := []string{"127.0.0.1:7", "127.0.0.2:7", "127.0.0.3:7"}
	text := Config(spec, 1, Options{
		Listen: "127.0.0.2:9000", Discovery: "127.0.0.9:1", PeerListen: addresses[1], Peers: addresses,
	})
	decoded, err := config.Decode(text, environment)
	if err != nil {
		t.Fatal(err)
	}
	checkFields(t, []field{
		{"peer messages", decoded.Settings.PeerMessages, true},
		{"peer cost", decoded.Settings.PeerCost, 0.02},
		{"peer listen", decoded.PeerListen.String(), addresses[1]},
		{"peers", len(decoded.Peers), len(addresses)},
	})
}
