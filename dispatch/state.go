package dispatch

import (
	"math/rand/v2"
	"time"
)

// Dispatcher holds the state of one dispatcher; see Step. It is not safe for concurrent use.
type Dispatcher struct {
	settings       Settings
	latestReplicas ReplicasChanged // overrides the settings; Replicas 0: none was received
	rng            *rand.Rand
	source         *rand.PCG     // of rng: all of its state
	now            time.Duration // of this step
	actions        []Action      // of this step

	timers      timerQueue
	maintenance timer

	jobs         map[uint64]*jobInfo
	queue        jobQueue
	quotas       tenantQuotas
	objectives   objectives
	arrivals     arrivalStatistics
	workload     workloadModel
	subscription endpointSubscription
	hedges       tokenBucket // one token for each hedged request, or less by its work

	leases          *leaseExchange // slots leased from other dispatchers and to them
	fleet           workerFleet
	cordons         cordons
	reservation     reservation
	starts          startMonitor
	stalls          stallDetector
	outliers        outlierDetector
	slowStart       slowStart
	checks          healthChecker
	idleConnections connectionHistory
}
