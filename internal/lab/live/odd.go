package live

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"valvecove/internal/http1"
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
)

// Bad clients have ids and paths of their own, so that a worker node knows theirs: it can use none. A query that
// one has hidden in another's body is no bad client's to a worker node, but one that nobody has sent.
const (
	oddName    = "odd-"
	hiddenName = "hidden-"
)

func oddPath(path string) bool {
	return strings.HasPrefix(path[strings.LastIndexByte(path, '/')+1:], oddName)
}

func hiddenCall(call string) bool { return strings.HasPrefix(call, hiddenName) }

const (
	oddStays     = 20 * time.Second // longer than it is ever owed something for
	hugeBody     = 60 << 20
	insistMost   = 300 // times that the same is sent again
	insistFor    = 3 * time.Second
	slowByteEach = 100 * time.Millisecond
	slowTakes    = 16 // bytes at a time
	feedAtOnce   = 16 // writes of one that never stops, before others have their turn
)

// odd is a bad client: what it sends, how, and what it does once it is answered. It tells the world of its first
// answer, of any further one that says its request was served, and else of its end.
type odd struct {
	d       *driver
	id      edge.Conn
	sched   int
	kind    string
	rng     *rand.Rand
	socks   []*oddSock
	open    int
	told    bool
	over    bool
	timer   *timer
	again   []byte // insist: what is sent again
	repeats int
	until   time.Duration
}

// oddSock is one of its connections.
type oddSock struct {
	sock
	of     *odd
	feed   func() []byte // gives what is to be written once all before has left; nil: nothing more
	hangUp bool          // it closes once all is written
	pace   *timer        // of what it does slowly
}

// odd begins a bad client.
func (d *driver) odd(in *edge.In) {
	o := &odd{
		d: d, id: in.Conn, sched: in.Sched, kind: in.Odd.Kind,
		rng: rand.New(rand.NewPCG(in.Odd.N, xxhash.Sum64String(in.Odd.Kind))), until: d.now + insistFor,
	}
	d.odds[o.id] = o
	o.timer = d.after(oddStays, o.close)
	o.begin(in.Odd)
	if o.open == 0 && !o.over { // nothing came up
		o.end()
	}
}

// connect opens one of its connections and writes to it.
func (o *odd) connect(b []byte) *oddSock {
	k := &oddSock{of: o}
	d := o.d
	from := d.places.client(uint64(o.id) + uint64(len(o.socks)))
	if err := d.dial(&k.sock, from, d.places.sched(o.sched), k); err != nil {
		d.own(err)
		k.closed = true
		return k
	}
	o.socks = append(o.socks, k)
	o.open++
	if len(b) > 0 {
		k.write(b)
	}
	return k
}

// close is its own going away: nobody is told.
func (o *odd) close() {
	if o.over {
		return
	}
	o.over = true
	o.d.stop(o.timer)
	delete(o.d.odds, o.id)
	for _, k := range o.socks {
		o.d.stop(k.pace)
		k.reset()
	}
}

// end tells of its end, if nothing better can be told.
func (o *odd) end() {
	if !o.told && !o.over {
		o.told = true
		o.d.out(edge.Out{Kind: edge.Cut, Sched: o.sched, Conn: o.id})
	}
	o.close()
}

func (k *oddSock) came(int) {
	o := k.of
	for len(k.in) > 0 && !k.closed {
		a, _, n, err := o.d.http.response(k.in, false)
		if err != nil {
			k.reset()
			k.ended(err)
			return
		}
		if n == 0 {
			return
		}
		k.take(n)
		o.answered(k, a.StatusCode)
	}
}

func (o *odd) answered(k *oddSock, status int) {
	if !o.told || status/100 == 2 {
		o.told = true
		o.d.out(edge.Out{Kind: edge.Replied, Sched: o.sched, Conn: o.id, Status: status})
	}
	switch {
	case o.kind == "flood" || o.kind == "slow_reader": // there is more to come
	case o.kind == "insist" && status/100 != 2 && o.repeats < insistMost && o.d.now < o.until:
		o.repeats++
		k.write(o.again)
	default:
		o.close()
	}
}

func (k *oddSock) ended(error) {
	o := k.of
	o.open--
	o.d.stop(k.pace)
	switch {
	case o.over:
	case o.kind == "insist" && k.up && o.repeats < insistMost && o.d.now < o.until:
		o.repeats++
		o.connect(o.again)
		fallthrough
	default:
		if o.open == 0 {
			o.end()
		}
	}
}

func (k *oddSock) drained() {
	if k.hangUp {
		k.close()
		k.ended(nil)
		return
	}
	for range feedAtOnce {
		if k.feed == nil || k.closed || len(k.out) > 0 {
			return
		}
		if b := k.feed(); b != nil {
			k.write(b)
		} else {
			k.feed = nil
		}
	}
	k.listen(k.mask | unix.EPOLLOUT) // others have their turn
}

// slowly does something again and again.
func (k *oddSock) slowly(do func()) {
	if !k.closed {
		k.pace = k.of.d.after(slowByteEach, func() {
			do()
			k.slowly(do)
		})
	}
}

// ---- What they do ----

// oddQuery is a query of a bad client, whose parts it may spoil.
type oddQuery struct {
	class, path, call, caller, budget, key string
	length                                 string // Content-Length; empty: none
	more                                   string // further lines of the head
	body                                   string
}

func (o *odd) query(n int) oddQuery {
	spec := o.d.spec
	c := &spec.Classes[o.rng.IntN(len(spec.Classes))]
	name := oddName + strconv.FormatUint(uint64(o.id), 36) + "-" + strconv.Itoa(n)
	q := oddQuery{
		class: c.Name, path: "/" + c.Name + "/" + name, call: name,
		budget: strconv.FormatInt(c.Deadline.D().Milliseconds(), 10), body: strings.Repeat("x", 1+o.rng.IntN(200)),
	}
	if len(spec.Tenants) > 0 {
		q.caller = spec.Tenants[o.rng.IntN(len(spec.Tenants))].Name
	}
	if c.Effect == "keyed" {
		q.key = name
	}
	q.length = strconv.Itoa(len(q.body))
	return q
}

func (q oddQuery) text(host string) []byte {
	b := http1.AppendRequestStart(nil, "POST", q.path, host)
	for _, f := range [][2]string{
		{"X-Call-Id", q.call},
		{"X-Call-Class", q.class},
		{"X-Caller", q.caller},
		{"X-Budget-Ms", q.budget},
		{"Idempotency-Key", q.key},
		{"Content-Length", q.length},
	} {
		b = http1.AppendField(b, f[0], f[1])
	}
	b = append(b, q.more...)
	b = append(b, "\r\n"...)
	return append(b, q.body...)
}

// begin does what its kind does. Each has an answer or a close coming, but for those that leave by themselves.
func (o *odd) begin(do *edge.OddDoing) {
	host := o.d.places.sched(o.sched).String()
	q := o.query(0)
	switch do.Kind {
	case "garbage":
		b := make([]byte, 1+o.rng.IntN(8<<10))
		for i := range b {
			b[i] = byte(o.rng.Uint32())
		}
		o.connect(append(b, "\r\n\r\n"...))
	case "endless_head":
		line := []byte(strings.Repeat("X-More: "+strings.Repeat("m", 100)+"\r\n", 40))
		o.connect(http1.AppendRequestStart(nil, "POST", q.path, host)).feed = func() []byte { return line }
	case "wrong_length":
		off := 1 + o.rng.IntN(len(q.body)) // too long, and never whole; or too short, and the rest is no request
		if do.N%2 == 0 {
			off = -off
		}
		q.length = strconv.Itoa(len(q.body) + off)
		o.connect(q.text(host))
	case "negative_length":
		q.length = strconv.Itoa(-1 - o.rng.IntN(1000))
		o.connect(q.text(host))
	case "huge_length":
		q.length = "9" + strings.Repeat("0", 8+o.rng.IntN(20))
		o.connect(q.text(host))
	case "huge_body":
		q.length, q.body = strconv.Itoa(hugeBody), ""
		part, left := make([]byte, 64<<10), hugeBody
		o.connect(q.text(host)).feed = func() []byte {
			n := min(left, len(part))
			left -= n
			if n == 0 {
				return nil
			}
			return part[:n]
		}
	case "unknown_class":
		q.class = "no-such-class"
		q.path = "/" + q.class + "/" + q.call
		o.connect(q.text(host))
	case "bad_deadline":
		q.budget = []string{"soon", "-1", "1e3", "12ms", "99999999999999999999", "0x10"}[o.rng.IntN(6)]
		o.connect(q.text(host))
	case "no_id":
		q.call = ""
		o.connect(q.text(host))
	case "stolen_id":
		if do.Call != "" {
			q.call = do.Call
		}
		o.connect(q.text(host))
	case "half_then_close":
		b := q.text(host)
		k := o.connect(b[:1+o.rng.IntN(len(b)-1)])
		k.hangUp = true
	case "flood":
		var b []byte
		for i := range 200 + o.rng.IntN(300) {
			b = append(b, o.query(i).text(host)...)
		}
		o.connect(b)
	case "insist":
		o.again = q.text(host)
		o.connect(o.again)
	case "silent":
		o.connect(nil)
	case "smuggle":
		hidden := o.query(1)
		hidden.call = hiddenName + hidden.call
		hidden.path = "/" + hidden.class + "/" + hidden.call
		q.more = "Transfer-Encoding: chunked\r\n"
		q.body = "0\r\n\r\n" + string(hidden.text(host)) // by chunks it ends before the hidden one, by length after it
		q.length = strconv.Itoa(len(q.body))
		o.connect(q.text(host))
	case "slow_head":
		b := q.text(host)
		k := o.connect(b[:1])
		at := 1
		k.slowly(func() {
			if at < len(b) {
				k.write(b[at : at+1])
				at++
			}
		})
	case "slow_reader":
		q.class = "no-such-class"
		q.path = "/" + q.class + "/" + q.call
		var b []byte
		for one := q.text(host); len(b) < 1<<20; {
			b = append(b, one...)
		}
		k := o.connect(b)
		k.reading(false)
		k.slowly(func() {
			if k.up {
				k.read(slowTakes)
			}
		})
	default:
		o.d.fail(fmt.Errorf("bad clients of kind %q are not known here, only %s", do.Kind,
			strings.Join(scenario.BadKinds, ", ")))
	}
}
