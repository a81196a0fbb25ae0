package environment

import (
	"bytes"
	"math/rand/v2"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// reorderDelay is the maximum additional delay of a datagram that is to be reordered.
const reorderDelay = 50 * time.Millisecond

// unknownSender is the sender of forged datagrams, which come from no scheduler.
const unknownSender = -1

// peerNetwork carries datagrams between schedulers. Datagrams that a partition or the scenario's loss drops are not resent.
type peerNetwork struct {
	env       *Environment
	spec      *scenario.Peers
	keyedRand keyedRand
	sent      uint64 // datagrams sent so far
}

func newPeerNetwork(environment *Environment) *peerNetwork {
	return &peerNetwork{env: environment, spec: &environment.Spec.Peers, keyedRand: newKeyedRand(environment.seed, "peers")}
}

// send sends a datagram to another scheduler, subject to the scenario's faults of datagrams.
func (p *peerNetwork) send(from int, message *simapi.DatagramWritten) {
	if !p.spec.On || message.To < 0 || message.To >= p.env.Spec.Schedulers.Count {
		return
	}
	p.sent++
	rng := p.keyedRand.stream(p.sent, uint64(from)<<32|uint64(message.To))
	copies := 1
	if drawBool(rng, p.spec.Loss) {
		copies = 0
	}
	if drawBool(rng, p.spec.Duplicate) {
		copies++
	}
	for range copies {
		p.deliver(from, message.To, p.corrupt(rng, message.Bytes), p.furtherDelay(rng))
	}
	if drawBool(rng, p.spec.Forged) {
		p.deliver(unknownSender, message.To, message.Bytes, p.furtherDelay(rng))
	}
}

// deliver delivers a datagram after the network's delay and a further one, unless a partition drops it.
func (p *peerNetwork) deliver(from, to int, payload []byte, further time.Duration) {
	source, target := endpoint{schedulerEndpoint, from}, endpoint{schedulerEndpoint, to}
	if from == unknownSender {
		source = target // its delay is that within a zone
	}
	at, ok := p.env.network.arrival(source, target)
	if !ok {
		return
	}
	p.env.schedule(at+further, func() {
		p.env.deliver(simapi.Input{Scheduler: to, Message: simapi.DatagramReceived{From: from, Bytes: payload}})
	})
}

// furtherDelay draws the delay of a datagram in addition to the network's.
func (p *peerNetwork) furtherDelay(rng *rand.Rand) time.Duration {
	delay := p.spec.Delay.Std()
	if spread := p.spec.DelayMax.Std() - delay; spread > 0 {
		delay += time.Duration(rng.Float64() * float64(spread))
	}
	if drawBool(rng, p.spec.Reorder) {
		delay += time.Duration(rng.Float64() * float64(reorderDelay))
	}
	return delay
}

// corrupt returns the payload as it arrives: unchanged, truncated, or with one wrong byte.
func (p *peerNetwork) corrupt(rng *rand.Rand, payload []byte) []byte {
	if !drawBool(rng, p.spec.Torn) || len(payload) == 0 {
		return payload
	}
	index := rng.IntN(len(payload))
	if rng.IntN(2) == 0 {
		return payload[:index]
	}
	corrupted := bytes.Clone(payload)
	corrupted[index] ^= byte(1 + rng.IntN(255))
	return corrupted
}

// drawBool returns true with the given probability. At probability 0 it draws nothing.
func drawBool(rng *rand.Rand, probability float64) bool {
	return probability > 0 && rng.Float64() < probability
}
