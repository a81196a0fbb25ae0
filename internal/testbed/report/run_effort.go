package report

import (
	"cmp"
	"fmt"
	"slices"

	"valvecove/internal/testbed/score"
)

// effortSection shows how many attempts and how much work the run took.
func effortSection(result *score.Result) section {
	return section{
		ID: "effort", Title: "Attempts, waste, rejections",
		Tables: []table{workTable(&result.Effort, &result.Waste), countTable(&result.Effort, result.Whole.JobsDue)},
	}
}

// countTable returns the counts taken at clients and workers, as totals and per job.
func countTable(effort *score.Effort, jobs int) table {
	counts := table{Caption: "Counted at clients and workers", Columns: []string{"", "in all", "a job"}}
	for _, entry := range []struct {
		name  string
		count int
	}{
		{"requests of clients", effort.Requests},
		{"retries of clients", effort.Retries},
		{"requests that found no scheduler", effort.RequestsUnreached},
		{"requests sent again on a new connection", effort.Resent},
		{"requests served", effort.RequestsServed},
		{"requests rejected by schedulers", effort.RequestsRejected},
		{"requests failed", effort.RequestsFailed},
		{"attempts at workers", effort.Attempts},
		{"hedged requests", effort.Hedged},
		{"accepted", effort.Accepted},
		{"rejected by workers", effort.Rejected},
		{"of these, full", effort.Full},
		{"returned before their start", effort.Returned},
		{"cancelled", effort.Cancelled},
		{"duplicates dropped by a cell", effort.DuplicatesDropped},
		{"callbacks", effort.Callbacks},
		{"callbacks lost", effort.CallbacksLost},
		{"health checks", effort.HealthChecks},
		{"connections opened to workers", effort.Connections},
		{"overloads of workers that were warming up", effort.Overloads},
		{"events of attempts of unknown or long-ended requests", effort.OrphanedEvents},
		{"events of jobs and requests that are not open", effort.Unknown},
	} {
		counts.addRow(entry.name, formatCount(entry.count), formatNumber(float64(entry.count)/float64(max(1, jobs))))
	}
	counts.addRow("most attempts of one job", formatCount(effort.MaxAttempts), "")
	return counts
}

// workTable returns the work of workers and the causes of waste, as totals and as fractions of the work requested.
func workTable(effort *score.Effort, waste *score.Waste) table {
	const minWork = 1e-9 // minimum divisor of fractions, as the work requested may be 0
	works := table{
		Caption: "Work, in seconds at speed 1 times slots",
		Columns: []string{"", "work", "of the work asked for"},
	}
	for _, entry := range []struct {
		name string
		work float64
	}{
		{"asked for", effort.WorkRequested},
		{"run by workers", effort.WorkRun},
		{"of which served a request", effort.WorkUseful},
		{"of jobs served after their latency objective", effort.WorkAfterObjective},
		{"waste", waste.Work},
		{"waste: the answer came from another attempt", waste.Repeated},
		{"waste: the client had timed out", waste.TooLate},
		{"waste: the client had left", waste.ClientLeft},
		{"waste: the client was rejected, got an error or lost its connection", waste.Unused},
		{"waste: it ended with an error", waste.Errors},
		{"waste: the attempt died", waste.Killed},
		{"for requests that were open at the end", effort.WorkPending},
	} {
		works.addRow(entry.name, formatNumber(entry.work), formatPercent(entry.work/max(effort.WorkRequested, minWork)))
	}
	return works
}

// maxDrawnProcesses is how many processes the plots of a run show at most.
const maxDrawnProcesses = 6

// processSection shows the processes and their resources.
func processSection(result *score.Result, timeline *timeline) (processes section, hasContent bool) {
	processes = section{ID: "processes", Title: "Processes", Tables: []table{processTable(result.Processes)}}
	measured := mostCPUFirst(result.Processes)
	if len(measured) > maxDrawnProcesses {
		processes.Text = append(processes.Text, "The plots show the six processes with the most CPU time.")
		measured = measured[:maxDrawnProcesses]
	}
	if len(measured) > 0 {
		for _, spec := range processPlots(measured) {
			processes.Plots = append(processes.Plots, timeline.plot(spec))
		}
	}
	if lateness := &result.Lateness; lateness.Count > 0 {
		processes.Text = append(processes.Text, fmt.Sprintf("The testbed itself was late %s: p99.9 %s, at most %s.",
			plural(lateness.Count, "time", "times"), formatMillis(lateness.P999), formatMillis(lateness.Max)))
	}
	wasStarted := func(process score.Process) bool { return process.Starts > 0 }
	return processes, len(measured) > 0 || slices.ContainsFunc(result.Processes, wasStarted)
}

// mostCPUFirst returns the processes whose CPU time was measured, sorted by it in descending order.
func mostCPUFirst(processes []score.Process) []score.Process {
	measured := slices.DeleteFunc(slices.Clone(processes), func(process score.Process) bool {
		return len(process.CPUBySecond) == 0
	})
	slices.SortStableFunc(measured, func(a, b score.Process) int { return cmp.Compare(b.CPU, a.CPU) })
	return measured
}

// processPlots returns the plots of the resources of processes.
func processPlots(processes []score.Process) []timePlot {
	const peak = "peak of each second"
	var cpu, memory, files []lineSpec
	for _, process := range processes {
		name := processName(process.Scheduler)
		cpu = append(cpu, lineSpec{name: name, series: process.CPUBySecond})
		memory = append(memory, lineSpec{name: name, series: process.MemoryBySecond, gaps: true, summarize: maxOf})
		files = append(files, lineSpec{name: name, series: process.FilesBySecond, gaps: true, summarize: maxOf})
	}
	return []timePlot{
		{id: "cpu", title: "CPU", yName: "cores", height: 180, text: formatNumber, lines: cpu},
		{id: "memory", title: "Memory", yName: peak, height: 180, text: formatBytes, lines: memory},
		{id: "files", title: "Descriptors", yName: peak, height: 160, text: formatNumber, lines: files},
	}
}

// processTable lists all processes.
func processTable(processes []score.Process) table {
	list := table{Columns: []string{
		"", "CPU", "cores", "peak memory", "peak descriptors", "requests", "attempts", "starts",
		"kills", "SIGTERM", "freezes", "reloads", "exits",
	}}
	for _, process := range processes {
		list.addRow(processName(process.Scheduler), formatSeconds(process.CPU), formatNumber(process.Cores),
			formatBytes(float64(process.PeakMemory)), formatCount(process.PeakFiles), formatCount(process.Requests),
			formatCount(process.Attempts), formatCount(process.Starts), formatCount(process.Kills),
			formatCount(process.Terms), formatCount(process.Freezes), formatCount(process.Reloads),
			formatCount(process.Exits))
	}
	return list
}
