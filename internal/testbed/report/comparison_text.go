package report

import (
	"fmt"
	"io"
	"strings"

	"valvecove/internal/testbed/score"
)

// Widths of the columns of a comparison on a terminal.
const (
	headlineWidth  = 18 // of the first column, which has names of headlines
	maxSideWidth   = 20
	minSpreadWidth = 18 // minimum width at which a side's column shows intervals
)

// ComparePage writes a comparison for a terminal. The error is that of the writer.
func ComparePage(w io.Writer, comparison *Comparison) error {
	page := &textPage{colour: useColors(w)}
	page.line(strong, "%s", comparison.Title)
	page.writeSides(comparison)
	for i, pairs := range comparison.Pairs() {
		page.line(plain, "")
		page.line(strong, "%s against %s", comparison.Sides[i+1].Name, comparison.Sides[0].Name)
		page.writePairs(pairs)
	}
	firstSentence, _, _ := strings.Cut(chanceRemark, ";")
	page.line(faint, "%s", firstSentence+".")
	return page.writeTo(w)
}

// writeSides writes the table of headlines, with a column for each side.
func (p *textPage) writeSides(comparison *Comparison) {
	sides := comparison.Sides
	width := min(maxSideWidth, (pageWidth-headlineWidth)/max(1, len(sides)))
	writeCells := func(style, first string, cell func(side int) string) {
		line := fmt.Sprintf("%-*s", headlineWidth, first)
		for side := range sides {
			line += fmt.Sprintf("%*s", width, cell(side))
		}
		p.line(style, "%s", line)
	}
	writeCells(faint, "", func(side int) string { return truncateLine(sides[side].Name, max(width-1, 1)) })
	spreadsBySide := comparison.spreads()
	for _, headline := range score.Headlines {
		writeCells(plain, headline.Name, func(side int) string {
			text := formatSpread(headline.Name, spreadsBySide[side][headline.Name])
			if width < minSpreadWidth {
				text = withoutInterval(text)
			}
			return text
		})
	}
	writeCells(plain, "rules broken", func(side int) string { return fmt.Sprint(sides[side].Broken) })
}

// writePairs writes the paired differences between one side and the first.
func (p *textPage) writePairs(pairs []score.Paired) {
	styles := map[string]string{classGood: good, classPoor: poor}
	for i := range pairs {
		pair := &pairs[i]
		p.line(styles[pairClass(pair)], "  %-*s%s", headlineWidth, pair.Metric, pair.Verdict)
	}
}
