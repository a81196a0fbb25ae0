package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"valvecove/internal/testbed/fakeplatform"
)

// serveVariable has the test's own program serve, when it is set.
const serveVariable = "VALVECOVE_SERVES"

// TestMain lets the test's own program stand in for the scheduler's, as a process of its own.
func TestMain(m *testing.M) {
	if os.Getenv(serveVariable) != "" {
		os.Exit(execute([]string{"serve"}, os.Getenv, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const replacementSettings = `{"classes":[{"name":"pay","promise":30000000,"give_up":60000000,"idempotency":"side_effect"}],
"discovery":"subscribe","domain":{"tells_start":true,"class_stretch":[2]},"bounds":{"try_limit":3,"connect_timeout":250000}}`

// ownProgram names the test's own program in place of a scheduler's file.
const ownProgram = ""

// Payouts are in flight all the time while a process is replaced three times over. Each client, on a connection of its own
// that is never closed, gets one response, made by the worker that ran the job. Each payout runs once, also those that
// outlive the process which sent them and whose workers notify its successor. A worker that a call to the standby process
// cordons is sent nothing more, whoever serves, until it is uncordoned.
func TestReplacedUnderLoad(t *testing.T) {
	files := []string{ownProgram, ownProgram, ownProgram, ownProgram}
	t.Run("by a directory", func(t *testing.T) { testReplacement(t, t.TempDir(), files) })
	t.Run("by a name", func(t *testing.T) { testReplacement(t, "", files) })
}

// The same between the schedulers of two builds, in turns, so that each takes over from the other.
// scripts/handover-between-builds builds them and names their files.
func TestReplacedByOtherBuild(t *testing.T) {
	before, after := os.Getenv("VALVECOVE_BEFORE"), os.Getenv("VALVECOVE_AFTER")
	if before == "" || after == "" {
		t.Skip("VALVECOVE_BEFORE and VALVECOVE_AFTER name no files; run scripts/handover-between-builds")
	}
	for name, files := range map[string][]string{
		"the earlier build first": {before, after, before, after},
		"the later build first":   {after, before, after, before},
	} {
		t.Run(name+", by a directory", func(t *testing.T) { testReplacement(t, t.TempDir(), files) })
		t.Run(name+", by a name", func(t *testing.T) { testReplacement(t, "", files) })
	}
}

// Workers of the fake platform.
const (
	slowWorker     = 0 // its jobs last until it is freed
	cordonedWorker = 2
	cordonedName   = "s-2"
	workers        = 3
)

// Load of the test: clients, and responses that have to come between its steps.
const (
	clients          = 12
	responsesPerStep = 50
)

// replacement is a test in which the processes of one scheduler replace each other under load.
type replacement struct {
	platform  *fakeplatform.Platform
	stateDir  string // empty: the processes find each other by name
	processes []*fakeplatform.Process
	clients   sync.WaitGroup
	stop      chan struct{}
	sent      atomic.Int64
	responses atomic.Int64
}

// testReplacement starts a scheduler from the first file, and replaces it by those of the others, one after another.
func testReplacement(t *testing.T, stateDir string, files []string) {
	t.Helper()
	r := newReplacement(t, stateDir)
	r.launch(t, files[0])
	r.startClients(t)
	r.awaitResponses(t)
	waitUntil(t, "a job at the slow worker", func() bool { return r.runs(slowWorker) > 0 })
	for i, file := range files[1:] {
		isCordoning := i == 1
		predecessor := r.current()
		successor := r.launch(t, file)
		if isCordoning {
			checkCordon(t, successor, predecessor)
		}
		if code := predecessor.Terminate(); code != 0 {
			t.Errorf("ended with %d", code)
		}
		r.awaitResponses(t)
		if isCordoning {
			r.checkCordonedGetsNothing(t)
		}
	}
	r.checkUncordon(t)
	r.finish(t)
	r.checkExecutions(t)
	r.checkLogs(t)
}

func newReplacement(t *testing.T, stateDir string) *replacement {
	t.Helper()
	platform, err := fakeplatform.New(workers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	for i, worker := range platform.Workers {
		if i != slowWorker {
			worker.Free()
		}
	}
	return &replacement{platform: platform, stateDir: stateDir, stop: make(chan struct{})}
}

// launch starts a process from a file, or from the test's own program, and waits until it is ready.
func (r *replacement) launch(t *testing.T, file string) *fakeplatform.Process {
	t.Helper()
	command, variables := []string{file, "serve"}, []string(nil)
	if file == ownProgram {
		command, variables = os.Args[:1], []string{serveVariable + "=1"}
	}
	process, err := r.platform.Start(command, variables, t.TempDir(), r.stateDir, replacementSettings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		process.Kill()
		if t.Failed() {
			t.Logf("%s:\n%s", process.ManagementAddress, process.Log.String())
		}
	})
	waitUntil(t, "ready", process.Ready)
	r.processes = append(r.processes, process)
	return process
}

// current is the process launched last.
func (r *replacement) current() *fakeplatform.Process { return r.processes[len(r.processes)-1] }

// startClients has clients send requests until stop is closed.
func (r *replacement) startClients(t *testing.T) {
	t.Helper()
	for number := range clients {
		client, err := r.platform.Dial()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(client.Close)
		r.clients.Go(func() { r.runClient(t, client, number) })
	}
}

// runClient sends one request after another. Each has a body by the client's number, which is cut at another place each time.
func (r *replacement) runClient(t *testing.T, client *fakeplatform.Client, number int) {
	t.Helper()
	for i := 0; ; i++ {
		select {
		case <-r.stop:
			return
		default:
		}
		id := fmt.Sprintf("%04x%04x", number, i)
		r.sent.Add(1)
		status, result, err := client.Send("pay", id, strings.Repeat("x", 100*number), 50*(i%5))
		if err != nil || status != http.StatusOK || !strings.HasPrefix(result, fakeplatform.Result(id, "s-")) {
			t.Errorf("%s: %d %q, %v", id, status, result, err)
			return
		}
		r.responses.Add(1)
	}
}

// awaitResponses waits until the clients have got further responses.
func (r *replacement) awaitResponses(t *testing.T) {
	t.Helper()
	start := r.responses.Load()
	waitUntil(t, fmt.Sprintf("%d more answers", responsesPerStep), func() bool {
		return r.responses.Load() >= start+responsesPerStep
	})
}

// runs is how many jobs a worker has begun.
func (r *replacement) runs(worker int) int {
	_, runs := r.platform.Workers[worker].Runs()
	return runs
}

// checkCordon cordons a worker by calls to the standby process, of which the second is harmless.
func checkCordon(t *testing.T, standby, serving *fakeplatform.Process) {
	t.Helper()
	first, second := standby.Cordon(cordonedName), standby.Cordon(cordonedName)
	if first != http.StatusOK || second != http.StatusOK || standby.Cordon("s-9") != http.StatusNotFound ||
		serving.Metric("hosts_down") != 1 {
		t.Error("calls at a process in standby")
	}
}

// checkCordonedGetsNothing checks that a cordoned worker is sent nothing while others work.
func (r *replacement) checkCordonedGetsNothing(t *testing.T) {
	t.Helper()
	before := r.runs(cordonedWorker)
	r.awaitResponses(t)
	if sent := r.runs(cordonedWorker) - before; sent != 0 {
		t.Errorf("%d jobs sent to a worker that is cordoned", sent)
	}
}

// checkUncordon uncordons the worker, and waits until it is used again.
func (r *replacement) checkUncordon(t *testing.T) {
	t.Helper()
	serving := r.current()
	if serving.Metric("hosts_down") != 1 || serving.Uncordon(cordonedName) != http.StatusOK || serving.Metric("hosts_down") != 0 {
		t.Error("the cordon is not kept, or does not end")
	}
	before := r.runs(cordonedWorker)
	waitUntil(t, "used again", func() bool { return r.runs(cordonedWorker) > before })
}

// finish stops the clients, and frees the jobs of the slow worker, which processes sent that have ended since.
func (r *replacement) finish(t *testing.T) {
	t.Helper()
	close(r.stop)
	r.platform.Workers[slowWorker].Free()
	r.clients.Wait()
	if inFlight := r.current().Metric("inflight"); r.sent.Load() != r.responses.Load() || inFlight != 0 {
		t.Errorf("%d sent, %d answered, %d left", r.sent.Load(), r.responses.Load(), inFlight)
	}
}

// checkExecutions checks that no job ran twice at a worker.
func (r *replacement) checkExecutions(t *testing.T) {
	t.Helper()
	for _, worker := range r.platform.Workers {
		executions, _ := worker.Runs()
		for id, times := range executions {
			if times != 1 {
				t.Errorf("%s ran %d times at %s", id, times, worker.ID)
			}
		}
	}
}

// checkLogs ends the last process, so that its log is whole, and checks all logs.
func (r *replacement) checkLogs(t *testing.T) {
	t.Helper()
	for i, process := range r.processes {
		process.Kill()
		checkHandover(t, process.Log.String(), i > 0, i < len(r.processes)-1)
	}
}

// checkHandover checks by a process's log that it took over and handed over what it should, all of it. A process that goes
// on without the model, or without the open requests, fails here, though clients may not notice.
func checkHandover(t *testing.T, log string, tookOver, handedOver bool) {
	t.Helper()
	for _, line := range []struct {
		text string
		want bool
	}{
		{`msg="taken over"`, tookOver},
		{`msg="handed over"`, handedOver},
		{"of no use here", false},
		{"serving without what it had", false},
		{"begins anew", false},
		{"panic", false},
		{"level=ERROR", false},
	} {
		if strings.Contains(log, line.text) != line.want {
			t.Errorf("%q in the log: expected %v", line.text, line.want)
		}
	}
}

// Polling: how often a condition is asked for, and at most how many times.
const (
	pollInterval = 2 * time.Millisecond
	maxPolls     = 10_000
)

// waitUntil polls for what happens by itself. The limit is far off: it only ends a test in which it never does.
func waitUntil(t *testing.T, what string, isDone func() bool) {
	t.Helper()
	for polls := 0; !isDone() && !t.Failed(); polls++ {
		if polls > maxPolls {
			t.Fatalf("not %s", what)
		}
		time.Sleep(pollInterval)
	}
}
