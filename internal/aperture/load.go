package aperture

import (
	"math"
	"time"

	"valvecove/dispatch"
)

const (
	delayThresholdPercent = 25          // of a class's latency objective: a job that is queued for longer counts as delayed
	loadWindow            = time.Second // time constant of the samples' exponential decay
	minSamples            = 8           // with fewer samples, the delayed fraction is 0
)

// sampleDecay is the factor by which the weight of a sample decreases from one evaluation to the next.
var sampleDecay = math.Exp(-evaluationInterval.Seconds() / loadWindow.Seconds())

// loadMonitor measures the fraction of jobs that are delayed for lack of capacity: jobs that the policy queues for longer than
// their class's delay threshold, and jobs that a worker rejects because it is full. Late starts at a worker are not counted, as
// they occur when several schedulers send to the same worker, which wider subsets make more frequent.
type loadMonitor struct {
	waiting         map[uint64]*waitingJob // jobs whose wait has not ended, by ID
	queues          []jobQueue             // by class; jobs in order of arrival
	delayThresholds []time.Duration        // by class
	free            []*waitingJob          // values to be reused
	delayed         float64                // number of delayed jobs, with exponential decay
	samples         float64                // number of jobs, with exponential decay
}

// waitingJob is a job in a jobQueue. It stays in the queue for the delay threshold of its class, also if its wait ends earlier.
type waitingJob struct {
	id        uint64
	class     int
	arrivedAt time.Duration
	waitEnded bool // the job was sent, closed, or counted as delayed
}

// newLoadMonitor returns a loadMonitor without samples.
func newLoadMonitor(settings dispatch.Settings) loadMonitor {
	monitor := loadMonitor{
		waiting: map[uint64]*waitingJob{},
		queues:  make([]jobQueue, len(settings.Classes)),
	}
	for _, class := range settings.Classes {
		monitor.delayThresholds = append(monitor.delayThresholds, class.LatencyObjective*delayThresholdPercent/100)
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

// allocate returns a waitingJob to be overwritten, from l.free if possible.
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
		l.endWait(job)
		l.addSample(now-job.arrivedAt > l.delayThresholds[job.class])
	}
}

// jobClosed ends the wait of a job without a sample.
func (l *loadMonitor) jobClosed(id uint64) {
	if job := l.waiting[id]; job != nil {
		l.endWait(job)
	}
}

// endWait ends the wait of a job.
func (l *loadMonitor) endWait(job *waitingJob) {
	delete(l.waiting, job.id)
	job.waitEnded = true
}

// expireJobs ends the wait of jobs that have become delayed, and takes their samples. stalled means that this process was not
// running in time: as it could not have sent the jobs earlier, no samples are taken.
func (l *loadMonitor) expireJobs(now time.Duration, stalled bool) {
	for class := range l.queues {
		queue := &l.queues[class]
		for {
			job := queue.first()
			if job == nil || now-job.arrivedAt <= l.delayThresholds[class] {
				break
			}
			queue.pop()
			if !job.waitEnded {
				l.endWait(job)
				if !stalled {
					l.addSample(true)
				}
			}
			l.free = append(l.free, job)
		}
	}
}

// addSample counts a job as delayed or not.
func (l *loadMonitor) addSample(delayed bool) {
	l.samples++
	if delayed {
		l.delayed++
	}
}

// delayedFraction returns the fraction of recent jobs that were delayed, or 0 if there were too few jobs.
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
