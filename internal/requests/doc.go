// Package requests holds a scheduler's table of open requests and of their attempts at workers.
//
// A Table owns the requests from admission to the end of their last attempt (requestIndex), the attempts in flight with their
// timeouts (attemptIndex), the endpoint list as discovery last listed it (endpointSet), the cordoned endpoints (cordonSet), and
// the observers (observerList). It passes events to a dispatch policy (policyRunner), and executes the actions that the policy
// returns.
//
// Two invariants do not depend on the policy, the transport or the workers:
//
//   - A request gets exactly one response, or none if its client disconnects first.
//   - A request has at most one attempt in flight at a worker. An attempt that was written and is being cancelled stays in flight
//     until its worker confirms or calls back, or until the deadline of the request: the policy is not notified of an end before
//     that, which would allow another attempt.
//
// The package does no I/O, reads no clock and implements no protocol. A frontend admits requests and receives responses through
// Responder. The connections to workers implement Transport. The policy decides where and when a request is sent.
//
// A Table, its requests and their attempts are used on one goroutine. Instants are durations since the Unix epoch.
//
// # Files
//
//   - table.go, step.go: the Table, and its step: events to the policy, actions of the policy
//   - request.go, requestindex.go: a request; the index of all requests
//   - admission.go: admits requests
//   - attempt.go, attemptindex.go: an attempt; the index of the attempts in flight
//   - lifecycle.go: starts, ends and cancels attempts
//   - attempterror.go, outcome.go: why an attempt ended without a result, and what that means for client and policy
//   - callback.go: callbacks of workers
//   - completion.go: responds to requests, and closes them
//   - endpoint.go: an endpoint of the list
//   - endpointlist.go: lists and failures from discovery
//   - endpointset.go, endpointtable.go, endpointlog.go: the endpoints as last listed; their numbers; log lines about changes
//   - starttime.go: start times of workers by the process's clock
//   - cordon.go: cordoned endpoints
//   - policy.go, policylog.go: runs the policy; logs its messages
//   - transport.go, observer.go: the interfaces to connections and to observers
//   - snapshot.go, takeover.go, clockdifference.go: the state that a hot restart transfers; its restoration; the conversion of
//     its instants to another clock
package requests
