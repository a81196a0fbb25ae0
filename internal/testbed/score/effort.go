package score

// Effort counts the requests, attempts and work of a run, as observed at clients and workers.
type Effort struct {
	Requests           int     `json:"tries"`
	Retries            int     `json:"retries"`         // requests of jobs other than their first
	RequestsUnreached  int     `json:"tries_unreached"` // requests that found no scheduler; not among Requests
	Resent             int     `json:"resent"`          // requests that were sent again, unchanged, on a new connection
	RequestsServed     int     `json:"tries_served"`    // answered with 200
	RequestsRejected   int     `json:"tries_refused"`   // by schedulers, with 429 or 503
	RequestsFailed     int     `json:"tries_failed"`    // answered with any other status
	Attempts           int     `json:"attempts"`        // that reached workers
	PerJob             float64 `json:"attempts_per_job"`
	MaxAttempts        int     `json:"attempts_most"` // of one job, over all its requests
	Hedged             int     `json:"second_copies"` // attempts while an earlier one of the request was open and not cancelled
	Accepted           int     `json:"accepted"`
	Rejected           int     `json:"turned_away"` // by workers
	Full               int     `json:"full"`        // of Rejected, those with 503 or 504
	Returned           int     `json:"returned"`    // by workers, without having started
	Cancelled          int     `json:"withdrawn"`
	DuplicatesDropped  int     `json:"repeats_dropped"` // by a cell that had seen the idempotency key before
	Callbacks          int     `json:"notes"`
	CallbacksLost      int     `json:"notes_lost"`
	HealthChecks       int     `json:"probes"`
	Connections        int     `json:"links"`          // connections opened to workers
	Overloads          int     `json:"pushed_over"`    // of workers that are warming up
	OrphanedEvents     int     `json:"strays"`         // events of attempts whose request is unknown or ended long ago
	Unknown            int     `json:"unknown"`        // events of jobs or requests that are not open; repeated JobDue events
	WorkAfterObjective float64 `json:"work_after_aim"` // of jobs served late; not waste
	WorkRequested      float64 `json:"work_asked"`     // once for each job
	WorkRun            float64 `json:"work_run"`       // by workers
	WorkUseful         float64 `json:"work_useful"`    // work whose result was the response of a served request
	WorkPending        float64 `json:"work_pending"`   // work for requests that were open when the run ended
}

// Waste is work whose result no client got. An attempt that was killed counts with the time that it ran, up to its work.
type Waste struct {
	Share      float64 `json:"share"` // of the work requested
	Work       float64 `json:"work"`
	Repeated   float64 `json:"repeated"`    // the response came from another attempt
	TooLate    float64 `json:"too_late"`    // its client had timed out
	ClientLeft float64 `json:"client_left"` // its client had left
	Unused     float64 `json:"unused"`      // its client was rejected, got an error or lost its connection
	Errors     float64 `json:"errors"`      // it ended with an error
	Killed     float64 `json:"killed"`      // its worker died
}

// roundingShare is the share of WorkRun below which WorkPending is taken for a rounding error.
const roundingShare = 1e-9

// result returns the effort and the waste, given the number of responses by kind and the number of jobs due.
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
