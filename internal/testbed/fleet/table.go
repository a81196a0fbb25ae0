package fleet

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Report is the runs of one or more runs of a table.
type Report struct {
	Cores        int           `json:"cores"` // of the machine
	Measurements []Measurement `json:"plays"`
}

// ParseHint reads a factor by which hints are wrong: 1, 30 or 1/30; none: there are none.
func ParseHint(text string) (float64, error) {
	if text == "none" {
		return 0, nil
	}
	ended, under, divided := strings.Cut(text, "/")
	factor, err := strconv.ParseFloat(ended, 64)
	if err == nil && divided {
		var by float64
		by, err = strconv.ParseFloat(under, 64)
		factor /= by
	}
	if err != nil || !(factor > 0 && factor <= 1e6) {
		return 0, fmt.Errorf("hint %q: expected none, or a factor such as 1, 30 or 1/30", text)
	}
	return factor, nil
}

// hintText is a hint's factor in words.
func hintText(factor float64) string {
	short := func(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }
	switch {
	case factor == 0:
		return "none"
	case factor == 1:
		return "right"
	case factor < 1:
		return short(1/factor) + " times too low"
	}
	return short(factor) + " times too high"
}

// tableRows gives the runs by row, in the order in which rows were first played.
func (r *Report) tableRows() (sequence []TableRow, plays map[TableRow][]Measurement) {
	plays = map[TableRow][]Measurement{}
	for _, p := range r.Measurements {
		if plays[p.TableRow] == nil {
			sequence = append(sequence, p.TableRow)
		}
		plays[p.TableRow] = append(plays[p.TableRow], p)
	}
	return sequence, plays
}

// String is the row in words.
func (r TableRow) String() string {
	text := fmt.Sprintf("%s, %s worker nodes", r.Subject, formatGrouped(float64(r.Workers), 0))
	if r.hasScheduler() {
		text += ", notices " + map[bool]string{true: "on", false: "off"}[r.StartNotifications] + ", hint " + hintText(r.Hint)
	}
	return text
}

// hasScheduler tells whether its subject is a scheduler.
func (r TableRow) hasScheduler() bool {
	return r.Subject != Proxy && r.Subject != Direct && r.Subject != Ceiling
}

var columns = []string{
	"subject", "worker nodes", "start notices", "hint", "served/s", "p50 ms", "p90 ms", "p99 ms",
	"CPU µs", "refused", "failed", "runs", "busiest", "memory MB", "descriptors", "rig",
}

// Legend says what the columns are.
const Legend = "Several plays of a row: least / median / most, where they differ. CPU µs: of the scheduler's or proxy's " +
	"process, for each request served. runs: jobs that worker nodes began, for each that was served. busiest: jobs of " +
	"the busiest worker node over its even part. memory and descriptors: the most that the process had. rig: what its " +
	"busiest core was used, and its own lateness, 99th percentile.\n"

// Table writes a row of Markdown for each row that was played. Plays that are void are left out and counted.
func (r *Report) Table(w io.Writer) error {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(columns)
	line(slices.Repeat([]string{"---"}, len(columns)))
	sequence, plays := r.tableRows()
	for _, tableRow := range sequence {
		line(tableCells(tableRow, plays[tableRow]))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func tableCells(tableRow TableRow, all []Measurement) []string {
	notices, hint := "-", "-"
	if tableRow.hasScheduler() {
		notices, hint = map[bool]string{true: "yes", false: "no"}[tableRow.StartNotifications], hintText(tableRow.Hint)
	}
	outputs := []string{tableRow.Subject, formatGrouped(float64(tableRow.Workers), 0), notices, hint}
	sound := slices.DeleteFunc(slices.Clone(all), func(p Measurement) bool { return p.InvalidReason() != "" })
	if len(sound) == 0 {
		outputs = append(outputs, "void: "+all[0].InvalidReason())
		return append(outputs, slices.Repeat([]string{""}, len(columns)-len(outputs))...)
	}
	// spread gives least, median and most of those that there is a figure for.
	spread := func(digits int, of func(*Measurement) (float64, bool)) string {
		var values []float64
		for i := range sound {
			if x, ok := of(&sound[i]); ok {
				values = append(values, x)
			}
		}
		if len(values) == 0 {
			return "-"
		}
		slices.Sort(values)
		n := len(values)
		least, most := formatGrouped(values[0], digits), formatGrouped(values[n-1], digits)
		if least == most {
			return least
		}
		return least + " / " + formatGrouped((values[(n-1)/2]+values[n/2])/2, digits) + " / " + most
	}
	some := func(of func(*Measurement) float64) func(*Measurement) (float64, bool) {
		return func(p *Measurement) (float64, bool) { return of(p), p.Served > 0 }
	}
	each := func(of func(*Measurement) float64) func(*Measurement) (float64, bool) {
		return func(p *Measurement) (float64, bool) { return of(p), true }
	}
	process := func(of func(*Measurement) float64) func(*Measurement) (float64, bool) {
		return func(p *Measurement) (float64, bool) { return of(p), p.Descriptors > 0 }
	}
	most := func(digits int, of func(*Measurement) float64) string {
		x := 0.0
		for i := range sound {
			x = max(x, of(&sound[i]))
		}
		return formatGrouped(x, digits)
	}
	rate := spread(0, each(func(p *Measurement) float64 { return p.Rate }))
	if n := len(all) - len(sound); n > 0 {
		rate += fmt.Sprintf(" (%d void)", n)
	}
	return append(outputs, rate,
		spread(1, some(func(p *Measurement) float64 { return p.P50 })),
		spread(1, some(func(p *Measurement) float64 { return p.P90 })),
		spread(1, some(func(p *Measurement) float64 { return p.P99 })),
		spread(0, func(p *Measurement) (float64, bool) { return p.CPU, p.Served > 0 && p.Descriptors > 0 }),
		spread(0, each(func(p *Measurement) float64 { return float64(p.Rejected) })),
		spread(0, each(func(p *Measurement) float64 { return float64(p.Failed) })),
		spread(2, some(func(p *Measurement) float64 { return float64(p.Started) / float64(p.Served) })),
		spread(2, func(p *Measurement) (float64, bool) { return p.Busiest, p.Served > 0 && p.Descriptors > 0 }),
		spread(0, process(func(p *Measurement) float64 { return p.Memory })),
		spread(0, process(func(p *Measurement) float64 { return float64(p.Descriptors) })),
		most(0, func(p *Measurement) float64 { return 100 * p.MaxCPU })+"%, "+
			most(2, func(p *Measurement) float64 { return p.Lateness99 })+" ms")
}

// formatGrouped writes a number with its thousands set apart.
func formatGrouped(x float64, digits int) string {
	text := strconv.FormatFloat(x, 'f', digits, 64)
	whole, remainder, _ := strings.Cut(text, ".")
	for at := len(whole) - 3; at > 0 && whole[at-1] != '-'; at -= 3 {
		whole = whole[:at] + "," + whole[at:]
	}
	if remainder != "" {
		whole += "." + remainder
	}
	return whole
}

// BySecond writes what was served in each second of each run, from when the clients began.
func (r *Report) BySecond(w io.Writer) error {
	var b strings.Builder
	for i := range r.Measurements {
		measurement := &r.Measurements[i]
		b.WriteString(measurement.String())
		if len(measurement.Disturbances) == 2 {
			fmt.Fprintf(&b, "; trouble from %.1f s to %.1f s, ", measurement.Disturbances[0], measurement.Disturbances[1])
			if back := measurement.RecoveredAfter(); back >= 0 {
				fmt.Fprintf(&b, "back at 95%% after %d s", back)
			} else {
				b.WriteString("not back at 95%")
			}
		}
		b.WriteString("\n  served ")
		for _, s := range measurement.Seconds {
			fmt.Fprintf(&b, " %d", s.Served)
		}
		b.WriteString("\n  refused")
		for _, s := range measurement.Seconds {
			fmt.Fprintf(&b, " %d", s.Rejected)
		}
		b.WriteString("\n  failed ")
		for _, s := range measurement.Seconds {
			fmt.Fprintf(&b, " %d", s.Failed)
		}
		b.WriteString("\n")
		for _, why := range slices.Sorted(maps.Keys(measurement.FailureReasons)) {
			fmt.Fprintf(&b, "  failed %d times: %s\n", measurement.FailureReasons[why], why)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}
