package config

import (
	"os"
	"path/filepath"
	"testing"
)

// validPlatform is a text of the platform's file without errors.
const validPlatform = `{"name":"n3","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f","later":[1,{"x":2}],
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"z","startedAtMs":7}]},
"settings":{"replicas_of_me":2,"me":1,"discovery":"subscribe","zones":["z"],"kinds":["m"],
"domain":{"class_kind":[-1,0],"class_stretch":[2.5,2],"tells_start":true,"report_x1":"free slots"},
"classes":[{"name":"a","promise":80000,"give_up":5000000,"idempotency":"pure","gain":2},
{"name":"b","promise":500000,"give_up":12000000,"idempotency":"token","dedup_scope":"cell","window":20000000,"aim_stretch":1.5}],
"tenants":[{"name":"t","quota_per_s":12}],"bounds":{"try_limit":6,"connect_timeout":250000,"retry_after":true,"max_retry_after":2000000},
"rules":{"cold":8800000,"cold_from":0.3},"telemetry":{"fields":["x0","x1"]}}}`

// environment returns a function that looks up environment variables.
func environment(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// noEnvironment is an environment without variables.
func noEnvironment(string) string { return "" }

// decodeValid decodes validPlatform.
func decodeValid(t *testing.T) Config {
	t.Helper()
	config, err := Decode([]byte(validPlatform), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// decodeValidOps decodes an operators' file that has no errors.
func decodeValidOps(t *testing.T, text string) Ops {
	t.Helper()
	ops, err := DecodeOps(text)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return ops
}

// writeFile writes a file in a directory and returns its path.
func writeFile(t *testing.T, directory, name, text string) string {
	t.Helper()
	path := filepath.Join(directory, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
