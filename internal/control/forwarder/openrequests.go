package forwarder

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
)

// Limits of the terms that extend a request's latency objective by its expected work.
const (
	maxObjectiveStretch = 1000
	maxExpectedWork     = time.Hour
)

// openRequests is the table of the requests that have no response yet or still have attempts in flight. It reuses the memory of
// removed requests.
type openRequests struct {
	classes []dispatch.Class
	byID    map[uint64]*openRequest
	free    []*openRequest
}

// find returns a request by its ID, or nil.
func (o *openRequests) find(id uint64) *openRequest { return o.byID[id] }

// count returns how many requests there are.
func (o *openRequests) count() int { return len(o.byID) }

// all returns the requests in no particular order.
func (o *openRequests) all() iter.Seq[*openRequest] { return maps.Values(o.byID) }

// sorted returns the requests in the order of their IDs.
func (o *openRequests) sorted() []*openRequest {
	return slices.SortedFunc(o.all(), func(a, b *openRequest) int { return cmp.Compare(a.job.ID, b.job.ID) })
}

// add adds an arriving request, which is not assigned yet. It returns nil if there is already a request of that ID or if its
// class does not exist.
func (o *openRequests) add(now time.Duration, job dispatch.Job) *openRequest {
	if o.byID[job.ID] != nil || job.Class < 0 || job.Class >= len(o.classes) {
		return nil
	}
	request := o.allocate()
	*request = openRequest{
		job:           job,
		arrivedAt:     now,
		deadline:      now + max(job.Remaining, 0),
		state:         requestWaiting,
		revokedEpochs: request.revokedEpochs[:0],
	}
	request.queued.request = request
	request.objective = request.deadline
	if class := &o.classes[job.Class]; class.LatencyObjective > 0 {
		request.objective = min(request.deadline, now+latencyObjective(class, job.Hint))
	}
	o.byID[job.ID] = request
	return request
}

// allocate returns the memory of a removed request if there is one, or a new request.
func (o *openRequests) allocate() *openRequest {
	last := len(o.free) - 1
	if last < 0 {
		return &openRequest{}
	}
	request := o.free[last]
	o.free = o.free[:last]
	return request
}

// remove removes a request. Its memory is reused, so no reference to it may be kept.
func (o *openRequests) remove(request *openRequest) {
	delete(o.byID, request.job.ID)
	request.session = nil
	o.free = append(o.free, request)
}

// latencyObjective returns the latency objective of a request of a class. It grows with the expected work of the request.
func latencyObjective(class *dispatch.Class, expectedWork time.Duration) time.Duration {
	if expectedWork <= 0 {
		expectedWork = class.LatencyObjective
	}
	stretch := min(max(class.ObjectiveStretch, 0), maxObjectiveStretch)
	return class.LatencyObjective + time.Duration(stretch*float64(min(expectedWork, maxExpectedWork)))
}
