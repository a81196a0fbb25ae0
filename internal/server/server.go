// Package server runs a scheduler process: it loads the configuration, opens the scheduler, and handles signals, reloads, the
// drain after SIGTERM and the transfer to a successor. It sets the limits of the process and writes its log. It makes no decision
// about requests and opens no connection itself.
package server

import (
	"cmp"
	"errors"
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

// flushTimeout is the maximum time for writing pending data to the log or a disk at the end of the process.
const flushTimeout = 200 * time.Millisecond

// maxPendingLog is the maximum number of pending bytes of the log, or of metrics for a file.
const maxPendingLog = 256 << 10

// server is a scheduler process. Its methods run on the goroutine of the event loop.
type server struct {
	getenv    func(string) string
	conf      config.Config
	scheduler *scheduler.Scheduler
	state     state
	failure   error // of the scheduler, after which it can't continue
	logWriter *asyncwriter.Writer
	logger    *slog.Logger
	files     filesystem.FileSystem // of metrics
}

// state is the state of a server. It changes in order of the constants only.
type state int

const (
	serving  state = iota
	draining       // SIGTERM was received
	finished       // the process ends once its last responses are written
)

// String returns the name of the state.
func (s state) String() string { return [...]string{"serving", "draining", "finished"}[s] }

// advance changes to a later state. It returns false and changes nothing if the server is already in that state or a later one.
func (s *server) advance(next state) bool {
	if next <= s.state {
		return false
	}
	s.state = next
	return true
}

// Run runs a scheduler until it has drained after SIGTERM, or was replaced by a successor. opsPath is the path of the operators'
// file; if it is empty, all features are disabled. An error means that the start failed, or that the scheduler can't continue.
func Run(getenv func(string) string, opsPath string, log io.Writer) error {
	// Signals are handled before anything else, because SIGHUP ends a process by default.
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
	receiver := receiveSignals(signals)
	defer receiver.close()
	if err := instance.open(receiver.stop, ops, targets); err != nil {
		return instance.startFailure(err)
	}
	defer instance.close()
	instance.handleSignals(receiver)
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

// newLogWriter returns an asynchronous writer to the log, so that a slow or closed log does not block the event loop.
func newLogWriter(log io.Writer, conf config.Log, scheduler string) *asyncwriter.Writer {
	return asyncwriter.NewWriter(filesystem.NewLineWriter(log), maxPendingLog, func(pieces uint64) string {
		return logging.FormatLine(conf, scheduler, slog.LevelWarn, "log lines dropped", slog.Uint64("pieces", pieces))
	})
}

// open opens the scheduler, unless stop is closed while the start is retried.
func (s *server) open(stop <-chan struct{}, ops config.Ops, targets metricTargets) error {
	loggers := logging.NewFactory(ops.Log, s.conf.Name, s.logWriter)
	s.logger = loggers.NewLogger()
	opened, err := scheduler.Open(stop, s.conf, ops, loggers, targets.targets...)
	if err != nil {
		return err
	}
	s.scheduler = opened
	opened.OnShareLimits(s.shareMemory)
	opened.OnFail(func(err error) { s.failure = err })
	opened.OnSuccessor(func() {
		if s.state != serving { // the successor has connected during the drain
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

// startFailure returns the error of a failed start, or nil if a signal has ended the process during the start.
func (s *server) startFailure(err error) error {
	if !errors.Is(err, scheduler.ErrStopped) {
		return err
	}
	s.logger.Info("ended by a signal during the start")
	return nil
}

// close writes pending metrics and the capture.
func (s *server) close() {
	s.scheduler.FlushMetrics()
	if s.scheduler.Capture != nil {
		s.scheduler.Capture.Close(flushTimeout)
	}
}

// hasEnded reports whether the event loop must end.
func (s *server) hasEnded() bool {
	return s.state == finished && s.scheduler.IsIdle() || s.failure != nil
}

// shareMemory sets the memory limit, which is lower while another process shares the memory.
func (s *server) shareMemory(isShared bool) { debug.SetMemoryLimit(HeapLimit(s.conf.Limits, isShared)) }
