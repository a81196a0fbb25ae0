package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// tinyScenario runs within milliseconds of real time in the simulation.
const tinyScenario = "name = \"tiny\"\nlength = \"3s\"\n[fleet]\nnodes = 4\n"

// runCommandLine runs the program with the given text as its standard input.
func runCommandLine(t *testing.T, stdin string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var stdoutBuffer, stderrBuffer bytes.Buffer
	streams := &standardStreams{stdin: strings.NewReader(stdin), stdout: &stdoutBuffer, stderr: &stderrBuffer}
	code = run(t.Context(), args, streams)
	return code, stdoutBuffer.String(), stderrBuffer.String()
}

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	kept, faulty := filepath.Join(dir, "kept.toml"), filepath.Join(dir, "faulty.toml")
	for path, text := range map[string]string{kept: "seed = 7\n" + tinyScenario, faulty: tinyScenario + "[load]\noff = 3\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		stdin          string
		args           string
		code           int
		stdout, stderr string // must occur in the output
	}{
		{"", "list", 0, "calm ", ""},
		{"", "check " + kept, 0, "sound", ""},
		{"", "check calm " + faulty, 2, "calm: sound", "load.off"},
		{"", "play none_such", 2, "", "none_such"},
		{"", "play", 2, "", "--from"},
		{"", "plai calm", 2, "", "plai"},
		{"", "--help", 0, "Exit codes", ""},
		{"", "version", 0, "valvecove-testbed", ""},
		{tinyScenario, "play -", 0, "No rule broken", ""},
		{tinyScenario, "play - --set load.of=many", 2, "", "load.of"},
		{tinyScenario, "play - --policy none", 2, "", "none"},
		{tinyScenario + "expect = [\"served >= 1\", \"p50_ms <= 1\"]\n", "play -", 2, "", "expect"},
		{"expect = [\"p50_ms <= 1\"]\n" + tinyScenario, "play -", 1, "p50_ms", ""},
		{tinyScenario, "play - --mutant answers-twice", 1, "one-answer", ""},
		{"", "play --from " + kept, 0, "seed 7", ""},
		{"", "play --from " + kept + " --seed 8", 2, "", "seed 7"},
		{"", "play --from " + faulty, 2, "", "load.off"},
		{tinyScenario, "sweep - --vary load.of=0.3,0.9 --seeds 2", 0, "load.of", ""},
		{tinyScenario, "sweep - --vary load.of=0.3,0.9 --figure none", 2, "", "none"},
		{tinyScenario, "compare - --b random --seeds 3", 0, "random", ""},
		{tinyScenario, "compare -", 2, "", "both sides"},
		{"", "mutants answers-twice drain-late", 0, "found", ""},
		{"", "hunt --most 2 --at 1 --top logic --for 1m --out " + dir, 0, "2 runs", ""},
		{"", "compare calm rude_words", 2, "", "virtual"},
		{tinyScenario, "baselines - --seeds 1", 0, "least-outstanding", ""},
		{tinyScenario, "play - --starvation", 0, "No rule broken", ""},
		// Former names, accepted for one release.
		{tinyScenario, "yardsticks - --seeds 1", 0, "least-outstanding", ""},
		{tinyScenario, "play - --starve", 0, "No rule broken", ""},
		{tinyScenario, "compare - --b-lab none_such", 2, "", "none_such"},
	} {
		t.Run(c.args, func(t *testing.T) {
			code, stdout, stderr := runCommandLine(t, c.stdin, strings.Fields(c.args)...)
			if code != c.code || !strings.Contains(stdout, c.stdout) || !strings.Contains(stderr, c.stderr) {
				t.Errorf("exit %d, expected %d\nstandard output: %s\nstandard error: %s", code, c.code, stdout, stderr)
			}
		})
	}
}

// A violation is printed with the whole history of its request, in order of time.
func TestExplanationsAreShown(t *testing.T) {
	_, stdout, _ := runCommandLine(t, tinyScenario, "play", "-", "--mutant", "answers-twice")
	_, explanation, ok := strings.Cut(stdout, "\none-answer ")
	if !ok || !strings.Contains(explanation, "sent to") || !strings.Contains(explanation, "answered") ||
		strings.Index(explanation, "sent to") > strings.Index(explanation, "answered") {
		t.Errorf("the violation is not explained:\n%s", stdout)
	}
}

// With --json - standard output has nothing but the JSON, and running the scenario in a report's folder repeats the run exactly.
func TestReportedScenarioRepeatsRun(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "report")
	code, stdout, _ := runCommandLine(t, tinyScenario, "play", "-", "--seed", "5", "--json", "-", "--report", dir)
	var document struct {
		Result struct {
			Seed  uint64 `json:"seed"`
			Whole struct {
				JobsDue int `json:"due"`
			} `json:"whole"`
		} `json:"result"`
	}
	err := json.Unmarshal([]byte(stdout), &document)
	if err != nil || code != exitOK || document.Result.Seed != 5 || document.Result.Whole.JobsDue == 0 {
		t.Fatalf("exit %d, %v", code, err)
	}
	page, err := os.ReadFile(filepath.Join(dir, "index.html"))
	if err != nil || !bytes.Contains(page, []byte("<svg")) {
		t.Errorf("index.html: %v", err)
	}
	_, again, _ := runCommandLine(t, "", "play", filepath.Join(dir, "scenario.toml"), "--seed", "5", "--json", "-")
	if again != stdout {
		t.Error("the scenario in the report's folder does not repeat the run")
	}
}
