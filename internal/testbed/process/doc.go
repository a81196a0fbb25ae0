// Package process runs a scenario with real schedulers: processes on addresses of 127.0.0.0/8, real sockets, real time.
// The environment model decides all that happens round them, as in simulated time; this package carries it out and reports what
// the schedulers' sockets do.
//
// One goroutine has the environment and every socket. It waits for whichever comes first, something on a socket or the next
// thing on the environment's event queue; lets the environment step, each thing at its own instant; and does what the environment wants done.
// What the network delays is delayed by the environment before that, and loopback adds some tens of microseconds. Processes
// are started, awaited and looked at by goroutines of their own, over bounded queues. When a run ends all of it is
// gone: processes are killed by their own numbers, and die with the testbed should that be killed.
//
// The fakes read HTTP by net/http's parser, which is another than the schedulers'. Each scheduler has addresses of
// its own for each worker and each discovery, so that whoever connects is known by where it does. A worker
// that refuses has a bound socket that does not listen; at one whose connections never come up a filter on the
// listening socket drops all that arrives.
//
// # What it can't show
//
// See Unsupported. A connection comes up between two kernels, whatever the environment's network has in mind: until the environment
// accepts it nothing is read from it. Schedulers are held to their descriptors (by the limit that a shell sets before
// it becomes the program), and neither to their memory nor to their part of a core; both are measured every 250 ms.
//
// # Where it ends
//
// A run needs a listener for each pair of a worker and a scheduler, and as many descriptors again as its
// schedulers may hold; Run refuses one that this process's limit does not allow. Beyond
// scenario.MaxProcessWorkers only simulated time goes on. A job takes about 160 us of the loop: on eight cores that other work had taken too,
// 2,000 jobs a second over 40 workers, and 630 over 300, were run with one thing in a thousand late by 12 and
// 16 ms; 4,000 over 80 came out void, and so did 2,100 over 1,000.
//
// # Its own lateness
//
// It measures how late each thing on the environment's event queue was done. Beyond MaxLateness at any time, or
// MaxLateness999 in one iteration of a thousand, a run is void and no result. Figures are never corrected by it.
package process
