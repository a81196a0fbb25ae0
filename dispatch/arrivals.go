package dispatch

// divisionGuard keeps a quotient of two figures finite where the divisor may be 0.
const divisionGuard = 1e-9

// arrivalStatistics are means over the jobs that have arrived.
type arrivalStatistics struct {
	count      float64
	meanWeight float64 // priority weight
	meanCost   float64 // work times slots, in seconds
}

// newArrivalStatistics assumes as many jobs of each class.
func newArrivalStatistics(classes []Class) arrivalStatistics {
	statistics := arrivalStatistics{}
	for i := range classes {
		statistics.meanWeight += classes[i].PriorityWeight / float64(len(classes))
	}
	return statistics
}

// observe updates the means by a job. The first ones count in full towards the mean cost.
func (a *arrivalStatistics) observe(weight, cost float64) {
	a.count++
	costGain := max(slowMeanGain, 1/a.count)
	a.meanWeight += slowMeanGain * (weight - a.meanWeight)
	a.meanCost += (cost - a.meanCost) * costGain
}

// relativeCost returns a cost as a multiple of the mean job's.
func (a *arrivalStatistics) relativeCost(cost float64) float64 {
	return cost / (a.meanCost + divisionGuard)
}

// tauFraction returns the part of the paper's tau after which a job of a priority weight is promoted: less than 1 for one
// above the mean, so that under overload capacity goes to what has most utility.
func (a *arrivalStatistics) tauFraction(weight float64) float64 {
	return min(1, (a.meanWeight+divisionGuard)/(max(weight, 0)+divisionGuard))
}
