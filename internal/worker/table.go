package worker

import "valvecove/internal/requests"

// RequestTable is the part of the request table that a pool uses. *requests.Table implements it.
type RequestTable interface {
	EndpointLookup
	AttemptReporter
	HealthReporter
	CancelReporter
}

// EndpointLookup returns what discovery has listed about workers.
type EndpointLookup interface {
	// Endpoint returns the endpoint of a worker as last listed; its zero value if the worker is unknown.
	Endpoint(worker uint64) requests.Endpoint
	// WorkerNumber returns the number of a worker by the ID of its endpoint.
	WorkerNumber(endpointID string) (worker uint64, known bool)
	// IsAvailable reports whether an attempt may still be written to a worker: whether the worker is listed and not draining.
	IsAvailable(worker uint64) bool
}

// AttemptReporter finds attempts in flight and is notified of their progress and end.
type AttemptReporter interface {
	// InFlightAttempt returns an attempt in flight, nil if there is none.
	InFlightAttempt(requestID uint64, number int) *requests.Attempt
	// ReportWritten records that the last byte of an attempt was written: the worker may execute it from now on.
	ReportWritten(attempt *requests.Attempt)
	// ReportResponse records the status of the response to an attempt.
	ReportResponse(attempt *requests.Attempt, statusCode int)
	// EndAttempt ends an attempt, with its result or with the failure.
	EndAttempt(attempt *requests.Attempt, result []byte, failure *requests.AttemptError)
}

// HealthReporter is notified of the results of health checks.
type HealthReporter interface {
	HealthChecked(worker uint64, failure *requests.AttemptError)
}

// CancelReporter is notified of the results of cancellations.
type CancelReporter interface {
	// CancelUnaccepted ends an attempt whose DELETE was not sent because the worker did not accept the attempt in time.
	CancelUnaccepted(attempt *requests.Attempt)
	// CancelCompleted ends the cancellation of an attempt; confirmed reports whether the worker has confirmed it.
	CancelCompleted(attempt *requests.Attempt, confirmed bool)
}
