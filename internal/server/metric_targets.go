package server

import (
	"fmt"

	"valvecove/internal/asyncwriter"
	"valvecove/internal/config"
	"valvecove/internal/filesystem"
	"valvecove/internal/metrics"
)

// metricsFileMode is the permission bits of the metrics file.
const metricsFileMode = 0o640

// metricTargets contains the targets of metrics other than the collector: a file, or the log.
type metricTargets struct {
	targets []metrics.Target
	writer  *asyncwriter.Writer  // asynchronous writer to the file
	file    *filesystem.LineFile // nil: no file
}

// asyncTarget is a target that writes asynchronously.
type asyncTarget struct{ *asyncwriter.Writer }

// Send writes a batch completely, or returns an error.
func (a asyncTarget) Send(batch []byte) error { return a.TryWrite(batch) }

// openMetricTargets opens the configured file, or the log if neither a file nor a collector is configured.
func (s *server) openMetricTargets(conf *config.Metrics) (metricTargets, error) {
	if conf == nil {
		return metricTargets{}, nil
	}
	if conf.File == "" {
		if conf.UDPTarget.IsValid() {
			return metricTargets{}, nil
		}
		return metricTargets{targets: []metrics.Target{asyncTarget{s.logWriter}}}, nil
	}
	file, err := filesystem.OpenLineFile(s.files, conf.File, metricsFileMode)
	if err != nil {
		return metricTargets{}, fmt.Errorf("key \"figures.file\": %w", err)
	}
	writer := asyncwriter.NewWriter(file, maxPendingLog, nil)
	return metricTargets{targets: []metrics.Target{asyncTarget{writer}}, writer: writer, file: file}, nil
}

// close writes pending metrics and closes the file.
func (m metricTargets) close() {
	if m.file == nil {
		return
	}
	m.writer.Close(flushTimeout)
	_ = m.file.Close()
}
