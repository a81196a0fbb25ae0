package environment

import (
	"math/rand/v2"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
	"valvecove/internal/testbed/trace"
)

// misbehavingSource generates the misbehaving clients of one kind, as a Poisson process with its own random numbers. What they
// write to their connections is defined in bytes, so only the process driver carries it out and reports the responses.
type misbehavingSource struct {
	clients *clients
	spec    *scenario.MisbehavingClients
	rng     *rand.Rand
	nextAt  time.Duration
	endsAt  time.Duration
	count   uint64
}

// misbehavingClient is the client's end of a misbehaving client's connection.
type misbehavingClient struct {
	clients          *clients
	kind             string
	responseRecorded bool // a response, or the lack of one, has been recorded
}

// misbehavingTimeout is how long a misbehaving client keeps its connection open unless the scheduler closes it.
const misbehavingTimeout = 30 * time.Second

func (c *clients) startMisbehaving() {
	for i := range c.env.Spec.Misbehaving {
		spec := &c.env.Spec.Misbehaving[i]
		source := &misbehavingSource{clients: c, spec: spec, rng: c.env.rng("bad", i), nextAt: spec.At.Std(), endsAt: c.arrivals.runLength}
		if spec.Duration > 0 {
			source.endsAt = min(source.endsAt, (spec.At + spec.Duration).Std())
		}
		source.scheduleNext()
	}
}

func (m *misbehavingSource) scheduleNext() {
	if m.spec.Rate <= 0 {
		return
	}
	gap := m.rng.ExpFloat64() / m.spec.Rate
	if remaining := (m.endsAt - m.nextAt).Seconds(); gap >= remaining {
		return
	}
	m.nextAt += time.Duration(gap * float64(time.Second))
	m.clients.env.schedule(m.nextAt, func() {
		m.connectNext()
		m.scheduleNext()
	})
}

// connectNext connects the next misbehaving client. The load balancer assigns it a scheduler as for any other client, but
// without a limit of connections.
func (m *misbehavingSource) connectNext() {
	environment := m.clients.env
	m.count++
	sched, _ := environment.balancer.pick(int(m.count)%m.clients.zones, 1<<30)
	if sched < 0 || !environment.schedulers[sched].alive {
		return
	}
	client := &misbehavingClient{clients: m.clients, kind: m.spec.Kind}
	conn := environment.openConn(&conn{id: m.clients.nextConn(), scheduler: sched, up: true, far: client})
	environment.record(trace.Event{Kind: trace.MisbehavingClientConnected, Scheduler: sched, Conn: uint64(conn.id), Text: client.kind})
	message := simapi.ClientMisbehaves{Conn: conn.id, Kind: client.kind, Number: m.count - 1}
	switch client.kind {
	case "stolen_id", "flood", "insist":
		message.RequestID = m.clients.recentOpenRequest()
	}
	environment.deliver(simapi.Input{Scheduler: sched, Message: message})
	environment.after(misbehavingTimeout, func() { environment.closeSide(conn, farSide) })
}

// recentOpenRequest returns the ID of the open request that was sent last; empty: none of recentRequests is open.
func (c *clients) recentOpenRequest() string {
	for i := range c.recentRequests {
		request := c.recentRequests[(c.recentNext-1-i+len(c.recentRequests)*2)%len(c.recentRequests)]
		if request != nil && request.stage == requestSent {
			return request.id
		}
	}
	return ""
}

func (m *misbehavingClient) endpoint() endpoint { return endpoint{clientEndpoint, 0} }

func (m *misbehavingClient) responseReceived(conn *conn, response response) {
	if !m.responseRecorded || response.status == 200 {
		m.clients.env.record(trace.Event{Kind: trace.MisbehavingClientAnswered, Scheduler: conn.scheduler, Conn: uint64(conn.id), Status: response.status, Text: m.kind})
	}
	m.responseRecorded = true
}

func (m *misbehavingClient) connClosed(conn *conn) {
	if !m.responseRecorded {
		m.clients.env.record(trace.Event{Kind: trace.MisbehavingClientAnswered, Scheduler: conn.scheduler, Conn: uint64(conn.id), Text: m.kind})
	}
	m.responseRecorded = true
}
