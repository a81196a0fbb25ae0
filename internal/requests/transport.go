package requests

import "valvecove/dispatch"

// Transport connects the table to the workers and to discovery. Its methods do not block. They may call the table before they
// return.
type Transport interface {
	// Start sends an attempt to its worker and updates its stage. It calls EndAttempt when the attempt ends, unless a callback
	// has ended it.
	Start(attempt *Attempt)
	// Abandon notifies the worker that an attempt has ended here.
	Abandon(attempt *Attempt)
	// Cancel asks the worker to stop an attempt that was written, once the worker has accepted it. It calls CancelCompleted
	// with the result, or CancelUnaccepted if the worker does not accept the attempt in time.
	Cancel(attempt *Attempt)
	// CheckHealth checks whether a worker can be connected to. It calls HealthChecked with the result.
	CheckHealth(worker uint64)
	// CloseIdleConnections closes the idle connections to a worker.
	CloseIdleConnections(worker uint64)
	// Watch watches the endpoint list for changes after a revision. It calls UpdateEndpoints with each, and DiscoveryFailed on a
	// failure.
	Watch(after int64)
}

// HealthChecked passes the result of Transport.CheckHealth to the policy. failure is nil if the worker is healthy.
func (t *Table) HealthChecked(worker uint64, failure *AttemptError) {
	t.policy.addEvent(dispatch.HealthChecked{Worker: worker, Result: failure.result()})
}
