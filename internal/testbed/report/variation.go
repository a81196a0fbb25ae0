package report

import (
	"encoding/json"
	"fmt"
	"iter"
	"strconv"
	"strings"

	"valvecove/internal/testbed/score"
)

// Variation has the runs over several values of a parameter. There may be a second parameter, with a curve for each of its
// values.
type Variation struct {
	Title       string
	Description string
	Param       string
	Second      string // name of the second parameter; empty: there is none
	Metric      string // the headline that is drawn; empty: mix
	Curves      []Curve
	Scenario    string // text of its file
	Build       string
}

// Curve has the runs with one value of the second parameter.
type Curve struct {
	Name   string
	Points []Point // in order of X
}

// Point has the runs with one value of the parameter, over several seeds.
type Point struct {
	X       float64
	Label   string // the value if it is not a number; X is its index then, from 1 on
	Results []*score.Result
	Broken  int // violations, over all runs
}

// headline returns the headline that is drawn.
func (v *Variation) headline() score.Headline {
	headline, ok := score.HeadlineOf(v.Metric)
	if !ok {
		return score.Headlines[0]
	}
	return headline
}

// points returns the points of all curves in their order.
func (v *Variation) points() iter.Seq[*Point] {
	return func(yield func(*Point) bool) {
		for i := range v.Curves {
			for k := range v.Curves[i].Points {
				if !yield(&v.Curves[i].Points[k]) {
					return
				}
			}
		}
	}
}

// label returns the point's value as text.
func (p *Point) label() string {
	if p.Label != "" {
		return p.Label
	}
	return strconv.FormatFloat(p.X, 'g', 6, 64)
}

// spread returns the spread of a headline at the point.
func (p *Point) spread(headline *score.Headline) score.Spread {
	return score.SpreadOf(headline.Values(p.Results))
}

// Knee returns the index of the point of a curve at which the drawn headline bends most, as score.Knee finds it. ok is false
// if there is none, or if values of the parameter are not numbers.
func (v *Variation) Knee(curve *Curve) (index int, ok bool) {
	headline := v.headline()
	var xs, ys []float64
	for i := range curve.Points {
		point := &curve.Points[i]
		if point.Label != "" {
			return 0, false
		}
		xs = append(xs, point.X)
		ys = append(ys, point.spread(&headline).Mean)
	}
	return score.Knee(xs, ys, headline.Better)
}

// describeKnee returns a text that says where a curve's knee is, or that there is none.
func (v *Variation) describeKnee(curve *Curve) string {
	name := v.Param
	if curve.Name != "" {
		name += " with " + v.Second + " " + curve.Name
	}
	index, ok := v.Knee(curve)
	if !ok {
		return "no knee over " + name
	}
	point, headline := &curve.Points[index], v.headline()
	return fmt.Sprintf("knee over %s at %s, where %s is %s", name, point.label(), headline.Name,
		formatFigure(headline.Name, point.spread(&headline).Mean))
}

// jsonPoint is the stored form of a point.
type jsonPoint struct {
	X       float64       `json:"x"`
	Label   string        `json:"label,omitempty"`
	Broken  int           `json:"rules_broken"`
	Figures spreadsByName `json:"figures"`
}

// jsonCurve is the stored form of a curve.
type jsonCurve struct {
	Name   string      `json:"name,omitempty"`
	Points []jsonPoint `json:"points"`
	Knee   *int        `json:"knee"` // null: none
}

// jsonVariation is the stored form of a variation.
type jsonVariation struct {
	Title  string      `json:"title"`
	About  string      `json:"about,omitempty"`
	Build  string      `json:"build,omitempty"`
	Param  string      `json:"parameter"`
	Second string      `json:"second_parameter,omitempty"`
	Figure string      `json:"figure"`
	Curves []jsonCurve `json:"curves"`
}

// MarshalJSON writes the spreads of all headlines at each point, and the knees.
func (v *Variation) MarshalJSON() ([]byte, error) {
	stored := jsonVariation{
		Title:  v.Title,
		About:  v.Description,
		Build:  v.Build,
		Param:  v.Param,
		Second: v.Second,
		Figure: v.headline().Name,
	}
	for i := range v.Curves {
		stored.Curves = append(stored.Curves, v.jsonCurve(&v.Curves[i]))
	}
	return json.Marshal(stored)
}

// jsonCurve returns the stored form of a curve.
func (v *Variation) jsonCurve(curve *Curve) jsonCurve {
	stored := jsonCurve{Name: curve.Name}
	if index, ok := v.Knee(curve); ok {
		stored.Knee = &index
	}
	for i := range curve.Points {
		point := &curve.Points[i]
		stored.Points = append(stored.Points, jsonPoint{point.X, point.Label, point.Broken, spreads(point.Results)})
	}
	return stored
}

// variationMetrics are the headlines in the table of a variation. The headline that is drawn replaces the first.
var variationMetrics = []string{"mix", "in_time", "worst_10s", "refused", "unanswered", "p50_ms", "p99_ms", "attempts", "waste"}

// table returns the table of a variation, with the knees marked.
func (v *Variation) table() table {
	names := append([]string{v.headline().Name}, variationMetrics[1:]...)
	figures := table{Caption: spreadCaption, Columns: []string{v.Param}}
	figures.Columns = append(figures.Columns, names...)
	figures.Columns = append(figures.Columns, "rules broken")
	for i := range v.Curves {
		v.addCurveRows(&figures, &v.Curves[i], names)
	}
	return figures
}

// addCurveRows adds the heading of a curve, if it has a name, and a table row for each of its points.
func (v *Variation) addCurveRows(figures *table, curve *Curve, names []string) {
	if curve.Name != "" {
		figures.addRow(strings.TrimSpace(v.Second + " " + curve.Name))
	}
	knee, hasKnee := v.Knee(curve)
	for i := range curve.Points {
		point := &curve.Points[i]
		label := point.label()
		if hasKnee && i == knee {
			label += " (knee)"
		}
		pointSpreads := spreads(point.Results)
		var cells []string
		for _, name := range names {
			cells = append(cells, formatSpread(name, pointSpreads[name]))
		}
		figures.addRow(label, append(cells, formatCount(point.Broken))...)
	}
}
