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
func (j *Checker) report(r rule, b *job, call, format string, args ...any) {
	if b != nil {
		if b.brokenRules&(1<<r) != 0 {
			return
		}
		b.brokenRules |= 1 << r
	}
	if j.violationCounts[r]++; j.violationCounts[r] > maxExplained {
		return
	}
	f := Violation{Rule: r.String(), At: j.now, RequestID: call, Text: fmt.Sprintf(format, args...)}
	if b != nil {
		f.JobID = b.id
		b.violations = append(b.violations, len(j.violations))
	} else {
		f.Explanation = j.explainFleet(j.now - 10*time.Second)
	}
	j.violations = append(j.violations, f)
}
