package dispatch

// LeaseCounts are counts of leases, for operators.
type LeaseCounts struct {
	Held    int // that attempts of this dispatcher use
	Granted int // that this dispatcher has granted as a coordinator
	Waiting int // requests that it could not grant yet
}

// LeaseCounts counts leases as they are now.
func (d *Dispatcher) LeaseCounts() LeaseCounts {
	counts := LeaseCounts{
		Granted: len(d.coordinator.leases),
		Waiting: len(d.coordinator.waiting),
	}
	for _, lease := range d.client.byID {
		if lease.isUsed() {
			counts.Held++
		}
	}
	return counts
}
