package score

import "testing"

func TestKnee(t *testing.T) {
	for _, c := range []struct {
		ys     []float64
		better Sense
		at     int
		ok     bool
	}{
		{[]float64{1, 1, 1, 0.9, 0.4, 0.1}, Higher, 3, true},
		{[]float64{1, 1, 1, 0.1, 0, 0}, Higher, 2, true}, // where the fall begins, not where it ends
		{[]float64{1, 1, 1, 0.1, 0, 0}, Lower, 3, true},
		{[]float64{1, 2, 3, 4, 5, 6}, Neither, 0, false},
		{[]float64{1, 1, 1, 1, 1, 1}, Neither, 0, false},
		{[]float64{0, 4, 4.5, 4.8, 4.9, 5}, Higher, 1, true},
		{[]float64{0, 4, 4.5, 4.8, 4.9, 5}, Lower, 0, false},
	} {
		if at, ok := Knee([]float64{1, 2, 3, 4, 5, 6}, c.ys, c.better); ok != c.ok || ok && at != c.at {
			t.Errorf("%v: knee at %d, %v, want %d, %v", c.ys, at, ok, c.at, c.ok)
		}
	}
}
