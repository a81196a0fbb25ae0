package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	workerSlots      = 4
	workerQueue      = 20                     // jobs that wait; more are turned away
	progressInterval = 2 * time.Second        // between two notes on progress
	callbackTries    = 10                     // of each callback
	callbackPause    = 100 * time.Millisecond // between two tries
)

// job is a job as a worker has received it.
type job struct {
	id     string
	path   string
	budget time.Duration
	body   []byte
}

// plan says how long a job runs, and with what result.
type plan func(j *job) (run time.Duration, result string)

// worker is a worker node: it answers 202, queues in order, runs up to workerSlots jobs, and tells of the start, the progress and the
// end of each.
type worker struct {
	id        string
	cell      int
	address   string
	scheduler string // where callbacks go
	record    *recorder
	plan      plan
	received  func(w *worker, j *job) // called for each job that has come whole
	client    *http.Client

	mu      sync.Mutex
	waiting []*job
	running int
	doneAt  map[string]time.Duration // by ID: when the callback done was answered
}

func startWorker(number int, scheduler string, record *recorder, plan plan, received func(*worker, *job)) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: fmt.Sprintf("s-%08x", 0xc0de0000+number), cell: number / 3, address: listener.Addr().String(), scheduler: scheduler,
		record: record, doneAt: map[string]time.Duration{}, plan: plan, received: received,
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(listener) }()
	return w, nil
}

// ServeHTTP answers a job, a cancellation or a probe.
func (w *worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	switch {
	case request.Method == http.MethodDelete: // a cancel does not stop running work
		w.record.log("worker %s: DELETE %s", w.id, request.URL.Path)
	case request.Method == http.MethodGet && request.URL.Path == "/alive":
	case request.Method == http.MethodPost && request.Header.Get("X-Call-Id") != "":
		var millis int64
		_, _ = fmt.Sscan(request.Header.Get("X-Budget-Ms"), &millis)
		w.accept(response, &job{
			id: request.Header.Get("X-Call-Id"), path: request.URL.Path, budget: time.Duration(millis) * time.Millisecond, body: body,
		})
	default:
		response.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) accept(response http.ResponseWriter, j *job) {
	w.received(w, j)
	w.mu.Lock()
	isFull := len(w.waiting) >= workerQueue
	if !isFull {
		w.waiting = append(w.waiting, j)
	}
	w.mu.Unlock()
	if isFull {
		w.record.log("worker %s: %s turned away, the queue is full", w.id, j.id)
		response.Header().Set("X-Rejected", "1")
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.record.log("worker %s: %s taken, %s, X-Budget-Ms %d, body of %d bytes", w.id, j.id, j.path, j.budget.Milliseconds(), len(j.body))
	response.WriteHeader(http.StatusAccepted)
	go w.startWaiting()
}

func (w *worker) startWaiting() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.running < workerSlots && len(w.waiting) > 0 {
		next := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.running++
		go w.run(next)
	}
}

func (w *worker) run(j *job) {
	duration, result := w.plan(j)
	end := time.Now().Add(duration)
	go w.call(j, map[string]any{"id": j.id, "from": w.id, "state": "started"})
	for left := time.Until(end); left > progressInterval; left = time.Until(end) {
		time.Sleep(progressInterval)
		share := 1 - time.Until(end).Seconds()/duration.Seconds()
		go w.call(j, map[string]any{"id": j.id, "from": w.id, "state": "running", "share": share})
	}
	time.Sleep(time.Until(end))
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	w.record.log("worker %s: %s has run for %v, result of %d bytes", w.id, j.id, duration, len(result))
	w.call(j, map[string]any{"id": j.id, "from": w.id, "state": "done", "result": result})
	w.startWaiting()
}

// call sends a callback until it is answered, callbackTries times at most.
func (w *worker) call(j *job, content map[string]any) {
	text, err := json.Marshal(content)
	if err != nil {
		return
	}
	for range callbackTries {
		response, err := w.client.Post("http://"+w.scheduler+"/v1/job-events", "application/json", bytes.NewReader(text))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNoContent {
				if content["state"] == "done" {
					w.mu.Lock()
					w.doneAt[j.id] = w.record.now()
					w.mu.Unlock()
				}
				w.record.log("worker %s: callback %v about %s answered %d", w.id, content["state"], j.id, response.StatusCode)
				return
			}
		}
		time.Sleep(callbackPause)
	}
	w.record.log("worker %s: callback %v about %s was never answered", w.id, content["state"], j.id)
}

// doneAt returns when the callback that told of a job's end was answered, or 0.
func (d *deployment) doneAt(id string) time.Duration {
	for _, w := range d.workers {
		w.mu.Lock()
		at := w.doneAt[id]
		w.mu.Unlock()
		if at > 0 {
			return at
		}
	}
	return 0
}

// filler returns a text of a size that depends on an id, so that no two are alike.
func filler(id string, size int) string {
	var b strings.Builder
	for line := 0; b.Len() < size; line++ {
		fmt.Fprintf(&b, "%s line %06d of a batch of credits. ", id, line)
	}
	return b.String()[:size]
}
