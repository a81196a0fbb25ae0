package report

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"valvecove/internal/testbed/score"
)

// Side is what was played with on one side of a comparison: Plays[i] has the same seed on all sides.
type Side struct {
	Name    string
	Results []*score.Result
	Broken  int // rules broken, over all plays
	Invalid int // plays that were no result and are not among Plays
}

// Comparison is several sides in the same plays. The first is what the others are compared with.
type Comparison struct {
	Title       string
	Description string
	Sides       []Side
	Scenario    string // its text
	Build       string
}

// Pairs are the paired differences of each further side from the first, by every headline.
func (c *Comparison) Pairs() [][]score.Paired {
	outputs := make([][]score.Paired, 0, len(c.Sides))
	for i := 1; i < len(c.Sides); i++ {
		a, b := &c.Sides[0], &c.Sides[i]
		outputs = append(outputs, score.CompareAll(a.Name, b.Name, a.Results, b.Results))
	}
	return outputs
}

// chanceRemark says what to make of many intervals at once.
const chanceRemark = "Each interval holds the true difference 95 times in 100; of twenty figures without any difference, " +
	"one will seem to have one."

// means are the spreads of all headlines, by name.
type means map[string]score.Spread

func spreads(plays []*score.Result) means {
	outputs := means{}
	for _, h := range score.Headlines {
		outputs[h.Name] = score.SpreadOf(h.Values(plays))
	}
	return outputs
}

// MarshalJSON writes spreads, each run's headlines, and paired differences, without the runs' series.
func (c *Comparison) MarshalJSON() ([]byte, error) {
	type side struct {
		Name    string         `json:"name"`
		Broken  int            `json:"rules_broken"`
		Void    int            `json:"plays_void"`
		Figures means          `json:"figures"`
		Plays   []jsonHeadline `json:"plays"`
	}
	outputs := struct {
		Title   string           `json:"title"`
		About   string           `json:"about,omitempty"`
		Build   string           `json:"build,omitempty"`
		Sides   []side           `json:"sides"`
		Pairs   [][]score.Paired `json:"paired"`
		Reading string           `json:"reading"`
	}{Title: c.Title, About: c.Description, Build: c.Build, Pairs: c.Pairs(), Reading: chanceRemark}
	for _, s := range c.Sides {
		outputs.Sides = append(outputs.Sides, side{s.Name, s.Broken, s.Invalid, spreads(s.Results), headlines(s.Results)})
	}
	return json.Marshal(outputs)
}

// jsonHeadline is a run's headlines; null where there is none.
type jsonHeadline struct {
	Seed    uint64              `json:"seed"`
	Figures map[string]*float64 `json:"figures"`
}

func headlines(plays []*score.Result) []jsonHeadline {
	outputs := make([]jsonHeadline, len(plays))
	for i, r := range plays {
		outputs[i] = jsonHeadline{r.Seed, map[string]*float64{}}
		for _, h := range score.Headlines {
			if x := h.ValueOf(r); isNotFinite(x) {
				outputs[i].Figures[h.Name] = nil
			} else {
				outputs[i].Figures[h.Name] = &x
			}
		}
	}
	return outputs
}

// formatFigure writes a headline's figure in its unit.
func formatFigure(name string, value float64) string {
	switch {
	case isNotFinite(value):
		return noValue
	case strings.HasSuffix(name, "_ms"):
		return formatMillis(value)
	case name == "recovered_within":
		return formatSeconds(value)
	case slices.Contains([]string{"served", "refused", "failed", "unanswered", "lost", "waste"}, name):
		return formatPercent(value)
	}
	return strconv.FormatFloat(value, 'f', 3, 64)
}

// withSpread writes a mean and how far its interval reaches.
func withSpread(name string, s score.Spread) string {
	if s.N == 0 {
		return noValue
	}
	text := formatFigure(name, s.Mean)
	if s.N > 1 && s.High > s.Low {
		text += " ± " + formatFigure(name, (s.High-s.Low)/2)
	}
	return text
}

// colour of what a paired difference says.
func (c *Comparison) class(p *score.Paired) string {
	switch h, _ := score.HeadlineOf(p.Metric); {
	case !p.Significant || h.Better == score.Neither:
		return ""
	case (p.Difference > 0) == (h.Better == score.Higher):
		return "good"
	}
	return "poor"
}

// ComparePage writes a comparison for a terminal.
func ComparePage(w io.Writer, comparison *Comparison) error {
	textPage := &textPage{colour: useColors(w)}
	textPage.line(strong, "%s", comparison.Title)
	wide := min(20, (pageWidth-18)/max(1, len(comparison.Sides)))
	line := fmt.Sprintf("%-18s", "")
	for _, s := range comparison.Sides {
		line += fmt.Sprintf("%*s", wide, truncateLine(s.Name, max(wide-1, 1)))
	}
	textPage.line(faint, "%s", line)
	all := make([]means, len(comparison.Sides))
	for i, s := range comparison.Sides {
		all[i] = spreads(s.Results)
	}
	for _, h := range score.Headlines {
		line := fmt.Sprintf("%-18s", h.Name)
		for i := range comparison.Sides {
			text := withSpread(h.Name, all[i][h.Name])
			if wide < 18 {
				text, _, _ = strings.Cut(text, " ±")
			}
			line += fmt.Sprintf("%*s", wide, text)
		}
		textPage.line(plain, "%s", line)
	}
	line = fmt.Sprintf("%-18s", "rules broken")
	for _, s := range comparison.Sides {
		line += fmt.Sprintf("%*d", wide, s.Broken)
	}
	textPage.line(plain, "%s", line)
	for i, list := range comparison.Pairs() {
		textPage.line(plain, "")
		textPage.line(strong, "%s against %s", comparison.Sides[i+1].Name, comparison.Sides[0].Name)
		for k := range list {
			x := &list[k]
			textPage.line(map[string]string{"good": good, "poor": poor}[comparison.class(x)], "  %-18s%s", x.Metric, x.Verdict)
		}
	}
	short, _, _ := strings.Cut(chanceRemark, ";")
	textPage.line(faint, "%s", short+".")
	_, err := io.WriteString(w, textPage.text.String())
	return err
}

// meanSeries is the mean of a series over plays, second by second.
func meanSeries(plays []*score.Result, of func(*score.Seconds) score.Series) score.Series {
	var sum score.Series
	var n []float64
	for _, r := range plays {
		for k, x := range of(&r.Seconds) {
			if k == len(sum) {
				sum, n = append(sum, 0), append(n, 0)
			}
			sum[k] += x
			n[k]++
		}
	}
	for k := range sum {
		sum[k] /= n[k]
	}
	return sum
}

// WriteCompare writes a comparison as one file of HTML: the sides' figures, their goodput over each other, and the
// paired differences.
func WriteCompare(w io.Writer, c *Comparison) error {
	document := &document{Title: c.Title, Description: c.Description}
	if c.Build != "" {
		document.Summary = append(document.Summary, "Played with "+c.Build)
	}
	figures := table{Caption: "Means over the seeds, and how far the 95% interval of each reaches", Columns: []string{""}}
	t := &timeline{}
	var lines, kept []lineSpec
	all := make([]means, len(c.Sides))
	broken, void, plays := []string{}, []string{}, []string{}
	for i, side := range c.Sides {
		figures.Columns = append(figures.Columns, side.Name)
		all[i] = spreads(side.Results)
		broken, void = append(broken, formatCount(side.Broken)), append(void, formatCount(side.Invalid))
		plays = append(plays, formatCount(len(side.Results)))
		length := 0.0
		for _, r := range side.Results {
			length = max(length, r.Length)
			if t.end = max(t.end, r.Length); len(t.faults) == 0 {
				for _, f := range r.Faults {
					f.Text, _, _ = strings.Cut(f.Text, ":") // without whom it strikes
					t.faults = append(t.faults, f)
				}
			}
		}
		sent := meanSeries(side.Results, func(s *score.Seconds) score.Series { return s.DueValue })
		earned := meanSeries(side.Results, func(s *score.Seconds) score.Series { return s.DueValueEarned })
		if i == 0 {
			lines = append(lines, lineSpec{name: "asked for", series: sent, area: true})
		}
		if len(lines) < 6 {
			lines = append(lines, lineSpec{name: side.Name, series: meanSeries(side.Results,
				func(s *score.Seconds) score.Series { return s.GoodputValue })})
			kept = append(kept, lineSpec{name: side.Name, class: fmt.Sprint("s", len(lines)), series: ratio(sent, earned, length)})
		}
	}
	for _, h := range score.Headlines {
		line := make([]string, len(c.Sides))
		for i := range c.Sides {
			line[i] = withSpread(h.Name, all[i][h.Name])
		}
		figures.addRow(h.Name+", "+h.Description, line...)
	}
	figures.addRow("rules broken", broken...)
	figures.addRow("plays", plays...)
	figures.addRow("plays that were void, left out", void...)
	document.Sections = append(document.Sections, section{ID: "figures", Title: "Side by side", Tables: []table{figures}})
	ended := section{
		ID: "seconds", Title: "Over time",
		Text: []string{"Means over the seeds. Faults strike whom the seed draws; their bands are those of the first."},
	}
	if t.end > 0 {
		ended.Plots = []*plot{
			t.plot(timePlot{
				id: "goodput", title: "Goodput", yName: "worth a second", height: 300, text: formatNumber, labels: true,
				lines: lines,
			}),
			t.plot(timePlot{
				id: "kept", title: "Share of the worth due in a second that was earned",
				yName: "mean of two seconds", height: 240, top: 1, text: formatPercent, lines: kept,
			}),
		}
		document.Sections = append(document.Sections, ended)
	}
	for i, list := range c.Pairs() {
		x := table{Columns: []string{"", "difference", "95% interval", "spread (SD)", "p", "in words"}, TextColumns: true}
		for k := range list {
			p := &list[k]
			x.addRow(p.Metric, formatNumber(p.Difference), formatNumber(p.Low)+" to "+formatNumber(p.High), formatNumber(p.SD), formatNumber(p.P), p.Verdict)
			x.setClass(strings.TrimSpace("text "+c.class(p)), 5)
		}
		s := section{
			ID: fmt.Sprint("pairs-", i+1), Title: c.Sides[i+1].Name + " against " + c.Sides[0].Name,
			Tables: []table{x},
		}
		s.Text = []string{"Differences are of plays with the same seed. " + chanceRemark}
		document.Sections = append(document.Sections, s)
	}
	if c.Scenario != "" {
		document.Sections = append(document.Sections, scenarioText(c.Scenario))
	}
	return document.write(w)
}

// Variation is plays over the values of a parameter, and perhaps of a second: a curve for each of those.
type Variation struct {
	Title       string
	Description string
	Param       string
	Second      string // empty: there is but one curve
	Metric      string // the headline that is drawn; empty: mix
	Curves      []Curve
	Scenario    string // its text
	Build       string
}

// Curve is the runs with one value of the second parameter.
type Curve struct {
	Name   string
	Points []Point // in order of X
}

// Point is the runs with one value of the parameter, over some seeds.
type Point struct {
	X       float64
	Label   string // of a value that is no number; then X counts them
	Results []*score.Result
	Broken  int
}

func (s *Variation) headline() score.Headline {
	h, ok := score.HeadlineOf(s.Metric)
	if !ok {
		return score.Headlines[0]
	}
	return h
}

func (p *Point) label() string {
	if p.Label != "" {
		return p.Label
	}
	return strconv.FormatFloat(p.X, 'g', 6, 64)
}

// Knee is the point of a curve where the sweep's figure bends most, as score.Knee finds it; not ok: there is none,
// as with values that are no numbers.
func (s *Variation) Knee(c *Curve) (at int, ok bool) {
	h := s.headline()
	var xs, ys []float64
	for i := range c.Points {
		if c.Points[i].Label != "" {
			return 0, false
		}
		xs, ys = append(xs, c.Points[i].X), append(ys, score.SpreadOf(h.Values(c.Points[i].Results)).Mean)
	}
	return score.Knee(xs, ys, h.Better)
}

// knee says it in words.
func (s *Variation) knee(curve *Curve) string {
	name := s.Param
	if curve.Name != "" {
		name += " with " + s.Second + " " + curve.Name
	}
	at, ok := s.Knee(curve)
	if !ok {
		return "no knee over " + name
	}
	h := s.headline()
	return fmt.Sprintf("knee over %s at %s, where %s is %s", name, curve.Points[at].label(), h.Name,
		formatFigure(h.Name, score.SpreadOf(h.Values(curve.Points[at].Results)).Mean))
}

// MarshalJSON writes spreads of all headlines at each point, and the knees.
func (s *Variation) MarshalJSON() ([]byte, error) {
	type point struct {
		X       float64 `json:"x"`
		Label   string  `json:"label,omitempty"`
		Broken  int     `json:"rules_broken"`
		Figures means   `json:"figures"`
	}
	type curve struct {
		Name   string  `json:"name,omitempty"`
		Points []point `json:"points"`
		Knee   *int    `json:"knee"` // null: none
	}
	outputs := struct {
		Title  string  `json:"title"`
		About  string  `json:"about,omitempty"`
		Build  string  `json:"build,omitempty"`
		Param  string  `json:"parameter"`
		Second string  `json:"second_parameter,omitempty"`
		Figure string  `json:"figure"`
		Curves []curve `json:"curves"`
	}{Title: s.Title, About: s.Description, Build: s.Build, Param: s.Param, Second: s.Second, Figure: s.headline().Name}
	for i := range s.Curves {
		c := &s.Curves[i]
		x := curve{Name: c.Name}
		if at, ok := s.Knee(c); ok {
			x.Knee = &at
		}
		for _, p := range c.Points {
			x.Points = append(x.Points, point{p.X, p.Label, p.Broken, spreads(p.Results)})
		}
		outputs.Curves = append(outputs.Curves, x)
	}
	return json.Marshal(outputs)
}

// variationMetrics are the headlines that a sweep's table shows beside the one that is drawn.
var variationMetrics = []string{"mix", "in_time", "worst_10s", "refused", "unanswered", "p50_ms", "p99_ms", "attempts", "waste"}

// table is a sweep's, with the knees marked.
func (s *Variation) table() table {
	names := append([]string{}, variationMetrics...)
	if h := s.headline().Name; h != "mix" {
		names[0] = h
	}
	t := table{Caption: "Means over the seeds, and how far the 95% interval of each reaches", Columns: []string{s.Param}}
	t.Columns = append(append(t.Columns, names...), "rules broken")
	for i := range s.Curves {
		c := &s.Curves[i]
		knee, ok := s.Knee(c)
		if c.Name != "" {
			t.addRow(strings.TrimSpace(s.Second + " " + c.Name))
		}
		for k := range c.Points {
			p := &c.Points[k]
			all := spreads(p.Results)
			var line []string
			for _, name := range names {
				line = append(line, withSpread(name, all[name]))
			}
			first := p.label()
			if ok && k == knee {
				first += " (knee)"
			}
			t.addRow(first, append(line, formatCount(p.Broken))...)
		}
	}
	return t
}

// VariationPage writes a parameter variation for a terminal.
func VariationPage(w io.Writer, variation *Variation) error {
	textPage := &textPage{colour: useColors(w)}
	textPage.line(strong, "%s", variation.Title)
	t, headline := variation.table(), variation.headline()
	t.Columns[len(t.Columns)-1] = "broken"
	columns := []int{0, 1, 4, 6, 7, 8, 9, len(t.Columns) - 1}
	width := []int{24, 16, 10, 10, 10, 8, 8, 8}
	cut := func(text string) string { before, _, _ := strings.Cut(text, " ±"); return before }
	first := ""
	for i, c := range columns {
		if i == 0 {
			width[i] = -width[i] // to the left
		}
		first += fmt.Sprintf("%*s", width[i], truncateLine(t.Columns[c], max(width[i], -width[i])-1))
	}
	textPage.line(faint, "%s", first)
	for _, cells := range t.Lines {
		if len(cells) == 1 {
			textPage.line(strong, "%s", cells[0].Text)
			continue
		}
		line := fmt.Sprintf("%*s%*s", width[0], truncateLine(cells[0].Text, -width[0]-1), width[1], cells[1].Text)
		for i, c := range columns[2:] {
			line += fmt.Sprintf("%*s", width[i+2], cut(cells[c].Text))
		}
		textPage.line(plain, "%s", line)
	}
	for i := range variation.Curves {
		c := &variation.Curves[i]
		var ys score.Series
		for k := range c.Points {
			ys = append(ys, score.SpreadOf(headline.Values(c.Points[k].Results)).Mean)
		}
		textPage.line(plain, "%s  %s", sparkline(ys, ys.Max()), variation.knee(c))
	}
	_, err := io.WriteString(w, textPage.text.String())
	return err
}

// WriteVariation writes a sweep as one file of HTML: the curves with their knees, and a table.
func WriteVariation(w io.Writer, variation *Variation) error {
	h := variation.headline()
	document := &document{Title: variation.Title, Description: variation.Description}
	if variation.Build != "" {
		document.Summary = append(document.Summary, "Played with "+variation.Build)
	}
	curves := section{
		ID: "curve", Title: "The curve and its knee", Plots: []*plot{variation.plot(h)},
		Text: []string{"Each point is the mean over the seeds, with its 95% interval. With both axes brought to 0 to 1, " +
			"the knee is the point farthest from the straight line between the first point and the last, on its better " +
			"side; a curve that does not leave that line by a tenth there has none."},
	}
	for i := range variation.Curves {
		text := variation.knee(&variation.Curves[i])
		curves.Text = append(curves.Text, strings.ToUpper(text[:1])+text[1:]+".")
	}
	document.Sections = []section{curves, {ID: "figures", Title: "Figures", Tables: []table{variation.table()}}}
	if variation.Scenario != "" {
		document.Sections = append(document.Sections, scenarioText(variation.Scenario))
	}
	return document.write(w)
}

func (s *Variation) plot(h score.Headline) *plot {
	plot := newPlot("sweep", h.Name+" over "+s.Param, s.Param, h.Description, 380)
	xScale := scale{low: math.Inf(1), high: math.Inf(-1)}
	yScale := scale{}
	labels := map[float64]string{}
	for _, c := range s.Curves {
		for _, pt := range c.Points {
			xScale.low, xScale.high = min(xScale.low, pt.X), max(xScale.high, pt.X)
			if pt.Label != "" {
				labels[pt.X] = pt.Label
			}
			if sp := score.SpreadOf(h.Values(pt.Results)); sp.N > 0 {
				yScale.high = max(yScale.high, sp.High)
				yScale.low = min(yScale.low, sp.Low)
			}
		}
	}
	if xScale.low > xScale.high {
		xScale.low, xScale.high = 0, 1
	}
	if len(labels) == 0 && xScale.low > 0 && xScale.high/xScale.low >= 50 {
		xScale.log = true // fleets of 10 to 10,000
	} else if pad := (xScale.high - xScale.low) * 0.02; pad > 0 {
		xScale.low, xScale.high = xScale.low-pad, xScale.high+pad
	}
	if yScale.high = roundUp(yScale.high); yScale.high == 0 {
		yScale.high = 1
	}
	plot.axes(xScale, yScale, func(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) },
		func(v float64) string { return shorten(formatFigure(h.Name, v)) })
	if len(labels) > 0 {
		plot.XTicks = nil
		for _, c := range s.Curves {
			for _, pt := range c.Points {
				if labels[pt.X] != "" {
					plot.XTicks = append(plot.XTicks, tick{plot.xScale.at(pt.X), labels[pt.X]})
					delete(labels, pt.X)
				}
			}
		}
	}
	var reported []string
	for i := range s.Curves {
		curve := &s.Curves[i]
		class := "s" + strconv.Itoa(i%6+1)
		knee, ok := s.Knee(curve)
		var values, ys []float64
		for k := range curve.Points {
			pt := &curve.Points[k]
			sp := score.SpreadOf(h.Values(pt.Results))
			values, ys = append(values, pt.X), append(ys, sp.Mean)
			if sp.N == 0 {
				ys[k] = math.NaN()
				continue
			}
			plot.Dots = append(plot.Dots, dot{
				plot.xScale.at(pt.X), plot.yScale.at(sp.Mean), plot.yScale.at(sp.Low), plot.yScale.at(sp.High), class,
				strings.TrimSpace(curve.Name + " " + pt.label() + ": " + withSpread(h.Name, sp)), ok && k == knee,
			})
		}
		name := curve.Name
		if name == "" {
			name = h.Name
		} else if s.Second != "" {
			name = s.Second + " " + name
		}
		plot.add(class, name, values, ys, false, false)
		reported = append(reported, s.knee(curve))
	}
	plot.Description = strings.Join(reported, "; ") + "."
	return plot
}
