package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	noHint        = "none"
	maxHintFactor = 1e6
)

// ParseHint reads TableRow.Hint: a factor by which hints are wrong, such as 1, 30 or 1/30, or "none", which is 0.
func ParseHint(text string) (float64, error) {
	if text == noHint {
		return 0, nil
	}
	numerator, denominator, isFraction := strings.Cut(text, "/")
	factor, err := strconv.ParseFloat(numerator, 64)
	if err == nil && isFraction {
		var divisor float64
		divisor, err = strconv.ParseFloat(denominator, 64)
		factor /= divisor
	}
	inRange := factor > 0 && factor <= maxHintFactor // false for NaN
	if err != nil || !inRange {
		return 0, fmt.Errorf("hint %q: expected none, or a factor such as 1, 30 or 1/30", text)
	}
	return factor, nil
}

// hintText describes a hint's factor for a reader.
func hintText(factor float64) string {
	short := func(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }
	switch {
	case factor == 0:
		return noHint
	case factor == 1:
		return "right"
	case factor < 1:
		return short(1/factor) + " times too low"
	}
	return short(factor) + " times too high"
}
