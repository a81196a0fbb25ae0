package report

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"valvecove/internal/testbed/score"
)

// groupTables returns the outcomes and the latency of all jobs, and of each class and tenant.
func groupTables(result *score.Result) []table {
	outcomes := newOutcomeTable(&result.Whole)
	latency := table{
		Caption: "Latency of served jobs, from when they were due",
		Columns: []string{"", "served", "p50", "p90", "p99", "p99.9", "slowest"},
	}
	addGroup := func(group *score.Group) {
		outcomes.addGroup(group)
		addLatency(&latency, group)
	}
	addGroup(&result.Whole)
	for _, part := range []struct {
		name   string
		groups []score.Group
	}{{"by class", result.Classes}, {"by tenant", result.Tenants}} {
		outcomes.table.addRow(part.name)
		latency.addRow(part.name)
		for i := range part.groups {
			addGroup(&part.groups[i])
		}
	}
	return []table{outcomes.table, latency}
}

// outcomeTable is the table of outcomes. It always has columns for the usual outcomes, and for the others if they occurred.
type outcomeTable struct {
	table    table
	outcomes []int // those that have a column
	hasOpen  bool  // it has a column for open jobs
}

// newOutcomeTable returns a table without lines. whole, which has the outcomes of all jobs, determines the columns.
func newOutcomeTable(whole *score.Group) *outcomeTable {
	outcomes := &outcomeTable{
		table: table{
			Caption: "Jobs by outcome, and worth earned over worth asked for",
			Columns: []string{"", "jobs", "worth", "earned", "in share"},
		},
		hasOpen: whole.Open > 0,
	}
	for outcome, name := range score.OutcomeNames {
		if outcome < int(score.OutcomeLost) || whole.Outcomes[outcome] > 0 {
			outcomes.outcomes = append(outcomes.outcomes, outcome)
			outcomes.table.Columns = append(outcomes.table.Columns, name)
		}
	}
	if outcomes.hasOpen {
		outcomes.table.Columns = append(outcomes.table.Columns, "open")
	}
	outcomes.table.Columns = append(outcomes.table.Columns, "attempts a job")
	return outcomes
}

// addGroup adds the line of a group.
func (t *outcomeTable) addGroup(group *score.Group) {
	cells := []string{
		formatCount(group.JobsDue),
		formatNumber(group.Requested),
		formatPercent(group.EarnedShare),
		formatPercent(group.EarnedShareWithinQuota),
	}
	for _, outcome := range t.outcomes {
		cells = append(cells, outcomeShare(group, outcome))
	}
	if t.hasOpen {
		cells = append(cells, formatCount(group.Open))
	}
	t.table.addRow(group.Name, append(cells, formatFixed(group.Attempts))...)
}

// addLatency adds the line of a group to the table of latency.
func addLatency(latencies *table, group *score.Group) {
	latency := &group.Latency
	latencies.addRow(group.Name, formatCount(latency.Count), formatMillis(latency.P50), formatMillis(latency.P90),
		formatMillis(latency.P99), formatMillis(latency.P999), formatMillis(latency.Max))
}

// disturbanceSection lists disturbances, faults and marks.
func disturbanceSection(result *score.Result) (disturbances section, hasContent bool) {
	disturbances = section{ID: "faults", Title: "Faults and recovery"}
	for _, list := range []table{
		recoveryTable(result.Disturbances), faultTable(result.Faults), markTable(result.Marks),
	} {
		if len(list.Lines) > 0 {
			disturbances.Tables = append(disturbances.Tables, list)
		}
	}
	return disturbances, len(disturbances.Tables) > 0
}

// recoveryTable lists disturbances and how goodput recovered.
func recoveryTable(disturbances []score.Disturbance) table {
	const fromEndColumn = 6
	list := table{
		Caption: "Disturbances and when goodput was back",
		Columns: []string{"faults", "from", "to", "share before", "at its lowest", "back, from its start", "from its end"},
	}
	for i := range disturbances {
		disturbance := &disturbances[i]
		lowest, fromStart, fromEnd := "no dip", "0 s", "0 s"
		if disturbance.HasDip {
			lowest = formatPercent(disturbance.Lowest)
			fromStart, fromEnd = formatSeconds(disturbance.FromStart), formatSeconds(disturbance.FromEnd)
		}
		to := formatSeconds(disturbance.To)
		if disturbance.Lasting {
			to += ", lasting"
		}
		if !disturbance.Recovered {
			fromEnd = "not within " + fromEnd
		}
		list.addRow(strings.Join(disturbance.Faults, ", "), formatSeconds(disturbance.From), to,
			formatPercent(disturbance.Before), lowest, fromStart, fromEnd)
		if !disturbance.Recovered {
			list.setClass(classPoor, fromEndColumn)
		}
	}
	return list
}

// faultTable lists the faults of the timeline.
func faultTable(faults []score.Fault) table {
	list := table{
		Caption: "Faults, numbered as in the plots",
		Columns: []string{"fault", "from", "to"},
		Summary: plural(len(faults), "fault", "faults") + " of the scenario",
	}
	for i, fault := range faults[:min(len(faults), maxTimelineEntries)] {
		off := "the end"
		if fault.Off >= 0 {
			off = formatSeconds(fault.Off)
		}
		list.addRow(fmt.Sprintf("%d. %s", i+1, fault.Text), formatSeconds(fault.On), off)
	}
	return list
}

// markTable lists the marks of the timeline: events of schedulers, and overloads of workers.
func markTable(marks []score.Mark) table {
	list := table{
		Caption: "Restarts, signals and exits of schedulers, and overloads of workers",
		Columns: []string{"what", "when"},
		Summary: plural(len(marks), "mark", "marks"),
	}
	for _, mark := range marks[:min(len(marks), maxTimelineEntries)] {
		list.addRow(mark.Text, formatSeconds(mark.At))
	}
	return list
}

// workerTable lists the busiest workers.
func workerTable(workers []score.WorkerUse) table {
	list := table{
		Columns: []string{"", "occupancy", "up", "slots", "attempts", "full", "pushed over"},
		Summary: plural(len(workers), "worker", "workers") + ", the busiest first",
	}
	if len(workers) > maxListedWorkers {
		list.Summary = fmt.Sprintf("The %d busiest of %s workers", maxListedWorkers, formatCount(len(workers)))
	}
	sorted := slices.Clone(workers)
	slices.SortStableFunc(sorted, func(a, b score.WorkerUse) int { return cmp.Compare(b.Use, a.Use) })
	for _, worker := range sorted[:min(len(sorted), maxListedWorkers)] {
		list.addRow(fmt.Sprint("w-", worker.Worker), formatPercent(worker.Use), formatPercent(worker.Up),
			formatNumber(worker.Slots), formatCount(worker.Attempts), formatCount(worker.Full), formatCount(worker.Overloads))
	}
	return list
}

// misbehavingSection lists how misbehaving clients were answered.
func misbehavingSection(result *score.Result) (misbehaving section, hasContent bool) {
	const servedColumn, openColumn = 4, 5
	list := table{Columns: []string{
		"kind", "connected", "answered with an error", "closed", "answered otherwise", "left waiting", "longest",
	}}
	for _, counts := range result.Misbehaving {
		list.addRow(counts.Kind, formatCount(counts.Connected), formatCount(counts.Errors), formatCount(counts.Closed),
			formatCount(counts.Served), formatCount(counts.Open), formatMillis(counts.MaxWaitMs))
		if counts.Served > 0 {
			list.setClass(classPoor, servedColumn)
		}
		if counts.Open > 0 {
			list.setClass(classPoor, openColumn)
		}
	}
	return section{ID: "bad", Title: "Misbehaving clients", Tables: []table{list}}, len(result.Misbehaving) > 0
}
