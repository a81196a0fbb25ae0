package worker

import (
	"testing"

	"valvecove/internal/hotrestart"
	"valvecove/internal/storedform"
)

// Every field of a connection to a worker has a stated fate at a hot restart. A deadline that was left out without one had workers
// given more time than their clients had left.
func TestFieldsHaveFateAtHotRestart(t *testing.T) {
	storedform.CheckFates(t, []any{hotrestart.WorkerConnection{}}, connectionFates(), exchangeFates(), endpointFates(), poolFates())
}

func connectionFates() storedform.FieldFates {
	return storedform.FatesOf[connection](map[string]storedform.Fate{
		"Stream":         storedform.Transferred("WorkerConnection.Input", "WorkerConnection.Output"),
		"pool":           storedform.Derived("the successor's pool"),
		"endpoint":       storedform.Transferred("WorkerConnection.WorkerID"),
		"incarnation":    storedform.Derived("from the endpoint: idle connections are of its present process; one that carries an attempt counts as such"),
		"state":          storedform.Transferred("WorkerConnection.State"),
		"timer":          storedform.Derived("from the state and the deadlines"),
		"exchange":       storedform.Transferred("WorkerConnection.RequestID", "WorkerConnection.Attempt"),
		"stage":          storedform.Transferred("WorkerConnection.Stage"),
		"writeDeadline":  storedform.Transferred("WorkerConnection.WriteDeadline"),
		"idleBefore":     storedform.Transferred("WorkerConnection.IdleBefore"),
		"delayedLocally": storedform.Dropped("an attempt whose write was delayed here, and is lost, counts as lost by its worker"),
		"lastKind":       storedform.Derived("attempts alone are transferred in progress"),
		"idleSince":      storedform.Transferred("WorkerConnection.IdleSince"),
		"idleElement":    storedform.Derived("from the state"),
	})
}

func exchangeFates() storedform.FieldFates {
	return storedform.FatesOf[exchange](map[string]storedform.Fate{
		"kind":      storedform.Derived("an attempt: health checks end before the transfer, and the successor repeats cancellations"),
		"attempt":   storedform.Transferred("WorkerConnection.RequestID", "WorkerConnection.Attempt"),
		"startedAt": storedform.Dropped("the time to connect starts anew; the budget is computed once the connection is established"),
	})
}

func endpointFates() storedform.FieldFates {
	const fromList = "from the endpoint list of the request table"
	return storedform.FatesOf[endpointConnections](map[string]storedform.Fate{
		"worker":      storedform.Derived(fromList),
		"id":          storedform.Transferred("WorkerConnection.WorkerID"),
		"address":     storedform.Derived(fromList),
		"startedAtMs": storedform.Derived(fromList),
		"incarnation": storedform.Derived("counted anew"),
		"idle":        storedform.Transferred("WorkerConnection.State"),
	})
}

func poolFates() storedform.FieldFates {
	const own = "the successor has its own"
	const bySettings = "from the successor's settings"
	const learned = "learnt again from the next connection that is lost while idle"
	return storedform.FatesOf[Pool](map[string]storedform.Fate{
		"loop":                      storedform.Derived(own),
		"dial":                      storedform.Derived(own),
		"writeDelay":                storedform.Derived(own),
		"hasRelinquished":           storedform.Derived(own),
		"table":                     storedform.Derived(own),
		"maxConnections":            storedform.Derived("from the successor's limits"),
		"connectTimeout":            storedform.Derived(bySettings),
		"idleTimeout":               storedform.Derived(bySettings),
		"openCount":                 storedform.Derived("from the connections"),
		"endpoints":                 storedform.Derived("from the connections"),
		"byAttempt":                 storedform.Transferred("WorkerConnection.RequestID", "WorkerConnection.Attempt"),
		"healthChecks":              storedform.Dropped("they end before the transfer"),
		"cancelAttempts":            storedform.Derived("the successor repeats cancellations in progress, with all their connections"),
		"idle":                      storedform.Derived("from the connections"),
		"maxReuseIdleTime":          storedform.Dropped(learned),
		"maxReuseIdleTimeChangedAt": storedform.Dropped(learned),
		"writeBuffer":               storedform.Dropped("reused memory"),
		"response":                  storedform.Dropped("valid only while a response is handled"),
	})
}
