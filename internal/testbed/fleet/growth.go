package fleet

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
)

// growthSubject names the scheduler's logs.
const growthSubject = "valvecove"

// Growth says what is compared: one scheduler with the same traffic at a number of workers, and at a multiple of it. What a
// scheduler needs may grow only so far. Options has what both have in common.
type Growth struct {
	Options
	Workers int
	Ratio   int
}

// GrowthFigures are what a scheduler needed.
type GrowthFigures struct {
	Workers     int     `json:"workers"`
	CPU         float64 `json:"cpu_s"`       // processor time from the start on
	Memory      float64 `json:"memory_mb"`   // peak
	Descriptors int     `json:"descriptors"` // the most that it was seen to have
	Connections int     `json:"connections"` // made to workers
	ListBytes   int     `json:"list_bytes"`  // from discovery, which has changes to tell
	Requested   int     `json:"requested"`
	Rejected    int     `json:"rejected"`
	Failed      int     `json:"failed"`
	Served      float64 `json:"served"`  // share of the requests that have ended
	P50         float64 `json:"p50_ms"`  // of those served
	Busiest     float64 `json:"busiest"` // jobs of the busiest worker, over the mean
	Invalid     string  `json:"invalid,omitempty"`
}

// GrowthReport is a comparison.
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

// Bounds on the larger size: so many times the figure at the usual one, and so much more, in all and for each thousand workers.
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

// at returns what is allowed with so many workers.
func (b growthBound) at(usual float64, workers int) float64 {
	return b.factor*usual + b.constant + b.perThousand*float64(workers)/1000
}

// GrowthVerdict compares one figure of both sizes with what is allowed.
type GrowthVerdict struct {
	Name                  string
	Usual, Large, Allowed float64
	IsAtLeast             bool // Allowed is the least, and not the most
	IsCount               bool // it is the same on any machine
	Precision             int  // decimals that are printed
}

// IsKept tells whether the figure is within what is allowed.
func (v GrowthVerdict) IsKept() bool {
	if v.IsAtLeast {
		return v.Large >= v.Allowed
	}
	return v.Large <= v.Allowed
}

// Verdicts returns those of all figures.
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

// Write writes both sizes beside what is allowed.
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

// write writes what stands beside the verdicts.
func (f *GrowthFigures) write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d workers: %d requests, %d rejected, %d failed, p50 %.1f ms, busiest worker %.1f times the mean\n",
		f.Workers, f.Requested, f.Rejected, f.Failed, f.P50, f.Busiest)
	if err == nil && f.Invalid != "" {
		_, err = fmt.Fprintf(w, "%d workers: void: %s\n", f.Workers, f.Invalid)
	}
	return err
}
