package process

import (
	"fmt"
	"time"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
)

// runGuest runs a request that no client of the environment has sent, for whoever tries things out by hand. The environment knows
// nothing of it, so it takes nobody's place.
func (k *workerConn) runGuest(call string) {
	d, node, sched := k.worker.driver, k.worker, k.scheduler
	k.writeResponse(202, "")
	say := func(state, result string) {
		n := &requests.Callback{CallID: call, EndpointID: node.id, State: state}
		if result != "" {
			n.Result = &result
		}
		d.sendCallback(sched, &simapi.CallbackReceived{Worker: node.number, Callback: n, CallbackID: guestCallbackID})
	}
	say("started", "")
	d.after(guestDuration, func() { say("done", fmt.Sprintf("%s ran on %s for %v", call, node.id, guestDuration)) })
}

const guestDuration = 200 * time.Millisecond

// guestCallbackID is the number of callbacks that the environment knows nothing of.
const guestCallbackID = ^uint64(0)
