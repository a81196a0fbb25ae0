package fleet

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Report holds the runs of a table.
type Report struct {
	Cores        int           `json:"cores"` // of the machine
	Measurements []Measurement `json:"plays"`
}

// groupByRow returns the runs by row, and the rows in the order of their first runs.
func (r *Report) groupByRow() (tableRows []TableRow, runs map[TableRow][]Measurement) {
	runs = map[TableRow][]Measurement{}
	for _, run := range r.Measurements {
		if runs[run.TableRow] == nil {
			tableRows = append(tableRows, run.TableRow)
		}
		runs[run.TableRow] = append(runs[run.TableRow], run)
	}
	return tableRows, runs
}

// String describes the row for a reader.
func (r TableRow) String() string {
	text := fmt.Sprintf("%s, %s workers", r.Subject, formatGrouped(float64(r.Workers), 0))
	if !r.hasScheduler() {
		return text
	}
	notices := "off"
	if r.StartNotifications {
		notices = "on"
	}
	return text + ", notices " + notices + ", hint " + hintText(r.Hint)
}

// figureColumn is a column of the table with a figure of each run.
type figureColumn struct {
	title  string
	digits int // after the decimal point
	value  func(*Measurement) float64
	exists func(*Measurement) bool // reports whether a run has the figure
}

// Conditions for figureColumn.exists, and the value of the column runs.
func always(*Measurement) bool               { return true }
func hasServed(run *Measurement) bool        { return run.Served > 0 }
func hasProcess(run *Measurement) bool       { return run.Descriptors > 0 }
func processServed(run *Measurement) bool    { return hasServed(run) && hasProcess(run) }
func runsPerServed(run *Measurement) float64 { return float64(run.Started) / float64(run.Served) }

var (
	rowTitles     = []string{"subject", "workers", "start notices", "hint"}
	figureColumns = []figureColumn{
		{"served/s", 0, func(run *Measurement) float64 { return run.Rate }, always},
		{"p50 ms", 1, func(run *Measurement) float64 { return run.P50 }, hasServed},
		{"p90 ms", 1, func(run *Measurement) float64 { return run.P90 }, hasServed},
		{"p99 ms", 1, func(run *Measurement) float64 { return run.P99 }, hasServed},
		{"CPU µs", 0, func(run *Measurement) float64 { return run.CPU }, processServed},
		{"refused", 0, func(run *Measurement) float64 { return float64(run.Rejected) }, always},
		{"failed", 0, func(run *Measurement) float64 { return float64(run.Failed) }, always},
		{"runs", 2, runsPerServed, hasServed},
		{"busiest", 2, func(run *Measurement) float64 { return run.Busiest }, processServed},
		{"memory MB", 0, func(run *Measurement) float64 { return run.Memory }, hasProcess},
		{"descriptors", 0, func(run *Measurement) float64 { return float64(run.Descriptors) }, hasProcess},
	}
	rigTitle = "rig"
)

// Legend explains the columns of the table.
const Legend = "Several runs of a row: minimum / median / maximum, where they differ. CPU µs: of the scheduler's or proxy's " +
	"process, for each request served. runs: jobs that workers started, for each that was served. busiest: jobs of " +
	"the busiest worker, over the mean of all workers. memory and descriptors: the most that the process had. rig: share " +
	"of time that its busiest core was in use, and its own lateness, 99th percentile.\n"

// Table writes a Markdown table with a line for each row. Invalid runs are left out, and their number is shown.
func (r *Report) Table(w io.Writer) error {
	var b strings.Builder
	writeLine := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	titles := tableTitles()
	writeLine(titles)
	writeLine(slices.Repeat([]string{"---"}, len(titles)))
	tableRows, runs := r.groupByRow()
	for _, tableRow := range tableRows {
		writeLine(tableCells(tableRow, runs[tableRow]))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func tableTitles() []string {
	titles := slices.Clone(rowTitles)
	for _, column := range figureColumns {
		titles = append(titles, column.title)
	}
	return append(titles, rigTitle)
}

// tableCells returns the cells of a row. runs must not be empty.
func tableCells(tableRow TableRow, runs []Measurement) []string {
	cells := tableRow.cells()
	valid := slices.DeleteFunc(slices.Clone(runs), func(run Measurement) bool { return run.InvalidReason() != "" })
	if len(valid) == 0 {
		cells = append(cells, "void: "+runs[0].InvalidReason())
		return append(cells, slices.Repeat([]string{""}, len(tableTitles())-len(cells))...)
	}
	for _, column := range figureColumns {
		cells = append(cells, column.cell(valid))
	}
	if voidCount := len(runs) - len(valid); voidCount > 0 {
		cells[len(rowTitles)] += fmt.Sprintf(" (%d void)", voidCount)
	}
	return append(cells, rigCell(valid))
}

// cells returns the cells that name the row.
func (r TableRow) cells() []string {
	notices, hint := "-", "-"
	if r.hasScheduler() {
		notices, hint = "no", hintText(r.Hint)
		if r.StartNotifications {
			notices = "yes"
		}
	}
	return []string{r.Subject, formatGrouped(float64(r.Workers), 0), notices, hint}
}

// cell returns the minimum, median and maximum of the figure, or one number if they look the same.
func (c *figureColumn) cell(runs []Measurement) string {
	var values []float64
	for i := range runs {
		if run := &runs[i]; c.exists(run) {
			values = append(values, c.value(run))
		}
	}
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	count := len(values)
	lowest, highest := formatGrouped(values[0], c.digits), formatGrouped(values[count-1], c.digits)
	if lowest == highest {
		return lowest
	}
	median := (values[(count-1)/2] + values[count/2]) / 2
	return lowest + " / " + formatGrouped(median, c.digits) + " / " + highest
}

// rigCell returns the maximum use and lateness of the rig.
func rigCell(runs []Measurement) string {
	cpu, lateness := 0.0, 0.0
	for i := range runs {
		cpu = max(cpu, 100*runs[i].MaxCPU)
		lateness = max(lateness, runs[i].Lateness99)
	}
	return formatGrouped(cpu, 0) + "%, " + formatGrouped(lateness, 2) + " ms"
}

// formatGrouped formats a number with commas between groups of three digits.
func formatGrouped(number float64, digits int) string {
	text := strconv.FormatFloat(number, 'f', digits, 64)
	whole, fraction, _ := strings.Cut(text, ".")
	for at := len(whole) - 3; at > 0 && whole[at-1] != '-'; at -= 3 {
		whole = whole[:at] + "," + whole[at:]
	}
	if fraction != "" {
		whole += "." + fraction
	}
	return whole
}
