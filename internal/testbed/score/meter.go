package score

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxBins bounds every series over time: a day by the second. What falls later counts in the last bin.
const maxBins = 86_400

// meter adds up a quantity over time, as far as a horizon: slots in use, say, in seconds.
type meter struct {
	updatedAt time.Duration
	level     float64
	integral  float64
}

func (m *meter) add(at time.Duration, by float64) {
	m.advanceTo(at)
	m.level += by
}

func (m *meter) advanceTo(at time.Duration) {
	if at > m.updatedAt {
		m.integral += m.level * (at - m.updatedAt).Seconds()
		m.updatedAt = at
	}
}

// binnedMeter is the same bin by bin.
type binnedMeter struct {
	width     time.Duration // width
	updatedAt time.Duration
	level     float64
	integrals []float64
}

func (c *binnedMeter) add(at time.Duration, by float64) {
	c.advanceTo(at)
	c.level += by
}

func (c *binnedMeter) advanceTo(at time.Duration) {
	for c.updatedAt < at {
		i := min(int(c.updatedAt/c.width), maxBins-1)
		end := min(at, time.Duration(i+1)*c.width)
		if i == maxBins-1 {
			end = at
		}
		c.integrals = growTo(c.integrals, i)
		c.integrals[i] += c.level * (end - c.updatedAt).Seconds()
		c.updatedAt = end
	}
}

// means are the quantity's means over each bin. The last bin is taken as far as it has come.
func (c *binnedMeter) means() Series {
	outputs := make(Series, len(c.integrals))
	for i, sum := range c.integrals {
		from := time.Duration(i) * c.width
		if span := min(c.width, c.updatedAt-from); i < maxBins-1 && span > 0 {
			outputs[i] = clean(sum / span.Seconds())
		}
	}
	return outputs
}

// growTo is a slice with room for place i.
func growTo[T any](s []T, i int) []T {
	if i < len(s) {
		return s
	}
	if i < cap(s) {
		return s[:i+1]
	}
	return append(s, make([]T, i+1-len(s))...)
}

// bin is the bin of a second.
func secondOf(at time.Duration) int { return min(int(max(at, 0)/time.Second), maxBins-1) }

// clean takes away what adding and taking away in floating point leaves over.
func clean(x float64) float64 {
	if x < 1e-9 && x > -1e-9 {
		return 0
	}
	return x
}

// share is a part of a whole; of nothing, none.
func share(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return clean(part / whole)
}

// Spans of time are kept in microseconds up to longest; what is longer counts as that.
const maxLatency = 10 * time.Minute

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

// Histograms of a whole run are kept to three digits, that of a second, which begins anew with each, to two.
const (
	latencyDigits = 3
	secondDigits  = 2
)

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Within its bounds a histogram takes every value.
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   milliseconds(h.ValueAtQuantile(50)),
		P90:   milliseconds(h.ValueAtQuantile(90)),
		P99:   milliseconds(h.ValueAtQuantile(99)),
		P999:  milliseconds(h.ValueAtQuantile(99.9)),
		Max:   milliseconds(h.Max()),
	}
}

// quantile counts a quantity as if it had been there from the start until the present.
func (c *binnedMeter) quantile(q float64) {
	for i := range c.integrals {
		from := time.Duration(i) * c.width
		c.integrals[i] += q * (min(c.updatedAt, from+c.width) - from).Seconds()
	}
}
