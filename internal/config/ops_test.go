package config

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/aperture"
)

func TestDecodeOpsErrorsNameTheKey(t *testing.T) {
	for text, want := range map[string]string{
		"status = 1":                                   `key "status": expected a table`,
		"[status]":                                     `key "status.listen_port": missing`,
		"[status]\nlisten_port = '80'":                 `key "status.listen_port": expected a whole number`,
		"[status]\nlisten_port = 65536":                `key "status.listen_port": expected 1 to 65535, got 65536`,
		"[status]\nlisten_port = 80.5":                 `key "status.listen_port": expected a whole number`,
		"[status]\nlisten_port = 80\nretain_s = -1":    `key "status.retain_s": expected 0 to 1e+07, got -1`,
		"[status]\nlisten_port = 80\nretain_s = true":  `key "status.retain_s": expected a number`,
		"[status]\nlisten_port = 80\nretain_s = nan":   `key "status.retain_s": expected 0 to 1e+07, got NaN`,
		"[status]\nlisten_port = 80\nmax_entries = 0":  `key "status.max_entries": expected 1 to 1000000, got 0`,
		"[status]\nlisten_port = 80\nport = 1\nno = 2": `key "status.no": not known`,
		"[capture]\nmemory_kb = 63":                    `key "capture.memory_kb": expected 64 to 1048576, got 63`,
		"[capture]\ndir = 5":                           `key "capture.dir": expected text`,
		"[capture]\nfile_mb = 0":                       `key "capture.file_mb": expected 1 to 1024, got 0`,
		"[capture]\nfiles = '4'":                       `key "capture.files": expected a whole number`,
		"[figures]\nformat = 'graphite'":               `key "figures.format": expected "statsd" or "influx", got "graphite"`,
		"[figures]\nflush_ms = 9":                      `key "figures.flush_ms": expected 10 to 3600000, got 9`,
		"[figures]\nudp_target = 'collector:8125'":     `key "figures.udp_target": expected an address and port, got "collector:8125"`,
		"[figures]\nudp_target = '127.0.0.1:0'":        `key "figures.udp_target": expected an address and port, got "127.0.0.1:0"`,
		"[figures]\nmax_batch_bytes = 0":               `key "figures.max_batch_bytes": expected 1 to 65000, got 0`,
		"[figures]\nfile = ''":                         `key "figures.file": expected text`,
		"[addresses]\nallow = '10.0.0.0/8'":            `key "addresses.allow": expected a list`,
		"[addresses]\ndeny = ['10.0.0.0/8', '10.1']":   `key "addresses.deny[1]": expected a range such as "10.20.0.0/16" or "fd00:5a::/48", got "10.1"`,
		"[addresses]\ndeny = ['10.0.0.0/33']":          `key "addresses.deny[0]": expected a range`,
		"[addresses]\nallow = ['::ffff:0.0.0.0/95']":   `key "addresses.allow[0]": expected a range`,
		"[addresses]\ntrusted_fronts = [1]":            `key "addresses.trusted_fronts[0]": expected a range such as "10.20.0.0/16" or "fd00:5a::/48", got 1`,
		"[aperture]\ncover = 1":                        `key "aperture.cover": expected 2 to 1000, got 1`,
		"[aperture]\nfrom_schedulers = 1":              `key "aperture.from_schedulers": expected 2 to 1000000, got 1`,
		"[aperture]\nwiden_at = 0":                     `key "aperture.widen_at": expected 0.01 to 1, got 0`,
		"[aperture]\nof_fleet = 0.1":                   `key "aperture.of_fleet": not known`,
		"[gossip]\nbudget = 1.5":                       `key "gossip.budget": expected 0 to 1, got 1.5`,
		"[gossip]\nbudget = '2%'":                      `key "gossip.budget": expected a number`,
		"[gossip]\nshare = 0.1":                        `key "gossip.share": not known`,
		"[replay]\nsetting = 1":                        `key "replay.setting": not known`,
		"[replay]\nsettings = 1":                       `key "replay.settings": expected a table`,
		"[stats]\n":                                    `key "stats": not known`,
		"[log]\nformat = 'xml'":                        `key "log.format": expected "text" or "json", got "xml"`,
		"[log]\nlevel = 'INFO'":                        `key "log.level": expected "debug" or "info" or "warn" or "error", got "INFO"`,
		"[log]\nlevel = 3":                             `key "log.level": expected text`,
		"[log]\nfile = 'x'":                            `key "log.file": not known`,
		"listen_port = 80":                             `key "listen_port": not known`,
		"[status":                                      "not TOML",
		"[status]\n[status]":                           "not TOML",
	} {
		if _, err := DecodeOps(text); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, expected %s", text, err, want)
		}
	}
}

func TestDecodeOpsOfEmptyFile(t *testing.T) {
	if ops := decodeValidOps(t, "# nothing"); ops != (Ops{}) {
		t.Errorf("decoded %+v, expected the zero value", ops)
	}
}

// The operators' file of the deployment has no errors, and does not conflict with the platform's file. It disables the status
// call and enables leases.
func TestDecodeOpsOfDeployment(t *testing.T) {
	text, err := os.ReadFile("../../deploy/ops.toml")
	if err != nil {
		t.Fatal(err)
	}
	ops := decodeValidOps(t, string(text))
	if err := ops.Check(decodeValid(t)); err != nil || ops.Capture == nil || ops.Status != nil {
		t.Errorf("decoded %+v, check: %v", ops, err)
	}
	if ops.Gossip == nil || ops.Gossip.Budget != 0.02 {
		t.Errorf("section gossip: %+v", ops.Gossip)
	}
}

func TestDecodeOpsLog(t *testing.T) {
	for text, want := range map[string]Log{
		"[log]\n": {Level: slog.LevelInfo},
		"[log]\nformat = 'json'\nlevel = 'debug'": {JSON: true, Level: slog.LevelDebug},
	} {
		if got := decodeValidOps(t, text).Log; got != want {
			t.Errorf("%q: %+v, expected %+v", text, got, want)
		}
	}
	if want := (Log{}); decodeValidOps(t, "[log]\n").Log != want {
		t.Error("the default is not the zero value of Log")
	}
}

func TestDecodeOpsStatus(t *testing.T) {
	for text, want := range map[string]Status{
		"[status]\nlisten_port = 9000": {Port: 9000, Retention: 600 * time.Second, MaxEntries: 20_000},
		"[status]\nlisten_port = 9001\nretain_s = 0.5\nmax_entries = 7": {
			Port: 9001, Retention: 500 * time.Millisecond, MaxEntries: 7,
		},
	} {
		if got := *decodeValidOps(t, text).Status; got != want {
			t.Errorf("%q: %+v, expected %+v", text, got, want)
		}
	}
}

func TestStatusAddr(t *testing.T) {
	ops := decodeValidOps(t, "[status]\nlisten_port = 9001")
	config := decodeValid(t)
	if got := ops.StatusAddr(config).String(); got != "127.0.0.1:9001" || ops.Check(config) != nil {
		t.Errorf("address %s, check: %v", got, ops.Check(config))
	}
}

func TestCheckRejectsPortOfListen(t *testing.T) {
	ops := decodeValidOps(t, "[status]\nlisten_port = 9000")
	if err := ops.Check(decodeValid(t)); err == nil || !strings.Contains(err.Error(), `key "status.listen_port"`) {
		t.Errorf("%v, expected an error of status.listen_port", err)
	}
}

func TestDecodeOpsCapture(t *testing.T) {
	ops := decodeValidOps(t, "[capture]\n")
	if *ops.Capture != (Capture{MemoryKB: 512, FileMB: 8, Files: 4}) {
		t.Errorf("section capture: %+v", ops.Capture)
	}
}

// The ring may use at most an eighth of the memory limit.
func TestCheckRejectsRingTooLargeForMemory(t *testing.T) {
	ops := decodeValidOps(t, "[capture]\n")
	config := decodeValid(t)
	if err := ops.Check(config); err != nil {
		t.Errorf("the default of %d KB: %v", ops.Capture.MemoryKB, err)
	}
	ops.Capture.MemoryKB = 192<<10/8 + 1
	const want = `key "capture.memory_kb": expected 24576 at most where limits.memory_mb is 192, got 24577`
	if err := ops.Check(config); err == nil || err.Error() != want {
		t.Errorf("%v, expected %s", err, want)
	}
}

func TestDecodeOpsAperture(t *testing.T) {
	want := aperture.DefaultConfig()
	want.MinWorkers = 30
	want.Retention = 1500 * time.Millisecond
	if got := *decodeValidOps(t, "[aperture]\nleast = 30\ndwell_s = 1.5").Aperture; got != want {
		t.Errorf("%+v, expected %+v", got, want)
	}
}

func TestDecodeOpsMetrics(t *testing.T) {
	want := Metrics{Format: "statsd", FlushInterval: 10 * time.Second, MaxBatchBytes: 1400}
	if got := *decodeValidOps(t, "[figures]\n").Metrics; got != want {
		t.Errorf("%+v, expected %+v", got, want)
	}
}

func TestDecodeOpsAddresses(t *testing.T) {
	addresses := decodeValidOps(t, `[addresses]
allow = ["10.20.1.1/16", "::ffff:10.0.0.0/104", "fd00:5a::/48"]`).Addresses
	if fmt.Sprint(addresses.Allow) != "[10.20.0.0/16 10.0.0.0/8 fd00:5a::/48]" || addresses.Deny != nil || addresses.TrustedProxies != nil {
		t.Errorf("section addresses: %+v", addresses)
	}
}

// Messages between schedulers are disabled if the section is absent, or if its budget is 0 and messages have a cost.
func TestGossipAppliesToSettings(t *testing.T) {
	for _, test := range []struct {
		name, ops    string
		cost         float64
		wantMessages bool
		wantBudget   float64
		wantLeases   bool
	}{
		{"no section", "", 0, false, 0, false},
		{"default", "[gossip]", 0.03, true, 0.02, true},
		{"cost above the default budget", "[gossip]", 0.04, true, 0.02, false},
		{"larger budget", "[gossip]\nbudget = 0.1", 0.04, true, 0.1, true},
		{"budget 0", "[gossip]\nbudget = 0", 0.001, false, 0, false},
		{"budget 0, no cost", "[gossip]\nbudget = 0", 0, true, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := Settings{Settings: dispatch.Settings{Replicas: 8, StartNotifications: true, PeerMessages: true, PeerCost: test.cost}}
			decodeValidOps(t, test.ops).ApplyTo(&settings)
			if settings.PeerMessages != test.wantMessages || settings.PeerBudget != test.wantBudget {
				t.Errorf("messages %v, budget %v", settings.PeerMessages, settings.PeerBudget)
			}
			if got := settings.UsesLeases(); got != test.wantLeases {
				t.Errorf("leases %v, expected %v", got, test.wantLeases)
			}
		})
	}
}

// ApplyTo enables no messages that the platform's settings forbid. Override ignores the section gossip of the file that a replay
// is given, as the capture also records the effect of that section on the scheduler that wrote it.
func TestGossipOfRecordedSettings(t *testing.T) {
	for _, test := range []struct {
		ops, peers    string
		want, applied bool
	}{
		{"", "true", true, false},
		{"", "false", false, false},
		{"[gossip]", "true", true, true},
		{"[gossip]", "false", false, false},
		{"[gossip]\n[replay.settings.bounds]\npeers = false", "true", false, false},
	} {
		recorded := `{"classes":[{"name":"a","promise":1,"give_up":5}],` +
			`"bounds":{"try_limit":1,"connect_timeout":5,"peers":` + test.peers + `}}`
		ops := decodeValidOps(t, test.ops)
		settings, err := ops.Override([]byte(recorded))
		if err != nil || settings.PeerMessages != test.want || settings.PeerBudget != 0 {
			t.Errorf("%q and peers %s: messages %v, budget %v, %v", test.ops, test.peers, settings.PeerMessages, settings.PeerBudget, err)
		}
		if ops.ApplyTo(&settings); settings.PeerMessages != test.applied {
			t.Errorf("%q and peers %s: messages %v after ApplyTo", test.ops, test.peers, settings.PeerMessages)
		}
	}
}
