package process

import (
	"fmt"
	"time"

	"valvecove/internal/testbed/scenario"
)

// minDelay is the shortest delay that can be distinguished from the time that sockets and the event loop take themselves.
const minDelay = 200 * time.Microsecond

// Unsupported lists what of a scenario a run with real processes can't show, one description each. A verdict does not
// cover these parts, and lists them.
func Unsupported(spec *scenario.Scenario) []string {
	all := []string{
		"A connection is established for a scheduler as soon as the kernel has established it: the environment's delays and" +
			" limits on connections affect the data on it, not the time at which it is established.",
		"A scheduler gets its memory and its share of a core in its configuration. Both are measured, neither is enforced.",
	}
	if spec.Fleet.Workers > scenario.MaxProcessWorkers {
		all = append(all, fmt.Sprintf("%d workers are more than the %d that are supported live: each needs a listener"+
			" for each scheduler.", spec.Fleet.Workers, scenario.MaxProcessWorkers))
	}
	net := &spec.Network
	for i, span := range []scenario.Duration{net.Delay, net.CrossZone, net.ClientDelay, net.Handshake} {
		if d := span.Std(); d > 0 && d < minDelay {
			key := [...]string{"delay", "cross", "client", "handshake"}[i]
			all = append(all, fmt.Sprintf("net.%s is %v: a delay below %v can't be distinguished from that of the sockets.",
				key, d, minDelay))
		}
	}
	if spec.Peers.On {
		all = append(all, "Datagrams between schedulers are sent by the kernel alone: delay, loss and altered content of"+
			" datagrams, coordinators that lie and partitions between schedulers are left out.")
	}
	reported := map[string]bool{}
	for _, f := range spec.Faults {
		if why, ok := partlySupportedFaults[f.Kind]; ok && !reported[f.Kind] {
			reported[f.Kind] = true
			all = append(all, fmt.Sprintf("Fault %s: %s", f.Kind, why))
		}
	}
	return all
}

// partlySupportedFaults describes, by kind, what differs for the faults that a run with real processes shows only in part.
var partlySupportedFaults = map[string]string{
	"cut": "a new connection is established, and then silent; for the scheduler, a request that it writes to it may have" +
		" run.",
	"cut_one_way": "as for cut.",
	"slow_read":   "requests count as read a second late; the scheduler's writes do not take longer.",
	"delay":       "it delays the data on connections, not their establishment.",
}
