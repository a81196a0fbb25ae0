package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"valvecove/internal/testbed/score"
)

// How many lines of each list a page has room for.
const (
	maxPageViolations   = 4
	maxPageNotChecked   = 2
	maxPageExpectations = 6
	maxPageClasses      = 6
	maxPageTenants      = 5
	maxPageProcesses    = 3
	maxPageDisturbances = 6
)

// Widths on a page.
const (
	barWidth        = 40
	sparklineWidth  = 72
	groupNameWidth  = 17
	valueNameWidth  = 24
	faultActiveMark = '!'
)

// WritePage writes the page of figures that is shown at the end of a run: at most 60 lines of 100 columns, with colours only
// if w is a terminal and NO_COLOR is not set. The verdict may be nil. The error is that of the writer.
func WritePage(w io.Writer, result *score.Result, verdict *Verdict, evaluations []score.Evaluation) error {
	page := &textPage{colour: useColors(w)}
	page.write(result, verdict, evaluations)
	return page.writeTo(w)
}

// write writes the page of a run.
func (p *textPage) write(result *score.Result, verdict *Verdict, evaluations []score.Evaluation) {
	p.line(strong, "%s", result.Name)
	p.line(faint, "%s", summaryOf(result))
	p.writeVerdict(verdict)
	p.line(plain, "")
	p.writeValue(&result.Value)
	p.writeGroups(result)
	p.writeSeconds(result)
	p.writeEffort(result)
	p.writeDisturbances(result.Disturbances)
	writeAtMost(p, evaluations, maxPageExpectations, "expectations", p.writeEvaluation)
}

// summaryOf returns the line under a run's name: driver, seed, numbers of workers and schedulers, and times.
func summaryOf(result *score.Result) string {
	var parts []string
	if result.Driver != "" {
		parts = append(parts, result.Driver)
	}
	schedulers := 0
	for i := range result.Processes {
		if result.Processes[i].Scheduler >= 0 {
			schedulers++
		}
	}
	parts = append(parts,
		"seed "+strconv.FormatUint(result.Seed, 10),
		plural(len(result.Fleet.Workers), "worker", "workers"),
		plural(schedulers, "scheduler", "schedulers"),
		formatSeconds(result.Length)+" of load",
		formatSeconds(result.End)+" in all")
	return strings.Join(parts, " · ")
}

func (p *textPage) writeVerdict(verdict *Verdict) {
	style := good
	switch {
	case verdict.Total() > 0:
		style = poor
	case verdict == nil || verdict.Invalid != "":
		style = strong
	}
	p.line(style, "%s", capitalize(verdict.String()))
	if verdict == nil {
		return
	}
	writeAtMost(p, verdict.Violations, maxPageViolations, "violations", func(violation *Violation) {
		p.line(poor, "  %s at %s: %s", violation.Rule, formatSeconds(violation.At.Seconds()), violation.Text)
	})
	writeAtMost(p, verdict.NotChecked, maxPageNotChecked, "things left out", func(reason *string) {
		p.line(faint, "  left out: %s", *reason)
	})
}

func (p *textPage) writeValue(value *score.Value) {
	p.line(strong, "worth answered in time over worth asked for  %.3f  %s", value.Mix, bar(value.Mix, barWidth))
	p.line(plain, "  whole run %.3f; worst 10 s %.3f, from %.0f s on", value.Whole, value.Worst10, value.Worst10At)
	p.line(plain, "  worst class %.3f, %s; worst tenant %.3f, %s",
		value.WorstClass.Value, truncateLine(value.WorstClass.Name, valueNameWidth),
		value.WorstTenant.Value, truncateLine(value.WorstTenant.Name, valueNameWidth))
	p.line(plain, "")
}

func (p *textPage) writeGroups(result *score.Result) {
	p.line(faint, "%-18s%7s%8s%7s%8s%7s%9s%6s  %8s%8s%8s", "", "jobs", "in time", "late", "refused", "failed", "unansw.",
		"lost", "p50", "p99", "max")
	p.writeGroup(&result.Whole)
	writeAtMost(p, result.Classes, maxPageClasses, "classes", p.writeGroup)
	writeAtMost(p, worstFirst(result.Tenants, maxPageTenants), maxPageTenants, "tenants", p.writeGroup)
	p.line(plain, "")
}

func (p *textPage) writeGroup(group *score.Group) {
	share := func(outcome score.JobOutcome) string { return outcomeShare(group, int(outcome)) }
	latency := &group.Latency
	p.line(plain, "%-18s%7d%8s%7s%8s%7s%9s%6s  %8s%8s%8s", truncateLine(group.Name, groupNameWidth), group.JobsDue,
		share(score.OutcomeInTime), share(score.OutcomeLate), share(score.OutcomeRejected), share(score.OutcomeFailed),
		share(score.OutcomeUnanswered), share(score.OutcomeLost),
		formatMillis(latency.P50), formatMillis(latency.P99), formatMillis(latency.Max))
}

// outcomeShare formats the fraction of a group's jobs that had an outcome.
func outcomeShare(group *score.Group, outcome int) string {
	return formatPercent(float64(group.Outcomes[outcome]) / float64(max(1, group.JobsDue)))
}

// worstFirst returns a list of at most maxGroups groups as it is, and a longer one sorted by the earned share within quota,
// the lowest first.
func worstFirst(groups []score.Group, maxGroups int) []score.Group {
	if len(groups) <= maxGroups {
		return groups
	}
	sorted := slices.Clone(groups)
	slices.SortStableFunc(sorted, func(a, b score.Group) int {
		return cmp.Compare(a.EarnedShareWithinQuota, b.EarnedShareWithinQuota)
	})
	return sorted
}

// secondsLine is a series that a page shows as a sparkline.
type secondsLine struct {
	name      string
	series    score.Series
	summarize func(score.Series) float64
	top       float64 // value of a full character; 0: the greatest value of the series
	format    func(float64) string
}

func (p *textPage) writeSeconds(result *score.Result) {
	seconds := &result.Seconds
	end := activeSeconds(seconds)
	_, secondsPerMark := thinSeries(seconds.DueValue[:end], sparklineWidth, meanOf)
	p.line(faint, "%-12s0 to %d s, each mark %d s", "by second", end, secondsPerMark)
	maxJobs := max(seconds.DueJobs.Max(), seconds.GoodputJobs.Max())
	for _, line := range []secondsLine{
		{"asked/s", seconds.DueJobs, meanOf, maxJobs, formatNumber},
		{"in time/s", seconds.GoodputJobs, meanOf, maxJobs, formatNumber},
		{"refused/s", seconds.Rejected, meanOf, 0, formatNumber},
		{"in flight", seconds.InFlight, meanOf, 0, formatNumber},
		{"p99", seconds.P99, maxOf, 0, formatMillis},
		{"occupancy", seconds.Occupancy, meanOf, 1, formatPercent},
	} {
		p.writeSecondsLine(line, end)
	}
	if len(result.Faults) > 0 {
		marks := faultMarks(result.Faults, min(sparklineWidth, divideUp(end, secondsPerMark)), secondsPerMark)
		p.line(poor, "%-12s%s", "faults", marks)
	}
	p.line(plain, "")
}

// activeSeconds returns the number of seconds until the last one with jobs, at least 1.
func activeSeconds(seconds *score.Seconds) int {
	end := len(seconds.DueValue)
	for end > 1 && seconds.DueValue[end-1] == 0 && seconds.InFlight[end-1] == 0 && seconds.GoodputJobs[end-1] == 0 {
		end--
	}
	return end
}

func (p *textPage) writeSecondsLine(line secondsLine, end int) {
	series, _ := thinSeries(line.series[:min(end, len(line.series))], sparklineWidth, line.summarize)
	top := line.top
	if top == 0 {
		top = series.Max()
	}
	p.line(plain, "%-12s%-*s  max %s", line.name, sparklineWidth, sparkline(series, top), line.format(series.Max()))
}

// faultMarks returns a character for each part of the run: a mark if a fault was active in it, and else a space.
func faultMarks(faults []score.Fault, parts, secondsPerMark int) string {
	marks := []byte(strings.Repeat(" ", parts))
	for part := range marks {
		from, to := float64(part*secondsPerMark), float64((part+1)*secondsPerMark)
		for i := range faults {
			if fault := &faults[i]; fault.On < to && (fault.Off < 0 || fault.Off >= from) {
				marks[part] = faultActiveMark
			}
		}
	}
	return string(marks)
}

func (p *textPage) writeEffort(result *score.Result) {
	effort, waste, fleet := &result.Effort, &result.Waste, &result.Fleet
	p.line(plain, "attempts    %.3f a job, %d at most; hedged %s; rejected %s, returned %s, cancelled %s",
		effort.PerJob, effort.MaxAttempts, formatCount(effort.Hedged), formatCount(effort.Rejected),
		formatCount(effort.Returned), formatCount(effort.Cancelled))
	p.line(plain, "waste       %s of work asked, in s: repeated %s, too late %s, failed %s; past objective %s",
		formatPercent(waste.Share), formatNumber(waste.Repeated), formatNumber(waste.TooLate+waste.ClientLeft+waste.Unused),
		formatNumber(waste.Killed+waste.Errors), formatNumber(effort.WorkAfterObjective))
	p.line(plain, "requests    %s, retries %s, rejected %s; checks %s, connections %s, callbacks %s", formatCount(effort.Requests),
		formatCount(effort.Retries), formatCount(effort.RequestsRejected), formatCount(effort.HealthChecks),
		formatCount(effort.Connections), formatCount(effort.Callbacks))
	p.line(plain, "fleet       occupancy %s; busiest w-%d %s, %s times the mean; overloaded %d", formatPercent(fleet.Whole),
		fleet.BusiestWorker, formatPercent(fleet.Busiest), formatNumber(fleet.OverMean), effort.Overloads)
	p.writeMisbehaving(result.Misbehaving)
	p.writeProcesses(result)
	p.line(plain, "")
}

func (p *textPage) writeMisbehaving(kinds []score.MisbehavingCounts) {
	if len(kinds) == 0 {
		return
	}
	var total score.MisbehavingCounts
	for _, counts := range kinds {
		total.Connected += counts.Connected
		total.Errors += counts.Errors
		total.Closed += counts.Closed
		total.Served += counts.Served
		total.Open += counts.Open
	}
	p.line(plain, "misbehaving %s: errors %s, closed %s, served %s, left waiting %s", formatCount(total.Connected),
		formatCount(total.Errors), formatCount(total.Closed), formatCount(total.Served), formatCount(total.Open))
}

func (p *textPage) writeProcesses(result *score.Result) {
	measured := slices.DeleteFunc(slices.Clone(result.Processes), func(process score.Process) bool {
		return process.PeakMemory <= 0 && process.CPU <= 0
	})
	writeAtMost(p, measured, maxPageProcesses, "processes", func(process *score.Process) {
		p.line(plain, "%-12s%s cores; peak memory %s, descriptors %s", processName(process.Scheduler),
			formatNumber(process.Cores), formatBytes(float64(process.PeakMemory)), formatCount(process.PeakFiles))
	})
	if lateness := &result.Lateness; lateness.Count > 0 {
		p.line(plain, "lateness    testbed late %s; p99.9 %s, max %s", plural(lateness.Count, "time", "times"),
			formatMillis(lateness.P999), formatMillis(lateness.Max))
	}
}

// processName returns the name of a scheduler's process, or that of the testbed for a negative index.
func processName(scheduler int) string {
	if scheduler < 0 {
		return "testbed"
	}
	return fmt.Sprint("scheduler ", scheduler)
}

func (p *textPage) writeDisturbances(disturbances []score.Disturbance) {
	writeAtMost(p, disturbances, maxPageDisturbances, "disturbances", func(disturbance *score.Disturbance) {
		style := plain
		if !disturbance.Recovered {
			style = poor
		}
		p.line(style, "%s to %s  %s  %s", formatSeconds(disturbance.From), formatSeconds(disturbance.To),
			recoveryText(disturbance), strings.Join(disturbance.Faults, ", "))
	})
	if len(disturbances) > 0 {
		p.line(plain, "")
	}
}

// recoveryText describes how goodput recovered from a disturbance.
func recoveryText(disturbance *score.Disturbance) string {
	if !disturbance.HasDip {
		return "no dip;"
	}
	dip := fmt.Sprintf("down to %s of %s", formatPercent(disturbance.Lowest), formatPercent(disturbance.Before))
	after := formatSeconds(disturbance.FromEnd)
	switch {
	case !disturbance.Recovered:
		return dip + ", NOT back in " + after + ";"
	case disturbance.FromEnd == 0:
		return dip + ", back before its end;"
	}
	return dip + ", back " + after + " after its end;"
}

func (p *textPage) writeEvaluation(evaluation *score.Evaluation) {
	word, style := "met    ", good
	if !evaluation.OK {
		word, style = "NOT MET", poor
	}
	reason := ""
	if evaluation.Reason != "" {
		reason = " (" + evaluation.Reason + ")"
	}
	p.line(style, "%s  %s: %s%s", word, evaluation.Expectation, formatValue(evaluation), reason)
}
