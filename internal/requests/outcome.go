package requests

// Outcome is how an attempt or a request ended. Its text is the name in metrics and in the status call.
type Outcome string

// Outcomes of attempts and requests.
const (
	OutcomeServed         Outcome = "served"
	OutcomeError          Outcome = "error"
	OutcomeRejected       Outcome = "turned away"
	OutcomeConnectFailed  Outcome = "could not connect"
	OutcomeConnectionLost Outcome = "reset"
	OutcomeTimedOut       Outcome = "timed out"
)

// Outcomes contains all outcomes.
var Outcomes = [...]Outcome{
	OutcomeServed, OutcomeError, OutcomeRejected, OutcomeConnectFailed, OutcomeConnectionLost,
	OutcomeTimedOut,
}

// isNotExecuted reports whether an attempt with the outcome was certainly not executed. The zero Outcome means that the request
// had no attempts.
func (o Outcome) isNotExecuted() bool {
	return o == "" || o == OutcomeRejected || o == OutcomeConnectFailed
}
