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

// countersModel is counters, and what is expected of them.
type countersModel struct {
	*modeltest.Steps
	*fixture
	open         []*requests.Request
	responses    responseCounts
	admitted     int // also those rejected at admission
	disconnected int // clients that left without a response
	written      int
	exportedJobs int
}

// step takes one random step.
func (m *countersModel) step() {
	var request *requests.Request
	if len(m.open) > 0 {
		request = m.open[m.Pick(len(m.open))]
	}
	switch choice := m.Pick(7); {
	case choice == 0 || request == nil:
		m.admit()
	case choice == 1:
		m.queue([]dispatch.Action{dispatch.Reject{Job: request.ID}, dispatch.Fail{Job: request.ID}}[m.Pick(2)])
	case choice < 4:
		worker, _ := m.Table.WorkerNumber("s-" + strconv.Itoa(m.Pick(2)))
		m.queue(dispatch.Send{Job: request.ID, Worker: worker})
	case choice == 4 && len(m.Attempts) > 0:
		m.endAttempt(m.Attempts[m.Pick(len(m.Attempts))])
	case choice == 5:
		m.disconnect(request)
	case choice == 6:
		m.Table.ReportRejection(&requests.Arrival{}, 503)
		m.Table.ReportRejection(nil, 400) // no job
		m.responses[requests.ResponseRejected]++
		m.admitted++
	}
	m.Table.Wake()
	m.Table.Step(m.Now)
}

// queue has the policy take an action in the next step.
func (m *countersModel) queue(action dispatch.Action) { m.Policy.Next = append(m.Policy.Next, action) }

func (m *countersModel) admit() {
	m.admitted++
	arrival := requests.Arrival{CallID: strconv.Itoa(m.admitted), Job: dispatch.Job{Remaining: time.Hour}, Responder: &m.responses}
	request, err := m.Table.Admit(m.Now, arrival)
	if err != nil {
		m.T.Fatal(err)
	}
	m.open = append(m.open, request)
}

func (m *countersModel) endAttempt(attempt *requests.Attempt) {
	m.Table.ReportWritten(attempt)
	m.written++
	m.Table.EndAttempt(attempt, []byte("x"), []*requests.AttemptError{nil, {Reason: requests.ReasonRejected}}[m.Pick(2)])
}

func (m *countersModel) disconnect(request *requests.Request) {
	if request.Response() == requests.ResponseNone && m.Table.Request(request.ID) != nil {
		m.disconnected++
	}
	m.Table.ClientDisconnected(request)
	m.open = slices.DeleteFunc(m.open, func(other *requests.Request) bool { return other == request })
}

// check compares the counters with what clients got, and then the exported jobs with the counters.
func (m *countersModel) check() {
	ended := 0
	for _, response := range []requests.Response{requests.ResponseResult, requests.ResponseRejected, requests.ResponseFailed} {
		counted := int(m.counters.Responses(response, 0))
		ended += counted
		m.Check(counted == m.responses[response], "response %d: %d counted, %d given", response, counted, m.responses[response])
	}
	m.Check(m.admitted == ended+m.disconnected+m.Table.OpenCount(), "%d admitted, %d ended, %d disconnected, %d open",
		m.admitted, ended, m.disconnected, m.Table.OpenCount())
	m.Check(int(m.counters.attemptsWritten) == m.written, "%d attempts counted, %d written", m.counters.attemptsWritten, m.written)
	m.flush()
	for _, match := range exportedJobs.FindAllStringSubmatch(m.target.text(), -1) {
		count, _ := strconv.Atoi(match[1])
		m.exportedJobs += count
	}
	m.Check(m.exportedJobs >= ended && m.exportedJobs <= ended+m.disconnected, "%d jobs exported, %d ended, %d disconnected",
		m.exportedJobs, ended, m.disconnected)
}

var exportedJobs = regexp.MustCompile(`valvecove\.jobs:(\d+)`)

// Each job that has ended is counted once by its response; those whose client left are counted by none; what was rejected
// at admission counts as rejected. The exporter has the same jobs, and those whose client left once no attempt of them is in
// flight.
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

// The text of the operators' call has each figure, by class for all tenants together.
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

// A request of a class without a name counts in no named class, and ends nothing.
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

// Text that has room for all figures needs no other memory.
func TestAppendTextAllocatesNothing(t *testing.T) {
	counters, text := NewCounters(requests.NameTable{Classes: []string{"a", "b"}}), []byte(nil)
	allocations := testing.AllocsPerRun(100, func() { text = counters.AppendText(text[:0], Gauges{OpenRequests: 5}) })
	if allocations > 0 {
		t.Errorf("%v allocations", allocations)
	}
}
