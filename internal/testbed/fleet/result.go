package fleet

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds what a rig measured in one run.
type Result struct {
	// In the measurement window.
	OutcomeCounts         // outcomes of the clients' requests
	Window        float64 `json:"window_s"`
	P50           float64 `json:"p50_ms"` // latency of the requests that were served
	P90           float64 `json:"p90_ms"`
	P99           float64 `json:"p99_ms"`
	Busiest       float64 `json:"busiest"`      // jobs that the busiest worker finished, over the mean of all workers
	Started       int     `json:"begun"`        // jobs that workers started
	Finished      int     `json:"done"`         // jobs that workers finished
	CPU           float64 `json:"rig_cpu"`      // cores that the rig's engines used
	MaxCPU        float64 `json:"rig_cpu_most"` // share of its core that the busiest engine used
	Lateness50    float64 `json:"late_p50_ms"`  // of the rig's timers
	Lateness99    float64 `json:"late_p99_ms"`
	MaxLateness   float64 `json:"late_max_ms"`
	// In the whole run.
	All            OutcomeCounts   `json:"all"`
	Seconds        []OutcomeCounts `json:"seconds"`       // whole seconds, from the clients' start
	FailureReasons map[string]int  `json:"why,omitempty"` // number of failures by reason
	Requested      int             `json:"asked"`         // requests sent
	Settled        int             `json:"settled"`       // requests whose outcome is known
	Unexpected     int             `json:"odd"`           // malformed requests at workers, and those without an identifier
	CallbacksLost  int             `json:"notes_lost"`    // callbacks given up after the last attempt
	Descriptors    int             `json:"rig_descriptors"`
	Limit          int             `json:"descriptor_limit"` // of the rig's process
}

// Bounds on the rig's own lateness and use of its cores. Within them, a job of 20 ms is measured to 5%.
const (
	maxLateness50 = 0.5  // ms
	maxLateness99 = 2.0  // ms
	maxCPU        = 0.85 // of a core
)

// InvalidReason says why the rig itself may have limited the run; empty if it did not.
func (r *Result) InvalidReason() string {
	switch {
	case r.MaxCPU > maxCPU:
		return fmt.Sprintf("a core of the rig was busy for %.0f%% of the time, %.0f%% is allowed", 100*r.MaxCPU, 100*maxCPU)
	case r.Lateness50 > maxLateness50 || r.Lateness99 > maxLateness99:
		return fmt.Sprintf("the rig was late by %.2f ms (median) and %.2f ms (99th percentile), %.1f and %.1f are allowed",
			r.Lateness50, r.Lateness99, maxLateness50, maxLateness99)
	}
	return ""
}

// RigUsage counts what a scheduler used of a rig, in the whole run.
type RigUsage struct {
	Connections int `json:"connections"` // that workers accepted
	ListBytes   int `json:"list_bytes"`  // that discovery sent
}

// usage returns the counts of the whole run. It must be called after the run.
func (r *Rig) usage() RigUsage {
	var used RigUsage
	r.onEngines(func(index int, engine *engine) {
		if engine == r.discovery.engine {
			used.ListBytes = r.discovery.listBytes
		}
		for i := index; i < len(r.workers); i += len(r.engines) {
			used.Connections += r.workers[i].accepted
		}
	})
	return used
}

// resultBuilder sums up the figures of the rig's engines.
type resultBuilder struct {
	Result
	latency     *hdrhistogram.Histogram
	lateness    *hdrhistogram.Histogram
	maxFinished int // jobs of the busiest worker
}

// result sums up the run. length is how long the window was open.
func (r *Rig) result(length time.Duration) Result {
	builder := &resultBuilder{
		Result: Result{
			Window:         length.Seconds(),
			FailureReasons: map[string]int{},
			CallbacksLost:  int(r.callbacksLost.Load()),
			Descriptors:    countFiles("self"),
			Limit:          r.descriptors.limit,
		},
		latency:  newHistogram(),
		lateness: newHistogram(),
	}
	r.onEngines(func(index int, engine *engine) {
		builder.addClients(r.clientGroups[index])
		builder.addEngine(engine)
		for i := index; i < len(r.workers); i += len(r.engines) {
			builder.addWorker(r.workers[i])
		}
	})
	wholeSeconds := int((length + r.spec.WarmUp) / time.Second)
	return builder.build(len(r.workers), wholeSeconds)
}

func (b *resultBuilder) addClients(group *clientGroup) {
	b.add(group.window)
	for at, second := range group.seconds {
		if at >= len(b.Seconds) {
			b.Seconds = append(b.Seconds, OutcomeCounts{})
		}
		b.Seconds[at].add(second)
		b.All.add(second)
	}
	b.latency.Merge(group.latency)
	for reason, count := range group.failureReasons {
		b.FailureReasons[reason] += count
	}
	b.Requested += group.requested
	b.Settled += group.settled
}

func (b *resultBuilder) addEngine(engine *engine) {
	b.lateness.Merge(engine.lateness)
	cpu := engine.cpu.Seconds() / b.Window
	b.CPU += cpu
	b.MaxCPU = max(b.MaxCPU, cpu)
}

func (b *resultBuilder) addWorker(worker *worker) {
	b.Started += worker.started
	b.Finished += worker.finished
	b.Unexpected += worker.unexpected
	b.maxFinished = max(b.maxFinished, worker.finished)
}

// build derives the remaining figures. The last second is left out if it is incomplete.
func (b *resultBuilder) build(workers, wholeSeconds int) Result {
	if b.Finished > 0 {
		b.Busiest = float64(b.maxFinished) * float64(workers) / float64(b.Finished)
	}
	if len(b.Seconds) > wholeSeconds {
		b.Seconds = b.Seconds[:wholeSeconds]
	}
	b.P50, b.P90, b.P99 = quantile(b.latency, 50), quantile(b.latency, 90), quantile(b.latency, 99)
	b.Lateness50, b.Lateness99 = quantile(b.lateness, 50), quantile(b.lateness, 99)
	b.MaxLateness = quantile(b.lateness, 100)
	return b.Result
}

// maxRecorded bounds what the histograms record, in microseconds.
const maxRecorded = int64(time.Minute / time.Microsecond)

// newHistogram makes a histogram of times in microseconds.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecorded, 3) }

// record adds a time, limited to the range of the histogram.
func record(histogram *hdrhistogram.Histogram, span time.Duration) {
	_ = histogram.RecordValue(min(max(span.Microseconds(), 0), maxRecorded))
}

// quantile reads a percentile in milliseconds.
func quantile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}
