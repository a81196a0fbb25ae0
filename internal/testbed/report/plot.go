package report

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"valvecove/internal/testbed/score"
)

// pixels is a place in a drawing.
type pixels float64

func (x pixels) String() string {
	return strings.TrimSuffix(strconv.FormatFloat(float64(x), 'f', 1, 64), ".0")
}

// scale brings values from Low to High to places.
type scale struct {
	low, high float64
	log       bool
	from, to  pixels
}

func (s *scale) at(v float64) pixels {
	low, high := s.low, s.high
	if s.log {
		low, high, v = math.Log(low), math.Log(high), math.Log(max(v, s.low))
	}
	if high <= low {
		return s.from
	}
	return s.from + pixels(min(max((v-low)/(high-low), 0), 1))*(s.to-s.from)
}

type tick struct {
	At   pixels
	Text string
}

// ticks are at round values, at most about n of them.
func (s *scale) ticks(n int, text func(float64) string) []tick {
	var outputs []tick
	if s.log {
		steps := []float64{1, 2, 5}
		if math.Log10(s.high/s.low) > float64(n)/2 {
			steps = steps[:1]
		}
		for power := math.Pow(10, math.Floor(math.Log10(s.low))); power <= s.high*1.001; power *= 10 {
			for _, step := range steps {
				if v := power * step; v >= s.low*0.999 && v <= s.high*1.001 {
					outputs = append(outputs, tick{s.at(v), text(v)})
				}
			}
		}
		return outputs
	}
	step := roundUp((s.high - s.low) / float64(n))
	if step <= 0 {
		return []tick{{s.at(s.low), text(s.low)}}
	}
	for i := int(math.Ceil(s.low/step - 1e-9)); float64(i)*step <= s.high+step*1e-9; i++ {
		v := float64(i) * step
		outputs = append(outputs, tick{s.at(v), text(v)})
	}
	return outputs
}

// roundUp is the next of 1, 2, 5, 10 and so on.
func roundUp(x float64) float64 {
	if x <= 0 || isNotFinite(x) {
		return 0
	}
	power := math.Pow(10, math.Floor(math.Log10(x)))
	for _, step := range []float64{1, 2, 5} {
		if x <= power*step*(1+1e-9) {
			return power * step
		}
	}
	return power * 10
}

// plot is a drawing that the template writes as SVG.
type plot struct {
	ID, Title, Description, YName, XName     string
	Width, Height                            pixels
	LeftEdge, RightEdge, TopEdge, BottomEdge pixels // borders of the area
	XTicks, YTicks                           []tick
	Bands                                    []band
	Marks                                    []markLine
	Curves                                   []curve
	Dots                                     []dot
	Hovers                                   []hover
	xScale, yScale                           scale
}

type band struct {
	X, Width pixels
	Text     string // on hovering
	Label    string
	LabelX   pixels
	LabelY   pixels
	End      bool // the label ends at LabelX, since it would not fit to the right of it
}

type markLine struct {
	X    pixels
	Text string
}

type curve struct {
	Class  string // s1 to s6
	Name   string // empty: not in the legend
	D      string
	Area   bool
	Strong bool
}

type dot struct {
	X, Y, Low, High pixels
	Class, Text     string
	Knee            bool
}

type hover struct {
	X, Width pixels
	Text     string
}

const (
	plotWidth    = 1000
	seriesColors = 500 // points of a curve at most; each may stand for several seconds
)

func newPlot(id, title, xName, yName string, height pixels) *plot {
	return &plot{
		ID: id, Title: title, XName: xName, YName: yName, Width: plotWidth, Height: height, LeftEdge: 62, RightEdge: plotWidth - 12, TopEdge: 24,
		BottomEdge: height - 34,
	}
}

// axes sets the scales and their ticks. The area must have its borders by then.
func (p *plot) axes(x, y scale, xText, yText func(float64) string) {
	x.from, x.to, y.from, y.to = p.LeftEdge, p.RightEdge, p.BottomEdge, p.TopEdge
	p.xScale, p.yScale = x, y
	p.XTicks, p.YTicks = x.ticks(12, xText), y.ticks(5, yText)
}

// path draws through the values that there are; places where there is none stay open.
func (p *plot) path(values, ys []float64, area bool) string {
	var b strings.Builder
	b.Grow(12 * len(values))
	down := false // the pen
	var last pixels
	for i, y := range ys {
		if isNotFinite(y) {
			if down && area {
				fmt.Fprintf(&b, "V%sZ", p.BottomEdge)
			}
			down = false
			continue
		}
		current, y := p.xScale.at(values[i]), p.yScale.at(y)
		switch {
		case down:
			fmt.Fprintf(&b, "L%s %s", current, y)
		case area:
			fmt.Fprintf(&b, "M%s %sV%s", current, p.BottomEdge, y)
		case i+1 == len(ys) || isNotFinite(ys[i+1]): // alone, it shows as a short line
			fmt.Fprintf(&b, "M%s %sh1.5", current, y)
		default:
			fmt.Fprintf(&b, "M%s %s", current, y)
		}
		down, last = true, current
	}
	if down && area {
		fmt.Fprintf(&b, "H%sV%sZ", last, p.BottomEdge)
	}
	return b.String()
}

func (p *plot) add(class, name string, xs, ys []float64, area, strong bool) {
	p.Curves = append(p.Curves, curve{class, name, p.path(xs, ys, area), area, strong})
}

// lineSpec is a curve of a plot over time, before it is drawn.
type lineSpec struct {
	name      string
	class     string // empty: by its place among the lines
	series    score.Series
	area      bool
	strong    bool
	gaps      bool // 0 is no value
	summarize func(score.Series) float64
}

// timePlot is a plot of series by the second with the run's faults. top 0: as high as the values are.
type timePlot struct {
	id, title, yName string
	height           pixels
	lines            []lineSpec
	top              float64
	log              bool
	text             func(float64) string // of values
	labels           bool                 // faults are named, not just numbered
}

// timeline is what all plots of a run have in common.
type timeline struct {
	end    float64
	faults []score.Fault
	marks  []score.Mark
}

func (t *timeline) plot(o timePlot) *plot {
	plot := newPlot(o.id, o.title, "seconds since the play's start", o.yName, o.height)
	levels := t.bands(plot, o.labels)
	n := 0
	for i := range o.lines {
		n = max(n, len(o.lines[i].series))
	}
	n = min(n, int(math.Ceil(t.end)))
	for i := range o.lines { // all as long as the plot
		whole := make(score.Series, n)
		copy(whole, o.lines[i].series)
		o.lines[i].series = whole
	}
	plot.TopEdge += pixels(14 * max(0, levels-1))
	plot.Height += pixels(14 * max(0, levels-1))
	plot.BottomEdge = plot.Height - 34
	yScale := scale{high: o.top, log: o.log}
	for i := range o.lines {
		l := &o.lines[i]
		if o.top == 0 {
			yScale.high = max(yScale.high, maxOf(l.series))
		}
		if o.log {
			for _, v := range l.series {
				if v > 0 && (yScale.low == 0 || v < yScale.low) {
					yScale.low = v
				}
			}
		}
	}
	if o.log {
		yScale.low, yScale.high = max(yScale.low, 0.1), max(yScale.high, 1)
		yScale.low = math.Pow(10, math.Floor(math.Log10(min(yScale.low, yScale.high/2))))
	} else if yScale.high *= 1.04; yScale.high == 0 {
		yScale.high = 1
	}
	seconds := func(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }
	plot.axes(scale{high: max(t.end, 1)}, yScale, seconds, func(v float64) string { return shorten(o.text(v)) })
	reported := make([]string, 0, len(o.lines))
	var texts []string // of the hovers
	each := 1
	for i := range o.lines {
		lineSpec := &o.lines[i]
		how := lineSpec.summarize
		if how == nil {
			how = meanOf
		}
		var of score.Series
		of, each = thinSeries(lineSpec.series, seriesColors, how)
		values, ys := make([]float64, len(of)), make([]float64, len(of))
		for k, v := range of {
			values[k] = min((float64(k)+0.5)*float64(each), t.end)
			if ys[k] = v; lineSpec.gaps && v == 0 || o.log && v <= 0 {
				ys[k] = math.NaN()
			}
			if len(texts) <= k {
				texts = append(texts, fmt.Sprintf("%d s", k*each))
			}
			texts[k] += " · " + lineSpec.name + " " + o.text(v)
		}
		class := lineSpec.class
		if class == "" {
			class = "s" + strconv.Itoa(i%6+1)
		}
		plot.add(class, lineSpec.name, values, ys, lineSpec.area, lineSpec.strong)
		reported = append(reported, fmt.Sprintf("%s: mean %s, greatest %s", lineSpec.name, o.text(meanOf(lineSpec.series)), o.text(maxOf(lineSpec.series))))
	}
	for k, text := range texts {
		for i, f := range t.faults[:min(len(t.faults), maxBands)] {
			if f.On < float64((k+1)*each) && (f.Off < 0 || f.Off > float64(k*each)) {
				text += fmt.Sprintf(" · fault %d", i+1)
			}
		}
		from, to := plot.xScale.at(float64(k*each)), plot.xScale.at(float64((k+1)*each))
		plot.Hovers = append(plot.Hovers, hover{from, to - from, text})
	}
	plot.Description = strings.Join(reported, "; ") + "."
	if len(t.faults) > 0 {
		plot.Description += fmt.Sprintf(" %s shown as bands.", plural(len(t.faults), "fault is", "faults are"))
	}
	return plot
}

// Bands are labelled as far as there is room for it.
const (
	maxBands   = 400
	labelLanes = 4
	runeWidth  = 6.0 // width of a character, on the safe side
)

// bands marks faults and marks, and tells how many lanes of labels they take.
func (t *timeline) bands(p *plot, named bool) (used int) {
	xScale := scale{high: max(t.end, 1), from: p.LeftEdge, to: p.RightEdge}
	ends := make([]pixels, labelLanes) // of the labels in each lane
	if !named {
		ends = ends[:1]
	}
	for i := range ends {
		ends[i] = p.LeftEdge - 100
	}
	for i, f := range t.faults[:min(len(t.faults), maxBands)] {
		off := f.Off
		if off < 0 {
			off = t.end
		}
		from, to := xScale.at(f.On), xScale.at(off)
		b := band{X: from, Width: max(to-from, 1.5), Text: fmt.Sprintf("%d. %s, from %s", i+1, f.Text, formatSeconds(f.On))}
		if f.Off >= 0 {
			b.Text += " to " + formatSeconds(f.Off)
		}
		labels := []string{strconv.Itoa(i + 1)}
		if named {
			labels = []string{truncateLine(fmt.Sprintf("%d %s", i+1, f.Text), 34), labels[0]}
		}
	fit:
		for _, text := range labels {
			wide := pixels(runeWidth * float64(len([]rune(text))))
			for level := range ends {
				at, end := from, from+wide
				if end > p.RightEdge {
					at, end = p.RightEdge-wide, p.RightEdge
				}
				if at < ends[level]+4 {
					continue
				}
				b.Label, b.LabelX, b.LabelY, ends[level] = text, at, pixels(18+14*level), end
				used = max(used, level+1)
				break fit
			}
		}
		p.Bands = append(p.Bands, b)
	}
	for _, m := range t.marks[:min(len(t.marks), maxBands)] {
		p.Marks = append(p.Marks, markLine{xScale.at(m.At), formatSeconds(m.At) + " " + m.Text})
	}
	return used
}

// strip is the occupancy of workers over time: a line for each, or for some that lie side by side.
type strip struct {
	ID, Title, Description           string
	Remark                           string
	Width, Height, LeftEdge, TopEdge pixels
	ScaleX, ScaleY                   string
	Levels                           []stripLevel
	XTicks, YTicks                   []tick
	Bands                            []band
	AreaW, AreaH                     pixels
}

// stripLevel is all cells of one shade, drawn as one path in units of cells.
type stripLevel struct {
	Class, D, Name string
}

const (
	stripCells = 240 // columns at most
	shades     = 8
)

func (t *timeline) strip(o *score.Occupancy) *strip {
	lines := o.Strip
	columns := 0
	for i := range lines {
		columns = max(columns, len(lines[i].Use))
	}
	each := max(1, (columns+stripCells-1)/stripCells)
	columns = (columns + each - 1) / each
	if columns == 0 || len(lines) == 0 {
		return nil
	}
	high := pixels(min(max(8, 320/len(lines)), 22))
	if len(lines) > 100 {
		high = 3
	}
	strip := &strip{
		ID: "strip", Title: "Occupancy of worker nodes over time", Width: plotWidth, LeftEdge: 62, TopEdge: 8, AreaW: plotWidth - 74,
		AreaH: high * pixels(len(lines)),
	}
	strip.Height = strip.TopEdge + strip.AreaH + 34
	cell := o.CellSeconds * float64(each)
	wide := strip.AreaW / pixels(columns)
	strip.ScaleX, strip.ScaleY = strconv.FormatFloat(float64(wide), 'f', 4, 64), high.String()
	paths := make([]strings.Builder, shades+1) // the last: none was up
	for line := range lines {
		use := lines[line].Use
		shade := func(c int) int {
			sum, n := 0.0, 0
			for _, x := range use[min(c*each, len(use)):min((c+1)*each, len(use))] {
				if x >= 0 {
					sum, n = sum+x, n+1
				}
			}
			if n == 0 {
				return shades
			}
			return min(int(sum/float64(n)*shades), shades-1)
		}
		for c := 0; c < columns; {
			level, from := shade(c), c
			for c < columns && shade(c) == level {
				c++
			}
			if level > 0 { // idle is the ground that all is drawn on
				fmt.Fprintf(&paths[level], "M%d %dh%dv1h-%dz", from, line, c-from, c-from)
			}
		}
	}
	for i := range paths {
		name := fmt.Sprintf("%d to %d%%", i*100/shades, (i+1)*100/shades)
		if i == shades {
			name = "not up"
		}
		strip.Levels = append(strip.Levels, stripLevel{"h" + strconv.Itoa(i), paths[i].String(), name})
	}
	x := scale{high: cell * float64(columns), from: strip.LeftEdge, to: strip.LeftEdge + strip.AreaW}
	strip.XTicks = x.ticks(12, func(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) })
	every := max(1, (len(lines)*14+int(strip.AreaH)-1)/int(strip.AreaH))
	for line := 0; line < len(lines); line += every {
		text := fmt.Sprint("w-", lines[line].First)
		strip.YTicks = append(strip.YTicks, tick{strip.TopEdge + (pixels(line)+0.5)*high, text})
	}
	for i, f := range t.faults[:min(len(t.faults), maxBands)] {
		from := x.at(f.On)
		strip.Bands = append(strip.Bands, band{X: from, Text: fmt.Sprintf("%d. %s", i+1, f.Text)})
	}
	if each := (len(o.Workers) + len(lines) - 1) / len(lines); each > 1 {
		strip.Remark = fmt.Sprintf("each line up to %d worker nodes side by side", each)
	}
	strip.Description = fmt.Sprintf("%s in %s, each cell %s. The fleet's occupancy is %s; the busiest, w-%d, has %s.",
		plural(len(o.Workers), "worker node", "worker nodes"), plural(len(lines), "line", "lines"), formatSeconds(cell),
		formatPercent(o.Whole), o.BusiestWorker, formatPercent(o.Busiest))
	return strip
}
