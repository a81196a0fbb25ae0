// Package planner implements the planner side of the control protocol. It runs one dispatch policy for the requests of all
// connected forwarders, so that worker capacity, warm-up budgets and quotas are counted in one place.
//
// A Planner owns the sessions of its forwarders, the table of offered requests with their attempts, the newest status of
// every worker, the connections to its peers (the other planners), and the policy itself. It turns events into actions. It
// does no I/O, reads no clock, starts no goroutine, and never sees a payload; the same events result in the same actions.
// Forwarders validate its commands. Where the records of a planner and a forwarder differ, the forwarder's are
// authoritative.
//
// # Parts
//
// New initializes the parts and connects them. Each part owns its state and declares its dependencies on other parts as
// small interfaces. Planner passes events to the parts. The step holds the current time and collects the actions.
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
//   - An open request belongs to one session of one forwarder and is closed when that session ends. Its attempts in flight
//     still count as load until the forwarder reports their ends, or until they are assumed to have ended.
//   - The attempt numbers of send commands continue after the attempts in the summary of the offer. No number is used twice
//     in a session.
//   - A request is transferred to another planner at most maxTransfers times, and at most once for lack of capacity.
//   - The sum of the forwarders' credits never exceeds Config.MaxOpenRequests. The credit of a session is available again
//     as soon as the session ends.
//   - Input is validated and bounded. Invalid input is counted, and is either ignored or closes its session.
//   - A panic of the policy closes no session, unless panics persist. A new policy replaces the old one and receives every
//     request; a request that makes the new policy panic is returned to its forwarder.
//
// # Use
//
// Step processes the events since the last step and appends the resulting actions to dst. It retains no reference to data of
// the events, but that data must not change before Step returns. The caller must send the messages of a session in order,
// and close a connection only after the messages that precede its CloseSession.
package planner
