package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
)

const sound = `{"name":"n3","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f","later":[1,{"x":2}],
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"z","startedAtMs":7}]},
"settings":{"replicas_of_me":2,"me":1,"discovery":"subscribe","zones":["z"],"kinds":["m"],
"domain":{"class_kind":[-1,0],"class_stretch":[2.5,2],"tells_start":true,"report_x1":"free slots"},
"classes":[{"name":"a","promise":80000,"give_up":5000000,"idempotency":"pure","gain":2},
{"name":"b","promise":500000,"give_up":12000000,"idempotency":"token","dedup_scope":"cell","window":20000000,"aim_stretch":1.5}],
"tenants":[{"name":"t","quota_per_s":12}],"bounds":{"try_limit":6,"connect_timeout":250000,"retry_after":true,"max_retry_after":2000000},
"rules":{"cold":8800000,"cold_from":0.3},"telemetry":{"fields":["x0","x1"]}}}`

func none(string) string { return "" }

func TestDecode(t *testing.T) {
	c, err := Decode([]byte(sound), none)
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	a, b := s.Classes[0], s.Classes[1]
	if c.Seed != 0x8c1f || c.Listen.Port() != 9000 || c.Limits != (Limits{1, 192, 1024}) || c.KnownEndpoints.Endpoints[0].StartedAtMs != 7 ||
		s.Names.Classes[1] != "b" || s.Names.Tenants[0] != "t" {
		t.Errorf("read %+v", c)
	}
	if a.LatencyObjective != 80*time.Millisecond || a.Idempotency != dispatch.Idempotent || a.Kinds != nil || a.ObjectiveStretch != 2.5 ||
		b.Idempotency != dispatch.IdempotentWithKey || b.DeduplicationScope != dispatch.ScopeCell || b.ObjectiveStretch != 1.5 || len(b.Kinds) != 1 ||
		!s.MustSubscribe || s.MaxRetryAfter != 2*time.Second || s.ReportFields[1] != dispatch.ReportFieldFreeSlots {
		t.Errorf("settings %+v", s)
	}
}

// What is absent has a default, where one makes sense.
func TestDefaults(t *testing.T) {
	text := strings.Replace(strings.Replace(sound, `"limits"`, `"x"`, 1), `"listen"`, `"y"`, 1)
	c, err := Decode([]byte(text), func(name string) string {
		return map[string]string{"PROXY_LISTEN": "127.0.0.1:9001"}[name]
	})
	if err != nil || c.Limits != defaultLimits || c.Listen.Port() != 9001 {
		t.Errorf("%+v, %v", c.Limits, err)
	}
}

// A message names the key, down to the element.
func TestFaultsNameTheKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"127.0.0.1:9000"`, `"here"`, `key "listen": expected an address and port, got "here"`},
		{`"127.0.0.1:9000"`, `""`, `key "listen": missing, and PROXY_LISTEN is not set`},
		{`"127.0.0.1:8500"`, `8500`, `key "discovery": expected text`},
		{`"sockets":1024`, `"sockets":7`, `key "limits.sockets": expected 64 at least, got 7`},
		{`"memory_mb":192`, `"memory_mb":"all"`, `key "limits.memory_mb": expected a number`},
		{`"settings":`, `"set":`, `key "settings": missing`},
		{`"try_limit":6`, `"try_limit":0`, `key "settings.bounds.try_limit": expected 1 at least, got 0`},
		{`"try_limit":6`, `"try_limit":1.5`, `key "settings.bounds.try_limit": expected a whole number`},
		{`"retry_after":true`, `"retry_after":1`, `key "settings.bounds.retry_after": expected true or false`},
		{`"give_up":12000000`, `"give_up":"long"`, `key "settings.classes[1].give_up": expected a number`},
		{`"give_up":12000000`, `"give_up":0`, `key "settings.classes[1].give_up": expected more than 0`},
		{`"name":"b"`, `"nom":"b"`, `key "settings.classes[1].name": missing`},
		{`"name":"t"`, `"nom":"t"`, `key "settings.tenants[0].name": missing`},
		{`"class_stretch":[2.5,2]`, `"class_stretch":2`, `key "settings.domain.class_stretch": expected a list`},
		{`"startedAtMs":7`, `"startedAtMs":"x"`, `key "known": not JSON`},
		{`"cold":8800000`, `"cold":1e300`, `key "settings.rules.cold": expected microseconds`},
		{`]}}}`, `]}}`, `not JSON`},
		{`"me":1`, `"me":`, `key "settings.me": expected a number`},
	} {
		_, err := Decode([]byte(strings.Replace(sound, c.old, c.new, 1)), none)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, expected %s", c.new, err, c.want)
		}
	}
	if _, err := Load(none); err == nil || !strings.HasPrefix(err.Error(), "PROXY_CONFIG: not set") {
		t.Errorf("without a file: %v", err)
	}
}

// Read again, a file changes what can be changed under way; the rest stays and is named. A fault changes nothing.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string { return map[string]string{"PROXY_CONFIG": path}[name] }
	put := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put(sound)
	c, err := Load(env)
	if err != nil {
		t.Fatal(err)
	}
	put(strings.NewReplacer(`:8500"`, `:8501"`, `"sockets":1024`, `"sockets":512`, `:9000"`, `:9001"`, `"8c1f"`, `"1"`,
		`"try_limit":6`, `"try_limit":5`).Replace(sound))
	next, kept, err := c.Reload(env)
	if err != nil || next.Discovery.Port() != 8501 || next.Limits.Sockets != 512 || next.Listen != c.Listen ||
		next.Settings.AttemptLimit != 6 || next.Seed != c.Seed || strings.Join(kept, " ") != "listen settings" {
		t.Errorf("%+v, kept %v, %v", next, kept, err)
	}
	put(strings.Replace(sound, `"127.0.0.1:8500"`, `"there"`, 1))
	if next, _, err = c.Reload(env); err == nil || !strings.Contains(err.Error(), `key "discovery"`) || next.Discovery != c.Discovery {
		t.Errorf("%v, %v", next.Discovery, err)
	}
}

// The management address is off where neither the file nor the environment names one; the file's word counts for more.
func TestManagement(t *testing.T) {
	const rest = `"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"classes":[{"name":"a","promise":1,"give_up":5}],` +
		`"bounds":{"try_limit":1,"connect_timeout":5}}}`
	for _, c := range []struct{ text, env, want, fault string }{
		{`{`, "", "invalid AddrPort", ""},
		{`{`, "127.0.0.1:3", "127.0.0.1:3", ""},
		{`{"management":"127.0.0.1:4",`, "127.0.0.1:3", "127.0.0.1:4", ""},
		{`{"management":"here",`, "", "", `key "management": expected an address and port, got "here"`},
		{`{`, "there", "", `key "management": expected an address and port, got "there"`},
	} {
		got, err := Decode([]byte(c.text+rest), func(name string) string {
			return map[string]string{"PROXY_MANAGEMENT": c.env, "TMPDIR": "/t"}[name]
		})
		if err != nil && err.Error() != c.fault || err == nil && (c.fault != "" || got.Management.String() != c.want ||
			(got.StateDir != "") != got.Management.IsValid()) {
			t.Errorf("%s and %q: %v %q, %v; expected %s%s", c.text, c.env, got.Management, got.StateDir, err, c.want, c.fault)
		}
	}
}
