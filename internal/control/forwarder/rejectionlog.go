package forwarder

import (
	"fmt"
	"strings"
	"time"

	"valvecove/internal/control/message"
)

// rejectionLogInterval is the time between two log lines about rejected commands.
const rejectionLogInterval = time.Second

// rejections counts the rejected commands of a planner since the last log line about them.
type rejections struct {
	byReason [message.ReasonCount]int
	total    int
}

// add counts a rejected command.
func (r *rejections) add(reason message.RejectReason) {
	r.byReason[reason]++
	r.total++
}

// String lists the reasons with their counts.
func (r *rejections) String() string {
	var parts []string
	for reason := range message.ReasonCount {
		if count := r.byReason[reason]; count > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", reason, count))
		}
	}
	return strings.Join(parts, ", ")
}

// rejectionLog logs the rejected commands of each planner, with at most one line per planner in rejectionLogInterval.
type rejectionLog struct {
	step     *step
	planners *plannerSet
	nextAt   time.Duration // when the next lines may be written
}

// write logs the rejected commands of each planner, if the interval has passed.
func (r *rejectionLog) write() {
	now := r.step.now()
	if now < r.nextAt {
		return
	}
	for _, session := range r.planners.all() {
		rejected := &session.rejections
		if rejected.total == 0 {
			continue
		}
		r.nextAt = now + rejectionLogInterval
		r.step.log("commands of a planner rejected", "planner", session.planner, "commands", rejected.total, "by_reason", rejected)
		*rejected = rejections{}
	}
}
