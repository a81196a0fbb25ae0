package report

import (
	"math"
	"testing"
)

func TestFormats(t *testing.T) {
	for _, test := range []struct {
		name, got, want string
	}{
		{"number zero", formatNumber(0), "0"},
		{"number with thousands", formatNumber(1234.6), "1,235"},
		{"number below one", formatNumber(0.25), "0.250"},
		{"number above ten", formatNumber(12.34), "12.3"},
		{"number near zero", formatNumber(1e-9), "<0.001"},
		{"not a number", formatNumber(math.NaN()), noValue},
		{"negative number", formatNumber(-2.5), "-2.5"},
		{"negative count", formatCount(-1234567), "-1,234,567"},
		{"small count", formatCount(12), "12"},
		{"milliseconds", formatMillis(0.5), "0.500 ms"},
		{"milliseconds as seconds", formatMillis(1500), "1.50 s"},
		{"fraction near zero", formatPercent(0.0001), "<0.1%"},
		{"whole", formatPercent(1), "100.0%"},
		{"tick with unit", trimTickZeros("10.0 s"), "10 s"},
		{"tick with decimals", trimTickZeros("0.200"), "0.2"},
		{"tick with thousands", trimTickZeros("1,000"), "1,000"},
		{"bytes", formatBytes(3 << 20), "3 MiB"},
		{"line with control characters", truncateLine("a\x1b[1mbc", 4), "a [" + "…"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.got != test.want {
				t.Errorf("got %q, want %q", test.got, test.want)
			}
		})
	}
}
