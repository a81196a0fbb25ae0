package planner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// With random, mostly invalid events and messages nothing panics except a policy that receives a poison request, all counts
// stay consistent, all tables stay bounded, and they are empty after all sessions have ended and all deadlines have passed.
func TestInvalidInputKeepsInvariants(t *testing.T) {
	seeds := []uint64{297, 886} // regressions: a very late deadline; entries in a list of kind ListUnavailable
	for seed := range uint64(80) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 3))
		p := newTestPlanner(Config{MaxOpenRequests: 30, MaxSessions: 6})
		now := time.Hour
		for step := range 400 {
			var events []Event
			for range rng.IntN(6) {
				events = append(events, randomEvent(rng))
			}
			now += time.Duration(rng.IntN(60)-5) * ms // sometimes backwards
			p.Step(now, events, nil)
			if err := checkInvariants(p); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
			checkBounds(t, p, seed, step)
		}
		checkEmptyAfterExpiry(t, p, seed, now)
	}
}

func checkBounds(t *testing.T, p *Planner, seed uint64, step int) {
	t.Helper()
	status := p.Status()
	if status.Sessions > 6 || status.Open > 60 || len(p.requests.byID) > 150 || len(p.peers.list) > maxPeers ||
		len(p.workers.tombstones) > maxTombstones || len(p.forwarders.byName) > 14 {
		t.Fatalf("seed %d, step %d: %+v, %d requests, %d peers, %d forwarders", seed, step, status, len(p.requests.byID),
			len(p.peers.list), len(p.forwarders.byName))
	}
}

// checkEmptyAfterExpiry closes all sessions and lets time pass. After 100 s only closing requests may remain, until shortly
// after their deadlines. After every deadline nothing may remain.
func checkEmptyAfterExpiry(t *testing.T, p *Planner, seed uint64, now time.Duration) {
	t.Helper()
	for id := range SessionID(12) {
		p.Step(now, []Event{SessionClosed{Session: id}}, nil)
	}
	for range 100 {
		now += time.Second
		p.Step(now, nil, nil)
	}
	status := p.Status()
	if status.Open+status.Sessions+len(p.forwarders.byName)+len(p.healthChecks.pending) > 0 {
		t.Fatalf("seed %d: not empty after 100 s: %+v", seed, status)
	}
	for id, req := range p.requests.byID {
		if req.state != requestClosing || req.At <= now || req.At > req.deadline+reportGrace {
			t.Fatalf("seed %d: request %d is %v at %v, expires at %v, has deadline %v", seed, id, req.state, now, req.At,
				req.deadline)
		}
	}
	for end := now + maxReportedDuration + reportGrace; now < end; {
		now += time.Minute
		p.Step(now, nil, nil)
	}
	if status := p.Status(); status.Closing > 0 || status.Slots > 0 {
		t.Fatalf("seed %d: not empty after all deadlines: %+v", seed, status)
	}
}

func randomNumber(rng *rand.Rand) int64 {
	unusual := [...]int64{
		0, 1, -1, 2, 3, 5, math.MaxInt64, math.MinInt64, 1 << 40, int64(time.Second), int64(3 * time.Millisecond),
	}
	return unusual[rng.IntN(len(unusual))]
}

func randomDuration(rng *rand.Rand) time.Duration { return time.Duration(randomNumber(rng)) }

func randomFloat(rng *rand.Rand) float64 {
	unusual := [...]float64{0, 1, 2.5, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300}
	return unusual[rng.IntN(len(unusual))]
}

func randomEvent(rng *rand.Rand) Event {
	name := [...]string{"f1", "f2", "f3", "plan-b", ownName, "", string(make([]byte, 300))}[rng.IntN(7)]
	envelope := randomEnvelope(rng, name)
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
		return PeerMessage{Peer: name, Envelope: envelope}
	case 5:
		return PeersChanged{Names: []string{name, "plan-c", name}}
	case 6:
		return EndpointsChanged{Endpoints: randomList(rng)}
	case 7:
		return PartitionChanged{Owner: ownerByCell([]string{ownName, "plan-b", name}[:1+rng.IntN(3)]...)}
	}
	return ForwarderMessage{Session: session, Envelope: envelope}
}

// emptyEvent returns an event with empty or nil contents; number 0 returns a nil event.
func emptyEvent(number int, session SessionID, peer string) Event {
	return [...]Event{
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
	}[number]
}

func randomList(rng *rand.Rand) dispatch.WorkerList {
	list := dispatch.WorkerList{Kind: dispatch.ListKind(rng.IntN(4)), Revision: randomNumber(rng)}
	for range rng.IntN(5) {
		list.Workers = append(list.Workers, dispatch.Worker{
			ID: uint64(rng.IntN(9)), Kind: int(randomNumber(rng)), Zone: int(randomNumber(rng)), Cell: rng.IntN(4),
			Ready: rng.IntN(2) == 0, Removed: rng.IntN(4) == 0, Size: randomFloat(rng), BootAt: randomDuration(rng),
		})
	}
	return list
}

// randomEnvelope returns an envelope with a message that is invalid in most cases and may be nil.
func randomEnvelope(rng *rand.Rand, name string) message.Envelope {
	status := message.WorkerStatus{
		WorkerID: uint64(rng.IntN(9)), StartedMs: randomNumber(rng), Revision: randomNumber(rng),
		State: message.WorkerState(rng.IntN(5)),
	}
	kind, epoch := message.Kind(rng.IntN(90)), message.Epoch(rng.IntN(4))
	fields := randomFields{
		request: uint64(rng.IntN(30)), worker: uint64(rng.IntN(9)), sequence: rng.Uint64(),
		incarnation: uint64(rng.IntN(3)), attempt: int(randomNumber(rng)), credit: int(randomNumber(rng)),
		version: ownVersion + rng.IntN(20)/19*0x100, result: dispatch.Result(randomNumber(rng)),
		reason: message.RejectReason(rng.IntN(40) * rng.IntN(2)), fraction: randomFloat(rng), name: name,
	}
	if rng.IntN(3) == 0 {
		kind = [...]message.Kind{message.KindRequestOffer, message.KindAttemptEnded, message.KindHandshake}[rng.IntN(3)]
		fields.attempt, fields.reason = rng.IntN(3), 0
	}
	if rng.IntN(4) > 0 {
		fields.status = status
		fields.load = message.LoadReport{
			OpenRequests: int(randomNumber(rng)), QueuedRequests: int(randomNumber(rng)), Forwarders: int(randomNumber(rng)),
			TimerLag: randomDuration(rng), UsedSlots: randomFloat(rng), FreeSlots: randomFloat(rng),
		}
		fields.summary = randomSummary(rng)
	}
	return message.Envelope{Epoch: epoch, Message: fields.message(kind)}
}

func randomSummary(rng *rand.Rand) message.RequestSummary {
	summary := message.RequestSummary{
		Class: rng.IntN(7) - 1, Tenant: int(randomNumber(rng)), Key: rng.Uint64(), Remaining: randomDuration(rng),
		Waited: randomDuration(rng), Hint: randomDuration(rng), Slots: randomFloat(rng), Memory: randomFloat(rng),
		Transfers: int(randomNumber(rng)),
	}
	for range rng.IntN(4) {
		summary.Attempts = append(summary.Attempts, message.PastAttempt{
			WorkerID: uint64(rng.IntN(20)), SentAgo: randomDuration(rng), StartedAgo: randomDuration(rng), Ended: rng.IntN(2) == 0,
			Result: dispatch.Result(randomNumber(rng)), PossiblyExecuted: rng.IntN(2) == 0,
		})
	}
	if rng.IntN(30) == 0 {
		summary.Attempts = make([]message.PastAttempt, 300)
	}
	return summary
}

// randomFields holds values for the fields of messages of all kinds.
type randomFields struct {
	request, worker, sequence, incarnation uint64
	attempt, credit, version               int
	result                                 dispatch.Result
	reason                                 message.RejectReason
	fraction                               float64
	name                                   string
	status                                 message.WorkerStatus
	load                                   message.LoadReport
	summary                                message.RequestSummary
}

// message returns a message of a kind, or nil if the kind doesn't exist.
func (x *randomFields) message(kind message.Kind) message.Message {
	switch kind {
	case message.KindHandshake:
		return &message.Handshake{Name: x.name, Incarnation: x.incarnation, Version: x.version}
	case message.KindRequestOffer:
		return &message.RequestOffer{RequestID: x.request, Summary: x.summary}
	case message.KindAttemptEnded:
		return &message.AttemptEnded{RequestID: x.request, Attempt: x.attempt, Result: x.result, Reason: x.reason}
	case message.KindAttemptStarted:
		return &message.AttemptStarted{RequestID: x.request, Attempt: x.attempt}
	case message.KindAttemptProgress:
		return &message.AttemptProgress{RequestID: x.request, Attempt: x.attempt, Fraction: x.fraction}
	case message.KindRequestClosed:
		return &message.RequestClosed{RequestID: x.request}
	case message.KindHealthCheckResult:
		return &message.HealthCheckResult{WorkerID: x.worker, Result: x.result}
	case message.KindHeartbeat:
		return &message.Heartbeat{Sequence: x.sequence}
	case message.KindWorkerStatus:
		return &x.status
	case message.KindPeerHandshake:
		return &message.PeerHandshake{Name: x.name, Incarnation: x.incarnation, Version: x.version}
	case message.KindLoadReport:
		return &x.load
	}
	return x.plannerMessage(kind)
}

// plannerMessage returns a message of a kind that only planners send to forwarders, or nil if there is no such kind.
func (x *randomFields) plannerMessage(kind message.Kind) message.Message {
	switch kind {
	case message.KindHandshakeAccept:
		return &message.HandshakeAccept{Name: x.name, Incarnation: x.incarnation, Version: x.version, Credit: x.credit}
	case message.KindCreditUpdate:
		return &message.CreditUpdate{Credit: x.credit}
	case message.KindSendCommand:
		return &message.SendCommand{RequestID: x.request, Attempt: x.attempt, WorkerID: x.worker}
	case message.KindRejectCommand:
		return &message.RejectCommand{RequestID: x.request}
	case message.KindFailCommand:
		return &message.FailCommand{RequestID: x.request}
	case message.KindCancelCommand:
		return &message.CancelCommand{RequestID: x.request, Attempt: x.attempt}
	case message.KindHealthCheckCommand:
		return &message.HealthCheckCommand{WorkerID: x.worker}
	case message.KindCloseIdleCommand:
		return &message.CloseIdleCommand{WorkerID: x.worker}
	case message.KindTransferCommand:
		return &message.TransferCommand{RequestID: x.request, Planner: x.name}
	case message.KindHeartbeatReply:
		return &message.HeartbeatReply{Sequence: x.sequence}
	case message.KindModelSnapshot:
		return &message.ModelSnapshot{}
	case message.KindGoodbye:
		return &message.Goodbye{}
	}
	return nil
}
