package dispatch

import "slices"

const (
	slotBuckets            = 4 // 1 slot; 2 and 3; 4 to 7; 8 and more
	demandClassesPerClass  = 2 * slotBuckets
	demandClassesPerBucket = 2 // one for jobs that only their class restricts, one for the others
)

// jobQueue holds queued jobs by demand class. Jobs that the same workers can start share a demand class: if
// there is no capacity for one of them, the others need not be tried.
type jobQueue struct {
	demandClasses   []demandClass
	length          int
	placementGroups []int      // by class: the first class whose jobs may go to the same workers
	skipped         []*jobInfo // in this dispatch cycle: they fit no worker
}

// demandClass holds the queued jobs that the same workers can start, in two orders.
type demandClass struct {
	byScore     minHeap[*jobInfo] // by lessByScore
	byPromotion minHeap[*jobInfo] // by lessByPromotion; may hold jobs that are not queued any more
	blocked     bool              // no worker has capacity for one, in this dispatch cycle
}

func newJobQueue(classes []Class) jobQueue {
	queue := jobQueue{
		demandClasses:   make([]demandClass, demandClassesPerClass*len(classes)),
		placementGroups: placementGroups(classes),
	}
	for i := range queue.demandClasses {
		class := &queue.demandClasses[i]
		class.byScore.less = lessByScore
		class.byScore.moved = func(job *jobInfo, index int) { job.heapIndex = index }
		class.byPromotion.less = lessByPromotion
	}
	return queue
}

// demandClassOf returns the index of the demand class of jobs of a placement group and a bucket of slots.
// restricted is set for jobs that are restricted further than by their class, as by earlier attempts.
func demandClassOf(group, bucket int, restricted bool) int {
	index := (group*slotBuckets + bucket) * demandClassesPerBucket
	if restricted {
		index++
	}
	return index
}

// isRestrictedDemandClass reports whether the jobs of a demand class are restricted further than by their
// class.
func isRestrictedDemandClass(index int) bool { return index%demandClassesPerBucket == 1 }

// placementGroups returns for each class the first one whose jobs may go to the same kinds and zones.
func placementGroups(classes []Class) []int {
	groups := make([]int, 0, len(classes))
	for _, class := range classes {
		groups = append(groups, slices.IndexFunc(classes, func(other Class) bool {
			return allowsSame(other.Kinds, class.Kinds) && allowsSame(other.Zones, class.Zones)
		}))
	}
	return groups
}

// allowsSame reports whether two lists of what is allowed are the same. nil allows all, an empty one nothing.
func allowsSame(a, b []int) bool { return slices.Equal(a, b) && (a == nil) == (b == nil) }

// push adds a job to its demand class.
func (q *jobQueue) push(job *jobInfo) {
	q.demandClasses[job.demandClass].byScore.push(job)
	q.length++
}

// pushPromotion adds a job to the order of promotion of its demand class. The entry stays when the job is
// removed from the queue.
func (q *jobQueue) pushPromotion(job *jobInfo) {
	job.inPromotions = true
	q.demandClasses[job.demandClass].byPromotion.push(job)
}

// remove removes a job from the queue, if it is queued.
func (q *jobQueue) remove(job *jobInfo) {
	if job.heapIndex >= 0 {
		q.demandClasses[job.demandClass].byScore.remove(job.heapIndex)
		q.length--
	}
}

// skip removes a job from the queue for the rest of this dispatch cycle.
func (q *jobQueue) skip(job *jobInfo) {
	q.remove(job)
	q.skipped = append(q.skipped, job)
}

// reorder moves a queued job to its new position after its priority has changed.
func (q *jobQueue) reorder(job *jobInfo) { q.demandClasses[job.demandClass].byScore.fix(job.heapIndex) }

// unblock begins a dispatch cycle: all demand classes are tried.
func (q *jobQueue) unblock() {
	for i := range q.demandClasses {
		q.demandClasses[i].blocked = false
	}
}

// firstByPromotion returns the first job by promotion, nil if there is none. It removes stale entries.
func (c *demandClass) firstByPromotion() *jobInfo {
	for !c.byPromotion.empty() {
		job := c.byPromotion.first()
		if !job.hasStalePromotion() {
			return job
		}
		c.byPromotion.pop()
		job.inPromotions = false
	}
	return nil
}
