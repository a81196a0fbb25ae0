// Package planner is the deciding side of the control protocol: it runs one dispatch policy for the requests of all
// forwarders that are connected to it, so that worker capacity, warm-up budgets and quotas are counted once.
//
// A Planner owns the sessions of its forwarders, the table of the requests that they have offered with the attempts of
// each, the newest status of every worker, the connections to its peers (the other planners), and the policy itself. It
// turns events into actions. It does no I/O, reads no clock, starts no goroutine, and never sees a payload; the same
// events give the same actions. What it commands is validated by the forwarder, whose records decide where the two differ.
//
// # Parts
//
// New joins the parts; each owns its state, and declares what it needs of the others by small interfaces. Planner passes
// events to them. The step has the instant and collects the actions.
//
//   - Forwarders: sessionLifecycle (sessions, handshakes), creditAllocator, heartbeats, snapshotSender.
//   - Requests: requestTable, requestLifecycle, offerHandler, reportHandler, commandExecutor, placer, healthChecker.
//   - Workers: workerTable, locationIndex, endpointHandler (endpoint list, partition), statusHandler, policySync.
//   - Peers: peerTable, peerSessions, loadReporter.
//   - Policy: policyRunner, and recovery after a panic.
//   - Planner: lifecycle (its phases), stepTimer, summaryLog.
//
// # Guarantees
//
//   - An open request belongs to one session of one forwarder. When that session ends the request is closed. Its attempts in
//     flight still count as load until the forwarder reports their ends, or until they are assumed to have ended.
//   - The send commands of a request are numbered on from the attempts that its summary has. No number is used twice in a
//     session.
//   - A request is transferred to another planner at most maxTransfers times, and only once for lack of
//     capacity.
//   - The credits of the forwarders add up to Config.MaxOpenRequests at most. A session that ends returns its
//     credit at once.
//   - Input is checked and bounded: what is invalid is counted, and is ignored or ends its session.
//   - A panic of the policy ends no session. The policy is replaced by a new one, which receives every request; a request
//     that makes it panic again is returned to its forwarder.
//
// # Use
//
// Step takes the events since the last step and appends the resulting actions to dst. Nothing that events refer to is
// kept, but it must not change before Step returns. The messages of a session are to be sent in order; a connection is
// closed after the messages before its CloseSession.
package planner
