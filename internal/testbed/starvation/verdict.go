package starvation

import (
	"fmt"
	"time"
)

// Rule is the rule name under which the randomised search stores a run with starvation.
const Rule = "starvation"

// maxFindings bounds the findings of a verdict; later ones are only counted.
const maxFindings = 16

// Verdict counts the requests of a run, and those of them that were starved. The fields have the order of stored results.
type Verdict struct {
	Requests  int       `json:"tries"`   // that running schedulers received
	Queued    int       `json:"held"`    // starved while they were queued
	FullyIdle int       `json:"whole"`   // starved, queued or rejected, while the idle worker ran nothing at all
	Rejected  int       `json:"refused"` // starved by a rejection
	Excused   int       `json:"excused"` // rejected while a worker was idle, for a reason that the package comment lists
	Findings  []Finding `json:"cases,omitempty"`
}

// Count returns the number of starved requests.
func (v *Verdict) Count() int { return v.Queued + v.Rejected }

// String returns the verdict in one line.
func (v *Verdict) String() string {
	if v.Count() == 0 {
		return "no request starved"
	}
	return fmt.Sprintf("%d of %d requests starved: %d queued, %d rejected; for %d of them a worker had nothing to do",
		v.Count(), v.Requests, v.Queued, v.Rejected, v.FullyIdle)
}

// Finding is one starved request. A verdict has the first 16 of its run.
type Finding struct {
	At        time.Duration `json:"at_ns"` // since the start of the run
	JobID     uint64        `json:"job"`
	RequestID string        `json:"call"`
	Class     string        `json:"class"`
	Scheduler int           `json:"sched"`
	Worker    int           `json:"node"`    // the idle one
	Rejected  bool          `json:"refused"` // false: queued
	Text      string        `json:"text"`    // the finding as a sentence
}

// addFinding records that a request was starved while a worker was idle.
func (c *Checker) addFinding(affected *request, idle *worker, rejected bool) {
	affected.reported = true
	c.removeOverdue(affected)
	if idle.usedSlots == 0 {
		c.verdict.FullyIdle++
	}
	if len(c.verdict.Findings) >= maxFindings {
		return
	}
	class := c.spec.Classes[affected.job.class].Name
	c.verdict.Findings = append(c.verdict.Findings, Finding{
		At:        c.now,
		JobID:     affected.jobID,
		RequestID: affected.id,
		Class:     class,
		Scheduler: affected.scheduler,
		Worker:    idle.number,
		Rejected:  rejected,
		Text:      c.findingText(affected, idle, class, rejected),
	})
}

// findingText returns a finding as a sentence.
func (c *Checker) findingText(affected *request, idle *worker, class string, rejected bool) string {
	ending := "queued"
	if rejected {
		ending = "rejected"
	}
	queuedFor := (c.now - affected.queuedSince).Seconds()
	idleFor := (c.now - idle.idleSince[affected.job.bucket]).Seconds()
	return fmt.Sprintf("request %s of job %d (%s, %g slots) was %s by scheduler %d after %.2f s without "+
		"an attempt in flight (%d earlier ones have ended), while w-%d had %g of %g slots free for %.1f s",
		affected.id, affected.jobID, class, affected.job.slots, ending, affected.scheduler, queuedFor,
		len(affected.attempts), idle.number, idle.slots-idle.usedSlots, idle.slots, idleFor)
}
