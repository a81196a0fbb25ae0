package environment

// This file holds a heap of the attempts that run.

// runningHeap is what runs, what ends first at its head.
type runningHeap []*attempt

func (h runningHeap) less(i, j int) bool {
	return h[i].endProgress < h[j].endProgress || h[i].endProgress == h[j].endProgress && h[i].number < h[j].number
}

func (h runningHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *runningHeap) add(a *attempt) {
	a.heapIndex = len(*h)
	*h = append(*h, a)
	h.up(a.heapIndex)
}

func (h *runningHeap) remove(i int) {
	last := len(*h) - 1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h runningHeap) up(i int) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (h runningHeap) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h); c++ {
			if h.less(c, least) {
				least = c
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
