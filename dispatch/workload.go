package dispatch

import (
	"math"
	"time"
)

const (
	overrunDecayTime      = 60 * time.Second // time constant of the decay of a class's overrun ratio
	minExpectedRunSeconds = 1e-3             // shorter expected runs count as this in an overrun ratio
	maxKnownKeys          = 10000            // keys whose past work is stored
)

// workloadModel estimates how long jobs run: a correction of their hints, how far runs differ from what was
// expected, and the logistic model that gives a job its score. Work is in seconds on a worker of speed 1;
// logarithms (logs) are natural.
type workloadModel struct {
	classes        []Class
	sizeCorrection [][slotBuckets]float64 // log of the ratio of work to its hint, by class and slots
	overrunRatio   []float64              // by class: greatest ratio of a run to the expected, decays to 1
	weights        []float64              // of the logistic model: a bias for each class, then hint and slots

	longWorkThreshold    float64 // log of the work beyond which a job is long
	meanShortSojourn     float64 // seconds: the paper's mu_short
	meanAbsoluteLogError float64 // of runs relative to what was expected

	keyWork     map[uint64]float64   // by key: the work observed in its last run
	keysOmitted int                  // known keys whose work a snapshot omitted
	kinds       map[int]*machineInfo // by machine kind
	maxLogSpeed float64              // of the ready workers
}

// newWorkloadModel returns a model that has observed no run.
func newWorkloadModel(classes []Class) workloadModel {
	model := workloadModel{
		classes:              classes,
		sizeCorrection:       make([][slotBuckets]float64, len(classes)),
		overrunRatio:         make([]float64, len(classes)),
		weights:              make([]float64, len(classes)+2),
		meanAbsoluteLogError: initialLogError,
		keyWork:              map[uint64]float64{},
		kinds:                map[int]*machineInfo{},
	}
	for class := range classes {
		model.overrunRatio[class] = 1
	}
	model.weights[model.hintWeight()] = initialHintWeight
	model.meanShortSojourn = max(meanObjective(classes), minInitialSojourn)
	model.longWorkThreshold = math.Log(model.meanShortSojourn)
	return model
}

// meanObjective returns the mean latency objective of classes, in seconds.
func meanObjective(classes []Class) float64 {
	mean := 0.0
	for i := range classes {
		mean += classes[i].LatencyObjective.Seconds() / float64(len(classes))
	}
	return mean
}

// hintWeight and slotsWeight return the indexes of the weights of these features in the logistic model.
func (m *workloadModel) hintWeight() int { return len(m.classes) }

func (m *workloadModel) slotsWeight() int { return len(m.classes) + 1 }

// machineKind returns the estimates for a machine kind.
func (m *workloadModel) machineKind(kind int) *machineInfo {
	if m.kinds[kind] == nil {
		m.kinds[kind] = &machineInfo{}
	}
	return m.kinds[kind]
}

// rememberKey stores the work observed in a run with a key; key 0 is none. When maxKnownKeys are stored, all
// are removed first: keys in use are soon observed again.
func (m *workloadModel) rememberKey(key uint64, work float64) {
	if len(m.keyWork)+m.keysOmitted >= maxKnownKeys {
		clear(m.keyWork)
		m.keysOmitted = 0
	}
	if key != 0 {
		m.keyWork[key] = work
	}
}

// observeOverrun records the ratio of a run to the expected one, both in seconds. One job far heavier than
// its hint can overload a warming worker alone, so its class is budgeted as if each job were like it.
func (m *workloadModel) observeOverrun(class int, run, expected float64) {
	ratio := run / max(expected, minExpectedRunSeconds)
	m.overrunRatio[class] = max(m.overrunRatio[class], ratio)
}

// decayOverruns reduces the overrun ratios by the decay of the elapsed time.
func (m *workloadModel) decayOverruns(elapsed time.Duration) {
	for class := range m.overrunRatio {
		ratio := m.overrunRatio[class] * (1 - elapsed.Seconds()/overrunDecayTime.Seconds())
		m.overrunRatio[class] = max(1, ratio)
	}
}

// rescale subtracts a shift from the logs of all sizes, and of all speeds that are part of the model.
func (m *workloadModel) rescale(shift float64) {
	for _, kind := range m.kinds {
		kind.logSpeed -= shift
	}
	for class := range m.sizeCorrection {
		for bucket := range m.sizeCorrection[class] {
			m.sizeCorrection[class][bucket] -= shift
		}
	}
	for key := range m.keyWork {
		m.keyWork[key] *= math.Exp(-shift)
	}
	m.longWorkThreshold -= shift
	m.maxLogSpeed -= shift
}

// KeyWork returns the work, in seconds on a worker of speed 1, observed in the last run with the given key.
// Pass it to RecallKeyWork of a restored dispatcher before a job with that key arrives there.
func (d *Dispatcher) KeyWork(key uint64) (work float64, ok bool) {
	work, ok = d.workload.keyWork[key]
	return work, ok
}

// RecallKeyWork gives a restored dispatcher the work of a key that its snapshot omitted. It changes nothing
// if the key is known, or if none was omitted.
func (d *Dispatcher) RecallKeyWork(key uint64, work float64) {
	if _, known := d.workload.keyWork[key]; !known && d.workload.keysOmitted > 0 {
		d.workload.keysOmitted--
		d.workload.keyWork[key] = work
	}
}
