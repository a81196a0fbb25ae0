package aperture

import (
	"math"
	"time"

	"valvecove/dispatch"
)

const (
	promptPercent = 25          // of its class's latency objective: a job that is queued for longer finds no capacity
	loadWindow    = time.Second // time constant by which samples fade
	minSamples    = 8           // fewer say nothing
)

// sampleDecay is what remains of the samples from one evaluation to the next.
var sampleDecay = math.Exp(-evaluationInterval.Seconds() / loadWindow.Seconds())

// loadMonitor observes whether jobs find capacity: whether the policy queues them for long, or workers reject them. Late starts
// say nothing of the kind. They come of schedulers that meet at a worker, which they do the more often, the wider their
// subsets are.
type loadMonitor struct {
	waiting      map[uint64]*waitingJob // not sent yet, by job
	queues       []jobQueue             // by class, in the order of arrival
	promptDelays []time.Duration        // by class
	free         []*waitingJob          // for reuse
	delayed      float64                // jobs that found no capacity in time; fades
	samples      float64                // all jobs; fades
}

// waitingJob is a job of which it is to be seen whether it finds capacity in time.
type waitingJob struct {
	id        uint64
	class     int
	arrivedAt time.Duration
	decided   bool // that is known; it is only kept in its queue
}

func newLoadMonitor(settings dispatch.Settings) loadMonitor {
	monitor := loadMonitor{
		waiting: map[uint64]*waitingJob{},
		queues:  make([]jobQueue, len(settings.Classes)),
	}
	for _, class := range settings.Classes {
		monitor.promptDelays = append(monitor.promptDelays, class.LatencyObjective*promptPercent/100)
	}
	return monitor
}

// jobArrived begins the wait of a job.
func (m *loadMonitor) jobArrived(arrived dispatch.Job, now time.Duration) {
	if m.waiting[arrived.ID] != nil || arrived.Class < 0 || arrived.Class >= len(m.queues) {
		return
	}
	job := m.allocate()
	*job = waitingJob{id: arrived.ID, class: arrived.Class, arrivedAt: now}
	m.waiting[arrived.ID] = job
	m.queues[arrived.Class].push(job)
}

func (m *loadMonitor) allocate() *waitingJob {
	last := len(m.free) - 1
	if last < 0 {
		return &waitingJob{}
	}
	job := m.free[last]
	m.free = m.free[:last]
	return job
}

// jobSent ends the wait of a job with its first attempt.
func (m *loadMonitor) jobSent(id uint64, now time.Duration) {
	if job := m.waiting[id]; job != nil {
		m.decide(job)
		m.addSample(now-job.arrivedAt > m.promptDelays[job.class])
	}
}

// jobClosed ends the wait of a job without a sample: it is closed at once, or the sample was taken before.
func (m *loadMonitor) jobClosed(id uint64) {
	if job := m.waiting[id]; job != nil {
		m.decide(job)
	}
}

func (m *loadMonitor) decide(job *waitingJob) {
	delete(m.waiting, job.id)
	job.decided = true
}

// expireJobs takes the jobs for delayed that have waited for too long. late reports that this process was not running in
// time, so that nothing could have been sent: no sample is taken then.
func (m *loadMonitor) expireJobs(now time.Duration, late bool) {
	for class := range m.queues {
		queue := &m.queues[class]
		for {
			job := queue.first()
			if job == nil || now-job.arrivedAt <= m.promptDelays[class] {
				break
			}
			queue.pop()
			if !job.decided {
				m.decide(job)
				if !late {
					m.addSample(true)
				}
			}
			m.free = append(m.free, job)
		}
	}
}

func (m *loadMonitor) addSample(delayed bool) {
	m.samples++
	if delayed {
		m.delayed++
	}
}

// delayedShare is the part of recent jobs that found no capacity in time; 0 if there were too few.
func (m *loadMonitor) delayedShare() float64 {
	if m.samples < minSamples {
		return 0
	}
	return m.delayed / m.samples
}

// decay lets the samples fade by one evaluation interval.
func (m *loadMonitor) decay() {
	m.delayed *= sampleDecay
	m.samples *= sampleDecay
}

// jobQueue has jobs in the order of arrival.
type jobQueue struct {
	jobs  []*waitingJob
	start int // of the queue in jobs; what comes before is nil
}

func (q *jobQueue) push(job *waitingJob) {
	if q.start > len(q.jobs)/2 {
		remaining := copy(q.jobs, q.jobs[q.start:])
		clear(q.jobs[remaining:])
		q.jobs = q.jobs[:remaining]
		q.start = 0
	}
	q.jobs = append(q.jobs, job)
}

// first returns the job that arrived first; nil: there is none.
func (q *jobQueue) first() *waitingJob {
	if q.start == len(q.jobs) {
		return nil
	}
	return q.jobs[q.start]
}

// pop drops the first job.
func (q *jobQueue) pop() {
	q.jobs[q.start] = nil
	q.start++
}
