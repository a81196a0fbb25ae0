package baseline

// startsBefore is the order of the heap: jobs within their tenant's quota come before those over quota. In each of these sets
// the job that must start first to meet its objective comes first.
func startsBefore(first, second *job) bool {
	if first.overQuota != second.overQuota {
		return second.overQuota
	}
	firstStart := first.objective - seconds(first.work)
	secondStart := second.objective - seconds(second.work)
	if firstStart != secondStart {
		return firstStart < secondStart
	}
	return first.ID < second.ID
}

// placeAt sets the job at an index of the heap.
func (o *omniscient) placeAt(index int, job *job) {
	o.queue[index] = job
	job.queueIndex = index + 1
}

// siftUp moves the job at an index up to its place in the heap.
func (o *omniscient) siftUp(index int) {
	job := o.queue[index]
	for index > 0 && startsBefore(job, o.queue[(index-1)/2]) {
		o.placeAt(index, o.queue[(index-1)/2])
		index = (index - 1) / 2
	}
	o.placeAt(index, job)
}

// siftDown moves the job at an index down to its place in the heap.
func (o *omniscient) siftDown(index int) {
	job := o.queue[index]
	for {
		least := 2*index + 1
		if least >= len(o.queue) {
			break
		}
		if least+1 < len(o.queue) && startsBefore(o.queue[least+1], o.queue[least]) {
			least++
		}
		if !startsBefore(o.queue[least], job) {
			break
		}
		o.placeAt(index, o.queue[least])
		index = least
	}
	o.placeAt(index, job)
}
