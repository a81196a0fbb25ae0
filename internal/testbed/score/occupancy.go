package score

import "time"

// Occupancy is slot seconds in use divided by slot seconds of workers that were up, in the time in which jobs became due.
type Occupancy struct {
	Whole         float64     `json:"whole"`
	Mean          float64     `json:"mean"` // of the workers that were up for at least a second
	Busiest       float64     `json:"busiest"`
	BusiestWorker int         `json:"busiest_node"`
	OverMean      float64     `json:"busiest_over_mean"`
	Workers       []WorkerUse `json:"nodes"`
	CellSeconds   float64     `json:"strip_cell_s"`
	Strip         []StripLine `json:"strip"` // until the end of the run
}

// WorkerUse is the occupancy of a worker.
type WorkerUse struct {
	Worker    int     `json:"node"`
	Use       float64 `json:"use"`
	Up        float64 `json:"up"` // share of the time in which it was up
	Slots     float64 `json:"slots"`
	Attempts  int     `json:"attempts"`
	Full      int     `json:"full,omitempty"`
	Overloads int     `json:"pushed_over,omitempty"`
}

// StripLine is the occupancy of the workers First to Last over time; -1 where none of them was up.
type StripLine struct {
	First int    `json:"first"`
	Last  int    `json:"last"`
	Use   Series `json:"use"`
}

// notUp is the value in the strip where no worker was up.
const notUp = -1

// occupancy computes the occupancy of the fleet and of each worker.
func (s *Score) occupancy() Occupancy {
	result := Occupancy{Workers: make([]WorkerUse, 0, len(s.workers)), CellSeconds: s.strip[0].available.width.Seconds()}
	var used, available, sum float64
	counted := 0
	window := s.occupancyTime()
	for i := range s.workers {
		usage := &s.workers[i]
		if !usage.isKnown {
			continue
		}
		line := usage.result(i, window)
		result.Workers = append(result.Workers, line)
		used += usage.occupancy.integral
		available += usage.availability.integral
		if usage.availability.integral < usage.slots { // it was up for less than a second
			continue
		}
		counted++
		sum += line.Use
		if line.Use > result.Busiest || counted == 1 {
			result.Busiest, result.BusiestWorker = line.Use, i
		}
	}
	result.Whole = share(used, available)
	result.Mean = share(sum, float64(counted))
	result.OverMean = share(result.Busiest, result.Mean)
	result.Strip = s.stripLines()
	return result
}

// result returns the occupancy of a worker from the start of the run to the end of a window.
func (u *workerUsage) result(worker int, window time.Duration) WorkerUse {
	u.occupancy.advanceTo(window)
	u.availability.advanceTo(window)
	return WorkerUse{
		Worker:    worker,
		Use:       share(u.occupancy.integral, u.availability.integral),
		Up:        share(u.availability.integral, u.slots*window.Seconds()),
		Slots:     u.slots,
		Attempts:  u.attempts,
		Full:      u.full,
		Overloads: u.overloads,
	}
}

// stripLines returns the occupancy of all workers over time.
func (s *Score) stripLines() []StripLine {
	lines := make([]StripLine, len(s.strip))
	for i := range lines {
		lines[i] = StripLine{First: -1, Use: s.strip[i].series(s.now, notUp)}
	}
	for worker := range max(len(s.workers), s.spec.Fleet.Workers) {
		line := &lines[s.stripRowOf(worker)]
		if line.First < 0 {
			line.First = worker
		}
		line.Last = worker
	}
	return lines
}

// series returns the occupancy of each bin, and none for bins in which no worker was up.
func (r *stripRow) series(now time.Duration, none float64) Series {
	r.use.advanceTo(now)
	r.available.advanceTo(now)
	series := make(Series, len(r.available.integrals))
	for i, available := range r.available.integrals {
		series[i] = none
		if available > roundingTolerance {
			series[i] = share(r.use.integrals[i], available)
		}
	}
	return series
}
