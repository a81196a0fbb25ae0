package environment

import (
	"time"

	"valvecove/internal/testbed/simapi"
)

// The sides of a connection, as indices of the arrays of conn.
const (
	schedulerSide = iota // the scheduler's
	farSide              // the client's or the worker's
)

// conn is a connection between a scheduler and a client or a worker. When one side closes it, the other side is notified after
// the network's delay, in order with the data that was sent before.
type conn struct {
	id                simapi.Conn
	scheduler         int
	incarnation       int              // of the scheduler's process that it belongs to
	worker            int              // number of the worker, of a worker's connection
	workerIncarnation int              // of the worker's process that it leads to, of a worker's connection
	up                bool             // it is established
	closed            [2]bool          // by side: that side has closed it, or was notified that the other has
	resetUnnoticed    [2]bool          // by side: closed there, unknown to the other side as a middlebox dropped the notification
	arrivesBy         [2]time.Duration // by side: when the last data sent to it arrives
	lastUsed          time.Duration    // when data was last sent over it, either way
	far               farEnd
	state             any // state of the far end, a *workerConn for a worker's connection
}

// farEnd is the client's or worker's end of a connection.
type farEnd interface {
	endpoint() endpoint
	connClosed(c *conn) // the scheduler has closed it, or its process has ended
}

func (e *Environment) openConn(c *conn) *conn {
	c.incarnation, c.lastUsed = e.schedulers[c.scheduler].incarnation, e.now
	e.conns[c.id] = c
	return c
}

// toSched sends data over a connection to its scheduler: do is called when it arrives, in order, unless the scheduler's side is
// closed by then. Data that a partition holds up arrives once the partition has ended. Data for a connection that a middlebox has
// forgotten never arrives: whoever waits for it has a timeout.
func (e *Environment) toSched(c *conn, do func()) { e.transmit(c, schedulerSide, do) }

// toFarEnd does the same in the other direction.
func (e *Environment) toFarEnd(c *conn, do func()) { e.transmit(c, farSide, do) }

func (e *Environment) transmit(conn *conn, side int, onArrival func()) {
	from, target := endpoint{schedulerEndpoint, conn.scheduler}, conn.far.endpoint()
	if side == schedulerSide {
		from, target = target, from
	}
	if partition := e.network.partitionBetween(from, target); partition != nil {
		partition.held = append(partition.held, func() { e.transmit(conn, side, onArrival) })
		return
	}
	if d := e.network.idleDropAfter(from, target); d > 0 && e.now-conn.lastUsed > d {
		conn.resetUnnoticed[1-side] = conn.closed[1-side] // a close by the sender is what is dropped here
		e.sendReset(conn, 1-side)
		return
	}
	conn.lastUsed = e.now
	conn.arrivesBy[side] = max(conn.arrivesBy[side], e.now+e.network.delay(from, target))
	e.schedule(conn.arrivesBy[side], func() {
		switch {
		case !conn.closed[side]:
			onArrival()
		case conn.resetUnnoticed[side]:
			e.sendReset(conn, 1-side)
		}
	})
}

// sendReset resets a connection at the given side, which has sent data to a middlebox or peer that no longer knows the
// connection. The other side is not notified: its end stays open unless it was closed before.
func (e *Environment) sendReset(conn *conn, side int) {
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
		conn.resetUnnoticed[side] = !conn.closed[1-side]
		e.connLost(conn, side)
	})
}

// connLost notifies a side that its connection is closed, and forgets the connection once both sides are closed.
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

// dropConns closes all connections of a scheduler's process that has ended, as its kernel resets them.
func (e *Environment) dropConns(sched int) {
	var own []*conn
	for _, c := range e.conns {
		if c.scheduler == sched && c.incarnation == e.schedulers[sched].incarnation && !c.closed[schedulerSide] {
			own = append(own, c)
		}
	}
	sortConns(own) // the order of a map is random, and must not affect the run
	for _, c := range own {
		e.closeSide(c, schedulerSide)
	}
}
