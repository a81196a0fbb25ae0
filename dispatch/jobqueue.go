package dispatch

import "slices"

// jobQueue holds queued jobs by shape: those that the same workers can start share one, so that where one of them fits
// nowhere for want of capacity, the others need not be tried.
type jobQueue struct {
	demandClasses []demandClass
	length        int
}

// demandClass holds the queued jobs of one shape in two orders.
type demandClass struct {
	byScore     minHeap[*jobInfo] // by leavesBefore
	byPromotion minHeap[*jobInfo] // by promotedBefore; may hold jobs that have left
	blocked     bool              // no worker has capacity for one, in this step
}

const (
	slotBuckets           = 4 // 1, 2 and 3, 4 to 7, more
	demandClassesPerClass = 2 * slotBuckets
)

func newJobQueue(classes int) jobQueue {
	q := jobQueue{demandClasses: make([]demandClass, demandClassesPerClass*classes)}
	for i := range q.demandClasses {
		s := &q.demandClasses[i]
		s.byScore.less, s.byScore.moved = leavesBefore, func(j *jobInfo, index int) { j.heapIndex = index }
		s.byPromotion.less = promotedBefore
	}
	return q
}

// demandClassOf is the shape of a job of a class that may go where only the others of its group may. restricted are jobs whose
// attempts restrict them further.
func demandClassOf(group, bucket int, restricted bool) int {
	s := (group*slotBuckets + bucket) * 2
	if restricted {
		s++
	}
	return s
}

// isRestrictedDemandClass tells whether the jobs of a shape are restricted further than by their class.
func isRestrictedDemandClass(shape int) bool { return shape%2 == 1 }

// placementGroups gives each class the first one that may go to the same kinds and zones.
func placementGroups(classes []Class) []int {
	groups := make([]int, 0, len(classes))
	for _, c := range classes {
		groups = append(groups, slices.IndexFunc(classes, func(o Class) bool {
			return slices.Equal(o.Kinds, c.Kinds) && (o.Kinds == nil) == (c.Kinds == nil) &&
				slices.Equal(o.Zones, c.Zones) && (o.Zones == nil) == (c.Zones == nil)
		}))
	}
	return groups
}

// push adds a job to its shape.
func (q *jobQueue) push(j *jobInfo) {
	q.demandClasses[j.demandClass].byScore.push(j)
	q.length++
}

// pushPromotion adds a job to its shape by promotion. Its entry stays there when the job leaves.
func (q *jobQueue) pushPromotion(j *jobInfo) {
	j.inPromotions = true
	q.demandClasses[j.demandClass].byPromotion.push(j)
}

// remove takes out a job that is queued.
func (q *jobQueue) remove(j *jobInfo) {
	q.demandClasses[j.demandClass].byScore.remove(j.heapIndex)
	q.length--
}

// reorder has a queued job stand where it belongs after a change.
func (q *jobQueue) reorder(j *jobInfo) { q.demandClasses[j.demandClass].byScore.fix(j.heapIndex) }

// unblock begins a pass: all shapes are tried.
func (q *jobQueue) unblock() {
	for i := range q.demandClasses {
		q.demandClasses[i].blocked = false
	}
}

// firstByPromotion is the first job by promotion; nil: there is none. Void entries are dropped.
func (s *demandClass) firstByPromotion() *jobInfo {
	for !s.byPromotion.empty() {
		j := s.byPromotion.first()
		if !j.losesPromotion() {
			return j
		}
		s.byPromotion.pop()
		j.inPromotions = false
	}
	return nil
}
