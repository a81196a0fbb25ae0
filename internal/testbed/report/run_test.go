package report

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
	"valvecove/internal/testbed/trace"
)

func TestWritePage(t *testing.T) {
	result := sampleResult(7, 0)
	var page bytes.Buffer
	if err := WritePage(&page, result, sampleVerdict(), sampleEvaluations(result, 1)); err != nil {
		t.Fatal(err)
	}
	checkGoldenText(t, "page.golden", page.String())
}

func TestColorsDoNotChangeText(t *testing.T) {
	result := sampleResult(7, 0)
	write := func(colour bool) string {
		page := textPage{colour: colour}
		page.write(result, sampleVerdict(), sampleEvaluations(result, 1))
		return page.text.String()
	}
	coloured := write(true)
	stripped := regexp.MustCompile("\x1b\\[[0-9]*m").ReplaceAllString(coloured, "")
	if stripped != write(false) || stripped == coloured {
		t.Error("colours change the text, or there are no colours")
	}
}

func TestFullPageFitsTerminal(t *testing.T) {
	result := hostileResult(7)
	verdict, evaluations := sampleVerdict(), sampleEvaluations(result, 9)
	for i := range 30 {
		verdict.Violations = append(verdict.Violations, Violation{Rule: "rule", Text: strings.Repeat("long ", 40)})
		verdict.NotChecked = append(verdict.NotChecked, strings.Repeat("left out ", 20))
		evaluations = append(evaluations, evaluations[0])
		result.Classes = append(result.Classes, result.Classes[i%4])
		result.Tenants = append(result.Tenants, result.Tenants[i%3])
		result.Disturbances = append(result.Disturbances, result.Disturbances[0])
		result.Processes = append(result.Processes, result.Processes[0])
	}
	var page bytes.Buffer
	if err := WritePage(&page, result, verdict, evaluations); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(page.String(), "\n"), "\n")
	if len(lines) > pageLines {
		t.Errorf("%d lines, want at most %d", len(lines), pageLines)
	}
	for _, line := range lines {
		if utf8.RuneCountInString(line) > pageWidth || strings.ContainsRune(line, '\x1b') {
			t.Errorf("a line is too wide, or has an escape character: %q", line)
		}
	}
}

func TestProgressLines(t *testing.T) {
	for _, test := range []struct {
		name      string
		tty       bool
		wantLines int
	}{
		{"terminal", true, 90},
		{"file", false, 63},
	} {
		t.Run(test.name, func(t *testing.T) {
			var written bytes.Buffer
			progress := NewProgress(&written)
			progress.tty = test.tty
			for ms := 0; ms <= 90_000; ms += 250 {
				progress.Show(sampleSnapshot(ms))
			}
			progress.Done()
			lines := strings.FieldsFunc(written.String(), func(char rune) bool { return char == '\n' || char == '\r' })
			if len(lines) != test.wantLines || test.tty != strings.HasPrefix(written.String(), "\r") {
				t.Errorf("%d lines, want %d, overwritten only on a terminal", len(lines), test.wantLines)
			}
			const wantSecond = "   2 s  asked  100/s  in time   50/s  refused    1/s  in flight    12  nodes 9/10  ! crash, burst 4"
			if lines[1] != wantSecond {
				t.Errorf("got  %q\nwant %q", lines[1], wantSecond)
			}
		})
	}
}

// sampleSnapshot returns a snapshot of a run after some milliseconds. Two faults are active in the third second.
func sampleSnapshot(ms int) *score.Snapshot {
	snapshot := &score.Snapshot{
		At: time.Duration(ms) * time.Millisecond, JobsDue: ms / 10, InTime: ms / 20, Rejected: ms / 1000,
		InFlight: 12, WorkersUp: 9, Workers: 10,
	}
	if ms >= 2000 && ms < 3000 {
		snapshot.Faults = []string{"crash: w-3, for 1s", "burst 4: swat-society, for 9s"}
	}
	return snapshot
}

func TestWriteHTML(t *testing.T) {
	result := sampleResult(7, 0)
	document := Document{
		Result: result, Verdict: sampleVerdict(), Expectations: sampleEvaluations(result, 1),
		Scenario: "name = \"<b>\"\n", Build: "valvecove 1",
	}
	var page bytes.Buffer
	if err := WriteHTML(&page, document); err != nil {
		t.Fatal(err)
	}
	checkGoldenText(t, "play.outline", outline(t, page.String()))
	for _, want := range []string{
		"answered &lt;again&gt;", "name = &#34;&lt;b&gt;&#34;", "1 crash: w-3, for 5s",
		"a rule broken once", "prefers-color-scheme: dark", "scheduler 0 killed",
	} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
}

func TestHTMLEscapesHostileText(t *testing.T) {
	result := hostileResult(7)
	verdict := Verdict{
		Violations: []Violation{{Rule: result.Name, Text: result.Name, Explanation: []string{result.Name}}},
		Invalid:    result.Name,
	}
	var page bytes.Buffer
	document := Document{Result: result, Verdict: &verdict, Scenario: result.Name, Build: result.Name}
	if err := WriteHTML(&page, document); err != nil {
		t.Fatal(err)
	}
	outline(t, page.String())
}

func TestHTMLOfLargeFleetIsBounded(t *testing.T) {
	const workers, maxBytes = 10_000, 3 << 20
	spec := scenario.Default()
	spec.Fleet.Workers, spec.Length = workers, scenario.Duration(time.Hour)
	scorer := score.New(spec, score.Options{})
	for second := 0; second < 3600; second += 10 {
		for k := range 40 {
			event := trace.Event{
				At: time.Duration(second) * time.Second, Worker: (second*31 + k*251) % workers,
				RequestID: fmt.Sprint(second, k), JobID: uint64(second*100 + k), Work: 1, Slots: 4,
				LatencyObjective: time.Second,
			}
			for _, kind := range []trace.Kind{trace.JobDue, trace.RequestSent, trace.AttemptReceived, trace.AttemptStarted} {
				event.Kind = kind
				scorer.Observe(&event)
			}
		}
	}
	var page bytes.Buffer
	if err := WriteHTML(&page, Document{Result: scorer.Result()}); err != nil {
		t.Fatal(err)
	}
	outline(t, page.String())
	if page.Len() > maxBytes {
		t.Errorf("the page has %d bytes, want at most %d", page.Len(), maxBytes)
	}
}

func TestDocumentJSON(t *testing.T) {
	result := sampleResult(7, 0)
	document := Document{Result: result, Verdict: sampleVerdict(), Expectations: sampleEvaluations(result, 1)}
	checkJSONKeys(t, document, "result", "verdict", "expectations")
}
