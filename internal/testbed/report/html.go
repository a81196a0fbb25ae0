package report

import (
	"bytes"
	_ "embed" // page.gohtml
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"valvecove/internal/testbed/score"
)

//go:embed page.gohtml
var pageText string

var pages = template.Must(template.New("").Parse(pageText))

// document is a page of HTML as the template knows it. All of its text is escaped there.
type document struct {
	Title, Description string
	Summary            []string
	Badge              *badge
	Tiles              []tile
	Sections           []section
}

type badge struct{ Class, Text string }

type tile struct{ Name, Value, Remark string }

type section struct {
	ID, Title    string
	Text         []string
	Explanations []violationStory
	Plots        []*plot
	Strip        *strip
	Tables       []table
	Pre          string
}

type violationStory struct {
	Rule, At, Text string
	Explanation    []string
}

type table struct {
	Caption     string
	Summary     string // what it is folded up under; empty: it isn't
	TextColumns bool   // the last column is text
	Columns     []string
	Lines       [][]cell // one of one cell is a heading of those that follow
}

type cell struct{ Text, Class string }

// Places that follow from others, for the template.

func (p *plot) AreaH() pixels { return p.BottomEdge - p.TopEdge }
func (p *plot) TickX() pixels { return p.LeftEdge - 6 }
func (p *plot) TickY() pixels { return p.BottomEdge + 4 }
func (p *plot) TextY() pixels { return p.BottomEdge + 16 }
func (p *plot) NameY() pixels { return p.BottomEdge + 30 }

func (s *strip) Bottom() pixels { return s.TopEdge + s.AreaH }
func (s *strip) TextY() pixels  { return s.TopEdge + s.AreaH + 16 }

func (d *document) write(w io.Writer) error {
	var b bytes.Buffer
	if err := pages.ExecuteTemplate(&b, "page", d); err != nil {
		return err
	}
	text := b.Bytes()
	for i, c := range text { // escaping leaves control characters, which no page may have
		if c < ' ' && c != '\n' && c != '\t' || c == 0x7f {
			text[i] = ' '
		}
	}
	_, err := w.Write(text)
	return err
}

func (t *table) addRow(first string, remainder ...string) {
	line := make([]cell, 0, len(remainder)+1)
	line = append(line, cell{Text: first})
	for _, text := range remainder {
		line = append(line, cell{Text: text})
	}
	t.Lines = append(t.Lines, line)
}

// ColumnCount is how many columns a row of one cell spans, and Last the last of them.
func (t table) ColumnCount() int { return len(t.Columns) }
func (t table) Last() int        { return len(t.Columns) - 1 }

// setClass gives the last row's cells from column i on a class.
func (t *table) setClass(class string, columns ...int) {
	line := t.Lines[len(t.Lines)-1]
	for _, i := range columns {
		line[i].Class = class
	}
}

// WriteHTML writes the report of a run as one file that refers to nothing else.
func WriteHTML(w io.Writer, d Document) error {
	result := d.Result
	outputs := &document{Title: result.Name, Description: result.Description, Summary: []string{summaryOf(result)}, Tiles: tiles(result)}
	if d.Build != "" {
		outputs.Summary = append(outputs.Summary, "Played with "+d.Build)
	}
	outputs.Badge = &badge{"good", d.Verdict.String()}
	switch {
	case d.Verdict.Total() > 0:
		outputs.Badge.Class = "poor"
	case d.Verdict == nil || d.Verdict.Invalid != "":
		outputs.Badge.Class = ""
	}
	end := result.End
	for end > result.Length && isQuietAfter(result, end-1) {
		end--
	}
	t := &timeline{end: end, faults: result.Faults, marks: result.Marks}
	add := func(s section, ok bool) {
		if ok {
			outputs.Sections = append(outputs.Sections, s)
		}
	}
	add(verdictSection(d.Verdict))
	add(expectationSection(d.Expectations))
	add(timelineSection(result, t), true)
	add(section{ID: "parts", Title: "By class and tenant", Tables: groupTables(result)}, true)
	add(disturbanceSection(result))
	add(fleetSection(result, t), true)
	add(effortSection(result), true)
	add(processSection(result, t))
	add(misbehavingSection(result))
	add(scenarioText(d.Scenario), d.Scenario != "")
	add(section{ID: "reading", Title: "How to read this", Text: readingGuide}, true)
	return outputs.write(w)
}

func scenarioText(text string) section {
	return section{ID: "scenario", Title: "Scenario", Pre: strings.TrimRight(text, "\n")}
}

// isQuietAfter tells whether nothing went on any more after an instant.
func isQuietAfter(r *score.Result, s float64) bool {
	i := int(s)
	return i >= len(r.Seconds.InFlight) || r.Seconds.InFlight[i] == 0 && r.Seconds.Occupancy[i] == 0 &&
		r.Seconds.GoodputJobs[i] == 0
}

var readingGuide = []string{
	"Worth: a job's is that of its class, times its work, times its slots; beyond its tenant's share it counts only a " +
		"part. It is earned if the answer is there within the job's aim, counted from when the job was due, over all " +
		"tries. \"In share\" leaves out what is beyond a tenant's share. The mix is 40% the whole play, 15% its worst " +
		"10 s, 20% the worst class, 25% the worst tenant within its share.",
	"Each job is in one of these: in time, late (both served), refused (its last answer was 429 or 503), failed (its " +
		"last answer was another), unanswered (its client's time was up), lost (its last connection ended without an " +
		"answer), left (its client went away by itself), open (not over when the play was).",
	"Latency runs from when a job was due to its served answer, waiting and retries of its client included. Jobs that " +
		"were not served have none.",
	"Occupancy is slots in use, over time, over slots up. Waste is work that served nobody; what died on the way " +
		"counts for as long as it ran.",
	"A disturbance is a fault, or several that run into each other. Goodput is back when the share of the worth due " +
		"in a second, as a mean over that second and the next, that was earned is 95% of what it was over the 10 s before.",
	"Everything here was seen at clients and worker nodes. Nothing is a scheduler's word.",
}

func tiles(result *score.Result) []tile {
	w := &result.Value
	three := func(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }
	list := []tile{
		{"worth, mixed", three(w.Mix), "in time over asked for"},
		{"whole play", three(w.Whole), ""},
		{"worst 10 s", three(w.Worst10), "from " + formatSeconds(w.Worst10At)},
		{"worst class", three(w.WorstClass.Value), w.WorstClass.Name},
		{"worst tenant", three(w.WorstTenant.Value), w.WorstTenant.Name},
		{"jobs", formatCount(result.Whole.JobsDue), formatPercent(result.Whole.Shares.InTime) + " in time"},
		{"p50", formatMillis(result.Whole.Latency.P50), "from due to served"},
		{"p99", formatMillis(result.Whole.Latency.P99), "slowest " + formatMillis(result.Whole.Latency.Max)},
		{"refused", formatPercent(result.Whole.Shares.Rejected), "of jobs"},
		{"attempts", strconv.FormatFloat(result.Effort.PerJob, 'f', 3, 64), "a job"},
		{"waste", formatPercent(result.Waste.Share), "of work asked for"},
		{"occupancy", formatPercent(result.Fleet.Whole), "busiest " + formatPercent(result.Fleet.Busiest)},
	}
	if result.Recovery.Count > 0 {
		callback := plural(result.Recovery.Count, "disturbance", "disturbances") + ", the worst"
		value := formatSeconds(result.Recovery.Seconds)
		if !result.Recovery.All {
			value = "not seen"
		}
		list = append(list, tile{"back after", value, callback})
	}
	return list
}

func verdictSection(verdict *Verdict) (section, bool) {
	if verdict == nil {
		return section{}, false
	}
	section := section{ID: "verdict", Title: "Verdict", Text: []string{strings.ToUpper(verdict.String()[:1]) + verdict.String()[1:] + "."}}
	if n := verdict.Total() - len(verdict.Violations); n > 0 {
		section.Text = append(section.Text, fmt.Sprintf("Of %d of them no story was kept.", n))
	}
	for _, what := range verdict.NotChecked {
		section.Text = append(section.Text, "Left out: "+what)
	}
	for i := range verdict.Violations {
		b := &verdict.Violations[i]
		section.Explanations = append(section.Explanations, violationStory{b.Rule, formatSeconds(b.At.Seconds()), b.Text, b.Explanation})
	}
	return section, true
}

func expectationSection(met []score.Evaluation) (section, bool) {
	t := table{Columns: []string{"expected", "came to", "", ""}, TextColumns: true}
	for i := range met {
		m := &met[i]
		word, class := "met", "good"
		if !m.OK {
			word, class = "not met", "poor"
		}
		t.addRow(m.Expectation.String(), formatValue(m), word, m.Reason)
		t.setClass(class, 2)
		t.setClass("text", 3)
	}
	return section{ID: "expected", Title: "Expectations", Tables: []table{t}}, len(met) > 0
}

// ratio is earned over asked, second by second, as a mean with the second that follows; none where nothing was asked
// for.
func ratio(sent, earned score.Series, end float64) score.Series {
	outputs := make(score.Series, min(len(sent), int(math.Ceil(end))))
	for i := range outputs {
		k := min(i+2, len(outputs))
		outputs[i] = math.NaN()
		if a := sent[i:k].Sum(); a > 0 {
			outputs[i] = earned[i:k].Sum() / a
		}
	}
	return outputs
}

func timelineSection(r *score.Result, t *timeline) section {
	seconds := &r.Seconds
	kept := []lineSpec{{name: "all", series: ratio(seconds.DueValue, seconds.DueValueEarned, r.Length), strong: true}}
	flight := []lineSpec{{name: "all", series: seconds.InFlight, area: true}}
	for i := range seconds.Classes[:min(5, len(seconds.Classes))] {
		c := &seconds.Classes[i]
		kept = append(kept, lineSpec{name: c.Name, series: ratio(c.DueValue, c.DueValueEarned, r.Length)})
		flight = append(flight, lineSpec{name: c.Name, series: c.InFlight})
	}
	outputs := section{ID: "seconds", Title: "Over time", Plots: []*plot{
		t.plot(timePlot{
			id: "goodput", title: "Asked for and answered in time", yName: "worth a second", height: 300,
			text: formatNumber, labels: true, lines: []lineSpec{
				{name: "asked for, when due", series: seconds.DueValue, area: true},
				{name: "answered in time, when answered", series: seconds.GoodputValue, strong: true},
			},
		}),
		t.plot(timePlot{
			id: "kept", title: "Share of the worth due in a second that was earned",
			yName: "mean of two seconds", height: 220, top: 1, text: formatPercent, lines: kept,
		}),
		t.plot(timePlot{
			id: "latency", title: "Latency of answers", yName: "from when the job was due, logarithmic",
			height: 260, log: true, text: formatMillis, lines: []lineSpec{
				{name: "p50", series: seconds.P50, gaps: true, summarize: maxOf},
				{name: "p99", series: seconds.P99, gaps: true, summarize: maxOf, strong: true},
				{name: "slowest", series: seconds.MaxLatency, gaps: true, summarize: maxOf},
			},
		}),
		t.plot(timePlot{
			id: "flight", title: "In flight", yName: "jobs due and not over", height: 220, text: formatNumber,
			lines: flight,
		}),
		t.plot(timePlot{
			id: "refusals", title: "Refusals and attempts", yName: "a second", height: 200, text: formatNumber,
			lines: []lineSpec{{name: "jobs due", series: seconds.DueJobs, area: true}, {
				name:   "tries refused by schedulers",
				series: seconds.Rejected, strong: true,
			}, {name: "attempts at worker nodes", series: seconds.Attempts}},
		}),
	}}
	if len(seconds.Classes) > 5 {
		outputs.Text = []string{"Of the classes the first five are drawn."}
	}
	return outputs
}

func groupTables(result *score.Result) []table {
	outcome := table{
		Caption: "Jobs by what became of them, and worth earned over worth asked for",
		Columns: []string{"", "jobs", "worth", "earned", "in share"},
	}
	var shown []int // the usual outcomes, and the others where there are any
	for i, name := range score.OutcomeNames {
		if i < int(score.OutcomeLost) || result.Whole.Outcomes[i] > 0 {
			shown = append(shown, i)
			outcome.Columns = append(outcome.Columns, name)
		}
	}
	if result.Whole.Open > 0 {
		outcome.Columns = append(outcome.Columns, "open")
	}
	outcome.Columns = append(outcome.Columns, "attempts a job")
	times := table{
		Caption: "Latency of served jobs, from when they were due",
		Columns: []string{"", "served", "p50", "p90", "p99", "p99.9", "slowest"},
	}
	line := func(g *score.Group) {
		cells := []string{formatCount(g.JobsDue), formatNumber(g.Requested), formatPercent(g.EarnedShare), formatPercent(g.EarnedShareWithinQuota)}
		for _, i := range shown {
			cells = append(cells, formatPercent(float64(g.Outcomes[i])/float64(max(1, g.JobsDue))))
		}
		if result.Whole.Open > 0 {
			cells = append(cells, formatCount(g.Open))
		}
		outcome.addRow(g.Name, append(cells, strconv.FormatFloat(g.Attempts, 'f', 3, 64))...)
		l := &g.Latency
		times.addRow(g.Name, formatCount(l.Count), formatMillis(l.P50), formatMillis(l.P90), formatMillis(l.P99), formatMillis(l.P999), formatMillis(l.Max))
	}
	line(&result.Whole)
	for _, side := range []struct {
		name   string
		groups []score.Group
	}{{"by class", result.Classes}, {"by tenant", result.Tenants}} {
		outcome.addRow(side.name)
		times.addRow(side.name)
		for i := range side.groups {
			line(&side.groups[i])
		}
	}
	return []table{outcome, times}
}

func disturbanceSection(result *score.Result) (section, bool) {
	back := table{
		Caption: "Disturbances and when goodput was back",
		Columns: []string{"faults", "from", "to", "share before", "at its lowest", "back, from its start", "from its end"},
	}
	for i := range result.Disturbances {
		disturbance := &result.Disturbances[i]
		low, start, end := "no dip", "0 s", "0 s"
		if disturbance.HasDip {
			low, start, end = formatPercent(disturbance.Lowest), formatSeconds(disturbance.FromStart), formatSeconds(disturbance.FromEnd)
		}
		to := formatSeconds(disturbance.To)
		if disturbance.Lasting {
			to += ", lasting"
		}
		if !disturbance.Recovered {
			end = "not within " + end
		}
		back.addRow(strings.Join(disturbance.Faults, ", "), formatSeconds(disturbance.From), to, formatPercent(disturbance.Before), low, start, end)
		if !disturbance.Recovered {
			back.setClass("poor", 6)
		}
	}
	list := table{
		Caption: "The timeline, as numbered in the plots", Columns: []string{"fault", "from", "to"},
		Summary: plural(len(result.Faults), "fault", "faults") + " of the timeline",
	}
	for i, f := range result.Faults[:min(len(result.Faults), maxBands)] {
		off := "the end"
		if f.Off >= 0 {
			off = formatSeconds(f.Off)
		}
		list.addRow(fmt.Sprintf("%d. %s", i+1, f.Text), formatSeconds(f.On), off)
	}
	marks := table{
		Caption: "What befell schedulers, and worker nodes that were pushed over",
		Columns: []string{"what", "when"}, Summary: plural(len(result.Marks), "mark", "marks"),
	}
	for _, m := range result.Marks[:min(len(result.Marks), maxBands)] {
		marks.addRow(m.Text, formatSeconds(m.At))
	}
	s := section{ID: "faults", Title: "Faults and recovery"}
	for _, t := range []table{back, list, marks} {
		if len(t.Lines) > 0 {
			s.Tables = append(s.Tables, t)
		}
	}
	return s, len(s.Tables) > 0
}

// maxWorkers is how many workers a table shows.
const maxWorkers = 30

func fleetSection(r *score.Result, t *timeline) section {
	occupancy := &r.Fleet
	up := make(score.Series, len(r.Seconds.WorkersUp))
	for i, n := range r.Seconds.WorkersUp {
		up[i] = n / float64(max(1, len(occupancy.Workers)))
	}
	section := section{ID: "fleet", Title: "Worker nodes", Strip: t.strip(occupancy), Plots: []*plot{
		t.plot(timePlot{
			id: "occupancy", title: "Occupancy of the fleet, and worker nodes up",
			yName: "of slots up, and of all", height: 180, top: 1, text: formatPercent, lines: []lineSpec{
				{name: "occupancy", series: r.Seconds.Occupancy, area: true}, {name: "worker nodes up", series: up},
			},
		}),
	}}
	section.Text = []string{fmt.Sprintf("Occupancy of the fleet %s; of the busiest, w-%d, %s, which is %s times the mean.",
		formatPercent(occupancy.Whole), occupancy.BusiestWorker, formatPercent(occupancy.Busiest), formatNumber(occupancy.OverMean))}
	nodes := table{
		Columns: []string{"", "occupancy", "up", "slots", "attempts", "full", "pushed over"},
		Summary: plural(len(occupancy.Workers), "worker node", "worker nodes") + ", the busiest first",
	}
	if len(occupancy.Workers) > maxWorkers {
		nodes.Summary = fmt.Sprintf("The %d busiest of %s worker nodes", maxWorkers, formatCount(len(occupancy.Workers)))
	}
	list := slices.Clone(occupancy.Workers)
	slices.SortStableFunc(list, func(a, b score.WorkerUse) int {
		switch {
		case a.Use > b.Use:
			return -1
		case a.Use < b.Use:
			return 1
		}
		return 0
	})
	for _, n := range list[:min(len(list), maxWorkers)] {
		nodes.addRow(fmt.Sprint("w-", n.Worker), formatPercent(n.Use), formatPercent(n.Up), formatNumber(n.Slots), formatCount(n.Attempts),
			formatCount(n.Full), formatCount(n.Overloads))
	}
	section.Tables = []table{nodes}
	return section
}

func effortSection(result *score.Result) section {
	effort, w := &result.Effort, &result.Waste
	a := table{Caption: "Counted at clients and worker nodes", Columns: []string{"", "in all", "a job"}}
	for _, entry := range []struct {
		name string
		n    int
	}{
		{"tries of clients", effort.Requests},
		{"retries of clients", effort.Retries},
		{"tries that found no scheduler", effort.RequestsUnreached},
		{"sent once more on a new connection", effort.Resent},
		{"tries served", effort.RequestsServed},
		{"tries refused by schedulers", effort.RequestsRejected},
		{"tries failed", effort.RequestsFailed},
		{"attempts at worker nodes", effort.Attempts},
		{"second copies", effort.Hedged},
		{"accepted", effort.Accepted},
		{"turned away by worker nodes", effort.Rejected},
		{"of these, full", effort.Full},
		{"handed back unstarted", effort.Returned},
		{"withdrawn", effort.Cancelled},
		{"repeats that a cell dropped", effort.DuplicatesDropped},
		{"notes", effort.Callbacks},
		{"notes lost", effort.CallbacksLost},
		{"probes", effort.HealthChecks},
		{"connections opened to worker nodes", effort.Connections},
		{"cold worker nodes pushed over", effort.Overloads},
		{"attempts of queries long over", effort.Duplicates},
		{"sights of what is not open", effort.Unknown},
	} {
		a.addRow(entry.name, formatCount(entry.n), formatNumber(float64(entry.n)/float64(max(1, result.Whole.JobsDue))))
	}
	a.addRow("most attempts of one job", formatCount(effort.MaxAttempts), "")
	b := table{Caption: "Work, in seconds at speed 1 times slots", Columns: []string{"", "work", "of the work asked for"}}
	for _, entry := range []struct {
		name string
		work float64
	}{
		{"asked for", effort.WorkRequested},
		{"run by worker nodes", effort.WorkRun},
		{"of which an answer came", effort.WorkUseful},
		{"of which it came after the aim", effort.WorkAfterObjective},
		{"waste", w.Work},
		{"waste: another run had given the answer", w.Repeated},
		{"waste: the client's time was up", w.TooLate},
		{"waste: the client had gone", w.ClientLeft},
		{"waste: the client was refused, failed or cut off", w.Unused},
		{"waste: it ended with an error", w.Errors},
		{"waste: it died on the way", w.Killed},
		{"for tries that were open at the end", effort.WorkPending},
	} {
		b.addRow(entry.name, formatNumber(entry.work), formatPercent(entry.work/max(effort.WorkRequested, 1e-9)))
	}
	return section{ID: "effort", Title: "Attempts, waste, refusals", Tables: []table{b, a}}
}

func processSection(result *score.Result, t *timeline) (section, bool) {
	section := section{ID: "processes", Title: "Processes"}
	list := table{Columns: []string{
		"", "CPU", "cores", "peak memory", "peak descriptors", "tries", "attempts", "starts",
		"kills", "SIGTERM", "freezes", "reloads", "exits",
	}}
	drawn := slices.Clone(result.Processes)
	drawn = slices.DeleteFunc(drawn, func(p score.Process) bool { return len(p.CPUBySecond) == 0 })
	slices.SortStableFunc(drawn, func(a, b score.Process) int {
		switch {
		case a.CPU > b.CPU:
			return -1
		case a.CPU < b.CPU:
			return 1
		}
		return 0
	})
	if len(drawn) > 6 {
		section.Text = append(section.Text, "Drawn are the six that took the most CPU.")
		drawn = drawn[:6]
	}
	var cpus, memories, files []lineSpec
	for _, p := range drawn {
		name := processName(p.Scheduler)
		cpus = append(cpus, lineSpec{name: name, series: p.CPUBySecond})
		memories = append(memories, lineSpec{name: name, series: p.MemoryBySecond, gaps: true, summarize: maxOf})
		files = append(files, lineSpec{name: name, series: p.FilesBySecond, gaps: true, summarize: maxOf})
	}
	if len(drawn) > 0 {
		const peak = "peak of each second"
		section.Plots = []*plot{
			t.plot(timePlot{id: "cpu", title: "CPU", yName: "cores", height: 180, text: formatNumber, lines: cpus}),
			t.plot(timePlot{id: "memory", title: "Memory", yName: peak, height: 180, text: formatBytes, lines: memories}),
			t.plot(timePlot{id: "files", title: "Descriptors", yName: peak, height: 160, text: formatNumber, lines: files}),
		}
	}
	busy := len(drawn) > 0
	for _, p := range result.Processes {
		list.addRow(processName(p.Scheduler), formatSeconds(p.CPU), formatNumber(p.Cores), formatBytes(float64(p.PeakMemory)), formatCount(p.PeakFiles),
			formatCount(p.Requests), formatCount(p.Attempts), formatCount(p.Starts), formatCount(p.Kills), formatCount(p.Terms), formatCount(p.Freezes),
			formatCount(p.Reloads), formatCount(p.Exits))
		busy = busy || p.Starts > 0
	}
	section.Tables = []table{list}
	if l := &result.Lateness; l.Count > 0 {
		section.Text = append(section.Text, fmt.Sprintf("The lab itself was late %s: p99.9 %s, at most %s.",
			plural(l.Count, "time", "times"), formatMillis(l.P999), formatMillis(l.Max)))
	}
	return section, busy
}

func misbehavingSection(result *score.Result) (section, bool) {
	t := table{Columns: []string{
		"kind", "connected", "answered with an error", "closed", "answered otherwise",
		"left waiting", "longest",
	}}
	for _, b := range result.Misbehaving {
		t.addRow(b.Kind, formatCount(b.Connected), formatCount(b.Errors), formatCount(b.Closed), formatCount(b.Served), formatCount(b.Open),
			formatMillis(b.MaxWaitMs))
		if b.Served > 0 {
			t.setClass("poor", 4)
		}
		if b.Open > 0 {
			t.setClass("poor", 5)
		}
	}
	return section{ID: "bad", Title: "Bad clients", Tables: []table{t}}, len(result.Misbehaving) > 0
}
