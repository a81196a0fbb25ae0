package live

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/http1"
	"valvecove/internal/lab/edge"
)

const (
	noteWithin = time.Second     // a call that has no answer by then has failed (driver.patience)
	noteIdle   = 5 * time.Second // a connection without a call is closed then
	mostCalls  = 4               // of one worker node to one scheduler at once; further ones wait, within their time
)

// callPool is a worker node's connections to a scheduler, by which it calls it with its notes.
type callPool struct {
	d           *driver
	sched, node int
	idle        []*callLink // the last one used last
	open        []*callLink
	waiting     []*noteCall
}

// noteCall is one call.
type noteCall struct {
	id    uint64
	body  []byte
	timer *timer
	link  *callLink // that carries it; nil: it waits
}

// callLink is one connection.
type callLink struct {
	sock
	pool  *callPool
	call  *noteCall // nil: it is idle
	timer *timer    // while it is
}

// note calls a scheduler with a note.
func (d *driver) note(in *edge.In) {
	n := in.Note
	body, err := jsoniter.ConfigDefault.Marshal(noteForm{n.CallID, n.EndpointID, n.State, n.Progress, n.Result})
	if err != nil {
		d.fail(err)
		return
	}
	s := d.scheds[in.Sched]
	p := s.calls[in.Node]
	if p == nil {
		p = &callPool{d: d, sched: in.Sched, node: in.Node}
		s.calls[in.Node] = p
	}
	c := &noteCall{id: in.NoteID, body: body}
	c.timer = d.after(d.patience, func() { p.late(c) })
	p.waiting = append(p.waiting, c)
	p.proceed()
}

// noteForm is a note as the protocol writes it.
type noteForm struct {
	ID     string  `json:"id"`
	From   string  `json:"from"`
	State  string  `json:"state"`
	Share  float64 `json:"share,omitempty"`
	Result *string `json:"result,omitempty"`
}

func (p *callPool) proceed() {
	for len(p.waiting) > 0 && (len(p.idle) > 0 || len(p.open) < mostCalls) {
		c := p.waiting[0]
		p.waiting = slices.Delete(p.waiting, 0, 1)
		if n := len(p.idle); n > 0 {
			k := p.idle[n-1]
			p.idle = p.idle[:n-1]
			p.d.stop(k.timer)
			k.carry(c)
			continue
		}
		k := &callLink{pool: p}
		if err := p.d.dial(&k.sock, p.d.places.client(uint64(p.node)), p.d.scheds[p.sched].listen, k); err != nil {
			if !p.d.own(err) {
				p.done(c, 0)
			}
			continue
		}
		p.open = append(p.open, k)
		k.carry(c)
	}
}

// done ends a call.
func (p *callPool) done(c *noteCall, status int) {
	p.d.stop(c.timer)
	if c.id != guestNote {
		p.d.out(edge.Out{Kind: edge.Acked, Sched: p.sched, Node: p.node, NoteID: c.id, Status: status})
	}
}

// late is the end of a call's time.
func (p *callPool) late(c *noteCall) {
	if k := c.link; k != nil {
		k.reset()
		p.drop(k)
	} else if i := slices.Index(p.waiting, c); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	p.done(c, 0)
	p.proceed()
}

func (p *callPool) drop(k *callLink) {
	p.d.stop(k.timer)
	if i := slices.Index(p.open, k); i >= 0 {
		p.open = slices.Delete(p.open, i, i+1)
	}
	if i := slices.Index(p.idle, k); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
}

func (p *callPool) close() {
	for _, k := range p.open {
		k.reset()
	}
}

func (k *callLink) carry(c *noteCall) {
	d := k.pool.d
	k.call, c.link = c, k
	b := http1.AppendRequestStart(d.writing[:0], http.MethodPost, "/v1/job-events", d.scheds[k.pool.sched].listen.String())
	b = append(b, "Content-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(c.body)), 10)
	d.writing = append(append(b, "\r\n\r\n"...), c.body...)
	k.write(d.writing)
}

func (k *callLink) came(int) {
	p := k.pool
	a, _, n, err := p.d.http.response(k.in, false)
	switch {
	case err != nil || n > 0 && k.call == nil:
		k.reset()
		k.ended(err)
	case n > 0:
		k.take(n)
		c := k.call
		if k.call = nil; a.Close {
			k.close()
			p.drop(k)
		} else {
			k.timer = p.d.after(noteIdle, func() {
				k.close()
				p.drop(k)
			})
			p.idle = append(p.idle, k)
		}
		p.done(c, a.StatusCode)
		p.proceed()
	}
}

func (k *callLink) ended(error) {
	p, c := k.pool, k.call
	p.drop(k)
	if c != nil {
		p.done(c, 0)
	}
	p.proceed()
}
