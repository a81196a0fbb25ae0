package dispatch

// handleReplicasChanged replaces the number of dispatchers, this one's index among them and its share of the quotas.
// Figures out of their bounds are raised to the least allowed.
func (d *Dispatcher) handleReplicasChanged(event ReplicasChanged) {
	d.sharing = ReplicasChanged{
		Replicas:     max(1, event.Replicas),
		ReplicaIndex: max(0, event.ReplicaIndex),
		QuotaShare:   clamp(finite(event.QuotaShare), 1),
	}
	d.fleet.rings.changed = true
	d.updatePreferences()
}
