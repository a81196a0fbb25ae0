package environment

import (
	"math/rand/v2"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// misbehavingSource is the misbehaving clients of one kind: they connect at random, with random numbers of their own. What they do on
// their connections is bytes, so only a process driver plays it and tells what came of it.
type misbehavingSource struct {
	clients *clients
	spec    *scenario.MisbehavingClients
	rng     *rand.Rand
	nextAt  time.Duration
	until   time.Duration
	count   uint64
}

// misbehavingClient is a misbehaving client.
type misbehavingClient struct {
	clients  *clients
	kind     string
	answered bool // it has had an answer
}

// misbehavingTimeout is how long a misbehaving client stays whom nobody answers.
const misbehavingTimeout = 30 * time.Second

func (c *clients) startMisbehaving() {
	for i := range c.env.Spec.Misbehaving {
		b := &c.env.Spec.Misbehaving[i]
		m := &misbehavingSource{clients: c, spec: b, rng: c.env.rng("bad", i), nextAt: b.At.Std(), until: c.arrivals.length}
		if b.Duration > 0 {
			m.until = min(m.until, (b.At + b.Duration).Std())
		}
		m.scheduleNext()
	}
}

func (m *misbehavingSource) scheduleNext() {
	if m.spec.Rate <= 0 {
		return
	}
	gap := m.rng.ExpFloat64() / m.spec.Rate
	if remaining := (m.until - m.nextAt).Seconds(); gap >= remaining {
		return
	}
	m.nextAt += time.Duration(gap * float64(time.Second))
	m.clients.env.schedule(m.nextAt, func() {
		m.connectNext()
		m.scheduleNext()
	})
}

// connectNext is the next misbehaving client's. The load balancer leads it like any other, but it heeds no limit.
func (m *misbehavingSource) connectNext() {
	environment := m.clients.env
	m.count++
	sched, _ := environment.balancer.pick(int(m.count)%m.clients.zones, 1<<30)
	if sched < 0 || !environment.schedulers[sched].alive {
		return
	}
	o := &misbehavingClient{clients: m.clients, kind: m.spec.Kind}
	conn := environment.openConn(&conn{id: m.clients.nextConn(), scheduler: sched, up: true, far: o})
	environment.record(trace.Event{Kind: trace.MisbehavingClientConnected, Scheduler: sched, Conn: uint64(conn.id), Text: o.kind})
	message := simapi.ClientMisbehaves{Conn: conn.id, Kind: o.kind, Number: m.count - 1}
	switch o.kind {
	case "stolen_id", "flood", "insist":
		message.RequestID = m.clients.recentOpenRequest()
	}
	environment.deliver(simapi.Input{Scheduler: sched, Message: message})
	environment.after(misbehavingTimeout, func() { environment.closeSide(conn, farSide) })
}

// recentOpenRequest is the id of an open request, the one asked last; empty: of the last ones none is open.
func (c *clients) recentOpenRequest() string {
	for i := range c.recentRequests {
		t := c.recentRequests[(c.recentNext-1-i+len(c.recentRequests)*2)%len(c.recentRequests)]
		if t != nil && t.stage == requestSent {
			return t.id
		}
	}
	return ""
}

func (m *misbehavingClient) endpoint() endpoint { return endpoint{clientEndpoint, 0} }

func (m *misbehavingClient) responseReceived(conn *conn, a response) {
	if !m.answered || a.status == 200 {
		m.clients.env.record(trace.Event{Kind: trace.MisbehavingClientAnswered, Scheduler: conn.scheduler, Conn: uint64(conn.id), Status: a.status, Text: m.kind})
	}
	m.answered = true
}

func (m *misbehavingClient) connClosed(conn *conn) {
	if !m.answered {
		m.clients.env.record(trace.Event{Kind: trace.MisbehavingClientAnswered, Scheduler: conn.scheduler, Conn: uint64(conn.id), Text: m.kind})
	}
	m.answered = true
}
