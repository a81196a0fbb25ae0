package fakeplatform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const callbackAttempts = 10 // maximum number of times that a worker sends one callback

// Worker is a fake worker. It accepts every attempt and reports at once that the attempt has started. It reports that the
// attempt is done after JobTime or Free. Its methods may be called concurrently.
type Worker struct {
	ID      string
	JobTime time.Duration // how long its jobs run; 0: until Free. Set before the first job

	mutex    sync.Mutex
	arrivals map[string][]time.Time // of attempts, by X-Call-Id
	release  chan struct{}          // closed by Free
}

// callback is the body of a callback of a worker to the scheduler.
type callback struct {
	Worker  string `json:"from"`
	Request string `json:"id"`
	Result  string `json:"result"`
	State   string `json:"state"`
}

// Result returns the result that a worker reports for a request.
func Result(request, worker string) string { return request + " by " + worker }

// Free lets the worker's jobs finish, both the running and the later ones. It is called once.
func (w *Worker) Free() { close(w.release) }

// Runs returns how often the worker has run each request, by X-Call-Id, and the sum over all requests. The map is a copy.
func (w *Worker) Runs() (byRequest map[string]int, total int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	byRequest = map[string]int{}
	for request, arrivals := range w.arrivals {
		byRequest[request] = len(arrivals)
		total += len(arrivals)
	}
	return byRequest, total
}

// Arrivals returns when the attempts of a request have come, by the wall clock.
func (w *Worker) Arrivals(request string) []time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.arrivals[request])
}

// countRun counts a run of a request.
func (w *Worker) countRun(request string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.arrivals[request] = append(w.arrivals[request], time.Now())
}

// acceptAttempt accepts an attempt and runs it. Other requests, such as cancellations, have no effect: a running job goes on.
func (p *Platform) acceptAttempt(worker *Worker, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method != http.MethodPost {
		return
	}
	request := r.Header.Get("X-Call-Id")
	worker.countRun(request)
	w.WriteHeader(http.StatusAccepted)
	go p.runAttempt(worker, request)
}

// runAttempt reports the start of an attempt, and its end once the worker is freed.
func (p *Platform) runAttempt(worker *Worker, request string) {
	p.sendCallback(worker, request, "started")
	var ended <-chan time.Time // never, without a time
	if worker.JobTime > 0 {
		ended = time.After(worker.JobTime)
	}
	select {
	case <-ended:
		p.sendCallback(worker, request, "done")
	case <-worker.release:
		p.sendCallback(worker, request, "done")
	case <-p.closed:
	}
}

// sendCallback sends a callback until the scheduler responds with success, at most callbackAttempts times.
func (p *Platform) sendCallback(worker *Worker, request, state string) {
	body, err := json.Marshal(callback{Worker: worker.ID, Request: request, Result: Result(request, worker.ID), State: state})
	if err != nil {
		return
	}
	for range callbackAttempts {
		if p.postCallback(body) {
			return
		}
	}
}

// postCallback sends a callback once and reports whether it succeeded.
func (p *Platform) postCallback(body []byte) bool {
	response, err := http.Post("http://"+p.Listen+"/v1/job-events", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices
}
