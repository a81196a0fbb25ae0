package report

import (
	"fmt"
	"strconv"
	"strings"
)

// Sizes of plots.
const (
	plotWidth        pixels = 1000
	plotLeftEdge     pixels = 62 // room for the labels of the vertical axis
	plotRightMargin  pixels = 12
	plotTopEdge      pixels = 24
	plotBottomMargin pixels = 34 // room for the labels of the horizontal axis
	maxXTicks               = 12
	maxYTicks               = 5
	seriesColors            = 6 // classes s1 to s6 of the page's style sheet
)

// plot is a drawing that the template writes as SVG.
type plot struct {
	ID, Title, Description, YName, XName     string
	Width, Height                            pixels
	LeftEdge, RightEdge, TopEdge, BottomEdge pixels // borders of the plot's area
	XTicks, YTicks                           []tick
	Bands                                    []band
	Marks                                    []markLine
	Curves                                   []curve
	Dots                                     []dot
	Hovers                                   []hover
	xScale, yScale                           scale
}

// band is an interval of time that is shaded over the plot's whole height.
type band struct {
	X, Width pixels
	Text     string // shown on hovering
	Label    string // empty: there is no room for one
	LabelX   pixels
	LabelY   pixels
}

// markLine is an instant that is marked over the plot's whole height.
type markLine struct {
	X    pixels
	Text string
}

// curve is a line or a filled area.
type curve struct {
	Class  string // s1 to s6
	Name   string // in the legend; empty: not in it
	D      string // SVG path data
	Area   bool
	Strong bool
}

// dot is a point with its confidence interval.
type dot struct {
	X, Y, Low, High pixels
	Class, Text     string
	Knee            bool
}

// hover is a part of the plot's area that shows a text on hovering.
type hover struct {
	X, Width pixels
	Text     string
}

// newPlot returns an empty plot.
func newPlot(id, title, xName, yName string, height pixels) *plot {
	return &plot{
		ID:         id,
		Title:      title,
		XName:      xName,
		YName:      yName,
		Width:      plotWidth,
		Height:     height,
		LeftEdge:   plotLeftEdge,
		RightEdge:  plotWidth - plotRightMargin,
		TopEdge:    plotTopEdge,
		BottomEdge: height - plotBottomMargin,
	}
}

// AreaH returns the height of the area. The template calls it.
func (p *plot) AreaH() pixels { return p.BottomEdge - p.TopEdge }

// TickX returns where labels of the vertical axis end. The template calls it.
func (p *plot) TickX() pixels { return p.LeftEdge - 6 }

// TickY returns where ticks of the horizontal axis end. The template calls it.
func (p *plot) TickY() pixels { return p.BottomEdge + 4 }

// TextY returns the baseline of the horizontal axis's labels. The template calls it.
func (p *plot) TextY() pixels { return p.BottomEdge + 16 }

// NameY returns the baseline of the horizontal axis's name. The template calls it.
func (p *plot) NameY() pixels { return p.BottomEdge + 30 }

// addHeadroom adds space above the plot's area.
func (p *plot) addHeadroom(height pixels) {
	p.TopEdge += height
	p.Height += height
	p.BottomEdge += height
}

// setAxes sets the scales and their ticks. The borders of the area must not change afterwards.
func (p *plot) setAxes(x, y scale, formatX, formatY func(float64) string) {
	x.from, x.to = p.LeftEdge, p.RightEdge
	y.from, y.to = p.BottomEdge, p.TopEdge
	p.xScale, p.yScale = x, y
	p.XTicks, p.YTicks = x.ticks(maxXTicks, formatX), y.ticks(maxYTicks, formatY)
}

// addCurve draws a curve through points, and leaves a gap where a y is not finite.
func (p *plot) addCurve(drawn curve, xs, ys []float64) {
	path := pathWriter{bottom: p.BottomEdge, area: drawn.Area}
	for i, y := range ys {
		if isNotFinite(y) {
			path.endSegment()
			continue
		}
		isLast := i+1 == len(ys) || isNotFinite(ys[i+1])
		path.drawTo(p.xScale.at(xs[i]), p.yScale.at(y), isLast)
	}
	path.endPath()
	drawn.D = path.text.String()
	p.Curves = append(p.Curves, drawn)
}

// seriesClass returns the style class of the curve at an index.
func seriesClass(index int) string { return "s" + strconv.Itoa(index%seriesColors+1) }

// pathWriter writes the path data of a curve, which consists of segments with gaps between them.
type pathWriter struct {
	text    strings.Builder
	bottom  pixels // of an area
	area    bool   // the curve is a filled area
	drawing bool   // a segment is open
	lastX   pixels // of the last point
}

// drawTo draws to a point, and begins a segment if none is open. isLast is set for the last point of a segment.
func (w *pathWriter) drawTo(toX, toY pixels, isLast bool) {
	switch {
	case w.drawing:
		fmt.Fprintf(&w.text, "L%s %s", toX, toY)
	case w.area:
		fmt.Fprintf(&w.text, "M%s %sV%s", toX, w.bottom, toY)
	case isLast: // a single point is drawn as a short line
		fmt.Fprintf(&w.text, "M%s %sh1.5", toX, toY)
	default:
		fmt.Fprintf(&w.text, "M%s %s", toX, toY)
	}
	w.drawing = true
	w.lastX = toX
}

// endSegment closes the open segment before a gap.
func (w *pathWriter) endSegment() {
	if w.drawing && w.area {
		fmt.Fprintf(&w.text, "V%sZ", w.bottom)
	}
	w.drawing = false
}

// endPath closes the last segment.
func (w *pathWriter) endPath() {
	if w.drawing && w.area {
		fmt.Fprintf(&w.text, "H%sV%sZ", w.lastX, w.bottom)
	}
}
