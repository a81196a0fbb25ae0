package environment

import (
	"time"

	"valvecove/internal/testbed/simapi"
)

// The sides of a connection.
const (
	schedulerSide = iota // the scheduler's
	farSide              // the client's or the worker's
)

// conn is a connection between a scheduler and a client or a worker. Each side closes for itself; the other
// learns of it as of anything else, after the network's delay and in order.
type conn struct {
	id                simapi.Conn
	scheduler         int
	incarnation       int // which of the scheduler's processes it belongs to
	worker            int // of a link
	workerIncarnation int // of a link: which of the worker's processes it leads to
	up                bool
	closed            [2]bool          // by side: closed there, or known there to be closed
	resetSilently     [2]bool          // by side: closed there by a reset that the other side knows nothing of
	arrivesBy         [2]time.Duration // when the last thing sent to that side arrives
	lastUsed          time.Duration    // when something last went over it, either way
	far               farEnd
	state             any // what the far end keeps with it
}

// farEnd is a client or a worker, at its end of a connection.
type farEnd interface {
	endpoint() endpoint
	connClosed(c *conn) // the scheduler has closed it, or its process is gone
}

func (e *Environment) openConn(c *conn) *conn {
	c.incarnation, c.lastUsed = e.schedulers[c.scheduler].incarnation, e.now
	e.conns[c.id] = c
	return c
}

// toSched brings something over a connection to its scheduler: do runs when it arrives there, in order, unless that
// side is closed by then. What a cut holds up arrives after that. What the network swallows never arrives: whoever
// waits for it has a timeout of its own.
func (e *Environment) toSched(c *conn, do func()) { e.transmit(c, schedulerSide, do) }

// toFarEnd is the same the other way.
func (e *Environment) toFarEnd(c *conn, do func()) { e.transmit(c, farSide, do) }

func (e *Environment) transmit(conn *conn, side int, onArrival func()) {
	from, target := endpoint{schedulerEndpoint, conn.scheduler}, conn.far.endpoint()
	if side == schedulerSide {
		from, target = target, from
	}
	if cut := e.network.partitionBetween(from, target); cut != nil {
		cut.held = append(cut.held, func() { e.transmit(conn, side, onArrival) })
		return
	}
	if d := e.network.idleDropAfter(from, target); d > 0 && e.now-conn.lastUsed > d {
		conn.resetSilently[1-side] = conn.closed[1-side] // its close has come to nobody's knowledge
		e.tear(conn, 1-side)
		return
	}
	conn.lastUsed = e.now
	conn.arrivesBy[side] = max(conn.arrivesBy[side], e.now+e.network.delay(from, target))
	e.schedule(conn.arrivesBy[side], func() {
		switch {
		case !conn.closed[side]:
			onArrival()
		case conn.resetSilently[side]:
			e.tear(conn, 1-side)
		}
	})
}

// tear has a side that has sent something learn that its connection is known no more where that went. The other side,
// if that did not close it itself, learns nothing.
func (e *Environment) tear(conn *conn, side int) {
	from, to := conn.far.endpoint(), endpoint{schedulerEndpoint, conn.scheduler}
	if side == farSide {
		from, to = to, from
	}
	arrive, ok := e.network.arrival(from, to)
	if !ok {
		return
	}
	conn.arrivesBy[side] = max(conn.arrivesBy[side], arrive)
	e.schedule(conn.arrivesBy[side], func() {
		if conn.closed[side] {
			return
		}
		conn.resetSilently[side] = !conn.closed[1-side]
		e.connLost(conn, side)
	})
}

// connLost tells a side that its connection is over.
func (e *Environment) connLost(conn *conn, side int) {
	conn.closed[side] = true
	if conn.closed[1-side] {
		delete(e.conns, conn.id)
	}
	if side == farSide {
		conn.far.connClosed(conn)
		return
	}
	var message simapi.InputMessage = simapi.ClientClosed{Conn: conn.id}
	if l, ok := conn.state.(*workerConn); ok {
		message = simapi.WorkerDisconnected{Worker: conn.worker, Conn: conn.id, Reset: conn.up}
		l.schedulerClosed()
	}
	e.deliver(simapi.Input{Scheduler: conn.scheduler, Message: message})
}

// closeSide closes a connection at one side. The other side is notified, unless it has closed too: a scheduler by a
// simapi.ClientClosed or simapi.WorkerDisconnected, the far end by connClosed.
func (e *Environment) closeSide(c *conn, side int) {
	if c.closed[side] {
		return
	}
	c.closed[side] = true
	if c.closed[1-side] {
		delete(e.conns, c.id)
		return
	}
	e.transmit(c, 1-side, func() { e.connLost(c, 1-side) })
}

// dropConns ends all connections of a scheduler's process that is gone. Its kernel resets them.
func (e *Environment) dropConns(sched int) {
	var own []*conn
	for _, c := range e.conns {
		if c.scheduler == sched && c.incarnation == e.schedulers[sched].incarnation && !c.closed[schedulerSide] {
			own = append(own, c)
		}
	}
	sortConns(own) // map order decides nothing
	for _, c := range own {
		e.closeSide(c, schedulerSide)
	}
}
