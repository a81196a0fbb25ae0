package forwarder

import (
	"time"

	"valvecove/dispatch"
)

// Bounds of what a class's latency objective, stretched by the expected work, may come to.
const (
	maxObjectiveStretch = 1000
	maxExpectedWork     = time.Hour
)

// admit takes in a request.
func (f *Forwarder) admit(job dispatch.Job) {
	if f.requests[job.ID] != nil || job.Class < 0 || job.Class >= len(f.settings.Classes) {
		return
	}
	request := f.newRequest(job)
	f.requests[job.ID] = request
	f.stats.Requests++
	if f.mode == modeStandalone {
		f.assignLocally(request)
		f.notifyLocal(job)
		return
	}
	if f.waiting.Len() == 0 && !f.sessionInputsPending { // nobody comes before it
		f.refreshOrder()
		if session := f.selectPlanner(request, nil); session != nil {
			f.offer(request, session)
			return
		}
	}
	if f.waiting.Len() >= f.config.MaxWaiting {
		f.placeWaiting()
	}
	if f.waiting.Len() >= f.config.MaxWaiting {
		f.stats.QueueFull++
		f.giveUp(request)
		return
	}
	f.enqueue(request)
}

// newRequest returns a waiting request. The memory of closed ones is used again.
func (f *Forwarder) newRequest(job dispatch.Job) *openRequest {
	request := &openRequest{}
	if last := len(f.freeRequests) - 1; last >= 0 {
		request = f.freeRequests[last]
		f.freeRequests = f.freeRequests[:last]
	}
	*request = openRequest{
		job:           job,
		arrivedAt:     f.now,
		deadline:      f.now + max(job.Remaining, 0),
		state:         requestWaiting,
		revokedEpochs: request.revokedEpochs[:0],
	}
	request.queued.request = request
	request.objective = request.deadline
	if class := &f.settings.Classes[job.Class]; class.LatencyObjective > 0 {
		request.objective = min(request.deadline, f.now+latencyObjective(class, job.Hint))
	}
	return request
}

// latencyObjective returns the latency objective of a request by its class and its expected work.
func latencyObjective(class *dispatch.Class, expectedWork time.Duration) time.Duration {
	if expectedWork <= 0 {
		expectedWork = class.LatencyObjective
	}
	stretch := min(max(class.ObjectiveStretch, 0), maxObjectiveStretch)
	return class.LatencyObjective + time.Duration(stretch*float64(min(expectedWork, maxExpectedWork)))
}
