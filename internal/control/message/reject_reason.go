package message

// RejectReason is the reason why a forwarder's validator rejected a command. Package codec writes it as one byte, so the values
// are part of the protocol and must not change.
type RejectReason uint8

// Reasons for which a command is rejected.
const (
	ReasonNone              RejectReason = iota // the command was not rejected
	ReasonStaleEpoch                            // the command's session has ended
	ReasonUnknownRequest                        // the request is closed, or was never offered to this planner
	ReasonNotOwner                              // the request is not assigned to this planner
	ReasonPossiblyExecuted                      // a non-idempotent request may have been executed already
	ReasonOutsideScope                          // the worker is outside the deduplication scope of a possibly executed attempt
	ReasonWindowExpired                         // the deduplication window of a possibly executed attempt has expired
	ReasonWorkerDraining                        // the worker is draining or removed according to its newest status
	ReasonUnknownWorker                         // the worker is not on the forwarder's endpoint list
	ReasonDuplicateAtWorker                     // an attempt of the request is in flight at the worker
	ReasonHedgingDisabled                       // another attempt is in flight, and the settings do not permit hedging
	ReasonAttemptLimit                          // the request has had the maximum number of attempts
	ReasonDeadlineExceeded                      // the request's deadline has passed
	ReasonUnsafeRejection                       // a rejection would promise that the request was not executed
	ReasonDuplicateCommand                      // a send command with the same or a higher number was given before
	ReasonClassMismatch                         // the request's class does not permit the worker's kind or zone
	ReasonNotPermitted                          // the settings do not permit the command, or the message is not a command
	ReasonCount                                 // number of reasons
)

var reasonNames = [ReasonCount]string{
	ReasonNone:              "",
	ReasonStaleEpoch:        "stale epoch",
	ReasonUnknownRequest:    "unknown request",
	ReasonNotOwner:          "not the owner",
	ReasonPossiblyExecuted:  "possibly executed",
	ReasonOutsideScope:      "outside deduplication scope",
	ReasonWindowExpired:     "deduplication window expired",
	ReasonWorkerDraining:    "worker draining",
	ReasonUnknownWorker:     "unknown worker",
	ReasonDuplicateAtWorker: "duplicate at worker",
	ReasonHedgingDisabled:   "hedging disabled",
	ReasonAttemptLimit:      "attempt limit",
	ReasonDeadlineExceeded:  "deadline exceeded",
	ReasonUnsafeRejection:   "unsafe rejection",
	ReasonDuplicateCommand:  "duplicate command",
	ReasonClassMismatch:     "class mismatch",
	ReasonNotPermitted:      "not permitted",
}

// String returns the reason in words: "" for ReasonNone, and "unknown" for a value that is not a reason.
func (r RejectReason) String() string {
	if r < ReasonCount {
		return reasonNames[r]
	}
	return "unknown"
}
