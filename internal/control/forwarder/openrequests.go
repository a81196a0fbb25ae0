package forwarder

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
)

// Bounds of the latency objective of a class, which is extended by the expected work.
const (
	maxObjectiveStretch = 1000
	maxExpectedWork     = time.Hour
)

// openRequests is the table of the requests that have no response yet, or have attempts in flight. It reuses the memory of
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

// add enters a request that has arrived, and is assigned to nobody. It returns nil if there is one of that ID, or no such
// class.
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

// allocate returns the memory of a removed request, or else a new request.
func (o *openRequests) allocate() *openRequest {
	last := len(o.free) - 1
	if last < 0 {
		return &openRequest{}
	}
	request := o.free[last]
	o.free = o.free[:last]
	return request
}

// remove removes a request. Its memory is reused: nothing may refer to it any longer.
func (o *openRequests) remove(request *openRequest) {
	delete(o.byID, request.job.ID)
	request.session = nil
	o.free = append(o.free, request)
}

// latencyObjective returns the latency objective of a request of a class: it grows with the expected work.
func latencyObjective(class *dispatch.Class, expectedWork time.Duration) time.Duration {
	if expectedWork <= 0 {
		expectedWork = class.LatencyObjective
	}
	stretch := min(max(class.ObjectiveStretch, 0), maxObjectiveStretch)
	return class.LatencyObjective + time.Duration(stretch*float64(min(expectedWork, maxExpectedWork)))
}
