package checker

import (
	"fmt"
	"time"
)

// This file defines the rules by name and number, and reports their violations.

// rule is the number of a rule, an index of RuleNames.
type rule uint8

const (
	ruleOneAnswer rule = iota
	rulePayoutOnce
	ruleKeyScope
	ruleRefusalHarmless
	ruleDrain
	ruleCold
	ruleOnePerWorker
	ruleAttempts
	ruleMadeByWorker
	rulePromptRefusal
	ruleIDUnknown
	ruleBadClients
	ruleLimits
	ruleCrash
	ruleCount
)

// RuleNames are the names of the rules, as verdicts and scripts give them.
var RuleNames = [ruleCount]string{
	"one-answer", "payout-once", "key-scope", "refusal-harmless", "drain", "cold",
	"one-attempt-per-node", "attempts", "made-by-node", "prompt-refusal", "id-unknown", "bad-clients", "limits", "crash",
}

// String returns the name of the rule.
func (r rule) String() string { return RuleNames[r] }

// explainedFleetSpan is how far back the explanation of a violation without a job lists events of the fleet.
const explainedFleetSpan = 10 * time.Second

// report records a violation of a rule. The job is nil if the violation is not about one. Further violations of a rule by the
// same job are ignored.
func (c *Checker) report(violated rule, job *job, requestID, format string, args ...any) {
	if job != nil {
		if job.violatedRules&(1<<violated) != 0 {
			return
		}
		job.violatedRules |= 1 << violated
	}
	c.violationCounts[violated]++
	if c.violationCounts[violated] > maxExplained {
		return
	}
	violation := Violation{Rule: violated.String(), At: c.now, RequestID: requestID, Text: fmt.Sprintf(format, args...)}
	if job != nil {
		violation.JobID = job.id
		job.violations = append(job.violations, len(c.violations))
	} else {
		violation.Explanation = c.explainFleet(c.now - explainedFleetSpan)
	}
	c.violations = append(c.violations, violation)
}
