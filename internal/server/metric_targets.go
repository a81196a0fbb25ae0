package server

import (
	"fmt"

	"valvecove/internal/asyncwriter"
	"valvecove/internal/config"
	"valvecove/internal/filesystem"
	"valvecove/internal/metrics"
)

const metricsFileMode = 0o640

// metricTargets are the targets of metrics that are files or the log. The loop has the one that is a socket.
type metricTargets struct {
	targets []metrics.Target
	writer  *asyncwriter.Writer  // in front of the file
	file    *filesystem.LineFile // nil: none
}

// asyncTarget is a target in front of which an asynchronous writer stands.
type asyncTarget struct{ *asyncwriter.Writer }

// Send hands on a batch as a whole.
func (t asyncTarget) Send(batch []byte) error { return t.TryWrite(batch) }

// openMetricTargets opens what is configured: a file, or the log if there is neither a file nor a collector.
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

// close writes out what is pending, and closes the file.
func (t metricTargets) close() {
	if t.file == nil {
		return
	}
	t.writer.Close(flushTimeout)
	_ = t.file.Close()
}
