// Package message defines the control protocol between forwarders and planners as Go types, one for each message. A
// forwarder accepts clients' requests, sends attempts to workers, and responds; a planner decides for many forwarders
// which worker each request is sent to. It receives summaries of requests, never payloads.
//
// The package defines the messages, and which of two statuses of a worker supersedes the other. Package codec encodes
// messages.
//
// # Sessions
//
// A forwarder has a session with each planner that it can reach. Each of its requests is assigned to one planner at a
// time, or to the forwarder's local policy. The forwarder gives each session an Epoch, a number that increases over all
// its sessions and processes. An Envelope carries the epoch of its session; a message of an older epoch is void. Within a
// session messages arrive in order and at most once. When its connection ends, the session ends too, and messages in
// transit may have been delivered or not.
//
// # Requests and attempts
//
// A request ID is unique within a forwarder's process and never reused. A planner's commands name the request and number
// its attempts: first those of the RequestOffer, from 0, then one for each SendCommand. Every SendCommand results in
// exactly one AttemptEnded with its number, even if the forwarder's validator rejects it, unless the session ends or the
// request is no longer assigned to the planner.
//
// # Transfers
//
// A planner that can't place a request has it transferred to another planner by name, at most twice per request
// (RequestSummary.Transfers counts). A TransferCommand without a name returns a request that made the planner's policy
// panic: the forwarder offers it to another planner, and responds with a failure after the second such command. An offer
// beyond a forwarder's credit, or beyond a planner's capacity, is transferred or rejected like any other.
//
// Times in messages are durations, never instants, as clocks differ. They are relative to the sending of the message.
package message
