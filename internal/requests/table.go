package requests

import (
	"log/slog"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/due"
)

// InFlightAttempt finds an attempt that is out.
func (l *Table) InFlightAttempt(query uint64, number int) *Attempt {
	if q := l.requests[query]; q != nil && number >= 0 && number < len(q.attempts) && !q.attempts[number].ended {
		return q.attempts[number]
	}
	return nil
}

// Request finds a query that is not forgotten.
func (l *Table) Request(id uint64) *Request { return l.requests[id] }

// Table is one scheduler's memory. It is used by one goroutine.
type Table struct {
	maxAttempts int // at most so many attempts a query
	names       NameTable
	newPolicy   func() Policy
	policy      Policy
	transport   Transport
	logger      *slog.Logger
	changes     endpointChanges

	observers []Observer

	pendingEvents []dispatch.Event // not told yet
	eventBuffer   []dispatch.Event
	actionBuffer  []dispatch.Action
	policyTimer   time.Duration // the module's; 0: none

	lastID       uint64
	payloadBytes int // of the bodies of queries
	requests     map[uint64]*Request
	openByCallID map[string]*Request // the open ones
	inFlight     map[attemptKey]*Attempt
	timeouts     due.Queue[*Attempt]
	endpoints    endpointTable
	revision     int64
	awaitUntil   time.Duration              // queries wait for news of the host group until then; 0: they don't
	listed       map[uint64]dispatch.Worker // the list as the module holds it
	cordoned     map[uint64]bool            // hosts taken out by hand
}

// New returns a ledger that knows the host group as it was once seen. start makes a module that knows nothing. What
// the module says, and what becomes of the host group, goes to the log.
func New(tries int, names NameTable, start func() Policy, known EndpointList, carrier Transport, log *slog.Logger) *Table {
	l := &Table{
		maxAttempts: tries, names: names, newPolicy: start, policy: start(), transport: carrier, logger: log,
		requests: map[uint64]*Request{}, openByCallID: map[string]*Request{}, inFlight: map[attemptKey]*Attempt{},
		endpoints: endpointTable{map[string]uint64{}, map[uint64]Endpoint{}}, listed: map[uint64]dispatch.Worker{}, cordoned: map[uint64]bool{},
	}
	known.Reset = true
	l.applyEndpoints(known, dispatch.ListCached)
	return l
}

// PayloadBytes counts what the bodies of queries take up, of those too that are answered and have attempts out.
func (l *Table) PayloadBytes() int { return l.payloadBytes }

// OpenCount counts the queries that are owed an answer.
func (l *Table) OpenCount() int { return len(l.openByCallID) }
