package requests

import (
	"log/slog"
	"time"

	"valvecove/dispatch"
)

// Table is the table of requests and attempts of one scheduler. Each part of its state is owned by a separate type, and the
// methods of Table combine them. In the order of a request's life cycle these methods are in admission.go, step.go,
// lifecycle.go, callback.go and completion.go.
type Table struct {
	// SendPeerMessage sends a message of the policy to another scheduler, by its number. It is set before the first Step; if it
	// is nil, the messages are dropped.
	SendPeerMessage func(to int, message dispatch.PeerMessage)

	maxAttempts int // per request
	transport   Transport
	observers   observerList

	requests   requestIndex
	executed   executedIDs
	attempts   attemptIndex
	policy     policyRunner
	policyLog  policyLog
	endpoints  endpointSet
	cordons    cordonSet
	awaitUntil time.Duration // until when requests wait for the endpoint list; 0: they don't wait
}

// New returns a table without requests. maxAttempts bounds the attempts of a request. newPolicy returns a policy without any
// state; it is called immediately, and again after a panic of the policy. known is the endpoint list that the scheduler used
// last, and may be empty. The logger is used for the messages of the policy and for a summary of the changes of the endpoint
// list.
func New(
	maxAttempts int, names NameTable, newPolicy func() Policy, known EndpointList, transport Transport, logger *slog.Logger,
) *Table {
	table := &Table{
		maxAttempts: maxAttempts,
		transport:   transport,
		observers:   observerList{logger: logger},
		requests:    newRequestIndex(),
		attempts:    newAttemptIndex(),
		policy:      policyRunner{newPolicy: newPolicy, policy: newPolicy()},
		endpoints:   newEndpointSet(names, logger),
		cordons:     cordonSet{},
	}
	table.policyLog = policyLog{logger: logger, endpoints: &table.endpoints}
	known.Reset = true
	table.applyEndpoints(known, dispatch.ListCached)
	return table
}

// Request returns the request with an ID, or nil if it was never admitted or is forgotten. A closed request is forgotten once no
// attempt of it is in flight.
func (t *Table) Request(id uint64) *Request { return t.requests.find(id) }

// InFlightAttempt returns an attempt of a request, or nil if it has ended or there is none.
func (t *Table) InFlightAttempt(requestID uint64, number int) *Attempt {
	request := t.requests.find(requestID)
	if request == nil {
		return nil
	}
	return request.inFlightAttempt(number)
}

// DropPayloads drops the bodies of all requests, which another process owns.
func (t *Table) DropPayloads() { t.requests.dropPayloads() }

// PayloadBytes returns the total length of the bodies of all requests, including closed ones that have attempts in flight.
func (t *Table) PayloadBytes() int { return t.requests.payloadBytes }

// OpenCount returns the number of requests that have not been responded to and whose client is connected.
func (t *Table) OpenCount() int { return t.requests.openCount() }
