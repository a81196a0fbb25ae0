package dispatch

// replicaGroup is a dispatcher's place among those that share the workers.
type replicaGroup struct {
	index int // from 0
	count int // at least 1
}

// replicaGroup returns the latest place that this dispatcher was notified of, or else that of the settings.
func (d *Dispatcher) replicaGroup() replicaGroup {
	if d.latestReplicas.Replicas > 0 {
		return replicaGroup{index: d.latestReplicas.ReplicaIndex, count: d.latestReplicas.Replicas}
	}
	return replicaGroup{index: d.settings.ReplicaIndex, count: max(1, d.settings.Replicas)}
}

// handleReplicasChanged replaces the number of dispatchers, this one's index among them and its share of the quotas.
// Figures out of their bounds are raised to the least allowed.
func (d *Dispatcher) handleReplicasChanged(event ReplicasChanged) {
	d.latestReplicas = ReplicasChanged{
		Replicas:     max(1, event.Replicas),
		ReplicaIndex: max(0, event.ReplicaIndex),
		QuotaShare:   clamp(finiteOrZero(event.QuotaShare), 1),
	}
	d.fleet.rings.changed = true
	d.updatePreferences()
}
