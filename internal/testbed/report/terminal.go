package report

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"golang.org/x/sys/unix"

	"valvecove/internal/testbed/score"
)

// A page is for a terminal of this size.
const (
	pageWidth = 100
	pageLines = 60
)

// isTerminal tells whether w is a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS)
	return err == nil
}

func useColors(w io.Writer) bool {
	return os.Getenv("NO_COLOR") == "" && os.Getenv("TERM") != "dumb" && isTerminal(w)
}

// Progress writes how a run stands while it runs: on a terminal one line that changes, elsewhere a line for each
// second of the run, and after a minute for every ten.
type Progress struct {
	w     io.Writer
	tty   bool
	last  score.Snapshot
	shown bool
	wide  int // of the line that stands there
}

// NewProgress writes to w.
func NewProgress(w io.Writer) *Progress { return &Progress{w: w, tty: isTerminal(w)} }

// Wants tells whether Show would write a line for this instant of the run, so that nobody takes stock for nothing.
func (p *Progress) Wants(at time.Duration) bool {
	every := time.Second
	if !p.tty && at > time.Minute {
		every = 10 * time.Second
	}
	return at > p.last.At && at/every != p.last.At/every
}

// Show takes in how a run stands, and writes a line if it is time for one.
func (p *Progress) Show(t *score.Snapshot) {
	if !p.Wants(t.At) {
		return
	}
	line := p.line(t, t.At-p.last.At)
	p.last = *t
	p.last.Faults = nil // the caller keeps that
	p.shown = true
	if !p.tty {
		fmt.Fprintln(p.w, line)
		return
	}
	wide := utf8.RuneCountInString(line)
	fmt.Fprint(p.w, "\r", line, strings.Repeat(" ", max(0, p.wide-wide)))
	p.wide = wide
}

func (p *Progress) line(t *score.Snapshot, since time.Duration) string {
	rate := func(now, before int) string { return formatNumber(float64(now-before) / since.Seconds()) }
	line := fmt.Sprintf("%6s  asked %4s/s  in time %4s/s  refused %4s/s  in flight %5s  nodes %d/%d",
		fmt.Sprint(int(t.At.Seconds()), " s"), rate(t.JobsDue, p.last.JobsDue), rate(t.InTime, p.last.InTime),
		rate(t.Rejected, p.last.Rejected), formatCount(t.InFlight), t.WorkersUp, t.Workers)
	for i, f := range t.Faults {
		f, _, _ = strings.Cut(f, ":") // what, without whom it strikes
		line += [2]string{", ", "  ! "}[max(0, 1-i)] + f
	}
	return truncateLine(line, pageWidth-1)
}

// Done leaves the line as it is and begins a new one.
func (p *Progress) Done() {
	if p.tty && p.shown {
		fmt.Fprintln(p.w)
	}
}

// truncateLine cuts a line to so many characters, and takes out what a terminal would act on.
func truncateLine(line string, wide int) string {
	line = strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return ' '
		}
		return r
	}, line)
	if utf8.RuneCountInString(line) <= wide {
		return line
	}
	runes := []rune(line)
	return string(runes[:wide-1]) + "…"
}

// textPage gathers lines.
type textPage struct {
	text   strings.Builder
	colour bool
}

// Styles of a line: what it begins with stands out.
const (
	plain  = ""
	strong = "\x1b[1m"
	good   = "\x1b[32m"
	poor   = "\x1b[31m"
	faint  = "\x1b[2m"
)

func (p *textPage) line(style, format string, args ...any) {
	text := truncateLine(strings.TrimRight(fmt.Sprintf(format, args...), " "), pageWidth)
	if p.colour && style != plain && text != "" {
		text = style + text + "\x1b[0m"
	}
	p.text.WriteString(text + "\n")
}

// writeSome writes at most n lines of a list, the last of which may say how many more there are.
func writeSome[T any](p *textPage, list []T, n int, what string, write func(x *T)) {
	for i := range list {
		if i == n-1 && len(list) > n {
			p.line(faint, "  … and %d more %s", len(list)-i, what)
			return
		}
		write(&list[i])
	}
}

// WritePage writes the page of figures that ends a run: at most 60 lines of 100 columns, with colours only where w is a
// terminal and NO_COLOR is not set. v may be nil: not judged.
func WritePage(w io.Writer, r *score.Result, v *Verdict, met []score.Evaluation) error {
	p := &textPage{colour: useColors(w)}
	p.write(r, v, met)
	_, err := io.WriteString(w, p.text.String())
	return err
}

func (p *textPage) write(r *score.Result, verdict *Verdict, met []score.Evaluation) {
	p.line(strong, "%s", r.Name)
	p.line(faint, "%s", summaryOf(r))
	style := good
	if verdict == nil || verdict.Invalid != "" {
		style = strong
	}
	if verdict.Total() > 0 {
		style = poor
	}
	p.line(style, "%s", strings.ToUpper(verdict.String()[:1])+verdict.String()[1:])
	if verdict != nil {
		writeSome(p, verdict.Violations, 4, "breaches", func(b *Violation) {
			p.line(poor, "  %s at %s: %s", b.Rule, formatSeconds(b.At.Seconds()), b.Text)
		})
		writeSome(p, verdict.NotChecked, 2, "things left out", func(what *string) { p.line(faint, "  left out: %s", *what) })
	}
	p.line(plain, "")
	p.writeValue(r)
	p.writeGroups(r)
	p.writeSeconds(r)
	p.writeEffort(r)
	p.writeDisturbances(r)
	writeSome(p, met, 6, "expectations", func(m *score.Evaluation) {
		word, style := "met    ", good
		if !m.OK {
			word, style = "NOT MET", poor
		}
		reason := ""
		if m.Reason != "" {
			reason = " (" + m.Reason + ")"
		}
		p.line(style, "%s  %s: %s%s", word, m.Expectation, formatValue(m), reason)
	})
}

func (p *textPage) writeValue(r *score.Result) {
	w := &r.Value
	p.line(strong, "worth answered in time over worth asked for  %.3f  %s", w.Mix, barOf(w.Mix, 40))
	p.line(plain, "  whole play %.3f; worst 10 s %.3f, from %.0f s on", w.Whole, w.Worst10, w.Worst10At)
	p.line(plain, "  worst class %.3f, %s; worst tenant %.3f, %s", w.WorstClass.Value, truncateLine(w.WorstClass.Name, 24),
		w.WorstTenant.Value, truncateLine(w.WorstTenant.Name, 24))
	p.line(plain, "")
}

func (p *textPage) writeGroups(result *score.Result) {
	p.line(faint, "%-18s%7s%8s%7s%8s%7s%9s%6s  %8s%8s%8s", "", "jobs", "in time", "late", "refused", "failed", "unansw.",
		"lost", "p50", "p99", "max")
	line := func(g *score.Group) {
		of := func(o score.JobOutcome) string {
			return formatPercent(float64(g.Outcomes[o]) / float64(max(1, g.JobsDue)))
		}
		p.line(plain, "%-18s%7d%8s%7s%8s%7s%9s%6s  %8s%8s%8s", truncateLine(g.Name, 17), g.JobsDue, of(score.OutcomeInTime), of(score.OutcomeLate),
			of(score.OutcomeRejected), of(score.OutcomeFailed), of(score.OutcomeUnanswered), of(score.OutcomeLost), formatMillis(g.Latency.P50),
			formatMillis(g.Latency.P99), formatMillis(g.Latency.Max))
	}
	line(&result.Whole)
	writeSome(p, result.Classes, 6, "classes", line)
	writeSome(p, worstFirst(result.Tenants, 5), 5, "tenants", line)
	p.line(plain, "")
}

// worstFirst leaves a short list as it is, and puts the worst of a long one first.
func worstFirst(list []score.Group, n int) []score.Group {
	if len(list) <= n {
		return list
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b score.Group) int {
		switch {
		case a.EarnedShareWithinQuota < b.EarnedShareWithinQuota:
			return -1
		case a.EarnedShareWithinQuota > b.EarnedShareWithinQuota:
			return 1
		}
		return 0
	})
	return list
}

func (p *textPage) writeSeconds(result *score.Result) {
	seconds := &result.Seconds
	end := len(seconds.DueValue)
	for end > 1 && seconds.DueValue[end-1] == 0 && seconds.InFlight[end-1] == 0 && seconds.GoodputJobs[end-1] == 0 {
		end-- // nothing went on any more
	}
	const wide = 72
	_, each := thinSeries(seconds.DueValue[:end], wide, meanOf)
	p.line(faint, "%-12s0 to %d s, each mark %d s", "by second", end, each)
	line := func(name string, of score.Series, how func(score.Series) float64, top float64, unit func(float64) string) {
		of, _ = thinSeries(of[:min(end, len(of))], wide, how)
		if top == 0 {
			top = of.Max()
		}
		p.line(plain, "%-12s%-*s  max %s", name, wide, sparkline(of, top), unit(of.Max()))
	}
	top := max(seconds.DueJobs.Max(), seconds.GoodputJobs.Max())
	line("asked/s", seconds.DueJobs, meanOf, top, formatNumber)
	line("in time/s", seconds.GoodputJobs, meanOf, top, formatNumber)
	line("refused/s", seconds.Rejected, meanOf, 0, formatNumber)
	line("in flight", seconds.InFlight, meanOf, 0, formatNumber)
	line("p99", seconds.P99, maxOf, 0, formatMillis)
	line("occupancy", seconds.Occupancy, meanOf, 1, formatPercent)
	if len(result.Faults) > 0 {
		on := make([]byte, min(wide, (end+each-1)/each))
		for i := range on {
			on[i] = ' '
			for k := range result.Faults {
				if f := &result.Faults[k]; f.On < float64((i+1)*each) && (f.Off < 0 || f.Off >= float64(i*each)) {
					on[i] = '!'
				}
			}
		}
		p.line(poor, "%-12s%s", "faults", on)
	}
	p.line(plain, "")
}

func (p *textPage) writeEffort(result *score.Result) {
	e, w := &result.Effort, &result.Waste
	p.line(plain, "attempts    %.3f a job, %d at most; second copies %s; turned away %s, handed back %s, withdrawn %s",
		e.PerJob, e.MaxAttempts, formatCount(e.Hedged), formatCount(e.Rejected), formatCount(e.Returned), formatCount(e.Cancelled))
	p.line(plain, "waste       %s of work asked, in s: repeated %s, too late %s, died or failed %s; after aim %s",
		formatPercent(w.Share), formatNumber(w.Repeated), formatNumber(w.TooLate+w.ClientLeft+w.Unused), formatNumber(w.Killed+w.Errors),
		formatNumber(e.WorkAfterObjective))
	p.line(plain, "clients     tries %s, retries %s, refused %s; probes %s, links %s, notes %s", formatCount(e.Requests),
		formatCount(e.Retries), formatCount(e.RequestsRejected), formatCount(e.HealthChecks), formatCount(e.Connections), formatCount(e.Callbacks))
	p.line(plain, "fleet       occupancy %s; busiest w-%d %s, %s times the mean; pushed over %d", formatPercent(result.Fleet.Whole),
		result.Fleet.BusiestWorker, formatPercent(result.Fleet.Busiest), formatNumber(result.Fleet.OverMean), e.Overloads)
	if len(result.Misbehaving) > 0 {
		var all score.MisbehavingCounts
		for _, b := range result.Misbehaving {
			all.Connected += b.Connected
			all.Errors += b.Errors
			all.Closed += b.Closed
			all.Served += b.Served
			all.Open += b.Open
		}
		p.line(plain, "bad clients %s: errors %s, closed %s, served %s, left waiting %s", formatCount(all.Connected),
			formatCount(all.Errors), formatCount(all.Closed), formatCount(all.Served), formatCount(all.Open))
	}
	var used []score.Process
	for _, proc := range result.Processes {
		if proc.PeakMemory > 0 || proc.CPU > 0 {
			used = append(used, proc)
		}
	}
	writeSome(p, used, 3, "processes", func(x *score.Process) {
		p.line(plain, "%-12s%s cores; peak memory %s, descriptors %s", processName(x.Scheduler), formatNumber(x.Cores),
			formatBytes(float64(x.PeakMemory)), formatCount(x.PeakFiles))
	})
	if l := result.Lateness; l.Count > 0 {
		p.line(plain, "lab late    %s; p99.9 %s, max %s", plural(l.Count, "time", "times"), formatMillis(l.P999), formatMillis(l.Max))
	}
	p.line(plain, "")
}

func processName(sched int) string {
	if sched < 0 {
		return "lab"
	}
	return fmt.Sprint("scheduler ", sched)
}

func (p *textPage) writeDisturbances(r *score.Result) {
	writeSome(p, r.Disturbances, 6, "disturbances", func(d *score.Disturbance) {
		style := plain
		if !d.Recovered {
			style = poor
		}
		p.line(style, "%s to %s  %s  %s", formatSeconds(d.From), formatSeconds(d.To), recoveryText(d), strings.Join(d.Faults, ", "))
	})
	if len(r.Disturbances) > 0 {
		p.line(plain, "")
	}
}

// recoveryText says how a disturbance went by.
func recoveryText(d *score.Disturbance) string {
	switch {
	case !d.HasDip:
		return "no dip;"
	case !d.Recovered:
		return fmt.Sprintf("down to %s of %s, NOT back in %s;", formatPercent(d.Lowest), formatPercent(d.Before), formatSeconds(d.FromEnd))
	case d.FromEnd == 0:
		return fmt.Sprintf("down to %s of %s, back before its end;", formatPercent(d.Lowest), formatPercent(d.Before))
	}
	return fmt.Sprintf("down to %s of %s, back %s after its end;", formatPercent(d.Lowest), formatPercent(d.Before), formatSeconds(d.FromEnd))
}

var eighths = []rune(" ▏▎▍▌▋▊▉█")

// barOf draws a share as so many characters.
func barOf(x float64, wide int) string {
	n := int(min(max(x, 0), 1)*float64(8*wide) + 0.5)
	var b strings.Builder
	for range wide {
		b.WriteRune(eighths[min(n, 8)])
		n -= min(n, 8)
	}
	return strings.TrimRight(b.String(), " ")
}

var heights = []rune(" ▁▂▃▄▅▆▇█")

// sparkline draws a series, a character for each value; what is above nothing shows.
func sparkline(s score.Series, top float64) string {
	var b strings.Builder
	for _, x := range s {
		i := 0
		if top > 0 && x > 0 {
			i = 1 + min(int(x/top*float64(len(heights)-1)), len(heights)-2)
		}
		b.WriteRune(heights[i])
	}
	return b.String()
}
