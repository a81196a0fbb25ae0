// Package forwarder decides for a forwarder which planner each of its requests is offered to, which of the planners'
// commands are executed, and what happens while there is no planner. It takes the place that the dispatch policy has in a
// scheduler without planners (requests.Policy): events in, actions out, no I/O, no clock, randomness from one seed.
//
// The package owns the sessions with planners, the assignment of each request, and the local policy of standalone mode. It
// never decides which worker a request goes to, sends nothing itself, and executes no command that package validator does
// not allow.
//
// # Guarantees
//
//   - A command is executed if and only if the validator allows it. The planner is told of each command that is rejected.
//   - A request is assigned to one planner at a time, or to the local policy, or waits for either. Whoever has it responds.
//     The forwarder itself responds at the request's deadline, and earlier where nobody could take it in time.
//   - A request that is revoked from a planner whose session goes on is not offered in that session again: commands that
//     the planner gave before it read of the revocation are void, and stay void.
//   - Each attempt that a planner commands ends in one message.AttemptEnded, in the session of the command, as long as the
//     request is assigned to that planner.
//   - All tables are bounded by the open requests of the request table, the endpoint list, and Config.
//
// # Use
//
// Receive, SessionChanged and SetPlanners only record what has happened. The next Step processes the events of the request
// table first, then the recorded inputs in their order. HasPending reports whether there are any. Outbox returns the
// messages that a Step has for planners.
//
// A Forwarder is used by one goroutine.
package forwarder
