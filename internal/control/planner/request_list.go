package planner

import "iter"

// listID names a list that a request may be in.
type listID int

const (
	offeredList listID = iota // of a forwarder
	queuedList
	listCount
)

// listLinks is a request's place in a list.
type listLinks struct{ next, previous *request }

// requestList is a list of requests, the oldest first. The zero value is an empty offeredList.
type requestList struct {
	id          listID
	first, last *request
	length      int
}

// push appends a request, which must not be in the list.
func (l *requestList) push(req *request) {
	req.links[l.id] = listLinks{previous: l.last}
	if l.last == nil {
		l.first = req
	} else {
		l.last.links[l.id].next = req
	}
	l.last = req
	l.length++
}

// remove takes out a request, which must be in the list.
func (l *requestList) remove(req *request) {
	links := req.links[l.id]
	if links.previous == nil {
		l.first = links.next
	} else {
		links.previous.links[l.id].next = links.next
	}
	if links.next == nil {
		l.last = links.previous
	} else {
		links.next.links[l.id].previous = links.previous
	}
	req.links[l.id] = listLinks{}
	l.length--
}

// all iterates over the list. The loop may take out the request that it is at.
func (l *requestList) all() iter.Seq[*request] {
	return func(yield func(*request) bool) {
		for req := l.first; req != nil; {
			next := req.links[l.id].next
			if !yield(req) {
				return
			}
			req = next
		}
	}
}
