package forwarder

import (
	"slices"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// scriptedPlanner is a planner of a random play: one that does its work in a simple way, and whatever its temper adds.
type scriptedPlanner struct {
	connection
	behavior

	outbox        []message.Envelope // thought of while it was frozen, and not said
	epoch         message.Epoch      // as it has read
	previousEpoch message.Epoch      // the one before
	requests      map[uint64]*scriptedRequest
	stopped       bool
}

type scriptedRequest struct {
	summary          message.RequestSummary
	nextAttempt      int
	inFlight         int
	workers          []uint64
	deadline         time.Duration
	possiblyExecuted bool
}

// scheduleFault has things happen to the planner.
func (p *scriptedPlanner) scheduleFault() {
	w := p.environment
	w.after(w.randomDuration(50, 1500), func() {
		if w.stopped {
			p.thaw()
			return
		}
		switch what := w.rng.IntN(9); {
		case what == 0 && p.established:
			p.disconnect()
			w.after(w.randomDuration(1, 900), p.connect)
		case what <= 2 && !p.frozen:
			p.frozen = true
			w.after(w.randomDuration(20, 1200), p.thaw)
		case what == 3 && p.established && !p.frozen && p.epoch != 0:
			p.reply(&message.Goodbye{})
			p.stopped = true
			w.after(w.randomDuration(5, 200), func() {
				p.disconnect()
				w.after(w.randomDuration(1, 300), p.connect)
			})
		case what == 4:
			p.reply(&message.CreditUpdate{Credit: w.rng.IntN(30)})
		case what == 5:
			p.reply(&message.ModelSnapshot{Age: w.randomDuration(0, 3000), Data: []byte("no lesson")})
		case what == 6 || p.sendsFalseStatuses:
			p.sendStatus()
		}
		p.scheduleFault()
	})
}

func (p *scriptedPlanner) connect() {
	if p.established || p.environment.stopped {
		return
	}
	p.stopped, p.outbox, p.epoch = false, nil, 0
	clear(p.requests)
	p.connection.connect()
}

func (p *scriptedPlanner) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	out, in := p.outbox, p.inbox
	p.outbox, p.inbox = nil, nil
	if p.sendsStale {
		for _, m := range out {
			p.send(m)
		}
	}
	for _, m := range in {
		p.handleMessage(m)
	}
}

// reply says something in the session that it has read of.
func (p *scriptedPlanner) reply(m message.Message) { p.replyInEpoch(p.epoch, m) }

func (p *scriptedPlanner) replyInEpoch(epoch message.Epoch, m message.Message) {
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

// sendStatus says something about a worker node, true as far as it goes or not.
func (p *scriptedPlanner) sendStatus() {
	w := p.environment
	h := w.workers[w.rng.IntN(len(w.workers))]
	x := message.WorkerStatus{WorkerID: workerID(h.ID), StartedMs: h.StartedAtMs, Revision: w.revision}
	if x.State = message.WorkerUp; h.Lifecycle != "up" {
		x.State = message.WorkerDraining
	}
	if w.rng.IntN(2) == 0 { // an old one
		x.Revision -= int64(w.rng.IntN(5))
		x.State = message.WorkerState(w.rng.IntN(3))
	}
	if p.sendsFalseStatuses {
		x = message.WorkerStatus{WorkerID: []uint64{x.WorkerID, x.WorkerID, 77}[w.rng.IntN(3)], Revision: int64(w.rng.IntN(100)),
			State:     message.WorkerState(w.rng.IntN(3)),
			StartedMs: []int64{h.StartedAtMs, h.StartedAtMs + 5, w.now.Milliseconds() + 120000, -5, 1 << 62}[w.rng.IntN(5)]}
	}
	p.reply(&x)
}

// handleMessage takes in what the forwarder says.
func (p *scriptedPlanner) handleMessage(e message.Envelope) {
	w := p.environment
	if _, ok := e.Message.(*message.Handshake); ok {
		p.previousEpoch, p.epoch = p.epoch, e.Epoch
		clear(p.requests)
		p.reply(&message.HandshakeAccept{Name: p.name, Credit: w.rng.IntN(60), Version: 0})
		return
	}
	if e.Epoch != p.epoch || p.stopped {
		return
	}
	switch m := e.Message.(type) {
	case *message.Heartbeat:
		p.reply(&message.HeartbeatReply{Sequence: m.Sequence, TimerLag: w.randomDuration(0, 3)})
	case *message.RequestOffer:
		if p.losesOffers && w.rng.IntN(5) == 0 {
			return
		}
		h := &scriptedRequest{summary: m.Summary, nextAttempt: len(m.Summary.Attempts), deadline: w.now + m.Summary.Remaining}
		for _, a := range m.Summary.Attempts {
			h.workers = append(h.workers, a.WorkerID)
			if h.possiblyExecuted = h.possiblyExecuted || a.PossiblyExecuted; !a.Ended {
				h.inFlight++
			}
		}
		p.requests[m.RequestID] = h
		p.scheduleDecision(m.RequestID)
	case *message.AttemptEnded:
		h := p.requests[m.RequestID]
		if h == nil || m.Attempt < 0 {
			return
		}
		if h.inFlight--; m.Result == dispatch.OK {
			delete(p.requests, m.RequestID)
			return
		}
		h.possiblyExecuted = h.possiblyExecuted || m.Result != dispatch.WorkerFull && m.Result != dispatch.ConnectFailed && m.Result != dispatch.NotSent
		p.scheduleDecision(m.RequestID)
	case *message.RequestClosed:
		delete(p.requests, m.RequestID)
	}
}

// scheduleDecision decides on a query after some thought.
func (p *scriptedPlanner) scheduleDecision(query uint64) {
	w := p.environment
	think := w.randomDuration(0, 5)
	if w.rng.IntN(10) == 0 {
		think = w.randomDuration(5, 400) // there was no room
	}
	epoch := p.epoch
	w.after(think, func() {
		if h := p.requests[query]; h != nil && p.epoch == epoch && !p.stopped {
			p.decide(query, h)
		}
	})
}

func (p *scriptedPlanner) decide(query uint64, h *scriptedRequest) {
	w := p.environment
	if w.rng.IntN(100) < p.errorPercent {
		p.sendInvalid(query, h)
		return
	}
	c := w.settings.Classes[h.summary.Class]
	switch {
	case h.inFlight > 0:
		return
	case h.possiblyExecuted && c.Idempotency != dispatch.Idempotent || len(h.workers) >= w.settings.AttemptLimit || w.now >= h.deadline:
		delete(p.requests, query)
		retryAfter := w.randomDuration(0, 3000)
		if h.possiblyExecuted && c.Idempotency != dispatch.Idempotent {
			p.reply(&message.FailCommand{RequestID: query})
		} else {
			p.reply(&message.RejectCommand{RequestID: query, RetryAfter: retryAfter})
		}
		return
	case w.rng.IntN(25) == 0:
		delete(p.requests, query)
		p.reply(&message.TransferCommand{RequestID: query, Planner: []string{"p0", "p1", "p2", ""}[w.rng.IntN(4)]})
		return
	}
	var may []uint64
	for _, n := range w.workers {
		fits := c.Kinds == nil || n.MachineType == "k"+strconv.Itoa(c.Kinds[0])
		if id := workerID(n.ID); n.Lifecycle == "up" && fits && !slices.Contains(h.workers, id) {
			may = append(may, id)
		}
	}
	if len(may) == 0 {
		p.scheduleDecision(query)
		return
	}
	m := message.SendCommand{RequestID: query, Attempt: h.nextAttempt, WorkerID: may[w.rng.IntN(len(may))]}
	if w.rng.IntN(3) == 0 {
		m.Timeout = w.randomDuration(10, 300)
	}
	h.nextAttempt++
	h.inFlight++
	h.workers = append(h.workers, m.WorkerID)
	p.reply(m.Clone())
	if w.settings.Hedging && c.Idempotency == dispatch.Idempotent && w.rng.IntN(4) == 0 && len(may) > 1 {
		m.Attempt, m.WorkerID = h.nextAttempt, may[w.rng.IntN(len(may))]
		h.nextAttempt++
		h.inFlight++
		p.reply(m.Clone())
	}
	if w.settings.HealthChecks && w.rng.IntN(10) == 0 {
		p.reply(&message.HealthCheckCommand{WorkerID: m.WorkerID})
	}
}

// unknownMessage is of a kind that no version has.
type unknownMessage struct{}

func (unknownMessage) Kind() message.Kind { return 250 }

func (m unknownMessage) Clone() message.Message { return m }

// sendInvalid orders something that it may not, most likely.
func (p *scriptedPlanner) sendInvalid(query uint64, h *scriptedRequest) {
	w := p.environment
	epoch := p.epoch
	m := &message.SendCommand{RequestID: query, Attempt: h.nextAttempt, WorkerID: workerID("w" + strconv.Itoa(w.rng.IntN(10)))}
	var said message.Message = m
	switch w.rng.IntN(9) {
	case 0: // twice, by one number
		p.reply(m.Clone())
		h.nextAttempt++
	case 1: // and by two
		p.reply(m.Clone())
		m.Attempt++
		h.nextAttempt += 2
	case 2:
		epoch = []message.Epoch{p.previousEpoch, p.epoch + 1, p.epoch + 2, 7}[w.rng.IntN(4)]
	case 3:
		m.RequestID = w.rng.Uint64N(w.lastID + 5)
	case 4: // anywhere, whatever has been
		h.nextAttempt++
	case 5:
		said = p.otherMessage(m)
	case 6:
		m.Attempt = []int{-1, h.nextAttempt - 1, h.nextAttempt + 7, 1 << 40}[w.rng.IntN(4)]
		h.nextAttempt += 8
	case 7:
		m.Timeout = -w.randomDuration(0, 500)
		h.nextAttempt++
	case 8:
		said = &message.HandshakeAccept{Credit: w.rng.IntN(100) - 50}
	}
	p.replyInEpoch(epoch, said)
	p.scheduleDecision(query)
}

// otherMessage is a message of any other kind in the place of an order to send.
func (p *scriptedPlanner) otherMessage(m *message.SendCommand) message.Message {
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
	other := all[p.environment.rng.IntN(len(all))]
	if _, stops := other.(*message.Goodbye); stops && p.environment.rng.IntN(10) > 0 {
		return all[0]
	}
	return other
}
