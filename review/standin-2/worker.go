package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is what a worker node saw of one attempt.
type attempt struct {
	worker *worker
	node   int // the scheduler that sent it
	id     string
	class  string
	key    string
	body   string
	budget int
	first  time.Time // of its first byte
	last   time.Time // of its last byte
	began  time.Time // its run; zero: it has not begun
	slots  int
	run    time.Duration
	ended  bool
	told   time.Time // when its done was answered with 200 or 204; zero: it was not
}

// worker is a stand-in of a worker node: some slots, a bounded queue served in order, and calls back to the scheduler.
type worker struct {
	rig      *rig
	id       string
	cell     int
	slots    int
	queueCap int
	addrs    []string // where each scheduler reaches it

	mutex   sync.Mutex
	listen  []net.Listener
	conns   map[net.Conn]bool
	used    int
	queue   []*attempt
	hanging bool
	process int
	http    *http.Client
}

func (r *rig) newWorker(id string, cell, slots, queueCap int) (*worker, error) {
	w := &worker{rig: r, id: id, cell: cell, slots: slots, queueCap: queueCap}
	if err := w.start(); err != nil {
		return nil, err
	}
	r.workers = append(r.workers, w)
	return w, nil
}

// start starts the worker node's process, at the addresses that it had before, if there are any.
func (w *worker) start() error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.listen = nil
	for i := range w.rig.nodes {
		addr := loopback + ":0"
		if i < len(w.addrs) {
			addr = w.addrs[i]
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		w.listen = append(w.listen, listener)
		if i >= len(w.addrs) {
			w.addrs = append(w.addrs, listener.Addr().String())
		}
		go w.acceptAll(listener, i, w.process)
	}
	w.conns = map[net.Conn]bool{}
	w.used, w.queue, w.hanging = 0, nil, false
	w.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}, Timeout: 3 * time.Second}
	return nil
}

func (w *worker) acceptAll(listener net.Listener, node, process int) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		w.mutex.Lock()
		w.conns[c] = true
		w.mutex.Unlock()
		go w.serve(c, node, process)
	}
}

func (w *worker) serve(c net.Conn, node, process int) {
	defer func() {
		w.mutex.Lock()
		delete(w.conns, c)
		w.mutex.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		w.mutex.Lock()
		hanging, current := w.hanging, w.process
		w.mutex.Unlock()
		if current != process {
			return
		}
		switch {
		case request.Method == "DELETE":
			w.rig.rec.line("worker %s: %s %s", w.id, request.Method, request.URL.Path)
			if hanging {
				continue
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case request.Method == "GET":
			if hanging {
				continue
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		default:
			w.take(c, request, string(body), first, node, process, hanging)
		}
	}
}

func (w *worker) take(c net.Conn, request *http.Request, body string, first time.Time, node, process int, hanging bool) {
	a := &attempt{worker: w, node: node, id: request.Header.Get("X-Call-Id"), key: request.Header.Get("Idempotency-Key"), body: body, first: first, last: time.Now(), slots: 1}
	a.class, _, _ = strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	a.budget, _ = strconv.Atoi(request.Header.Get("X-Budget-Ms"))
	for _, pair := range strings.Split(body, ";") {
		name, value, _ := strings.Cut(pair, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "run":
			a.run = time.Duration(n) * time.Millisecond
		case "slots":
			a.slots = max(1, n)
		}
	}
	w.rig.addAttempt(a)
	if hanging {
		w.rig.rec.line("worker %s: hangs with %s %s", w.id, a.class, a.id)
		return
	}
	w.mutex.Lock()
	full := len(w.queue) >= w.queueCap
	if !full {
		w.queue = append(w.queue, a)
	}
	w.mutex.Unlock()
	if full {
		w.rig.rec.line("worker %s: full, turns away %s", w.id, a.id)
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	fmt.Fprint(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	w.startQueued(process)
}

func (w *worker) startQueued(process int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for w.process == process && !w.hanging && len(w.queue) > 0 && w.used+w.queue[0].slots <= w.slots {
		a := w.queue[0]
		w.queue = w.queue[1:]
		w.used += a.slots
		go w.run(a, process)
	}
}

func (w *worker) alive(process int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.process == process && !w.hanging
}

func (w *worker) run(a *attempt, process int) {
	w.rig.begin(a)
	go w.callBack(a, map[string]any{"state": "started"}, process)
	end := time.Now().Add(a.run)
	for left := time.Until(end); left > 0; left = time.Until(end) {
		time.Sleep(min(left, 2*time.Second))
		if !w.alive(process) {
			return
		}
		if time.Until(end) > 0 {
			go w.callBack(a, map[string]any{"state": "running", "share": 1 - float64(time.Until(end))/float64(a.run)}, process)
		}
	}
	w.mutex.Lock()
	if w.process == process {
		w.used -= a.slots
	}
	w.mutex.Unlock()
	if !w.alive(process) {
		return
	}
	w.rig.end(a)
	w.startQueued(process)
	w.callBack(a, map[string]any{"state": "done", "result": result(a.id, w.id) + strings.Repeat("y", w.rig.resultSize)}, process)
}

func result(id, worker string) string { return "result of " + id + " by " + worker }

// callBack tells the scheduler what became of a job, ten times at most.
func (w *worker) callBack(a *attempt, fields map[string]any, process int) {
	fields["id"], fields["from"] = a.id, w.id
	body, _ := json.Marshal(fields)
	for range 10 {
		if !w.alive(process) {
			return
		}
		w.mutex.Lock()
		client := w.http
		w.mutex.Unlock()
		status, err := w.post(client, a.node, body)
		if err == nil {
			if status == 200 || status == 204 {
				w.rig.tell(a, fields["state"])
				return
			}
			w.rig.rec.line("worker %s: %v of %s answered %d", w.id, fields["state"], a.id, status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.rig.rec.line("worker %s: %v of %s not delivered", w.id, fields["state"], a.id)
}

// post sends one call to a scheduler, and returns the status of its answer.
func (w *worker) post(client *http.Client, node int, body []byte) (status int, err error) {
	const path = "/v1/job-events"
	addr := w.rig.nodes[node].listen
	if w.rig.sizeForm != "" {
		return postChunked(addr, path, body, w.rig.sizeForm)
	}
	response, err := client.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, nil
}

func (w *worker) entry(lifecycle string, startedAtMs int64) entry {
	return entry{InstanceID: w.id, addrs: w.addrs, Zone: "pwr-dc1", MachineType: "std-4c", Cell: w.cell, Lifecycle: lifecycle, Weight: 1, StartedAtMs: startedAtMs}
}
