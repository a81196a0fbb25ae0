package live

import (
	"fmt"
	"time"

	"valvecove/internal/lab/scenario"
)

// finest is the shortest delay that can be told from what sockets and the loop take by themselves.
const finest = 200 * time.Microsecond

// Unseen says what of a scenario a live play can't show, one sentence each. A verdict leaves that out, and says so.
func Unseen(spec *scenario.Scenario) []string {
	all := []string{
		"A connection is up for a scheduler as soon as the kernel has it up: what the world's delays and limits on" +
			" connections do to it shows in what comes over it, not in its coming up.",
		"A scheduler is told its memory and its part of a core, and both are measured; it is held to neither.",
	}
	if spec.Fleet.Nodes > scenario.LiveNodes {
		all = append(all, fmt.Sprintf("%d worker nodes are more than the %d that are tried live: each is a listener"+
			" for each scheduler.", spec.Fleet.Nodes, scenario.LiveNodes))
	}
	net := &spec.Net
	for i, span := range []scenario.Span{net.Delay, net.Cross, net.Client, net.Handshake} {
		if d := span.D(); d > 0 && d < finest {
			key := [...]string{"delay", "cross", "client", "handshake"}[i]
			all = append(all, fmt.Sprintf("net.%s is %v: below %v sockets hide it.", key, d, finest))
		}
	}
	told := map[string]bool{}
	for _, f := range spec.Faults {
		if why, ok := unseenFaults[f.What]; ok && !told[f.What] {
			told[f.What] = true
			all = append(all, fmt.Sprintf("Fault %s: %s", f.What, why))
		}
	}
	return all
}

// unseenFaults are those that live shows in part.
var unseenFaults = map[string]string{
	"cut": "a new connection comes up, and is silent from there on; the scheduler takes a query that it writes to it" +
		" for one that may have run.",
	"cut_one_way": "as for cut.",
	"slow_read":   "queries count as read a second late; the scheduler's writes take no longer than ever.",
	"delay":       "it acts on what comes over connections, not on how long they take to come up.",
}
