package forwarder

import "valvecove/internal/control/message"

// offerBatch is the number of offers that are allocated at once.
const offerBatch = 64

// offerPool allocates the offers that are sent in a step, and reuses their memory in the next step.
type offerPool struct {
	batches [][]message.RequestOffer
	used    int
}

// reset makes the memory of all offers available again.
func (o *offerPool) reset() { o.used = 0 }

// next returns an empty offer. Its list of attempts keeps the capacity from its last use.
func (o *offerPool) next() *message.RequestOffer {
	batch := o.used / offerBatch
	if batch == len(o.batches) {
		o.batches = append(o.batches, make([]message.RequestOffer, offerBatch))
	}
	offer := &o.batches[batch][o.used%offerBatch]
	o.used++
	*offer = message.RequestOffer{Summary: message.RequestSummary{Attempts: offer.Summary.Attempts[:0]}}
	return offer
}
