package membership

import (
	"log/slog"
	"time"
)

// Values of LogLine.Message.
const (
	logPlannerLost      = "planner lost"
	logPlannerChanged   = "planner changed"
	logPlannerSlow      = "planner is slow"
	logPlannerRecovered = "planner has recovered"
	logPartitionChanged = "partition changed"
)

// moveReason is why a forwarder moves to another planner.
type moveReason string

const (
	reasonSlow     moveReason = "slow"     // the previous planner was slow
	reasonAssigned moveReason = "assigned" // the new planner is assigned to the forwarder
)

func (m *memberTable) log(message string, attributes ...slog.Attr) {
	m.emit(LogLine{message, attributes})
}

func (f *ForwarderMembership) logLatencyState(planner *memberRecord, latency time.Duration) {
	message := logPlannerSlow
	if planner.latency.state == latencyNormal {
		message = logPlannerRecovered
	}
	f.log(message, slog.String("planner", planner.Name), slog.Duration("latency", latency))
}

func (f *ForwarderMembership) logLoss(previous string) {
	f.log(logPlannerLost, slog.String("previous_planner", previous), slog.String("planner", f.homePlanner))
}

func (f *ForwarderMembership) logMove(previous string, reason moveReason) {
	f.log(logPlannerChanged, slog.String("previous_planner", previous), slog.String("planner", f.homePlanner),
		slog.String("reason", string(reason)))
}

func (p *PlannerMembership) logPartition() {
	cells, workers := p.partition.workersOf(p.self.Name, p.cells.workerCount)
	var loads []any
	for i, planner := range p.partition.planners {
		loads = append(loads, slog.Int(p.partition.names[i], planner.weight))
	}
	p.log(logPartitionChanged,
		slog.Int("cells", cells), slog.Int("all_cells", len(p.partition.owners)),
		slog.Int("workers", workers), slog.Int("all_workers", p.cells.totalWorkers()),
		slog.Group("follower_load", loads...))
}
