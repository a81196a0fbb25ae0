package report

import (
	"math"
	"strconv"
	"strings"
)

// pixels is a coordinate or a length in a drawing.
type pixels float64

// String returns the coordinate for SVG, to a tenth of a pixel.
func (p pixels) String() string {
	return strings.TrimSuffix(strconv.FormatFloat(float64(p), 'f', 1, 64), ".0")
}

// scale maps the values from low to high linearly or logarithmically to the coordinates between two pixels.
type scale struct {
	low, high float64
	log       bool
	from, to  pixels
}

// at returns the coordinate of a value. Values outside the scale are clamped to its ends.
func (s *scale) at(value float64) pixels {
	low, high := s.low, s.high
	if s.log {
		value = math.Log(max(value, s.low))
		low, high = math.Log(low), math.Log(high)
	}
	if high <= low {
		return s.from
	}
	fraction := min(max((value-low)/(high-low), 0), 1)
	return s.from + pixels(fraction)*(s.to-s.from)
}

// tick is a labelled position of an axis.
type tick struct {
	At   pixels
	Text string
}

// Tolerances for values that rounding errors place outside a scale: as a fraction of a step, and of the scale's end.
const (
	linearTolerance = 1e-9
	logTolerance    = 1e-3
)

// ticks returns ticks at round values, labelled by format. There may be slightly more than maxTicks.
func (s *scale) ticks(maxTicks int, format func(float64) string) []tick {
	values := s.linearTickValues(maxTicks)
	if s.log {
		values = s.logTickValues(maxTicks)
	}
	var ticks []tick
	for _, value := range values {
		ticks = append(ticks, tick{s.at(value), format(value)})
	}
	return ticks
}

// linearTickValues returns the multiples of a round step.
func (s *scale) linearTickValues(maxTicks int) []float64 {
	step := roundUp((s.high - s.low) / float64(maxTicks))
	if step <= 0 {
		return []float64{s.low}
	}
	var values []float64
	first := int(math.Ceil(s.low/step - linearTolerance))
	for i := first; float64(i)*step <= s.high+step*linearTolerance; i++ {
		values = append(values, float64(i)*step)
	}
	return values
}

// logTickValues returns the powers of ten and, unless there would be too many ticks, two and five times each.
func (s *scale) logTickValues(maxTicks int) []float64 {
	factors := []float64{1, 2, 5}
	if math.Log10(s.high/s.low) > float64(maxTicks)/2 {
		factors = factors[:1]
	}
	var values []float64
	low, high := s.low*(1-logTolerance), s.high*(1+logTolerance)
	for power := floorPowerOfTen(s.low); power <= high; power *= 10 {
		for _, factor := range factors {
			if value := power * factor; value >= low && value <= high {
				values = append(values, value)
			}
		}
	}
	return values
}

// floorPowerOfTen returns the largest power of ten that is not above a positive value.
func floorPowerOfTen(value float64) float64 { return math.Pow(10, math.Floor(math.Log10(value))) }

// roundUp returns the smallest number of the form 1, 2 or 5 times a power of ten that is not below a value, and 0 for a value
// that is not positive and finite.
func roundUp(value float64) float64 {
	if value <= 0 || isNotFinite(value) {
		return 0
	}
	power := floorPowerOfTen(value)
	for _, factor := range []float64{1, 2, 5} {
		if value <= power*factor*(1+linearTolerance) {
			return power * factor
		}
	}
	return power * 10
}

// formatTick formats a value of a horizontal axis.
func formatTick(value float64) string { return strconv.FormatFloat(value, 'g', 6, 64) }
