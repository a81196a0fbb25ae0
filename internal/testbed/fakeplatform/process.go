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

// Process is a scheduler that runs on a plant.
type Process struct {
	ManagementAddress string // where it answers operators
	Log               bytes.Buffer
	command           *exec.Cmd
	done              chan struct{}
}

// Start starts a scheduler: a command that serves, with variables of its environment besides those of the platform. work is
// a folder for its configuration; settings are those of the platform's file. dir is what TMPDIR names; none: it is not set.
func (p *Platform) Start(command []string, env []string, work, dir, settings string) (*Process, error) {
	process := &Process{command: exec.Command(command[0], command[1:]...), done: make(chan struct{})}
	var err error
	if process.ManagementAddress, err = FreeAddress(); err != nil {
		return nil, err
	}
	conf := filepath.Join(work, strings.ReplaceAll(process.ManagementAddress, ":", "-")+".json")
	text := fmt.Appendf(nil, `{"name":"n0","listen":"%s","discovery":"%s","management":"%s","limits":{"sockets":256},"settings":%s}`,
		p.Listen, p.Discovery, process.ManagementAddress, settings)
	if err := os.WriteFile(conf, text, 0o600); err != nil {
		return nil, err
	}
	process.command.Env = append(append(os.Environ(), env...), "PROXY_CONFIG="+conf, "TMPDIR="+dir, "PROXY_MANAGEMENT=")
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

// Kill ends it at once, if it has not ended.
func (s *Process) Kill() {
	_ = s.command.Process.Kill()
	<-s.done
}

// Terminate asks it to end by SIGTERM, waits until it has, and tells its exit code.
func (s *Process) Terminate() int {
	_ = s.command.Process.Signal(syscall.SIGTERM)
	<-s.done
	return s.command.ProcessState.ExitCode()
}

// CallOperators makes an operator's call. Status 0: there was no answer.
func (s *Process) CallOperators(method, path string) (status int, body string) {
	r, err := http.NewRequest(method, "http://"+s.ManagementAddress+path, nil)
	if err != nil {
		return 0, ""
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(text)
}

// Cordon takes a worker out, and Resume brings it back; both tell the answer's status.
func (s *Process) Cordon(node string) int { return s.setCordon(node, "suspend") }

// Uncordon brings a worker back.
func (s *Process) Uncordon(node string) int { return s.setCordon(node, "resume") }

func (s *Process) setCordon(node, what string) int {
	status, _ := s.CallOperators("PUT", "/v1/worker-nodes/"+node+"/"+what)
	return status
}

// Ready tells whether it says that it is ready.
func (s *Process) Ready() bool {
	status, _ := s.CallOperators("GET", "/v1/readyz")
	return status == http.StatusOK
}

// Metric reads one of its figures; -1: it has none of that name.
func (s *Process) Metric(name string) int {
	_, text := s.CallOperators("GET", "/v1/metrics")
	_, after, _ := strings.Cut(text, "edge_proxy."+name+"=")
	value, _, _ := strings.Cut(after, "\n")
	n, err := strconv.Atoi(value)
	if err != nil {
		return -1
	}
	return n
}
