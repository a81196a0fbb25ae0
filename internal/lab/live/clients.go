package live

import (
	"bytes"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/http1"
	"valvecove/internal/lab/edge"
)

// client is a usual client's connection to a scheduler. It carries one query at a time.
type client struct {
	sock
	d      *driver
	id     edge.Conn
	to     netip.AddrPort
	sched  int
	ask    *edge.Ask // that awaits its answer; nil: none does
	resent bool      // the query crossed a close, and has been sent once more
}

// ask carries a client's query over its connection, which begins with the first.
func (d *driver) ask(in *edge.In) {
	c := d.clients[in.Conn]
	if c == nil {
		c = &client{d: d, id: in.Conn, sched: in.Sched, to: d.places.sched(in.Sched)}
		d.clients[in.Conn] = c
		if err := d.dial(&c.sock, d.places.client(uint64(in.Conn)), c.to, c); err != nil {
			c.unmet(err)
			return
		}
	}
	c.ask, c.resent = in.Ask, false
	d.forms.add(in.Ask, d.now)
	c.put()
}

func (c *client) put() {
	c.d.writing = c.d.appendAsk(c.d.writing[:0], c.to, c.ask)
	c.write(c.d.writing)
}

// leave closes a client's connection, whatever awaits an answer on it.
func (d *driver) leave(id edge.Conn) {
	if c := d.clients[id]; c != nil {
		delete(d.clients, id)
		c.close()
	}
	if o := d.odds[id]; o != nil {
		o.close()
	}
}

func (c *client) came(int) {
	for len(c.in) > 0 && !c.closed {
		a, body, n, err := c.d.http.response(c.in, false)
		if err != nil || n > 0 && c.ask == nil { // it can't be read, or nobody has asked for it
			c.reset()
			c.cut()
			return
		}
		if n == 0 {
			return
		}
		c.answered(a, body)
		if c.take(n); a.Close { // so it says; there is no need to wait for it
			c.close()
			c.cut()
		}
	}
}

func (c *client) answered(a *http.Response, body []byte) {
	o := edge.Out{
		Kind: edge.Replied, Sched: c.sched, Conn: c.id, Call: c.ask.Call, Status: a.StatusCode,
		Result: string(body), After: retryAfter(a.Header),
	}
	c.ask = nil
	c.d.out(o)
}

// retryAfter is the advice in an answer: seconds, whole or decimal. A date, or what makes no sense, is none.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(s > 0 && s < 1e6) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// cut tells that the scheduler has ended the connection.
func (c *client) cut() {
	delete(c.d.clients, c.id)
	c.d.out(edge.Out{Kind: edge.Cut, Sched: c.sched, Conn: c.id})
}

// unmet tells that it never came up.
func (c *client) unmet(err error) {
	if !c.d.own(err) {
		delete(c.d.clients, c.id)
		c.d.out(edge.Out{Kind: edge.Unmet, Sched: c.sched, Conn: c.id})
	}
}

func (c *client) ended(err error) {
	switch {
	case !c.up:
		c.unmet(err)
		return
	case c.ask != nil && err == nil && len(c.in) > 0: // an answer may end with its connection
		if a, body, n, wrong := c.d.http.response(c.in, true); wrong == nil && n > 0 {
			c.answered(a, body)
		}
	case c.ask != nil && err != nil && !c.resent && c.d.scheds[c.sched].alive:
		// Closed by a scheduler that had not read the query, the connection is reset; had it read it, it would end
		// without one. Such a query is sent once more, on a new connection.
		c.resent = true
		if err := c.d.dial(&c.sock, c.d.places.client(uint64(c.id)), c.to, c); err == nil {
			c.put()
			return
		} else if c.d.own(err) {
			return
		}
	}
	c.cut()
}

// ---- The query as it is written ----

// appendAsk writes a query as the protocol shows it.
func (d *driver) appendAsk(b []byte, to netip.AddrPort, a *edge.Ask) []byte {
	class, tenant := d.spec.Classes[a.Class].Name, ""
	if a.Tenant < len(d.spec.Tenants) {
		tenant = d.spec.Tenants[a.Tenant].Name
	}
	b = append(append(b, "POST /"...), class...)
	b = append(append(b, '/'), about(a)...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", to.String())
	b = http1.AppendField(b, "X-Call-Id", a.Call)
	b = http1.AppendField(b, "X-Call-Class", class)
	b = http1.AppendField(b, "X-Caller", tenant)
	b = append(b, "X-Budget-Ms: "...)
	b = strconv.AppendInt(b, a.Budget.Milliseconds(), 10)
	b = append(b, "\r\n"...)
	b = http1.AppendField(b, "Idempotency-Key", a.Key)
	if a.Again {
		b = http1.AppendField(b, "X-Again", "1")
	}
	if a.Hint > 0 {
		b = append(b, "X-Call-Cost: "...)
		b = strconv.AppendInt(b, max(1, a.Hint.Microseconds()), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "X-Call-Info: slots="...)
	b = strconv.AppendFloat(b, a.Slots, 'f', -1, 64)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(a.Body), 10)
	b = append(b, "\r\n\r\n"...)
	return appendBody(b, a.Call, a.Body)
}

// about is the last part of a query's path: what it is about, or else its id.
func about(a *edge.Ask) string {
	if a.Key != "" {
		return a.Key
	}
	return a.Call
}

// appendBody writes a query's body, which follows from its id and length.
func appendBody(b []byte, call string, n int) []byte {
	for end := len(b) + n; len(b) < end; {
		b = append(b, call[:min(len(call), end-len(b))]...)
		if len(b) < end {
			b = append(b, '\n')
		}
	}
	return b
}

// forms remembers in what form queries were sent, so that a worker node can tell one that no client sent like that.
// What is older than keepForms may be forgotten: no query is out for that long.
type forms struct {
	now, before map[string]*edge.Ask
	since       time.Duration
}

const keepForms = time.Minute

func (f *forms) add(a *edge.Ask, now time.Duration) {
	if f.now == nil || now-f.since > keepForms {
		f.before, f.now, f.since = f.now, map[string]*edge.Ask{}, now
	}
	f.now[a.Call] = a
}

func (f *forms) find(call string) *edge.Ask {
	if a := f.now[call]; a != nil {
		return a
	}
	return f.before[call]
}

// differs names what a worker node was sent otherwise than a client sent it; empty: nothing.
func (d *driver) differs(a *edge.Ask, q *http.Request, key string, body []byte) string {
	path, ok := strings.CutPrefix(q.RequestURI, "/"+d.spec.Classes[a.Class].Name+"/")
	switch {
	case q.Method != http.MethodPost:
		return "method"
	case !ok || path != about(a):
		return "path"
	case key != a.Key:
		return "Idempotency-Key"
	case !bytes.Equal(body, appendBody(nil, a.Call, a.Body)):
		return "body"
	}
	return ""
}
