package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// scheduler is a process of the scheduler, started by the command of the deploy file.
type scheduler struct {
	rig        *rig
	node       int
	name       string
	management string
	config     string
	command    *exec.Cmd
	done       chan struct{}
	ended      time.Time
}

func freeAddr() string {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func freeUDP() string {
	conn, err := net.ListenPacket("udp", loopback+":0")
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

// configText returns the platform's file for a scheduler.
func (r *rig) configText(i int, management string) []byte {
	settings := map[string]any{}
	for key, value := range r.settings {
		settings[key] = value
	}
	settings["me"] = i
	conf := map[string]any{
		"name": fmt.Sprintf("n%d", i), "listen": r.nodes[i].listen, "discovery": r.nodes[i].discovery, "seed": newID(),
		"limits":     map[string]any{"cores": 1.0, "memory_mb": r.memoryMB, "sockets": r.sockets},
		"management": management, "settings": settings,
	}
	if len(r.nodes) > 1 {
		var peers []string
		for _, n := range r.nodes {
			peers = append(peers, n.peer)
		}
		conf["peer_listen"], conf["peers"] = r.nodes[i].peer, peers
	}
	if r.known != nil {
		conf["known"] = json.RawMessage(r.known.text(i))
	}
	text, _ := json.MarshalIndent(conf, "", " ")
	return text
}

// startScheduler starts a process by the command run of the deploy file.
func (r *rig) startScheduler(i int, name string) (*scheduler, error) {
	s := &scheduler{rig: r, node: i, name: name, management: freeAddr(), done: make(chan struct{})}
	s.config = filepath.Join(r.temp, name+".json")
	if err := os.WriteFile(s.config, r.configText(i, s.management), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.temp, name+".log"))
	if err != nil {
		return nil, err
	}
	s.command = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; %s", r.sockets, r.run))
	s.command.Dir = r.root
	s.command.Stdout, s.command.Stderr = log, log
	s.command.Env = append(os.Environ(), "PROXY_CONFIG="+s.config, fmt.Sprintf("PROXY_NAME=n%d", i), "PROXY_LISTEN="+r.nodes[i].listen,
		"PROXY_DISCOVERY="+r.nodes[i].discovery, "PROXY_MANAGEMENT="+s.management, "TMPDIR="+r.nodes[i].stateDir)
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	r.rec.line("scheduler %s starts, pid %d", name, s.command.Process.Pid)
	go func() {
		err := s.command.Wait()
		s.ended = time.Now()
		r.rec.line("scheduler %s has ended: %v", name, err)
		close(s.done)
	}()
	r.schedulers = append(r.schedulers, s)
	return s, nil
}

func (s *scheduler) signal(sig syscall.Signal) {
	s.rig.rec.line("scheduler %s gets %v", s.name, sig)
	_ = s.command.Process.Signal(sig)
}

func (s *scheduler) hasEnded() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func (s *scheduler) call(method, path string) (int, string) {
	request, _ := http.NewRequest(method, "http://"+s.management+path, nil)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text))
}

func (s *scheduler) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && !s.hasEnded(); time.Sleep(20 * time.Millisecond) {
		if status, _ := s.call("GET", "/v1/readyz"); status == 200 {
			s.rig.rec.line("scheduler %s is ready", s.name)
			return true
		}
	}
	return false
}

// rss returns the resident memory of the process in MB, and its peak.
func (s *scheduler) rss() (now, peak float64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.command.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			now = kb / 1024
		}
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kb); n == 1 {
			peak = kb / 1024
		}
	}
	return now, peak
}

// loopback is the address of this run's listeners. Connections start from 127.0.0.1, so that their ports never take those of a
// process that is started later.
var loopback = fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))
