// Package forwarder is the decision module of a forwarder process: it decides which planner each request is offered to,
// which of the planners' commands are executed, and what is done while there is no planner. It has the role of the dispatch
// policy in a scheduler without planners (requests.Policy): events in, actions out, no I/O, no clock, randomness from one
// seed.
//
// The package owns the sessions with planners, the assignment of each request, and the local policy of standalone mode. It
// never decides which worker a request is sent to, sends nothing itself, and executes no command that package validator
// does not allow.
//
// # Guarantees
//
//   - A command is executed if and only if the validator allows it. The planner is notified of each rejected command.
//   - A request is assigned to one planner at a time, or to the local policy, or waits for either. Whoever has it responds.
//     The forwarder itself responds at the request's deadline, and earlier if nobody has capacity for it in time.
//   - A request that is revoked from a planner whose session has not ended is not offered in that session again: commands
//     that the planner gave before it read the revocation are void, and stay void.
//   - Each attempt that a planner commands ends in one message.AttemptEnded, in the session of the command, as long as the
//     request is assigned to that planner.
//   - All tables are bounded by the open requests of the request table, the endpoint list, and Config.
//
// # Use
//
// Receive, SessionChanged and SetPlanners only record inputs. The next Step processes the events of the request table
// first, then the recorded inputs in their order. HasPending reports whether there are any. Outbox returns the messages of
// a Step for planners.
//
// A Forwarder is used by one goroutine.
//
// # Parts
//
// Forwarder joins parts that own their state; Step calls them in the order of a request's life. A part uses those below it
// in this list. What it needs of one above is a small interface of its own.
//
//   - sessionLifecycle starts and ends the sessions with planners, and recovers the requests of sessions that have ended.
//   - requestTimeouts decides on requests that have reached their deadline, or were not placed or commanded in time.
//   - commandExecutor executes the commands of planners; attemptReporter reports the events of attempts to planners.
//   - modeController enters and leaves standalone mode; localRunner runs the local policy in it, and localCommands
//     executes what the policy decides.
//   - responder executes sends and responses, and closes requests.
//   - placer selects a planner for each request that waits, by credit and preference.
//   - assignments changes who has a request: nobody, a planner, or the local policy.
//   - heartbeats finds out which planners reply; workers keeps the endpoint list; healthChecker has workers checked;
//     rejectionLog logs rejected commands.
//   - plannerSet, openRequests, requestQueues, checkSchedule, localPolicy and modelSnapshot hold the state of planners, of
//     requests, and of the local policy.
//   - step holds the instant of the present step and its output. stepTimer is the timer between steps, and inputQueue the
//     inputs for the next step.
package forwarder
