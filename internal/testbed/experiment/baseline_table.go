package experiment

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
)

// BaselineTable compares policies on scenarios, by one metric.
type BaselineTable struct {
	Specs       []*scenario.Scenario
	Policies    []string
	Seeds       []uint64
	Metric      score.Headline
	Parallelism int
}

// BaselineRow is the row of a scenario: it has a cell for each policy, in the order of BaselineTable.Policies.
type BaselineRow struct {
	Scenario string `json:"scenario"`
	Workers  int    `json:"nodes"`
	Cells    []Cell `json:"cells"`
	// Peers has the traffic between schedulers, in the order of the cells; empty: there was none in the whole row.
	Peers []PeerTraffic `json:"peers,omitempty"`
}

// PeerTraffic has the totals of what schedulers sent each other in several runs.
type PeerTraffic struct {
	Jobs      int    `json:"jobs"`
	Datagrams uint64 `json:"datagrams"`
	Bytes     uint64 `json:"bytes"`
}

// bytesPerPrice is the number of bytes per job that cost a scenario's Peers.Price once. The price is a share of the result.
const bytesPerPrice = 256

// add adds a run.
func (p *PeerTraffic) add(run *RunResult) {
	p.Jobs += run.Result().Whole.JobsDue
	if run.Simulation != nil {
		p.Datagrams += run.Simulation.Peers.Datagrams
		p.Bytes += run.Simulation.Peers.Bytes
	}
}

// PerJob returns the datagrams and the bytes per job.
func (p *PeerTraffic) PerJob() (datagrams, bytes float64) {
	jobs := float64(max(1, p.Jobs))
	return float64(p.Datagrams) / jobs, float64(p.Bytes) / jobs
}

// Run simulates each scenario with each policy on all seeds, and returns a row for each scenario. Unless it is nil, onProgress is
// called after each run.
func (b *BaselineTable) Run(ctx context.Context, onProgress func(done, total int)) ([]BaselineRow, error) {
	table := make([]BaselineRow, len(b.Specs))
	for i, spec := range b.Specs {
		table[i] = BaselineRow{
			Scenario: spec.Name, Workers: spec.Fleet.Workers, Cells: make([]Cell, len(b.Policies)),
			Peers: make([]PeerTraffic, len(b.Policies)),
		}
	}
	jobs := b.jobs()
	violations := 0
	var figures []float64 // of one cell
	err := Batch(ctx, jobs, b.Parallelism, func(i int, run *RunResult) error {
		if onProgress != nil {
			onProgress(i+1, len(jobs))
		}
		number := i / len(b.Seeds)
		line, column := &table[number/len(b.Policies)], number%len(b.Policies)
		line.Peers[column].add(run)
		figures = append(figures, b.Metric.ValueOf(run.Result()))
		violations += run.Violations()
		if len(figures) < len(b.Seeds) {
			return nil
		}
		cell := newCell(figures)
		cell.Violations = violations
		line.Cells[column] = cell
		figures = figures[:0]
		violations = 0
		return nil
	})
	for i := range table {
		if !slices.ContainsFunc(table[i].Peers, func(traffic PeerTraffic) bool { return traffic.Datagrams > 0 }) {
			table[i].Peers = nil
		}
	}
	return table, err
}

// jobs returns the runs, ordered by scenario, policy and seed.
func (b *BaselineTable) jobs() []Job {
	var jobs []Job
	for _, spec := range b.Specs {
		for _, policy := range b.Policies {
			for _, seed := range b.Seeds {
				jobs = append(jobs, Job{
					Spec: spec, Seed: seed, Driver: scenario.DriverSimulation,
					Subject: Subject{Name: policy, Policy: policy},
				})
			}
		}
	}
	return jobs
}

// Markdown returns the table in Markdown, as the documentation shows it.
func (b *BaselineTable) Markdown(table []BaselineRow) string {
	var text strings.Builder
	text.WriteString("| scenario | nodes |")
	for _, policy := range b.Policies {
		text.WriteString(" " + policy + " |")
	}
	text.WriteString("\n| --- | ---: |" + strings.Repeat(" --- |", len(b.Policies)) + "\n")
	for _, line := range table {
		fmt.Fprintf(&text, "| %s | %d |", line.Scenario, line.Workers)
		for _, c := range line.Cells {
			text.WriteString(" " + c.String() + " |")
		}
		text.WriteString("\n")
	}
	b.writePeers(&text, table)
	return text.String()
}

// writePeers writes a table of the traffic between schedulers, if there was any.
func (b *BaselineTable) writePeers(text *strings.Builder, table []BaselineRow) {
	const header = "\n| scenario | policy | datagrams a job | bytes a job | spent of the price |\n| --- | --- | ---: | ---: | ---: |\n"
	isFirst := true
	for i := range table {
		for column := range table[i].Peers {
			traffic := &table[i].Peers[column]
			if traffic.Datagrams == 0 {
				continue
			}
			if isFirst {
				text.WriteString(header)
				isFirst = false
			}
			datagrams, bytes := traffic.PerJob()
			spent := b.Specs[i].Peers.Price * bytes / bytesPerPrice
			fmt.Fprintf(text, "| %s | %s | %.2f | %.0f | %.4f |\n", table[i].Scenario, b.Policies[column], datagrams, bytes, spent)
		}
	}
}
