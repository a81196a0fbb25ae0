package aperture

import (
	"math"
	"time"

	"valvecove/dispatch"
)

const (
	promptPercent = 25          // of its class's latency objective: a job that is queued for longer is delayed
	loadWindow    = time.Second // time constant of the decay of samples
	minSamples    = 8           // with fewer samples the delayed fraction is 0
)

// sampleDecay is the factor by which samples decay from one evaluation to the next.
var sampleDecay = math.Exp(-evaluationInterval.Seconds() / loadWindow.Seconds())

// loadMonitor measures which fraction of jobs is delayed for lack of capacity: jobs that the policy queues for long, or that
// workers reject. Late starts at a worker are not counted. They are caused by several schedulers that send to the same worker,
// which happens more often with wider subsets.
type loadMonitor struct {
	waiting      map[uint64]*waitingJob // not sent yet, by job ID
	queues       []jobQueue             // by class, in the order of arrival
	promptDelays []time.Duration        // by class
	free         []*waitingJob          // for reuse
	delayed      float64                // number of delayed jobs, which decays
	samples      float64                // number of jobs, which decays
}

// waitingJob is a job that was not sent yet, or was decided and is still in its queue.
type waitingJob struct {
	id        uint64
	class     int
	arrivedAt time.Duration
	decided   bool // its sample was taken, or none is needed
}

// newLoadMonitor returns a monitor without samples.
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

// jobArrived starts the wait of a job.
func (l *loadMonitor) jobArrived(arrived dispatch.Job, now time.Duration) {
	if l.waiting[arrived.ID] != nil || arrived.Class < 0 || arrived.Class >= len(l.queues) {
		return
	}
	job := l.allocate()
	*job = waitingJob{id: arrived.ID, class: arrived.Class, arrivedAt: now}
	l.waiting[arrived.ID] = job
	l.queues[arrived.Class].push(job)
}

// allocate returns a waitingJob for reuse, or a new one.
func (l *loadMonitor) allocate() *waitingJob {
	last := len(l.free) - 1
	if last < 0 {
		return &waitingJob{}
	}
	job := l.free[last]
	l.free = l.free[:last]
	return job
}

// jobSent ends the wait of a job with its first attempt, and takes a sample.
func (l *loadMonitor) jobSent(id uint64, now time.Duration) {
	if job := l.waiting[id]; job != nil {
		l.decide(job)
		l.addSample(now-job.arrivedAt > l.promptDelays[job.class])
	}
}

// jobClosed ends the wait of a job without a sample.
func (l *loadMonitor) jobClosed(id uint64) {
	if job := l.waiting[id]; job != nil {
		l.decide(job)
	}
}

// decide ends the wait of a job.
func (l *loadMonitor) decide(job *waitingJob) {
	delete(l.waiting, job.id)
	job.decided = true
}

// expireJobs ends the wait of jobs that are delayed, and takes their samples. late means that this process was not running in
// time and could not have sent them; no samples are taken then.
func (l *loadMonitor) expireJobs(now time.Duration, late bool) {
	for class := range l.queues {
		queue := &l.queues[class]
		for {
			job := queue.first()
			if job == nil || now-job.arrivedAt <= l.promptDelays[class] {
				break
			}
			queue.pop()
			if !job.decided {
				l.decide(job)
				if !late {
					l.addSample(true)
				}
			}
			l.free = append(l.free, job)
		}
	}
}

// addSample counts a job.
func (l *loadMonitor) addSample(delayed bool) {
	l.samples++
	if delayed {
		l.delayed++
	}
}

// delayedFraction returns the fraction of recent jobs that were delayed, or 0 if there were too few.
func (l *loadMonitor) delayedFraction() float64 {
	if l.samples < minSamples {
		return 0
	}
	return l.delayed / l.samples
}

// decay reduces the weight of the samples by one evaluation interval.
func (l *loadMonitor) decay() {
	l.delayed *= sampleDecay
	l.samples *= sampleDecay
}

// jobQueue is a queue of jobs in order of arrival.
type jobQueue struct {
	jobs  []*waitingJob
	start int // index of the first job; earlier elements are nil
}

// push adds a job.
func (j *jobQueue) push(job *waitingJob) {
	if j.start > len(j.jobs)/2 {
		remaining := copy(j.jobs, j.jobs[j.start:])
		clear(j.jobs[remaining:])
		j.jobs = j.jobs[:remaining]
		j.start = 0
	}
	j.jobs = append(j.jobs, job)
}

// first returns the job that arrived first, or nil if the queue is empty.
func (j *jobQueue) first() *waitingJob {
	if j.start == len(j.jobs) {
		return nil
	}
	return j.jobs[j.start]
}

// pop removes the first job.
func (j *jobQueue) pop() {
	j.jobs[j.start] = nil
	j.start++
}
