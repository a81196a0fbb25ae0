package fleet

import (
	"context"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// buildScheduler builds the real program, and returns its path.
func buildScheduler(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "valvecove")
	if output, err := exec.Command("go", "build", "-o", binary, "valvecove/cmd/valvecove").CombinedOutput(); err != nil {
		t.Fatalf("building the program: %v: %s", err, output)
	}
	return binary
}

// With the real program, the proxy and no scheduler, each of 50 jobs is served once. Measure fails if its context ends or if
// the scheduler's program ends.
func TestMeasure(t *testing.T) {
	options := Options{
		Rig: childCommand("rig"), Proxy: childCommand("proxy"), Binary: buildScheduler(t), Clients: 5, Jobs: 50,
		Length: time.Minute,
	}
	if _, err := FindCores(); err != nil {
		t.Skip(err)
	}
	scheduler := TableRow{"build", 5, true, 1}
	t.Run("each job is served once", func(t *testing.T) {
		report := &Report{}
		for _, measured := range []TableRow{scheduler, {"build", 5, false, 1}, {Proxy, 5, false, 0}, {Direct, 5, false, 0}} {
			figures := measureJobs(t, measured, options)
			report.Measurements = append(report.Measurements, figures, figures)
		}
		report.Measurements[1].Lateness99 = 2 * maxLateness99
		checkTable(t, report)
	})
	t.Run("cancelled", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := Measure(ctx, scheduler, options); err == nil {
			t.Error("Measure returned no error after the end of its context")
		}
	})
	t.Run("program that ends", func(t *testing.T) {
		options.Binary = "/bin/false"
		_, err := Measure(t.Context(), scheduler, options)
		if err == nil || !strings.Contains(err.Error(), "build ended") {
			t.Errorf("a scheduler's program that ends: got error %v, want one with \"build ended\"", err)
		}
	})
}

// measureJobs measures a row of 50 jobs, and expects each to be served once. It clears the rig's lateness and processor use,
// so that the run counts as valid: they do not matter in a test.
func measureJobs(t *testing.T, measured TableRow, options Options) Measurement {
	t.Helper()
	figures, err := Measure(t.Context(), measured, options)
	if err != nil {
		t.Fatalf("measuring %v: %v", measured, err)
	}
	hasSubject := measured.Subject != Direct
	if figures.All.Served != 50 || figures.Settled != 50+figures.All.Rejected || figures.All.Failed > 0 ||
		figures.Unexpected > 0 || figures.CallbacksLost > 0 || (figures.Descriptors > 0) != hasSubject ||
		len(figures.FailureReasons) > 0 {
		text, _ := json.Marshal(figures)
		t.Errorf("%v: not every job is served once: %s", measured, text)
	}
	figures.MaxCPU, figures.Lateness50, figures.Lateness99 = 0, 0, 0
	return figures
}

// checkTable expects a table of two header lines and four rows, one of which has an invalid run.
func checkTable(t *testing.T, report *Report) {
	t.Helper()
	var b strings.Builder
	if err := report.Table(&b); err != nil || strings.Count(b.String(), "\n") != 6 ||
		!strings.Contains(b.String(), "(1 void)") || !strings.Contains(b.String(), "| build | 5 | yes | right | ") {
		t.Errorf("unexpected table: %v: %s", err, b.String())
	}
}

// Recovery is the first whole second in which at least 95% of the rate before the disturbances is served.
func TestRecoveredAfter(t *testing.T) {
	figures := Measurement{Disturbances: []float64{2, 3.5}}
	for _, served := range []int{100, 100, 100, 3, 50, 94, 95} {
		figures.Seconds = append(figures.Seconds, OutcomeCounts{Served: served})
	}
	if got := figures.RecoveredAfter(); got != 2 {
		t.Errorf("recovered after %d s, want 2", got)
	}
	figures.Seconds = figures.Seconds[:6]
	if got := figures.RecoveredAfter(); got != -1 {
		t.Errorf("never recovered: got %d, want -1", got)
	}
}
