package report

import (
	"fmt"
	"io"
	"strings"

	"valvecove/internal/testbed/score"
)

// maxComparedSides is how many sides the plots of a comparison show at most.
const maxComparedSides = 5

// spreadCaption is the caption of tables of spreads.
const spreadCaption = "Means over the seeds, ± half the width of the 95% interval of each"

// WriteCompare writes a comparison as one HTML file: the sides' figures, a plot of their goodput, and the paired differences.
// The error is that of the writer or the template.
func WriteCompare(w io.Writer, comparison *Comparison) error {
	document := &document{Title: comparison.Title, Description: comparison.Description}
	document.addBuild(comparison.Build)
	figures := section{ID: "figures", Title: "Side by side", Tables: []table{comparison.figures()}}
	document.Sections = append(document.Sections, figures)
	timeline := comparison.timeline()
	if timeline.end > 0 {
		document.Sections = append(document.Sections, comparison.timelineSection(timeline))
	}
	for i, pairs := range comparison.Pairs() {
		document.Sections = append(document.Sections, section{
			ID:     fmt.Sprint("pairs-", i+1),
			Title:  comparison.Sides[i+1].Name + " against " + comparison.Sides[0].Name,
			Tables: []table{pairTable(pairs)},
			Text:   []string{"Each difference is between runs with the same seed. " + chanceRemark},
		})
	}
	document.addScenario(comparison.Scenario)
	return document.write(w)
}

// figures returns the table of headlines, with a column for each side.
func (c *Comparison) figures() table {
	figures := table{Caption: spreadCaption, Columns: []string{""}}
	for i := range c.Sides {
		figures.Columns = append(figures.Columns, c.Sides[i].Name)
	}
	addSides := func(name string, cell func(side int) string) {
		cells := make([]string, len(c.Sides))
		for side := range c.Sides {
			cells[side] = cell(side)
		}
		figures.addRow(name, cells...)
	}
	spreadsBySide := c.spreads()
	for _, headline := range score.Headlines {
		addSides(headline.Name+", "+headline.Description, func(side int) string {
			return formatSpread(headline.Name, spreadsBySide[side][headline.Name])
		})
	}
	addSides("rules broken", func(side int) string { return formatCount(c.Sides[side].Broken) })
	addSides("runs", func(side int) string { return formatCount(len(c.Sides[side].Results)) })
	addSides("void runs, left out", func(side int) string { return formatCount(c.Sides[side].Invalid) })
	return figures
}

// timeline returns a timeline of the length of the longest run, with the faults of the first run that has any.
func (c *Comparison) timeline() *timeline {
	timeline := &timeline{}
	for _, side := range c.Sides {
		for _, result := range side.Results {
			timeline.end = max(timeline.end, result.Length)
			if len(timeline.faults) == 0 {
				timeline.faults = untargetedFaults(result.Faults)
			}
		}
	}
	return timeline
}

// untargetedFaults returns faults without the workers or schedulers that they struck, which differ from seed to seed.
func untargetedFaults(faults []score.Fault) []score.Fault {
	var untargeted []score.Fault
	for _, fault := range faults {
		fault.Text, _, _ = strings.Cut(fault.Text, ":")
		untargeted = append(untargeted, fault)
	}
	return untargeted
}

// timelineSection draws the sides over time.
func (c *Comparison) timelineSection(timeline *timeline) section {
	requested := meanSeries(c.Sides[0].Results, func(s *score.Seconds) score.Series { return s.DueValue })
	goodput := []lineSpec{{name: "asked for", series: requested, area: true}}
	var earned []lineSpec
	for i, side := range c.Sides[:min(len(c.Sides), maxComparedSides)] {
		goodput = append(goodput, lineSpec{name: side.Name, series: meanSeries(side.Results,
			func(s *score.Seconds) score.Series { return s.GoodputValue })})
		earned = append(earned, lineSpec{name: side.Name, class: seriesClass(i + 1), series: side.earnedShare()})
	}
	return section{
		ID: "seconds", Title: "Over time",
		Text: []string{"Means over the seeds. Each seed chooses the targets of faults; the bands show the faults of the first run."},
		Plots: []*plot{
			timeline.plot(timePlot{
				id: "goodput", title: "Goodput", yName: "worth per second", height: 300, text: formatNumber, labels: true,
				lines: goodput,
			}),
			timeline.plot(timePlot{
				id: "kept", title: "Earned share of the worth due in each second",
				yName: "mean over two seconds", height: 240, top: 1, text: formatPercent, lines: earned,
			}),
		},
	}
}

// earnedShare returns the earned share of the value due in each second, over all runs of the side.
func (s *Side) earnedShare() score.Series {
	length := 0.0
	for _, result := range s.Results {
		length = max(length, result.Length)
	}
	requested := meanSeries(s.Results, func(s *score.Seconds) score.Series { return s.DueValue })
	earned := meanSeries(s.Results, func(s *score.Seconds) score.Series { return s.DueValueEarned })
	return ratio(requested, earned, length)
}

// pairTable returns a table of the paired differences between one side and the first.
func pairTable(pairs []score.Paired) table {
	const verdictColumn = 5
	differences := table{
		Columns:     []string{"", "difference", "95% interval", "spread (SD)", "p", "in words"},
		TextColumns: true,
	}
	for i := range pairs {
		pair := &pairs[i]
		interval := formatNumber(pair.Low) + " to " + formatNumber(pair.High)
		differences.addRow(pair.Metric, formatNumber(pair.Difference), interval, formatNumber(pair.SD),
			formatNumber(pair.P), pair.Verdict)
		differences.setClass(strings.TrimSpace(classText+" "+pairClass(pair)), verdictColumn)
	}
	return differences
}
