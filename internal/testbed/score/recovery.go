package score

import (
	"cmp"
	"math"
	"slices"
)

// Disturbance is one fault or several. Faults that overlap are one disturbance; a fault that begins before the run has
// recovered from a disturbance belongs to that disturbance too.
//
// The effect is measured by the share of value earned. Jobs count in the second in which they were due, and the share at a
// whole second is that of the two seconds that follow it. Before is the share over the 10 s before the disturbance, without
// the seconds that this disturbance or the previous one affects. If no second is left, Before is that of the previous
// disturbance, or 1 for the first. The share is down if it is below 95% of Before. A dip is searched for from the
// disturbance's first second until 5 s after its end, or after its start if it does not end while jobs become due. The run
// has recovered at the first whole second after the dip's start, and after the disturbance's end, at which the share is not
// down. Seconds at which no job was due are ignored.
type Disturbance struct {
	Faults    []string `json:"faults"`
	From      float64  `json:"from"`
	To        float64  `json:"to"`      // latest end of its faults; for a fault that does not end, its start
	Lasting   bool     `json:"lasting"` // one of its faults did not end while jobs became due
	Before    float64  `json:"before"`
	HasDip    bool     `json:"dip"`        // the share was down at some time
	Lowest    float64  `json:"low"`        // the smallest share from the dip until the recovery
	FromStart float64  `json:"from_start"` // seconds until the share was first not down after the dip; 0: no dip
	FromEnd   float64  `json:"from_end"`   // seconds from its end until the recovery; 0 if the recovery came first
	Recovered bool     `json:"recovered"`  // if false, FromEnd is the time that was observed without recovery
}

// Recovery summarises the disturbances of a run.
type Recovery struct {
	Seconds float64 `json:"seconds"` // the largest FromEnd
	All     bool    `json:"all"`     // the run recovered from each of them
	Count   int     `json:"disturbances"`
}

const (
	recoveredShare   = 0.95 // of Before: the share is down if it is below that
	smoothingSeconds = 2
	baselineSeconds  = 10
	dipWindowSeconds = 5
)

// disturbances groups faults, and measures their effects from the value requested and earned in each second. length is the
// number of seconds in which jobs became due.
func disturbances(faults []Fault, requested, earned Series, length float64) []Disturbance {
	faults = slices.Clone(faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.On, b.On) })
	faults = faults[:faultsBefore(faults, length)]
	seconds := min(len(requested), int(math.Ceil(length)))
	ratios := valueRatios{requested[:seconds], earned[:seconds], length}
	list := []Disturbance{}
	for len(faults) > 0 {
		disturbance := Disturbance{From: faults[0].On, To: faults[0].On}
		disturbance.Before = ratios.before(disturbance.From, list)
		faults = ratios.gatherAndMeasure(&disturbance, faults)
		list = append(list, disturbance)
	}
	return list
}

// faultsBefore returns how many of the sorted faults begin before an instant.
func faultsBefore(faults []Fault, at float64) int {
	for i := range faults {
		if faults[i].On >= at {
			return i
		}
	}
	return len(faults)
}

// gatherAndMeasure adds faults to a disturbance, the first one in any case, until the run recovers before the next fault
// begins, and measures the effect. It returns the remaining faults.
func (r valueRatios) gatherAndMeasure(disturbance *Disturbance, faults []Fault) []Fault {
	for {
		disturbance.addFault(faults[0], r.length)
		faults = faults[1:]
		for len(faults) > 0 && faults[0].On <= disturbance.To {
			disturbance.addFault(faults[0], r.length)
			faults = faults[1:]
		}
		if len(faults) == 0 {
			r.measure(disturbance, r.length)
			return faults
		}
		r.measure(disturbance, faults[0].On)
		if disturbance.Recovered {
			return faults
		}
	}
}

// addFault adds a fault to the disturbance.
func (d *Disturbance) addFault(fault Fault, length float64) {
	d.Faults = append(d.Faults, fault.Text)
	if fault.Off < 0 || fault.Off >= length {
		d.Lasting = true
		d.To = max(d.To, fault.On)
	} else {
		d.To = max(d.To, fault.Off)
	}
}

// valueRatios has the value requested and earned, by the second in which jobs were due.
type valueRatios struct {
	requested Series
	earned    Series
	length    float64 // in seconds
}

// between returns the share earned from one second to another, and false if nothing was requested.
func (r valueRatios) between(from, to int) (earned float64, ok bool) {
	from, to = max(from, 0), min(to, len(r.requested))
	if from >= to {
		return 0, false
	}
	requested := r.requested[from:to].Sum()
	return share(r.earned[from:to].Sum(), requested), requested > 0
}

// before returns Disturbance.Before for a disturbance that begins at an instant after earlier ones.
func (r valueRatios) before(at float64, earlier []Disturbance) float64 {
	from, fallback := int(at)-baselineSeconds, 1.0
	if len(earlier) > 0 {
		last := &earlier[len(earlier)-1]
		from = max(from, int(math.Ceil(last.To+last.FromEnd)))
		fallback = last.Before
	}
	if baseline, ok := r.between(from, int(at)); ok {
		return baseline
	}
	return fallback
}

// shareState is the share at a whole second.
type shareState struct {
	share   float64
	isKnown bool // something was requested
	isDown  bool
}

// stateAt returns the share at a second, from jobs due before end, and compares it with the share before a disturbance.
func (r valueRatios) stateAt(second, end int, before float64) shareState {
	earned, ok := r.between(second, min(second+smoothingSeconds, end))
	return shareState{share: earned, isKnown: ok, isDown: ok && earned < recoveredShare*before}
}

// measure finds the dip of a disturbance and the recovery from it. It uses only the seconds before a limit.
func (r valueRatios) measure(disturbance *Disturbance, limit float64) {
	end := min(int(limit), len(r.requested))
	if limit >= r.length {
		end = len(r.requested)
	}
	disturbance.clearEffect()
	dip, found := r.findDip(disturbance, end)
	if !found {
		disturbance.Recovered = true
		return
	}
	disturbance.HasDip, disturbance.Lowest = true, 1
	r.findRecovery(disturbance, dip, end, limit)
}

func (d *Disturbance) clearEffect() {
	d.HasDip, d.Recovered, d.FromStart, d.FromEnd, d.Lowest = false, false, 0, 0, 0
}

// findDip returns the first second, until 5 s after the disturbance's end, at which the share is down.
func (r valueRatios) findDip(disturbance *Disturbance, end int) (second int, found bool) {
	for second = int(disturbance.From); second < end && float64(second) <= disturbance.To+dipWindowSeconds; second++ {
		if r.stateAt(second, end, disturbance.Before).isDown {
			return second, true
		}
	}
	return 0, false
}

// findRecovery finds the recovery after a dip, and sets Lowest, FromStart, FromEnd and Recovered.
func (r valueRatios) findRecovery(disturbance *Disturbance, dip, end int, limit float64) {
	wasUp := false
	for second := dip; second < end; second++ {
		state := r.stateAt(second, end, disturbance.Before)
		if !state.isKnown {
			continue
		}
		if state.isDown {
			disturbance.Lowest = min(disturbance.Lowest, state.share)
			continue
		}
		if !wasUp {
			wasUp = true
			disturbance.FromStart = max(0, float64(second)-disturbance.From)
		}
		if float64(second) >= math.Floor(disturbance.To) {
			disturbance.Recovered = true
			disturbance.FromEnd = max(0, float64(second)-disturbance.To)
			return
		}
	}
	disturbance.FromEnd = max(0, limit-disturbance.To)
	if !wasUp {
		disturbance.FromStart = limit - disturbance.From
	}
}

func recovery(list []Disturbance) Recovery {
	result := Recovery{All: true, Count: len(list)}
	for i := range list {
		result.Seconds = max(result.Seconds, list[i].FromEnd)
		result.All = result.All && list[i].Recovered
	}
	return result
}
