package report

import (
	"fmt"
	"strconv"

	"valvecove/internal/testbed/score"
)

// Labels of bands are placed in several levels, one below the other, so that they do not overlap.
const (
	maxLabelLevels          = 4
	maxLabelRunes           = 34
	labelRuneWidth   pixels = 6 // upper bound of a character's width
	labelHeight      pixels = 14
	firstLabelY      pixels = 18
	labelGap         pixels = 4 // between labels of one level
	minBandWidth     pixels = 1.5
	beforeFirstLabel pixels = 100 // an empty level counts as occupied up to this far left of the area
)

// addBands adds the faults as bands and the marks as lines. Labels of bands have the faults' texts if named is set, or else
// only their numbers. It returns how many levels the labels take.
func (t *timeline) addBands(plot *plot, named bool) (levels int) {
	xScale := scale{high: max(t.end, 1), from: plot.LeftEdge, to: plot.RightEdge}
	labels := newLabelPlacer(plot, named)
	for i, fault := range t.drawnFaults() {
		number := strconv.Itoa(i + 1)
		band := t.band(&xScale, number, fault)
		if !named || !labels.place(&band, truncateLine(number+" "+fault.Text, maxLabelRunes)) {
			labels.place(&band, number)
		}
		plot.Bands = append(plot.Bands, band)
	}
	for _, mark := range t.marks[:min(len(t.marks), maxTimelineEntries)] {
		plot.Marks = append(plot.Marks, markLine{xScale.at(mark.At), formatSeconds(mark.At) + " " + mark.Text})
	}
	return labels.levels
}

// band returns the band of a fault, without a label.
func (t *timeline) band(xScale *scale, number string, fault score.Fault) band {
	text := fmt.Sprintf("%s. %s, from %s", number, fault.Text, formatSeconds(fault.On))
	off := t.end
	if fault.Off >= 0 {
		off = fault.Off
		text += " to " + formatSeconds(off)
	}
	from, to := xScale.at(fault.On), xScale.at(off)
	return band{X: from, Width: max(to-from, minBandWidth), Text: text}
}

// labelPlacer places the labels of bands so that none covers another.
type labelPlacer struct {
	ends      []pixels // of the last label in each level
	rightEdge pixels
	levels    int // in use
}

// newLabelPlacer returns a placer for a plot. Labels that are only numbers have a single level.
func newLabelPlacer(plot *plot, named bool) *labelPlacer {
	levels := 1
	if named {
		levels = maxLabelLevels
	}
	placer := &labelPlacer{ends: make([]pixels, levels), rightEdge: plot.RightEdge}
	for i := range placer.ends {
		placer.ends[i] = plot.LeftEdge - beforeFirstLabel
	}
	return placer
}

// place labels a band in the first level that has room, and reports whether there is one. A label that would extend beyond
// the plot's right edge is moved to the left.
func (l *labelPlacer) place(b *band, text string) bool {
	width := labelRuneWidth * pixels(len([]rune(text)))
	from, end := b.X, b.X+width
	if end > l.rightEdge {
		from, end = l.rightEdge-width, l.rightEdge
	}
	for level, lastEnd := range l.ends {
		if from < lastEnd+labelGap {
			continue
		}
		b.Label = text
		b.LabelX, b.LabelY = from, firstLabelY+labelHeight*pixels(level)
		l.ends[level] = end
		l.levels = max(l.levels, level+1)
		return true
	}
	return false
}
