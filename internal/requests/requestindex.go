package requests

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/dispatch"
)

// requestIndex holds the requests of a table, and finds them by ID and, while they are open, by call ID.
type requestIndex struct {
	lastID       uint64 // highest ID that this process or its predecessor in a hot restart has assigned
	payloadBytes int    // of the bodies of all requests
	byID         map[uint64]*Request
	openByCallID map[string]*Request
}

func newRequestIndex() requestIndex {
	return requestIndex{byID: map[uint64]*Request{}, openByCallID: map[string]*Request{}}
}

// nextID returns an ID that no request has had.
func (r *requestIndex) nextID() uint64 {
	r.lastID++
	return r.lastID
}

// reserveIDs makes nextID skip the IDs up to lastID.
func (r *requestIndex) reserveIDs(lastID uint64) { r.lastID = max(r.lastID, lastID) }

// find returns the request with an ID, or nil.
func (r *requestIndex) find(id uint64) *Request { return r.byID[id] }

// findOpen returns the open request with a call ID, or nil.
func (r *requestIndex) findOpen(callID string) *Request { return r.openByCallID[callID] }

// count returns the number of requests, open or closed.
func (r *requestIndex) count() int { return len(r.byID) }

// openCount returns the number of open requests.
func (r *requestIndex) openCount() int { return len(r.openByCallID) }

// add adds a request, which may be open or closed.
func (r *requestIndex) add(request *Request) {
	r.byID[request.ID] = request
	r.payloadBytes += len(request.Payload.Body)
	if !request.IsClosed() {
		r.openByCallID[request.CallID] = request
	}
}

// removeOpen removes a request that has been closed from the open ones.
func (r *requestIndex) removeOpen(request *Request) {
	if r.openByCallID[request.CallID] == request {
		delete(r.openByCallID, request.CallID)
	}
}

// contains reports whether a request was added and not removed.
func (r *requestIndex) contains(request *Request) bool { return r.byID[request.ID] == request }

// remove removes a closed request.
func (r *requestIndex) remove(request *Request) {
	delete(r.byID, request.ID)
	r.payloadBytes -= len(request.Payload.Body)
}

// dropPayloads drops the bodies of all requests.
func (r *requestIndex) dropPayloads() {
	for _, request := range r.byID {
		request.Payload.Body = nil
	}
	r.payloadBytes = 0
}

// inAdmissionOrder returns all requests in order of admission, so that nothing depends on the iteration order of a map.
func (r *requestIndex) inAdmissionOrder() []*Request {
	return slices.SortedFunc(maps.Values(r.byID), func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
}

// jobResumedEvents returns the events that pass the open requests of another process, with their attempts, to a policy.
func (r *requestIndex) jobResumedEvents(now time.Duration) []dispatch.Event {
	var events []dispatch.Event
	for _, request := range r.inAdmissionOrder() {
		if request.IsClosed() {
			continue
		}
		job := request.Job
		job.Remaining = max(0, request.Deadline-now)
		resumed := dispatch.JobResumed{Job: job, Age: now - request.ArrivedAt, QuotaCharged: true}
		for _, attempt := range request.attempts {
			resumed.Attempts = append(resumed.Attempts, dispatch.PastAttempt{
				Worker:  attempt.Worker,
				SentAgo: now - max(request.ArrivedAt, request.FirstSentAt),
				Ended:   attempt.HasEnded(),
				Result:  attempt.result,
			})
		}
		events = append(events, resumed)
	}
	return events
}
