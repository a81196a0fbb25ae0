package checker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// This file defines the verdict on a run, and derives it from what the checker found.

// Verdict is the result of checking a run.
type Verdict struct {
	Violations []Violation `json:"broken"`
	Invalid    string      `json:"void,omitempty"` // why the run is invalid; empty: it is valid
	Counts     Counts      `json:"counts"`
	Rules      []RuleCount `json:"rules"`
	NotChecked []string    `json:"left_out,omitempty"` // what can't be checked in this run, and why
}

// Violation is a violation of one rule, by one job, scheduler, worker or client.
type Violation struct {
	Rule        string        `json:"rule"`
	At          time.Duration `json:"at"`
	JobID       uint64        `json:"job,omitempty"`  // 0 if it is about none
	RequestID   string        `json:"call,omitempty"` // empty if it is about none
	Text        string        `json:"text"`
	Explanation []string      `json:"story"` // the events of the whole job, in order of time
}

// RuleCount counts the checks of a rule, and the jobs, processes and clients that violated it. Verdict.Violations has only the
// first of them.
type RuleCount struct {
	Rule     string `json:"rule"`
	Checked  int    `json:"looked"`
	Violated int    `json:"broken"`
}

// Counts count what the checker observed.
type Counts struct {
	Jobs            int `json:"jobs"`
	Requests        int `json:"tries"`
	Served          int `json:"served"` // this and the next six count requests
	Rejected        int `json:"refused"`
	Failed          int `json:"failed"`
	ConnectionsLost int `json:"lost"`     // their connection ended without a response
	TimedOut        int `json:"gave_up"`  // their clients timed out
	ClientsLeft     int `json:"left"`     // their clients left before the deadline
	Excused         int `json:"excused"`  // requests without a response that a fault or their client excuses
	Open            int `json:"open"`     // not ended when the run ended
	Attempts        int `json:"attempts"` // that reached a worker
	Started         int `json:"began"`    // executions
	Duplicates      int `json:"repeats"`  // attempts that a cell dropped as repeats
	Misbehaving     int `json:"bad"`      // misbehaving clients
	Evicted         int `json:"crowded"`  // settled jobs that were evicted before their retention expired
	Unknown         int `json:"stray"`    // trace events of unknown or evicted jobs and requests
	Overlaps        int `json:"suspects"` // overlaps examined, most of them cancellations that cross the later attempt
}

// Verdict returns what was found so far, including violations by requests that are still open. The run may continue after it.
func (c *Checker) Verdict() Verdict {
	verdict := Verdict{Violations: []Violation{}, Counts: c.counts}
	// Open requests are checked on a copy of the findings, as they may still be answered.
	found := slices.Clone(c.violations)
	checked := c.checkCounts
	violated := c.violationCounts
	saved := c.saveJobs()
	for _, state := range saved {
		c.checkOpenRequests(state.job, &verdict.Counts)
	}
	for _, overlap := range c.overlaps {
		if overlap.provedOpenAt > 0 && c.now > overlap.provedOpenAt+c.workerDelay {
			c.reportOverlap(overlap)
		}
	}
	c.checkOpenMisbehaving()
	for _, state := range saved {
		for _, i := range state.job.violations {
			c.violations[i].Explanation = c.explainJob(state.job)
		}
	}
	verdict.Violations = append(verdict.Violations, c.violations...)
	slices.SortStableFunc(verdict.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	for r := range ruleCount {
		verdict.Rules = append(verdict.Rules, RuleCount{r.String(), c.checkCounts[r], c.violationCounts[r]})
	}
	c.violations = found
	c.checkCounts = checked
	c.violationCounts = violated
	for _, state := range saved {
		state.job.violatedRules = state.violatedRules
		state.job.violations = state.violations
	}
	if c.maxLateness > c.options.MaxLateness {
		verdict.Invalid = fmt.Sprintf("the testbed itself was %v late, more than %v", c.maxLateness, c.options.MaxLateness)
	}
	verdict.NotChecked = c.notChecked()
	return verdict
}

// savedJob is the part of a job that the checks of open requests change.
type savedJob struct {
	job           *job
	violatedRules uint32
	violations    []int
}

// saveJobs saves all jobs, in order of their IDs, and gives each its own copy of its violations.
func (c *Checker) saveJobs() []savedJob {
	var saved []savedJob
	for _, job := range c.jobs {
		saved = append(saved, savedJob{job, job.violatedRules, job.violations})
	}
	slices.SortFunc(saved, func(a, b savedJob) int { return cmp.Compare(a.job.id, b.job.id) })
	for _, state := range saved {
		state.job.violations = slices.Clone(state.violations)
	}
	return saved
}

// checkOpenRequests counts a job's open requests, and checks those whose deadline has passed.
func (c *Checker) checkOpenRequests(job *job, counts *Counts) {
	for i := range job.requests {
		request := &job.requests[i]
		if request.state != requestOpen {
			continue
		}
		counts.Open++
		if c.now > request.deadline+c.slack+2*c.clientDelay {
			c.checkUnanswered(job, request, c.now, false, counts)
		}
	}
}

// checkOpenMisbehaving reports misbehaving clients whose response or close is overdue, in order of their connections.
func (c *Checker) checkOpenMisbehaving() {
	for _, conn := range slices.Sorted(maps.Keys(c.misbehaving)) {
		client := c.misbehaving[conn]
		if !client.answered && c.now > client.connectedAt+c.misbehaviorDeadline(client.kind) {
			c.reportUnansweredClient(client)
		}
	}
}

// notChecked lists the rules that can't be checked in this run, and why.
func (c *Checker) notChecked() []string {
	var list []string
	if len(c.workersImpaired) > 0 {
		list = append(list, "one-attempt-per-node, attempts: overlaps that begin while messages to workers"+
			" may get lost (by "+c.impairedBy()+"), as a scheduler may have cancelled the earlier attempt")
	}
	if 2*c.clientDelay > c.slack {
		list = append(list, "one-answer, in time: clients close before an answer that was sent just before the deadline can"+
			" have arrived, as messages may take longer than the slack")
	}
	if !c.options.RealProcesses {
		list = append(list, "bad-clients: there are no bytes on sockets in virtual time",
			"limits: there are no processes in virtual time, whose memory and descriptors could be counted")
	}
	return list
}

// impairedBy returns the scenario's names of the faults and settings by which messages to workers may get lost.
func (c *Checker) impairedBy() string {
	var by []string
	for i := range c.spec.Faults {
		if fault := &c.spec.Faults[i]; impairingFaults[fault.Kind] && !slices.Contains(by, fault.Kind) {
			by = append(by, fault.Kind)
		}
	}
	if c.spec.Network.DropsIdleAfter > 0 {
		by = append(by, "net.drops_idle")
	}
	return strings.Join(by, ", ")
}
