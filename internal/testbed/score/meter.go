package score

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxBins is the maximum length of each series over time, a day of seconds. The last bin also counts everything later.
const maxBins = 86_400

// roundingTolerance is how much a sum of floating-point numbers that should be 0 may differ from 0.
const roundingTolerance = 1e-9

// meter integrates a level, such as the slots in use, over time in seconds.
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

// addFromStart counts a quantity as if it had been part of the level from the start of the run until updatedAt.
func (b *binnedMeter) addFromStart(quantity float64) {
	for i := range b.integrals {
		from := time.Duration(i) * b.width
		b.integrals[i] += quantity * (min(b.updatedAt, from+b.width) - from).Seconds()
	}
}

// means returns the mean level of each bin. The mean of the last bin is over the part of it that has passed.
func (b *binnedMeter) means() Series {
	means := make(Series, len(b.integrals))
	for i, integral := range b.integrals {
		from := time.Duration(i) * b.width
		if passed := min(b.width, b.updatedAt-from); i < maxBins-1 && passed > 0 {
			means[i] = withoutRoundingError(integral / passed.Seconds())
		}
	}
	return means
}

// growTo returns the slice, extended with zero values if it does not have the index.
func growTo[T any](slice []T, index int) []T {
	if index < len(slice) {
		return slice
	}
	if index < cap(slice) {
		return slice[:index+1]
	}
	return append(slice, make([]T, index+1-len(slice))...)
}

// secondOf returns the index of the bin of an instant in a series by the second.
func secondOf(at time.Duration) int { return min(int(max(at, 0)/time.Second), maxBins-1) }

// withoutRoundingError returns a value, or 0 if it differs from 0 only by a rounding error.
func withoutRoundingError(value float64) float64 {
	if value < roundingTolerance && value > -roundingTolerance {
		return 0
	}
	return value
}

// share returns a part as a share of a whole; 0 if the whole is 0.
func share(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return withoutRoundingError(part / whole)
}

// maxLatency is the longest latency that a histogram records; longer ones are recorded as maxLatency. Histograms are in
// microseconds.
const maxLatency = 10 * time.Minute

// Significant digits of histograms, of the whole run and of the current second.
const (
	latencyDigits = 3
	secondDigits  = 2
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

// record adds a latency to a histogram.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	// RecordValue fails only for values beyond the histogram's bounds.
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
