package fleet

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
)

const growthSubject = "valvecove" // also the name of the scheduler's log file

// Growth describes a comparison of the resources that one scheduler uses with the same traffic at two sizes of the fleet.
// These may grow only within bounds (GrowthReport.Verdicts). Options are the settings of both runs.
type Growth struct {
	Options
	Workers int // at the usual size
	Ratio   int // of the larger number of workers to the usual one
}

// GrowthFigures are the resources that a scheduler used, and the outcomes of the requests.
type GrowthFigures struct {
	Workers     int     `json:"workers"`
	CPU         float64 `json:"cpu_s"`       // processor time from the start on
	Memory      float64 `json:"memory_mb"`   // peak
	Descriptors int     `json:"descriptors"` // highest number sampled
	Connections int     `json:"connections"` // opened to workers
	ListBytes   int     `json:"list_bytes"`  // of endpoint lists and their changes, received from discovery
	Requested   int     `json:"requested"`
	Rejected    int     `json:"rejected"`
	Failed      int     `json:"failed"`
	Served      float64 `json:"served"`  // share of the settled requests
	P50         float64 `json:"p50_ms"`  // latency of those served
	Busiest     float64 `json:"busiest"` // jobs of the busiest worker, over the mean of all workers
	Invalid     string  `json:"invalid,omitempty"`
}

// GrowthReport has the figures of both sizes.
type GrowthReport struct {
	Usual GrowthFigures `json:"usual"`
	Large GrowthFigures `json:"large"`
}

// MeasureGrowth measures both sizes, one after the other.
func MeasureGrowth(ctx context.Context, growth *Growth) (GrowthReport, error) {
	var report GrowthReport
	var err error
	if report.Usual, err = growth.measure(ctx, growth.Workers); err != nil {
		return report, err
	}
	report.Large, err = growth.measure(ctx, growth.Workers*growth.Ratio)
	return report, err
}

func (g *Growth) measure(ctx context.Context, workers int) (GrowthFigures, error) {
	tableRow := TableRow{Subject: growthSubject, Workers: workers, StartNotifications: true, Hint: 1}
	measured, used, err := measure(ctx, tableRow, g.Options)
	if err != nil {
		return GrowthFigures{}, fmt.Errorf("%d workers: %w", workers, err)
	}
	return GrowthFigures{
		Workers:     workers,
		CPU:         used.CPU.Seconds(),
		Memory:      measured.Memory,
		Descriptors: measured.Descriptors,
		Connections: used.Connections,
		ListBytes:   used.ListBytes,
		Requested:   measured.Requested,
		Rejected:    measured.All.Rejected,
		Failed:      measured.All.Failed,
		Served:      float64(measured.All.Served) / float64(max(1, measured.Settled)),
		P50:         measured.P50,
		Busiest:     measured.Busiest,
		Invalid:     measured.InvalidReason(),
	}, nil
}

// growthBound is an upper bound on a figure at the larger size: factor times the figure at the usual size, plus a constant,
// plus an amount for each thousand workers of the larger size.
type growthBound struct {
	factor, constant, perThousand float64
}

const (
	kilobyte       = 1000
	minServedShare = 0.85 // of the share served at the usual size
)

var (
	cpuBound         = growthBound{1.4, 0.02, 0.03}
	memoryBound      = growthBound{1.5, 8, 4}
	descriptorsBound = growthBound{2, 40, 0}
	connectionsBound = growthBound{2.5, 40, 0}
	listBytesBound   = growthBound{2, 64 * kilobyte, 500 * kilobyte}
)

// at returns the bound for a figure at the usual size and the larger number of workers.
func (b growthBound) at(usual float64, workers int) float64 {
	return b.factor*usual + b.constant + b.perThousand*float64(workers)/1000
}

// GrowthVerdict compares a figure at both sizes with its bound.
type GrowthVerdict struct {
	Name                  string
	Usual, Large, Allowed float64
	IsAtLeast             bool // Allowed is a lower bound instead of an upper one
	IsCount               bool // the figure does not depend on the speed of the machine
	Precision             int  // number of decimals printed
}

// IsKept reports whether the figure at the larger size is within its bound.
func (v GrowthVerdict) IsKept() bool {
	if v.IsAtLeast {
		return v.Large >= v.Allowed
	}
	return v.Large <= v.Allowed
}

// Verdicts returns the verdicts on all figures that have a bound.
func (r *GrowthReport) Verdicts() []GrowthVerdict {
	usual, large := &r.Usual, &r.Large
	atMost := func(name string, bound growthBound, usual, large float64) GrowthVerdict {
		return GrowthVerdict{Name: name, Usual: usual, Large: large, Allowed: bound.at(usual, r.Large.Workers)}
	}
	count := func(name string, bound growthBound, usual, large int) GrowthVerdict {
		verdict := atMost(name, bound, float64(usual), float64(large))
		verdict.IsCount = true
		return verdict
	}
	cpu := atMost("CPU seconds", cpuBound, usual.CPU, large.CPU)
	memory := atMost("peak memory, MB", memoryBound, usual.Memory, large.Memory)
	cpu.Precision, memory.Precision = 3, 1
	return []GrowthVerdict{
		cpu,
		memory,
		atMost("descriptors", descriptorsBound, float64(usual.Descriptors), float64(large.Descriptors)),
		count("connections made to workers", connectionsBound, usual.Connections, large.Connections),
		count("bytes of lists", listBytesBound, usual.ListBytes, large.ListBytes),
		{
			Name: "share served", Usual: usual.Served, Large: large.Served, Allowed: minServedShare * usual.Served,
			IsAtLeast: true, Precision: 3,
		},
	}
}

// Write writes a table of the figures at both sizes with their bounds, and the other figures below it.
func (r *GrowthReport) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "\t%d workers\t%d workers\tallowed\t\t\n", r.Usual.Workers, r.Large.Workers)
	for _, v := range r.Verdicts() {
		verdict, bound := "kept", "at most"
		if v.IsAtLeast {
			bound = "at least"
		}
		if !v.IsKept() {
			verdict = "EXCEEDED"
		}
		fmt.Fprintf(table, "%s\t%.*f\t%.*f\t%s %.*f\t%s\t\n", v.Name, v.Precision, v.Usual, v.Precision, v.Large, bound, v.Precision,
			v.Allowed, verdict)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, figures := range []*GrowthFigures{&r.Usual, &r.Large} {
		if err := figures.write(w); err != nil {
			return err
		}
	}
	return nil
}

// write writes the figures that have no bound.
func (f *GrowthFigures) write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d workers: %d requests, %d rejected, %d failed, p50 %.1f ms, busiest worker %.1f times the mean\n",
		f.Workers, f.Requested, f.Rejected, f.Failed, f.P50, f.Busiest)
	if err == nil && f.Invalid != "" {
		_, err = fmt.Fprintf(w, "%d workers: void: %s\n", f.Workers, f.Invalid)
	}
	return err
}
