// Package forwarder is the decision module of a forwarder process: it decides which planner each request is offered to,
// which of the planners' commands are executed, and how requests are served while no planner is available. It takes the place
// that the dispatch policy has in a scheduler without planners (requests.Policy): it turns events into actions, does no I/O,
// reads no clock, and draws all random numbers from one seed.
//
// The package owns the sessions with planners, the assignment of each request, and the local policy of standalone mode. It
// never chooses the worker that a request is sent to, does no sending itself, and executes only commands that package
// validator allows.
//
// # Guarantees
//
//   - A command is executed if and only if the validator allows it. The planner is notified of each rejected command.
//   - A request is assigned to one planner, or assigned to the local policy, or unassigned and waiting for one of them. The
//     planner or policy that it is assigned to decides on the response. The forwarder itself responds at the request's
//     deadline, and earlier if no planner has capacity for the request in time.
//   - A request that is revoked from a planner whose session has not ended is not offered in that session again. Commands
//     that the planner sent before it read the revocation are therefore rejected, and cannot become valid later.
//   - For each attempt that a planner commands, the planner gets one message.AttemptEnded in the session of the command, as
//     long as the request is assigned to that planner.
//   - The size of every table is limited by the number of open requests in the request table, by the endpoint list, or by
//     Config.
//
// # Use
//
// Receive, ConnectionChanged and SetPlanners only record inputs. The next Step processes the events of the request table
// first, then the recorded inputs in the order in which they were recorded. HasPending reports whether there are any. Outbox
// returns the messages that the last Step produced for planners.
//
// A Forwarder is not safe for concurrent use.
//
// # Parts
//
// Forwarder consists of parts that each own their state. Step calls them in the order in which a request passes through
// them. A part depends only on parts below it in this list; what it needs from a part above, it declares as a small interface.
//
//   - sessionLifecycle starts and ends the sessions with planners, and recovers the requests of sessions that have ended.
//   - requestTimeouts handles requests that have reached their deadline, that were not offered in time, or for which no
//     command arrived in time.
//   - commandExecutor executes the commands of planners; attemptReporter reports the events of attempts to planners.
//   - modeController enters and leaves standalone mode; localRunner runs the local policy in that mode, and localCommands
//     executes the policy's decisions.
//   - responder executes sends and responses, and closes requests.
//   - placer selects a planner for each waiting request, by credit and preference.
//   - assignments assigns requests to a planner or the local policy, and revokes assignments.
//   - heartbeats detects planners that do not reply; workers keeps the endpoint list; healthChecker requests health checks
//     of workers; rejectionLog logs rejected commands.
//   - plannerSet, openRequests, requestQueues, checkSchedule, localPolicy and modelSnapshot hold the state of planners, of
//     requests, and of the local policy.
//   - step holds the time and the output of the current step. stepTimer tracks the timer that triggers the next step, and
//     inputQueue holds the inputs for it.
package forwarder
