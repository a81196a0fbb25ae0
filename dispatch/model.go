package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	modelVersion  = 1   // of the bytes of ModelSnapshot
	speedSteps    = 64  // steps per unit in which the log of a worker's speed is stored
	maxModelLimit = 256 // greatest concurrency limit of a worker in a model
	maxModelRuns  = 3   // most runs that a worker's speed counts as estimated from
	maxModelLog   = 20  // greatest absolute value of a logarithm
	maxModelValue = 1e9 // greatest absolute value of any number
	maxModelSpan  = 1e6 * time.Second
	maxSpeedShift = 8.0 // greatest log of a worker's speed relative to its kind's
	workerBytes   = 14  // most bytes of a worker in a snapshot
)

// model refers to the estimates of a dispatcher, except those of single jobs and keys.
type model struct {
	values    []*float64 // in the order of the snapshot
	durations []*time.Duration
	kinds     map[int]*machineInfo
	zoneBusy  map[int]float64
	workers   []workerModel
}

type workerModel struct {
	id          uint64
	speedOffset int // log speed beyond that of its kind, in speedSteps
	runs        int
	limit       int
}

// rank orders workers by how much has been observed of them.
func (m *workerModel) rank() int { return m.runs*(maxModelLimit+1) + m.limit }

// model refers to the estimates of a dispatcher, except those of workers.
func (d *Dispatcher) model() model {
	estimates := model{
		values: []*float64{
			&d.workload.longWorkThreshold, &d.workload.meanShortSojourn, &d.arrivals.meanWeight,
			&d.arrivals.meanCost, &d.workload.meanAbsoluteLogError,
		},
		durations: []*time.Duration{&d.starts.meanLateDelay, &d.starts.minDelay, &d.checks.minDelay},
		kinds:     d.workload.kinds,
		zoneBusy:  d.fleet.zoneBusy,
	}
	for class := range d.workload.sizeCorrection {
		for bucket := range d.workload.sizeCorrection[class] {
			estimates.values = append(estimates.values, &d.workload.sizeCorrection[class][bucket])
		}
	}
	for _, part := range [][]float64{d.workload.overrunRatio, d.workload.weights} {
		for i := range part {
			estimates.values = append(estimates.values, &part[i])
		}
	}
	for class := range d.objectives.firstTryTimeouts {
		estimates.durations = append(estimates.durations, &d.objectives.firstTryTimeouts[class])
	}
	return estimates
}

// ModelSnapshot appends the estimates of this dispatcher to b: of the sizes of jobs, of machine kinds and of
// workers. It appends about size bytes: if there are too many workers, those with the fewest observations
// are left out. The event ModelUpdate passes the snapshot to another dispatcher.
func (d *Dispatcher) ModelSnapshot(size int, b []byte) []byte {
	estimates := d.model()
	from := len(b)
	writer := &codec{b: b, writing: true}
	writer.model(&estimates)
	for _, w := range d.fleet.workers {
		entry := workerModel{
			id:          w.ID,
			speedOffset: int(math.Round((w.speed.log - w.machine.logSpeed) * speedSteps)),
			runs:        int(min(w.speed.samples, maxModelRuns)),
			limit:       int(min(w.slots.limit, maxModelLimit)),
		}
		if w.listed && (entry.runs > 0 || entry.limit > 1) {
			estimates.workers = append(estimates.workers, entry)
		}
	}
	estimates.keepBest(max(0, size-(len(writer.b)-from)) / workerBytes)
	writer.workerModels(&estimates)
	return writer.b
}

// keepBest keeps at most count workers, those with the most observations. It counts them by rank, as sorting
// thousands would take milliseconds.
func (m *model) keepBest(count int) {
	if len(m.workers) <= count {
		return
	}
	var byRank [(maxModelRuns + 1) * (maxModelLimit + 1)]int
	for i := range m.workers {
		byRank[m.workers[i].rank()]++
	}
	cut := len(byRank) - 1
	for ; byRank[cut] <= count; cut-- {
		count -= byRank[cut]
	}
	m.workers = slices.DeleteFunc(m.workers, func(w workerModel) bool {
		rank := w.rank()
		if rank == cut {
			count--
		}
		return rank < cut || rank == cut && count < 0
	})
}

func (c *codec) model(estimates *model) {
	version := modelVersion
	c.int(&version)
	fixedList(c, estimates.values, func(x **float64) { c.float(*x) })
	fixedList(c, estimates.durations, func(x **time.Duration) { c.duration(*x) })
	sortedMap(c, estimates.kinds, func(kind *int, k **machineInfo) {
		c.machine(kind, k)
		c.check(isPlausible((*k).samples) && isPlausible((*k).maxSlots) &&
			math.Abs((*k).logSpeed) <= maxModelLog)
	})
	sortedMap(c, estimates.zoneBusy, func(zone *int, chance *float64) {
		c.int(zone)
		c.float(chance)
		c.check(isPlausible(*chance))
	})
	c.check(version == modelVersion)
	for _, x := range estimates.values {
		c.check(isPlausible(*x))
	}
	for _, x := range estimates.durations {
		c.check(*x >= 0 && *x <= maxModelSpan)
	}
}

func (c *codec) workerModels(m *model) {
	list(c, &m.workers, func(w *workerModel) {
		c.uint(&w.id)
		c.int(&w.speedOffset)
		c.int(&w.runs)
		c.int(&w.limit)
	})
}

// isPlausible reports whether a number may be an estimate of a dispatcher.
func isPlausible(x float64) bool { return math.Abs(x) <= maxModelValue }

// hasPlausibleModel reports whether all values are such as a dispatcher could have estimated itself.
func (d *Dispatcher) hasPlausibleModel() bool {
	logs := append([]float64{d.workload.longWorkThreshold}, d.workload.weights...)
	for _, corrections := range d.workload.sizeCorrection {
		logs = append(logs, corrections[:]...)
	}
	isWide := func(x float64) bool { return math.Abs(x) > maxModelLog }
	isBelowOne := func(x float64) bool { return x < 1 }
	if slices.ContainsFunc(logs, isWide) || slices.ContainsFunc(d.workload.overrunRatio, isBelowOne) {
		return false
	}
	hasPlausibleError := d.workload.meanAbsoluteLogError > 0 &&
		d.workload.meanAbsoluteLogError <= maxLogFeature
	return hasPlausibleError && d.workload.meanShortSojourn > 0 && d.arrivals.meanCost >= 0 &&
		d.starts.meanLateDelay > 0 && d.starts.minDelay > 0 && d.checks.minDelay > 0
}

// handleModelUpdate applies the model of another dispatcher. An invalid model changes nothing.
func (d *Dispatcher) handleModelUpdate(update ModelUpdate) {
	reader := New(d.settings, 0)
	estimates := reader.model()
	c := &codec{b: update.Snapshot}
	c.model(&estimates)
	c.workerModels(&estimates)
	if c.invalid || len(c.b) > 0 || !reader.hasPlausibleModel() {
		return
	}
	own := d.model()
	for i, x := range estimates.values {
		*own.values[i] = *x
	}
	for i, x := range estimates.durations {
		*own.durations[i] = *x
	}
	for kind, k := range estimates.kinds {
		*d.workload.machineKind(kind) = *k
	}
	for zone, chance := range estimates.zoneBusy {
		d.fleet.zoneBusy[zone] = chance
	}
	for i := range estimates.workers {
		d.applyWorkerModel(&estimates.workers[i], update)
	}
}

// applyWorkerModel applies the part of a model about a worker, unless this dispatcher has observed runs there
// itself. The worker's speed is decayed by the model's age, and its limit scaled by the share of the load.
func (d *Dispatcher) applyWorkerModel(known *workerModel, update ModelUpdate) {
	worker := d.fleet.byID[known.id]
	if worker == nil || worker.speed.samples > 0 || known.runs < 0 || known.runs > maxModelRuns {
		return
	}
	if known.runs > 0 {
		kept := math.Exp(-max(0, update.Age).Seconds() / speedDecayTime.Seconds())
		worker.speed.set(worker.machine.logSpeed +
			clamp(float64(known.speedOffset)/speedSteps, maxSpeedShift)*kept)
		worker.speed.samples = float64(known.runs)
		worker.speed.observedAt = d.now
	}
	worker.slots.limit = max(worker.slots.limit,
		math.Floor(min(float64(known.limit), maxModelLimit)*clamp(finiteOrZero(update.LoadShare), 1)))
	d.fleet.markDirty(worker)
}
