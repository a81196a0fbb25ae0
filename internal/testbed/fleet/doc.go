// Package fleet measures a scheduler in front of a large fleet: thousands of stand-in workers, discovery, and clients
// that each wait for their response, on real sockets of 127.0.0.0/8.
//
// All of these parties are one rig, in a process of its own beside the scheduler's. The rig is built for load and for
// numbers of connections. A worker is a listener, slots, a queue and callbacks; its jobs are timers and cost no
// processor time. The rig's engines share nothing, and parse only the parts of HTTP that the protocol needs. The package
// is not exact about the behaviour of clients, workers and the network; the process driver is.
//
// The scheduler has a core to itself, and the rig has others. The rig measures its own lateness and processor time, and
// a run in which the rig may have been the limit is void (see Result.InvalidReason). For comparison, the same clients
// and workers also run with the standard library's reverse proxy, which picks the worker with the fewest requests in
// flight (Proxy), and with nothing between them (Direct), which is the best that the clients could have.
//
// A client that is rejected sends its next request at once, whatever Retry-After says. So a scheduler that rejects what
// it could serve shows it. A client whose request failed waits for 10 ms.
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
