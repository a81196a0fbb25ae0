package score

import (
	"math"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Seconds has the series of a run. Those named Due count a job in the second in which it was due; the others count events in
// the second in which they happened.
type Seconds struct {
	DueJobs        Series        `json:"due_jobs"`
	DueValue       Series        `json:"due_worth"`
	DueValueEarned Series        `json:"due_worth_earned"`
	GoodputValue   Series        `json:"goodput_worth"`
	GoodputJobs    Series        `json:"goodput_jobs"`
	Served         Series        `json:"served_jobs"`
	Rejected       Series        `json:"refused_tries"`
	Attempts       Series        `json:"attempts"`
	InFlight       Series        `json:"in_flight"` // jobs due and not settled, mean over the second
	Occupancy      Series        `json:"occupancy"`
	WorkersUp      Series        `json:"nodes_up"`
	P50            Series        `json:"p50_ms"` // of jobs served in the second, in time or late; 0: none
	P99            Series        `json:"p99_ms"`
	MaxLatency     Series        `json:"max_ms"`
	Classes        []ClassSeries `json:"classes"`
}

// ClassSeries has the series of a class.
type ClassSeries struct {
	Name           string `json:"name"`
	DueJobs        Series `json:"due_jobs"`
	DueValue       Series `json:"due_worth"`
	DueValueEarned Series `json:"due_worth_earned"`
	GoodputValue   Series `json:"goodput_worth"`
	GoodputJobs    Series `json:"goodput_jobs"`
	Rejected       Series `json:"refused_tries"`
	InFlight       Series `json:"in_flight"`
}

// Series has a value for each second. In JSON its numbers have six significant digits.
type Series []float64

// seriesDigits is the number of significant digits in JSON.
const seriesDigits = 6

// MarshalJSON writes a list of numbers, with null for NaN and infinite values.
func (s Series) MarshalJSON() ([]byte, error) {
	text := append(make([]byte, 0, 2+8*len(s)), '[')
	for i, value := range s {
		if i > 0 {
			text = append(text, ',')
		}
		if math.IsNaN(value) || math.IsInf(value, 0) {
			text = append(text, "null"...)
			continue
		}
		text = strconv.AppendFloat(text, value, 'g', seriesDigits, 64)
	}
	return append(text, ']'), nil
}

// Sum returns the sum of the values.
func (s Series) Sum() float64 {
	sum := 0.0
	for _, value := range s {
		sum += value
	}
	return sum
}

// Max returns the largest value, or 0 if no value is above 0.
func (s Series) Max() float64 {
	largest := 0.0
	for _, value := range s {
		largest = max(largest, value)
	}
	return largest
}

// add adds the values of another series, which is not longer, second by second.
func (s Series) add(other Series) {
	for i, value := range other {
		s[i] += value
	}
}

// latencyPoint is the latency of a second's responses, in milliseconds.
type latencyPoint struct{ p50, p99, max float64 }

func newLatencyPoint(histogram *hdrhistogram.Histogram) latencyPoint {
	return latencyPoint{
		p50: milliseconds(histogram.ValueAtQuantile(50)),
		p99: milliseconds(histogram.ValueAtQuantile(99)),
		max: milliseconds(histogram.Max()),
	}
}

// seconds computes all series.
func (s *Score) seconds() Seconds {
	count := s.secondCount()
	series := func() Series { return make(Series, count) }
	result := Seconds{
		DueJobs: series(), DueValue: series(), DueValueEarned: series(), GoodputValue: series(), GoodputJobs: series(),
		Served: series(), Rejected: series(), Attempts: series(), InFlight: series(),
		P50: series(), P99: series(), MaxLatency: series(),
		Classes: make([]ClassSeries, len(s.classes)),
	}
	for i := range s.classes {
		class := &s.classes[i]
		for second := range class.bins {
			result.Served[second] += float64(class.bins[second].served)
			result.Attempts[second] += float64(class.bins[second].attempts)
		}
		result.Classes[i] = class.series(s.spec.Classes[i].Name, count, s.now)
		result.add(&result.Classes[i])
	}
	for second, point := range s.latency {
		result.setLatency(second, point)
	}
	if s.currentSecond.TotalCount() > 0 {
		result.setLatency(s.currentSecondIndex, newLatencyPoint(s.currentSecond))
	}
	s.workersUpCurve.advanceTo(s.now)
	result.WorkersUp = append(s.workersUpCurve.means(), series()...)[:count]
	result.Occupancy = append(s.fleet.series(s.now, 0), series()...)[:count]
	return result
}

// secondCount returns how many seconds the series have.
func (s *Score) secondCount() int {
	count := secondOf(s.now) + 1
	if s.now > 0 && s.now%time.Second == 0 && count > 1 {
		count-- // nothing of the last second has passed yet
	}
	for i := range s.classes { // a job may be counted at the very end of the run
		count = max(count, len(s.classes[i].bins))
	}
	return count
}

// series computes the series of a class.
func (g *group) series(name string, count int, now time.Duration) ClassSeries {
	series := func() Series { return make(Series, count) }
	result := ClassSeries{
		Name: name, DueJobs: series(), DueValue: series(), DueValueEarned: series(),
		GoodputValue: series(), GoodputJobs: series(), Rejected: series(), InFlight: series(),
	}
	for second := range g.bins {
		sums := &g.bins[second]
		result.DueJobs[second] = float64(sums.jobsDue)
		result.DueValue[second] = sums.requested
		result.DueValueEarned[second] = sums.earned
		result.GoodputValue[second] = sums.goodput
		result.GoodputJobs[second] = float64(sums.inTime)
		result.Rejected[second] = float64(sums.rejected)
	}
	g.inFlight.advanceTo(now)
	copy(result.InFlight, g.inFlight.means())
	return result
}

// add adds the series of a class to those of the whole run.
func (s *Seconds) add(class *ClassSeries) {
	s.DueJobs.add(class.DueJobs)
	s.DueValue.add(class.DueValue)
	s.DueValueEarned.add(class.DueValueEarned)
	s.GoodputValue.add(class.GoodputValue)
	s.GoodputJobs.add(class.GoodputJobs)
	s.Rejected.add(class.Rejected)
	s.InFlight.add(class.InFlight)
}

func (s *Seconds) setLatency(second int, point latencyPoint) {
	s.P50[second] = point.p50
	s.P99[second] = point.p99
	s.MaxLatency[second] = point.max
}
