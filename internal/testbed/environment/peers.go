package environment

import (
	"bytes"
	"math/rand/v2"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// reorderDelay is the greatest delay of a datagram that others overtake.
const reorderDelay = 50 * time.Millisecond

// unknownSender is the sender of datagrams that come from no scheduler.
const unknownSender = -1

// peerNetwork carries datagrams between schedulers. What a cut or the scenario's losses take is gone for good.
type peerNetwork struct {
	env  *Environment
	spec *scenario.Peers
	dice drawSource
	sent uint64 // datagrams so far
}

func newPeerNetwork(w *Environment) *peerNetwork {
	return &peerNetwork{env: w, spec: &w.Spec.Peers, dice: newDrawSource(w.seed, "peers")}
}

// send brings a datagram to another scheduler, or not.
func (p *peerNetwork) send(from int, message *simapi.DatagramWritten) {
	if !p.spec.On || message.To < 0 || message.To >= p.env.Spec.Schedulers.Count {
		return
	}
	p.sent++
	draws := p.dice.stream(p.sent, uint64(from)<<32|uint64(message.To))
	copies := 1
	if isDrawn(draws, p.spec.Loss) {
		copies = 0
	}
	if isDrawn(draws, p.spec.Duplicate) {
		copies++
	}
	for range copies {
		p.deliver(from, message.To, p.tear(draws, message.Bytes), p.furtherDelay(draws))
	}
	if isDrawn(draws, p.spec.Forged) {
		p.deliver(unknownSender, message.To, message.Bytes, p.furtherDelay(draws))
	}
}

// deliver has a datagram arrive, unless a cut takes it.
func (p *peerNetwork) deliver(from, to int, payload []byte, further time.Duration) {
	source, target := endpoint{schedulerEndpoint, from}, endpoint{schedulerEndpoint, to}
	if from == unknownSender {
		source = target // it is near
	}
	at, ok := p.env.network.arrival(source, target)
	if !ok {
		return
	}
	p.env.schedule(at+further, func() {
		p.env.deliver(simapi.Input{Scheduler: to, Message: simapi.DatagramReceived{From: from, Bytes: payload}})
	})
}

// furtherDelay draws the delay of a datagram besides the network's.
func (p *peerNetwork) furtherDelay(draws *rand.Rand) time.Duration {
	delay := p.spec.Delay.Std()
	if spread := p.spec.DelayMax.Std() - delay; spread > 0 {
		delay += time.Duration(draws.Float64() * float64(spread))
	}
	if isDrawn(draws, p.spec.Reorder) {
		delay += time.Duration(draws.Float64() * float64(reorderDelay))
	}
	return delay
}

// tear returns the payload as it arrives: whole, or short or with a wrong byte.
func (p *peerNetwork) tear(draws *rand.Rand, payload []byte) []byte {
	if !isDrawn(draws, p.spec.Torn) || len(payload) == 0 {
		return payload
	}
	at := draws.IntN(len(payload))
	if draws.IntN(2) == 0 {
		return payload[:at]
	}
	torn := bytes.Clone(payload)
	torn[at] ^= byte(1 + draws.IntN(255))
	return torn
}

// isDrawn draws whether something that befalls a share befalls this one.
func isDrawn(draws *rand.Rand, share float64) bool { return share > 0 && draws.Float64() < share }
