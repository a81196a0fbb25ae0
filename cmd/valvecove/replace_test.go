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

// runServeVariable is an environment variable that makes the test binary run serve instead of the tests.
const runServeVariable = "VALVECOVE_SERVES"

// TestMain runs the test binary as a scheduler process if runServeVariable is set.
func TestMain(m *testing.M) {
	if os.Getenv(runServeVariable) != "" {
		os.Exit(execute([]string{"serve"}, os.Getenv, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const replacementSettings = `{"classes":[{"name":"pay","promise":30000000,"give_up":60000000,"idempotency":"side_effect"}],
"discovery":"subscribe","domain":{"tells_start":true,"class_stretch":[2]},"bounds":{"try_limit":3,"connect_timeout":250000}}`

// testBinary stands for the test binary in place of the file of a scheduler.
const testBinary = ""

// A process is replaced three times while requests are in flight. Each client has one connection, which is never closed, and
// gets one response to each request, from the worker that ran the job. Each job runs once, also if the process that sent it has
// been replaced and the worker sends its callback to a successor. A worker that was cordoned by a call to the standby process
// is sent no job by any process until it is uncordoned.
func TestReplacedUnderLoad(t *testing.T) {
	files := []string{testBinary, testBinary, testBinary, testBinary}
	t.Run("socket file", func(t *testing.T) { testReplacement(t, t.TempDir(), files) })
	t.Run("abstract socket name", func(t *testing.T) { testReplacement(t, "", files) })
}

// TestReplacedUnderLoad with processes of two builds in turns, so that each build takes over from the other.
// scripts/handover-between-builds builds them and sets the variables with their files.
func TestReplacedByOtherBuild(t *testing.T) {
	before, after := os.Getenv("VALVECOVE_BEFORE"), os.Getenv("VALVECOVE_AFTER")
	if before == "" || after == "" {
		t.Skip("VALVECOVE_BEFORE and VALVECOVE_AFTER are not set; run scripts/handover-between-builds")
	}
	for name, files := range map[string][]string{
		"the earlier build first": {before, after, before, after},
		"the later build first":   {after, before, after, before},
	} {
		t.Run(name+", socket file", func(t *testing.T) { testReplacement(t, t.TempDir(), files) })
		t.Run(name+", abstract socket name", func(t *testing.T) { testReplacement(t, "", files) })
	}
}

// Workers of the fake platform.
const (
	slowWorker     = 0 // its jobs end only after Free
	cordonedWorker = 2
	cordonedName   = "s-2"
	workers        = 3
)

// Load of the test: the number of clients, and the minimum number of responses between its steps.
const (
	clients          = 12
	responsesPerStep = 50
)

// replacement is a test in which the processes of one scheduler replace each other under load.
type replacement struct {
	platform  *fakeplatform.Platform
	stateDir  string // empty: the processes find each other by an abstract socket name
	processes []*fakeplatform.Process
	clients   sync.WaitGroup
	stop      chan struct{}
	sent      atomic.Int64
	responses atomic.Int64
}

// testReplacement starts a scheduler process from the first file, and replaces it by processes from the other files, one after
// another.
func testReplacement(t *testing.T, stateDir string, files []string) {
	t.Helper()
	r := newReplacement(t, stateDir)
	r.launch(t, files[0])
	r.startClients(t)
	r.awaitResponses(t)
	waitUntil(t, "a job at the slow worker", func() bool { return r.startedJobs(slowWorker) > 0 })
	for i, file := range files[1:] {
		isCordoning := i == 1
		predecessor := r.current()
		successor := r.launch(t, file)
		if isCordoning {
			checkCordon(t, successor, predecessor)
		}
		if code := predecessor.Terminate(); code != 0 {
			t.Errorf("the predecessor ended with exit code %d", code)
		}
		r.awaitResponses(t)
		if isCordoning {
			r.checkNoJobsAtCordonedWorker(t)
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

// launch starts a process from a file, or from the test binary, and waits until it is ready.
func (r *replacement) launch(t *testing.T, file string) *fakeplatform.Process {
	t.Helper()
	command, variables := []string{file, "serve"}, []string(nil)
	if file == testBinary {
		command, variables = os.Args[:1], []string{runServeVariable + "=1"}
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

// current returns the process that was launched last.
func (r *replacement) current() *fakeplatform.Process { return r.processes[len(r.processes)-1] }

// startClients starts clients that send requests until stop is closed.
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

// runClient sends one request after another. The size of the body depends on the client's number; each request is sent in two
// parts that are split at another position.
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
			t.Errorf("request %s: status %d, result %q, %v", id, status, result, err)
			return
		}
		r.responses.Add(1)
	}
}

// awaitResponses waits until the clients have received responsesPerStep further responses.
func (r *replacement) awaitResponses(t *testing.T) {
	t.Helper()
	start := r.responses.Load()
	waitUntil(t, fmt.Sprintf("%d more responses", responsesPerStep), func() bool {
		return r.responses.Load() >= start+responsesPerStep
	})
}

// startedJobs returns the number of jobs that a worker has started.
func (r *replacement) startedJobs(worker int) int {
	_, runs := r.platform.Workers[worker].Runs()
	return runs
}

// checkCordon cordons a worker by two calls to the standby process. The second call changes nothing.
func checkCordon(t *testing.T, standby, serving *fakeplatform.Process) {
	t.Helper()
	first, second := standby.Cordon(cordonedName), standby.Cordon(cordonedName)
	if first != http.StatusOK || second != http.StatusOK || standby.Cordon("s-9") != http.StatusNotFound ||
		serving.Metric("hosts_down") != 1 {
		t.Error("cordon calls to the process in standby failed, or did not cordon exactly one worker")
	}
}

// checkNoJobsAtCordonedWorker checks that the cordoned worker is sent no job while the others are.
func (r *replacement) checkNoJobsAtCordonedWorker(t *testing.T) {
	t.Helper()
	before := r.startedJobs(cordonedWorker)
	r.awaitResponses(t)
	if sent := r.startedJobs(cordonedWorker) - before; sent != 0 {
		t.Errorf("%d jobs were sent to the cordoned worker", sent)
	}
}

// checkUncordon uncordons the worker, and waits until it is used again.
func (r *replacement) checkUncordon(t *testing.T) {
	t.Helper()
	serving := r.current()
	if serving.Metric("hosts_down") != 1 || serving.Uncordon(cordonedName) != http.StatusOK || serving.Metric("hosts_down") != 0 {
		t.Error("the worker is not cordoned any more, or can't be uncordoned")
	}
	before := r.startedJobs(cordonedWorker)
	waitUntil(t, "a job at the uncordoned worker", func() bool { return r.startedJobs(cordonedWorker) > before })
}

// finish stops the clients, and ends the jobs of the slow worker, which were sent by processes that have been replaced since.
func (r *replacement) finish(t *testing.T) {
	t.Helper()
	close(r.stop)
	r.platform.Workers[slowWorker].Free()
	r.clients.Wait()
	if inFlight := r.current().Metric("inflight"); r.sent.Load() != r.responses.Load() || inFlight != 0 {
		t.Errorf("%d requests, %d responses, %d in flight at the end", r.sent.Load(), r.responses.Load(), inFlight)
	}
}

// checkExecutions checks that no job ran twice at a worker.
func (r *replacement) checkExecutions(t *testing.T) {
	t.Helper()
	for _, worker := range r.platform.Workers {
		executions, _ := worker.Runs()
		for id, times := range executions {
			if times != 1 {
				t.Errorf("job %s ran %d times at worker %s, expected once", id, times, worker.ID)
			}
		}
	}
}

// checkLogs ends all processes, so that their logs are complete, and checks the logs.
func (r *replacement) checkLogs(t *testing.T) {
	t.Helper()
	for i, process := range r.processes {
		process.Kill()
		checkHandoverLog(t, process.Log.String(), i > 0, i < len(r.processes)-1)
	}
}

// checkHandoverLog checks from a process's log whether it has taken over and handed over, and that no state was lost. A process
// that continues without the policy's snapshot or the open requests fails here, although clients may not notice that.
func checkHandoverLog(t *testing.T, log string, tookOver, handedOver bool) {
	t.Helper()
	for _, line := range []struct {
		text string
		want bool
	}{
		{`msg="taken over"`, tookOver},
		{`msg="handed over"`, handedOver},
		{"predecessor snapshot rejected", false},
		{"serving without its state", false},
		{"predecessor session lost", false},
		// The same faults in the logs of earlier builds.
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

// Interval and maximum number of checks of a condition.
const (
	pollInterval = 2 * time.Millisecond
	maxPolls     = 10_000
)

// waitUntil polls until a condition is true. The limit is generous: it only ends tests in which the condition never becomes true.
func waitUntil(t *testing.T, what string, isDone func() bool) {
	t.Helper()
	for polls := 0; !isDone() && !t.Failed(); polls++ {
		if polls > maxPolls {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(pollInterval)
	}
}
