package planner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// Whatever anybody says: nothing panics but what the module must not be told, the book stays true to what it counts, its
// tables stay bounded, and in the end nothing is left.
func TestBadInput(t *testing.T) {
	for seed := range uint64(80) {
		rng := rand.New(rand.NewPCG(seed, 3))
		b := newBook(Config{MaxOpenRequests: 30, MaxSessions: 6})
		now := time.Hour
		for n := range 400 {
			var ins []Event
			for range rng.IntN(6) {
				ins = append(ins, badIn(rng))
			}
			now += time.Duration(rng.IntN(60)-5) * ms // at times it steps back
			b.Step(now, ins, nil)
			if err := checkBook(b); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, n, err)
			}
			s := b.Status()
			if s.Sessions > 6 || s.Open > 60 || len(b.requests.byID) > 150 || len(b.peers.list) > maxPeers || len(b.workers.tombstones) > maxTombstones || len(b.forwarders.byName) > 14 {
				t.Fatalf("seed %d, step %d: %+v, %d jobs, %d peers, %d names", seed, n, s, len(b.requests.byID), len(b.peers.list), len(b.forwarders.byName))
			}
		}
		for id := range SessionID(12) {
			b.Step(now, []Event{SessionClosed{Session: id}}, nil)
		}
		for range 100 {
			now += time.Second
			b.Step(now, nil, nil)
		}
		if s := b.Status(); s.Open+s.Closing+s.Sessions+len(b.forwarders.byName)+len(b.healthChecks.pending) > 0 {
			t.Fatalf("seed %d: left in the end: %+v", seed, s)
		}
	}
}

func badNumber(rng *rand.Rand) int64 {
	odd := [...]int64{0, 1, -1, 2, 3, 5, math.MaxInt64, math.MinInt64, 1 << 40, int64(time.Second), int64(3 * time.Millisecond)}
	return odd[rng.IntN(len(odd))]
}

func badFloat(rng *rand.Rand) float64 {
	odd := [...]float64{0, 1, 2.5, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300}
	return odd[rng.IntN(len(odd))]
}

func badIn(rng *rand.Rand) Event {
	num := func() int { return int(badNumber(rng)) }
	span := func() time.Duration { return time.Duration(badNumber(rng)) }
	name := [...]string{"f1", "f2", "f3", "plan-b", me, "", string(make([]byte, 300))}[rng.IntN(7)]
	word := message.WorkerStatus{WorkerID: uint64(rng.IntN(9)), StartedMs: badNumber(rng), Revision: badNumber(rng), State: message.WorkerState(rng.IntN(5))}
	kind, epoch := message.Kind(rng.IntN(90)), message.Epoch(rng.IntN(4))
	x := badFields{
		id: uint64(rng.IntN(30)), worker: uint64(rng.IntN(9)), number: rng.Uint64(), process: uint64(rng.IntN(3)),
		attempt: num(), credit: num(), version: 0x100 + rng.IntN(20)/19*0x100, result: dispatch.Result(num()),
		reason: message.RejectReason(rng.IntN(40) * rng.IntN(2)), share: badFloat(rng), name: name,
	}
	if rng.IntN(3) == 0 {
		kind = [...]message.Kind{message.KindRequestOffer, message.KindAttemptEnded, message.KindHandshake}[rng.IntN(3)]
		x.attempt, x.reason = rng.IntN(3), 0
	}
	if rng.IntN(4) > 0 {
		x.status = word
		x.load = message.LoadReport{OpenRequests: num(), QueuedRequests: num(), Forwarders: num(), TimerLag: span(), UsedSlots: badFloat(rng), FreeSlots: badFloat(rng)}
		x.summary = message.RequestSummary{
			Class: rng.IntN(7) - 1, Tenant: num(), Key: rng.Uint64(), Remaining: span(), Waited: span(), Hint: span(),
			Slots: badFloat(rng), Memory: badFloat(rng), Transfers: num(),
		}
		for range rng.IntN(4) {
			x.summary.Attempts = append(x.summary.Attempts, message.PastAttempt{
				WorkerID: uint64(rng.IntN(20)), SentAgo: span(), StartedAgo: span(),
				Ended: rng.IntN(2) == 0, Result: dispatch.Result(num()), PossiblyExecuted: rng.IntN(2) == 0,
			})
		}
		if rng.IntN(30) == 0 {
			x.summary.Attempts = make([]message.PastAttempt, 300)
		}
	}
	e := message.Envelope{Epoch: epoch, Message: x.message(kind)}
	session := SessionID(rng.IntN(10))
	switch rng.IntN(14) {
	case 0:
		return SessionOpened{Session: session}
	case 1:
		return SessionClosed{Session: session}
	case 2:
		return emptyEvent(rng.IntN(12), session, name)
	case 3:
		return PeerConnected{Peer: name}
	case 4:
		return PeerMessage{Peer: name, Envelope: e}
	case 5:
		return PeersChanged{Names: []string{name, "plan-c", name}}
	case 6:
		l := dispatch.WorkerList{Kind: dispatch.ListKind(rng.IntN(4)), Revision: badNumber(rng)}
		for range rng.IntN(5) {
			l.Workers = append(l.Workers, dispatch.Worker{
				ID: uint64(rng.IntN(9)), Kind: num(), Zone: num(), Cell: rng.IntN(4), Ready: rng.IntN(2) == 0,
				Removed: rng.IntN(4) == 0, Size: badFloat(rng), BootAt: span(),
			})
		}
		return EndpointsChanged{Endpoints: l}
	case 7:
		return PartitionChanged{Owner: ownerByCell([]string{me, "plan-b", name}[:1+rng.IntN(3)]...)}
	}
	return ForwarderMessage{Session: session, Envelope: e}
}

// emptyEvent is an event of a kind without what it refers to; nil: of none.
func emptyEvent(kind int, session SessionID, peer string) Event {
	events := [...]Event{
		nil,
		SessionOpened{session},
		SessionClosed{session},
		ForwarderMessage{Session: session},
		PeerConnected{peer},
		PeerDisconnected{peer},
		PeerMessage{Peer: peer},
		EndpointsChanged{},
		EndpointSourceChanged{},
		PartitionChanged{},
		PeersChanged{},
		TimerFired{},
	}
	return events[kind]
}

// badFields are what a message of any kind may have.
type badFields struct {
	id, worker, number, process uint64
	attempt, credit, version    int
	result                      dispatch.Result
	reason                      message.RejectReason
	share                       float64
	name                        string
	status                      message.WorkerStatus
	load                        message.LoadReport
	summary                     message.RequestSummary
}

// message is one of a kind; nil: there is no such kind.
func (x *badFields) message(kind message.Kind) message.Message {
	switch kind {
	case message.KindHandshake:
		return &message.Handshake{Name: x.name, Incarnation: x.process, Version: x.version}
	case message.KindRequestOffer:
		return &message.RequestOffer{RequestID: x.id, Summary: x.summary}
	case message.KindAttemptEnded:
		return &message.AttemptEnded{RequestID: x.id, Attempt: x.attempt, Result: x.result, Reason: x.reason}
	case message.KindAttemptStarted:
		return &message.AttemptStarted{RequestID: x.id, Attempt: x.attempt}
	case message.KindAttemptProgress:
		return &message.AttemptProgress{RequestID: x.id, Attempt: x.attempt, Fraction: x.share}
	case message.KindRequestClosed:
		return &message.RequestClosed{RequestID: x.id}
	case message.KindHealthCheckResult:
		return &message.HealthCheckResult{WorkerID: x.worker, Result: x.result}
	case message.KindHeartbeat:
		return &message.Heartbeat{Sequence: x.number}
	case message.KindWorkerStatus:
		return &x.status
	case message.KindPeerHandshake:
		return &message.PeerHandshake{Name: x.name, Incarnation: x.process, Version: x.version}
	case message.KindLoadReport:
		return &x.load
	}
	return x.ofPlanner(kind)
}

// ofPlanner is a message that planners send to forwarders.
func (x *badFields) ofPlanner(kind message.Kind) message.Message {
	switch kind {
	case message.KindHandshakeAccept:
		return &message.HandshakeAccept{Name: x.name, Incarnation: x.process, Version: x.version, Credit: x.credit}
	case message.KindCreditUpdate:
		return &message.CreditUpdate{Credit: x.credit}
	case message.KindSendCommand:
		return &message.SendCommand{RequestID: x.id, Attempt: x.attempt, WorkerID: x.worker}
	case message.KindRejectCommand:
		return &message.RejectCommand{RequestID: x.id}
	case message.KindFailCommand:
		return &message.FailCommand{RequestID: x.id}
	case message.KindCancelCommand:
		return &message.CancelCommand{RequestID: x.id, Attempt: x.attempt}
	case message.KindHealthCheckCommand:
		return &message.HealthCheckCommand{WorkerID: x.worker}
	case message.KindCloseIdleCommand:
		return &message.CloseIdleCommand{WorkerID: x.worker}
	case message.KindTransferCommand:
		return &message.TransferCommand{RequestID: x.id, Planner: x.name}
	case message.KindHeartbeatReply:
		return &message.HeartbeatReply{Sequence: x.number}
	case message.KindModelSnapshot:
		return &message.ModelSnapshot{}
	case message.KindGoodbye:
		return &message.Goodbye{}
	}
	return nil
}
