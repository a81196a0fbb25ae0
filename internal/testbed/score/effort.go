package score

// Effort counts what was done to serve, as observed at clients and workers.
type Effort struct {
	Requests           int     `json:"tries"`
	Retries            int     `json:"retries"`         // requests after a job's first
	RequestsUnreached  int     `json:"tries_unreached"` // found no scheduler; not among Requests
	Resent             int     `json:"resent"`          // the same request once more on a new connection
	RequestsServed     int     `json:"tries_served"`    // requests that were answered
	RequestsRejected   int     `json:"tries_refused"`   // by schedulers
	RequestsFailed     int     `json:"tries_failed"`
	Attempts           int     `json:"attempts"` // that reached workers
	PerJob             float64 `json:"attempts_per_job"`
	MaxAttempts        int     `json:"attempts_most"` // of one job, over all its requests
	Hedged             int     `json:"second_copies"` // attempts while an earlier one of the request had neither ended nor been cancelled
	Accepted           int     `json:"accepted"`
	Rejected           int     `json:"turned_away"` // by workers
	Full               int     `json:"full"`        // of these, 503 and 504
	Returned           int     `json:"returned"`    // by workers, not started
	Cancelled          int     `json:"withdrawn"`
	DuplicatesDropped  int     `json:"repeats_dropped"` // by a cell that knew the idempotency key
	Callbacks          int     `json:"notes"`
	CallbacksLost      int     `json:"notes_lost"`
	HealthChecks       int     `json:"probes"`
	Connections        int     `json:"links"`          // connections opened to workers
	Overloads          int     `json:"pushed_over"`    // of workers that are warming up
	Duplicates         int     `json:"strays"`         // events of attempts whose request is not known, or ended long ago
	Unknown            int     `json:"unknown"`        // events of jobs or requests that are not open
	WorkAfterObjective float64 `json:"work_after_aim"` // of jobs served late; not waste
	WorkRequested      float64 `json:"work_asked"`     // once for each job
	WorkRun            float64 `json:"work_run"`       // by workers
	WorkUseful         float64 `json:"work_useful"`    // it gave the response of a request that was served
	WorkPending        float64 `json:"work_pending"`   // for requests that were open when the run ended
}

// Waste is work that served nobody. An attempt that was killed counts for as long as it ran, at most its work.
type Waste struct {
	Share      float64 `json:"share"` // of the work requested
	Work       float64 `json:"work"`
	Repeated   float64 `json:"repeated"`    // another attempt gave the response
	TooLate    float64 `json:"too_late"`    // its client had timed out
	ClientLeft float64 `json:"client_left"` // its client had left
	Unused     float64 `json:"unused"`      // its client was rejected, got an error or lost its connection
	Errors     float64 `json:"errors"`      // it ended with an error
	Killed     float64 `json:"killed"`      // its worker died
}

// roundingShare is the part of the work run below which work pending is an error of rounding.
const roundingShare = 1e-9

// result returns the counts and sums, given the number of responses by kind and of jobs due.
func (e *effort) result(responses responseCounts, jobsDue int) (Effort, Waste) {
	result := e.Effort
	result.RequestsServed = responses.of(requestServed)
	result.RequestsRejected = responses.of(requestRejected)
	result.RequestsFailed = responses.of(requestFailed)
	result.PerJob = share(float64(result.Attempts), float64(jobsDue))
	result.WorkRequested = e.workRequested
	result.WorkRun = e.workRun
	result.WorkUseful = e.workUseful
	waste := e.waste()
	result.WorkPending = result.WorkRun - result.WorkUseful - waste.Work
	if result.WorkPending < roundingShare*result.WorkRun {
		result.WorkPending = 0
	}
	return result, waste
}

func (e *effort) waste() Waste {
	waste := Waste{
		Repeated:   e.wasted[wasteRepeated],
		TooLate:    e.wasted[wasteTooLate],
		ClientLeft: e.wasted[wasteClientLeft],
		Unused:     e.wasted[wasteUnused],
		Errors:     e.wasted[wasteErrors],
		Killed:     e.wasted[wasteKilled],
	}
	for _, work := range e.wasted {
		waste.Work += work
	}
	waste.Share = share(waste.Work, e.workRequested)
	return waste
}
