package fleet

import (
	"strings"
	"testing"
	"time"
)

// The connections and the list bytes of the real program grow within the bounds that the larger, standing growth test uses
// too. Figures that depend on the speed of the machine are not checked. Few clients send requests, and each waits for its
// response, so that few jobs run at once also on a slow machine.
func TestGrowth(t *testing.T) {
	if _, err := FindCores(); err != nil {
		t.Skip(err)
	}
	growth := &Growth{Workers: 20, Ratio: 10, Options: Options{
		Rig: childCommand("rig"), Binary: buildScheduler(t), Clients: 4, Jobs: 400, Length: time.Minute, Work: 20 * time.Millisecond,
		ChangeInterval: 500 * time.Millisecond, Sockets: 1000, MemoryMB: 64,
	}}
	report, err := MeasureGrowth(t.Context(), growth)
	if err != nil {
		t.Fatal(err)
	}
	for _, figures := range []*GrowthFigures{&report.Usual, &report.Large} {
		if figures.Requested == 0 || figures.Served <= 0 || figures.Connections == 0 || figures.ListBytes == 0 ||
			figures.CPU <= 0 || figures.Memory <= 0 || figures.Descriptors == 0 {
			t.Errorf("not measured: %+v", figures)
		}
	}
	for _, verdict := range report.Verdicts() {
		if verdict.IsCount {
			t.Logf("%s: %v, %v, allowed %v", verdict.Name, verdict.Usual, verdict.Large, verdict.Allowed)
		}
		if verdict.IsCount && !verdict.IsKept() {
			t.Errorf("bound exceeded: %+v", verdict)
		}
	}
}

// The bounds of the standing growth test, for 3,200 workers compared with 200: figures just within each bound are accepted,
// and figures just beyond it are not.
func TestGrowthVerdicts(t *testing.T) {
	report := &GrowthReport{
		Usual: GrowthFigures{
			Workers: 200, CPU: 0.24, Memory: 14, Descriptors: 300, Connections: 215, ListBytes: 40_000, Served: 1,
		},
		Large: GrowthFigures{
			Workers: 3200, CPU: 0.45, Memory: 41.8, Descriptors: 640, Connections: 577, ListBytes: 1_744_000, Served: 0.85,
		},
	}
	checkVerdicts := func(kept bool) {
		t.Helper()
		for _, verdict := range report.Verdicts() {
			if verdict.IsKept() != kept {
				t.Errorf("%+v: expected %v", verdict, kept)
			}
		}
	}
	checkVerdicts(true)
	report.Large = GrowthFigures{
		Workers: 3200, CPU: 0.46, Memory: 41.9, Descriptors: 641, Connections: 578, ListBytes: 1_744_001, Served: 0.84,
		Invalid: "the rig was late",
	}
	checkVerdicts(false)
	var b strings.Builder
	if err := report.Write(&b); err != nil || strings.Count(b.String(), "EXCEEDED") != 6 || !strings.Contains(b.String(), "void") {
		t.Errorf("table of six exceeded bounds and a void run: %v: %s", err, b.String())
	}
}
