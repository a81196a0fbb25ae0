package process

import (
	"fmt"
	"time"

	"valvecove/internal/testbed/scenario"
)

// minDelay is the shortest delay that can be told from what sockets and the loop take by themselves.
const minDelay = 200 * time.Microsecond

// Unsupported says what of a scenario a live run can't show, one sentence each. A verdict leaves that out, and says so.
func Unsupported(spec *scenario.Scenario) []string {
	all := []string{
		"A connection is up for a scheduler as soon as the kernel has it up: what the environment's delays and limits on" +
			" connections do to it shows in what comes over it, not in its coming up.",
		"A scheduler is told its memory and its part of a core, and both are measured; it is held to neither.",
	}
	if spec.Fleet.Workers > scenario.MaxProcessWorkers {
		all = append(all, fmt.Sprintf("%d workers are more than the %d that are tried live: each is a listener"+
			" for each scheduler.", spec.Fleet.Workers, scenario.MaxProcessWorkers))
	}
	net := &spec.Network
	for i, span := range []scenario.Duration{net.Delay, net.CrossZone, net.ClientDelay, net.Handshake} {
		if d := span.Std(); d > 0 && d < minDelay {
			key := [...]string{"delay", "cross", "client", "handshake"}[i]
			all = append(all, fmt.Sprintf("net.%s is %v: below %v sockets hide it.", key, d, minDelay))
		}
	}
	if spec.Peers.On {
		all = append(all, "Datagrams between schedulers go by the kernel alone: what the scenario says of their delay, loss and"+
			" content, of coordinators that lie and of partitions between schedulers is left out.")
	}
	notified := map[string]bool{}
	for _, f := range spec.Faults {
		if why, ok := partlySupportedFaults[f.Kind]; ok && !notified[f.Kind] {
			notified[f.Kind] = true
			all = append(all, fmt.Sprintf("Fault %s: %s", f.Kind, why))
		}
	}
	return all
}

// partlySupportedFaults are those that live shows in part.
var partlySupportedFaults = map[string]string{
	"cut": "a new connection comes up, and is silent from there on; the scheduler takes a request that it writes to it" +
		" for one that may have run.",
	"cut_one_way": "as for cut.",
	"slow_read":   "requests count as read a second late; the scheduler's writes take no longer than ever.",
	"delay":       "it acts on what comes over connections, not on how long they take to come up.",
}
