package badclients

import "fmt"

// Rule is a rule by which a play is judged.
type Rule string

// The rules. Those on time depend on the machine too: a testbed that is held up sees them broken by a scheduler that is not.
const (
	RuleMemory      Rule = "memory" // all processes together stay within the limit
	RuleRunsOnce    Rule = "payout runs once"
	RuleAnswered    Rule = "answered" // no connection ends without an answer to a request that it may have read
	RuleInTime      Rule = "answered in time"
	RuleLateAttempt Rule = "client has left" // nothing is sent for a client that has left
	RuleRuns        Rule = "runs"            // the scheduler does not end by itself
)

// DependsOnTime reports whether the verdict depends on how fast the machine is.
func (r Rule) DependsOnTime() bool { return r == RuleInTime || r == RuleLateAttempt }

// Violation is a broken rule.
type Violation struct {
	Rule Rule
	Text string
}

// String returns the rule and what was seen.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Text) }

// violate records a broken rule.
func (r *Result) violate(rule Rule, format string, arguments ...any) {
	r.Violations = append(r.Violations, Violation{rule, fmt.Sprintf(format, arguments...)})
}
