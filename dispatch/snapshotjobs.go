package dispatch

import (
	"maps"
	"slices"
)

// The parts of a snapshot for jobs, attempts, and what refers to them.

// serializeWorkersAndJobs writes or reads the workers and jobs with their attempts. As these refer to each
// other, the number of workers and the jobs come first, then the rest.
func (d *Dispatcher) serializeWorkersAndJobs(codec *codec) {
	codec.workerIndexes = map[*workerInfo]int{}
	codec.jobIndexes = map[*jobInfo]int{}
	for i, worker := range d.fleet.workers {
		codec.workerIndexes[worker] = i
	}
	list(codec, &d.fleet.workers, func(worker **workerInfo) {
		if !codec.writing {
			*worker = &workerInfo{}
		}
	})
	codec.workers = d.fleet.workers
	d.serializeJobs(codec)
	for _, job := range codec.jobs {
		list(codec, &job.attempts, func(attempt **attemptInfo) {
			if !codec.writing {
				*attempt = &attemptInfo{job: job}
				(*attempt).timer = timer{purpose: attemptOverdue, attempt: *attempt}
			}
			(*attempt).serialize(codec)
		})
	}
	d.serializeWorkers(codec)
}

// serializeJobs writes or reads the jobs, without their attempts.
func (d *Dispatcher) serializeJobs(codec *codec) {
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		codec.jobIndexes[d.jobs[id]] = len(codec.jobs)
		codec.jobs = append(codec.jobs, d.jobs[id])
	}
	list(codec, &codec.jobs, func(job **jobInfo) {
		if codec.writing {
			(*job).serialize(codec, d.settings.Classes)
			return
		}
		*job = &jobInfo{heapIndex: -1}
		(*job).bindTimers()
		(*job).serialize(codec, d.settings.Classes)
		d.jobs[(*job).ID] = *job
	})
}

// serialize writes or reads a job without its attempts and leases.
func (j *jobInfo) serialize(codec *codec, classes []Class) {
	codec.uint(&j.ID)
	codec.int(&j.Class)
	codec.int(&j.Tenant)
	codec.uint(&j.Key)
	codec.duration(&j.Remaining, &j.Hint)
	codec.float(&j.Slots, &j.Memory, &j.demand, &j.longProbability, &j.work, &j.lotteryDraw)
	codec.instant(&j.arrivedAt, &j.deadline, &j.objectiveAt, &j.promoteAt, &j.checksUntil)
	isDeprioritized := j.isDeprioritized()
	isUnreachable := j.priority == priorityUnreachable
	codec.flags(
		&j.Retry, &isDeprioritized, &isUnreachable, &j.closed, &j.streaming, &j.inPromotions, &j.recheckOnEnd,
	)
	j.priority = priorityLevelOf(isDeprioritized, isUnreachable)
	codec.int(&j.inFlight)
	codec.int(&j.skipCount)
	if j.Class < 0 || j.Class >= len(classes) {
		codec.invalid = true
		j.Class = 0
	}
	j.class = &classes[j.Class]
}

// priorityLevelOf returns the priority that two flags encode.
func priorityLevelOf(isDeprioritized, isUnreachable bool) priorityLevel {
	switch {
	case isUnreachable:
		return priorityUnreachable
	case isDeprioritized:
		return priorityOverQuota
	default:
		return priorityFull
	}
}

// serialize writes or reads an attempt.
func (a *attemptInfo) serialize(codec *codec) {
	codec.int(&a.number)
	codec.worker(&a.worker)
	codec.int(&a.zone)
	codec.int(&a.cell)
	codec.instant(&a.sentAt, &a.startedAt, &a.progressAt)
	codec.flags(&a.started, &a.ended, &a.sentAtLimit, &a.orphaned)
	codec.duration(&a.connectionIdle, &a.expectedRun)
	codec.int((*int)(&a.result))
}

// serialize writes or reads the queued jobs. The order within each heap is kept, as it decides between equal
// jobs.
func (q *jobQueue) serialize(codec *codec) {
	fixedList(codec, q.demandClasses, func(class *demandClass) {
		list(codec, &class.byScore.items, func(job **jobInfo) { codec.job(job) })
		list(codec, &class.byPromotion.items, func(job **jobInfo) {
			codec.job(job)
			codec.instant(&(*job).promoteAt)
			codec.int(&(*job).skipCount)
		})
	})
	if codec.writing {
		return
	}
	for index := range q.demandClasses {
		for i, job := range q.demandClasses[index].byScore.items {
			job.heapIndex = i
			job.demandClass = index
			q.length++
		}
	}
}

// serialize writes or reads the attempts that have not started.
func (s *startTracker) serialize(codec *codec) {
	for class := range s.pending {
		pending := s.pending[class][s.first[class]:]
		list(codec, &pending, func(attempt **attemptInfo) { codec.attempt(attempt) })
		s.pending[class] = pending
		s.first[class] = 0
	}
	list(codec, &s.late, func(attempt **attemptInfo) { codec.attempt(attempt) })
}

// serialize writes or reads the reservation, if there is one.
func (r *reservation) serialize(codec *codec) {
	isReserved := r.worker != nil
	codec.flags(&isReserved)
	if isReserved {
		codec.worker(&r.worker)
		codec.job(&r.job)
	}
}

// job writes or reads a reference to a job. One to a job that has been removed is read as a closed job.
func (c *codec) job(job **jobInfo) {
	index := -1
	if at, ok := c.jobIndexes[*job]; ok {
		index = at
	}
	c.int(&index)
	if c.writing {
		return
	}
	if index >= 0 && index < len(c.jobs) {
		*job = c.jobs[index]
		return
	}
	*job = &jobInfo{heapIndex: -1, closed: true, class: &Class{}}
	(*job).bindTimers()
}

// attempt writes or reads a reference to an attempt. One to an attempt that has ended is read as an ended
// attempt without a worker.
func (c *codec) attempt(attempt **attemptInfo) {
	var job *jobInfo
	number := -1
	if c.writing && !(*attempt).ended {
		job = (*attempt).job
		number = (*attempt).number
	}
	c.job(&job)
	c.int(&number)
	if c.writing {
		return
	}
	if number >= 0 && number < len(job.attempts) {
		*attempt = job.attempts[number]
		return
	}
	*attempt = &attemptInfo{job: job, ended: true, worker: &workerInfo{}}
	(*attempt).timer = timer{purpose: attemptOverdue, attempt: *attempt}
}
