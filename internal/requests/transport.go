package requests

import "valvecove/dispatch"

// Transport reaches the workers and discovery. Its methods do not block; they may call the table back at once.
type Transport interface {
	// Start sends an attempt to its worker and sets its stage as it goes on. Its end is passed to EndAttempt, or comes
	// with a callback.
	Start(attempt *Attempt)
	// Abandon lets the worker know that an attempt has ended here.
	Abandon(attempt *Attempt)
	// Cancel asks the worker to stop an attempt that was written, once it has accepted it. The attempt ends when the
	// worker confirms; CancelCompleted takes the result. One that is not accepted in time is passed to CancelUnaccepted.
	Cancel(attempt *Attempt)
	// CheckHealth checks whether a worker can be connected to. HealthChecked takes the result.
	CheckHealth(worker uint64)
	// CloseIdleConnections closes the idle connections to a worker.
	CloseIdleConnections(worker uint64)
	// Watch follows the changes of the endpoint list after a revision. They are passed to UpdateEndpoints, a failure
	// to DiscoveryFailed.
	Watch(after int64)
}

// HealthChecked takes the result of Transport.CheckHealth; failure is nil if the worker is healthy.
func (t *Table) HealthChecked(worker uint64, failure *AttemptError) {
	t.addEvent(dispatch.HealthChecked{Worker: worker, Result: failure.result()})
}
