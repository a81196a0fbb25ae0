package score

import (
	"reflect"
	"testing"
)

// Disturbances and recoveries are as expected on curves with dips to 40% of the value requested.
func TestDisturbances(t *testing.T) {
	curve := func(n int, dips ...[2]int) (requested, earned Series) {
		for i := range n {
			x := 10.0
			for _, d := range dips {
				if i >= d[0] && i < d[1] {
					x = 4
				}
			}
			requested, earned = append(requested, 10), append(earned, x)
		}
		return requested, earned
	}
	cases := []struct {
		name   string
		faults []Fault
		dips   [][2]int
		want   []Disturbance // without Faults, Before and Lowest
	}{
		{"no dip", []Fault{{"a", 10, 15}}, nil, []Disturbance{{From: 10, To: 15, Recovered: true}}},
		{
			"recovery before the fault ends",
			[]Fault{{"a", 10, 20}},
			[][2]int{{10, 13}},
			[]Disturbance{{From: 10, To: 20, HasDip: true, FromStart: 3, Recovered: true}},
		},
		{
			"recovery after the fault ends",
			[]Fault{{"a", 10.5, 15.5}},
			[][2]int{{10, 18}},
			[]Disturbance{{From: 10.5, To: 15.5, HasDip: true, FromStart: 7.5, FromEnd: 2.5, Recovered: true}},
		},
		{
			"a fault that does not end",
			[]Fault{{"a", 10, -1}},
			[][2]int{{11, 14}},
			[]Disturbance{{From: 10, To: 10, Lasting: true, HasDip: true, FromStart: 4, FromEnd: 4, Recovered: true}},
		},
		{
			"no recovery",
			[]Fault{{"a", 10, 12}},
			[][2]int{{10, 40}},
			[]Disturbance{{From: 10, To: 12, HasDip: true, FromStart: 30, FromEnd: 28}},
		},
		{
			"three faults, one disturbance",
			[]Fault{{"a", 10, 12}, {"b", 11, 13}, {"c", 15, 16}},
			[][2]int{{10, 19}},
			[]Disturbance{{From: 10, To: 16, HasDip: true, FromStart: 9, FromEnd: 3, Recovered: true}},
		},
		{
			"two disturbances",
			[]Fault{{"a", 10, 12}, {"b", 20, 22}},
			[][2]int{{10, 14}, {20, 21}},
			[]Disturbance{
				{From: 10, To: 12, HasDip: true, FromStart: 4, FromEnd: 2, Recovered: true},
				{From: 20, To: 22, HasDip: true, FromStart: 1, Recovered: true},
			},
		},
		{"a fault after the load", []Fault{{"a", 41, 42}}, nil, []Disturbance{}},
	}
	for _, c := range cases {
		requested, earned := curve(40, c.dips...)
		got := disturbances(c.faults, requested, earned, 40)
		for i := range got {
			if got[i].Before != 1 || got[i].HasDip != (got[i].Lowest >= 0.4 && got[i].Lowest < 0.95) {
				t.Errorf("%s: wrong Before, HasDip or Lowest: %+v", c.name, got[i])
			}
			got[i].Before, got[i].Lowest, got[i].Faults = 0, 0, nil
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s:\ngot  %+v\nwant %+v", c.name, got, c.want)
		}
	}
}
