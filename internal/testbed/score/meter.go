package score

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxBins bounds every series over time: a day by the second. What is later counts in the last bin.
const maxBins = 86_400

// rounding is what sums of floating-point numbers may differ from 0 by.
const rounding = 1e-9

// meter integrates a level over time, as in slots in use, in seconds.
type meter struct {
	updatedAt time.Duration
	level     float64
	integral  float64
}

// add changes the level at an instant.
func (m *meter) add(at time.Duration, change float64) {
	m.advanceTo(at)
	m.level += change
}

func (m *meter) advanceTo(at time.Duration) {
	if at > m.updatedAt {
		m.integral += m.level * (at - m.updatedAt).Seconds()
		m.updatedAt = at
	}
}

// binnedMeter integrates a level over time, bin by bin.
type binnedMeter struct {
	width     time.Duration // of a bin
	updatedAt time.Duration
	level     float64
	integrals []float64
}

func newBinnedMeter(width time.Duration, bins int) binnedMeter {
	return binnedMeter{width: width, integrals: make([]float64, 0, bins)}
}

// add changes the level at an instant.
func (b *binnedMeter) add(at time.Duration, change float64) {
	b.advanceTo(at)
	b.level += change
}

func (b *binnedMeter) advanceTo(at time.Duration) {
	for b.updatedAt < at {
		i := min(int(b.updatedAt/b.width), maxBins-1)
		end := min(at, time.Duration(i+1)*b.width)
		if i == maxBins-1 {
			end = at
		}
		b.integrals = growTo(b.integrals, i)
		b.integrals[i] += b.level * (end - b.updatedAt).Seconds()
		b.updatedAt = end
	}
}

// addFromStart counts a quantity as if it had been there from the start until the present.
func (b *binnedMeter) addFromStart(quantity float64) {
	for i := range b.integrals {
		from := time.Duration(i) * b.width
		b.integrals[i] += quantity * (min(b.updatedAt, from+b.width) - from).Seconds()
	}
}

// means returns the mean level of each bin. The last bin is taken as far as it has passed.
func (b *binnedMeter) means() Series {
	means := make(Series, len(b.integrals))
	for i, integral := range b.integrals {
		from := time.Duration(i) * b.width
		if passed := min(b.width, b.updatedAt-from); i < maxBins-1 && passed > 0 {
			means[i] = clean(integral / passed.Seconds())
		}
	}
	return means
}

// growTo returns a slice that has an index.
func growTo[T any](slice []T, index int) []T {
	if index < len(slice) {
		return slice
	}
	if index < cap(slice) {
		return slice[:index+1]
	}
	return append(slice, make([]T, index+1-len(slice))...)
}

// secondOf returns the bin of an instant, where bins are seconds.
func secondOf(at time.Duration) int { return min(int(max(at, 0)/time.Second), maxBins-1) }

// clean returns 0 for what is 0 but for errors of rounding.
func clean(value float64) float64 {
	if value < rounding && value > -rounding {
		return 0
	}
	return value
}

// share returns a part as a share of a whole; 0 if the whole is nothing.
func share(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return clean(part / whole)
}

// maxLatency is the longest latency of a histogram; longer ones count as that. Histograms are in microseconds.
const maxLatency = 10 * time.Minute

// Digits of histograms: of a whole run, and of a second, whose histogram is reset for the next.
const (
	latencyDigits = 3
	secondDigits  = 2
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

// record adds a latency to a histogram.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	// A histogram accepts every value within its bounds.
	_ = histogram.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds())
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

func latencyOf(histogram *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: histogram.TotalCount(),
		P50:   milliseconds(histogram.ValueAtQuantile(50)),
		P90:   milliseconds(histogram.ValueAtQuantile(90)),
		P99:   milliseconds(histogram.ValueAtQuantile(99)),
		P999:  milliseconds(histogram.ValueAtQuantile(99.9)),
		Max:   milliseconds(histogram.Max()),
	}
}
