package score

import (
	"strconv"
	"time"

	"valvecove/internal/testbed/trace"
)

// workerUsage is the record of a worker's occupancy, attempts and overloads.
type workerUsage struct {
	isKnown      bool
	isUp         bool
	slots        float64
	occupancy    meter
	availability meter
	first        *attempt // list of its attempts that have not ended
	attempts     int
	full         int
	overloads    int
}

// stripRow is the occupancy of some workers over time.
type stripRow struct{ use, available binnedMeter }

func newStripRow(width time.Duration, bins int) stripRow {
	return stripRow{use: newBinnedMeter(width, bins), available: newBinnedMeter(width, bins)}
}

func workerName(worker int) string { return "w-" + strconv.Itoa(worker) }

// addOccupancy counts slots of a worker as used from now on or, if slots is negative, as free.
func (s *Score) addOccupancy(worker int, slots float64) {
	s.workerAt(worker).occupancy.add(s.occupancyTime(), slots)
	s.stripRow(worker).use.add(s.now, slots)
	s.fleet.use.add(s.now, slots)
}

// workerAt returns the record of a worker. A worker whose start was not observed counts as up since the beginning of the run.
func (s *Score) workerAt(worker int) *workerUsage {
	s.workers = growTo(s.workers, worker)
	usage := &s.workers[worker]
	if !usage.isKnown {
		slots := s.defaultSlots()
		s.setUp(worker, slots)
		usage.availability.integral = slots * s.occupancyTime().Seconds()
		s.stripRow(worker).available.addFromStart(slots)
		s.fleet.available.addFromStart(slots)
		s.workersUpCurve.addFromStart(1)
	}
	return usage
}

// defaultSlots returns the slots of a worker whose start was not observed: the mean over the kinds of workers.
func (s *Score) defaultSlots() float64 {
	var slots, shares float64
	for i := range s.spec.Fleet.Kinds {
		kind := &s.spec.Fleet.Kinds[i]
		slots += kind.Share * float64(kind.Slots)
		shares += kind.Share
	}
	if shares <= 0 || slots <= 0 {
		return 1
	}
	return slots / shares
}

func (s *Score) stripRow(worker int) *stripRow { return &s.strip[s.stripRowOf(worker)] }

// stripRowOf returns the index of the strip's row for a worker.
func (s *Score) stripRowOf(worker int) int {
	return min(worker*len(s.strip)/max(1, s.spec.Fleet.Workers), len(s.strip)-1)
}

// setUp counts a worker as up from now on.
func (s *Score) setUp(worker int, slots float64) {
	usage := &s.workers[worker]
	usage.isKnown, usage.isUp, usage.slots = true, true, slots
	s.workersUp++
	usage.availability.add(s.occupancyTime(), slots)
	s.stripRow(worker).available.add(s.now, slots)
	s.fleet.available.add(s.now, slots)
	s.workersUpCurve.add(s.now, 1)
}

func (s *Score) workerStarted(event *trace.Event) {
	s.workers = growTo(s.workers, event.Worker)
	if usage := &s.workers[event.Worker]; usage.isKnown && usage.isUp {
		s.workerStopped(event)
	}
	slots := event.Slots
	if slots <= 0 {
		slots = s.defaultSlots()
	}
	s.setUp(event.Worker, slots)
}

func (s *Score) workerStopped(event *trace.Event) {
	usage := s.workerAt(event.Worker)
	for usage.first != nil {
		s.endAttempt(usage.first, attemptDied)
	}
	if !usage.isUp {
		return
	}
	usage.isUp = false
	s.workersUp--
	usage.availability.add(s.occupancyTime(), -usage.slots)
	s.stripRow(event.Worker).available.add(s.now, -usage.slots)
	s.fleet.available.add(s.now, -usage.slots)
	s.workersUpCurve.add(s.now, -1)
}

func (s *Score) workerOverloaded(event *trace.Event) {
	s.workerAt(event.Worker).overloads++
	s.effort.Overloads++
	s.addMark("worker " + workerName(event.Worker) + " pushed over")
}
