package environment

import (
	"slices"
	"time"
)

// workerJobs holds the attempts that a worker's process has admitted and that have not ended: queued, running, and duplicates
// that wait for the run of another attempt. All running attempts progress at the same rate per slot.
type workerJobs struct {
	byRequest       map[string]*attempt
	all             []*attempt // in no order; attempt.allIndex is the index
	queue           []*attempt // in order of arrival
	running         runningHeap
	usedSlots       float64
	progressPerSlot float64 // work done per slot since the process started, in seconds at speed 1
	progressRate    float64 // growth of progressPerSlot per second
	progressAt      time.Duration
	queuedWork      float64 // sum over the queue of slots x work
	runningEndSum   float64 // sum over the running attempts of slots x endProgress
	admittedCount   uint64  // attempts admitted by all processes
}

// restart sets the progress back to zero for a process that starts at now.
func (j *workerJobs) restart(now time.Duration) {
	j.progressPerSlot = 0
	j.progressAt = now
}

// advance brings the progress up to now, and returns the work done since it was last brought up to date.
func (j *workerJobs) advance(now time.Duration) (work float64) {
	elapsed := now - j.progressAt
	if elapsed <= 0 {
		return 0
	}
	done := j.progressRate * elapsed.Seconds()
	j.progressPerSlot += done
	j.progressAt = now
	return done * j.usedSlots
}

// addOverhead subtracts work evenly from the progress of the running attempts. A tick that is already planned is then too
// early, and plans another.
func (j *workerJobs) addOverhead(work time.Duration) {
	j.progressPerSlot -= work.Seconds() / j.usedSlots
}

// backlog returns the work, in seconds at speed 1, that is not done at now, running and queued.
func (j *workerJobs) backlog(now time.Duration) float64 {
	progress := j.progressPerSlot + j.progressRate*(now-j.progressAt).Seconds()
	return max(0, j.queuedWork+j.runningEndSum-progress*j.usedSlots)
}

// progress returns the share of its work that a running attempt has done.
func (j *workerJobs) progress(attempt *attempt) float64 {
	return min(1, max(0, (j.progressPerSlot-attempt.startProgress)/attempt.work))
}

// firstDone returns the running attempt that ends first if its work is done; nil: none is.
func (j *workerJobs) firstDone() *attempt {
	if len(j.running) > 0 && j.running[0].endProgress <= j.progressPerSlot+workTolerance {
		return j.running[0]
	}
	return nil
}

// admit adds an attempt, which is neither queued nor running yet.
func (j *workerJobs) admit(attempt *attempt) {
	j.admittedCount++
	attempt.number = j.admittedCount
	attempt.allIndex = len(j.all)
	j.all = append(j.all, attempt)
	j.byRequest[attempt.requestID] = attempt
}

// enqueue appends an admitted attempt to the queue.
func (j *workerJobs) enqueue(attempt *attempt) {
	attempt.state = attemptQueued
	j.queuedWork += attempt.work * attempt.slots
	j.queue = append(j.queue, attempt)
}

// start moves the attempt at an index of the queue to the running ones.
func (j *workerJobs) start(index int) {
	attempt := j.queue[index]
	j.dequeue(index)
	attempt.state = attemptRunning
	attempt.startProgress = j.progressPerSlot
	attempt.endProgress = j.progressPerSlot + attempt.work
	j.usedSlots += attempt.slots
	j.runningEndSum += attempt.slots * attempt.endProgress
	j.running.add(attempt)
}

// dequeue removes the attempt at an index of the queue from it.
func (j *workerJobs) dequeue(index int) {
	attempt := j.queue[index]
	j.queue = slices.Delete(j.queue, index, index+1)
	j.queuedWork -= attempt.work * attempt.slots
	if len(j.queue) == 0 {
		j.queuedWork = 0
	}
}

// remove ends an attempt, whatever its state. The caller has brought the progress up to date.
func (j *workerJobs) remove(attempt *attempt) {
	switch attempt.state {
	case attemptQueued:
		if index := slices.Index(j.queue, attempt); index >= 0 {
			j.dequeue(index)
		}
	case attemptRunning:
		j.stopRunning(attempt)
	case attemptDuplicate:
		attempt.keyRecord.removeWaiter(attempt)
	case attemptEnded:
		return
	}
	attempt.state = attemptEnded
	last := len(j.all) - 1
	j.all[attempt.allIndex] = j.all[last]
	j.all[attempt.allIndex].allIndex = attempt.allIndex
	j.all[last] = nil
	j.all = j.all[:last]
	delete(j.byRequest, attempt.requestID)
}

// stopRunning removes an attempt from the running ones.
func (j *workerJobs) stopRunning(attempt *attempt) {
	j.running.remove(attempt.heapIndex)
	j.usedSlots -= attempt.slots
	j.runningEndSum -= attempt.slots * attempt.endProgress
	if len(j.running) == 0 {
		j.usedSlots = 0
		j.runningEndSum = 0
	}
}

// clear ends all attempts and returns them in order of admission.
func (j *workerJobs) clear() []*attempt {
	lost := j.all
	slices.SortFunc(lost, func(a, b *attempt) int { return int(a.number) - int(b.number) })
	j.all = nil
	j.queue = nil
	j.running = nil
	clear(j.byRequest)
	j.usedSlots = 0
	j.queuedWork = 0
	j.runningEndSum = 0
	j.progressRate = 0
	for _, attempt := range lost {
		attempt.state = attemptEnded
	}
	return lost
}
