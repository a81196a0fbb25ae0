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
			" no time, and the memory of a process is not limited.",
		"Requests and responses pass whole between environment and scheduler: how bytes are read, written and framed is not simulated.",
	}
	listed := map[string]bool{}
	for _, b := range spec.Misbehaving {
		if !listed[b.Kind] {
			listed[b.Kind] = true
			all = append(all, fmt.Sprintf("Misbehaving clients (%s) are left out: what they do is defined in bytes on sockets.", b.Kind))
		}
	}
	for _, f := range spec.Faults {
		if why, ok := partlySupportedFaults[f.Kind]; ok && !listed[f.Kind] {
			listed[f.Kind] = true
			all = append(all, fmt.Sprintf("Fault %s: %s", f.Kind, why))
		}
	}
	if spec.Planners.Count > 0 {
		all = append(all, "Messages between forwarders and planners are written and read in frames, but connections and"+
			" gossip are models: sockets, the time that a hop takes in a process, and the engine are not simulated.")
	}
	if spec.Schedulers.OperationsFile != "" {
		all = append(all, "Of the operators' file only [aperture] has an effect: its other sections concern sockets and files.")
	}
	return all
}

// partlySupportedFaults describes, by kind of fault, what a run in simulated time does not simulate.
var partlySupportedFaults = map[string]string{
	"reset_at": "a request that is reset before its last byte counts as wholly written by the scheduler, as small ones" +
		" do for a kernel.",
	"slow_read":     "requests arrive late as a whole; the scheduler's writes do not take longer.",
	"sched_replace": "a process that replaces another takes over at once, and loses nothing.",
	"sched_reload":  "of the configuration file that is read again, only the address of discovery has an effect.",
}
