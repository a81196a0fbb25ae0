package worker

import "valvecove/internal/requests"

// RequestTable is what a pool needs of the request table that it serves. *requests.Table implements it.
type RequestTable interface {
	EndpointLookup
	AttemptReporter
	HealthReporter
	CancelReporter
}

// EndpointLookup returns what discovery has listed about workers.
type EndpointLookup interface {
	Endpoint(worker uint64) requests.Endpoint
	WorkerNumber(endpointID string) (worker uint64, known bool)
	MayReceive(worker uint64) bool
}

// AttemptReporter finds attempts in flight and is notified of their progress and end.
type AttemptReporter interface {
	InFlightAttempt(requestID uint64, number int) *requests.Attempt
	ReportWritten(attempt *requests.Attempt)
	ReportResponse(attempt *requests.Attempt, statusCode int)
	EndAttempt(attempt *requests.Attempt, result []byte, failure *requests.AttemptError)
}

// HealthReporter is notified of the results of health checks.
type HealthReporter interface {
	HealthChecked(worker uint64, failure *requests.AttemptError)
}

// CancelReporter is notified of the results of cancellations.
type CancelReporter interface {
	CancelUnaccepted(attempt *requests.Attempt)
	CancelCompleted(attempt *requests.Attempt, confirmed bool)
}
