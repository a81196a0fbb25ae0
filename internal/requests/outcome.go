package requests

// Outcome is how an attempt or a request ended, in the words that the metrics and the status call use.
type Outcome string

// The outcomes.
const (
	OutcomeServed         Outcome = "served"
	OutcomeError          Outcome = "error"
	OutcomeRejected       Outcome = "turned away"
	OutcomeConnectFailed  Outcome = "could not connect"
	OutcomeConnectionLost Outcome = "reset"
	OutcomeTimedOut       Outcome = "timed out"
)

// Outcomes lists all outcomes.
var Outcomes = [...]Outcome{
	OutcomeServed, OutcomeError, OutcomeRejected, OutcomeConnectFailed, OutcomeConnectionLost,
	OutcomeTimedOut,
}

// isNotExecuted reports whether an outcome shows that nothing was executed. The zero Outcome does: there was no
// attempt.
func (o Outcome) isNotExecuted() bool {
	return o == "" || o == OutcomeRejected || o == OutcomeConnectFailed
}
