// Package server runs a scheduler process: it loads the configuration, opens the event loop, and handles signals, reloads,
// the drain at the end and the hand-over to a successor. It owns the process's limits and its log. It decides nothing about
// requests and opens no connection itself.
package server

import (
	"cmp"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"valvecove/internal/asyncwriter"
	"valvecove/internal/config"
	"valvecove/internal/filesystem"
	"valvecove/internal/logging"
	"valvecove/internal/scheduler"
)

// flushTimeout is how long, at the end, a log or a disk is given to take what is pending.
const flushTimeout = 200 * time.Millisecond

// maxPendingLog is how many bytes of log, or of metrics for a file, may be pending.
const maxPendingLog = 256 << 10

// server is a scheduler process. All its methods run in the event loop.
type server struct {
	getenv    func(string) string
	conf      config.Config
	scheduler *scheduler.Scheduler
	state     state
	failure   error // of the scheduler; nil: none
	logWriter *asyncwriter.Writer
	logger    *slog.Logger
	files     filesystem.FileSystem // of metrics
}

// state is the state of a server. It only ever advances.
type state int

const (
	serving  state = iota
	draining       // has received SIGTERM
	finished       // stays only until its last responses are written
)

// String returns the state's name.
func (s state) String() string { return [...]string{"serving", "draining", "finished"}[s] }

// advance makes the transition to a later state. It reports whether the server was not there yet.
func (s *server) advance(next state) bool {
	if next <= s.state {
		return false
	}
	s.state = next
	return true
}

// Run runs a scheduler until it has drained after SIGTERM, or was replaced. opsPath names the operators' file;
// without one no feature is on. An error is a fault of the start, or one that the scheduler can't continue after.
func Run(getenv func(string) string, opsPath string, log io.Writer) error {
	// From the first moment on: by default SIGHUP ends a process, and with it all that it has admitted.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	signal.Ignore(syscall.SIGPIPE)
	conf, ops, err := loadConfig(getenv, opsPath)
	if err != nil {
		return err
	}
	applyLimits(conf.Limits)
	instance := &server{getenv: getenv, conf: conf, files: filesystem.Disk, logWriter: newLogWriter(log, ops.Log, conf.Name)}
	defer instance.logWriter.Close(flushTimeout)
	if ops.Capture != nil {
		signal.Notify(signals, syscall.SIGUSR1)
	}
	targets, err := instance.openMetricTargets(ops.Metrics)
	if err != nil {
		return err
	}
	defer targets.close()
	if err := instance.open(ops, targets); err != nil {
		return err
	}
	defer instance.close()
	defer instance.forwardSignals(signals)()
	err = instance.scheduler.Run(instance.hasEnded)
	return cmp.Or(err, instance.failure)
}

// loadConfig loads the platform's file and the operators' file, and checks them against each other.
func loadConfig(getenv func(string) string, opsPath string) (config.Config, config.Ops, error) {
	conf, err := config.Load(getenv)
	if err != nil {
		return config.Config{}, config.Ops{}, err
	}
	ops, err := config.LoadOps(opsPath)
	if err == nil {
		err = ops.Check(conf)
	}
	return conf, ops, err
}

// newLogWriter returns a writer in front of the log, which may be slow or gone: nobody waits for it.
func newLogWriter(log io.Writer, conf config.Log, scheduler string) *asyncwriter.Writer {
	return asyncwriter.NewWriter(filesystem.NewLineWriter(log), maxPendingLog, func(pieces uint64) string {
		return logging.FormatLine(conf, scheduler, slog.LevelWarn, "log lost, as it was not taken in", slog.Uint64("pieces", pieces))
	})
}

// open opens the scheduler.
func (s *server) open(ops config.Ops, targets metricTargets) error {
	loggers := logging.NewFactory(ops.Log, s.conf.Name, s.logWriter)
	s.logger = loggers.NewLogger()
	opened, err := scheduler.Open(s.conf, ops, loggers, targets.targets...)
	if err != nil {
		return err
	}
	s.scheduler = opened
	opened.OnShareLimits(s.shareMemory)
	opened.OnFail(func(err error) { s.failure = err })
	opened.OnSuccessor(func() {
		if s.state != serving { // it has come late, but not too late
			s.scheduler.After(0, s.handOver)
		}
	})
	if address := opened.Addr(); address.IsValid() {
		s.logger.Info("listening", "addr", address.String())
	} else {
		s.logger.Info("predecessor found")
	}
	return nil
}

// close writes out what the features hold.
func (s *server) close() {
	s.scheduler.FlushMetrics()
	if s.scheduler.Capture != nil {
		s.scheduler.Capture.Close(flushTimeout)
	}
}

// hasEnded reports whether the loop is to end.
func (s *server) hasEnded() bool {
	return s.state == finished && s.scheduler.IsQuiet() || s.failure != nil
}

// shareMemory limits memory to half of what is configured while another process shares it.
func (s *server) shareMemory(half bool) {
	limit := HeapLimit(s.conf.Limits)
	if half {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
}
