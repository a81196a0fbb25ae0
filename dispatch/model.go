package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	modelVersion  = 1   // of what ModelSnapshot gives
	speedSteps    = 64  // of a worker's speed, in one unit of its log
	maxModelLimit = 256 // concurrency limit that a model holds
	maxModelRuns  = 3   // runs that a worker's speed counts as learnt from, at most
	maxModelLog   = 20  // absolute value of a figure that is a logarithm
	maxModelValue = 1e9 // absolute value of any figure
	maxModelSpan  = 1e6 * time.Second
	maxSpeedShift = 8.0 // log, of a worker's speed against its kind
	workerBytes   = 14  // of a worker in a snapshot, at most
)

// model refers to what a dispatcher has learnt, except about single jobs and keys.
type model struct {
	figures   []*float64 // in the order of the snapshot
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

// rank orders workers by what is known of them.
func (m *workerModel) rank() int { return m.runs*(maxModelLimit+1) + m.limit }

// model refers to the learnt figures of a dispatcher, but for those of workers.
func (d *Dispatcher) model() model {
	learnt := model{
		figures: []*float64{
			&d.workload.longWorkThreshold, &d.workload.meanShortSojourn, &d.arrivals.meanWeight, &d.arrivals.meanCost,
			&d.workload.meanAbsoluteLogError,
		},
		durations: []*time.Duration{&d.starts.meanLateDelay, &d.starts.minDelay, &d.checks.minDelay},
		kinds:     d.workload.kinds,
		zoneBusy:  d.fleet.zoneBusy,
	}
	for class := range d.workload.sizeCorrection {
		for bucket := range d.workload.sizeCorrection[class] {
			learnt.figures = append(learnt.figures, &d.workload.sizeCorrection[class][bucket])
		}
	}
	for _, part := range [][]float64{d.workload.overrunRatio, d.workload.weights} {
		for i := range part {
			learnt.figures = append(learnt.figures, &part[i])
		}
	}
	for class := range d.objectives.firstTryTimeouts {
		learnt.durations = append(learnt.durations, &d.objectives.firstTryTimeouts[class])
	}
	return learnt
}

// ModelSnapshot appends what this dispatcher has learnt of sizes, kinds of machines and workers to b, in size bytes or little
// more: of too many workers those that it knows best. ModelUpdate brings it to another dispatcher.
func (d *Dispatcher) ModelSnapshot(size int, b []byte) []byte {
	learnt := d.model()
	from := len(b)
	writer := &codec{b: b, writing: true}
	writer.model(&learnt)
	for _, w := range d.fleet.workers {
		known := workerModel{
			id:          w.ID,
			speedOffset: int(math.Round((w.speed.log - w.machine.logSpeed) * speedSteps)),
			runs:        int(min(w.speed.samples, maxModelRuns)),
			limit:       int(min(w.slots.limit, maxModelLimit)),
		}
		if w.listed && (known.runs > 0 || known.limit > 1) {
			learnt.workers = append(learnt.workers, known)
		}
	}
	learnt.keepBest(max(0, size-(len(writer.b)-from)) / workerBytes)
	writer.workerModels(&learnt)
	return writer.b
}

// keepBest keeps so many workers, those that most is known of. It counts them by rank: sorting thousands would hold up a
// planner for milliseconds.
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

func (c *codec) model(learnt *model) {
	version := modelVersion
	c.int(&version)
	fixedList(c, learnt.figures, func(x **float64) { c.float(*x) })
	fixedList(c, learnt.durations, func(x **time.Duration) { c.duration(*x) })
	sortedMap(c, learnt.kinds, func(kind *int, k **machineInfo) {
		c.machine(kind, k)
		c.check(isPlausible((*k).runs) && isPlausible((*k).maxSlots) && math.Abs((*k).logSpeed) <= maxModelLog)
	})
	sortedMap(c, learnt.zoneBusy, func(zone *int, chance *float64) {
		c.int(zone)
		c.float(chance)
		c.check(isPlausible(*chance))
	})
	c.check(version == modelVersion)
	for _, x := range learnt.figures {
		c.check(isPlausible(*x))
	}
	for _, x := range learnt.durations {
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

// isPlausible tells a figure that may have been learnt from one that cannot.
func isPlausible(x float64) bool { return math.Abs(x) <= maxModelValue }

// hasPlausibleModel tells whether all figures are such as a dispatcher could have learnt itself.
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
	hasPlausibleError := d.workload.meanAbsoluteLogError > 0 && d.workload.meanAbsoluteLogError <= maxLogFeature
	return hasPlausibleError && d.workload.meanShortSojourn > 0 && d.arrivals.meanCost >= 0 &&
		d.starts.meanLateDelay > 0 && d.starts.minDelay > 0 && d.checks.minDelay > 0
}

// handleModelUpdate takes over a model, whole or not at all.
func (d *Dispatcher) handleModelUpdate(update ModelUpdate) {
	reader := New(d.settings, 0)
	learnt := reader.model()
	c := &codec{b: update.Snapshot}
	c.model(&learnt)
	c.workerModels(&learnt)
	if c.invalid || len(c.b) > 0 || !reader.hasPlausibleModel() {
		return
	}
	own := d.model()
	for i, x := range learnt.figures {
		*own.figures[i] = *x
	}
	for i, x := range learnt.durations {
		*own.durations[i] = *x
	}
	for kind, k := range learnt.kinds {
		*d.workload.machineKind(kind) = *k
	}
	for zone, chance := range learnt.zoneBusy {
		d.fleet.zoneBusy[zone] = chance
	}
	for i := range learnt.workers {
		d.applyWorkerModel(&learnt.workers[i], update)
	}
}

// applyWorkerModel takes over what a model says of a worker. Its speed has drifted by now as it would have here, and its
// limit is shared like the load.
func (d *Dispatcher) applyWorkerModel(m *workerModel, e ModelUpdate) {
	w := d.fleet.byID[m.id]
	if w == nil || w.speed.samples > 0 || m.runs < 0 || m.runs > maxModelRuns {
		return
	}
	if m.runs > 0 {
		kept := math.Exp(-max(0, e.Age).Seconds() / speedDecayTime.Seconds())
		w.speed.set(w.machine.logSpeed + clamp(float64(m.speedOffset)/speedSteps, maxSpeedShift)*kept)
		w.speed.samples = float64(m.runs)
		w.speed.observedAt = d.now
	}
	w.slots.limit = max(w.slots.limit, math.Floor(min(float64(m.limit), maxModelLimit)*clamp(finite(e.LoadShare), 1)))
	d.fleet.markDirty(w)
}
