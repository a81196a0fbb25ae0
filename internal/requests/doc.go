// Package requests holds a scheduler's table of open requests and of their attempts at workers.
//
// It owns the requests from admission to the end of their last attempt, the deadlines of both, the list of endpoints as
// discovery gave it last, and the set of cordoned endpoints. It feeds a dispatch policy with events and carries out the
// actions that the policy returns.
//
// Two rules hold whatever a policy, a transport or a worker does:
//
//   - A request gets exactly one response, or none if its client disconnects first.
//   - A request has at most one attempt in flight at a worker. While an accepted attempt is being cancelled it stays in
//     flight until its worker confirms or calls back, or until the deadline of the request: the policy does not learn of
//     an end that would allow another attempt meanwhile.
//
// The package does no I/O, reads no clock and knows no protocol. A frontend admits requests and is answered through
// Responder; whatever reaches the workers implements Transport. It decides nothing about where or when a request runs:
// that is the policy's.
//
// A Table and all that belongs to it is used by one goroutine. Instants are durations since the Unix epoch.
package requests
