package simulation

import (
	"fmt"

	"valvecove/internal/testbed/scenario"
)

// Unsupported lists what a run in simulated time does not simulate of a scenario, one sentence each. Verdicts don't cover these,
// and list them.
func Unsupported(spec *scenario.Scenario) []string {
	all := []string{
		"CPU, memory and descriptors of the schedulers' processes are not measured: deciding, reading and writing take" +
			" no time, and a process has as much memory as it wants.",
		"Requests and responses pass whole between environment and scheduler: nothing is seen of how bytes are read, written and framed.",
	}
	listed := map[string]bool{}
	for _, b := range spec.Misbehaving {
		if !listed[b.Kind] {
			listed[b.Kind] = true
			all = append(all, fmt.Sprintf("Misbehaving clients (%s) are left out: what they do, they do with bytes on sockets.", b.Kind))
		}
	}
	for _, f := range spec.Faults {
		if why, ok := partlySupportedFaults[f.Kind]; ok && !listed[f.Kind] {
			listed[f.Kind] = true
			all = append(all, fmt.Sprintf("Fault %s: %s", f.Kind, why))
		}
	}
	if spec.Planners.Count > 0 {
		all = append(all, "What forwarders and planners say to each other is written and read in frames, but connections and"+
			" gossip are models: nothing is seen of sockets, of the time that a hop takes in a process, or of the engine.")
	}
	if spec.Schedulers.OperationsFile != "" {
		all = append(all, "Of the operators' file [aperture] counts alone: the other features have to do with sockets and files.")
	}
	return all
}

// partlySupportedFaults describes, by kind of fault, what a run in simulated time does not simulate.
var partlySupportedFaults = map[string]string{
	"reset_at": "a request that is reset before its last byte counts as wholly written by the scheduler, as small ones" +
		" do for a kernel.",
	"slow_read":     "requests arrive late as a whole; a write that takes its time is not seen.",
	"sched_replace": "a process that replaces another takes over at once, and loses nothing.",
	"sched_reload":  "of the configuration file read anew, only the address of discovery counts.",
}
