package metrics

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// The lines of all metrics of a job that is served, in both formats.
func TestLineFormats(t *testing.T) {
	for format, want := range map[string]string{
		"statsd": "valvecove.time:40.000|ms|#tenant:mardan-society,class:account-credit,outcome:served\n" +
			"valvecove.held:15.000|ms|#tenant:mardan-society,class:account-credit,outcome:served\n" +
			"valvecove.jobs:1|c|#tenant:mardan-society,class:account-credit,outcome:served\n" +
			"valvecove.attempts:1|c|#tenant:mardan-society,class:account-credit,outcome:served\n" +
			"valvecove.open:0|g|#tenant:mardan-society,class:account-credit\n" +
			"valvecove.out:0|g|#tenant:mardan-society,class:account-credit\n",
		"influx": "valvecove.time,tenant=mardan-society,class=account-credit,outcome=served ms=40.000 1718000000040000000\n" +
			"valvecove.held,tenant=mardan-society,class=account-credit,outcome=served ms=15.000 1718000000040000000\n" +
			"valvecove.jobs,tenant=mardan-society,class=account-credit,outcome=served count=1i 1718000000040000000\n" +
			"valvecove.attempts,tenant=mardan-society,class=account-credit,outcome=served count=1i 1718000000040000000\n" +
			"valvecove.open,tenant=mardan-society,class=account-credit value=0i 1718000000040000000\n" +
			"valvecove.out,tenant=mardan-society,class=account-credit value=0i 1718000000040000000\n",
	} {
		t.Run(format, func(t *testing.T) {
			f := newFixture(t, config.Metrics{Format: format, MaxBatchBytes: 10_000}, names)
			request := f.Admit("a", 1, 1)
			f.Now += 15 * time.Millisecond
			f.Send(request, "s-0")
			f.Now += 25 * time.Millisecond
			f.SendCallback("a", "s-0", "done", 0)
			if f.flush(); len(f.target.batches) != 1 || f.target.batches[0] != want {
				t.Errorf("sent %q, expected %q", f.target.batches, want)
			}
		})
	}
}

// Names with reserved characters and line breaks can't end a tag or a line, in either format.
func TestTagsAreEscaped(t *testing.T) {
	reserved := requests.NameTable{Tenants: []string{"a,b=c d|e#f:g\nh\\"}, Classes: []string{strings.Repeat("x", 300)}}
	for format, want := range map[string]string{
		"statsd": "valvecove.jobs:1|c|#tenant:a_b=c_d_e_f_g_h\\,class:" + strings.Repeat("x", maxTagBytes) + ",outcome:turned_away",
		"influx": `valvecove.jobs,tenant=a\,b\=c\ d|e#f:g_h_,class=` + strings.Repeat("x", maxTagBytes) + `,outcome=turned\ away count=1i`,
	} {
		t.Run(format, func(t *testing.T) {
			f := newFixture(t, config.Metrics{Format: format, MaxBatchBytes: 1400}, reserved)
			f.Table.ReportRejection(&requests.Arrival{CallID: "a"}, 503)
			if f.flush(); len(f.target.lines()) != 1 || !strings.HasPrefix(f.target.lines()[0], want) {
				t.Errorf("sent %q, expected %q", f.target.lines(), want)
			}
		})
	}
}

// exporterModel contains an exporter and the metrics that it is expected to send.
type exporterModel struct {
	*modeltest.Steps
	*fixture
	maxBatchBytes  int
	expected, sent map[string]int // sums of counters, last values of gauges, numbers of timers, by name and tags
	open           []*modelJob
}

// modelJob is a job that has not ended.
type modelJob struct {
	id       string
	request  *requests.Request
	tags     string
	inFlight bool
}

func newExporterModel(steps *modeltest.Steps) *exporterModel {
	maxBatchBytes := 1 + 4*steps.Pick(200)
	return &exporterModel{
		Steps:         steps,
		fixture:       newFixture(steps.T, config.Metrics{Format: "statsd", MaxBatchBytes: maxBatchBytes}, names),
		maxBatchBytes: maxBatchBytes,
		expected:      map[string]int{},
		sent:          map[string]int{},
	}
}

// step executes one random step.
func (e *exporterModel) step(number int) {
	var job *modelJob
	index := 0
	if len(e.open) > 0 {
		index = e.Pick(len(e.open))
		job = e.open[index]
	}
	choice := e.Pick(8)
	switch {
	case job == nil || choice == 0:
		e.admit(strconv.Itoa(number))
	case choice < 3 && !job.inFlight:
		e.Send(job.request, "s-0")
		e.expected["valvecove.outg|#"+job.tags]++
		job.inFlight = true
	case choice < 5 && job.inFlight:
		e.SendCallback(job.id, "s-0", "done", 0)
		e.expected["valvecove.attemptsc|#"+job.tags+",outcome:served"]++
		e.expected["valvecove.outg|#"+job.tags]--
		e.expected["valvecove.heldms|#"+job.tags+",outcome:served"]++
		e.end(index, "served")
	case choice == 5 && !job.inFlight && job.request.FirstSentAt == 0:
		e.Apply(dispatch.Reject{Job: job.request.ID})
		e.end(index, "turned_away")
	case choice == 6:
		e.Table.ReportRejection(nil, 400)
		e.expected["valvecove.bad_requestsc"]++
	case choice == 7:
		e.flush()
		e.sum()
	}
	e.Now += time.Millisecond
	e.Record(strconv.Itoa(choice))
}

func (e *exporterModel) admit(id string) {
	tenant, class := e.Pick(2), e.Pick(2)
	job := &modelJob{id: id, tags: "tenant:" + names.Tenants[tenant] + ",class:" + names.Classes[class]}
	job.request = e.Admit(id, tenant, class)
	e.expected["valvecove.openg|#"+job.tags]++
	e.open = append(e.open, job)
}

// end removes a job that has ended, and expects the metrics of its end.
func (e *exporterModel) end(index int, outcome string) {
	tags := e.open[index].tags
	e.open = append(e.open[:index], e.open[index+1:]...)
	e.expected["valvecove.jobsc|#"+tags+",outcome:"+outcome]++
	e.expected["valvecove.timems|#"+tags+",outcome:"+outcome]++
	e.expected["valvecove.openg|#"+tags]--
}

// sum adds the metrics that were sent to those sent before, and checks the size of the batches.
func (e *exporterModel) sum() {
	for _, batch := range e.target.batches {
		e.Check(len(batch) < e.maxBatchBytes || strings.Count(batch, "\n") == 1, "a batch of %d bytes, where the limit is %d", len(batch), e.maxBatchBytes)
	}
	for _, line := range strings.Fields(e.target.text()) {
		name, valueAndTags, _ := strings.Cut(line, ":")
		value, tags, ok := strings.Cut(valueAndTags, "|")
		switch number, err := strconv.Atoi(value); {
		case err == nil && tags[0] == 'c':
			e.sent[name+tags] += number
		case err == nil && tags[0] == 'g':
			e.sent[name+tags] = number
		default:
			e.sent[name+tags]++
			e.Check(ok && tags[0] == 'm', "%q", line)
		}
	}
}

// isZero reports whether a value is 0. A gauge that is 0 is equivalent to one that was never sent.
func isZero(_ string, value int) bool { return value == 0 }

// checkSums sends the pending metrics, and compares all metrics that were sent with the expected ones.
func (e *exporterModel) checkSums() {
	e.flush()
	e.sum()
	maps.DeleteFunc(e.sent, isZero)
	maps.DeleteFunc(e.expected, isZero)
	e.Check(maps.Equal(e.sent, e.expected), "sent %v, expected %v", e.sent, e.expected)
}

// checkFailingTarget makes the target fail during one flush, and checks that the next flush reports the number of failed batches.
func (e *exporterModel) checkFailingTarget() {
	e.target.failing = true
	e.flush()
	e.target.failing = false
	failed := e.exporter.sendErrors
	if failed == 0 && e.open == nil {
		return
	}
	report := fmt.Sprintf("valvecove.figures_send_errors:%d|c\n", failed)
	e.flush()
	e.Check(failed > 0 && strings.Contains(e.target.text(), report), "%q is not in %q", report, e.target.batches)
}

// For any events and any maximum size of batches, each job, attempt and unreadable request is counted once, and gauges are the
// numbers of open requests and of attempts in flight. Batches contain whole lines, and are smaller than the limit unless they
// consist of a single line. Batches that the target could not send are counted.
func FuzzExporter(f *testing.F) {
	modeltest.Fuzz(f, func(steps *modeltest.Steps) {
		model := newExporterModel(steps)
		for number := 0; steps.More(); number++ {
			model.step(number)
		}
		model.checkSums()
		model.checkFailingTarget()
	})
}

// The pending lines are bounded: beyond the bound the oldest lines are dropped as a whole, and counted.
func TestPendingLinesAreBounded(t *testing.T) {
	f := newFixture(t, config.Metrics{Format: "statsd", MaxBatchBytes: 1400}, names)
	const jobs = 5000
	for number := range jobs {
		request := f.Admit(strconv.Itoa(number), 0, 0)
		f.Now += time.Duration(number) * time.Microsecond
		f.Apply(dispatch.Reject{Job: request.ID})
		buffer := &f.exporter.buffer
		if pending := len(buffer.pending()); pending > maxPendingBytes || cap(buffer.lines) > 4*maxPendingBytes {
			t.Fatalf("%d bytes pending, in a buffer of %d", pending, cap(buffer.lines))
		}
	}
	f.flush()
	lines := f.target.lines()
	f.flush() // reports the lines that were dropped during the first flush
	timers, dropped := 0, 0
	for _, line := range lines {
		if strings.HasPrefix(line, "valvecove.time:") {
			timers++
		}
	}
	for _, line := range append(f.target.lines(), lines...) {
		count := 0
		_, _ = fmt.Sscanf(line, "valvecove.figures_dropped:%d|c", &count)
		dropped += count
	}
	if dropped == 0 || timers+dropped != jobs || !strings.HasPrefix(lines[timers-1], "valvecove.time:4.999|ms|") {
		t.Errorf("%d timers and %d dropped lines of %d jobs, the last timer is %q", timers, dropped, jobs, lines[timers-1])
	}
}
