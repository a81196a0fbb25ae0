package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const tiny = "name = \"tiny\"\nlength = \"3s\"\n[fleet]\nnodes = 4\n"

// call runs the command line with a scenario on its standard input.
func call(in string, args ...string) (code int, outputs, errs string) {
	var o, e bytes.Buffer
	code = run(context.Background(), args, &streams{strings.NewReader(in), &o, &e})
	return code, o.String(), e.String()
}

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	kept, faulty := filepath.Join(dir, "kept.toml"), filepath.Join(dir, "faulty.toml")
	for path, text := range map[string]string{kept: "seed = 7\n" + tiny, faulty: tiny + "[load]\noff = 3\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		in           string
		args         string
		code         int
		output, errs string // that must be in what is written
	}{
		{"", "list", 0, "calm ", ""},
		{"", "check " + kept, 0, "sound", ""},
		{"", "check calm " + faulty, 2, "calm: sound", "load.off"},
		{"", "play none_such", 2, "", "none_such"},
		{"", "play", 2, "", "--from"},
		{"", "plai calm", 2, "", "plai"},
		{"", "--help", 0, "Exit codes", ""},
		{"", "version", 0, "valvecove-testbed", ""},
		{tiny, "play -", 0, "No rule broken", ""},
		{tiny, "play - --set load.of=many", 2, "", "load.of"},
		{tiny, "play - --policy none", 2, "", "none"},
		{tiny + "expect = [\"served >= 1\", \"p50_ms <= 1\"]\n", "play -", 2, "", "expect"},
		{"expect = [\"p50_ms <= 1\"]\n" + tiny, "play -", 1, "p50_ms", ""},
		{tiny, "play - --mutant answers-twice", 1, "one-answer", ""},
		{"", "play --from " + kept, 0, "seed 7", ""},
		{"", "play --from " + kept + " --seed 8", 2, "", "seed 7"},
		{"", "play --from " + faulty, 2, "", "load.off"},
		{tiny, "sweep - --vary load.of=0.3,0.9 --seeds 2", 0, "load.of", ""},
		{tiny, "sweep - --vary load.of=0.3,0.9 --figure none", 2, "", "none"},
		{tiny, "compare - --b random --seeds 3", 0, "random", ""},
		{tiny, "compare -", 2, "", "both sides"},
		{"", "mutants answers-twice drain-late", 0, "found", ""},
		{"", "hunt --most 2 --at 1 --top logic --for 1m --out " + dir, 0, "2 plays", ""},
		{"", "compare calm rude_words", 2, "", "virtual"},
	} {
		code, outputs, errs := call(c.in, strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(outputs, c.output) || !strings.Contains(errs, c.errs) {
			t.Errorf("valvecove-testbed %s: exit %d, expected %d\nout: %s\nerr: %s", c.args, code, c.code, outputs, errs)
		}
	}
}

// A broken rule is told with the whole story of its request, in order of time.
func TestExplanationsAreShown(t *testing.T) {
	_, outputs, _ := call(tiny, "play", "-", "--mutant", "answers-twice")
	_, story, ok := strings.Cut(outputs, "\none-answer ")
	if !ok || !strings.Contains(story, "asked") || !strings.Contains(story, "answered") ||
		strings.Index(story, "asked") > strings.Index(story, "answered") {
		t.Errorf("no story is told:\n%s", outputs)
	}
}

// What goes to standard output as JSON is nothing else, and a report's folder holds what plays it again.
func TestReportsPlayAgain(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "report")
	code, outputs, _ := call(tiny, "play", "-", "--seed", "5", "--json", "-", "--report", dir)
	var doc struct {
		Result struct {
			Seed  uint64 `json:"seed"`
			Whole struct {
				JobsDue int `json:"due"`
			} `json:"whole"`
		} `json:"result"`
	}
	if err := json.Unmarshal([]byte(outputs), &doc); err != nil || code != 0 || doc.Result.Seed != 5 || doc.Result.Whole.JobsDue == 0 {
		t.Fatalf("exit %d, %v", code, err)
	}
	page, err := os.ReadFile(filepath.Join(dir, "index.html"))
	if err != nil || !bytes.Contains(page, []byte("<svg")) {
		t.Errorf("index.html: %v", err)
	}
	_, again, _ := call("", "play", filepath.Join(dir, "scenario.toml"), "--seed", "5", "--json", "-")
	if again != outputs {
		t.Error("the scenario in the report's folder is another play")
	}
}
