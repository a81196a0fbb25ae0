package process

import (
	"fmt"
	"time"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/simapi"
)

// runGuest runs a guest's request: one that no client of the environment has sent, for example by curl. The environment
// does not see it, so that the job takes no worker's slot.
func (c *workerConn) runGuest(call string) {
	d, w, sched := c.worker.driver, c.worker, c.scheduler
	c.writeResponse(202, "")
	sendState := func(state, result string) {
		n := &requests.Callback{CallID: call, EndpointID: w.id, State: state}
		if result != "" {
			n.Result = &result
		}
		d.sendCallback(sched, &simapi.CallbackReceived{Worker: w.number, Callback: n, CallbackID: guestCallbackID})
	}
	sendState("started", "")
	d.after(guestDuration, func() { sendState("done", fmt.Sprintf("%s ran on %s for %v", call, w.id, guestDuration)) })
}

const guestDuration = 200 * time.Millisecond // of the job of a guest's request

// guestCallbackID is the id of all callbacks for guests' requests.
const guestCallbackID = ^uint64(0)
