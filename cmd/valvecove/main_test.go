package main

import (
	"bytes"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"
)

// Contents of both configuration files.
const (
	platformFile = `{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","limits":{"memory_mb":64,"sockets":256},
"known":{"generation":7,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}]},
"settings":{"replicas_of_me":3,"me":1,"discovery":"subscribe","zones":["z"],"kinds":["m","l"],
"classes":[{"name":"status-check","promise":80000,"give_up":5000000,"idempotency":"pure","gain":2},
{"name":"transfer","promise":500000,"give_up":12000000,"idempotency":"token","dedup_scope":"zone","window":20000000,"bound_to":[1]},
{"name":"cash-payout","promise":500000,"give_up":9000000,"late_share":0.3}],
"tenants":[{"name":"swat-society","quota_per_s":12},{"name":"mardan-society"}],"bounds":{"try_limit":6,"connect_timeout":250000}}}`

	opsFile = "[log]\nformat = 'json'\nlevel = 'warn'\n[status]\nlisten_port = 9100\n[figures]\nudp_target = '127.0.0.1:8125'\n" +
		"[addresses]\ndeny = ['10.20.9.0/24']"
)

// Each command line returns its exit code, and prints the expected parts to standard output and standard error.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"sound": platformFile, "ours": opsFile, "text": "no capture", "port": "[status]\nlisten_port = 9000",
		"few": strings.Replace(platformFile, `"sockets":256`, `"sockets":6`, 1), "level": "[log]\nlevel = 'all'\n[capture]\ndir = 'none'",
		"dirs":  "[capture]\ndir = 'none'\n[figures]\nfile = '/'",
		"wrong": strings.NewReplacer(`"give_up":9000000`, `"give_up":0`, `"127.0.0.1:8500"`, `"there"`).Replace(platformFile),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(dir)
	for _, c := range []struct {
		args           string
		platform       string // value of PROXY_CONFIG
		code           int
		stdout, stderr string // expected parts in this order, separated by "|"; empty: nothing is printed
	}{
		{"", "", 1, "", "valvecove: PROXY_CONFIG: not set"},
		{"serve", "", 1, "", "valvecove: PROXY_CONFIG: not set"},
		{"", "few", 1, "", `valvecove: few: key "limits.sockets": expected 64 at least, got 6`},
		{"--config none", "sound", 1, "", "valvecove: --config: open none"},
		{"serve --config=none", "sound", 1, "", "valvecove: --config: open none"},
		{"--config none serve", "sound", 1, "", "valvecove: --config: open none"},
		{"--config port", "sound", 1, "", `valvecove: key "status.listen_port": 9000 is the port`},

		{"swerve", "sound", 2, "", "valvecove: unexpected argument swerve"},
		{"serve now", "sound", 2, "", "valvecove: unexpected argument now"},
		{"--port 1", "sound", 2, "", "valvecove: unknown flag --port"},
		{"--config", "sound", 2, "", "valvecove: --config: expected"},
		{"check --capture x", "sound", 2, "", "valvecove: unknown flag --capture"},
		{"replay", "", 2, "", "valvecove: missing flags: --capture=FILE"},
		{"replay --capture none", "", 2, "", "valvecove replay: open none"},
		{"replay --capture text", "", 2, "", "valvecove replay: text: no capture in it"},
		{"replay --capture text --config level", "", 2, "", `valvecove replay: level: key "log.level"`},

		{"--help", "", 0, "Usage: valvecove|Exit codes:|0  done|2  the command line|serve|check|replay|version", ""},
		{"serve --help", "", 0, "SIGHUP|Exit codes:|has drained", ""},
		{"check --help", "", 0, "PROXY_LISTEN|Exit codes:|0  both files are valid|1  there are errors|--platform=FILE", ""},
		{"replay --help", "", 0, "Exit codes:|0  no difference|1  some|2  the capture|--capture=FILE", ""},
		{"version", "", 0, "valvecove|revision|go", ""},

		{"check --config level", "", 1, "", `valvecove check: PROXY_CONFIG: not set|valvecove check: level: key "log.level"|level: key "capture.dir"`},
		{"check --platform wrong --config none", "sound", 1, "", `valvecove check: wrong: key "discovery": expected an address and port, got "there"|` +
			`wrong: key "settings.classes[2].give_up": expected more than 0|valvecove check: --config: open none`},
		{"check --config port", "sound", 1, "", `valvecove check: port: key "status.listen_port": 9000 is the port`},
		{"check --config dirs", "sound", 1, "", `dirs: key "capture.dir": stat |dirs: key "figures.file": / is a directory`},
		{"check", "sound", 0, "platform     sound\n|ours         none|name         n0\n|listen       127.0.0.1:9000\n|" +
			"discovery    127.0.0.1:8500, subscribed to\n|known        1 workers, revision 7\n|1 cores, 64 MB, 256 descriptors\n|" +
			"24 its own, 0 for features, 38 worker connections, 194 client connections (175 requests at once)\n|" +
			"heap held to 38 MB; buffers of client connections 5 MB, bodies of requests and waiting responses 11 MB\n|6 a request at most, connecting within 250ms|" +
			"number 1 of 3|3.7s after SIGTERM\n|text, info and above\n|status-check  pure|80ms|5s|any|" +
			"transfer      token (zone, 20s)|500ms|12s| l |cash-payout   never twice|9s|0.3|" +
			"swat-society    12\n|mardan-society  no limit\n|status     off\n|capture    off\n|figures    off\n|addresses  off\n", ""},
		{"--config ours check --platform sound", "", 0, "ours         ours\n|24 its own, 12 for features|json, warn and above\n|" +
			"status     at 127.0.0.1:9100, ended jobs kept for 10m0s, 20000 at most\n|" +
			"figures    statsd every 10s by UDP to 127.0.0.1:8125, batches under 1400 bytes\n|" +
			"addresses  allow everyone, deny 10.20.9.0/24, trusted fronts none\n", ""},
	} {
		t.Run(c.args, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			getenv := func(name string) string { return map[string]string{"PROXY_CONFIG": c.platform}[name] }
			code := execute(strings.Fields(c.args), getenv, &stdout, &stderr)
			if code != c.code || !containsInOrder(stdout.String(), c.stdout) || !containsInOrder(stderr.String(), c.stderr) {
				t.Errorf("exit %d, expected %d\n%s--\n%s", code, c.code, &stdout, &stderr)
			}
		})
	}
}

// containsInOrder reports whether a text contains parts, which are separated by "|", in this order. If parts is empty, it reports
// whether the text is empty.
func containsInOrder(text, parts string) bool {
	if parts == "" {
		return text == ""
	}
	for part := range strings.SplitSeq(parts, "|") {
		_, after, found := strings.Cut(text, part)
		if !found {
			return false
		}
		text = after
	}
	return true
}

// The version contains what the build has recorded, and "unknown" for what it has not.
func TestVersion(t *testing.T) {
	info := &debug.BuildInfo{GoVersion: "go1.26.8", Settings: []debug.BuildSetting{
		{Key: "vcs.revision", Value: "8c1f"},
		{Key: "vcs.modified", Value: "true"},
		{Key: "GOOS", Value: "linux"},
		{Key: "GOARCH", Value: "amd64"},
	}}
	if got := describeBuild(info); got != "valvecove unknown\nrevision  8c1f, modified\ngo        1.26.8 linux/amd64" {
		t.Errorf("%q", got)
	}
}
