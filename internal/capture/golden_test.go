package capture

import (
	"bytes"
	"reflect"
	"slices"
	"strings"
	"testing"

	"valvecove/internal/requests"
	"valvecove/internal/storedform"
)

// The files of testdata/golden were written by the build of d2a7518, and captures outlive builds: the files are never
// regenerated except under a new form number, and those of the number before stay readable beside them. A change of what
// the module decides is no new form; it adds a capture of its own, and its commit says so.
const (
	goldenCapture = "capture-1.jsonl"       // every kind of line but the next file's
	goldenPanic   = "capture-panic-1.jsonl" // a module that panicked, and the one after it
)

func goldenLines(t *testing.T) (lines []Line) {
	t.Helper()
	for _, name := range []string{goldenCapture, goldenPanic} {
		for text := range bytes.Lines(storedform.Golden(t, name)) {
			var line Line
			if err := json.Unmarshal(text, &line); err != nil {
				t.Fatalf("%s: %v in %s", name, err, text)
			}
			lines = append(lines, line)
		}
	}
	return lines
}

func TestGoldenCaptureReplaysWithoutDifference(t *testing.T) {
	if sends := same(t, storedform.Golden(t, goldenCapture)); sends < 50 {
		t.Errorf("%d sends", sends)
	}
}

// Replayed, the module is whole: the panic itself is the one difference.
func TestGoldenPanicReplays(t *testing.T) {
	n, out, warnings, err := replayed(t, storedform.Golden(t, goldenPanic), "")
	if n != 1 || !strings.Contains(out, "the module was a panic, now ") || err != nil || warnings != "" {
		t.Errorf("%d differences, %v, %q:\n%s", n, err, warnings, out)
	}
}

// What is read is written again to the same bytes, which it would not be if a field had another name or were not known.
func TestGoldenCaptureIsWrittenToTheSameBytes(t *testing.T) {
	for _, name := range []string{goldenCapture, goldenPanic} {
		for text := range bytes.Lines(storedform.Golden(t, name)) {
			var line Line
			if err := json.Unmarshal(text, &line); err != nil {
				t.Fatal(err)
			}
			r := Recorder{}
			if r.put(line); !bytes.Equal(r.lines, text) {
				t.Errorf("%s:\n%swritten again as\n%s", name, text, r.lines)
			}
		}
	}
}

// The golden files hold every kind of line, every reason for a segment, and every field of a line.
func TestGoldenCapturesAreComplete(t *testing.T) {
	kinds, reasons, fields := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, line := range goldenLines(t) {
		kinds[line.In+line.Out], reasons[line.Why] = true, true
		for i, v := 0, reflect.ValueOf(line); i < v.NumField(); i++ {
			if !v.Field(i).IsZero() {
				fields[v.Type().Field(i).Name] = true
			}
		}
	}
	for _, all := range []map[string]bool{known, atEdge} {
		for kind := range all {
			if !kinds[kind] {
				t.Errorf("no line %q", kind)
			}
		}
	}
	for _, reason := range []string{whyStart, whyRestart, whyTaken, whyContinue, whyGap} {
		if !reasons[reason] {
			t.Errorf("no segment opens with %q", reason)
		}
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[Line]()) {
		if !fields[field.Name] {
			t.Errorf("no line has %s", field.Name)
		}
	}
	if !slices.ContainsFunc(goldenLines(t), func(l Line) bool { return l.Arrived != nil && l.Arrived.Retry && l.Arrived.Memory > 0 }) ||
		!slices.ContainsFunc(goldenLines(t), func(l Line) bool {
			return slices.ContainsFunc(l.Workers, func(w listed) bool { return w.As.BootAt > 0 || w.As.Assignees > 0 && w.As.AssigneeRank > 0 })
		}) {
		t.Error("a field of a job or of a worker is always zero")
	}
}

// How a query ended is told in the protocol's words, which the golden files have.
func TestGoldenCapturesHaveKnownOutcomes(t *testing.T) {
	if want := [...]requests.Outcome{"served", "error", "turned away", "could not connect", "reset", "timed out"}; requests.Outcomes != want {
		t.Errorf("outcomes are %q, expected %q", requests.Outcomes, want)
	}
	for _, line := range goldenLines(t) {
		if line.Outcome != "" && !slices.Contains(requests.Outcomes[:], requests.Outcome(line.Outcome)) {
			t.Errorf("outcome %q", line.Outcome)
		}
	}
}
