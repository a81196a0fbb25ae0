package requests

import (
	"testing"

	"valvecove/internal/storedform"
)

// Every field of a request table has a stated fate at a hot restart.
func TestFieldsHaveFateAtHotRestart(t *testing.T) {
	records := []any{State{}, WorkerStart{}, OpenRequest{}, OpenAttempt{}, ExecutedID{}}
	storedform.CheckFates(
		t, records, tableFates(), executedFates(), requestFates(), attemptFates(), requestIndexFates(), attemptIndexFates(), policyFates(),
		endpointSetFates(), endpointTableFates(), startTimeFates(), startTimesFates(),
	)
}

func tableFates() storedform.FieldFates {
	const own = "the successor has its own"
	return storedform.FatesOf[Table](map[string]storedform.Fate{
		"SendPeerMessage": storedform.Derived(own),
		"maxAttempts":     storedform.Derived("from the successor's settings"),
		"transport":       storedform.Derived(own),
		"observers":       storedform.Derived("the successor's observers are notified of the restored requests and attempts"),
		"requests":        storedform.Transferred("State.LastID", "OpenRequest.ID"),
		"executed":        storedform.Transferred("State.ExecutedIDs"),
		"attempts":        storedform.Transferred("OpenRequest.Attempts"),
		"policy":          storedform.Transferred("State.PolicyTimer"),
		"policyLog":       storedform.Derived(own),
		"endpoints":       storedform.Transferred("State.Endpoints", "State.ListedIDs", "State.Revision"),
		"cordons":         storedform.Transferred("State.CordonedIDs"),
		"awaitUntil":      storedform.Dropped("requests that wait for endpoints are passed to the policy before the transfer"),
	})
}

func executedFates() storedform.FieldFates {
	return storedform.FatesOf[executedIDs](map[string]storedform.Fate{
		"windows":  storedform.Derived("from the successor's settings"),
		"limit":    storedform.Derived("from the successor's limits"),
		"until":    storedform.Transferred("ExecutedID.Hash", "ExecutedID.Until"),
		"entries":  storedform.Transferred("State.ExecutedIDs"),
		"awaiting": storedform.Dropped("a step before the transfer moves them to the others"),
	})
}

func requestFates() storedform.FieldFates {
	return storedform.FatesOf[Request](map[string]storedform.Fate{
		"ID":              storedform.Transferred("OpenRequest.ID"),
		"CallID":          storedform.Transferred("OpenRequest.CallID"),
		"Payload":         storedform.Transferred("OpenRequest.Payload"),
		"Job":             storedform.Transferred("OpenRequest.Job"),
		"Deadline":        storedform.Transferred("OpenRequest.Deadline"),
		"ArrivedAt":       storedform.Transferred("OpenRequest.ArrivedAt"),
		"FirstSentAt":     storedform.Transferred("OpenRequest.FirstSentAt"),
		"state":           storedform.Transferred("OpenRequest.Closed", "OpenRequest.ClientDisconnected", "OpenRequest.Reported"),
		"responder":       storedform.Derived("the response slot whose record has the request's ID"),
		"response":        storedform.Transferred("OpenRequest.Response"),
		"attempts":        storedform.Transferred("OpenRequest.Attempts"),
		"inFlight":        storedform.Derived("from the attempts"),
		"endedByCallback": storedform.Transferred("OpenRequest.EndedByCallback"),
		"outcome":         storedform.Transferred("OpenRequest.Outcome"),
	})
}

func attemptFates() storedform.FieldFates {
	return storedform.FatesOf[Attempt](map[string]storedform.Fate{
		"Item":               storedform.Transferred("OpenAttempt.ExpiresAt"),
		"Request":            storedform.Derived("the request whose record has the attempt"),
		"Number":             storedform.Derived("its index in the request's record"),
		"Worker":             storedform.Transferred("OpenAttempt.Worker"),
		"EndpointID":         storedform.Transferred("OpenAttempt.EndpointID"),
		"Stage":              storedform.Transferred("OpenAttempt.Stage"),
		"state":              storedform.Transferred("OpenAttempt.Started", "OpenAttempt.Ended", "OpenAttempt.Cancelling"),
		"result":             storedform.Transferred("OpenAttempt.Result"),
		"cancelReason":       storedform.Transferred("OpenAttempt.Expired"),
		"ambiguousCallbacks": storedform.Derived("from the earlier attempts of the request"),
	})
}

func requestIndexFates() storedform.FieldFates {
	return storedform.FatesOf[requestIndex](map[string]storedform.Fate{
		"lastID":       storedform.Transferred("State.LastID"),
		"payloadBytes": storedform.Derived("from the payloads"),
		"byID":         storedform.Transferred("OpenRequest.ID"),
		"openByCallID": storedform.Transferred("OpenRequest.CallID"),
	})
}

func attemptIndexFates() storedform.FieldFates {
	return storedform.FatesOf[attemptIndex](map[string]storedform.Fate{
		"byKey":    storedform.Transferred("OpenRequest.Attempts"),
		"timeouts": storedform.Transferred("OpenAttempt.ExpiresAt"),
	})
}

func policyFates() storedform.FieldFates {
	return storedform.FatesOf[policyRunner](map[string]storedform.Fate{
		"newPolicy":    storedform.Derived("the successor has its own"),
		"policy":       storedform.Derived("from the policy's snapshot, or by events about each request if that can't be restored"),
		"timer":        storedform.Transferred("State.PolicyTimer"),
		"pending":      storedform.Dropped("the policy receives all events before the transfer"),
		"eventBuffer":  storedform.Dropped("reused memory"),
		"actionBuffer": storedform.Dropped("reused memory"),
	})
}

func endpointSetFates() storedform.FieldFates {
	return storedform.FatesOf[endpointSet](map[string]storedform.Fate{
		"names":      storedform.Derived("from the successor's settings"),
		"logger":     storedform.Derived("the successor has its own"),
		"revision":   storedform.Transferred("State.Revision"),
		"listed":     storedform.Transferred("State.ListedIDs"),
		"remembered": storedform.Transferred("State.Endpoints"),
		"changes":    storedform.Dropped("changes that are not logged yet; the log of the successor counts its own"),
	})
}

func endpointTableFates() storedform.FieldFates {
	return storedform.FatesOf[endpointTable](map[string]storedform.Fate{
		"numbers":  storedform.Derived("from the IDs of the endpoints, by which all processes number them alike"),
		"byNumber": storedform.Transferred("State.Endpoints"),
		"starts":   storedform.Transferred("State.Starts", "State.LeastAge"),
		"hash":     storedform.Derived("the same in all processes"),
	})
}

func startTimeFates() storedform.FieldFates {
	return storedform.FatesOf[startTime](map[string]storedform.Fate{
		"listedMs": storedform.Transferred("WorkerStart.ListedMs"),
		"at":       storedform.Transferred("WorkerStart.At"),
	})
}

func startTimesFates() storedform.FieldFates {
	const ofList = "of the list that was observed last; the successor has observed one of its own"
	return storedform.FatesOf[startTimes](map[string]storedform.Fate{
		"byWorker":        storedform.Transferred("State.Starts", "WorkerStart.EndpointID"),
		"leastAge":        storedform.Transferred("State.LeastAge"),
		"hasLeastAge":     storedform.Derived("from LeastAge, which is 0 if it is not known"),
		"seemsAhead":      storedform.Dropped("found again by the next start that precedes its list; that start counts as listed until then"),
		"receipt":         storedform.Dropped(ofList),
		"startedTogether": storedform.Dropped(ofList),
	})
}
