package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"time"
)

// Measurement holds the figures of one run: the rig's results, and what the measured process used.
type Measurement struct {
	TableRow
	Result
	Rate        float64 `json:"served_per_s"`
	CPU         float64 `json:"cpu_us"` // processor time of the measured process per request served; 0: none was served
	CPUShare    float64 `json:"cpu"`    // share of its core that it used in the window
	Memory      float64 `json:"memory_mb"`
	Descriptors int     `json:"descriptors"`
	// Disturbances holds when the disturbances of the fleet or the scheduler began and ended, in seconds from the
	// clients' start; empty if there were none.
	Disturbances []float64 `json:"trouble,omitempty"`
}

// InvalidReason says why the run is invalid; empty if it is valid. A run of Ceiling is always valid: there the rig is meant
// to be the limit.
func (m *Measurement) InvalidReason() string {
	if m.Subject == Ceiling {
		return ""
	}
	return m.Result.InvalidReason()
}

const (
	recoveredShare  = 0.95 // of the rate before the disturbances
	baselineSeconds = 2    // seconds before the disturbances over which that rate is averaged
	roundUp         = 0.999
)

// RecoveredAfter returns how many seconds after the end of the disturbances the first whole second began in which at
// least 95% of the earlier rate was served. It returns -1 if there was none, or no disturbance.
func (m *Measurement) RecoveredAfter() int {
	if len(m.Disturbances) < 2 {
		return -1
	}
	begin, end := int(m.Disturbances[0]), int(m.Disturbances[1]+roundUp)
	served, seconds := 0, 0
	for at := max(0, begin-baselineSeconds); at < begin && at < len(m.Seconds); at++ {
		served += m.Seconds[at].Served
		seconds++
	}
	for at := end; at < len(m.Seconds); at++ {
		if float64(m.Seconds[at].Served)*float64(seconds) >= recoveredShare*float64(served) {
			return at - end
		}
	}
	return -1
}

// Measure runs one row: it starts the rig and the subject as separate processes, and ends both before it returns.
// An invalid run is no error; see Measurement.InvalidReason.
func Measure(ctx context.Context, tableRow TableRow, options Options) (Measurement, error) {
	figures, _, err := measure(ctx, tableRow, options)
	return figures, err
}

// measure is Measure, and also returns what the measured process used from its start on.
func measure(ctx context.Context, tableRow TableRow, options Options) (Measurement, processUsage, error) {
	if err := options.check(); err != nil {
		return Measurement{}, processUsage{}, err
	}
	if err := options.setDefaults(); err != nil {
		return Measurement{}, processUsage{}, err
	}
	type outcome struct {
		figures Measurement
		usage   processUsage
		err     error
	}
	done := make(chan outcome)
	go func() {
		// The kernel kills the children when the thread that started them ends. So the thread is locked, and lives as
		// long as they do.
		runtime.LockOSThread()
		measurement := &measurement{options: options, tableRow: tableRow}
		figures, err := measurement.run(ctx)
		measurement.close()
		done <- outcome{figures, measurement.usage, err}
	}()
	result := <-done
	return result.figures, result.usage, result.err
}

// measurement is one run in progress. It owns the processes and, if it made it, the directory.
type measurement struct {
	options         Options
	tableRow        TableRow
	directory       string
	removeDirectory bool
	rig             *process
	encoder         *json.Encoder // to the rig
	decoder         *json.Decoder // from the rig
	addresses       Addresses
	subject         *process // the scheduler or the proxy; nil if there is neither
	usage           processUsage
}

// processUsage is what the measured process used from its start on.
type processUsage struct {
	RigUsage
	CPU time.Duration
}

// close kills the processes and removes a temporary directory.
func (m *measurement) close() {
	m.subject.kill()
	m.rig.kill()
	if m.removeDirectory {
		_ = os.RemoveAll(m.directory)
	}
}

func (m *measurement) run(ctx context.Context) (Measurement, error) {
	figures := Measurement{TableRow: m.tableRow, Disturbances: m.options.disturbances()}
	if err := m.prepareDirectory(); err != nil {
		return figures, err
	}
	if err := m.startRig(ctx); err != nil {
		return figures, err
	}
	targets := []string{m.addresses.Scheduler}
	switch m.tableRow.Subject {
	case Direct, Ceiling:
		targets = m.addresses.Workers
	default:
		if err := m.startSubject(ctx); err != nil {
			return figures, err
		}
	}
	if err := m.encoder.Encode(targets); err != nil {
		return figures, fmt.Errorf("rig: %w", err)
	}
	return m.collect(ctx, figures)
}

func (m *measurement) prepareDirectory() error {
	m.directory = m.options.Dir
	if m.directory != "" {
		return nil
	}
	var err error
	m.directory, err = os.MkdirTemp("", "fleet-")
	m.removeDirectory = err == nil
	return err
}

// logPath is the file that takes the subject's log.
func (m *measurement) logPath() string { return filepath.Join(m.directory, m.tableRow.Subject+".log") }

// startRig starts the rig's process and waits for its addresses.
func (m *measurement) startRig(ctx context.Context) error {
	command := exec.CommandContext(ctx, m.options.Rig[0], m.options.Rig[1:]...)
	command.Stderr = os.Stderr
	cores, err := coresExcept(m.options.Cores[0])
	if err != nil {
		return err
	}
	if m.rig, err = startPiped(command, cores); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	m.encoder, m.decoder = json.NewEncoder(m.rig.stdin), json.NewDecoder(m.rig.stdout)
	if err := m.encoder.Encode(m.options.rigSpec(m.tableRow)); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	message, err := m.receive()
	if err != nil {
		return err
	}
	if message.Addresses == nil {
		return errors.New("rig: the first message has no addresses")
	}
	m.addresses = *message.Addresses
	return nil
}

// receive reads the rig's next message. A failure that the rig reports is returned as an error.
func (m *measurement) receive() (message childMessage, err error) {
	err = m.decoder.Decode(&message)
	if err == nil && message.Failure != "" {
		err = errors.New(message.Failure)
	}
	if err != nil {
		return message, fmt.Errorf("rig: %w", err)
	}
	return message, nil
}
