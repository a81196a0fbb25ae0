package config

import (
	"bytes"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"valvecove/internal/ledger"
	"valvecove/internal/storedform"
	"valvecove/logic"
)

// The platform writes this file, and its form is the platform's: the file holds every key that is read, and some that are
// passed over. It is never regenerated except under a new form number.
const goldenPlatform = "platform-1.json"

func TestGoldenPlatformFile(t *testing.T) {
	text := storedform.Golden(t, goldenPlatform)
	got, err := Decode(text, none)
	if err != nil {
		t.Fatal(err)
	}
	platform := got.Platform
	got.Platform = nil
	want := Config{
		Name:       "s-eu-3",
		Listen:     netip.MustParseAddrPort("127.0.0.1:9000"),
		Discovery:  netip.MustParseAddrPort("127.0.0.1:8500"),
		Management: netip.MustParseAddrPort("127.0.0.1:9001"),
		Seed:       0x8c1f30d27a5be964,
		Limits:     Limits{Cores: 1.5, MemoryMB: 512, Sockets: 4096},
		Known: ledger.HostGroup{Generation: 41, Reset: true, Hosts: []ledger.Host{{ID: "w-1", Addr: "127.0.0.2:7001",
			Zone: "b", Kind: "slow-4c", Cell: 2, State: "draining", Weight: 0.75, StartedMs: 1718000000123}}},
		Settings: Settings{Names: ledger.Names{
			Classes: []string{"status-check", "cash-payout", "account-credit", "statement"},
			Tenants: []string{"swat-society", "kurram-society"},
			Zones:   []string{"a", "b"},
			Kinds:   []string{"std-4c", "slow-4c", "big-16c"},
		}, Settings: logic.Settings{
			Replicas: 3, Me: 2, Zone: 1,
			Classes: []logic.Class{
				{Aim: 80 * time.Millisecond, Stretch: 2.5, GiveUp: 5 * time.Second, Effect: logic.Safe, Worth: 2,
					LateShare: 0.25, Zones: []int{1}},
				{Aim: 500 * time.Millisecond, Stretch: 2, GiveUp: 7500 * time.Millisecond, Effect: logic.Unsafe, Worth: 2.5,
					Kinds: []int{0, 2}},
				{Aim: 500 * time.Millisecond, Stretch: 1.5, GiveUp: 12 * time.Second, Effect: logic.Keyed,
					Group: logic.GroupZone, Window: 20 * time.Second, Worth: 3, Kinds: []int{1}},
				{Aim: 900 * time.Millisecond, Stretch: 1.25, GiveUp: 30 * time.Second, Effect: logic.Keyed,
					Group: logic.GroupAll, Window: time.Minute, Worth: 1},
			},
			TenantQuota: []float64{6, 12.5}, MustSubscribe: true, TryLimit: 6, SecondCopies: true, Cancelling: true,
			Probes: true, TellsStart: true, Progress: 2 * time.Second, MaxRetryAfter: 2 * time.Second,
			Report:     []logic.Field{logic.FieldOther, logic.FieldFreeSlots, logic.FieldOther},
			ProbePrice: 0.004, CrossPrice: 0.01, HandshakePrice: 0.02, TailPart: 0.2, BorneMisses: 0.01,
			ConnectTimeout: 250 * time.Millisecond, ConnIdle: 30 * time.Second, AskEvery: 10 * time.Second,
			Cold: 8800 * time.Millisecond, ColdFrom: 0.3, Overload: 3, OverloadSpan: 2 * time.Second,
		}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, expected %+v", got, want)
	}
	checkNoneIsZero(t, reflect.ValueOf(got.Settings.Settings))
	checkNoneIsZero(t, reflect.ValueOf(got.Settings.Classes[0]), reflect.ValueOf(got.Settings.Classes[1]),
		reflect.ValueOf(got.Settings.Classes[2]))
	// A capture keeps the settings as the text has them.
	if !bytes.Contains(text, platform) {
		t.Errorf("the settings are kept as %s", platform)
	}
	again, err := DecodeSettings(platform)
	if err != nil || !reflect.DeepEqual(again, got.Settings) {
		t.Errorf("the kept settings read as %+v, %v", again, err)
	}
}

// checkNoneIsZero expects that each field has a value in one of the structs at least: each key is in the file. A field that
// is added gets its key in a file of a further form number.
func checkNoneIsZero(t *testing.T, structs ...reflect.Value) {
	t.Helper()
	for i, field := range reflect.VisibleFields(structs[0].Type()) {
		if !slices.ContainsFunc(structs, func(v reflect.Value) bool { return !v.Field(i).IsZero() }) {
			t.Errorf("no key of the golden file gives %s a value", field.Name)
		}
	}
}
