package requests

import (
	"log/slog"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/deadline"
)

// Table is the table of requests and attempts of one scheduler.
type Table struct {
	// TellPeer sends a message of the policy to another scheduler, by its number; nil: there is no way to one.
	TellPeer func(to int, message dispatch.PeerMessage)

	maxAttempts int // of a request
	names       NameTable
	transport   Transport
	logger      *slog.Logger
	observers   []Observer

	newPolicy     func() Policy
	policy        Policy
	policyTimer   time.Duration // when the policy wants to be woken; 0: not
	pendingEvents []dispatch.Event
	eventBuffer   []dispatch.Event  // the buffer of the events that the policy had last
	actionBuffer  []dispatch.Action // reused from step to step

	lastID       uint64
	payloadBytes int                 // of the bodies of all requests
	requests     map[uint64]*Request // by ID
	openByCallID map[string]*Request // those that are owed a response
	inFlight     map[attemptKey]*Attempt
	timeouts     deadline.Queue[*Attempt]

	endpoints  endpointTable
	revision   int64                      // of the endpoint list; 0: discovery can't give the changes since
	listed     map[uint64]dispatch.Worker // the endpoint list as the policy knows it
	cordoned   map[uint64]bool
	awaitUntil time.Duration // requests wait for the endpoint list until then; 0: they don't
	changes    endpointChanges
}

// New returns a table without requests. maxAttempts bounds the attempts of a request; newPolicy makes a policy that
// knows nothing; known is the endpoint list as the scheduler knew it last, and may be empty. The logger takes the
// policy's messages and a summary of the changes of the endpoint list.
func New(
	maxAttempts int, names NameTable, newPolicy func() Policy, known EndpointList, transport Transport, logger *slog.Logger,
) *Table {
	table := &Table{
		maxAttempts:  maxAttempts,
		names:        names,
		newPolicy:    newPolicy,
		policy:       newPolicy(),
		transport:    transport,
		logger:       logger,
		requests:     map[uint64]*Request{},
		openByCallID: map[string]*Request{},
		inFlight:     map[attemptKey]*Attempt{},
		endpoints:    newEndpointTable(),
		listed:       map[uint64]dispatch.Worker{},
		cordoned:     map[uint64]bool{},
	}
	known.Reset = true
	table.applyEndpoints(known, dispatch.ListCached)
	return table
}

// Request returns the request of an ID, or nil if it is forgotten. A closed request is kept while an attempt is in
// flight.
func (t *Table) Request(id uint64) *Request { return t.requests[id] }

// InFlightAttempt returns an attempt of a request, or nil if it has ended or there is none.
func (t *Table) InFlightAttempt(requestID uint64, number int) *Attempt {
	request := t.requests[requestID]
	if request == nil {
		return nil
	}
	return request.inFlightAttempt(number)
}

// PayloadBytes is the total length of the bodies of all requests, also of the closed ones that have attempts in flight.
func (t *Table) PayloadBytes() int { return t.payloadBytes }

// OpenCount is the number of requests that are owed a response.
func (t *Table) OpenCount() int { return len(t.openByCallID) }
