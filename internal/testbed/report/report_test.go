package report

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
	"valvecove/internal/testbed/trace"
)

var update = flag.Bool("update", false, "write the golden files anew")

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs; got\n%s", name, got)
	}
}

// played is a run that is written down: each job takes a course by its number. With nasty names all that is text in
// it would do harm if it weren't escaped.
func played(seed uint64, slower int, nasty bool) *score.Result {
	spec := scenario.Default()
	spec.Name, spec.Description, spec.Length = "written", "Jobs take a course by their number.", scenario.Duration(40*time.Second)
	fault := "crash: w-3, for 5s"
	if nasty {
		const bad = `</title><script>alert("1")</script>&'` + "\x1b[31m\n"
		spec.Name, spec.Description, fault = bad, bad, bad
		for i := range spec.Classes {
			spec.Classes[i].Name += bad
		}
		spec.Tenants[0].Name = bad
	}
	s := score.New(spec, score.Options{Seed: seed, Driver: scenario.DriverSimulation})
	type timedEvent struct {
		at int
		trace.Event
	}
	var all []timedEvent
	put := func(at int, x trace.Event) { all = append(all, timedEvent{at, x}) }
	for i := range 10 {
		put(0, trace.Event{Kind: trace.WorkerStarted, Worker: i, Slots: 4})
	}
	for _, at := range []int{12_000, 25_000} {
		put(at, trace.Event{Kind: trace.FaultStarted, Text: fault})
		put(at, trace.Event{Kind: trace.WorkerStopped, Worker: 3})
		put(at+5000, trace.Event{Kind: trace.WorkerStarted, Worker: 3, Slots: 4})
		put(at+5000, trace.Event{Kind: trace.FaultEnded, Text: fault})
	}
	put(20_000, trace.Event{Kind: trace.SchedulerKilled})
	put(20_500, trace.Event{Kind: trace.SchedulerStarted})
	for i := range 40 {
		put(i*1000, trace.Event{
			Kind: trace.ResourceUsage, CPU: time.Duration(i) * 100 * time.Millisecond, Memory: 10 << 20,
			OpenFiles: 50 + i,
		})
	}
	put(30_000, trace.Event{Kind: trace.MisbehavingClientConnected, Conn: 1, Text: "garbage"})
	put(30_100, trace.Event{Kind: trace.MisbehavingClientAnswered, Conn: 1, Status: 400})
	put(30_100, trace.Event{Kind: trace.TestbedLate, Lateness: 2 * time.Millisecond})
	for i := range 1200 {
		dueAt, call, job, node := i*33, fmt.Sprint("c", i), uint64(i+1), i*7%10
		took, status := 120+i*37%400+slower, 200
		if at := dueAt / 1000; at >= 12 && at < 18 && i%3 == 0 {
			took, status = 60, 503
		}
		put(dueAt, trace.Event{
			Kind: trace.JobDue, JobID: job, Class: i % 4, Tenant: i % 3, Work: 0.25, Slots: float64(1 + i%2),
			LatencyObjective: 500 * time.Millisecond,
		})
		put(dueAt, trace.Event{Kind: trace.RequestSent, JobID: job, RequestID: call})
		if status == 200 {
			put(dueAt+2, trace.Event{Kind: trace.AttemptReceived, RequestID: call, Worker: node})
			put(dueAt+4, trace.Event{Kind: trace.AttemptStarted, RequestID: call, Worker: node})
			put(dueAt+took-2, trace.Event{Kind: trace.AttemptFinished, RequestID: call, Worker: node, Status: 200})
		}
		put(dueAt+took, trace.Event{Kind: trace.ResponseReceived, RequestID: call, Status: status})
		put(dueAt+took, trace.Event{Kind: trace.JobSettled, JobID: job, Status: status})
	}
	slices.SortStableFunc(all, func(a, b timedEvent) int { return a.at - b.at })
	for i := range all {
		all[i].At = time.Duration(all[i].at) * time.Millisecond
		s.Observe(&all[i].Event)
	}
	return s.Result()
}

func expected(r *score.Result, broken int) []score.Evaluation {
	return score.Check([]scenario.Expectation{
		{Metric: "in_time", Operator: ">=", Bound: 0.5},
		{Metric: "p99_ms", Operator: "<=", Bound: 100},
		{Metric: "recovered_within", Operator: "<=", Bound: 5},
		{Metric: "rules_broken", Operator: "=", Bound: 0},
	}, r, broken)
}

var verdictOf = Verdict{
	Violations: []Violation{{
		Rule: "answered twice", At: 12_345 * time.Millisecond, Text: "two answers to c7",
		Explanation: []string{"12.000 s  due", "12.345 s  answered <again>"},
	}},
	NotChecked: []string{"Bytes on sockets are not seen."},
}

func TestPage(t *testing.T) {
	var b bytes.Buffer
	r := played(7, 0, false)
	if err := WritePage(&b, r, &verdictOf, expected(r, 1)); err != nil {
		t.Fatal(err)
	}
	golden(t, "page.golden", b.String())
	inColour := textPage{colour: true}
	inColour.write(r, &verdictOf, expected(r, 1))
	text := inColour.text.String()
	stripped := regexp.MustCompile("\x1b\\[[0-9]*m").ReplaceAllString(text, "")
	if stripped != b.String() || stripped == text {
		t.Error("colours change the text, or there are none")
	}
}

// However much there is to say, a page is a page.
func TestPageFits(t *testing.T) {
	r := played(7, 0, true)
	v, met := verdictOf, expected(r, 9)
	for i := range 30 {
		v.Violations = append(v.Violations, Violation{Rule: "rule", Text: strings.Repeat("long ", 40)})
		v.NotChecked = append(v.NotChecked, strings.Repeat("left out ", 20))
		met = append(met, met[0])
		r.Classes, r.Tenants = append(r.Classes, r.Classes[i%4]), append(r.Tenants, r.Tenants[i%3])
		r.Disturbances = append(r.Disturbances, r.Disturbances[0])
		r.Processes = append(r.Processes, r.Processes[0])
	}
	var b bytes.Buffer
	if err := WritePage(&b, r, &v, met); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(b.String(), "\n"), "\n")
	if len(lines) > pageLines {
		t.Errorf("%d lines", len(lines))
	}
	for _, l := range lines {
		if utf8.RuneCountInString(l) > pageWidth || strings.ContainsRune(l, '\x1b') {
			t.Errorf("line %q", l)
		}
	}
}

func TestProgress(t *testing.T) {
	for _, onTerminal := range []bool{false, true} {
		var b bytes.Buffer
		p := NewProgress(&b)
		p.tty = onTerminal
		for ms := 0; ms <= 90_000; ms += 250 {
			x := score.Snapshot{
				At: time.Duration(ms) * time.Millisecond, JobsDue: ms / 10, InTime: ms / 20, Rejected: ms / 1000,
				InFlight: 12, WorkersUp: 9, Workers: 10,
			}
			if ms >= 2000 && ms < 3000 {
				x.Faults = []string{"crash: w-3, for 1s", "burst 4: swat-society, for 9s"}
			}
			p.Show(&x)
		}
		p.Done()
		lines := strings.FieldsFunc(b.String(), func(r rune) bool { return r == '\n' || r == '\r' })
		want := map[bool]int{true: 90, false: 63}[onTerminal]
		if len(lines) != want || onTerminal != strings.HasPrefix(b.String(), "\r") {
			t.Errorf("%d lines, want %d", len(lines), want)
		}
		const second = "   2 s  asked  100/s  in time   50/s  refused    1/s  in flight    12  nodes 9/10  ! crash, burst 4"
		if lines[1] != second {
			t.Errorf("got  %q\nwant %q", lines[1], second)
		}
	}
}

// outline reads a page of HTML as a browser would have to, and tells its structure: sections, plots, what tables have
// for columns. It refuses what refers to anything outside, and plots that are not described.
func outline(t *testing.T, text string) string {
	t.Helper()
	for _, refers := range []string{
		"http://", "https://", "src=", "url(", "@import", "<script", "<link", "<iframe",
		"srcset", "ZgotmplZ",
	} {
		if strings.Contains(text, refers) {
			t.Errorf("%s is in the page", refers)
		}
	}
	d := xml.NewDecoder(strings.NewReader(text))
	d.Strict, d.AutoClose, d.Entity = false, []string{"meta", "link"}, xml.HTMLEntity
	var outputs strings.Builder
	var path []string
	ids := map[string]bool{}
	titled := 0
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		switch x := token.(type) {
		case xml.StartElement:
			path = append(path, x.Name.Local)
			for _, a := range x.Attr {
				switch a.Name.Local {
				case "id":
					if ids[a.Value] {
						t.Errorf("id %s twice", a.Value)
					}
					if ids[a.Value] = true; x.Name.Local == "section" {
						fmt.Fprintln(&outputs, "section", a.Value)
					}
				case "href":
					if !strings.HasPrefix(a.Value, "#") {
						t.Errorf("refers to %s", a.Value)
					}
				case "aria-labelledby":
					titled++
					fmt.Fprintln(&outputs, "  plot", strings.TrimSuffix(strings.Fields(a.Value)[0], "-t"))
				}
			}
		case xml.EndElement:
			path = path[:len(path)-1]
		case xml.CharData:
			switch within := strings.Join(path, " "); {
			case strings.HasSuffix(within, "thead tr th") && strings.TrimSpace(string(x)) != "":
				fmt.Fprintln(&outputs, "  column", strings.TrimSpace(string(x)))
			case strings.HasSuffix(within, "figure svg desc") && len(x) < 20:
				t.Errorf("plot described as %q", x)
			}
		}
	}
	if titled == 0 || titled != strings.Count(text, "<desc") || titled != strings.Count(text, `role="img"`) {
		t.Error("a plot without title or description")
	}
	return outputs.String()
}

func TestHTML(t *testing.T) {
	r := played(7, 0, false)
	var b bytes.Buffer
	d := Document{Result: r, Verdict: &verdictOf, Expectations: expected(r, 1), Scenario: "name = \"<b>\"\n", Build: "valvecove 1"}
	if err := WriteHTML(&b, d); err != nil {
		t.Fatal(err)
	}
	golden(t, "play.outline", outline(t, b.String()))
	for _, want := range []string{
		"answered &lt;again&gt;", "name = &#34;&lt;b&gt;&#34;", "1 crash: w-3, for 5s",
		"a rule broken once", "prefers-color-scheme: dark", "scheduler 0 killed",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is not in the page", want)
		}
	}
	b.Reset()
	nasty := played(7, 0, true)
	v := Verdict{Violations: []Violation{{Rule: nasty.Name, Text: nasty.Name, Explanation: []string{nasty.Name}}}, Invalid: nasty.Name}
	if err := WriteHTML(&b, Document{Result: nasty, Verdict: &v, Scenario: nasty.Name, Build: nasty.Name}); err != nil {
		t.Fatal(err)
	}
	outline(t, b.String())
}

// A strip shows 10,000 workers and a day's load in a page of bearable size.
func TestLargeHTML(t *testing.T) {
	spec := scenario.Default()
	spec.Fleet.Workers, spec.Length = 10_000, scenario.Duration(time.Hour)
	s := score.New(spec, score.Options{})
	for sec := 0; sec < 3600; sec += 10 {
		for k := range 40 {
			x := trace.Event{
				At: time.Duration(sec) * time.Second, Worker: (sec*31 + k*251) % 10_000, RequestID: fmt.Sprint(sec, k),
				JobID: uint64(sec*100 + k), Work: 1, Slots: 4, LatencyObjective: time.Second,
			}
			for _, what := range []trace.Kind{trace.JobDue, trace.RequestSent, trace.AttemptReceived, trace.AttemptStarted} {
				x.Kind = what
				s.Observe(&x)
			}
		}
	}
	var b bytes.Buffer
	if err := WriteHTML(&b, Document{Result: s.Result()}); err != nil {
		t.Fatal(err)
	}
	outline(t, b.String())
	if b.Len() > 3<<20 {
		t.Errorf("%d bytes", b.Len())
	}
}

func comparison() *Comparison {
	c := &Comparison{Title: "old and new"}
	for i, name := range []string{"old", "new"} {
		s := Side{Name: name, Broken: i}
		for seed := range uint64(3) {
			s.Results = append(s.Results, played(seed, i*60+int(seed)*9, false))
		}
		c.Sides = append(c.Sides, s)
	}
	return c
}

func TestCompare(t *testing.T) {
	c := comparison()
	c.Sides[1].Results[0].Recovery.All = false // no figure there
	var b bytes.Buffer
	if err := ComparePage(&b, c); err != nil {
		t.Fatal(err)
	}
	golden(t, "compare.golden", b.String())
	b.Reset()
	if err := WriteCompare(&b, c); err != nil {
		t.Fatal(err)
	}
	golden(t, "compare.outline", outline(t, b.String()))
	if !strings.Contains(b.String(), "new is worse: by") {
		t.Error("nothing is said in words")
	}
	checkJSON(t, c, "sides", "paired")
}

func TestVariation(t *testing.T) {
	s := &Variation{Title: "slower", Param: "ms", Second: "side"}
	var points []Point
	for i, slower := range []int{0, 40, 80, 300, 320, 340} {
		points = append(points, Point{X: float64(i + 1), Results: []*score.Result{played(1, slower, false)}})
	}
	points[0].Results = append(points[0].Results, points[1].Results...) // one with a spread
	s.Curves = []Curve{{"a", points}, {"b", points[:2]}}
	if at, ok := s.Knee(&s.Curves[0]); !ok || at != 2 {
		t.Errorf("knee at %d, %v", at, ok)
	}
	var b bytes.Buffer
	if err := VariationPage(&b, s); err != nil {
		t.Fatal(err)
	}
	golden(t, "sweep.golden", b.String())
	b.Reset()
	if err := WriteVariation(&b, s); err != nil {
		t.Fatal(err)
	}
	golden(t, "sweep.outline", outline(t, b.String()))
	if strings.Count(b.String(), `class="knee"`) != 1 {
		t.Error("not one knee")
	}
	checkJSON(t, s, "curves", "figure")
}

func checkJSON(t *testing.T, v any, keys ...string) {
	t.Helper()
	var b bytes.Buffer
	if err := WriteJSON(&b, v); err != nil {
		t.Fatal(err)
	}
	var outputs map[string]any
	if err := json.Unmarshal(b.Bytes(), &outputs); err != nil {
		t.Fatal(err)
	}
	for _, k := range keys {
		if outputs[k] == nil {
			t.Errorf("no %s", k)
		}
	}
}

func TestJSON(t *testing.T) {
	r := played(7, 0, false)
	checkJSON(t, Document{Result: r, Verdict: &verdictOf, Expectations: expected(r, 1)}, "result", "verdict", "expectations")
}

func TestFigures(t *testing.T) {
	for got, want := range map[string]string{
		formatNumber(0): "0", formatNumber(1234.6): "1,235", formatNumber(0.25): "0.250", formatNumber(12.34): "12.3", formatNumber(1e-9): "<0.001",
		formatNumber(math.NaN()): noValue, formatNumber(-2.5): "-2.5", formatCount(-1234567): "-1,234,567", formatCount(12): "12",
		formatMillis(0.5): "0.500 ms", formatMillis(1500): "1.50 s", formatPercent(0.0001): "<0.1%", formatPercent(1): "100.0%",
		shorten("10.0 s"): "10 s", shorten("0.200"): "0.2",
		shorten("1,000"): "1,000", formatBytes(3 << 20): "3 MiB", truncateLine("a\x1b[1mbc", 4): "a [" + "…",
	} {
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
