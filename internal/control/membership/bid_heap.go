package membership

// noItem is returned in place of an item index if there is no item.
const noItem = -1

// bid is an item that an owner holds, with its priority.
type bid struct {
	priority uint64 // hash of the item and the owner; the owner keeps the highest
	item     int
}

// bidHeap is a binary min-heap of bids.
type bidHeap []bid

// push adds a bid.
func (b *bidHeap) push(added bid) {
	*b = append(*b, added)
	heap := *b
	for child := len(heap) - 1; child > 0; {
		parent := (child - 1) / 2
		if heap[parent].priority <= heap[child].priority {
			return
		}
		heap[parent], heap[child] = heap[child], heap[parent]
		child = parent
	}
}

// popLowest removes and returns the lowest bid. The heap must not be empty.
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
		if child+1 < len(heap) && heap[child+1].priority < heap[child].priority {
			child++
		}
		if heap[parent].priority <= heap[child].priority {
			return lowest
		}
		heap[parent], heap[child] = heap[child], heap[parent]
		parent = child
	}
}
