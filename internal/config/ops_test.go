package config

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"valvecove/internal/aperture"
)

// Each fault of the operators' file names its key.
func TestOpsFaults(t *testing.T) {
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

// What is absent is off, or has its default; what does not go with the platform's configuration is a fault.
func TestOps(t *testing.T) {
	c, err := Decode([]byte(sound), none)
	if err != nil {
		t.Fatal(err)
	}
	if o, err := DecodeOps("# nothing"); err != nil || o.Status != nil || o.Capture != nil || o.Replay != nil {
		t.Errorf("an empty file: %+v, %v", o, err)
	}
	o, err := DecodeOps("[log]\n")
	if err != nil || o.Log != (Log{}) || o.Log.Level != slog.LevelInfo {
		t.Errorf("defaults: %+v, %v", o.Log, err)
	}
	if o, err = DecodeOps("[log]\nformat = 'json'\nlevel = 'debug'"); err != nil || o.Log != (Log{true, slog.LevelDebug}) {
		t.Errorf("log: %+v, %v", o.Log, err)
	}
	o, err = DecodeOps("[capture]\n")
	if err != nil || *o.Capture != (Capture{MemoryKB: 512, FileMB: 8, Files: 4}) || o.Check(c) != nil {
		t.Errorf("defaults: %+v, %v", o.Capture, err)
	}
	if o.Capture.MemoryKB = 192<<10/8 + 1; o.Check(c) == nil {
		t.Error("a ring that takes up much of the memory")
	}
	if o, err = DecodeOps("[aperture]\nleast = 30\ndwell_s = 1.5"); err != nil || o.Aperture.MinWorkers != 30 ||
		o.Aperture.Retention != 1500*time.Millisecond || o.Aperture.Coverage != aperture.DefaultConfig().Coverage {
		t.Errorf("aperture: %+v, %v", o.Aperture, err)
	}
	o, err = DecodeOps("[figures]\n")
	if err != nil || *o.Metrics != (Metrics{Format: "statsd", FlushInterval: 10 * time.Second, MaxBatchBytes: 1400}) {
		t.Errorf("defaults: %+v, %v", o.Metrics, err)
	}
	o, err = DecodeOps(`[addresses]
allow = ["10.20.1.1/16", "::ffff:10.0.0.0/104", "fd00:5a::/48"]`)
	if a := o.Addresses; err != nil || fmt.Sprint(a.Allow) != "[10.20.0.0/16 10.0.0.0/8 fd00:5a::/48]" || a.Deny != nil || a.TrustedProxies != nil {
		t.Errorf("ranges: %+v, %v", a, err)
	}
	if text, err := os.ReadFile("../../deploy/ops.toml"); err != nil {
		t.Error(err)
	} else if o, err := DecodeOps(string(text)); err != nil || o.Capture == nil || o.Status != nil || o.Check(c) != nil {
		t.Errorf("ours: %+v, %v", o, err)
	}
	o, err = DecodeOps("[status]\nlisten_port = 9000")
	if err != nil || *o.Status != (Status{9000, 600 * time.Second, 20_000}) {
		t.Errorf("defaults: %+v, %v", o.Status, err)
	}
	if err := o.Check(c); err == nil || !strings.Contains(err.Error(), `key "status.listen_port"`) {
		t.Errorf("the port of PROXY_LISTEN: %v", err)
	}
	o, _ = DecodeOps("[status]\nlisten_port = 9001\nretain_s = 0.5\nmax_entries = 7")
	if err := o.Check(c); err != nil || *o.Status != (Status{9001, 500 * time.Millisecond, 7}) || o.StatusAddr(c).String() != "127.0.0.1:9001" {
		t.Errorf("%+v, %v", o.Status, err)
	}
}

// All that is wrong with both files is told, in its order and with the file, and a start names the first; what follows
// from a fault is not told beside it.
func TestAllFaults(t *testing.T) {
	dir := t.TempDir()
	put := func(name, text string) string {
		if err := os.WriteFile(dir+name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return dir + name
	}
	many := "[replay]\n"
	for n := range 2 * mostFaults {
		many += fmt.Sprintf("k%d = 1\n", n)
	}
	for _, c := range []struct {
		platform []string // what is replaced, by what
		ops      string
		want     string
	}{
		{
			[]string{
				`"listen":"127.0.0.1:9000"`, `"listen":"here"`, `"memory_mb":192`, `"memory_mb":"all"`, `"sockets":1024`, `"sockets":7`,
				`"give_up":5000000`, `"give_up":0`, `"name":"b"`, `"nom":"b"`, `"try_limit":6`, `"try_limit":"x"`,
			},
			"[no]",
			`c: key "limits.memory_mb": expected a number; c: key "settings.bounds.try_limit": expected a number; ` +
				`c: key "listen": expected an address and port, got "here"; c: key "limits.sockets": expected 64 at least, got 7; ` +
				`c: key "settings.classes[0].give_up": expected more than 0, got 0s; c: key "settings.classes[1].name": missing; o: key "no": not known`,
		},
		{
			[]string{`"settings":{`, `"settings":[],"x":{`, `:8500"`, `"`},
			"[status]\nlisten_port = 9000",
			`c: key "settings": expected an object; c: key "discovery": expected an address and port, got "127.0.0.1"`,
		},
		{
			[]string{`"listen":"127.0.0.1:9000"`, `"listen":9`, `"seed":"8c1f"`, `"seed":`},
			"",
			`c: key "listen": expected text; c: key "seed": expected text`,
		},
		{
			nil, "[status]\nlisten_port = 9000\n[log]\nlevel = 1\n[capture]\nmemory_kb = 1048577\nmore = 1\nless = 1",
			`o: key "log.level": expected text; o: key "capture.memory_kb": expected 64 to 1048576, got 1048577; ` +
				`o: key "capture.less": not known; o: key "capture.more": not known; o: key "status.listen_port": 9000 is the port of PROXY_LISTEN`,
		},
		{nil, many, strings.Repeat("o; ", mostFaults-1) + "o"},
	} {
		path, ops := put("c", strings.NewReplacer(c.platform...).Replace(sound)), put("o", c.ops)
		env := func(name string) string { return map[string]string{"PROXY_CONFIG": path}[name] }
		_, _, faults := LoadAll(env, ops)
		var told []string
		for _, f := range faults {
			told = append(told, strings.TrimPrefix(f.Error(), dir))
			if c.ops == many {
				told[len(told)-1] = "o"
			}
		}
		if got := strings.Join(told, "; "); got != c.want {
			t.Errorf("%s,\nexpected %s", got, c.want)
		}
		if _, err := Load(env); len(c.platform) > 0 && (err == nil || err.Error() != faults[0].Error()) {
			t.Errorf("a start says %v, expected %v", err, faults[0])
		}
	}
}
