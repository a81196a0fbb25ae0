package plant

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
	Manage string // where it answers operators
	Log    bytes.Buffer
	cmd    *exec.Cmd
	done   chan struct{}
}

// Start starts a scheduler: a command that serves, with variables of its environment besides those of the platform. work is
// a folder for its configuration; settings are those of the platform's file. dir is what TMPDIR names; none: it is not set.
func (p *Plant) Start(command []string, env []string, work, dir, settings string) (*Process, error) {
	s := &Process{cmd: exec.Command(command[0], command[1:]...), done: make(chan struct{})}
	var err error
	if s.Manage, err = FreeAddress(); err != nil {
		return nil, err
	}
	conf := filepath.Join(work, strings.ReplaceAll(s.Manage, ":", "-")+".json")
	text := fmt.Appendf(nil, `{"name":"n0","listen":"%s","discovery":"%s","management":"%s","limits":{"sockets":256},"settings":%s}`,
		p.Listen, p.Discovery, s.Manage, settings)
	if err := os.WriteFile(conf, text, 0o600); err != nil {
		return nil, err
	}
	s.cmd.Env = append(append(os.Environ(), env...), "PROXY_CONFIG="+conf, "TMPDIR="+dir, "PROXY_MANAGEMENT=")
	s.cmd.Stderr = &s.Log
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = s.cmd.Wait()
		close(s.done)
	}()
	return s, nil
}

// Kill ends it at once, if it has not ended.
func (s *Process) Kill() {
	_ = s.cmd.Process.Kill()
	<-s.done
}

// Leave asks it to end by SIGTERM, waits until it has, and tells its exit code.
func (s *Process) Leave() int {
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
	<-s.done
	return s.cmd.ProcessState.ExitCode()
}

// Call makes an operator's call. Status 0: there was no answer.
func (s *Process) Call(method, path string) (status int, body string) {
	r, err := http.NewRequest(method, "http://"+s.Manage+path, nil)
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

// Suspend takes a worker node out, and Resume brings it back; both tell the answer's status.
func (s *Process) Suspend(node string) int { return s.put(node, "suspend") }

// Resume brings a worker node back.
func (s *Process) Resume(node string) int { return s.put(node, "resume") }

func (s *Process) put(node, what string) int {
	status, _ := s.Call("PUT", "/v1/worker-nodes/"+node+"/"+what)
	return status
}

// Ready tells whether it says that it is ready.
func (s *Process) Ready() bool {
	status, _ := s.Call("GET", "/v1/readyz")
	return status == http.StatusOK
}

// Figure reads one of its figures; -1: it has none of that name.
func (s *Process) Figure(name string) int {
	_, text := s.Call("GET", "/v1/metrics")
	_, after, _ := strings.Cut(text, "edge_proxy."+name+"=")
	value, _, _ := strings.Cut(after, "\n")
	n, err := strconv.Atoi(value)
	if err != nil {
		return -1
	}
	return n
}
