package config

import (
	"bytes"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
	"valvecove/internal/storedform"
)

// Golden files of testdata/golden: examples of the platform's file, whose format the platform defines. The newest one contains
// every key that is read, and some that are skipped. They are never changed or regenerated; another format gets a file with a new
// number.
const (
	goldenPlatform          = "platform-1.json"
	goldenPlatformWithPeers = "platform-2.json" // like platform-1.json, with the keys for messages between schedulers
)

func TestGoldenPlatformFile(t *testing.T) {
	checkGoldenPlatform(t, goldenPlatform, goldenPlatformConfig(), "PeerMessages", "PeerCost", "PeerBudget")
}

func TestGoldenPlatformFileWithPeers(t *testing.T) {
	want := goldenPlatformConfig()
	want.PeerListen = netip.MustParseAddrPort("127.0.0.1:7946")
	want.Peers = []netip.AddrPort{
		netip.MustParseAddrPort("127.0.1.1:7946"),
		netip.MustParseAddrPort("[fd00:5a::2]:7946"),
		netip.MustParseAddrPort("127.0.1.3:7947"),
	}
	want.Settings.PeerMessages = true
	want.Settings.PeerCost = 0.015
	checkGoldenPlatform(t, goldenPlatformWithPeers, want, "PeerBudget")
}

// goldenPlatformConfig returns the configuration in goldenPlatform.
func goldenPlatformConfig() Config {
	return Config{
		Name:       "s-eu-3",
		Listen:     netip.MustParseAddrPort("127.0.0.1:9000"),
		Discovery:  netip.MustParseAddrPort("127.0.0.1:8500"),
		Management: netip.MustParseAddrPort("127.0.0.1:9001"),
		Seed:       0x8c1f30d27a5be964,
		Limits:     Limits{Cores: 1.5, MemoryMB: 512, Sockets: 4096},
		KnownEndpoints: requests.EndpointList{Revision: 41, Reset: true, Endpoints: []requests.Endpoint{{
			ID: "w-1", Addr: "127.0.0.2:7001",
			Zone: "b", MachineType: "slow-4c", Cell: 2, Lifecycle: "draining", Weight: 0.75, StartedAtMs: 1718000000123,
		}}},
		Settings: Settings{Names: requests.NameTable{
			Classes:      []string{"status-check", "cash-payout", "account-credit", "statement"},
			Tenants:      []string{"swat-society", "kurram-society"},
			Zones:        []string{"a", "b"},
			MachineTypes: []string{"std-4c", "slow-4c", "big-16c"},
		}, Settings: dispatch.Settings{
			Replicas: 3, ReplicaIndex: 2, Zone: 1, ZoneCount: 2,
			Classes: []dispatch.Class{
				{
					LatencyObjective: 80 * time.Millisecond, ObjectiveStretch: 2.5, ClientTimeout: 5 * time.Second, Idempotency: dispatch.Idempotent, PriorityWeight: 2,
					LateValue: 0.25, Zones: []int{1},
				},
				{
					LatencyObjective: 500 * time.Millisecond, ObjectiveStretch: 2, ClientTimeout: 7500 * time.Millisecond, Idempotency: dispatch.NonIdempotent, PriorityWeight: 2.5,
					Kinds: []int{0, 2},
				},
				{
					LatencyObjective: 500 * time.Millisecond, ObjectiveStretch: 1.5, ClientTimeout: 12 * time.Second, Idempotency: dispatch.IdempotentWithKey,
					DeduplicationScope: dispatch.ScopeZone, DeduplicationWindow: 20 * time.Second, PriorityWeight: 3, Kinds: []int{1},
				},
				{
					LatencyObjective: 900 * time.Millisecond, ObjectiveStretch: 1.25, ClientTimeout: 30 * time.Second, Idempotency: dispatch.IdempotentWithKey,
					DeduplicationScope: dispatch.ScopeAll, DeduplicationWindow: time.Minute, PriorityWeight: 1,
				},
			},
			TenantQuota: []float64{6, 12.5}, MustSubscribe: true, AttemptLimit: 6, Hedging: true, Cancellation: true,
			HealthChecks: true, StartNotifications: true, ProgressInterval: 2 * time.Second, MaxRetryAfter: 2 * time.Second,
			ReportFields:    []dispatch.ReportField{dispatch.ReportFieldOther, dispatch.ReportFieldFreeSlots, dispatch.ReportFieldOther},
			HealthCheckCost: 0.004, CrossZoneCost: 0.01, HandshakeCost: 0.02, TailShare: 0.2, MissBudget: 0.01,
			ConnectTimeout: 250 * time.Millisecond, ConnIdleTimeout: 30 * time.Second, PollInterval: 10 * time.Second,
			WarmUp: 8800 * time.Millisecond, WarmUpCapacity: 0.3, OverloadFactor: 3, OverloadWindow: 2 * time.Second,
		}},
	}
}

// checkGoldenPlatform expects that a golden file decodes to a configuration, and that the file has a key for each setting except
// settingsWithoutKey: the keys of those were added in a later format, or are in the operators' file.
func checkGoldenPlatform(t *testing.T, file string, want Config, settingsWithoutKey ...string) {
	t.Helper()
	text := storedform.Golden(t, file)
	got, err := Decode(text, noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	platform := got.PlatformSettings
	got.PlatformSettings = nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, expected %+v", got, want)
	}
	checkEachIsSet(t, settingsWithoutKey, reflect.ValueOf(got.Settings.Settings))
	checkEachIsSet(t, nil, reflect.ValueOf(got.Settings.Classes[0]), reflect.ValueOf(got.Settings.Classes[1]),
		reflect.ValueOf(got.Settings.Classes[2]))
	// Captures record PlatformSettings, which must be the unchanged text of the file.
	if !bytes.Contains(text, platform) {
		t.Errorf("PlatformSettings is not a part of the file: %s", platform)
	}
	again, err := DecodeSettings(platform)
	if err != nil || !reflect.DeepEqual(again, got.Settings) {
		t.Errorf("PlatformSettings decodes to %+v, %v", again, err)
	}
}

// checkEachIsSet expects that each field is not zero in at least one of the structs, which shows that the golden file contains
// its key. A field that is added gets its key in a golden file with a new number. The fields withoutKey must be zero.
func checkEachIsSet(t *testing.T, withoutKey []string, structs ...reflect.Value) {
	t.Helper()
	for i, field := range reflect.VisibleFields(structs[0].Type()) {
		isSet := slices.ContainsFunc(structs, func(v reflect.Value) bool { return !v.Field(i).IsZero() })
		if slices.Contains(withoutKey, field.Name) {
			if isSet {
				t.Errorf("%s is set, although the golden file has no key for it", field.Name)
			}
			continue
		}
		if !isSet {
			t.Errorf("%s is not set by any key of the golden file", field.Name)
		}
	}
}
