package experiment

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"valvecove/internal/testbed/report"
	"valvecove/internal/testbed/scenario"
)

// VariedKey is a key of a scenario with the values that it takes.
type VariedKey struct {
	Key    string
	Values []string // in TOML
}

// maxSteps is the maximum number of values in a range.
const maxSteps = 1000

// ParseVariedKey reads "key=v1,v2,v3" or "key=from..to/steps" (numbers, both ends included).
func ParseVariedKey(text string) (VariedKey, error) {
	key, list, ok := splitChange(text)
	if !ok {
		return VariedKey{}, fmt.Errorf("%q: expected key=value,value or key=from..to/steps", text)
	}
	if strings.Contains(list, "..") {
		values, ok := parseRange(list)
		if !ok {
			return VariedKey{}, fmt.Errorf("%q: expected key=from..to/steps with numbers, and 2 to %d steps", text, maxSteps)
		}
		return VariedKey{Key: key, Values: values}, nil
	}
	vary := VariedKey{Key: key}
	for _, value := range splitValues(list) {
		value = strings.TrimSpace(value)
		if value == "" {
			return VariedKey{}, fmt.Errorf("%q: a value is empty", text)
		}
		vary.Values = append(vary.Values, value)
	}
	return vary, nil
}

// parseRange returns the values of "from..to/steps", evenly spaced and with both ends.
func parseRange(text string) (values []string, ok bool) {
	fromText, toAndSteps, _ := strings.Cut(text, "..")
	toText, stepsText, ok := strings.Cut(toAndSteps, "/")
	from, fromErr := strconv.ParseFloat(fromText, 64)
	to, toErr := strconv.ParseFloat(toText, 64)
	steps, stepsErr := strconv.Atoi(stepsText)
	if !ok || fromErr != nil || toErr != nil || stepsErr != nil || steps < 2 || steps > maxSteps {
		return nil, false
	}
	for i := range steps {
		value := from + (to-from)*float64(i)/float64(steps-1)
		values = append(values, strconv.FormatFloat(math.Round(value*1e9)/1e9, 'g', -1, 64))
	}
	return values, true
}

// splitValues splits a list at its commas, except those inside brackets, braces or quotes.
func splitValues(list string) []string {
	var all []string
	depth, quoted, from := 0, false, 0
	for i, c := range list {
		switch c {
		case '"':
			quoted = !quoted
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 0 && !quoted {
				all = append(all, list[from:i])
				from = i + 1
			}
		}
	}
	return append(all, list[from:])
}

// Variation runs one scenario with several values of one key, or of two.
type Variation struct {
	Spec        *scenario.Scenario
	Vary        VariedKey
	Curves      VariedKey // each value has its own curve; without values there is one curve
	Seeds       []uint64
	Driver      string
	Subject     Subject
	Figure      string // name of the headline figure that is drawn
	Parallelism int    // runs at once; 0: as many as there are processors
	Job         Job    // further settings of each run
}

// Run runs the scenario with each pair of values on all seeds. It checks all values before the first run. Unless it is nil,
// onProgress is called after each run.
func (v *Variation) Run(ctx context.Context, onProgress func(done, total int)) (*report.Variation, error) {
	result := &report.Variation{
		Title: v.Spec.Name, Description: v.Spec.Description, Param: v.Vary.Key, Second: v.Curves.Key, Metric: v.Figure,
		Scenario: string(scenario.Encode(v.Spec)), Build: v.Subject.Name,
	}
	curveValues := v.Curves.Values
	if len(curveValues) == 0 {
		curveValues = []string{""}
	}
	var jobs []Job
	for _, curveValue := range curveValues {
		result.Curves = append(result.Curves, report.Curve{Name: curveValue, Points: newPoints(v.Vary.Values)})
		for _, value := range v.Vary.Values {
			pointJobs, err := v.pointJobs(value, curveValue)
			if err != nil {
				return nil, err
			}
			jobs = append(jobs, pointJobs...)
		}
	}
	err := Batch(ctx, jobs, v.Parallelism, func(i int, run *RunResult) error {
		if onProgress != nil {
			onProgress(i+1, len(jobs))
		}
		pointNumber := i / len(v.Seeds)
		curve := &result.Curves[pointNumber/len(v.Vary.Values)]
		addToPoint(&curve.Points[pointNumber%len(v.Vary.Values)], run)
		return nil
	})
	if err != nil {
		return nil, err
	}
	for _, curve := range result.Curves {
		slices.SortStableFunc(curve.Points, func(a, b report.Point) int { return cmp.Compare(a.X, b.X) })
	}
	return result, nil
}

// newPoints returns the points of a curve: at the values if all are numbers, or else at 0, 1, 2 and so on with the values as
// labels.
func newPoints(values []string) []report.Point {
	points := make([]report.Point, len(values))
	for i, value := range values {
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return newLabelledPoints(values)
		}
		points[i].X = x
	}
	return points
}

func newLabelledPoints(values []string) []report.Point {
	points := make([]report.Point, len(values))
	for i, value := range values {
		points[i] = report.Point{X: float64(i), Label: value}
	}
	return points
}

// pointJobs returns the runs of a point, one for each seed.
func (v *Variation) pointJobs(value, curveValue string) ([]Job, error) {
	subject := v.Subject
	subject.Set = append(slices.Clone(subject.Set), v.Vary.Key+"="+value)
	if curveValue != "" {
		subject.Set = append(subject.Set, v.Curves.Key+"="+curveValue)
	}
	if _, err := ApplyChanges(v.Spec, subject.Set); err != nil {
		return nil, err
	}
	var jobs []Job
	for _, seed := range v.Seeds {
		job := v.Job
		job.Spec, job.Seed, job.Driver, job.Subject = v.Spec, seed, v.Driver, subject
		jobs = append(jobs, job)
	}
	return jobs, nil
}

func addToPoint(point *report.Point, run *RunResult) {
	point.Broken += run.Violations()
	if run.InvalidReason() == "" {
		point.Results = append(point.Results, run.Result())
	}
}
