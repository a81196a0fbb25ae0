package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/testbed/platform"
	"valvecove/internal/testbed/scenario"
)

const (
	readyPollInterval = 5 * time.Millisecond
	maxLogExcerpt     = 1000 // bytes of a log's end in an error
)

// startSubject starts the scheduler or the proxy, and waits until it is ready.
func (m *measurement) startSubject(ctx context.Context) error {
	log, err := os.Create(m.logPath())
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	if m.tableRow.Subject == Proxy {
		err = m.startProxy(ctx, log)
	} else {
		err = m.startScheduler(ctx, log)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", m.tableRow.Subject, err)
	}
	return m.awaitReady(ctx)
}

// awaitReady polls the subject until it answers that it is up.
func (m *measurement) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(m.options.ReadyTimeout)
	for {
		if response, err := client.Get("http://" + m.addresses.Scheduler + "/up"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.subject.exited:
			return m.exitError()
		case <-time.After(readyPollInterval):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is not up after %v", m.tableRow.Subject, m.options.ReadyTimeout)
		}
	}
}

// exitError describes a subject that ended by itself, with the end of its log.
func (m *measurement) exitError() error {
	text, _ := os.ReadFile(m.logPath())
	text = bytes.TrimSpace(text)
	excerpt := text[max(0, len(text)-maxLogExcerpt):]
	return fmt.Errorf("%s ended (%v): %s", m.tableRow.Subject, m.subject.ProcessState, excerpt)
}

func (m *measurement) startProxy(ctx context.Context, log *os.File) error {
	command := exec.CommandContext(ctx, m.options.Proxy[0], m.options.Proxy[1:]...)
	command.Stderr, command.Dir = log, m.directory
	var err error
	if m.subject, err = startPiped(command, m.options.Cores[:1]); err != nil {
		return err
	}
	plan := ProxyPlan{Listen: m.addresses.Scheduler, Workers: m.addresses.Workers}
	return json.NewEncoder(m.subject.stdin).Encode(plan)
}

func (m *measurement) startScheduler(ctx context.Context, log *os.File) error {
	configPath := filepath.Join(m.directory, "config.json")
	if err := os.WriteFile(configPath, m.options.configuration(m.tableRow, m.addresses), 0o600); err != nil {
		return err
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	// The shell sets the limit on descriptors and then replaces itself by the program.
	command := exec.CommandContext(ctx, "/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`,
		strconv.Itoa(int(min(limit.Max, uint64(m.options.Sockets)))), m.options.Binary)
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "GOMAXPROCS=1", "PROXY_NAME=s1", "PROXY_LISTEN=" + m.addresses.Scheduler,
		"PROXY_DISCOVERY=" + m.addresses.Discovery, "PROXY_CONFIG=" + configPath,
	}
	command.Stdout, command.Stderr, command.Dir = log, log, m.directory
	var err error
	m.subject, err = startProcess(command, m.options.Cores[:1])
	return err
}

const (
	quotaPerSecond = 28   // jobs a second, of all tenants together
	memoryMB       = 2048 // a scheduler's limit on memory in its configuration
	warmUpCapacity = 0.3  // of a worker that has just started
	warmUpTime     = 8800 * time.Millisecond
)

// configuration renders the scheduler's configuration file: the default scenario's settings, without load reports.
func (o *Options) configuration(tableRow TableRow, addresses Addresses) []byte {
	spec := scenario.Default()
	spec.Name = "fleet"
	spec.Fleet.Workers, spec.Fleet.Zones = tableRow.Workers, []string{zone}
	for i := range spec.Fleet.Kinds {
		kind := &spec.Fleet.Kinds[i]
		kind.OmitsStartNotifications = !tableRow.StartNotifications
		kind.QueueOrder = "fifo"
		kind.WarmUpCapacity = warmUpCapacity
		kind.WarmUp = scenario.Duration(warmUpTime)
	}
	spec.Schedulers.Sockets, spec.Schedulers.MemoryMB = o.Sockets, o.MemoryMB
	quota := 0.0
	for i := range spec.Tenants {
		quota += spec.QuotaRate(i)
	}
	spec.Load.Quota *= quotaPerSecond / quota
	return platform.Config(spec, 0, platform.Options{
		Name: "s1", Listen: addresses.Scheduler, Discovery: addresses.Discovery, Seed: o.Seed,
	})
}
