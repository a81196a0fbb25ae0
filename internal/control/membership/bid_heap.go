package membership

// noItem is the index of no item.
const noItem = -1

// bid is an item that an owner holds.
type bid struct {
	height uint64 // the hash of the two
	item   int
}

// bidHeap is a binary heap of bids, the lowest first.
type bidHeap []bid

// push adds a bid.
func (b *bidHeap) push(added bid) {
	*b = append(*b, added)
	heap := *b
	for child := len(heap) - 1; child > 0; {
		parent := (child - 1) / 2
		if heap[parent].height <= heap[child].height {
			return
		}
		heap[parent], heap[child] = heap[child], heap[parent]
		child = parent
	}
}

// popLowest removes the lowest bid. The heap must not be empty.
func (b *bidHeap) popLowest() bid {
	heap := *b
	lowest := heap[0]
	last := len(heap) - 1
	heap[0] = heap[last]
	heap = heap[:last]
	*b = heap
	for parent := 0; ; {
		child := 2*parent + 1
		if child >= len(heap) {
			return lowest
		}
		if child+1 < len(heap) && heap[child+1].height < heap[child].height {
			child++
		}
		if heap[parent].height <= heap[child].height {
			return lowest
		}
		heap[parent], heap[child] = heap[child], heap[parent]
		parent = child
	}
}
