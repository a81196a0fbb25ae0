package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"valvecove/internal/requests"
)

func TestWorkerSpeaksTheProtocol(t *testing.T) {
	t.Run("with start notifications", func(t *testing.T) {
		testWorkerProtocol(t, true, map[string]int{"a1 started": 1, "a1 done": 1, "a2 started": 1, "a2 done": 1})
	})
	t.Run("without start notifications", func(t *testing.T) {
		testWorkerProtocol(t, false, map[string]int{"a1 done": 1, "a2 done": 1})
	})
}

// testWorkerProtocol expects responses to health checks, requests and cancellations, and each callback once.
func testWorkerProtocol(t *testing.T, startNotifications bool, expected map[string]int) {
	t.Helper()
	rig := testRig(t, Spec{Workers: 2, StartNotifications: startNotifications, Work: time.Millisecond, Slots: 1})
	callbacks := make(chan requests.Callback, 100)
	serveScheduler(t, rig, acceptCallbacks(t, callbacks))
	worker := "http://" + rig.Addresses().Workers[1]
	for _, step := range []struct {
		method, path, requestID string
		status                  int
	}{
		{"GET", "/alive", "", 200},
		{"GET", "/metrics/load", "", 404},
		{"POST", "/status-check/1", "", 404},
		{"POST", "/status-check/1", "a1", 202},
		{"POST", "/status-check/2", "a2", 202},
		{"DELETE", "/jobs/a2", "", 204},
	} {
		if got, _ := do(t, step.method, worker+step.path, step.requestID); got != step.status {
			t.Errorf("%s %s: got status %d, want %d", step.method, step.path, got, step.status)
		}
	}
	for range len(expected) {
		checkCallback(t, <-callbacks, expected)
	}
}

// acceptCallbacks fails the first two callbacks, so that they are sent again, and passes on the others.
func acceptCallbacks(t *testing.T, callbacks chan<- requests.Callback) http.HandlerFunc {
	t.Helper()
	var received atomic.Int32
	return func(w http.ResponseWriter, request *http.Request) {
		var callback requests.Callback
		if err := json.NewDecoder(request.Body).Decode(&callback); err != nil || request.URL.Path != "/v1/job-events" {
			t.Errorf("callback to %s: %v", request.URL, err)
		}
		if received.Add(1) <= 2 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		callbacks <- callback
		w.WriteHeader(http.StatusNoContent)
	}
}

// checkCallback takes a callback off those expected, and checks its result.
func checkCallback(t *testing.T, callback requests.Callback, expected map[string]int) {
	t.Helper()
	key := callback.CallID + " " + callback.State
	expected[key]--
	if expected[key] != 0 || callback.EndpointID != "w-1" {
		t.Errorf("sent twice, or not expected: %+v", callback)
	}
	done := callback.State == "done"
	if done != (callback.Result != nil) || done && *callback.Result != callback.CallID+" ran on w-1" {
		t.Errorf("result of %+v", callback)
	}
}

// A worker that responds with results rejects a request when its queue is full. When its process is stopped, waiting
// clients get no response and new connections are refused, until the restart.
func TestWorkerQueuesRejectsAndRestarts(t *testing.T) {
	rig := testRig(t, Spec{Workers: 1, Responds: true, Work: time.Hour, Slots: 1, QueueLimit: 1})
	address := rig.Addresses().Workers[0]
	outcomes := make(chan error, 2)
	for i := range 2 { // one runs, one is queued
		sendJob(t, address, i, outcomes)
		for accepted := false; !accepted; {
			rig.onEngines(func(int, *engine) { accepted = len(rig.workers[0].running)+rig.workers[0].queue.len() == i+1 })
		}
	}
	if got, _ := do(t, "POST", "http://"+address+"/status-check/1", "b2"); got != 503 {
		t.Errorf("full: %d", got)
	}
	rig.onEngines(func(int, *engine) { rig.workers[0].stop() })
	for range 2 {
		if err := <-outcomes; err == nil {
			t.Error("a response from a process that was stopped")
		}
	}
	if conn, err := net.Dial("tcp", address); err == nil {
		_ = conn.Close()
		t.Error("a stopped process accepts connections")
	}
	rig.onEngines(func(int, *engine) { rig.workers[0].restart() })
	if got, _ := do(t, "GET", "http://"+address+"/alive", ""); got != 200 {
		t.Errorf("restarted: %d", got)
	}
}

// sendJob sends a request on a connection of its own, and passes on whether a response could be read.
func sendJob(t *testing.T, address string, number int, outcomes chan<- error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprintf(conn, "POST /status-check/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: b%d\r\nContent-Length: 2\r\n\r\nhi", number)
	go func() {
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		outcomes <- err
	}()
}
