package score

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// mostBins bounds every series over time: a day by the second. What falls later counts in the last bin.
const mostBins = 86_400

// meter adds up a quantity over time, as far as a horizon: slots in use, say, in seconds.
type meter struct {
	at  time.Duration
	now float64
	sum float64
}

func (m *meter) add(at time.Duration, by float64) {
	m.until(at)
	m.now += by
}

func (m *meter) until(at time.Duration) {
	if at > m.at {
		m.sum += m.now * (at - m.at).Seconds()
		m.at = at
	}
}

// curve is the same bin by bin.
type curve struct {
	bin  time.Duration // width
	at   time.Duration
	now  float64
	sums []float64
}

func (c *curve) add(at time.Duration, by float64) {
	c.until(at)
	c.now += by
}

func (c *curve) until(at time.Duration) {
	for c.at < at {
		i := min(int(c.at/c.bin), mostBins-1)
		end := min(at, time.Duration(i+1)*c.bin)
		if i == mostBins-1 {
			end = at
		}
		c.sums = grown(c.sums, i)
		c.sums[i] += c.now * (end - c.at).Seconds()
		c.at = end
	}
}

// means are the quantity's means over each bin. The last bin is taken as far as it has come.
func (c *curve) means() Series {
	out := make(Series, len(c.sums))
	for i, sum := range c.sums {
		from := time.Duration(i) * c.bin
		if span := min(c.bin, c.at-from); i < mostBins-1 && span > 0 {
			out[i] = clean(sum / span.Seconds())
		}
	}
	return out
}

// grown is a slice with room for place i.
func grown[T any](s []T, i int) []T {
	if i < len(s) {
		return s
	}
	if i < cap(s) {
		return s[:i+1]
	}
	return append(s, make([]T, i+1-len(s))...)
}

// bin is the bin of a second.
func second(at time.Duration) int { return min(int(max(at, 0)/time.Second), mostBins-1) }

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
const longest = 10 * time.Minute

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), digits)
}

// Histograms of a whole play are kept to three digits, that of a second, which begins anew with each, to two.
const (
	fine   = 3
	coarse = 2
)

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Within its bounds a histogram takes every value.
	_ = h.RecordValue(min(max(d, time.Microsecond), longest).Microseconds())
}

func millis(us int64) float64 { return float64(us) / 1000 }

func latency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   millis(h.ValueAtQuantile(50)),
		P90:   millis(h.ValueAtQuantile(90)),
		P99:   millis(h.ValueAtQuantile(99)),
		P999:  millis(h.ValueAtQuantile(99.9)),
		Max:   millis(h.Max()),
	}
}

// past counts a quantity as if it had been there from the start until the present.
func (c *curve) past(q float64) {
	for i := range c.sums {
		from := time.Duration(i) * c.bin
		c.sums[i] += q * (min(c.at, from+c.bin) - from).Seconds()
	}
}
