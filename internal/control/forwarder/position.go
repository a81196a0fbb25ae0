package forwarder

// position is the index of this forwarder among all forwarders, and their count.
type position struct {
	index, count int // the index is from 0; a count of 0: not known yet
}

// loadShare returns the fraction of all load that this forwarder has.
func (p position) loadShare() float64 { return 1 / float64(max(1, p.count)) }
