// Package fleet measures what one scheduler makes of a large fleet: thousands of stand-in workers, discovery, and
// clients that each wait for their answer, on sockets of 127.0.0.0/8, all in one process beside the scheduler's.
//
// A worker here is as lean as the protocol allows: a listener, four slots, a waiting room, and notes. Its jobs are
// timers and cost no processor time. The rig's loops share nothing, and read HTTP by a parser of their own that knows
// what the protocol needs and nothing else. The process driver is the one that is exact about what clients, workers
// and the network do; this one is for load and for numbers of connections.
//
// What a measurement needs besides: the scheduler has a core to itself, and the rig others. The rig measures its own
// lateness and its own processor time, and a run in which it may have been what limited the scheduler is void. Beside
// a scheduler the same clients and workers are played with the standard library's reverse proxy, sending to the
// worker with the fewest requests out (proxy), and with nothing between (direct): what the clients could have at
// best.
//
// Clients that are refused ask for the next job at once, whatever Retry-After says: a scheduler that refuses what it
// could serve is seen to. One that failed waits for 10 ms.
//
//	                    rig (process of its own)                          core of its own
//	clients ---- POST /status-check/... ------------------------------->  scheduler | proxy
//	workers <------ POST, DELETE, GET /alive ----------------------      |
//	workers ------- POST /v1/job-events --------------------------->     |
//	discovery <--------- GET /discovery/hosts?stream=1 ------------------------
//
// Left out, against real workers: cold starts, slots beyond one for each job, limits on connections and idle ones,
// the cost of a new connection, and delays of the network.
package fleet
