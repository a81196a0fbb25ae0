package dispatch

import "time"

// The subscription to the list of workers: when it is asked for, and how long after a failure. The design
// is silent on it.

const (
	minBackoffDivisor  = 20 // the least backoff of a subscription, of the poll interval
	maxBackoffDivisor  = 4  // and the greatest
	replicasPerBackoff = 4  // so many together wait one least backoff more
)

func (d *Dispatcher) handleWorkerList(list WorkerList) {
	switch {
	case list.Kind == ListUnavailable:
		least := d.minSubscribeBackoff()
		if d.subscription == subscribing || d.subscribeBackoff == 0 { // a broken watch prolongs nothing
			most := max(least, d.settings.PollInterval/maxBackoffDivisor)
			d.subscribeBackoff = min(max(least, 2*d.subscribeBackoff), most)
		}
		d.subscription = unsubscribed
		d.subscribeAt = d.now + d.subscribeBackoff/2 + d.jitter(d.subscribeBackoff)
		return
	case list.Kind != ListCached: // also one that was not requested here: whoever watches has called again
		d.subscription, d.subscribeBackoff = subscribed, 0
	case d.subscribeAt == 0 && len(list.Workers) > 0 && d.settings.Replicas > manyReplicas:
		d.subscribeAt = d.now + d.jitter(d.minSubscribeBackoff())
	}
	d.applyList(list)
}

// minSubscribeBackoff spreads the requests of many dispatchers that start at once: one service answers all.
func (d *Dispatcher) minSubscribeBackoff() time.Duration {
	least := d.settings.PollInterval / minBackoffDivisor
	return min(least*time.Duration(max(1, d.settings.Replicas/replicasPerBackoff)), d.settings.PollInterval/2)
}
