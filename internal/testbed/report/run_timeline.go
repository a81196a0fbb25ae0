package report

import (
	"fmt"

	"valvecove/internal/testbed/score"
)

// maxDrawnClasses is how many classes the plots of a run show at most.
const maxDrawnClasses = 5

// timelineSection draws a run over time.
func timelineSection(result *score.Result, timeline *timeline) section {
	overTime := section{ID: "seconds", Title: "Over time"}
	for _, spec := range runPlots(result) {
		overTime.Plots = append(overTime.Plots, timeline.plot(spec))
	}
	if len(result.Seconds.Classes) > maxDrawnClasses {
		overTime.Text = []string{"The plots show the first five classes."}
	}
	return overTime
}

// runPlots returns the plots of a run.
func runPlots(result *score.Result) []timePlot {
	seconds := &result.Seconds
	return []timePlot{
		{
			id: "goodput", title: "Asked for and answered in time", yName: "worth per second", height: 300,
			text: formatNumber, labels: true, lines: []lineSpec{
				{name: "asked for, when due", series: seconds.DueValue, area: true},
				{name: "answered in time, when answered", series: seconds.GoodputValue, strong: true},
			},
		},
		{
			id: "kept", title: "Earned share of the worth due in each second", yName: "mean over two seconds",
			height: 220, top: 1, text: formatPercent, lines: earnedShareLines(result),
		},
		{
			id: "latency", title: "Latency of answers", yName: "from when the job was due, logarithmic", height: 260,
			log: true, text: formatMillis, lines: []lineSpec{
				{name: "p50", series: seconds.P50, gaps: true, summarize: maxOf},
				{name: "p99", series: seconds.P99, gaps: true, summarize: maxOf, strong: true},
				{name: "slowest", series: seconds.MaxLatency, gaps: true, summarize: maxOf},
			},
		},
		{
			id: "flight", title: "In flight", yName: "jobs due and not ended", height: 220, text: formatNumber,
			lines: inFlightLines(seconds),
		},
		{
			id: "rejections", title: "Rejections and attempts", yName: "per second", height: 200, text: formatNumber,
			lines: []lineSpec{
				{name: "jobs due", series: seconds.DueJobs, area: true},
				{name: "requests rejected by schedulers", series: seconds.Rejected, strong: true},
				{name: "attempts at workers", series: seconds.Attempts},
			},
		},
	}
}

// drawnClasses returns the series of the classes that plots show.
func drawnClasses(seconds *score.Seconds) []score.ClassSeries {
	return seconds.Classes[:min(maxDrawnClasses, len(seconds.Classes))]
}

// earnedShareLines returns the earned share of the value due, of all jobs and of each class.
func earnedShareLines(result *score.Result) []lineSpec {
	seconds := &result.Seconds
	total := ratio(seconds.DueValue, seconds.DueValueEarned, result.Length)
	lines := []lineSpec{{name: "all", series: total, strong: true}}
	for _, class := range drawnClasses(seconds) {
		lines = append(lines, lineSpec{name: class.Name, series: ratio(class.DueValue, class.DueValueEarned, result.Length)})
	}
	return lines
}

// inFlightLines returns the jobs in flight, in total and of each class.
func inFlightLines(seconds *score.Seconds) []lineSpec {
	lines := []lineSpec{{name: "all", series: seconds.InFlight, area: true}}
	for _, class := range drawnClasses(seconds) {
		lines = append(lines, lineSpec{name: class.Name, series: class.InFlight})
	}
	return lines
}

// maxListedWorkers is how many workers the table of workers shows at most.
const maxListedWorkers = 30

// fleetSection shows the occupancy of workers.
func fleetSection(result *score.Result, timeline *timeline) section {
	fleet := &result.Fleet
	upShare := make(score.Series, len(result.Seconds.WorkersUp))
	for i, workersUp := range result.Seconds.WorkersUp {
		upShare[i] = workersUp / float64(max(1, len(fleet.Workers)))
	}
	occupancy := timePlot{
		id: "occupancy", title: "Occupancy of the fleet, and workers up", yName: "share of slots up, and of all workers",
		height: 180, top: 1, text: formatPercent, lines: []lineSpec{
			{name: "occupancy", series: result.Seconds.Occupancy, area: true},
			{name: "workers up", series: upShare},
		},
	}
	return section{
		ID: "fleet", Title: "Workers",
		Text: []string{fmt.Sprintf("The occupancy of the fleet is %s; that of the busiest worker, w-%d, is %s, %s times the mean.",
			formatPercent(fleet.Whole), fleet.BusiestWorker, formatPercent(fleet.Busiest), formatNumber(fleet.OverMean))},
		Strip:  timeline.strip(fleet),
		Plots:  []*plot{timeline.plot(occupancy)},
		Tables: []table{workerTable(fleet.Workers)},
	}
}
