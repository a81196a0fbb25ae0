package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const list = `# a list
word heir
name head
whole left
allow heir apparent
phrase takes? in
allow takes in laundry
`

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestRun(t *testing.T) {
	tests := []struct {
		name   string
		source string
		want   string // part of the output; empty: nothing is found
	}{
		{"allowed text, withdrawn name", "package a\n\n// The heir apparent, and \"heir\" on the wire.\nvar leftmost, head2toe = 1, 2\n", `"head" is withdrawn`},
		{"allowed text", "package a\n\n// The heir apparent, and \"heir\" on the wire, at the head.\nvar leftmost int\n", ""},
		{"function", "package a\n\nfunc theHeir() {}\n", "identifier theHeir"},
		{"type", "package a\n\ntype Heir struct{}\n", "identifier Heir"},
		{"field", "package a\n\ntype a struct{ Left int }\n", "identifier Left"},
		{"parameter", "package a\n\nfunc f(heir int) {}\n", "identifier heir"},
		{"local", "package a\n\nfunc f() {\n\tleft := 1\n\t_ = left\n}\n", "identifier left"},
		{"range", "package a\n\nfunc f(x []int) {\n\tfor heir := range x {\n\t\t_ = heir\n\t}\n}\n", "identifier heir"},
		{"comment", "package a\n\n// It is the heir.\n", "comment // It is the heir."},
		{"log message", "package a\n\nfunc f(log interface{ Info(string) }) { log.Info(\"the heir\") }\n", "log message"},
		{"phrase", "package a\n\n// It takes in a job.\nvar x int\n", `"takes in" is withdrawn`},
		{"phrase over two lines", "package a\n\n// It takes\n// in a job.\nvar x int\n", `"takes in" is withdrawn`},
		{"phrase of a log message", "package a\n\nfunc f(log interface{ Info(string) }) { log.Info(\"jobs take in\") }\n", `"take in" is withdrawn`},
		{"part of a phrase", "package a\n\n// It takes inputs, \"takes in\" on the wire, and takes in laundry.\nvar takesIn int\n", ""},
		{"literal that is not logged", "package a\n\nvar s = \"the heir\"\n", ""},
		{"use of an imported name", "package a\n\nimport \"x\"\n\nvar s = x.Heir\n", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			words := filepath.Join(dir, "words.txt")
			writeFile(t, words, list)
			writeFile(t, filepath.Join(dir, "a.go"), test.source)
			var stdout, stderr strings.Builder
			code := run([]string{words, dir}, &stdout, &stderr)
			if found := code == exitFound; found != (test.want != "") || code == exitFailed {
				t.Fatalf("exit code %d, output %q %q", code, stdout.String(), stderr.String())
			}
			if !strings.Contains(stdout.String(), test.want) {
				t.Errorf("printed %q, want %q in it", stdout.String(), test.want)
			}
		})
	}
}

func TestFileName(t *testing.T) {
	dir := t.TempDir()
	words := filepath.Join(dir, "words.txt")
	writeFile(t, words, list)
	writeFile(t, filepath.Join(dir, "heir_test.go"), "package a\n")
	var stdout, stderr strings.Builder
	if code := run([]string{words, dir}, &stdout, &stderr); code != exitFound || !strings.Contains(stdout.String(), "file name heir_test") {
		t.Errorf("exit code %d, output %q %q", code, stdout.String(), stderr.String())
	}
}

func TestRunFailures(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.txt"), filepath.Join(dir, "bad.txt")
	writeFile(t, good, list)
	writeFile(t, bad, "word heir\nwrod elder\n")
	tests := map[string][]string{
		"no arguments": nil,
		"missing list": {filepath.Join(dir, "none.txt"), dir},
		"unknown rule": {bad, dir},
		"no Go files":  {good, dir},
	}
	for name, arguments := range tests {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr strings.Builder
			if code := run(arguments, &stdout, &stderr); code != exitFailed || stderr.Len() == 0 {
				t.Errorf("exit code %d, output %q %q", code, stdout.String(), stderr.String())
			}
		})
	}
}

func TestIdentifierWords(t *testing.T) {
	tests := map[string][]string{
		"heldJobs":      {"held", "jobs"},
		"HTTPRequest2":  {"http", "request"},
		"snake_case":    {"snake", "case"},
		"ID":            {"id"},
		"x":             {"x"},
		"connectWithin": {"connect", "within"},
	}
	for name, want := range tests {
		if got := identifierWords(name); !slices.Equal(got, want) {
			t.Errorf("identifierWords(%q) = %q, want %q", name, got, want)
		}
	}
}
