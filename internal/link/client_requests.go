package link

import (
	"bytes"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// Paths that are no query's.
const (
	pathUp        = "/up"
	pathCallbacks = "/v1/job-events"
)

// rejectRequest answers a request that is no query, or may not be one.
func (k *clientConnection) rejectRequest(t *responseSlot, in *requests.Arrival, status int, what string) {
	k.listener.loop.Requests.ReportRejection(in, status)
	t.respond(status, what+"\n")
}

func (k *clientConnection) handleRequest(m *http1.Request, t *responseSlot) {
	path, _, _ := bytes.Cut(m.Target, []byte("?"))
	switch string(path) {
	case pathUp:
		switch {
		case string(m.Method) != "GET":
			t.respond(405, "GET only\n")
		case k.listener.draining || !k.listener.loop.Requests.Ready():
			t.respond(503, "not ready\n")
		default:
			t.respond(200, "ready\n")
		}
	case pathCallbacks:
		if string(m.Method) != "POST" {
			t.respond(405, "POST only\n")
			return
		}
		k.handleCallback(m.Body, t)
	default:
		k.admitRequest(m, path, t)
	}
}

func (k *clientConnection) handleCallback(body []byte, t *responseSlot) {
	if err := k.applyCallback(body); err != nil {
		t.respond(400, "bad note\n")
		return
	}
	t.respond(204, "")
}

// applyCallback hands a note on.
func (k *clientConnection) applyCallback(body []byte) error {
	var n requests.Callback
	if err := jsoniter.ConfigDefault.Unmarshal(body, &n); err != nil {
		return err
	}
	known, err := k.listener.loop.Requests.HandleCallback(n)
	k.usefulRequestSeen, k.sendsCallbacks = k.usefulRequestSeen || known, k.sendsCallbacks || known
	return err
}

// admitRequest takes in a query.
func (k *clientConnection) admitRequest(m *http1.Request, path []byte, t *responseSlot) {
	first, rest, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	name := m.Get("X-Call-Class")
	class, known := k.listener.classes[string(name)]
	_, named := k.listener.classes[string(first)]
	switch {
	case name == nil && !named:
		k.rejectRequest(t, nil, 404, "no such path")
	case string(m.Method) != "POST":
		k.rejectRequest(t, nil, 405, "POST only")
	case !known:
		k.rejectRequest(t, nil, 400, "X-Call-Class: not a class")
	case !bytes.Equal(name, first):
		k.rejectRequest(t, nil, 400, "X-Call-Class: not the class in the path")
	default:
		in, fault := k.listener.parseArrival(m, class, rest)
		if fault != "" {
			k.rejectRequest(t, nil, 400, fault)
			return
		}
		// It was sent nowhere, so another try is harmless; after a flood has passed, or elsewhere if this one stops.
		switch c := k.listener; {
		case c.closing:
			k.listener.loop.Requests.ReportRejection(&in, 503)
			t.RespondRejected(0)
			return
		case k.listener.loop.Requests.OpenCount() >= c.maxRequests || k.listener.loop.Requests.PayloadBytes()+len(m.Body) > c.maxBufferedBytes:
			k.listener.loop.Requests.ReportRejection(&in, 503)
			t.RespondRejected(min(overloadRetryAfter, c.settings.MaxRetryAfter))
			return
		}
		if waited := k.listener.loop.Now() - k.currentArrival; waited > 0 { // its client counts from when it sent it
			in.Job.Remaining = max(in.Job.Remaining-waited, time.Millisecond)
		}
		in.Responder = t
		q, err := k.listener.loop.Requests.Admit(k.listener.loop.Now(), in)
		if err != nil {
			k.rejectRequest(t, &in, 409, "X-Call-Id: "+err.Error())
			return
		}
		t.request, k.usefulRequestSeen, k.sendsCallbacks = q, true, false
	}
}

// overloadRetryAfter is when to come back to a scheduler that holds all the queries it can.
const overloadRetryAfter = time.Second
