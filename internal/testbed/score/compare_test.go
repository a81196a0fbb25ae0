package score

import (
	"math"
	"testing"
)

func TestCompare(t *testing.T) {
	a := []float64{0.90, 0.80, 0.95, 0.70, 0.85}
	plus := func(xs []float64, by ...float64) []float64 {
		sums := make([]float64, len(xs))
		for i := range xs {
			sums[i] = xs[i] + by[i]
		}
		return sums
	}
	// Differences 1..5: mean 3, sd 1.5811, t(4) = 2.7764, half width 1.9632.
	p := Compare("x", "old", "new", make([]float64, 5), []float64{1, 2, 3, 4, 5}, Higher)
	if math.Abs(p.Low-1.0368) > 1e-4 || math.Abs(p.High-4.9632) > 1e-4 || math.Abs(p.P-0.013236) > 1e-5 || !p.Significant ||
		p.Verdict != "new is better: by 3, 95% sure of 1.04 to 4.96 over 5 seeds" {
		t.Errorf("comparison of differences 1 to 5: %+v", p)
	}
	for _, c := range []struct {
		b    []float64
		says string
	}{
		{plus(a, 0.01, -0.01, 0.02, -0.02, 0), "no difference seen: "},
		{a, "no difference: the same in all, over 5 seeds"},
		{plus(a, -0.1, -0.11, -0.09, -0.1, -0.1), "new is worse: by 0.1, "},
		{a[:1], "one seed tells nothing"},
		{[]float64{math.NaN()}, "nothing to compare"},
	} {
		if p := Compare("x", "old", "new", a, c.b, Higher); len(p.Verdict) < len(c.says) || p.Verdict[:len(c.says)] != c.says {
			t.Errorf("got %q, want %q", p.Verdict, c.says)
		}
	}
}
