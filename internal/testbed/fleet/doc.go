// Package fleet measures a scheduler in front of a large fleet: thousands of simulated workers, discovery, and clients
// that send requests, on real sockets of 127.0.0.0/8.
//
// All of these parties form one rig, which runs in its own process beside the scheduler's. The rig is built for high load
// and large numbers of connections. A worker consists of a listener, slots, a queue and callbacks; its jobs are timers and
// cost no processor time. The rig's engines share no state, and parse only the parts of HTTP that the protocol needs. The
// behaviour of clients, workers and the network is simplified; the process driver models it in detail.
//
// The scheduler has a core to itself, and the rig has others. The rig measures its own lateness and processor time, and
// a run in which the rig may have been the limit is invalid (see Result.InvalidReason); reports call it void. For
// comparison, the same clients and workers also run with the standard library's reverse proxy, which picks the worker with
// the fewest requests in flight (Proxy), and with nothing between them (Direct), which is the best that the clients could
// have.
//
// A client that is rejected sends its next request at once and ignores Retry-After, so that needless rejections show in the
// results. A client whose request failed waits for 10 ms.
//
//	                    rig (process of its own)                          core of its own
//	clients ---- POST /status-check/... ------------------------------->  scheduler | proxy
//	workers <------ POST, DELETE, GET /alive ----------------------      |
//	workers ------- POST /v1/job-events --------------------------->     |
//	discovery <--------- GET /discovery/hosts?stream=1 ------------------------
//
// Not modelled, against real workers: cold starts, jobs that take more than one slot, limits on connections and on idle
// ones, the cost of a new connection, and network delay.
package fleet
