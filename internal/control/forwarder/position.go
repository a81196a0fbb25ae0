package forwarder

import "valvecove/dispatch"

// position is which of the forwarders this one is.
type position struct {
	index, count int // from 0; count is 0 as long as nothing is known
}

// SetForwarderIndex tells that this forwarder is the one of an index, from 0, among a count of forwarders. In standalone
// mode they share the workers by that, without communication.
func (f *Forwarder) SetForwarderIndex(index, count int) {
	if current := (position{index, count}); f.position != current {
		f.position = current
		f.updateLocalShare()
	}
}

// loadShare returns the part of all load that this forwarder has.
func (f *Forwarder) loadShare() float64 { return 1 / float64(max(1, f.position.count)) }

// updateLocalShare tells the local policy which of the forwarders this one is.
func (f *Forwarder) updateLocalShare() {
	if f.local.policy == nil || f.position.count <= 0 {
		return
	}
	f.notifyLocal(dispatch.ReplicasChanged{Replicas: f.position.count, ReplicaIndex: f.position.index})
	if subset, ok := f.local.policy.(subsetPolicy); ok {
		subset.SetSchedulers(f.position.index, f.position.count)
	}
}

// subsetPolicy is a policy that looks at a subset of the workers, by which of the schedulers this one is. An
// aperture.Aperture is one.
type subsetPolicy interface {
	SetSchedulers(index, count int)
}
