package planner

import "iter"

// listID identifies one of the lists that a request can be in at the same time.
type listID int

const (
	offeredList listID = iota // forwarder.offered
	queuedList                // requestTable.queued
	listCount
)

// listLinks holds a request's neighbors in a list.
type listLinks struct{ next, previous *request }

// requestList is an intrusive doubly linked list of requests in order of insertion. The zero value is an empty offeredList.
type requestList struct {
	id          listID
	first, last *request
	length      int
}

// push appends a request, which must not be in the list.
func (r *requestList) push(req *request) {
	req.links[r.id] = listLinks{previous: r.last}
	if r.last == nil {
		r.first = req
	} else {
		r.last.links[r.id].next = req
	}
	r.last = req
	r.length++
}

// remove removes a request, which must be in the list.
func (r *requestList) remove(req *request) {
	links := req.links[r.id]
	if links.previous == nil {
		r.first = links.next
	} else {
		links.previous.links[r.id].next = links.next
	}
	if links.next == nil {
		r.last = links.previous
	} else {
		links.next.links[r.id].previous = links.previous
	}
	req.links[r.id] = listLinks{}
	r.length--
}

// all iterates over the list. The loop body may remove the current request.
func (r *requestList) all() iter.Seq[*request] {
	return func(yield func(*request) bool) {
		for req := r.first; req != nil; {
			next := req.links[r.id].next
			if !yield(req) {
				return
			}
			req = next
		}
	}
}
