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

	"valvecove/internal/lab/score"
)

//go:embed page.gohtml
var pageText string

var pages = template.Must(template.New("").Parse(pageText))

// document is a page of HTML as the template knows it. All of its text is escaped there.
type document struct {
	Title, About string
	Gist         []string
	Badge        *badge
	Tiles        []tile
	Sections     []section
}

type badge struct{ Class, Text string }

type tile struct{ Name, Value, Note string }

type section struct {
	ID, Title string
	Text      []string
	Stories   []story
	Plots     []*plot
	Strip     *strip
	Tables    []table
	Pre       string
}

type story struct {
	Rule, At, Text string
	Story          []string
}

type table struct {
	Caption string
	Fold    string // what it is folded up under; empty: it isn't
	Words   bool   // the last column is text
	Head    []string
	Rows    [][]cell // one of one cell is a heading of those that follow
}

type cell struct{ Text, Class string }

// Places that follow from others, for the template.

func (p *plot) AreaH() px { return p.B - p.T }
func (p *plot) TickX() px { return p.L - 6 }
func (p *plot) TickY() px { return p.B + 4 }
func (p *plot) TextY() px { return p.B + 16 }
func (p *plot) NameY() px { return p.B + 30 }

func (s *strip) Bottom() px { return s.T + s.AreaH }
func (s *strip) TextY() px  { return s.T + s.AreaH + 16 }

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

func (t *table) row(first string, rest ...string) {
	row := make([]cell, 0, len(rest)+1)
	row = append(row, cell{Text: first})
	for _, text := range rest {
		row = append(row, cell{Text: text})
	}
	t.Rows = append(t.Rows, row)
}

// Wide is how many columns a row of one cell spans, and Last the last of them.
func (t table) Wide() int { return len(t.Head) }
func (t table) Last() int { return len(t.Head) - 1 }

// mark gives the last row's cells from column i on a class.
func (t *table) mark(class string, columns ...int) {
	row := t.Rows[len(t.Rows)-1]
	for _, i := range columns {
		row[i].Class = class
	}
}

// WriteHTML writes the report of a play as one file that refers to nothing else.
func WriteHTML(w io.Writer, d Doc) error {
	r := d.Result
	out := &document{Title: r.Name, About: r.About, Gist: []string{gist(r)}, Tiles: tiles(r)}
	if d.Build != "" {
		out.Gist = append(out.Gist, "Played with "+d.Build)
	}
	out.Badge = &badge{"good", d.Verdict.String()}
	switch {
	case d.Verdict.Total() > 0:
		out.Badge.Class = "poor"
	case d.Verdict == nil || d.Verdict.Void != "":
		out.Badge.Class = ""
	}
	end := r.End
	for end > r.Length && quietAfter(r, end-1) {
		end--
	}
	t := &timeline{end: end, faults: r.Faults, marks: r.Marks}
	add := func(s section, ok bool) {
		if ok {
			out.Sections = append(out.Sections, s)
		}
	}
	add(verdict(d.Verdict))
	add(expectations(d.Met))
	add(overSeconds(r, t), true)
	add(section{ID: "parts", Title: "By class and tenant", Tables: parts(r)}, true)
	add(troubles(r))
	add(fleet(r, t), true)
	add(efforts(r), true)
	add(processes(r, t))
	add(badClients(r))
	add(scenarioText(d.Scenario), d.Scenario != "")
	add(section{ID: "reading", Title: "How to read this", Text: reading}, true)
	return out.write(w)
}

func scenarioText(text string) section {
	return section{ID: "scenario", Title: "Scenario", Pre: strings.TrimRight(text, "\n")}
}

// quietAfter tells whether nothing went on any more after an instant.
func quietAfter(r *score.Result, s float64) bool {
	i := int(s)
	return i >= len(r.Seconds.InFlight) || r.Seconds.InFlight[i] == 0 && r.Seconds.Occupancy[i] == 0 &&
		r.Seconds.GoodputJobs[i] == 0
}

var reading = []string{
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

func tiles(r *score.Result) []tile {
	w := &r.Worth
	three := func(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }
	list := []tile{
		{"worth, mixed", three(w.Mix), "in time over asked for"},
		{"whole play", three(w.Whole), ""},
		{"worst 10 s", three(w.Worst10), "from " + instant(w.Worst10At)},
		{"worst class", three(w.WorstClass.Value), w.WorstClass.Name},
		{"worst tenant", three(w.WorstTenant.Value), w.WorstTenant.Name},
		{"jobs", count(r.Whole.Due), percent(r.Whole.Shares.InTime) + " in time"},
		{"p50", span(r.Whole.Latency.P50), "from due to served"},
		{"p99", span(r.Whole.Latency.P99), "slowest " + span(r.Whole.Latency.Max)},
		{"refused", percent(r.Whole.Shares.Refused), "of jobs"},
		{"attempts", strconv.FormatFloat(r.Effort.PerJob, 'f', 3, 64), "a job"},
		{"waste", percent(r.Waste.Share), "of work asked for"},
		{"occupancy", percent(r.Fleet.Whole), "busiest " + percent(r.Fleet.Busiest)},
	}
	if r.Recovery.Count > 0 {
		note := plural(r.Recovery.Count, "disturbance", "disturbances") + ", the worst"
		value := instant(r.Recovery.Seconds)
		if !r.Recovery.All {
			value = "not seen"
		}
		list = append(list, tile{"back after", value, note})
	}
	return list
}

func verdict(v *Verdict) (section, bool) {
	if v == nil {
		return section{}, false
	}
	s := section{ID: "verdict", Title: "Verdict", Text: []string{strings.ToUpper(v.String()[:1]) + v.String()[1:] + "."}}
	if n := v.Total() - len(v.Broken); n > 0 {
		s.Text = append(s.Text, fmt.Sprintf("Of %d of them no story was kept.", n))
	}
	for _, what := range v.LeftOut {
		s.Text = append(s.Text, "Left out: "+what)
	}
	for i := range v.Broken {
		b := &v.Broken[i]
		s.Stories = append(s.Stories, story{b.Rule, instant(b.At.Seconds()), b.Text, b.Story})
	}
	return s, true
}

func expectations(met []score.Met) (section, bool) {
	t := table{Head: []string{"expected", "came to", "", ""}, Words: true}
	for i := range met {
		m := &met[i]
		word, class := "met", "good"
		if !m.OK {
			word, class = "not met", "poor"
		}
		t.row(m.Expectation.String(), got(m), word, m.Note)
		t.mark(class, 2)
		t.mark("text", 3)
	}
	return section{ID: "expected", Title: "Expectations", Tables: []table{t}}, len(met) > 0
}

// ratio is earned over asked, second by second, as a mean with the second that follows; none where nothing was asked
// for.
func ratio(asked, earned score.Series, end float64) score.Series {
	out := make(score.Series, min(len(asked), int(math.Ceil(end))))
	for i := range out {
		k := min(i+2, len(out))
		out[i] = math.NaN()
		if a := asked[i:k].Sum(); a > 0 {
			out[i] = earned[i:k].Sum() / a
		}
	}
	return out
}

func overSeconds(r *score.Result, t *timeline) section {
	s := &r.Seconds
	kept := []line{{name: "all", of: ratio(s.Asked, s.Earned, r.Length), strong: true}}
	flight := []line{{name: "all", of: s.InFlight, area: true}}
	for i := range s.Classes[:min(5, len(s.Classes))] {
		c := &s.Classes[i]
		kept = append(kept, line{name: c.Name, of: ratio(c.Asked, c.Earned, r.Length)})
		flight = append(flight, line{name: c.Name, of: c.InFlight})
	}
	out := section{ID: "seconds", Title: "Over time", Plots: []*plot{
		t.plot(overTime{
			id: "goodput", title: "Asked for and answered in time", yName: "worth a second", height: 300,
			text: figure, labels: true, lines: []line{
				{name: "asked for, when due", of: s.Asked, area: true},
				{name: "answered in time, when answered", of: s.Goodput, strong: true},
			},
		}),
		t.plot(overTime{
			id: "kept", title: "Share of the worth due in a second that was earned",
			yName: "mean of two seconds", height: 220, top: 1, text: percent, lines: kept,
		}),
		t.plot(overTime{
			id: "latency", title: "Latency of answers", yName: "from when the job was due, logarithmic",
			height: 260, log: true, text: span, lines: []line{
				{name: "p50", of: s.P50, gaps: true, how: most},
				{name: "p99", of: s.P99, gaps: true, how: most, strong: true},
				{name: "slowest", of: s.Slowest, gaps: true, how: most},
			},
		}),
		t.plot(overTime{
			id: "flight", title: "In flight", yName: "jobs due and not over", height: 220, text: figure,
			lines: flight,
		}),
		t.plot(overTime{
			id: "refusals", title: "Refusals and attempts", yName: "a second", height: 200, text: figure,
			lines: []line{{name: "jobs due", of: s.AskedJobs, area: true}, {
				name: "tries refused by schedulers",
				of:   s.Refused, strong: true,
			}, {name: "attempts at worker nodes", of: s.Attempts}},
		}),
	}}
	if len(s.Classes) > 5 {
		out.Text = []string{"Of the classes the first five are drawn."}
	}
	return out
}

func parts(r *score.Result) []table {
	outcome := table{
		Caption: "Jobs by what became of them, and worth earned over worth asked for",
		Head:    []string{"", "jobs", "worth", "earned", "in share"},
	}
	var shown []int // the usual outcomes, and the others where there are any
	for i, name := range score.OutcomeNames {
		if i < int(score.Lost) || r.Whole.Outcomes[i] > 0 {
			shown = append(shown, i)
			outcome.Head = append(outcome.Head, name)
		}
	}
	if r.Whole.Open > 0 {
		outcome.Head = append(outcome.Head, "open")
	}
	outcome.Head = append(outcome.Head, "attempts a job")
	times := table{
		Caption: "Latency of served jobs, from when they were due",
		Head:    []string{"", "served", "p50", "p90", "p99", "p99.9", "slowest"},
	}
	row := func(g *score.Group) {
		cells := []string{count(g.Due), figure(g.Asked), percent(g.Share), percent(g.Within)}
		for _, i := range shown {
			cells = append(cells, percent(float64(g.Outcomes[i])/float64(max(1, g.Due))))
		}
		if r.Whole.Open > 0 {
			cells = append(cells, count(g.Open))
		}
		outcome.row(g.Name, append(cells, strconv.FormatFloat(g.Attempts, 'f', 3, 64))...)
		l := &g.Latency
		times.row(g.Name, count(l.Count), span(l.P50), span(l.P90), span(l.P99), span(l.P999), span(l.Max))
	}
	row(&r.Whole)
	for _, side := range []struct {
		name   string
		groups []score.Group
	}{{"by class", r.Classes}, {"by tenant", r.Tenants}} {
		outcome.row(side.name)
		times.row(side.name)
		for i := range side.groups {
			row(&side.groups[i])
		}
	}
	return []table{outcome, times}
}

func troubles(r *score.Result) (section, bool) {
	back := table{
		Caption: "Disturbances and when goodput was back",
		Head:    []string{"faults", "from", "to", "share before", "at its lowest", "back, from its start", "from its end"},
	}
	for i := range r.Troubles {
		d := &r.Troubles[i]
		low, start, end := "no dip", "0 s", "0 s"
		if d.Dip {
			low, start, end = percent(d.Low), instant(d.FromStart), instant(d.FromEnd)
		}
		to := instant(d.To)
		if d.Lasting {
			to += ", lasting"
		}
		if !d.Recovered {
			end = "not within " + end
		}
		back.row(strings.Join(d.Faults, ", "), instant(d.From), to, percent(d.Before), low, start, end)
		if !d.Recovered {
			back.mark("poor", 6)
		}
	}
	list := table{
		Caption: "The timeline, as numbered in the plots", Head: []string{"fault", "from", "to"},
		Fold: plural(len(r.Faults), "fault", "faults") + " of the timeline",
	}
	for i, f := range r.Faults[:min(len(r.Faults), mostBands)] {
		off := "the end"
		if f.Off >= 0 {
			off = instant(f.Off)
		}
		list.row(fmt.Sprintf("%d. %s", i+1, f.Text), instant(f.On), off)
	}
	marks := table{
		Caption: "What befell schedulers, and worker nodes that were pushed over",
		Head:    []string{"what", "when"}, Fold: plural(len(r.Marks), "mark", "marks"),
	}
	for _, m := range r.Marks[:min(len(r.Marks), mostBands)] {
		marks.row(m.Text, instant(m.At))
	}
	s := section{ID: "faults", Title: "Faults and recovery"}
	for _, t := range []table{back, list, marks} {
		if len(t.Rows) > 0 {
			s.Tables = append(s.Tables, t)
		}
	}
	return s, len(s.Tables) > 0
}

// mostNodes is how many worker nodes a table shows.
const mostNodes = 30

func fleet(r *score.Result, t *timeline) section {
	o := &r.Fleet
	up := make(score.Series, len(r.Seconds.NodesUp))
	for i, n := range r.Seconds.NodesUp {
		up[i] = n / float64(max(1, len(o.Nodes)))
	}
	s := section{ID: "fleet", Title: "Worker nodes", Strip: t.strip(o), Plots: []*plot{
		t.plot(overTime{
			id: "occupancy", title: "Occupancy of the fleet, and worker nodes up",
			yName: "of slots up, and of all", height: 180, top: 1, text: percent, lines: []line{
				{name: "occupancy", of: r.Seconds.Occupancy, area: true}, {name: "worker nodes up", of: up},
			},
		}),
	}}
	s.Text = []string{fmt.Sprintf("Occupancy of the fleet %s; of the busiest, w-%d, %s, which is %s times the mean.",
		percent(o.Whole), o.BusiestNode, percent(o.Busiest), figure(o.OverMean))}
	nodes := table{
		Head: []string{"", "occupancy", "up", "slots", "attempts", "full", "pushed over"},
		Fold: plural(len(o.Nodes), "worker node", "worker nodes") + ", the busiest first",
	}
	if len(o.Nodes) > mostNodes {
		nodes.Fold = fmt.Sprintf("The %d busiest of %s worker nodes", mostNodes, count(len(o.Nodes)))
	}
	list := slices.Clone(o.Nodes)
	slices.SortStableFunc(list, func(a, b score.NodeUse) int {
		switch {
		case a.Use > b.Use:
			return -1
		case a.Use < b.Use:
			return 1
		}
		return 0
	})
	for _, n := range list[:min(len(list), mostNodes)] {
		nodes.row(fmt.Sprint("w-", n.Node), percent(n.Use), percent(n.Up), figure(n.Slots), count(n.Attempts),
			count(n.Full), count(n.Falls))
	}
	s.Tables = []table{nodes}
	return s
}

func efforts(r *score.Result) section {
	e, w := &r.Effort, &r.Waste
	a := table{Caption: "Counted at clients and worker nodes", Head: []string{"", "in all", "a job"}}
	for _, x := range []struct {
		name string
		n    int
	}{
		{"tries of clients", e.Tries},
		{"retries of clients", e.Retries},
		{"tries that found no scheduler", e.Unreached},
		{"sent once more on a new connection", e.Resent},
		{"tries served", e.Served},
		{"tries refused by schedulers", e.Refused},
		{"tries failed", e.Failed},
		{"attempts at worker nodes", e.Attempts},
		{"second copies", e.SecondCopies},
		{"accepted", e.Accepted},
		{"turned away by worker nodes", e.Turned},
		{"of these, full", e.Full},
		{"handed back unstarted", e.Returned},
		{"withdrawn", e.Withdrawn},
		{"repeats that a cell dropped", e.Dropped},
		{"notes", e.Notes},
		{"notes lost", e.NotesLost},
		{"probes", e.Probes},
		{"connections opened to worker nodes", e.Links},
		{"cold worker nodes pushed over", e.Falls},
		{"attempts of queries long over", e.Strays},
		{"sights of what is not open", e.Unknown},
	} {
		a.row(x.name, count(x.n), figure(float64(x.n)/float64(max(1, r.Whole.Due))))
	}
	a.row("most attempts of one job", count(e.MostAttempts), "")
	b := table{Caption: "Work, in seconds at speed 1 times slots", Head: []string{"", "work", "of the work asked for"}}
	for _, x := range []struct {
		name string
		work float64
	}{
		{"asked for", e.WorkAsked},
		{"run by worker nodes", e.WorkRun},
		{"of which an answer came", e.WorkUseful},
		{"of which it came after the aim", e.AfterAim},
		{"waste", w.Work},
		{"waste: another run had given the answer", w.Repeated},
		{"waste: the client's time was up", w.TooLate},
		{"waste: the client had gone", w.Left},
		{"waste: the client was refused, failed or cut off", w.Unused},
		{"waste: it ended with an error", w.Errors},
		{"waste: it died on the way", w.Killed},
		{"for tries that were open at the end", e.WorkPending},
	} {
		b.row(x.name, figure(x.work), percent(x.work/max(e.WorkAsked, 1e-9)))
	}
	return section{ID: "effort", Title: "Attempts, waste, refusals", Tables: []table{b, a}}
}

func processes(r *score.Result, t *timeline) (section, bool) {
	s := section{ID: "processes", Title: "Processes"}
	list := table{Head: []string{
		"", "CPU", "cores", "peak memory", "peak descriptors", "tries", "attempts", "starts",
		"kills", "SIGTERM", "freezes", "reloads", "exits",
	}}
	drawn := slices.Clone(r.Procs)
	drawn = slices.DeleteFunc(drawn, func(p score.Process) bool { return len(p.CPUs) == 0 })
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
		s.Text = append(s.Text, "Drawn are the six that took the most CPU.")
		drawn = drawn[:6]
	}
	var cpus, memories, files []line
	for _, p := range drawn {
		name := procName(p.Sched)
		cpus = append(cpus, line{name: name, of: p.CPUs})
		memories = append(memories, line{name: name, of: p.Memories, gaps: true, how: most})
		files = append(files, line{name: name, of: p.Opens, gaps: true, how: most})
	}
	if len(drawn) > 0 {
		const peak = "peak of each second"
		s.Plots = []*plot{
			t.plot(overTime{id: "cpu", title: "CPU", yName: "cores", height: 180, text: figure, lines: cpus}),
			t.plot(overTime{id: "memory", title: "Memory", yName: peak, height: 180, text: size, lines: memories}),
			t.plot(overTime{id: "files", title: "Descriptors", yName: peak, height: 160, text: figure, lines: files}),
		}
	}
	busy := len(drawn) > 0
	for _, p := range r.Procs {
		list.row(procName(p.Sched), instant(p.CPU), figure(p.Cores), size(float64(p.Memory)), count(p.Files),
			count(p.Tries), count(p.Attempts), count(p.Starts), count(p.Kills), count(p.Terms), count(p.Freezes),
			count(p.Reloads), count(p.Exits))
		busy = busy || p.Starts > 0
	}
	s.Tables = []table{list}
	if l := &r.Lateness; l.Count > 0 {
		s.Text = append(s.Text, fmt.Sprintf("The lab itself was late %s: p99.9 %s, at most %s.",
			plural(l.Count, "time", "times"), span(l.P999), span(l.Max)))
	}
	return s, busy
}

func badClients(r *score.Result) (section, bool) {
	t := table{Head: []string{
		"kind", "connected", "answered with an error", "closed", "answered otherwise",
		"left waiting", "longest",
	}}
	for _, b := range r.Bad {
		t.row(b.Kind, count(b.Connected), count(b.Errors), count(b.Closed), count(b.Served), count(b.Open),
			span(b.LongestMs))
		if b.Served > 0 {
			t.mark("poor", 4)
		}
		if b.Open > 0 {
			t.mark("poor", 5)
		}
	}
	return section{ID: "bad", Title: "Bad clients", Tables: []table{t}}, len(r.Bad) > 0
}
