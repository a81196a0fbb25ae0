package dispatch

import "time"

// busyGain is the weight of the latest sample in workerFleet.zoneBusy, which averages over about ten samples.
const busyGain = 0.1

// workerFleet holds the workers that are listed or have attempts in flight, and the indexes over them.
type workerFleet struct {
	byID      map[uint64]*workerInfo
	workers   []*workerInfo // the workers of byID, for iteration: the order of the map is random
	available workerIndex   // those that may have capacity
	rings     preferenceRings
	dirty     []*workerInfo   // to be reindexed before the next choice
	zoneBusy  map[int]float64 // by zone: the estimated probability that a worker has no free slot
}

func newWorkerFleet() workerFleet {
	return workerFleet{byID: map[uint64]*workerInfo{}, zoneBusy: map[int]float64{}}
}

// add adds a worker under an ID that is not in use.
func (f *workerFleet) add(id uint64, worker *workerInfo) {
	worker.position = len(f.workers)
	worker.timer = timer{purpose: workerAvailable, worker: worker}
	f.byID[id] = worker
	f.workers = append(f.workers, worker)
}

// contains reports whether a worker is part of the fleet, and not one that has been removed since.
func (f *workerFleet) contains(worker *workerInfo) bool { return f.byID[worker.ID] == worker }

// remove removes a worker of the fleet. The last element of workers takes its position.
func (f *workerFleet) remove(worker *workerInfo) {
	delete(f.byID, worker.ID)
	f.available.remove(worker)
	last := f.workers[len(f.workers)-1]
	f.workers[worker.position] = last
	last.position = worker.position
	f.workers[len(f.workers)-1] = nil
	f.workers = f.workers[:len(f.workers)-1]
}

// markDirty marks a worker to be reindexed before the next choice.
func (f *workerFleet) markDirty(worker *workerInfo) {
	if !worker.index.dirty {
		worker.index.dirty = true
		f.dirty = append(f.dirty, worker)
	}
}

// countReady returns the number of workers that may be sent jobs.
func (f *workerFleet) countReady() int {
	ready := 0
	for _, w := range f.workers {
		if w.Ready {
			ready++
		}
	}
	return ready
}

// observeBusy updates the estimate of a zone with whether one of its workers had no free slot. There is one
// estimate for each zone, as there are too few samples of each worker.
func (f *workerFleet) observeBusy(zone int, busy bool) {
	f.zoneBusy[zone] *= 1 - busyGain
	if busy {
		f.zoneBusy[zone] += busyGain
	}
}

// decayBusy moves the estimates of all zones towards 0 by the decay of the elapsed time.
func (f *workerFleet) decayBusy(elapsed time.Duration) {
	for zone := range f.zoneBusy {
		f.zoneBusy[zone] *= 1 - elapsed.Seconds()/speedDecayTime.Seconds()
	}
}

// fleetSummary has statistics of the ready workers.
type fleetSummary struct {
	ready, ejected, failing int
	logSpeeds               float64 // sum
	maxLogSpeed             float64
}

func (f *workerFleet) summarise() fleetSummary {
	summary := fleetSummary{maxLogSpeed: -maxLogFeature}
	for _, w := range f.workers {
		if !w.Ready {
			continue
		}
		summary.ready++
		summary.logSpeeds += w.speed.log
		summary.maxLogSpeed = max(summary.maxLogSpeed, w.speed.log)
		if w.outlier.failing {
			summary.failing++
		}
		if w.outlier.ejectionTime > 0 {
			summary.ejected++
		}
	}
	return summary
}
