package config

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

func TestDecode(t *testing.T) {
	got := decodeValid(t)
	got.PlatformSettings = nil
	want := Config{
		Name:      "n3",
		Listen:    netip.MustParseAddrPort("127.0.0.1:9000"),
		Discovery: netip.MustParseAddrPort("127.0.0.1:8500"),
		Seed:      0x8c1f,
		Limits:    Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		KnownEndpoints: requests.EndpointList{Revision: 41, Reset: true, Endpoints: []requests.Endpoint{
			{ID: "s-1", Addr: "127.0.0.1:1", Zone: "z", StartedAtMs: 7},
		}},
		Settings: Settings{
			Names: requests.NameTable{
				Classes: []string{"a", "b"}, Tenants: []string{"t"}, Zones: []string{"z"}, MachineTypes: []string{"m"},
			},
			Settings: dispatch.Settings{
				Replicas: 2, ReplicaIndex: 1, ZoneCount: 1, MustSubscribe: true, StartNotifications: true,
				Classes: []dispatch.Class{
					{
						LatencyObjective: 80 * time.Millisecond, ObjectiveStretch: 2.5, ClientTimeout: 5 * time.Second,
						Idempotency: dispatch.Idempotent, PriorityWeight: 2,
					},
					{
						LatencyObjective: 500 * time.Millisecond, ObjectiveStretch: 1.5, ClientTimeout: 12 * time.Second,
						Idempotency: dispatch.IdempotentWithKey, DeduplicationScope: dispatch.ScopeCell,
						DeduplicationWindow: 20 * time.Second, Kinds: []int{0},
					},
				},
				TenantQuota: []float64{12}, AttemptLimit: 6, ConnectTimeout: 250 * time.Millisecond,
				MaxRetryAfter: 2 * time.Second, WarmUp: 8800 * time.Millisecond, WarmUpCapacity: 0.3,
				ReportFields: []dispatch.ReportField{dispatch.ReportFieldOther, dispatch.ReportFieldFreeSlots},
			},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, expected %+v", got, want)
	}
}

func TestDecodeDefaultsOfAbsentKeys(t *testing.T) {
	text := strings.NewReplacer(`"limits"`, `"x"`, `"listen"`, `"y"`).Replace(validPlatform)
	config, err := Decode([]byte(text), environment(map[string]string{"PROXY_LISTEN": "127.0.0.1:9001"}))
	if err != nil || config.Limits != defaultLimits || config.Listen.Port() != 9001 {
		t.Errorf("%+v at port %d, %v", config.Limits, config.Listen.Port(), err)
	}
}

// null is equivalent to an absent key, also for a key that takes precedence over another one.
func TestDecodeNullStretch(t *testing.T) {
	for text, want := range map[string]float64{`"aim_stretch":1.5`: 1.5, `"aim_stretch":null`: 2, `"later":null`: 2} {
		config, err := Decode([]byte(strings.Replace(validPlatform, `"aim_stretch":1.5`, text, 1)), noEnvironment)
		if err != nil || config.Settings.Classes[1].ObjectiveStretch != want {
			t.Errorf("%s: %v, classes %+v, expected stretch %v", text, err, config.Settings.Classes, want)
		}
	}
}

func TestDecodeErrorsNameTheKey(t *testing.T) {
	for _, test := range []struct{ name, old, new, want string }{
		{"malformed address", `"127.0.0.1:9000"`, `"here"`, `key "listen": expected an address and port, got "here"`},
		{"missing address", `"127.0.0.1:9000"`, `""`, `key "listen": missing, and PROXY_LISTEN is not set`},
		{"number for text", `"127.0.0.1:8500"`, `8500`, `key "discovery": expected text`},
		{"too few sockets", `"sockets":1024`, `"sockets":7`, `key "limits.sockets": expected 64 at least, got 7`},
		{"text for number", `"memory_mb":192`, `"memory_mb":"all"`, `key "limits.memory_mb": expected a number`},
		{"no settings", `"settings":`, `"set":`, `key "settings": missing`},
		{"too few attempts", `"try_limit":6`, `"try_limit":0`, `key "settings.bounds.try_limit": expected 1 at least, got 0`},
		{"fraction for integer", `"try_limit":6`, `"try_limit":1.5`, `key "settings.bounds.try_limit": expected a whole number`},
		{"number for boolean", `"retry_after":true`, `"retry_after":1`, `key "settings.bounds.retry_after": expected true or false`},
		{"text for duration", `"give_up":12000000`, `"give_up":"long"`, `key "settings.classes[1].give_up": expected a number`},
		{"no client timeout", `"give_up":12000000`, `"give_up":0`, `key "settings.classes[1].give_up": expected more than 0`},
		{"class without name", `"name":"b"`, `"nom":"b"`, `key "settings.classes[1].name": missing`},
		{"tenant without name", `"name":"t"`, `"nom":"t"`, `key "settings.tenants[0].name": missing`},
		{"number for list", `"class_stretch":[2.5,2]`, `"class_stretch":2`, `key "settings.domain.class_stretch": expected a list`},
		{"malformed endpoint", `"startedAtMs":7`, `"startedAtMs":"x"`, `key "known": not JSON`},
		{"duration out of bounds", `"cold":8800000`, `"cold":1e300`, `key "settings.rules.cold": expected microseconds`},
		{"truncated", `]}}}`, `]}}`, `not JSON`},
		{"no value", `"me":1`, `"me":`, `key "settings.me": expected a number`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Decode([]byte(strings.Replace(validPlatform, test.old, test.new, 1)), noEnvironment)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%v, expected %s", err, test.want)
			}
		})
	}
}

// The management address in the file takes precedence over the one in the environment. With neither, there is no such address.
func TestDecodeManagementAddress(t *testing.T) {
	const remainder = `"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"classes":[{"name":"a","promise":1,"give_up":5}],` +
		`"bounds":{"try_limit":1,"connect_timeout":5}}}`
	for _, test := range []struct{ name, text, variable, want, wantError string }{
		{"none", `{`, "", "invalid AddrPort", ""},
		{"environment", `{`, "127.0.0.1:3", "127.0.0.1:3", ""},
		{"file and environment", `{"management":"127.0.0.1:4",`, "127.0.0.1:3", "127.0.0.1:4", ""},
		{"malformed in file", `{"management":"here",`, "", "", `key "management": expected an address and port, got "here"`},
		{"malformed in environment", `{`, "there", "", `key "management": expected an address and port, got "there"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			variables := map[string]string{"PROXY_MANAGEMENT": test.variable, "TMPDIR": "/t"}
			config, err := Decode([]byte(test.text+remainder), environment(variables))
			if test.wantError != "" {
				if err == nil || err.Error() != test.wantError {
					t.Errorf("%v, expected %s", err, test.wantError)
				}
				return
			}
			hasStateDir := config.StateDir != ""
			if err != nil || config.Management.String() != test.want || hasStateDir != config.Management.IsValid() {
				t.Errorf("%v with state in %q, %v; expected %s", config.Management, config.StateDir, err, test.want)
			}
		})
	}
}

// peersOfTwo contains the keys of validPlatform that enable messages between two schedulers.
const peersOfTwo = `"peer_listen":"127.0.0.1:7946","peers":["127.0.1.1:7946","127.0.1.2:7946"],"limits":`

// withPeers returns validPlatform with messages between schedulers enabled, and then with replacements, which are pairs of texts.
func withPeers(replacements ...string) string {
	text := strings.NewReplacer(`"limits":`, peersOfTwo, `"try_limit":6`, `"try_limit":6,"peers":true`).Replace(validPlatform)
	return strings.NewReplacer(replacements...).Replace(text)
}

func TestDecodePeers(t *testing.T) {
	got, err := Decode([]byte(withPeers()), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	wantPeers := []netip.AddrPort{netip.MustParseAddrPort("127.0.1.1:7946"), netip.MustParseAddrPort("127.0.1.2:7946")}
	if !got.Settings.PeerMessages || got.PeerListen.String() != "127.0.0.1:7946" || !reflect.DeepEqual(got.Peers, wantPeers) {
		t.Errorf("messages %v, at %v, peers %v", got.Settings.PeerMessages, got.PeerListen, got.Peers)
	}
}

// A peer's IPv4 address that is written in IPv6-mapped form is converted, so that it equals the source address of datagrams.
func TestDecodePeersMappedToIPv6(t *testing.T) {
	got, err := Decode([]byte(withPeers(`"127.0.1.2:7946"`, `"[::ffff:127.0.1.2]:7946"`)), noEnvironment)
	if err != nil || got.Peers[1] != netip.MustParseAddrPort("127.0.1.2:7946") {
		t.Errorf("peers %v, %v", got.Peers, err)
	}
}

// Messages are disabled if the settings do not allow them or one of the keys is missing, whatever the values of the other keys.
func TestDecodeWithoutPeers(t *testing.T) {
	for name, replacements := range map[string][]string{
		"not allowed":              {`"peers":true`, `"peers":false`},
		"not allowed, and invalid": {`"peers":true`, `"peers":false`, `["127.0.1.1:7946","127.0.1.2:7946"]`, `["here"]`},
		"not in the settings":      {`"peers":true`, `"others":true`},
		"no addresses":             {`"peers":[`, `"others":[`},
		"empty list":               {`["127.0.1.1:7946","127.0.1.2:7946"]`, `[]`},
		"no own address":           {`"peer_listen"`, `"other_listen"`},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Decode([]byte(withPeers(replacements...)), noEnvironment)
			if err != nil || got.Settings.PeerMessages || got.PeerListen.IsValid() || got.Peers != nil {
				t.Errorf("messages %v, at %v, peers %v, %v", got.Settings.PeerMessages, got.PeerListen, got.Peers, err)
			}
		})
	}
}

func TestDecodePeersErrorsNameTheKey(t *testing.T) {
	for _, test := range []struct{ name, old, new, want string }{
		{"too few peers", `,"127.0.1.2:7946"`, ``, `key "peers": expected an address for each of settings.replicas_of_me, got 1`},
		{"too many peers", `"127.0.1.2:7946"`, `"127.0.1.2:7946","127.0.1.3:7946"`, `key "peers": expected an address for each of`},
		{"malformed peer", `"127.0.1.2:7946"`, `"n2:7946"`, `key "peers[1]": expected an address and port, got "n2:7946"`},
		{"peer without port", `"127.0.1.2:7946"`, `"127.0.1.2:0"`, `key "peers[1]": expected an address and port, got "127.0.1.2:0"`},
		{"malformed own address", `"127.0.0.1:7946"`, `"here"`, `key "peer_listen": expected an address and port, got "here"`},
		{"number for list", `["127.0.1.1:7946","127.0.1.2:7946"]`, `7`, `key "peers": expected a list`},
		{"own number out of bounds", `"me":1`, `"me":2`, `key "settings.me": expected a number from 0 to 1, got 2`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Decode([]byte(withPeers(test.old, test.new)), noEnvironment)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%v, expected %s", err, test.want)
			}
		})
	}
}
