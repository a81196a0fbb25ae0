package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// limits are the limits that a case gives a scheduler.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// scheduler is a process that the run line of the deploy file started.
type scheduler struct {
	name       string
	management string
	command    *exec.Cmd
	done       chan struct{}
	log        *os.File
}

// deployment is what the schedulers of a case have in common.
type deployment struct {
	root      string // of the project
	temp      string
	listen    string
	discovery *discovery
	removed   int // workers that discovery has removed since the known list
	limits    limits
	record    *recorder
	workers   []*worker
	started   []*scheduler
	clientsMu sync.Mutex // held while the calls of clients that were opened by sendApart are read or written
}

// freeAddress returns an address whose port was free a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// runLine returns the command of the line run of the deploy file.
func runLine(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*?)"`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("deploy/balancer.toml: no line run")
	}
	return string(match[1]), nil
}

func micros(d time.Duration) int64 { return d.Microseconds() }

var lateShare = 0.0

// settings are those of a small deployment with four classes and three tenants.
func settings() map[string]any {
	class := func(name, effect, scope string, aim, giveUp, window time.Duration, gain float64) map[string]any {
		return map[string]any{
			"name": name, "idempotency": effect, "dedup_scope": scope, "promise": micros(aim), "give_up": micros(giveUp),
			"window": micros(window), "gain": gain, "late_share": lateShare, "stream": false,
		}
	}
	tenant := func(name string, quota, share float64) map[string]any {
		return map[string]any{"name": name, "quota_per_s": quota, "share": share}
	}
	return map[string]any{
		"family": "jobs", "discovery": "subscribe", "me": 0, "replicas_of_me": 1, "round": 4000, "zone": 0,
		"zones": []string{"dc1"}, "kinds": []string{"std-4c"}, "tiers": []string{"workers"}, "tier": 0,
		"weight_source": "rough", "worth_by": "work", "over_share_worth": 0.1,
		"classes": []any{
			class("status-check", "pure", "all", 80*time.Millisecond, 5*time.Second, 5*time.Second, 2),
			class("recipient-screen", "pure", "all", 300*time.Millisecond, 12*time.Second, 5*time.Second, 1),
			class("cash-payout", "side_effect", "all", 500*time.Millisecond, 7500*time.Millisecond, 5*time.Second, 2),
			class("account-credit", "token", "cell", 500*time.Millisecond, 12*time.Second, 20*time.Second, 3),
		},
		"tenants": []any{tenant("khyber-society", 12, 0.43), tenant("mardan-society", 10, 0.37), tenant("swat-society", 6, 0.2)},
		"bounds": map[string]any{
			"cancelling": true, "second_copies": true, "probes": true, "peers": false, "retry_after": true,
			"max_retry_after": micros(2 * time.Second), "try_limit": 6, "connect_timeout": micros(250 * time.Millisecond),
			"conn_idle": micros(time.Minute), "multiplex": 1, "most_held": 33160, "cpu_us_per_s": 13264, "cpu_us_per_request": 10.0,
		},
		"domain": map[string]any{
			"class_kind": []int{-1, -1, -1, -1}, "class_priority": []int{0, 0, 0, 1}, "class_stretch": []float64{2.5, 2.5, 2, 1.75},
			"progress": micros(progressInterval), "queue_order": "fifo", "tells_start": true,
		},
		"rules": map[string]any{
			"answer_slack": 16000, "ask_every": micros(10 * time.Second), "cold": micros(8800 * time.Millisecond), "cold_from": 0.3,
			"fall": micros(2 * time.Second), "overload_factor": 3.0, "stop_sending_within": micros(500 * time.Millisecond),
		},
		"prices":    map[string]any{"late_fail": 0.08, "probe": 0.004, "waste": 0.05, "peer": 0.01},
		"goal":      map[string]any{"whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.25, "worst_window": 0.15},
		"telemetry": map[string]any{"fields": []string{}, "via": "off"},
		"clients":   map[string]any{"marks_retry": false},
	}
}

// start starts a scheduler by the run line, in a process group of its own, with a management address of its own.
func (d *deployment) start(name string) (*scheduler, error) {
	run, err := runLine(d.root)
	if err != nil {
		return nil, err
	}
	management, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": d.listen, "discovery": d.discovery.address, "management": management, "seed": "8c1f30d27a5be964",
		"limits": d.limits, "known": d.discovery.list, "settings": settings(),
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(d.temp, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	state := filepath.Join(d.temp, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.temp, name+".log"))
	if err != nil {
		return nil, err
	}
	s := &scheduler{name: name, management: management, command: exec.Command("/bin/sh", "-c", run), done: make(chan struct{}), log: log}
	s.command.Dir = d.root
	s.command.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_NAME=n0", "PROXY_LISTEN="+d.listen,
		"PROXY_DISCOVERY="+d.discovery.address, "PROXY_MANAGEMENT="+management, "TMPDIR="+state)
	s.command.Stdout, s.command.Stderr = log, log
	s.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = s.command.Wait()
		close(s.done)
	}()
	d.started = append(d.started, s)
	d.record.log("platform: scheduler process %s starts", name)
	return s, nil
}

// hasEnded reports whether the process has ended.
func (s *scheduler) hasEnded() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func (s *scheduler) signal(signal syscall.Signal) { _ = s.command.Process.Signal(signal) }

// residentMB returns the resident anonymous memory, without pages of files, of the process in MB of 2^20 bytes, or 0 if it can't be read.
func (s *scheduler) residentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// get returns the status of a GET, 0 for none.
func get(address, path string) int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// metric returns the line of a metric of the process.
func (s *scheduler) metric(name string) string {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + s.management + "/v1/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, name+"=") {
			return strings.TrimSpace(line)
		}
	}
	return "no " + name
}

// awaitOK waits until a GET is answered 200, 10 s at most.
func awaitOK(address, path string) error {
	for range 200 {
		if get(address, path) == http.StatusOK {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("GET %s was not answered 200 within 10 s", path)
}

// upgrade replaces a scheduler as the operators do: the new process starts beside the old one, and the old one is told to end once the
// new one says yes, though not before an instant. SIGKILL follows 3.7 s later.
func (d *deployment) upgrade(old *scheduler, name string, notBefore time.Duration) (*scheduler, error) {
	next, err := d.start(name)
	if err != nil {
		return nil, err
	}
	if err := awaitOK(next.management, "/v1/readyz"); err != nil {
		return nil, err
	}
	d.record.log("platform: %s says yes", next.name)
	time.Sleep(notBefore - d.record.now())
	d.record.log("platform: SIGTERM to %s", old.name)
	old.signal(syscall.SIGTERM)
	time.AfterFunc(3700*time.Millisecond, func() {
		if !old.hasEnded() {
			d.record.log("platform: SIGKILL to %s", old.name)
			old.signal(syscall.SIGKILL)
		}
	})
	return next, nil
}

// end ends all processes that were started, and waits for them.
func (d *deployment) end() {
	for _, s := range d.started {
		if !s.hasEnded() {
			s.signal(syscall.SIGKILL)
		}
		<-s.done
		_ = s.log.Close()
	}
}
