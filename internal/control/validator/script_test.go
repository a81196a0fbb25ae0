package validator

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

var update = flag.Bool("update", false, "rewrite the verdicts in testdata with the actual ones")

// Each file in testdata has a script of events of the request table, sessions, statuses and commands. Below a line of dashes it
// has the expected verdict on each command.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scripts found, error %v", len(files), err)
	}
	seen := map[message.RejectReason]bool{}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			script, want, _ := strings.Cut(string(text), "----\n")
			runner := scriptRunner{t: t, seen: seen}
			got := runner.run(script)
			if *update {
				if err := os.WriteFile(name, []byte(script+"----\n"+got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != want {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
	for reason := range message.ReasonCount {
		if !seen[reason] {
			t.Errorf("no script contains a command with the verdict %q", reason)
		}
	}
}

// scriptRunner runs one script.
type scriptRunner struct {
	t         *testing.T
	settings  dispatch.Settings
	validator *Validator
	now       time.Duration
	seen      map[message.RejectReason]bool // verdicts that occurred in any script
}

func (r *scriptRunner) run(script string) string {
	verdicts := &strings.Builder{}
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		switch {
		case len(words) == 0 || words[0] == "#":
		case words[0] == "set":
			r.set(words[1], words[2:])
		default:
			if r.validator == nil {
				r.validator = New(r.settings)
			}
			r.now = r.duration(words[0])
			if reason, isCommand := r.execute(words[1], words[2:]); isCommand {
				r.seen[reason] = true
				fmt.Fprintf(verdicts, "%s: %s\n", strings.TrimSpace(line), verdictText(reason))
			}
		}
	}
	for reason := range message.ReasonCount {
		if count := r.validator.RejectedCount(reason); count > 0 {
			fmt.Fprintf(verdicts, "rejected as %s: %d\n", reason, count)
		}
	}
	return verdicts.String()
}

func verdictText(reason message.RejectReason) string {
	if reason == message.ReasonNone {
		return "valid"
	}
	return reason.String()
}

func (r *scriptRunner) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		r.t.Fatal(err)
	}
	return duration
}

// number parses the number after a letter, as in "r7", or after an equals sign.
func (r *scriptRunner) number(text string) uint64 {
	number, err := strconv.ParseUint(text[strings.IndexAny(text, "=rw#ec")+1:], 10, 64)
	if err != nil {
		r.t.Fatal(err)
	}
	return number
}

func (r *scriptRunner) int(text string) int { return int(r.number(text)) }
