package report

import (
	"fmt"
	"io"

	"valvecove/internal/testbed/score"
)

// WriteHTML writes the report of a run as one file that refers to no other. The error is that of the writer or the
// template.
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

// verdictBadge returns the verdict for the head of the page.
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

// timelineEnd returns the end of the plots over time: when nothing happened any more, but not before the load ended.
func timelineEnd(result *score.Result) float64 {
	end := result.End
	for end > result.Length && isIdleIn(&result.Seconds, int(end-1)) {
		end--
	}
	return end
}

// isIdleIn reports whether nothing happened in a second of the run.
func isIdleIn(seconds *score.Seconds, second int) bool {
	if second >= len(seconds.InFlight) {
		return true
	}
	return seconds.InFlight[second] == 0 && seconds.Occupancy[second] == 0 && seconds.GoodputJobs[second] == 0
}

var readingGuide = []string{
	"Worth: a job's is that of its class, times its work, times its slots; beyond its tenant's share it counts only a " +
		"part. It is earned if the answer is there within the job's latency objective, counted from when the job was due, over all " +
		"requests. \"In share\" leaves out what is beyond a tenant's share. The mix is 40% the whole run, 15% its worst " +
		"10 s, 20% the worst class, 25% the worst tenant within its share.",
	"Each job is in one of these: in time, late (both served), refused (its last answer was 429 or 503), failed (its " +
		"last answer was another), unanswered (its client's time was up), lost (its last connection ended without an " +
		"answer), left (its client went away by itself), open (not over when the run was).",
	"Latency runs from when a job was due to its served answer, waiting and retries of its client included. Jobs that " +
		"were not served have none.",
	"Occupancy is slots in use, over time, over slots up. Waste is work that served nobody; what died on the way " +
		"counts for as long as it ran.",
	"A disturbance is a fault, or several that run into each other. Goodput is back when the share of the worth due " +
		"in a second, as a mean over that second and the next, that was earned is 95% of what it was over the 10 s before.",
	"Everything here was seen at clients and workers. Nothing is a scheduler's word.",
}

// tiles returns the figures for the head of the page.
func tiles(result *score.Result) []tile {
	value, whole := &result.Value, &result.Whole
	tiles := []tile{
		{"worth, mixed", formatFixed(value.Mix), "in time over asked for"},
		{"whole run", formatFixed(value.Whole), ""},
		{"worst 10 s", formatFixed(value.Worst10), "from " + formatSeconds(value.Worst10At)},
		{"worst class", formatFixed(value.WorstClass.Value), value.WorstClass.Name},
		{"worst tenant", formatFixed(value.WorstTenant.Value), value.WorstTenant.Name},
		{"jobs", formatCount(whole.JobsDue), formatPercent(whole.Shares.InTime) + " in time"},
		{"p50", formatMillis(whole.Latency.P50), "from due to served"},
		{"p99", formatMillis(whole.Latency.P99), "slowest " + formatMillis(whole.Latency.Max)},
		{"refused", formatPercent(whole.Shares.Rejected), "of jobs"},
		{"attempts", formatFixed(result.Effort.PerJob), "a job"},
		{"waste", formatPercent(result.Waste.Share), "of work asked for"},
		{"occupancy", formatPercent(result.Fleet.Whole), "busiest " + formatPercent(result.Fleet.Busiest)},
	}
	if result.Recovery.Count > 0 {
		tiles = append(tiles, recoveryTile(result))
	}
	return tiles
}

// recoveryTile returns the figure of how soon goodput recovered.
func recoveryTile(result *score.Result) tile {
	recovery := &result.Recovery
	value := "not seen"
	if recovery.All {
		value = formatSeconds(recovery.Seconds)
	}
	return tile{"back after", value, plural(recovery.Count, "disturbance", "disturbances") + ", the worst"}
}

// verdictSection explains the violations.
func verdictSection(verdict *Verdict) (verdictSection section, hasContent bool) {
	if verdict == nil {
		return section{}, false
	}
	verdictSection = section{ID: "verdict", Title: "Verdict", Text: []string{capitalize(verdict.String()) + "."}}
	if unexplained := verdict.Total() - len(verdict.Violations); unexplained > 0 {
		verdictSection.Text = append(verdictSection.Text, fmt.Sprintf("Of %d of them no explanation was kept.", unexplained))
	}
	for _, reason := range verdict.NotChecked {
		verdictSection.Text = append(verdictSection.Text, "Left out: "+reason)
	}
	for i := range verdict.Violations {
		violation := &verdict.Violations[i]
		verdictSection.Explanations = append(verdictSection.Explanations, explainedViolation{
			Rule:        violation.Rule,
			At:          formatSeconds(violation.At.Seconds()),
			Text:        violation.Text,
			Explanation: violation.Explanation,
		})
	}
	return verdictSection, true
}

// expectationSection lists the scenario's expectations with what they came to.
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
