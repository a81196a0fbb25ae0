package management

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/eventloop"
	"valvecove/internal/http1"
	"valvecove/internal/limits"
	"valvecove/internal/metrics"
)

const (
	callReadTimeout           = 2 * time.Second        // a caller waits for 1 s, and sends nothing after that
	callResultTimeout         = 600 * time.Millisecond // for a cordon to be stored, or applied by the other process
	operatorConnectionTimeout = 3 * time.Second        // for the caller to read the response
)

// Scheduler is the state of the scheduler that the operators' calls report.
type Scheduler interface {
	// NotReadyReason returns why this process is not ready to serve; an empty string if it is.
	NotReadyReason() string
	// Gauges returns the gauges of the metrics call.
	Gauges() metrics.Gauges
}

// OperatorsConfig configures Operators.
type OperatorsConfig struct {
	Scheduler Scheduler
	Cordons   *Cordons
	Counters  *metrics.Counters
	Log       *slog.Logger
}

// Operators serves the operators' calls at the management address. Its events have the highest priority, so that an operator gets
// a response even if the scheduler is overloaded.
type Operators struct {
	listener    // connections in order of their opening, the oldest first
	config      OperatorsConfig
	metricsText []byte // scratch buffer of the metrics call
}

// ServeOperators starts to serve the operators' calls at an address.
func ServeOperators(loop *eventloop.Loop, address netip.AddrPort, config OperatorsConfig) (*Operators, error) {
	operators := &Operators{listener: newListener(loop, config.Log), config: config}
	if err := operators.acceptor.Listen(address, operators); err != nil {
		return nil, err
	}
	operators.closeExpired()
	return operators, nil
}

// Priority implements eventloop.Prioritized.
func (o *Operators) Priority() eventloop.Priority { return eventloop.PriorityUrgent }

// HandleEvents accepts connections from any address: the management address is not reachable for clients.
func (o *Operators) HandleEvents(uint32) {
	o.acceptAll(limits.MaxOperatorConnections, nil, o.addConnection)
}

// addConnection serves a socket, which it owns. At the limit of connections, another one is closed.
func (o *Operators) addConnection(socket int) {
	if o.connections.Len() >= limits.MaxOperatorConnections {
		o.evict()
	}
	c := &operatorConnection{operators: o}
	if o.open(socket, &c.connection, c) {
		// The call has most likely arrived with the connection, and the next iteration may be late.
		o.loop.Protect(c, func() { c.HandleEvents(unix.EPOLLIN) })
	}
}

// evict closes the oldest connection whose call is not pending, or the oldest one if all calls are, so that a stalled caller
// never blocks another.
func (o *Operators) evict() {
	evicted := o.connections.Front().Value.(*operatorConnection)
	for element := o.connections.Front(); element != nil; element = element.Next() {
		if c := element.Value.(*operatorConnection); c.state != callPending {
			evicted = c
			break
		}
	}
	evicted.terminate()
}

// closeExpired ends the calls and the connections that have exceeded a time limit, and runs again every expiryInterval.
func (o *Operators) closeExpired() {
	o.loop.StartTimer(expiryInterval, o, o.closeExpired)
	o.forEach(func(handler any) { handler.(*operatorConnection).closeIfExpired() })
}

// callState is the progress of an operator's call. It only advances.
type callState int

const (
	callReading  callState = iota
	callPending            // the call was read, and is being carried out
	callAnswered           // the response was sent, or is being sent
)

func (c callState) String() string {
	switch c {
	case callReading:
		return "reading"
	case callPending:
		return "pending"
	case callAnswered:
		return "answered"
	}
	return fmt.Sprintf("callState(%d)", int(c))
}

// operatorConnection carries one call.
type operatorConnection struct {
	connection
	operators    *Operators
	state        callState
	continueSent bool
}

// Priority implements eventloop.Prioritized.
func (o *operatorConnection) Priority() eventloop.Priority { return eventloop.PriorityUrgent }

func (o *operatorConnection) closeIfExpired() {
	age := o.operators.loop.Now() - o.lastActivity
	switch {
	case o.state == callReading && age >= callReadTimeout:
		o.respond(http1.StatusRequestTimeout, "", []byte("call not whole\n"))
	case o.state == callPending && age >= callResultTimeout:
		o.respond(http1.StatusServiceUnavailable, "", []byte("not done in time\n"))
	case age >= operatorConnectionTimeout:
		o.terminate()
	}
}

// HandleEvents reads the call and sends its response.
func (o *operatorConnection) HandleEvents(events uint32) {
	hasEnded, ok := o.transfer(events)
	if !ok {
		return
	}
	switch {
	case o.state != callReading:
		o.DropInput() // a connection carries one call
	case len(o.Input()) > 0:
		o.readCall(hasEnded)
	}
	if hasEnded && len(o.Output()) == 0 && o.state != callPending {
		o.terminate()
	}
}

func (o *operatorConnection) readCall(hasInputEnded bool) {
	request := &o.operators.request
	_, err := request.Parse(o.Input())
	var parseError *http1.ParseError
	switch {
	case errors.As(err, &parseError):
		o.respond(parseError.StatusCode, "", []byte(parseError.Reason+"\n"))
	case err == nil:
		o.handleCall(string(request.Method), string(request.Target))
	case request.ExpectContinue && !hasInputEnded && !o.continueSent:
		o.continueSent = true
		_ = o.Send([]byte(http1.ContinueResponse))
	}
}

// respond answers the call. It does nothing if the call was answered already or the connection has ended.
func (o *operatorConnection) respond(statusCode int, fields string, body []byte) {
	if o.IsOpen() && o.state != callAnswered {
		o.state = callAnswered
		o.sendResponse(statusCode, fields, body, false)
	}
}
