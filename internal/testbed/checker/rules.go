package checker

import (
	"fmt"
	"time"
)

// This file holds the rules by name and number, and the report of a rule that is broken.

// rule is a rule's number; its name is what a verdict says.
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

// RuleNames are the names of the rules.
var RuleNames = [ruleCount]string{
	"one-answer", "payout-once", "key-scope", "refusal-harmless", "drain", "cold",
	"one-attempt-per-node", "attempts", "made-by-node", "prompt-refusal", "id-unknown", "bad-clients", "limits", "crash",
}

func (r rule) String() string { return RuleNames[r] }

// report notes a broken rule. A job breaks each rule once.
func (c *Checker) report(broken rule, job *job, requestID, format string, args ...any) {
	if job != nil {
		if job.brokenRules&(1<<broken) != 0 {
			return
		}
		job.brokenRules |= 1 << broken
	}
	if c.violationCounts[broken]++; c.violationCounts[broken] > maxExplained {
		return
	}
	violation := Violation{Rule: broken.String(), At: c.now, RequestID: requestID, Text: fmt.Sprintf(format, args...)}
	if job != nil {
		violation.JobID = job.id
		job.violations = append(job.violations, len(c.violations))
	} else {
		violation.Explanation = c.explainFleet(c.now - 10*time.Second)
	}
	c.violations = append(c.violations, violation)
}
