package live

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/http1"
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/virtual"
	"valvecove/internal/requests"
)

// node is the stand-in for a worker node, and for the machines that take its place. What it does is the world's to
// say; it speaks HTTP.
type node struct {
	d        *driver
	n        int
	id       string // as discovery told it last
	machines []*machine
}

// machine has a listener for each scheduler.
type machine struct {
	mode      int
	listeners []*listener
}

// newNode opens a worker node. On a fault the node holds what there is to close.
func newNode(d *driver, n int) (*node, error) {
	k := &node{d: d, n: n}
	return k, k.hear(0, edge.Open)
}

// hear has one of its machines accept by a mode. Those before it stay as they were told to be last.
func (n *node) hear(which, mode int) error {
	if which >= len(n.machines) {
		if err := n.d.places.holds((which+1)*n.d.spec.Fleet.Nodes, 1); err != nil {
			return environmentError{err}
		}
	}
	for which >= len(n.machines) {
		if err := n.open(len(n.machines)); err != nil {
			return environmentError{err}
		}
	}
	m := n.machines[which]
	m.mode = mode
	for _, l := range m.listeners {
		if err := l.hear(mode); err != nil {
			return err
		}
	}
	return nil
}

// open gives a machine its addresses. It refuses until it is told how it accepts.
func (n *node) open(which int) error {
	m := &machine{mode: edge.Refuse}
	n.machines = append(n.machines, m)
	for sched := range n.d.scheds {
		l, err := n.d.listenAt(n.addr(which, sched), func(fd int) { n.accept(which, sched, fd) }, n.d.fail)
		if err != nil {
			return err
		}
		m.listeners = append(m.listeners, l)
	}
	return nil
}

// addr is where a scheduler reaches one of its machines.
func (n *node) addr(which, sched int) netip.AddrPort {
	return n.d.places.node(n.n+which*n.d.spec.Fleet.Nodes, sched)
}

func (n *node) close() {
	for _, m := range n.machines {
		for _, l := range m.listeners {
			l.close()
		}
	}
}

// nodeOf finds the worker node that an entry of the list stands for, and which of its machines; nil: there is none.
func (d *driver) nodeOf(h *requests.Endpoint) (n *node, which int) {
	i, which := virtual.NodeOf(h.ID)
	if i < 0 || i >= len(d.nodes) {
		return nil, 0
	}
	return d.nodes[i], which
}

// link is a connection from a scheduler to a worker node. The kernel accepts it at once, the world when it does:
// until then what comes waits.
type link struct {
	sock
	node    *node
	machine int
	sched   int
	id      edge.Conn
	open    bool
	asked   bool // what was sent last awaits its answer
	limit   int  // it is reset once so many bytes have been read; 0: it isn't
	count   int  // bytes read so far
	first   time.Duration
	pending bool // the first byte of a request has come, at first
	leaving bool // it is closed once all is written
	fatal   bool // by a reset
}

// mostAhead is how much a scheduler may send ahead of an answer.
const mostAhead = 256 << 10

func (n *node) accept(which, sched, fd int) {
	s := n.d.scheds[sched]
	s.links++
	k := &link{node: n, machine: which, sched: sched, id: edge.LinkConn(sched, s.links)}
	if err := n.d.adopt(&k.sock, fd, k); err != nil {
		n.d.fail(err)
		return
	}
	n.d.links[k.id] = k
	k.tell(edge.Out{Kind: edge.Dial, Machine: which})
}

func (k *link) tell(o edge.Out) {
	o.Sched, o.Node, o.Conn = k.sched, k.node.n, k.id
	if o.First > 0 {
		o.First = k.node.d.worldTime(o.First)
	}
	k.node.d.out(o)
}

// opened is the world's accepting of it. most > 0: the far end resets it after having read so many bytes.
func (k *link) opened(most int) {
	k.open, k.limit = true, most
	k.proceed()
}

// drop closes it from the worker node's side.
func (k *link) drop(reset bool) {
	delete(k.node.d.links, k.id)
	if reset {
		k.reset()
	} else {
		k.close()
	}
}

// hangup tells the world that it is over, by the scheduler's doing or by what the world wanted done at some byte.
func (k *link) hangup() {
	delete(k.node.d.links, k.id)
	k.tell(edge.Out{Kind: edge.Hangup})
}

func (k *link) ended(error) { k.hangup() }

func (k *link) came(fresh int) {
	if !k.pending {
		k.pending, k.first = true, k.p.now
	}
	k.count += fresh
	k.proceed()
}

// proceed takes the next request, if it is whole and there is room for it.
func (k *link) proceed() {
	if k.closed || !k.open {
		return
	}
	over := k.limit > 0 && k.count >= k.limit
	if over {
		k.in = k.in[:max(0, len(k.in)-(k.count-k.limit))] // the rest was never read
		k.count = k.limit
	}
	for !k.asked && !k.leaving && len(k.in) > 0 {
		q, body, n, err := k.node.d.http.request(k.in)
		if err != nil {
			k.answered(400, "") // what it can't read, it closes on
			k.leave(false)
			break
		}
		if n == 0 {
			break
		}
		k.request(q, body)
		k.take(n)
		k.pending, k.first = len(k.in) > 0, k.p.now
	}
	if !k.closed && (over || len(k.in) > mostAhead) {
		k.reset()
		k.hangup()
	}
}

// request tells the world of a request, or answers it where the protocol leaves nothing to say.
func (k *link) request(q *http.Request, body []byte) {
	path, _, _ := strings.Cut(q.RequestURI, "?")
	switch withdrawn, isJob := strings.CutPrefix(path, "/jobs/"); {
	case q.Method == http.MethodGet && path == "/alive":
		k.asked = true
		k.tell(edge.Out{Kind: edge.Probe, First: k.first})
	case q.Method == http.MethodGet && path == "/metrics/load":
		k.asked = true
		k.tell(edge.Out{Kind: edge.Probe, First: k.first, Load: true})
	case q.Method == http.MethodDelete && isJob && withdrawn != "":
		k.asked = true
		k.tell(edge.Out{Kind: edge.Delete, First: k.first, Call: withdrawn})
	case q.Method == http.MethodPost:
		k.query(q, path, body)
	default:
		k.answered(404, "")
	}
	if k.leaving = k.leaving || q.Close; q.Close && !k.asked {
		k.leave(false)
	}
}

func (k *link) query(q *http.Request, path string, body []byte) {
	d := k.node.d
	call, ok := once(q.Header, "X-Call-Id")
	key, ok2 := once(q.Header, "Idempotency-Key")
	budget, ok3 := once(q.Header, "X-Budget-Ms")
	ms, err := strconv.ParseUint(budget, 10, 40)
	switch {
	case call == "":
		k.answered(404, "")
		return
	case !ok || !ok2 || !ok3 || budget != "" && err != nil:
		k.answered(400, "")
		return
	case oddPath(path): // a bad client's: a worker node can't use it
		if k.node.machines[k.machine].mode != edge.NeverUp {
			k.answered(400, "")
		}
		return
	}
	a := d.forms.find(call)
	if a == nil && d.opt.Guests && !hiddenCall(call) {
		k.guest(call)
		return
	}
	if a != nil {
		// Nobody has sent the query in this form; under its own id it would pass for one that somebody has.
		if what := d.differs(a, q, key, body); what != "" {
			if len(d.altered) < mostAltered {
				d.altered = append(d.altered, fmt.Sprintf("query %s reached w-%d from scheduler %d with another %s",
					call, k.node.n, k.sched, what))
			}
			call += "!" + what
		}
	}
	k.asked = true
	k.tell(edge.Out{
		Kind: edge.Sent, Call: call, Key: key, Budget: time.Duration(ms) * time.Millisecond,
		First: k.first,
	})
}

// mostAltered is how many queries that came otherwise than a client sent them are named.
const mostAltered = 100

// answer is the worker node's, by the world.
func (k *link) answer(in *edge.In) {
	fields := ""
	if in.Rejected {
		fields = "X-Rejected: 1\r\n"
	}
	if in.Bytes > 0 {
		b := http1.AppendResponse(nil, in.Status, fields, nil, true)
		k.asked = false
		k.write(b[:min(in.Bytes, len(b))])
		k.leave(true)
		return
	}
	k.answered(in.Status, fields)
	k.asked = false
	if k.leaving {
		k.leave(false)
		return
	}
	k.proceed()
}

func (k *link) answered(status int, fields string) {
	d := k.node.d
	d.writing = http1.AppendResponse(d.writing[:0], status, fields, nil, true)
	k.write(d.writing)
}

// leave closes it once all that was written has left.
func (k *link) leave(reset bool) {
	k.leaving, k.fatal = true, reset
	if len(k.out) == 0 {
		k.drained()
	}
}

func (k *link) drained() {
	if k.leaving && !k.asked && !k.closed {
		k.drop(k.fatal)
		k.tell(edge.Out{Kind: edge.Hangup})
	}
}

// ---- Guests ----

// guest runs a query that no client of the world has sent, for whoever tries things out by hand. The world knows
// nothing of it, so it takes nobody's place.
func (k *link) guest(call string) {
	d, node, sched := k.node.d, k.node, k.sched
	k.answered(202, "")
	say := func(state, result string) {
		n := &requests.Callback{CallID: call, EndpointID: node.id, State: state}
		if result != "" {
			n.Result = &result
		}
		d.note(&edge.In{Kind: edge.Told, Sched: sched, Node: node.n, Note: n, NoteID: guestNote})
	}
	say("started", "")
	d.after(guestWork, func() { say("done", fmt.Sprintf("%s ran on %s for %v", call, node.id, guestWork)) })
}

const guestWork = 200 * time.Millisecond

// guestNote is the number of notes that the world knows nothing of.
const guestNote = ^uint64(0)
