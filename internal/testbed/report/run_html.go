package report

import (
	"fmt"
	"io"

	"valvecove/internal/testbed/score"
)

// WriteHTML writes the report of a run as a single HTML file. The error is that of the writer or the template.
func WriteHTML(w io.Writer, source Document) error {
	result := source.Result
	page := &document{
		Title:       result.Name,
		Description: result.Description,
		Summary:     []string{summaryOf(result)},
		Tiles:       tiles(result),
		Badge:       verdictBadge(source.Verdict),
	}
	page.addBuild(source.Build)
	timeline := &timeline{end: timelineEnd(result), faults: result.Faults, marks: result.Marks}
	page.addSection(verdictSection(source.Verdict))
	page.addSection(expectationSection(source.Expectations))
	page.addSection(timelineSection(result, timeline), true)
	page.addSection(section{ID: "parts", Title: "By class and tenant", Tables: groupTables(result)}, true)
	page.addSection(disturbanceSection(result))
	page.addSection(fleetSection(result, timeline), true)
	page.addSection(effortSection(result), true)
	page.addSection(processSection(result, timeline))
	page.addSection(misbehavingSection(result))
	page.addScenario(source.Scenario)
	page.addSection(section{ID: "reading", Title: "How to read this", Text: readingGuide}, true)
	return page.write(w)
}

// verdictBadge returns the verdict for the top of the page.
func verdictBadge(verdict *Verdict) *badge {
	class := classGood
	switch {
	case verdict.Total() > 0:
		class = classPoor
	case verdict == nil || verdict.Invalid != "":
		class = ""
	}
	return &badge{Class: class, Text: verdict.String()}
}

// timelineEnd returns the end of the plots over time: the end of the last second in which the run was not idle, but at least
// the end of the load.
func timelineEnd(result *score.Result) float64 {
	end := result.End
	for end > result.Length && isIdleIn(&result.Seconds, int(end-1)) {
		end--
	}
	return end
}

// isIdleIn reports whether no job was in flight, running or answered in time in a second of the run.
func isIdleIn(seconds *score.Seconds, second int) bool {
	if second >= len(seconds.InFlight) {
		return true
	}
	return seconds.InFlight[second] == 0 && seconds.Occupancy[second] == 0 && seconds.GoodputJobs[second] == 0
}

var readingGuide = []string{
	"Worth: the worth of a job is that of its class, times its work, times its slots; it is reduced for jobs beyond their " +
		"tenant's share. It is earned if the answer comes within the job's latency objective, counted from when the job was due, " +
		"whichever request gets it. \"In share\" leaves out jobs beyond a tenant's share. The mix is 40% the whole run, 15% its " +
		"worst 10 s, 20% the worst class, 25% the worst tenant within its share.",
	"Each job is one of these: in time, late (both are served), refused (its last answer was 429 or 503), failed (its last " +
		"answer was another error), unanswered (its client timed out or found no scheduler), lost (its last connection ended " +
		"without an answer), left (its client left before an answer), open (it had not ended when the run ended).",
	"Latency is the time from when a job was due to the answer that served it, with the waiting and retries of its client. " +
		"Jobs that were not served have none.",
	"Occupancy is slots in use, over time, divided by slots of workers that were up. Waste is work whose result no client " +
		"got; an attempt that died counts for as long as it ran.",
	"A disturbance is a fault, or several with no recovery in between. Goodput is back when the earned share of the worth " +
		"due in a second and the next is at least 95% of what it was over the 10 s before the disturbance.",
	"All figures were observed at clients and workers. None relies on what schedulers report about themselves.",
}

// tiles returns the figures for the top of the page.
func tiles(result *score.Result) []tile {
	value, whole := &result.Value, &result.Whole
	tiles := []tile{
		{"mix of worth", formatFixed(value.Mix), "in time over asked for"},
		{"whole run", formatFixed(value.Whole), ""},
		{"worst 10 s", formatFixed(value.Worst10), "from " + formatSeconds(value.Worst10At)},
		{"worst class", formatFixed(value.WorstClass.Value), value.WorstClass.Name},
		{"worst tenant", formatFixed(value.WorstTenant.Value), value.WorstTenant.Name},
		{"jobs", formatCount(whole.JobsDue), formatPercent(whole.Shares.InTime) + " in time"},
		{"p50", formatMillis(whole.Latency.P50), "from due to served"},
		{"p99", formatMillis(whole.Latency.P99), "slowest " + formatMillis(whole.Latency.Max)},
		{"refused", formatPercent(whole.Shares.Rejected), "of jobs"},
		{"attempts", formatFixed(result.Effort.PerJob), "per job"},
		{"waste", formatPercent(result.Waste.Share), "of work asked for"},
		{"occupancy", formatPercent(result.Fleet.Whole), "busiest " + formatPercent(result.Fleet.Busiest)},
	}
	if result.Recovery.Count > 0 {
		tiles = append(tiles, recoveryTile(result))
	}
	return tiles
}

// recoveryTile returns the longest time until goodput recovered from a disturbance.
func recoveryTile(result *score.Result) tile {
	recovery := &result.Recovery
	value := "not seen"
	if recovery.All {
		value = formatSeconds(recovery.Seconds)
	}
	return tile{"back after", value, plural(recovery.Count, "disturbance", "disturbances") + ", the longest time"}
}

// verdictSection shows the verdict, what was not checked, and an explanation of each violation.
func verdictSection(verdict *Verdict) (content section, hasContent bool) {
	if verdict == nil {
		return section{}, false
	}
	content = section{ID: "verdict", Title: "Verdict", Text: []string{capitalize(verdict.String()) + "."}}
	if unexplained := verdict.Total() - len(verdict.Violations); unexplained > 0 {
		content.Text = append(content.Text, fmt.Sprintf("No explanation was kept for %d of them.", unexplained))
	}
	for _, reason := range verdict.NotChecked {
		content.Text = append(content.Text, "Not checked: "+reason)
	}
	for i := range verdict.Violations {
		violation := &verdict.Violations[i]
		content.Explanations = append(content.Explanations, explainedViolation{
			Rule:        violation.Rule,
			At:          formatSeconds(violation.At.Seconds()),
			Text:        violation.Text,
			Explanation: violation.Explanation,
		})
	}
	return content, true
}

// expectationSection lists the scenario's expectations with the values of their metrics.
func expectationSection(evaluations []score.Evaluation) (expectations section, hasContent bool) {
	const wordColumn, remarkColumn = 2, 3
	list := table{Columns: []string{"expected", "came to", "", ""}, TextColumns: true}
	for i := range evaluations {
		evaluation := &evaluations[i]
		word, class := "met", classGood
		if !evaluation.OK {
			word, class = "not met", classPoor
		}
		list.addRow(evaluation.Expectation.String(), formatValue(evaluation), word, evaluation.Reason)
		list.setClass(class, wordColumn)
		list.setClass(classText, remarkColumn)
	}
	return section{ID: "expected", Title: "Expectations", Tables: []table{list}}, len(evaluations) > 0
}
