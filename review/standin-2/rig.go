package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// node is what the platform tells one scheduler.
type node struct {
	listen    string
	discovery string
	peer      string
	stateDir  string
}

// rig is a small platform round the scheduler's processes.
type rig struct {
	rec        *record
	root       string
	temp       string
	run        string
	nodes      []*node
	settings   map[string]any
	known      *listing
	memoryMB   int
	sockets    int
	resultSize int    // bytes that are added to each result
	sizeForm   string // of the chunks of calls of worker nodes; empty: the calls have a Content-Length
	trouble    bool

	disc       *discovery
	workers    []*worker
	schedulers []*scheduler
	clients    *clients

	mutex    sync.Mutex
	attempts map[string][]*attempt // by request
}

func newRig(root, recordPath string, nodes int) (*rig, error) {
	rec, err := openRecord(recordPath)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	r := &rig{rec: rec, root: root, temp: temp, memoryMB: 192, sockets: 1024,
		attempts: map[string][]*attempt{}, settings: smallSettings()}
	if r.run, err = deployCommand(root, "run"); err != nil {
		return nil, err
	}
	if r.disc, err = newDiscovery(rec, nodes); err != nil {
		return nil, err
	}
	for i := range nodes {
		n := &node{listen: freeAddr(), discovery: r.disc.addrs[i], peer: freeUDP(), stateDir: filepath.Join(temp, fmt.Sprintf("state%d", i))}
		if err := os.Mkdir(n.stateDir, 0o700); err != nil {
			return nil, err
		}
		r.nodes = append(r.nodes, n)
	}
	r.settings["replicas_of_me"] = nodes
	r.settings["bounds"].(map[string]any)["peers"] = nodes > 1
	r.clients = &clients{rig: r}
	return r, nil
}

// deployCommand returns a command of the deploy file.
func deployCommand(root, name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		rest, ok := strings.CutPrefix(line, name+" = \"")
		if command, _, closed := strings.Cut(rest, "\""); ok && closed {
			return command, nil
		}
	}
	return "", fmt.Errorf("no command %q in the deploy file", name)
}

func (r *rig) addAttempt(a *attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.attempts[a.id] = append(r.attempts[a.id], a)
	r.rec.line("worker %s: attempt %d of %s %s, budget %d", a.worker.id, len(r.attempts[a.id]), a.class, a.id, a.budget)
}

func (r *rig) begin(a *attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	a.began = time.Now()
	r.rec.line("worker %s: runs %s %s", a.worker.id, a.class, a.id)
}

func (r *rig) end(a *attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	a.ended = true
}

var errNotReady = errors.New("the scheduler did not become ready")

// fleet starts worker nodes of four slots, and lists them as warm.
func (r *rig) fleet(n int) error {
	for i := range n {
		w, err := r.newWorker(fmt.Sprintf("s-%04x", 0xbad0+i), i/4, 4, 20)
		if err != nil {
			return err
		}
		r.disc.set(w.entry("up", 0))
	}
	return nil
}

// runs returns how often worker nodes have begun a request.
func (r *rig) runs(id string) (count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, a := range r.attempts[id] {
		if !a.began.IsZero() {
			count++
		}
	}
	return count
}

func (r *rig) tell(a *attempt, state any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state == "done" {
		a.told = time.Now()
	}
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	for _, s := range r.schedulers {
		if !s.hasEnded() {
			_ = s.command.Process.Kill()
			<-s.done
		}
	}
	r.disc.close()
	for _, w := range r.workers {
		w.mutex.Lock()
		w.process++
		for _, listener := range w.listen {
			_ = listener.Close()
		}
		w.mutex.Unlock()
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(r.temp)
	} else {
		fmt.Println("kept", r.temp)
	}
	r.rec.close()
}

func smallSettings() map[string]any {
	class := func(name string, gain, giveUp, promise int, idempotency, scope string, window int, stretch float64) map[string]any {
		return map[string]any{"dedup_scope": scope, "gain": gain, "give_up": giveUp, "idempotency": idempotency, "late_share": 0.0,
			"name": name, "promise": promise, "stream": false, "window": window, "aim_stretch": stretch}
	}
	return map[string]any{
		"bounds": map[string]any{"cancelling": true, "conn_idle": 60000000, "connect_timeout": 250000, "cpu_us_per_request": 10.0, "cpu_us_per_s": 13264,
			"max_retry_after": 2000000, "most_held": 33160, "multiplex": 1, "peers": false, "probes": true, "retry_after": true, "second_copies": true, "try_limit": 6},
		"classes": []any{
			class("status-check", 2, 5000000, 80000, "pure", "all", 5000000, 2.5),
			class("recipient-screen", 1, 12000000, 300000, "pure", "all", 5000000, 2.5),
			class("cash-payout", 2, 7500000, 500000, "side_effect", "all", 5000000, 2),
			class("account-credit", 3, 12000000, 500000, "token", "cell", 20000000, 1.75),
		},
		"clients":   map[string]any{"marks_retry": false},
		"discovery": "subscribe",
		"domain": map[string]any{"class_kind": []int{-1, -1, -1, -1}, "class_priority": []int{0, 0, 0, 1}, "class_stretch": []float64{2.5, 2.5, 2, 1.75},
			"memory_unit": "a worker has one unit for each slot", "notes": "1 it has started, 2 share done", "progress": 2000000, "queue_order": "fifo",
			"report_x0": "free slots", "report_x1": "free memory", "tells_start": true},
		"family": "jobs", "goal": map[string]any{"whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.25, "worst_window": 0.15},
		"kinds": []string{"std-4c", "slow-4c"}, "me": 0, "over_share_worth": 0.1,
		"prices":         map[string]any{"late_fail": 0.08, "peer": 0.01, "probe": 0.004, "waste": 0.05},
		"replicas_of_me": 1,
		"round":          4000,
		"rules":          map[string]any{"answer_slack": 16000, "ask_every": 10000000, "cold": 8800000, "cold_from": 0.3, "fall": 2000000, "overload_factor": 3.0, "stop_sending_within": 500000},
		"telemetry":      map[string]any{"fields": []string{}, "via": "off"},
		"tenants":        []any{map[string]any{"name": "khyber-society", "quota_per_s": 120.0, "share": 0.43}, map[string]any{"name": "mardan-society", "quota_per_s": 100.0, "share": 0.37}, map[string]any{"name": "swat-society", "quota_per_s": 60.0, "share": 0.2}},
		"tier":           0,
		"tiers":          []string{"remit-workers"},
		"weight_source":  "rough",
		"worth_by":       "work",
		"zone":           0,
		"zones":          []string{"pwr-dc1"},
	}
}
