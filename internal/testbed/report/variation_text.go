package report

import (
	"fmt"
	"io"

	"valvecove/internal/testbed/score"
)

// textColumn is a column of a variation's table on a terminal.
type textColumn struct {
	index        int // in the table; negative: counted from its end
	width        int // negative: aligned to the left
	title        string
	withInterval bool
}

// variationColumns are the columns of the table that are shown on a terminal.
var variationColumns = []textColumn{
	{index: 0, width: -24, withInterval: true},
	{index: 1, width: 16, withInterval: true},
	{index: 4, width: 10},
	{index: 6, width: 10},
	{index: 7, width: 10},
	{index: 8, width: 8},
	{index: 9, width: 8},
	{index: -1, width: 8, title: "broken"},
}

// VariationPage writes a variation for a terminal. The error is that of the writer.
func VariationPage(w io.Writer, variation *Variation) error {
	page := &textPage{colour: useColors(w)}
	page.line(strong, "%s", variation.Title)
	page.writeVariationTable(variation.table())
	headline := variation.headline()
	for i := range variation.Curves {
		curve := &variation.Curves[i]
		var means score.Series
		for k := range curve.Points {
			means = append(means, curve.Points[k].spread(&headline).Mean)
		}
		page.line(plain, "%s  %s", sparkline(means, means.Max()), variation.describeKnee(curve))
	}
	return page.writeTo(w)
}

// writeVariationTable writes the variationColumns of a variation's table.
func (p *textPage) writeVariationTable(figures table) {
	titles := ""
	for _, column := range variationColumns {
		title := column.title
		if title == "" {
			title = figures.Columns[column.index]
		}
		titles += fmt.Sprintf("%*s", column.width, truncateLine(title, max(column.width, -column.width)-1))
	}
	p.line(faint, "%s", titles)
	for _, cells := range figures.Lines {
		if len(cells) == 1 {
			p.line(strong, "%s", cells[0].Text)
			continue
		}
		line := ""
		for _, column := range variationColumns {
			line += column.format(cells)
		}
		p.line(plain, "%s", line)
	}
}

// format returns the column's cell of a line, padded to the column's width.
func (c *textColumn) format(cells []cell) string {
	index := c.index
	if index < 0 {
		index += len(cells)
	}
	text := cells[index].Text
	if !c.withInterval {
		text = withoutInterval(text)
	}
	if c.width < 0 {
		text = truncateLine(text, -c.width-1)
	}
	return fmt.Sprintf("%*s", c.width, text)
}
