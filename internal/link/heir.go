package link

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/ledger"
	"valvecove/internal/succession"
	"valvecove/logic"
)

const (
	welcomeWithin = 3 * time.Second // an elder that does not say so much serves nobody either
	listWithin    = 2 * time.Second // a list of our own is waited for before we say that we are ready
)

// heir is the side of a process that is to replace another one: it stands by, and then takes over.
type heir struct {
	channel
	decides succession.Heir
	dir     string
	listen  netip.AddrPort
	fd      int // the socket that clients connect to, from the elder; -1: not yet
	seq     uint64
	asked   []handedOn // operators' calls that the elder was asked to carry out, in order
	came    estate
	late    *timer
	began   time.Duration
}

// handedOn is an operator's call that another process was asked to carry out.
type handedOn struct {
	seq  uint64
	id   string
	out  bool
	done func(code int, what string)
}

// estate is what has come from an elder so far.
type estate struct {
	module  []byte
	book    ledger.Estate
	queries []ledger.OpenQuery
	clients []succession.ClientLink
	servers []succession.ServerLink
	sockets []int // of the client links, then of the server links
}

// succeed tells whether there is a process to take over from; this one stands by then.
func (l *Loop) succeed(dir string, listen netip.AddrPort) bool {
	h := &heir{dir: dir, listen: listen, fd: -1, began: l.now}
	h.loop = l
	if h.join() != nil {
		return false
	}
	l.heir = h
	l.divide(true)
	l.Ledger.Follow() // at once: the first call of one of many may wait a while, and what it is told binds soon
	return true
}

// join opens the talk with the elder.
func (h *heir) join() error {
	l := h.loop
	fd, err := reach(meetingPoints(h.dir, h.listen))
	if err != nil {
		return err
	}
	if !ours(fd) {
		_ = unix.Close(fd)
		l.log.Warn("another user's process has the place of the one to be replaced, and is left alone")
		return unix.EPERM
	}
	if h.stream, err = l.stream(fd, streamEvents, h); err != nil {
		h.stream = stream{loop: l, closed: true}
		_ = unix.Close(fd)
		return err
	}
	if err := h.say(succession.KindHello, succession.Hello{Form: succession.Form}); err != nil {
		h.drop()
		return err
	}
	h.late = l.after(welcomeWithin, h, func() { h.end(errors.New("it does not say a word")) })
	return nil
}

// unready tells what an heir still waits for.
func (h *heir) unready() string {
	switch {
	case h.decides.Stand() == succession.Joining:
		return "the process to be replaced has not answered"
	case h.decides.Stand() == succession.Standing && !h.loop.watch.spoke && h.loop.now-h.began < listWithin:
		return "no word from discovery yet"
	}
	return ""
}

func (h *heir) broken() { h.end(errors.New("panic")) }

func (h *heir) ready(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := h.flush(); err != nil {
			h.end(err)
			return
		}
	}
	// What it brings at a hand-over nobody is served meanwhile: it is taken in at once.
	for !h.closed {
		before := len(h.in)
		ended, err := h.channel.fill()
		read := len(h.in) > before
		at := 0
		for err == nil {
			var f succession.Frame
			var fd, n int
			f, fd, n, err = h.peek(at)
			if errors.Is(err, succession.ErrShort) {
				err = nil
				break
			}
			if err == nil {
				at += n
				err = h.take(f, fd)
			}
		}
		if h.closed {
			return
		}
		if h.took(at); err != nil || ended {
			h.end(err)
			return
		}
		if !read {
			return
		}
	}
}

// peek is next, further on in what has come.
func (h *heir) peek(at int) (succession.Frame, int, int, error) {
	whole := h.in
	h.in = whole[at:]
	f, fd, n, err := h.next()
	h.in = whole
	return f, fd, n, err
}

// take takes in what the elder says.
func (h *heir) take(f succession.Frame, fd int) (err error) {
	defer func() {
		if err != nil && fd >= 0 {
			_ = unix.Close(fd)
		}
	}()
	step, err := h.decides.Frame(f)
	if err != nil {
		return err
	}
	switch step {
	case succession.GiveUp:
		var d succession.Denied
		_ = f.Decode(&d)
		h.loop.onFail(fmt.Errorf("the process that serves turns this one away: %s", d.Why))
		return nil
	case succession.Take:
		return h.own()
	}
	switch f.Kind {
	case succession.KindWelcome:
		var w succession.Welcome
		if err := f.Decode(&w); err != nil {
			return err
		}
		h.loop.stop(h.late)
		h.forget() // of a talk before
		h.fd = fd
		h.loop.Ledger.SetBans(w.Out)
		for _, call := range h.asked {
			if err := h.say(succession.KindBan, succession.Ban{Seq: call.seq, ID: call.id, Out: call.out}); err != nil {
				return err
			}
		}
		h.loop.log.Info("standing by", "out", strings.Join(w.Out, " "))
	case succession.KindBans:
		var b succession.Bans
		if err := f.Decode(&b); err != nil {
			return err
		}
		h.loop.Ledger.SetBans(b.Out)
	case succession.KindBanned:
		var b succession.Banned
		if err := f.Decode(&b); err != nil {
			return err
		}
		if len(h.asked) > 0 && h.asked[0].seq == b.Seq { // they are answered in order
			call := h.asked[0]
			h.asked = h.asked[1:]
			call.done(b.Code, b.What)
		}
	case succession.KindBan: // the elder was called after it had handed over
		var b succession.Ban
		if err := f.Decode(&b); err != nil {
			return err
		}
		h.loop.ban(b.ID, b.Out, func(code int, what string) {
			if !h.closed {
				_ = h.say(succession.KindBanned, succession.Banned{Seq: b.Seq, Code: code, What: what})
			}
		})
	case succession.KindModule:
		h.came.module = append(h.came.module, f.Body...)
	case succession.KindBook:
		return f.Decode(&h.came.book)
	case succession.KindQuery:
		var q ledger.OpenQuery
		if err := f.Decode(&q); err != nil {
			return err
		}
		h.came.queries = append(h.came.queries, q)
	case succession.KindClient:
		var c succession.ClientLink
		if err := f.Decode(&c); err != nil {
			return err
		}
		h.came.clients = append(h.came.clients, c)
		h.came.sockets = append(h.came.sockets, fd)
	case succession.KindServer:
		var s succession.ServerLink
		if err := f.Decode(&s); err != nil {
			return err
		}
		h.came.servers = append(h.came.servers, s)
		h.came.sockets = append(h.came.sockets, fd)
	}
	return nil
}

// own makes this process the owner of all that has come. It says so first: from here on the elder lets go, and nothing
// below can fail but by ending this process.
func (h *heir) own() error {
	l, c := h.loop, h.came
	if len(c.sockets) != len(c.clients)+len(c.servers) {
		return errors.New("not all descriptors have come")
	}
	if err := h.say(succession.KindTaken, nil); err != nil {
		return err
	}
	h.decides.Took()
	h.came = estate{}
	l.takeOver(c)
	h.settle()
	l.log.Info("taken over", "queries", len(c.queries), "client_links", len(c.clients), "server_links", len(c.servers))
	return nil
}

// StandDown has a process that stands by leave the one that serves alone, and tells whether it was one: it has nothing to
// stay for.
func (l *Loop) StandDown() bool {
	h := l.heir
	if h == nil || h.decides.Stand() == succession.Serving {
		return false
	}
	l.stop(h.late)
	h.drop()
	h.forget()
	l.heir = nil
	return true
}

// forget lets go of what an elder has sent.
func (h *heir) forget() {
	for _, fd := range h.came.sockets {
		_ = unix.Close(fd)
	}
	if h.came = (estate{}); h.fd >= 0 {
		_ = unix.Close(h.fd)
		h.fd = -1
	}
}

// settle takes the elder's place: clients connect here from now on, and the next heir comes here.
func (h *heir) settle() {
	l := h.loop
	if h.fd < 0 {
		fd, err := l.listen(h.listen, l.clients, unix.SO_REUSEPORT)
		if err != nil {
			l.onFail(err)
			return
		}
		l.clients.fd = fd
	} else if l.clients.fd = h.fd; l.add(h.fd, unix.EPOLLIN, l.clients) != nil {
		h.loop.onFail(errors.New("the socket that clients connect to can't be used"))
		return
	}
	h.fd = -1
	l.awaitHeir(meetingPoints(h.dir, h.listen))
	l.divide(false)
	asked := h.asked // the elder may have carried them out, or not: both ways they hold from here on
	h.asked = nil
	for _, call := range asked {
		l.ban(call.id, call.out, call.done)
	}
}

// end takes in that the elder has gone, or makes no sense.
func (h *heir) end(cause error) {
	if h.closed {
		return
	}
	l := h.loop
	l.stop(h.late)
	step := h.decides.Ended()
	for _, fd := range h.came.sockets {
		_ = unix.Close(fd)
	}
	h.came = estate{}
	h.drop()
	if step == succession.Again {
		if h.join() == nil { // it lives, and has what it had: beside it we would get the call-backs that are meant for it
			l.log.Warn("the talk with the process to be replaced has broken off, and begins anew", "cause", cause)
			return
		}
		step = h.decides.Ended()
	}
	if l.heir = nil; step == succession.Nothing {
		h.forget()
		return
	}
	// It died, or never got so far: what outlives it is in the file.
	out, err := readBans(h.dir)
	if err != nil {
		l.log.Error("worker nodes out by hand can't be read", "error", err)
	} else {
		l.Ledger.SetBans(out)
	}
	l.log.Warn("the process to be replaced has gone: serving without what it had", "cause", cause)
	h.settle()
}

// handOn has the elder set or end a ban.
func (h *heir) handOn(id string, out bool, done func(code int, what string)) {
	h.seq++
	h.asked = append(h.asked, handedOn{h.seq, id, out, done})
	if h.say(succession.KindBan, succession.Ban{Seq: h.seq, ID: id, Out: out}) != nil {
		h.end(errors.New("it does not listen"))
	}
}

// ---- What is handed over ----

// takeOver goes on with all that an elder had.
func (l *Loop) takeOver(c estate) {
	askers := map[uint64]ledger.Asker{}
	links := make([]*clientLink, len(c.clients))
	for i, r := range c.clients {
		links[i] = l.clients.inherit(c.sockets[i], r, askers)
	}
	l.Ledger.TakeOver(l.now, c.book, c.queries, askers, func() ledger.Module { return l.resume(c.module) })
	for _, k := range links {
		for _, t := range k.turns {
			if t.asked != 0 {
				t.query, t.asked = l.Ledger.Query(t.asked), 0
			}
		}
	}
	for i, r := range c.servers {
		l.servers.inherit(c.sockets[len(c.clients)+i], r)
	}
	l.Ledger.Follow()         // the module that goes on believes that the host group is watched
	for _, k := range links { // what had come in before is read now
		if !k.closed {
			l.guard(k, func() { k.ready(unix.EPOLLIN) })
		}
	}
}

// resume makes the module that goes on from a state; nil: the state is of no use to this build.
func (l *Loop) resume(state []byte) ledger.Module {
	if l.wrap == nil {
		return nil
	}
	d, err := logic.Restore(*l.clients.set, state)
	if err != nil {
		l.log.Warn("what the process before had learnt is of no use here", "bytes", len(state), "error", err)
		return nil
	}
	l.decides = d
	return l.wrap(d)
}

func (k *clientLink) record() succession.ClientLink {
	r := succession.ClientLink{In: k.in, Out: k.out, Last: k.last, Ended: k.ended, Half: k.half, Continued: k.continued,
		Spoke: k.spoke, Useful: k.useful, Introduced: k.introduced, Since: k.since, Client: k.client.String()}
	if k.via.IsValid() {
		r.Via = k.via.String()
	}
	for _, t := range k.turns {
		x := succession.Turn{Keep: t.keep, Done: t.done, Status: t.status, Body: t.body, Retry: t.retry}
		if t.query != nil {
			x.Query = t.query.ID
		}
		r.Turns = append(r.Turns, x)
	}
	return r
}

// inherit makes a link of a connection that another process had.
func (c *clientLinks) inherit(fd int, r succession.ClientLink, askers map[uint64]ledger.Asker) *clientLink {
	k := &clientLink{home: c, last: r.Last, ended: r.Ended, half: r.Half, continued: r.Continued, spoke: r.Spoke, useful: r.Useful,
		introduced: r.Introduced, since: r.Since}
	k.client, _ = netip.ParseAddrPort(r.Client)
	k.via, _ = netip.ParseAddrPort(r.Via)
	events := uint32(streamEvents)
	if k.half {
		events = 0
	}
	var err error
	if k.stream, err = c.loop.stream(fd, events, k); err != nil {
		c.loop.log.Error("a client link is lost", "error", err)
		k.stream = stream{loop: c.loop, fd: fd, closed: true}
		_ = unix.Close(fd)
		return k
	}
	k.in, k.out = r.In, r.Out
	k.want()
	c.links[k] = struct{}{}
	for _, x := range r.Turns {
		t := &turn{link: k, keep: x.Keep, done: x.Done, status: x.Status, body: x.Body, retry: x.Retry, asked: x.Query}
		k.turns = append(k.turns, t)
		if x.Query != 0 {
			askers[x.Query] = t
		}
	}
	if k.count(); len(k.turns) == 0 && len(k.in) == 0 {
		k.rest()
	}
	return k
}

// handed are the links that a hand-over takes along: those that carry an attempt, and idle ones.
func (s *serverLinks) handed() (links []*serverLink) {
	for _, k := range s.carried {
		if !k.closed && k.loop != nil {
			links = append(links, k)
		}
	}
	for _, h := range s.hosts {
		links = append(links, h.idle...)
	}
	return links
}

func (k *serverLink) record() succession.ServerLink {
	r := succession.ServerLink{Host: k.host.id, State: int(k.state), Stage: k.stage, In: k.in, Out: k.out, Rested: k.rested,
		IdleAt: k.idleAt}
	if k.errand.kind == carrying && k.errand.attempt != nil {
		r.Query, r.Attempt = k.errand.attempt.Query.ID, k.errand.attempt.Number
	}
	return r
}

// inherit makes a link of a connection that another process had to a worker node.
func (s *serverLinks) inherit(fd int, r succession.ServerLink) {
	worker, known := s.loop.Ledger.Number(r.Host)
	a := s.loop.Ledger.Attempt(r.Query, r.Attempt)
	if !known || linkState(r.State) != idle && a == nil {
		_ = unix.Close(fd)
		return
	}
	h := s.host(worker)
	k := &serverLink{home: s, host: h, epoch: h.epoch, state: linkState(r.State), stage: r.Stage, rested: r.Rested, idleAt: r.IdleAt}
	k.errand = errand{kind: withdrawing}
	events := uint32(streamEvents)
	if k.state == connecting {
		events |= unix.EPOLLOUT
	}
	var err error
	if k.stream, err = s.loop.stream(fd, events, k); err != nil {
		_ = unix.Close(fd)
		if a != nil {
			s.loop.Ledger.End(a, nil, &ledger.Fault{Stage: r.Stage, Reason: ledger.Cut, Cause: err})
		}
		return
	}
	s.open++
	k.in, k.out = r.In, r.Out
	switch k.state {
	case idle:
		h.idle = append(h.idle, k)
	case connecting:
		k.errand = errand{kind: carrying, attempt: a}
		s.carried[a] = k
		k.await(s.dial)
	default:
		k.errand = errand{kind: carrying, attempt: a}
		s.carried[a] = k
		k.await(a.At - s.loop.now + graceFor)
		k.want()
	}
}
