package dispatch

import "fmt"

// Dump is for debugging.
func (d *Dispatcher) Dump() string {
	s := fmt.Sprintf("me %d of %d zone %d zones %v ready %v leases %d waiting %d held %d queue %d avoid %v perZone %d;", d.settings.ReplicaIndex, d.settings.Replicas, d.settings.Zone, d.settings.ZoneCount, d.readyZones, len(d.client.byID), len(d.coordinator.waiting), len(d.coordinator.leases), d.queue.length, len(d.directory.avoidedUntil), d.directory.perZone)
	for _, w := range d.workerList {
		if x := d.coordinator.slots[w.ID]; x != nil {
			s += fmt.Sprintf(" [%.0f/%.0f run %.0f]", x.used, x.limit, x.running)
		}
	}
	return s
}
