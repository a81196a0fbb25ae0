package score

import (
	"fmt"
	"testing"
	"time"

	"valvecove/internal/testbed/trace"
)

// steadyRun is a run in which all jobs have the same events.
type steadyRun struct {
	s     *Score
	event trace.Event
	calls [2 * maxRetainedRequests]string
	n     uint64
	now   time.Duration
}

func newSteadyRun(nodes int) *steadyRun {
	described := spec(3600)
	described.Fleet.Workers = nodes
	p := &steadyRun{s: New(described, Options{})}
	for i := range p.calls {
		p.calls[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
	}
	return p
}

func (p *steadyRun) observe(what trace.Kind, status int) {
	p.event.At, p.event.Kind, p.event.Status = p.now, what, status
	p.s.Observe(&p.event)
}

// job observes the ten events of a job. A job is due every 0.5 ms. Request IDs are reused once the score has removed them.
func (p *steadyRun) job() {
	p.n++
	p.now += 500 * time.Microsecond
	p.event = trace.Event{
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

// In a steady state Observe allocates nothing, and ended jobs and requests are removed.
func TestScoreSteadyState(t *testing.T) {
	p := newSteadyRun(100)
	for range 3 * maxRetainedRequests {
		p.job()
	}
	if n := testing.AllocsPerRun(5_000, p.job); n != 0 {
		t.Errorf("%v allocations per job", n)
	}
	if len(p.s.jobs) != 0 || len(p.s.requests) > maxRetainedRequests || p.s.effort.Unknown+p.s.effort.Resent+p.s.effort.OrphanedEvents > 0 {
		t.Errorf("%d jobs and %d requests are kept, or events matched nothing: %+v", len(p.s.jobs), len(p.s.requests), p.s.effort.Effort)
	}
}

func BenchmarkScoreObserve(b *testing.B) {
	for _, nodes := range []int{10, 100, 10_000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			p := newSteadyRun(nodes)
			b.ReportAllocs()
			for b.Loop() {
				p.job()
			}
		})
	}
}
