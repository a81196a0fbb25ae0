// Package process runs a scenario with real schedulers: processes on addresses of 127.0.0.0/8, real sockets, real time.
// The environment model decides everything that happens around the schedulers, as in simulated time. This package carries
// it out, and reports to the environment what the schedulers do on their sockets.
//
// One goroutine owns the environment and every socket. It waits for an event on a socket or for the next event of the
// environment, whichever comes first; has the environment process each of its events with the time at which it was due;
// and then carries out the environment's inputs to the schedulers. The environment has applied the network's delays by
// then; loopback adds some tens of microseconds. Other goroutines start processes, wait for them and sample their
// resource usage; they communicate over bounded queues. At the end of a run all sockets are closed and all processes are
// killed, by their process ids. The processes also die if the testbed itself is killed.
//
// The simulated clients, workers and discovery read HTTP with net/http's parser, another implementation than the
// schedulers'. Each worker and each discovery service listens at a separate address for each scheduler, so that the
// address at which a connection arrives identifies the scheduler. A worker that refuses connections has a socket that is
// bound and does not listen. Where connections are never established, a filter on the listening socket drops every packet.
//
// # Limits of the model
//
// See Unsupported. The kernel establishes a connection whatever the simulated network says; nothing is read from it until
// the environment accepts it. The limit on a scheduler's descriptors is enforced: a shell sets it and then executes the
// program. The limits on its memory and on its share of a core are not enforced; both are measured every 250 ms.
//
// # Limits of scale
//
// A run needs a listener for each pair of a worker and a scheduler, and as many further descriptors as its schedulers may
// hold. Run refuses a run that this process's descriptor limit does not allow. Beyond scenario.MaxProcessWorkers workers,
// only simulated time is supported. A job takes about 160 us of the event loop. On eight cores shared with other work,
// 2,000 jobs a second over 40 workers, and 630 over 300, ran with a lateness of 12 and 16 ms in one event of a thousand;
// 4,000 over 80 workers, and 2,100 over 1,000, were invalid.
//
// # Lateness of the testbed
//
// The driver measures how late each event of the environment's queue is processed. If one is later than MaxLateness, or
// one in a thousand later than MaxLateness999, the run is invalid. Results are never corrected for lateness.
package process
