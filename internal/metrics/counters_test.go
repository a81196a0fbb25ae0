package metrics

import (
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// responseCounts counts the responses that clients get.
type responseCounts [responseKinds]int

func (r *responseCounts) RespondResult([]byte)          { r[requests.ResponseResult]++ }
func (r *responseCounts) RespondRejected(time.Duration) { r[requests.ResponseRejected]++ }
func (r *responseCounts) RespondFailed()                { r[requests.ResponseFailed]++ }

// countersModel contains counters and the counts that are expected of them.
type countersModel struct {
	*modeltest.Steps
	*fixture
	open         []*requests.Request
	responses    responseCounts
	arrived      int // requests, including those rejected at admission
	disconnected int // clients that disconnected without a response
	written      int // attempts
	exportedJobs int
}

// step executes one random step.
func (c *countersModel) step() {
	var request *requests.Request
	if len(c.open) > 0 {
		request = c.open[c.Pick(len(c.open))]
	}
	switch choice := c.Pick(7); {
	case choice == 0 || request == nil:
		c.admit()
	case choice == 1:
		c.queue([]dispatch.Action{dispatch.Reject{Job: request.ID}, dispatch.Fail{Job: request.ID}}[c.Pick(2)])
	case choice < 4:
		worker, _ := c.Table.WorkerNumber("s-" + strconv.Itoa(c.Pick(2)))
		c.queue(dispatch.Send{Job: request.ID, Worker: worker})
	case choice == 4 && len(c.Attempts) > 0:
		c.endAttempt(c.Attempts[c.Pick(len(c.Attempts))])
	case choice == 5:
		c.disconnect(request)
	case choice == 6:
		c.Table.ReportRejection(&requests.Arrival{}, 503)
		c.Table.ReportRejection(nil, 400) // unreadable, so not counted as a job
		c.responses[requests.ResponseRejected]++
		c.arrived++
	}
	c.Table.Wake()
	c.Table.Step(c.Now)
}

// queue makes the policy return an action in the next step.
func (c *countersModel) queue(action dispatch.Action) { c.Policy.Next = append(c.Policy.Next, action) }

func (c *countersModel) admit() {
	c.arrived++
	arrival := requests.Arrival{CallID: strconv.Itoa(c.arrived), Job: dispatch.Job{Remaining: time.Hour}, Responder: &c.responses}
	request, err := c.Table.Admit(c.Now, arrival)
	if err != nil {
		c.T.Fatal(err)
	}
	c.open = append(c.open, request)
}

func (c *countersModel) endAttempt(attempt *requests.Attempt) {
	c.Table.ReportWritten(attempt)
	c.written++
	c.Table.EndAttempt(attempt, []byte("x"), []*requests.AttemptError{nil, {Reason: requests.ReasonRejected}}[c.Pick(2)])
}

func (c *countersModel) disconnect(request *requests.Request) {
	if request.Response() == requests.ResponseNone && c.Table.Request(request.ID) != nil {
		c.disconnected++
	}
	c.Table.ClientDisconnected(request)
	c.open = slices.DeleteFunc(c.open, func(other *requests.Request) bool { return other == request })
}

// check compares the counters with the responses that clients got, and the exported jobs with the counters.
func (c *countersModel) check() {
	ended := 0
	for _, response := range []requests.Response{requests.ResponseResult, requests.ResponseRejected, requests.ResponseFailed} {
		counted := int(c.counters.Responses(response, 0))
		ended += counted
		c.Check(counted == c.responses[response], "response %d: %d counted, %d sent to clients", response, counted, c.responses[response])
	}
	c.Check(c.arrived == ended+c.disconnected+c.Table.OpenCount(), "%d arrived, %d ended, %d disconnected, %d open",
		c.arrived, ended, c.disconnected, c.Table.OpenCount())
	c.Check(int(c.counters.attemptsWritten) == c.written, "%d attempts counted, %d written", c.counters.attemptsWritten, c.written)
	c.flush()
	for _, match := range exportedJobs.FindAllStringSubmatch(c.target.text(), -1) {
		count, _ := strconv.Atoi(match[1])
		c.exportedJobs += count
	}
	c.Check(c.exportedJobs >= ended && c.exportedJobs <= ended+c.disconnected, "%d jobs exported, %d ended, %d disconnected",
		c.exportedJobs, ended, c.disconnected)
}

var exportedJobs = regexp.MustCompile(`valvecove\.jobs:(\d+)`)

// Each job that has ended is counted once, by its response. A job whose client disconnected is not counted by response. A request
// that was rejected at admission is counted as rejected. The exporter counts the same jobs and, once none of their attempts is in
// flight, those whose client disconnected.
func FuzzCounters(f *testing.F) {
	names := requests.NameTable{Classes: []string{"a"}, Tenants: []string{"t"}}
	modeltest.Fuzz(f, func(steps *modeltest.Steps) {
		model := &countersModel{Steps: steps, fixture: newFixture(steps.T, config.Metrics{Format: "statsd", MaxBatchBytes: 1400}, names)}
		for steps.More() {
			model.step()
			model.check()
		}
	})
}

// The text of the operators' metrics call contains each metric. Counts by class are sums over all tenants.
func TestAppendText(t *testing.T) {
	f := newFixture(t, config.Metrics{Format: "statsd", MaxBatchBytes: 1400}, names)
	for tenant, id := range []string{"a", "b"} {
		f.Send(f.Admit(id, tenant, 1), "s-0")
		f.Table.ReportWritten(f.Attempts[tenant])
		f.SendCallback(id, "s-0", "done", 0)
	}
	f.Table.ReportRejection(&requests.Arrival{CallID: "c"}, 503)
	f.Table.ReportRejection(nil, 400)
	want := "edge_proxy.success.status-check=0\nedge_proxy.success.account-credit=2\n" +
		"edge_proxy.busy.status-check=1\nedge_proxy.busy.account-credit=0\n" +
		"edge_proxy.failure.status-check=0\nedge_proxy.failure.account-credit=0\n" +
		"edge_proxy.backend_calls=2\nedge_proxy.inflight=5\nedge_proxy.hosts_listed=7\nedge_proxy.hosts_down=3\nedge_proxy.hosts_out_not_kept=1\n"
	if text := f.counters.AppendText(nil, Gauges{OpenRequests: 5, ListedWorkers: 7, AvoidedWorkers: 3, UnstoredCordons: 1}); string(text) != want {
		t.Errorf("text %q, expected %q", text, want)
	}
}

// A request whose class has no name is exported without a class, and is not counted for any named class.
func TestUnnamedClass(t *testing.T) {
	f := newFixture(t, config.Metrics{Format: "statsd", MaxBatchBytes: 1400}, names)
	for _, class := range []int{-1, len(names.Classes)} {
		f.Table.ReportRejection(&requests.Arrival{Job: dispatch.Job{Class: class}}, 503)
	}
	for class := range names.Classes {
		if count := f.counters.Responses(requests.ResponseRejected, class); count != 0 {
			t.Errorf("class %d: %d rejections", class, count)
		}
	}
	if f.flush(); f.target.text() != "valvecove.jobs:2|c|#outcome:turned_away\n" {
		t.Errorf("sent %q", f.target.text())
	}
}

// AppendText allocates nothing if the capacity of dst is sufficient for all metrics.
func TestAppendTextAllocatesNothing(t *testing.T) {
	counters, text := NewCounters(requests.NameTable{Classes: []string{"a", "b"}}), []byte(nil)
	allocations := testing.AllocsPerRun(100, func() { text = counters.AppendText(text[:0], Gauges{OpenRequests: 5}) })
	if allocations > 0 {
		t.Errorf("%v allocations", allocations)
	}
}
