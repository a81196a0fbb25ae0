package dispatch

// replicaGroup is a dispatcher's index among those that share the workers, and their number.
type replicaGroup struct {
	index int // from 0
	count int // at least 1
}

// replicaGroup returns the group of the latest ReplicasChanged, or that of the settings if there was none.
func (d *Dispatcher) replicaGroup() replicaGroup {
	if d.latestReplicas.Replicas > 0 {
		return replicaGroup{index: d.latestReplicas.ReplicaIndex, count: d.latestReplicas.Replicas}
	}
	return replicaGroup{index: d.settings.ReplicaIndex, count: max(1, d.settings.Replicas)}
}

// handleReplicasChanged replaces the number of dispatchers, this one's index among them and its share of the
// quotas. A number below its range is raised to the least value allowed; an invalid share counts as 0, and
// one above 1 as 1.
func (d *Dispatcher) handleReplicasChanged(event ReplicasChanged) {
	d.latestReplicas = ReplicasChanged{
		Replicas:     max(1, event.Replicas),
		ReplicaIndex: max(0, event.ReplicaIndex),
		QuotaShare:   clamp(finiteOrZero(event.QuotaShare), 1),
	}
	d.fleet.rings.changed = true
	d.updatePreferences()
}
