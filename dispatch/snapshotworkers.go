package dispatch

// The parts of a snapshot for workers and what refers to them.

// serializeWorkers writes or reads all workers. Their number has been written or read before.
func (d *Dispatcher) serializeWorkers(codec *codec) {
	for i, worker := range d.fleet.workers {
		worker.serialize(codec)
		if codec.writing {
			continue
		}
		d.fleet.byID[worker.ID] = worker
		worker.position = i
		worker.machine = d.workload.machineKind(worker.Kind)
		worker.timer = timer{purpose: workerAvailable, worker: worker}
	}
}

// serialize writes or reads a worker.
func (w *workerInfo) serialize(codec *codec) {
	codec.uint(&w.ID)
	codec.int(&w.Kind)
	codec.int(&w.Cell)
	codec.int(&w.Zone)
	codec.int(&w.AssigneeRank)
	codec.int(&w.Assignees)
	codec.flags(
		&w.Ready, &w.Removed, &w.listed, &w.listedReady,
		&w.outlier.connectionLost, &w.check.inProgress, &w.outlier.failing, &w.index.dirty,
	)
	codec.float(
		&w.Size, &w.slots.used, &w.slots.limit, &w.speed.log, &w.speed.factor, &w.speed.samples,
		&w.report.freeSlots, &w.slots.running, &w.rejectedDemand,
		&w.slowStart.ticketStart, &w.slowStart.ticketWidth,
	)
	codec.instant(
		&w.BootAt, &w.activity.aliveAt, &w.speed.observedAt, &w.slots.decreasedAt, &w.backoff.until,
		&w.outlier.ejectedUntil, &w.slowStart.restartedAt, &w.report.receivedAt, &w.check.startedAt,
		&w.connections.lastUsedAt, &w.activity.progressAt, &w.uncordonedAt,
	)
	codec.duration(&w.backoff.delay, &w.outlier.ejectionTime)
	codec.int(&w.outlier.failures)
	codec.int(&w.outlier.connectionFailures)
	codec.int(&w.connections.open)
	codec.int(&w.orphans)
	list(codec, &w.inFlight, func(attempt **attemptInfo) { codec.attempt(attempt) })
	w.slowStart.sent.serialize(codec)
}

// serialize writes or reads the work sent to a worker in slow start.
func (w *workWindow) serialize(codec *codec) {
	list(codec, (*[]workSample)(w), func(sample *workSample) {
		codec.instant(&sample.at)
		codec.float(&sample.work)
	})
}

// machine writes or reads a machine kind and its estimates.
func (c *codec) machine(kind *int, machine **machineInfo) {
	if *machine == nil {
		*machine = &machineInfo{}
	}
	c.int(kind)
	c.float(&(*machine).logSpeed, &(*machine).samples, &(*machine).maxSlots)
	c.int(&(*machine).lateOverflows)
}

// serializeIndex writes or reads the workers that may have capacity, in the order of the index: random draws
// select by position.
func (d *Dispatcher) serializeIndex(codec *codec) {
	d.fleet.available.serialize(codec)
	list(codec, &d.fleet.dirty, func(worker **workerInfo) { codec.worker(worker) })
	if codec.writing {
		return
	}
	for _, worker := range d.fleet.workers {
		d.fleet.rings.update(worker)
	}
	d.updatePreferences()
}

// serialize writes or reads the buckets of the index with their workers.
func (w *workerIndex) serialize(codec *codec) {
	list(codec, &w.buckets, func(entry **bucket) {
		if !codec.writing {
			*entry = &bucket{}
		}
		codec.int(&(*entry).zone)
		codec.int(&(*entry).kind)
		codec.flags(&(*entry).warmingUp, &(*entry).ejected)
		list(codec, &(*entry).levels, func(level *[]*workerInfo) {
			list(codec, level, func(worker **workerInfo) { codec.worker(worker) })
		})
		if !codec.writing {
			w.setPositions(codec, *entry)
		}
	})
}

// setPositions sets the index entries of the workers of a bucket that was read.
func (w *workerIndex) setPositions(codec *codec, entry *bucket) {
	for level, workers := range entry.levels {
		for slot, worker := range workers {
			codec.check(worker.index.bucket == nil) // else it occurs twice
			worker.index.bucket = entry
			worker.index.level = level
			worker.index.slot = slot
			w.count(&worker.index, 1)
		}
	}
}

// worker writes or reads a reference to a worker. One to a worker that has been removed is read as a worker
// without an ID.
func (c *codec) worker(worker **workerInfo) {
	index := -1
	if at, ok := c.workerIndexes[*worker]; ok {
		index = at
	}
	c.int(&index)
	if c.writing {
		return
	}
	if index >= 0 && index < len(c.workers) {
		*worker = c.workers[index]
		return
	}
	*worker = &workerInfo{}
	(*worker).timer = timer{purpose: workerAvailable, worker: *worker}
}
