package forwarder

// position is the index of this forwarder among all forwarders, and their number.
type position struct {
	index, count int // index starts at 0; count is 0 until the position is known
}

// loadShare returns this forwarder's fraction of the total load, assuming that the forwarders share it equally.
func (p position) loadShare() float64 { return 1 / float64(max(1, p.count)) }
