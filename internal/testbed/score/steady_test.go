package score

import (
	"fmt"
	"testing"
	"time"

	"valvecove/internal/testbed/trace"
)

// steady is a run in which all jobs take the same course.
type steady struct {
	s     *Score
	x     trace.Event
	calls [2 * maxSettleGrace]string
	n     uint64
	now   time.Duration
}

func newSteady(nodes int) *steady {
	described := spec(3600)
	described.Fleet.Workers = nodes
	p := &steady{s: New(described, Options{})}
	for i := range p.calls {
		p.calls[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
	}
	return p
}

func (p *steady) observe(what trace.Kind, status int) {
	p.x.At, p.x.Kind, p.x.Status = p.now, what, status
	p.s.Observe(&p.x)
}

// job observes a whole job, ten events. Jobs are due every 0.5 ms; ids are reused once they are forgotten.
func (p *steady) job() {
	p.n++
	p.now += 500 * time.Microsecond
	p.x = trace.Event{
		JobID: p.n, RequestID: p.calls[p.n%uint64(len(p.calls))], Class: int(p.n % 2), Tenant: int(p.n / 2 % 2),
		Work: 0.2, Slots: 1, LatencyObjective: time.Second, Worker: int(p.n*7919) % len(p.s.workers),
	}
	p.observe(trace.JobDue, 0)
	p.observe(trace.RequestSent, 0)
	p.observe(trace.AttemptReceived, 0)
	p.observe(trace.AttemptAccepted, 202)
	p.observe(trace.AttemptStarted, 0)
	p.observe(trace.CallbackAnswered, 200)
	p.observe(trace.AttemptFinished, 200)
	p.observe(trace.CallbackAnswered, 200)
	p.observe(trace.ResponseReceived, 200)
	p.observe(trace.JobSettled, 200)
}

// In a steady state nothing is allocated, and what has ended is forgotten.
func TestScoreSteadyState(t *testing.T) {
	p := newSteady(100)
	for range 3 * maxSettleGrace {
		p.job()
	}
	if n := testing.AllocsPerRun(5_000, p.job); n != 0 {
		t.Errorf("%v allocations a job", n)
	}
	if len(p.s.jobs) != 0 || len(p.s.requests) > maxSettleGrace || p.s.effort.Unknown+p.s.effort.Resent+p.s.effort.Duplicates > 0 {
		t.Errorf("%d jobs, %d requests are kept; %+v", len(p.s.jobs), len(p.s.requests), p.s.effort.Effort)
	}
}

func BenchmarkScoreObserve(b *testing.B) {
	for _, nodes := range []int{10, 100, 10_000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			p := newSteady(nodes)
			b.ReportAllocs()
			for b.Loop() {
				p.job()
			}
		})
	}
}
