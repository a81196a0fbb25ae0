package score

import (
	"cmp"
	"math"
	"slices"
)

// Disturbance is a fault, or several: those that overlap are one, and so is one that begins before the worth earned
// was back after the last.
//
// What it did is read off Earned over Asked by the second in which jobs were due, as a mean over two seconds: that of
// an instant is of the two seconds that follow the whole second. Before is the share over the 10 s before the
// disturbance, leaving out seconds that it or the one before it touches; where none is left, it is that of the one
// before it, and of the first, 1. The share is down where it is under 95% of Before. A dip is looked for from the
// disturbance's first second until 5 s after its end, or its start if it does not end while jobs fall due. The worth
// is back at the first whole second after the dip's beginning, and after the disturbance's end, at which the share is
// not down. A second in which nothing was due says nothing.
type Disturbance struct {
	Faults    []string `json:"faults"`
	From      float64  `json:"from"`
	To        float64  `json:"to"` // its end; From, if it did not end while jobs fell due
	Lasting   bool     `json:"lasting"`
	Before    float64  `json:"before"`
	HasDip    bool     `json:"dip"`        // the share went down at all
	Lowest    float64  `json:"low"`        // the least it was, from the dip until it was back
	FromStart float64  `json:"from_start"` // s until it was first back; 0 without a dip
	FromEnd   float64  `json:"from_end"`   // s from its end until it was back; 0 if it was by then
	Recovered bool     `json:"recovered"`  // else FromEnd is how long it was seen not to be back
}

// Recovery is the worst of the disturbances' FromEnd.
type Recovery struct {
	Seconds float64 `json:"seconds"`
	All     bool    `json:"all"` // each of them was seen to end
	Count   int     `json:"disturbances"`
}

const (
	recoveredShare   = 0.95
	smoothingSeconds = 2  // seconds
	baselineSeconds  = 10 // seconds
	dipWindowSeconds = 5  // seconds
)

func disturbances(faults []Fault, sent, earned Series, length float64) []Disturbance {
	faults = slices.Clone(faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.On, b.On) })
	seconds := min(len(sent), int(math.Ceil(length)))
	ratios := ratios{sent[:seconds], earned[:seconds], length}
	outputs := []Disturbance{}
	for i := 0; i < len(faults); {
		if faults[i].On >= length {
			break
		}
		disturbance := Disturbance{From: faults[i].On, To: faults[i].On}
		disturbance.Before = ratios.before(disturbance.From, outputs)
		for next := length; ; next = length {
			for ; i < len(faults) && (faults[i].On <= disturbance.To || len(disturbance.Faults) == 0); i++ {
				disturbance.join(faults[i], length)
			}
			if i < len(faults) {
				next = min(next, faults[i].On)
			}
			if ratios.measure(&disturbance, next); disturbance.Recovered || i == len(faults) || faults[i].On >= length {
				break
			}
			disturbance.join(faults[i], length) // the last is not over
			i++
		}
		outputs = append(outputs, disturbance)
	}
	return outputs
}

func (d *Disturbance) join(f Fault, length float64) {
	d.Faults = append(d.Faults, f.Text)
	if f.Off < 0 || f.Off >= length {
		d.Lasting = true
		d.To = max(d.To, f.On)
	} else {
		d.To = max(d.To, f.Off)
	}
}

// ratios are worth earned and asked for, by the second in which jobs were due.
type ratios struct {
	requested, earned Series
	length            float64
}

func (r ratios) between(from, to int) (x float64, ok bool) {
	from, to = max(from, 0), min(to, len(r.requested))
	if from >= to {
		return 0, false
	}
	a := r.requested[from:to].Sum()
	return share(r.earned[from:to].Sum(), a), a > 0
}

func (r ratios) before(at float64, earlier []Disturbance) float64 {
	from, none := int(at)-baselineSeconds, 1.0
	if n := len(earlier); n > 0 {
		from = max(from, int(math.Ceil(earlier[n-1].To+earlier[n-1].FromEnd)))
		none = earlier[n-1].Before
	}
	if x, ok := r.between(from, int(at)); ok {
		return x
	}
	return none
}

// measure finds the dip that d made before limit, and when it was over.
func (r ratios) measure(disturbance *Disturbance, limit float64) {
	end := min(int(limit), len(r.requested))
	if limit >= r.length {
		end = len(r.requested)
	}
	down := func(t int) (x float64, yes, ok bool) {
		x, ok = r.between(t, min(t+smoothingSeconds, end))
		return x, ok && x < recoveredShare*disturbance.Before, ok
	}
	disturbance.HasDip, disturbance.Recovered, disturbance.FromStart, disturbance.FromEnd, disturbance.Lowest = false, true, 0, 0, 0
	dip := int(disturbance.From)
	for ; ; dip++ {
		if dip >= end || float64(dip) > disturbance.To+dipWindowSeconds {
			return
		}
		if _, yes, _ := down(dip); yes {
			break
		}
	}
	disturbance.HasDip, disturbance.Recovered, disturbance.Lowest = true, false, 1
	back := false
	for t := dip; t < end; t++ {
		x, yes, ok := down(t)
		if !ok {
			continue
		}
		if yes {
			disturbance.Lowest = min(disturbance.Lowest, x)
			continue
		}
		if !back {
			back, disturbance.FromStart = true, max(0, float64(t)-disturbance.From)
		}
		if float64(t) >= math.Floor(disturbance.To) {
			disturbance.Recovered, disturbance.FromEnd = true, max(0, float64(t)-disturbance.To)
			return
		}
	}
	disturbance.FromEnd = max(0, limit-disturbance.To)
	if !back {
		disturbance.FromStart = limit - disturbance.From
	}
}

func recovery(list []Disturbance) Recovery {
	outputs := Recovery{All: true, Count: len(list)}
	for i := range list {
		outputs.Seconds = max(outputs.Seconds, list[i].FromEnd)
		outputs.All = outputs.All && list[i].Recovered
	}
	return outputs
}
