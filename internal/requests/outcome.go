package requests

// Outcome is how an attempt or a query ended, in the protocol's words.
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

// Outcomes are all of them.
var Outcomes = [...]Outcome{OutcomeServed, OutcomeError, OutcomeRejected, OutcomeConnectFailed, OutcomeConnectionLost, OutcomeTimedOut}

// isNotExecuted tells whether an outcome proves that nothing has run.
func (o Outcome) isNotExecuted() bool {
	return o == "" || o == OutcomeRejected || o == OutcomeConnectFailed
}
