package forwarder

import "valvecove/internal/control/message"

// offerBatch is how many offers are allocated at once.
const offerBatch = 64

// offerPool allocates the offers of a step's outgoing messages. It reuses their memory in the next step.
type offerPool struct {
	batches [][]message.RequestOffer
	used    int
}

// reset makes the memory of all offers available again.
func (p *offerPool) reset() { p.used = 0 }

// next returns an offer that is zero but for the capacity of its list of attempts.
func (p *offerPool) next() *message.RequestOffer {
	batch := p.used / offerBatch
	if batch == len(p.batches) {
		p.batches = append(p.batches, make([]message.RequestOffer, offerBatch))
	}
	offer := &p.batches[batch][p.used%offerBatch]
	p.used++
	*offer = message.RequestOffer{Summary: message.RequestSummary{Attempts: offer.Summary.Attempts[:0]}}
	return offer
}
