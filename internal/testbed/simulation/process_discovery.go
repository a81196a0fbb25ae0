package simulation

import (
	"time"

	"valvecove/internal/testbed/simapi"
)

// watch subscribes to the endpoint list. It replaces any earlier watch.
func (p *process) watch(after int64) {
	p.watching = true
	p.expectWatch(readyCheckTimeout)
	p.emit(simapi.WatchRequested{Revision: after})
}

// expectWatch sets the time within which the watch has to send something before it counts as lost.
func (p *process) expectWatch(within time.Duration) {
	p.stop(&p.watchTimer)
	p.start(&p.watchTimer, within)
}

func (p *process) watchLost() {
	if p.watching {
		p.watching = false
		p.stop(&p.watchTimer)
		p.requests.DiscoveryFailed()
	}
}
