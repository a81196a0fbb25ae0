package dispatch

// divisionGuard is added to a divisor that may be 0, to keep the quotient finite.
const divisionGuard = 1e-9

// arrivalStatistics are means over the jobs that have arrived.
type arrivalStatistics struct {
	count      float64
	meanWeight float64 // priority weight
	meanCost   float64 // work times slots, in seconds
}

// newArrivalStatistics returns the statistics before the first job, with the mean weight of all classes.
func newArrivalStatistics(classes []Class) arrivalStatistics {
	statistics := arrivalStatistics{}
	for i := range classes {
		statistics.meanWeight += classes[i].PriorityWeight / float64(len(classes))
	}
	return statistics
}

// observe updates the means with a job. The mean cost of the first jobs is their plain average.
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

// tauFraction returns the fraction of the paper's tau after which a job of a priority weight is promoted. It
// is less than 1 for weights above the mean, so that under overload capacity goes to the jobs of most
// utility.
func (a *arrivalStatistics) tauFraction(weight float64) float64 {
	return min(1, (a.meanWeight+divisionGuard)/(max(weight, 0)+divisionGuard))
}
