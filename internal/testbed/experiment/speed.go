package experiment

import (
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"valvecove/internal/testbed/scenario"
)

// Speed has the measurement of how fast the simulation ran.
type Speed struct {
	Requests uint64
	Elapsed  time.Duration
}

// PerSecond returns the requests simulated in a second of real time.
func (s Speed) PerSecond() float64 { return float64(s.Requests) / max(s.Elapsed.Seconds(), 1e-9) }

// Spread returns the minimum, the median and the maximum of some figures, of which there must be at least one.
func Spread(all []float64) (low, median, high float64) {
	all = slices.Sorted(slices.Values(all))
	return all[0], stat.Quantile(0.5, stat.Empirical, all, nil), all[len(all)-1]
}

// minLength is the minimum length of a scaled scenario: figures mean nothing before the fleet has filled with jobs.
const minLength = 8 * time.Second

// ScaleFleet returns a copy of a scenario with the given number of workers, the same load for its capacity, and a length in which
// the given number of jobs come due. Its schedulers get descriptors in proportion to the workers: with fewer, clients would wait
// for connections, and the run would measure only that.
func ScaleFleet(spec *scenario.Scenario, workers int, jobs float64) (*scenario.Scenario, error) {
	changed := spec.Clone()
	changed.Drivers = []string{scenario.DriverSimulation}
	if err := changed.Set("fleet.nodes", fmt.Sprint(workers)); err != nil {
		return nil, err
	}
	if err := changed.Set("schedulers.sockets", fmt.Sprint(max(changed.Schedulers.Sockets, 32*workers))); err != nil {
		return nil, err
	}
	length := time.Duration(jobs / changed.Rate() * float64(time.Second)).Round(10 * time.Millisecond)
	if err := changed.Set("length", fmt.Sprintf("%q", max(length, minLength))); err != nil {
		return nil, err
	}
	changed.Name = fmt.Sprintf("%s-%d", spec.Name, workers)
	return changed, nil
}
