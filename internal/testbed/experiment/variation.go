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

// Vary is a key of a scenario and the values it takes.
type Vary struct {
	Key    string
	Values []string // as TOML has them
}

// ParseVary reads "key=v1,v2,v3" or "key=from..to/steps" (numbers, both ends included).
func ParseVary(text string) (Vary, error) {
	key, list, ok := splitChange(text)
	if !ok {
		return Vary{}, fmt.Errorf("%q: expected key=value,value or key=from..to/steps", text)
	}
	vary := Vary{Key: key}
	if from, remainder, isRange := strings.Cut(list, ".."); isRange {
		to, steps, ok := strings.Cut(remainder, "/")
		a, errA := strconv.ParseFloat(from, 64)
		b, errB := strconv.ParseFloat(to, 64)
		n, errN := strconv.Atoi(steps)
		if !ok || errA != nil || errB != nil || errN != nil || n < 2 || n > 1000 {
			return vary, fmt.Errorf("%q: expected key=from..to/steps with numbers, and 2 to 1000 steps", text)
		}
		for i := range n {
			x := a + (b-a)*float64(i)/float64(n-1)
			vary.Values = append(vary.Values, strconv.FormatFloat(math.Round(x*1e9)/1e9, 'g', -1, 64))
		}
		return vary, nil
	}
	for _, one := range splitValues(list) {
		if one = strings.TrimSpace(one); one == "" {
			return vary, fmt.Errorf("%q: a value is empty", text)
		}
		vary.Values = append(vary.Values, one)
	}
	return vary, nil
}

// splitValues parts a list at its commas, but not at those in brackets, braces or quotes.
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

// Variation is one scenario with one key, or two, taking several values.
type Variation struct {
	Spec        *scenario.Scenario
	Vary        Vary
	Curves      Vary // a curve for each; no values: one curve
	Seeds       []uint64
	Driver      string
	Subject     Subject
	Figure      string // the headline that is drawn
	Parallelism int
	Job         Job
}

// Run plays a sweep.
func (s *Variation) Run(ctx context.Context, notified func(done, of int)) (*report.Variation, error) {
	second := s.Curves.Values
	if len(second) == 0 {
		second = []string{""}
	}
	outputs := &report.Variation{
		Title: s.Spec.Name, Description: s.Spec.Description, Param: s.Vary.Key, Second: s.Curves.Key, Metric: s.Figure,
		Scenario: string(scenario.Encode(s.Spec)), Build: s.Subject.Name,
	}
	numbers := true
	for _, a := range s.Vary.Values {
		_, err := strconv.ParseFloat(a, 64)
		numbers = numbers && err == nil
	}
	var jobs []Job
	for _, b := range second {
		curve := report.Curve{Name: b}
		for k, a := range s.Vary.Values {
			point := report.Point{X: float64(k), Label: a}
			if numbers {
				point.X, _ = strconv.ParseFloat(a, 64)
				point.Label = ""
			}
			curve.Points = append(curve.Points, point)
			subject := s.Subject
			subject.Set = append(subject.Set[:len(subject.Set):len(subject.Set)], s.Vary.Key+"="+a)
			if b != "" {
				subject.Set = append(subject.Set, s.Curves.Key+"="+b)
			}
			if _, err := ApplyChanges(s.Spec, subject.Set); err != nil {
				return nil, err // before anything is played
			}
			for _, seed := range s.Seeds {
				job := s.Job
				job.Spec, job.Seed, job.Driver, job.Subject = s.Spec, seed, s.Driver, subject
				jobs = append(jobs, job)
			}
		}
		outputs.Curves = append(outputs.Curves, curve)
	}
	each := len(s.Seeds)
	err := Batch(ctx, jobs, s.Parallelism, func(i int, p *RunResult) error {
		if notified != nil {
			notified(i+1, len(jobs))
		}
		point := &outputs.Curves[i/each/len(s.Vary.Values)].Points[i/each%len(s.Vary.Values)]
		point.Broken += p.Violations()
		if p.InvalidReason() == "" {
			point.Results = append(point.Results, p.Result())
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	for i := range outputs.Curves {
		slices.SortStableFunc(outputs.Curves[i].Points, func(a, b report.Point) int { return cmp.Compare(a.X, b.X) })
	}
	return outputs, nil
}
