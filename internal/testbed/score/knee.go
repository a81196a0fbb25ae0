package score

import "math"

const (
	minKneeDistance = 0.1 // from the chord, with both axes normalised to 0..1
	minKneePoints   = 3
)

// Knee returns the index of the point at which a curve bends most, and false if it has no knee. The points must be in order
// of x. Both axes are normalised to 0..1. The knee is the point farthest from the chord between the first and the last point,
// on the side of better values: if higher is better, it is where a falling curve begins to fall, or where a rising one levels
// off. With Neither, points on both sides count. A curve has no knee if it has fewer than minKneePoints
// points, a value that is not a number, or no point that is minKneeDistance away from the chord.
func Knee(x, y []float64, better Sense) (index int, ok bool) {
	count := min(len(x), len(y))
	if count < minKneePoints {
		return 0, false
	}
	normalX, okX := normalise(x[:count], x[0], x[count-1])
	low, high := bounds(y[:count])
	normalY, okY := normalise(y[:count], low, high)
	if !okX || !okY {
		return 0, false
	}
	slope := normalY[count-1] - normalY[0]
	largest := 0.0
	for i := 1; i < count-1; i++ {
		distance := (normalY[i] - normalY[0] - slope*normalX[i]) / math.Hypot(1, slope)
		switch better {
		case Lower:
			distance = -distance
		case Neither:
			distance = math.Abs(distance)
		}
		if distance > largest {
			index, largest = i, distance
		}
	}
	return index, largest >= minKneeDistance
}

// normalise maps values from low to high to 0..1, and returns false if high is not above low.
func normalise(values []float64, low, high float64) ([]float64, bool) {
	if !(high > low) || math.IsInf(high-low, 0) {
		return nil, false
	}
	normal := make([]float64, len(values))
	for i, value := range values {
		normal[i] = (value - low) / (high - low)
	}
	return normal, true
}

// bounds returns the smallest and the largest value, or NaN for both if any value is NaN.
func bounds(values []float64) (low, high float64) {
	low, high = values[0], values[0]
	for _, value := range values {
		low, high = min(low, value), max(high, value)
	}
	return low, high
}
