package fakeplatform

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// Limits of a scheduler for which the platform sets none.
const (
	defaultSockets  = 256
	defaultMemoryMB = 192
)

// configText is the configuration file of a scheduler: its listen, discovery and management addresses, its limits, and its settings.
const configText = `{"name":"n0","listen":"%s","discovery":"%s","management":"%s","limits":{"sockets":%d,"memory_mb":%d},"settings":%s}`

// metricPrefix precedes the name of every metric of the scheduler.
const metricPrefix = "edge_proxy."

const noMetric = -1 // returned by Metric if the scheduler does not have the metric

// Process is a scheduler process on a platform.
type Process struct {
	ManagementAddress string       // address for management requests
	Log               bytes.Buffer // standard error; to be read only after the process has ended
	command           *exec.Cmd
	done              chan struct{} // closed when the process has ended
}

// Start starts a scheduler process. command is the program with its arguments; env is added to the environment of the
// test. workDir is the directory for the configuration file, tempDir the value of TMPDIR, which may be empty. settings is
// the JSON object of the scheduler's settings. The caller has to end the process by Kill or Terminate.
func (p *Platform) Start(command, env []string, workDir, tempDir, settings string) (*Process, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(workDir, strings.ReplaceAll(address, ":", "-")+".json")
	config := fmt.Appendf(nil, configText, p.Listen, p.Discovery, address, p.Sockets, p.MemoryMB, settings)
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return nil, err
	}
	process := &Process{
		ManagementAddress: address,
		command:           exec.Command(command[0], command[1:]...),
		done:              make(chan struct{}),
	}
	process.command.Env = append(os.Environ(), env...)
	process.command.Env = append(process.command.Env, "PROXY_CONFIG="+configPath, "TMPDIR="+tempDir, "PROXY_MANAGEMENT=")
	process.command.Stderr = &process.Log
	if err := process.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = process.command.Wait()
		close(process.done)
	}()
	return process, nil
}

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill ends the process by SIGKILL, if it still runs, and waits until it has ended.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Terminate ends the process by SIGTERM, waits until it has ended, and returns its exit code.
func (p *Process) Terminate() int {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	<-p.done
	return p.command.ProcessState.ExitCode()
}

// CallManagement sends a request to the management address. A status of 0 means that there was no response.
func (p *Process) CallManagement(method, path string) (status int, body string) {
	request, err := http.NewRequest(method, "http://"+p.ManagementAddress+path, nil)
	if err != nil {
		return 0, ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// Cordon takes a worker out of service by a management request and returns the status of the response, 0 for none.
func (p *Process) Cordon(worker string) int { return p.callWorker(worker, "suspend") }

// Uncordon returns a cordoned worker to service and returns the status of the response, 0 for none.
func (p *Process) Uncordon(worker string) int { return p.callWorker(worker, "resume") }

// callWorker sends a management request about a worker and returns the status of the response.
func (p *Process) callWorker(worker, action string) int {
	status, _ := p.CallManagement(http.MethodPut, "/v1/worker-nodes/"+worker+"/"+action)
	return status
}

// Ready reports whether the scheduler's readiness endpoint responds with 200.
func (p *Process) Ready() bool {
	status, _ := p.CallManagement(http.MethodGet, "/v1/readyz")
	return status == http.StatusOK
}

// Metric returns the value of a whole-number metric by its name without prefix, or -1 if the scheduler has no such metric.
func (p *Process) Metric(name string) int {
	_, text := p.CallManagement(http.MethodGet, "/v1/metrics")
	_, after, _ := strings.Cut(text, metricPrefix+name+"=")
	line, _, _ := strings.Cut(after, "\n")
	value, err := strconv.Atoi(line)
	if err != nil {
		return noMetric
	}
	return value
}
