package forwarder

import (
	"slices"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// scripted is a planner of a random play: one that does its work in a simple way, and whatever its temper adds.
type scripted struct {
	seat
	temper

	outbox  []message.Envelope // thought of while it was frozen, and not said
	epoch   message.Epoch      // as it has read
	old     message.Epoch      // the one before
	heads   map[uint64]*scriptedHead
	stopped bool
}

type scriptedHead struct {
	head  message.RequestSummary
	next  int
	out   int
	tried []uint64
	till  time.Duration
	may   bool
}

// live has things happen to the planner.
func (p *scripted) live() {
	w := p.w
	w.after(w.ms(50, 1500), func() {
		if w.over {
			p.thaw()
			return
		}
		switch what := w.rng.IntN(9); {
		case what == 0 && p.up:
			p.down()
			w.after(w.ms(1, 900), p.connect)
		case what <= 2 && !p.frozen:
			p.frozen = true
			w.after(w.ms(20, 1200), p.thaw)
		case what == 3 && p.up && !p.frozen && p.epoch != 0:
			p.say(&message.Goodbye{})
			p.stopped = true
			w.after(w.ms(5, 200), func() {
				p.down()
				w.after(w.ms(1, 300), p.connect)
			})
		case what == 4:
			p.say(&message.CreditUpdate{Credit: w.rng.IntN(30)})
		case what == 5:
			p.say(&message.ModelSnapshot{Age: w.ms(0, 3000), Data: []byte("no lesson")})
		case what == 6 || p.liar:
			p.gossip()
		}
		p.live()
	})
}

func (p *scripted) connect() {
	if p.up || p.w.over {
		return
	}
	p.stopped, p.outbox, p.epoch = false, nil, 0
	clear(p.heads)
	p.seat.connect()
}

func (p *scripted) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	out, in := p.outbox, p.inbox
	p.outbox, p.inbox = nil, nil
	if p.stale {
		for _, m := range out {
			p.send(m)
		}
	}
	for _, m := range in {
		p.reads(m)
	}
}

// say says something in the session that it has read of.
func (p *scripted) say(m message.Message) { p.sayIn(p.epoch, m) }

func (p *scripted) sayIn(epoch message.Epoch, m message.Message) {
	if epoch == 0 {
		epoch = p.epoch
	}
	e := message.Envelope{Epoch: epoch, Message: m}
	if p.frozen {
		p.outbox = append(p.outbox, e)
		return
	}
	p.send(e)
}

// gossip says something about a worker node, true as far as it goes or not.
func (p *scripted) gossip() {
	w := p.w
	h := w.nodes[w.rng.IntN(len(w.nodes))]
	x := message.WorkerStatus{WorkerID: number(h.ID), StartedMs: h.StartedAtMs, Revision: w.gen}
	if x.State = message.WorkerUp; h.Lifecycle != "up" {
		x.State = message.WorkerDraining
	}
	if w.rng.IntN(2) == 0 { // an old one
		x.Revision -= int64(w.rng.IntN(5))
		x.State = message.WorkerState(w.rng.IntN(3))
	}
	if p.liar {
		x = message.WorkerStatus{WorkerID: []uint64{x.WorkerID, x.WorkerID, 77}[w.rng.IntN(3)], Revision: int64(w.rng.IntN(100)),
			State:     message.WorkerState(w.rng.IntN(3)),
			StartedMs: []int64{h.StartedAtMs, h.StartedAtMs + 5, w.now.Milliseconds() + 120000, -5, 1 << 62}[w.rng.IntN(5)]}
	}
	p.say(&x)
}

// reads takes in what the forwarder says.
func (p *scripted) reads(e message.Envelope) {
	w := p.w
	if _, ok := e.Message.(*message.Handshake); ok {
		p.old, p.epoch = p.epoch, e.Epoch
		clear(p.heads)
		p.say(&message.HandshakeAccept{Name: p.name, Credit: w.rng.IntN(60), Version: 0})
		return
	}
	if e.Epoch != p.epoch || p.stopped {
		return
	}
	switch m := e.Message.(type) {
	case *message.Heartbeat:
		p.say(&message.HeartbeatReply{Sequence: m.Sequence, TimerLag: w.ms(0, 3)})
	case *message.RequestOffer:
		if p.forgets && w.rng.IntN(5) == 0 {
			return
		}
		h := &scriptedHead{head: m.Summary, next: len(m.Summary.Attempts), till: w.now + m.Summary.Remaining}
		for _, a := range m.Summary.Attempts {
			h.tried = append(h.tried, a.WorkerID)
			if h.may = h.may || a.PossiblyExecuted; !a.Ended {
				h.out++
			}
		}
		p.heads[m.RequestID] = h
		p.soon(m.RequestID)
	case *message.AttemptEnded:
		h := p.heads[m.RequestID]
		if h == nil || m.Attempt < 0 {
			return
		}
		if h.out--; m.Result == dispatch.OK {
			delete(p.heads, m.RequestID)
			return
		}
		h.may = h.may || m.Result != dispatch.WorkerFull && m.Result != dispatch.ConnectFailed && m.Result != dispatch.NotSent
		p.soon(m.RequestID)
	case *message.RequestClosed:
		delete(p.heads, m.RequestID)
	}
}

// soon decides on a query after some thought.
func (p *scripted) soon(query uint64) {
	w := p.w
	think := w.ms(0, 5)
	if w.rng.IntN(10) == 0 {
		think = w.ms(5, 400) // there was no room
	}
	epoch := p.epoch
	w.after(think, func() {
		if h := p.heads[query]; h != nil && p.epoch == epoch && !p.stopped {
			p.decide(query, h)
		}
	})
}

func (p *scripted) decide(query uint64, h *scriptedHead) {
	w := p.w
	if w.rng.IntN(100) < p.wrong {
		p.err(query, h)
		return
	}
	c := w.set.Classes[h.head.Class]
	switch {
	case h.out > 0:
		return
	case h.may && c.Idempotency != dispatch.Idempotent || len(h.tried) >= w.set.AttemptLimit || w.now >= h.till:
		delete(p.heads, query)
		retryAfter := w.ms(0, 3000)
		if h.may && c.Idempotency != dispatch.Idempotent {
			p.say(&message.FailCommand{RequestID: query})
		} else {
			p.say(&message.RejectCommand{RequestID: query, RetryAfter: retryAfter})
		}
		return
	case w.rng.IntN(25) == 0:
		delete(p.heads, query)
		p.say(&message.TransferCommand{RequestID: query, Planner: []string{"p0", "p1", "p2", ""}[w.rng.IntN(4)]})
		return
	}
	var may []uint64
	for _, n := range w.nodes {
		fits := c.Kinds == nil || n.MachineType == "k"+strconv.Itoa(c.Kinds[0])
		if id := number(n.ID); n.Lifecycle == "up" && fits && !slices.Contains(h.tried, id) {
			may = append(may, id)
		}
	}
	if len(may) == 0 {
		p.soon(query)
		return
	}
	m := message.SendCommand{RequestID: query, Attempt: h.next, WorkerID: may[w.rng.IntN(len(may))]}
	if w.rng.IntN(3) == 0 {
		m.Timeout = w.ms(10, 300)
	}
	h.next++
	h.out++
	h.tried = append(h.tried, m.WorkerID)
	p.say(m.Clone())
	if w.set.Hedging && c.Idempotency == dispatch.Idempotent && w.rng.IntN(4) == 0 && len(may) > 1 {
		m.Attempt, m.WorkerID = h.next, may[w.rng.IntN(len(may))]
		h.next++
		h.out++
		p.say(m.Clone())
	}
	if w.set.HealthChecks && w.rng.IntN(10) == 0 {
		p.say(&message.HealthCheckCommand{WorkerID: m.WorkerID})
	}
}

// unknownMessage is of a kind that no version has.
type unknownMessage struct{}

func (unknownMessage) Kind() message.Kind { return 250 }

func (m unknownMessage) Clone() message.Message { return m }

// err orders something that it may not, most likely.
func (p *scripted) err(query uint64, h *scriptedHead) {
	w := p.w
	epoch := p.epoch
	m := &message.SendCommand{RequestID: query, Attempt: h.next, WorkerID: number("w" + strconv.Itoa(w.rng.IntN(10)))}
	var said message.Message = m
	switch w.rng.IntN(9) {
	case 0: // twice, by one number
		p.say(m.Clone())
		h.next++
	case 1: // and by two
		p.say(m.Clone())
		m.Attempt++
		h.next += 2
	case 2:
		epoch = []message.Epoch{p.old, p.epoch + 1, p.epoch + 2, 7}[w.rng.IntN(4)]
	case 3:
		m.RequestID = w.rng.Uint64N(w.ids + 5)
	case 4: // anywhere, whatever has been
		h.next++
	case 5:
		said = p.other(m)
	case 6:
		m.Attempt = []int{-1, h.next - 1, h.next + 7, 1 << 40}[w.rng.IntN(4)]
		h.next += 8
	case 7:
		m.Timeout = -w.ms(0, 500)
		h.next++
	case 8:
		said = &message.HandshakeAccept{Credit: w.rng.IntN(100) - 50}
	}
	p.sayIn(epoch, said)
	p.soon(query)
}

// other is a message of any other kind in the place of an order to send.
func (p *scripted) other(m *message.SendCommand) message.Message {
	all := []message.Message{
		&message.RejectCommand{RequestID: m.RequestID},
		&message.FailCommand{RequestID: m.RequestID},
		&message.CancelCommand{RequestID: m.RequestID, Attempt: m.Attempt},
		&message.HealthCheckCommand{WorkerID: m.WorkerID},
		&message.CloseIdleCommand{WorkerID: m.WorkerID},
		&message.TransferCommand{RequestID: m.RequestID},
		&message.Goodbye{},
		&message.RequestOffer{RequestID: m.RequestID},
		&message.Handshake{},
		&message.RequestClosed{RequestID: m.RequestID},
		unknownMessage{},
	}
	other := all[p.w.rng.IntN(len(all))]
	if _, stops := other.(*message.Goodbye); stops && p.w.rng.IntN(10) > 0 {
		return all[0]
	}
	return other
}
