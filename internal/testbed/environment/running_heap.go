package environment

// This file holds a heap of running attempts.

// runningHeap is a heap of running attempts, ordered by the progress at which they end.
type runningHeap []*attempt

func (r runningHeap) less(i, j int) bool {
	return r[i].endProgress < r[j].endProgress || r[i].endProgress == r[j].endProgress && r[i].number < r[j].number
}

func (r runningHeap) swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].heapIndex, r[j].heapIndex = i, j
}

func (r *runningHeap) add(a *attempt) {
	a.heapIndex = len(*r)
	*r = append(*r, a)
	r.up(a.heapIndex)
}

func (r *runningHeap) remove(i int) {
	last := len(*r) - 1
	r.swap(i, last)
	(*r)[last] = nil
	*r = (*r)[:last]
	if i < last {
		r.down(i)
		r.up(i)
	}
}

func (r runningHeap) up(i int) {
	for i > 0 && r.less(i, (i-1)/2) {
		r.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (r runningHeap) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(r); c++ {
			if r.less(c, least) {
				least = c
			}
		}
		if least == i {
			return
		}
		r.swap(i, least)
		i = least
	}
}
