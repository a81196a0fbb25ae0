package report

import (
	"fmt"
	"io"
	"strings"
	"time"
	"unicode/utf8"

	"valvecove/internal/testbed/score"
)

// How often progress is shown, in time of the run. Where lines can't be overwritten, there are fewer after slowAfter.
const (
	progressPeriod     = time.Second
	slowProgressPeriod = 10 * time.Second
	slowAfter          = time.Minute
)

// Progress writes the state of a run while it runs: on a terminal one line that is overwritten, elsewhere a line for each
// second of the run and, after a minute, for every ten seconds. It is for use by one goroutine.
type Progress struct {
	w         io.Writer
	tty       bool
	last      score.Snapshot
	isShown   bool
	lineWidth int // of the line on the terminal
}

// NewProgress returns a progress that writes to w.
func NewProgress(w io.Writer) *Progress { return &Progress{w: w, tty: isTerminal(w)} }

// Wants reports whether Show would write a line at this time of the run, so that callers take no needless snapshots.
func (p *Progress) Wants(at time.Duration) bool {
	period := progressPeriod
	if !p.tty && at > slowAfter {
		period = slowProgressPeriod
	}
	return at > p.last.At && at/period != p.last.At/period
}

// Show writes a line about a snapshot of the run if one is due. It keeps no reference to the snapshot.
func (p *Progress) Show(snapshot *score.Snapshot) {
	if !p.Wants(snapshot.At) {
		return
	}
	line := p.line(snapshot)
	p.last = *snapshot
	p.last.Faults = nil // their memory belongs to the caller
	p.isShown = true
	if !p.tty {
		fmt.Fprintln(p.w, line)
		return
	}
	width := utf8.RuneCountInString(line)
	fmt.Fprint(p.w, "\r", line, strings.Repeat(" ", max(0, p.lineWidth-width)))
	p.lineWidth = width
}

// line returns the line about a snapshot, with rates since the previous one.
func (p *Progress) line(snapshot *score.Snapshot) string {
	elapsed := (snapshot.At - p.last.At).Seconds()
	rate := func(now, before int) string { return formatNumber(float64(now-before) / elapsed) }
	line := fmt.Sprintf("%6s  asked %4s/s  in time %4s/s  refused %4s/s  in flight %5s  nodes %d/%d",
		fmt.Sprint(int(snapshot.At.Seconds()), " s"), rate(snapshot.JobsDue, p.last.JobsDue),
		rate(snapshot.InTime, p.last.InTime), rate(snapshot.Rejected, p.last.Rejected),
		formatCount(snapshot.InFlight), snapshot.WorkersUp, snapshot.Workers)
	if len(snapshot.Faults) > 0 {
		line += "  ! " + strings.Join(faultKinds(snapshot.Faults), ", ")
	}
	return truncateLine(line, pageWidth-1)
}

// faultKinds returns the texts of faults without the workers or schedulers that they struck.
func faultKinds(faults []string) []string {
	kinds := make([]string, 0, len(faults))
	for _, fault := range faults {
		kind, _, _ := strings.Cut(fault, ":")
		kinds = append(kinds, kind)
	}
	return kinds
}

// Done ends the line if it is on a terminal.
func (p *Progress) Done() {
	if p.tty && p.isShown {
		fmt.Fprintln(p.w)
	}
}
