package world

import (
	"slices"
	"strings"
	"time"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
)

// clients is all clients: their jobs, each with its tries, of which one is open at a time, and the connections that
// they share (front.go). A job is settled exactly once.
//
// A try waits for a connection, then for its answer, and ends with one sight: Answered, Lost, Left, GaveUp or
// Unreached. It may be followed by another, with a new id, after a refusal
// or where no scheduler was reached; after any other failure only if its class is safe, or keyed with a group that
// holds all worker nodes and then within the window of the first try that may have run. No try begins once the
// job's deadline has passed.
//
// A client listens for the rules' slack beyond its deadline before it closes, as an answer counts until then.
type clients struct {
	w         *World
	arrivals  *arrivals
	classes   []*class
	zones     int
	book      book
	ids       scramble
	salt      uint64
	slack     time.Duration
	pools     []*pool
	lastConn  edge.Conn
	storms    []*float64
	unsettled int
	asking    int
	recent    [64]*try // asked last, in turn
	turn      int
}

// keep is how long a query is known after its job was settled; by then a scheduler sends it no more. That of a
// keyed class is known for its window longer.
const keep = 30 * time.Second

// leastBudget is the least time with which a client asks: budgets are whole milliseconds.
const leastBudget = time.Millisecond

// answerSlack is the rules' slack where a scenario gives none, that of virtual time.
const answerSlack = 16 * time.Millisecond

// class is a class of jobs, and its jobs by when their time is up.
type class struct {
	*scenario.Class
	safe, keyed, repeats bool
	tryTime              time.Duration // that one try may take
	deadlines            *lane         // jobs, by when their time is up
	ends                 *lane         // tries, by when theirs is, where a job may have several
	known                *lane         // settled jobs, by when they may be forgotten
}

// job is what a client wants.
type job struct {
	n             uint64
	class, tenant int
	zone          int
	tries         int
	status        int // of the answer to the last try
	body          int
	honours       bool
	over          bool
	work, slots   float64
	hint          time.Duration
	due, deadline time.Duration
	leaves        time.Duration // its client goes away so long after it fell due; 0: it doesn't
	risked        time.Duration // when the first try was asked that may have run; -1: none was
	key           string
	try           *try   // the open one
	asker         *asker // whose job it is, under a closed load
}

// try is a client's query, as the world knows it.
type try struct {
	call  string
	job   uint64
	n     int // which of the job's tries
	class int
	key   string
	work  float64 // s on a standard core, before the noise of a run
	slots float64

	of     *job // nil: it has ended
	before *try // the job's earlier one
	line   *line
	asked  time.Duration
	tenant int32
	stage  tryStage
	read   bool // the query has reached the scheduler
	again  bool // it has been sent a second time
}

type tryStage uint8

const (
	trySeeks tryStage = iota // for a connection
	tryAsked
	tryEnded
)

// How a try ends.
type ending uint8

const (
	served    ending = iota
	refused          // 429 or 503: trying again is harmless
	unreached        // no connection came up
	failed           // it may have run
)

func newClients(w *World) *clients {
	spec := w.Spec
	c := &clients{w: w, zones: max(1, len(spec.Fleet.Zones)), slack: spec.Rules.Slack.D()}
	if c.slack <= 0 {
		c.slack = answerSlack
	}
	rng := w.rng("ids", 0)
	c.ids, c.salt = newScramble(rng.Uint64(), rng.Uint64()), rng.Uint64()
	for i := range spec.Classes {
		k := &class{Class: &spec.Classes[i]}
		k.safe, k.keyed = k.Effect == "safe", k.Effect == "keyed"
		k.repeats = k.keyed && k.Group == "all"
		k.tryTime = k.Deadline.D()
		if share := spec.Clients.TryShare; share > 0 && share < 1 {
			k.tryTime = time.Duration(float64(k.tryTime) * share)
		}
		window := time.Duration(0)
		if k.keyed {
			window = k.Window.D()
		}
		k.deadlines = newLane(w, k.Deadline.D()+c.slack, 0, c.unsettledJob, c.timeUp)
		k.ends = newLane(w, k.tryTime+c.slack, 0, c.openTry, c.tryUp)
		k.known = newLane(w, keep+window, time.Second, nil, c.book.forget)
		c.classes = append(c.classes, k)
	}
	for z := range c.zones {
		c.pools = append(c.pools, &pool{c: c, zone: z})
	}
	c.arrivals = newArrivals(c)
	return c
}

func (c *clients) begin() {
	c.arrivals.begin()
	c.beginBad()
}

// over tells whether all jobs are settled and none will come.
func (c *clients) over() bool { return c.unsettled == 0 && c.w.now >= c.arrivals.length }

// Asking is how many queries clients wait for an answer to.
func (w *World) Asking() int { return w.clients.asking }

// QuotaPerS is how many jobs a second are within a tenant's share.
func (w *World) QuotaPerS(tenant int) float64 { return w.Spec.QuotaRate(tenant) }

// Capacity is how many seconds of work a second the warm fleet can do, on standard cores.
func (w *World) Capacity() float64 { return w.Spec.Capacity() }

// ---- The life of a job ----

// due is the moment at which a job falls due; the lab meant it to at meant.
func (c *clients) due(j *job, meant time.Duration) {
	k := c.classes[j.class]
	c.unsettled++
	j.due, j.deadline = c.w.now, c.w.now+k.Deadline.D()
	j.n = c.book.enter(j)
	if c.zones > 1 {
		j.zone = int(c.draw(j.n, 0, drawZone) % uint64(c.zones))
	}
	if k.keyed {
		j.key = c.keyOf(j.n)
	}
	aim := min(k.Aim.D()+time.Duration(k.Stretch*j.work*float64(time.Second)), k.Deadline.D())
	c.w.tell(seen.Sight{
		What: seen.Due, Job: j.n, Class: j.class, Tenant: j.tenant, Work: j.work, Slots: j.slots,
		Key: j.key, Aim: aim, Deadline: k.Deadline.D(), Over: c.arrivals.over(j.tenant, c.w.now), Span: c.w.now - meant,
	})
	k.deadlines.add(j.n)
	if j.leaves > 0 {
		c.w.after(j.leaves, func() { c.leave(j) })
	}
	c.ask(j)
}

// ask begins the job's next try.
func (c *clients) ask(j *job) {
	if j.over {
		return
	}
	t := &try{
		job: j.n, n: j.tries, class: j.class, tenant: int32(j.tenant), key: j.key, work: j.work,
		slots: j.slots, of: j,
	}
	t.call = c.callOf(j.n, j.tries)
	t.before = c.book.tried(t)
	j.tries++
	j.try, j.status = t, 0
	c.pools[j.zone].seek(t)
}

// put writes a try's query on a connection. Not ok: its time is up.
func (c *clients) put(t *try, l *line) (ok bool) {
	j, k, now := t.of, c.classes[t.class], c.w.now
	budget := min(j.deadline-now, k.tryTime) / time.Millisecond * time.Millisecond
	if budget < leastBudget || k.outside(j, now) {
		return false
	}
	t.stage, t.asked, t.line, t.read, l.try = tryAsked, now, l, false, t
	c.asking++
	c.recent[c.turn%len(c.recent)] = t
	c.turn++
	if k.tryTime < k.Deadline.D() && j.deadline-now > k.tryTime {
		k.ends.add(t.job<<tryBits | uint64(t.n))
	}
	a := &edge.Ask{
		Call: t.call, Class: t.class, Tenant: j.tenant, Key: t.key, Budget: budget, Hint: j.hint,
		Slots: t.slots, Body: j.body, Again: t.n > 0 && c.w.Spec.Clients.MarkRetry,
	}
	c.w.tell(c.about(t, seen.Sight{
		What: seen.Asked, Sched: l.conn.sched, Conn: uint64(l.conn.id), Budget: budget,
		Again: a.Again,
	}))
	l.send(a)
	return true
}

// end ends a try, and settles its job or has it tried again.
func (c *clients) end(t *try, how ending, after time.Duration) {
	j, k := t.of, c.classes[t.class]
	if t.stage == tryAsked {
		c.asking--
	}
	if how == failed && j.risked < 0 {
		j.risked = t.asked
	}
	t.stage, t.of, t.line, j.try = tryEnded, nil, nil, nil
	if how == served || j.tries > c.w.Spec.Clients.Retries || j.tries >= mostTries ||
		how == failed && !k.safe && !k.repeats {
		c.settle(j)
		return
	}
	at := c.w.now + c.wait(j, after)
	if at > j.deadline-leastBudget || k.outside(j, at) {
		c.settle(j)
		return
	}
	c.w.at(at, func() { c.ask(j) })
}

// outside tells whether an instant is outside the window in which a keyed job may be repeated.
func (k *class) outside(j *job, at time.Duration) bool {
	return k.repeats && j.risked >= 0 && at >= j.risked+k.Window.D()
}

// wait is how long a client waits before its job's next try. Of after, the scheduler's advice, only storms and the
// client's own ways keep it.
func (c *clients) wait(j *job, after time.Duration) time.Duration {
	if j.honours && after > 0 && len(c.storms) == 0 {
		return after
	}
	wait := float64(c.w.Spec.Clients.Backoff.D()) * (0.5 + unit(c.draw(j.n, j.tries, drawWait)))
	wait *= float64(uint64(1) << min(j.tries-1, 30))
	for _, f := range c.storms {
		wait /= *f
	}
	return time.Duration(min(wait, float64(time.Hour)))
}

// settle is the end of a job.
func (c *clients) settle(j *job) {
	j.over = true
	c.unsettled--
	c.book.settle(j.n)
	c.classes[j.class].known.add(j.n)
	c.w.tell(seen.Sight{
		What: seen.Settled, Job: j.n, Class: j.class, Tenant: j.tenant, Try: j.tries - 1,
		Status: j.status,
	})
	if j.asker != nil {
		j.asker.again()
	}
}

// leave is an impatient client's going away.
func (c *clients) leave(j *job) {
	if j.over {
		return
	}
	c.abandon(j, seen.Left)
	c.settle(j)
}

// unsettledJob tells whether a job's deadline is still to come, and timeUp is it.
func (c *clients) unsettledJob(n uint64) bool { return c.book.open(n) != nil }

func (c *clients) timeUp(n uint64) {
	j := c.book.open(n)
	c.abandon(j, seen.GaveUp)
	c.settle(j)
}

// abandon ends a job's open try without an answer, if it has one.
func (c *clients) abandon(j *job, why seen.What) {
	t := j.try
	if t == nil {
		return
	}
	if t.stage == tryAsked {
		c.asking--
		c.hangUp(t, why)
	} else {
		c.w.tell(c.about(t, seen.Sight{What: seen.Unreached, Sched: -1}))
	}
	t.stage, t.of, t.line, j.try = tryEnded, nil, nil, nil
}

// miss ends a try that reached no scheduler; -1: it was led to none.
func (c *clients) miss(t *try, sched int) {
	c.w.tell(c.about(t, seen.Sight{What: seen.Unreached, Sched: sched}))
	c.end(t, unreached, 0)
}

// openTry tells whether the end of a try's time is still to come, and tryUp is it. Its job has time for more.
func (c *clients) openTry(id uint64) bool {
	j := c.book.open(id >> tryBits)
	return j != nil && j.try != nil && j.try.n == int(id%mostTries) && j.try.stage == tryAsked
}

func (c *clients) tryUp(id uint64) {
	t := c.book.open(id >> tryBits).try
	if c.w.now < t.asked+c.classes[t.class].tryTime+c.slack { // it was sent a second time, and has that one's time
		return
	}
	c.hangUp(t, seen.GaveUp)
	c.end(t, failed, 0)
}

// hangUp closes the connection that a try waits on.
func (c *clients) hangUp(t *try, why seen.What) {
	l := t.line
	c.w.tell(c.about(t, seen.Sight{What: why, Sched: l.conn.sched, Conn: uint64(l.conn.id)}))
	l.try = nil
	l.close()
}

// about says in a sight which try it is of.
func (c *clients) about(t *try, s seen.Sight) seen.Sight {
	s.Call, s.Job, s.Try, s.Class, s.Tenant, s.Key = t.call, t.job, t.n, t.class, int(t.tenant), t.key
	return s
}

// storm has clients come back factor times as soon, and heed no Retry-After, until undo. Storms multiply.
func (c *clients) storm(factor float64) (undo func()) {
	f := &factor
	c.storms = append(c.storms, f)
	return func() { c.storms = slices.DeleteFunc(c.storms, func(o *float64) bool { return o == f }) }
}

// ---- What comes from schedulers ----

// did takes an answer, or the end of a connection. What is for a connection that its client has closed, or that
// there never was, goes nowhere.
func (c *clients) did(o *edge.Out) {
	conn := c.w.conns[o.Conn]
	if conn == nil || o.Conn.Link() || conn.sched != o.Sched {
		return
	}
	switch o.Kind {
	case edge.Replied:
		a := answer{o.Call, o.Result, o.Status, o.After}
		switch far := conn.far.(type) {
		case *line:
			far.bring(a)
		case *odd:
			c.w.toFar(conn, func() { far.answered(conn, a) })
		}
	case edge.Cut:
		c.w.shut(conn, schedSide)
	case edge.Unmet:
		conn.over[schedSide], conn.over[farSide] = true, true
		delete(c.w.conns, conn.id)
		conn.far.ended(conn)
	}
}

// number numbers a client's connection.
func (c *clients) number() edge.Conn {
	c.lastConn++
	return c.lastConn
}

// answer is an answer as it stands on the wire, and the query that it is meant for.
type answer struct {
	call, text string
	status     int
	after      time.Duration
}

func (a *answer) ending() ending {
	switch a.status {
	case 200:
		return served
	case 429, 503:
		return refused
	}
	return failed
}

// answered is the arrival of an answer. Whatever it is, it is seen; one that is not for the query that the
// connection carries ends nothing.
func (l *line) answered(a answer) {
	c, t := l.pool.c, l.try
	s := seen.Sight{
		What: seen.Answered, Status: a.status, After: a.after, Text: a.text, Sched: l.conn.sched,
		Conn: uint64(l.conn.id),
	}
	mine := t != nil && t.call == a.call
	if mine {
		s = c.about(t, s)
	} else if o := c.find(a.call); o != nil {
		s = c.about(o, s)
	}
	s.Call = a.call
	c.w.tell(s)
	if !mine {
		if t == nil {
			l.close() // it can't be trusted any more
		}
		return
	}
	t.of.status, l.try = a.status, nil
	l.free()
	c.end(t, a.ending(), a.after)
}

// ---- Ids ----

// A query's id is its job's number and its own among the job's tries, scrambled: it follows from the seed alone,
// never comes twice, and leads back to the job without a table.
const (
	tryBits   = 8
	mostTries = 1 << tryBits
)

// scramble is a permutation of 64-bit numbers that can be undone.
type scramble struct{ add, mul, inv uint64 }

func newScramble(a, b uint64) scramble {
	s := scramble{add: a, mul: b | 1}
	s.inv = s.mul // right in its last 3 bits; each turn doubles those
	for range 5 {
		s.inv *= 2 - s.mul*s.inv
	}
	return s
}

func (s scramble) do(x uint64) uint64 {
	x += s.add
	for range 3 {
		x ^= x >> 32
		x *= s.mul
	}
	return x ^ x>>32
}

func (s scramble) undo(x uint64) uint64 {
	x ^= x >> 32
	for range 3 {
		x *= s.inv
		x ^= x >> 32
	}
	return x - s.add
}

const digits = "0123456789abcdef"

func putHex(dst []byte, x uint64) {
	for i := range dst {
		dst[i] = digits[x>>60]
		x <<= 4
	}
}

func (c *clients) callOf(job uint64, try int) string {
	var b [16]byte
	putHex(b[:], c.ids.do(job<<tryBits|uint64(try)))
	return string(b[:])
}

func (c *clients) keyOf(job uint64) string {
	var b [32]byte
	putHex(b[:16], c.ids.do(job^c.salt))
	putHex(b[16:], c.ids.do(job^c.salt>>1))
	return string(b[:])
}

// find finds a query by its id; nil: no client sent it. Queries are known for as long as an attempt of theirs may be
// anywhere.
func (c *clients) find(call string) *try {
	if len(call) != 16 {
		return nil
	}
	var x uint64
	for i := range len(call) {
		d := strings.IndexByte(digits, call[i])
		if d < 0 {
			return nil
		}
		x = x<<4 | uint64(d)
	}
	x = c.ids.undo(x)
	return c.book.find(x>>tryBits, int(x%mostTries))
}

// What a job's own random numbers are drawn for. They follow from its number and the try alone.
const (
	drawZone = iota
	drawLine
	drawWait
)

func (c *clients) draw(job uint64, try, what int) uint64 {
	return mix64(mix64(c.salt+job<<tryBits+uint64(try)) + uint64(what)*0x9e3779b97f4a7c15)
}

// unit turns random bits into a number from 0 up to 1.
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// ---- Books ----

// book is the jobs by their numbers, which count from 1.
type book struct {
	pages []page // in a ring of a power of two
	first uint64 // the oldest job that is known
	next  uint64
}

type page struct {
	job  *job // nil: settled
	last *try // nil: forgotten
}

func (b *book) at(n uint64) *page { return &b.pages[n&uint64(len(b.pages)-1)] }

func (b *book) enter(j *job) uint64 {
	if b.next == 0 {
		b.first, b.next, b.pages = 1, 1, make([]page, 1024)
	}
	if size := uint64(len(b.pages)); b.next-b.first == size {
		old := *b
		b.pages = make([]page, 2*size)
		for n := b.first; n < b.next; n++ {
			*b.at(n) = *old.at(n)
		}
	}
	*b.at(b.next) = page{job: j}
	b.next++
	return b.next - 1
}

// open is a job that is not settled; nil: it is, or there is none.
func (b *book) open(n uint64) *job {
	if n < b.first || n >= b.next {
		return nil
	}
	return b.at(n).job
}

// tried enters a job's latest try, and returns the one before.
func (b *book) tried(t *try) *try {
	p := b.at(t.job)
	before := p.last
	p.last = t
	return before
}

func (b *book) settle(n uint64) { b.at(n).job = nil }

func (b *book) forget(n uint64) {
	b.at(n).last = nil
	for b.first < b.next && b.at(b.first).job == nil && b.at(b.first).last == nil {
		b.first++
	}
}

func (b *book) find(job uint64, n int) *try {
	if job < b.first || job >= b.next {
		return nil
	}
	t := b.at(job).last
	for t != nil && t.n > n {
		t = t.before
	}
	if t == nil || t.n != n {
		return nil
	}
	return t
}

// lane is what falls due equally long after it was entered: a queue with one entry on the agenda, where a heap of
// all would be too slow.
type lane struct {
	w     *World
	span  time.Duration
	batch time.Duration // it may be late by so much, to be woken less often
	live  func(uint64) bool
	do    func(uint64)
	items queue[laneItem]
	armed bool
	fire  func()
}

type laneItem struct {
	at time.Duration
	of uint64
}

// newLane has do done for whatever is live when it falls due; live nil: all is.
func newLane(w *World, span, batch time.Duration, live func(uint64) bool, do func(uint64)) *lane {
	l := &lane{w: w, span: span, batch: batch, live: live, do: do}
	l.fire = func() { l.armed = false; l.run() }
	return l
}

func (l *lane) add(of uint64) {
	l.items.push(laneItem{l.w.now + l.span, of})
	l.arm()
}

func (l *lane) arm() {
	if !l.armed && l.items.len() > 0 {
		l.armed = true
		l.w.at(l.items.first().at+l.batch, l.fire)
	}
}

func (l *lane) run() {
	for l.items.len() > 0 {
		i := *l.items.first()
		live := l.live == nil || l.live(i.of)
		if live && i.at > l.w.now {
			break
		}
		l.items.drop()
		if live {
			l.do(i.of)
		}
	}
	l.arm()
}

// queue is a first-in first-out queue.
type queue[T any] struct {
	items []T
	head  int
}

func (q *queue[T]) len() int  { return len(q.items) - q.head }
func (q *queue[T]) first() *T { return &q.items[q.head] }
func (q *queue[T]) push(x T)  { q.items = append(q.items, x) }

func (q *queue[T]) drop() {
	var none T
	q.items[q.head] = none
	if q.head++; q.head > 64 && q.head > len(q.items)/2 {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
}
