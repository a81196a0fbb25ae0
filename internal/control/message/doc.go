// Package message defines the messages of the control protocol between forwarders and planners as Go types. A forwarder accepts
// requests of clients, sends attempts to workers, and responds to the clients. A planner decides for many forwarders which
// worker each request is sent to; it receives summaries of requests, never payloads.
//
// The package also defines which of two statuses of a worker supersedes the other. Package codec encodes messages.
//
// # Sessions
//
// A forwarder has a session with each planner that it can reach. Each of its requests is assigned to at most one planner at a
// time, or to the forwarder's local policy. The forwarder gives each session an Epoch: a number that is greater than those of
// all its earlier sessions, including those of its earlier processes. An Envelope carries the epoch of its session; a message of
// an older epoch is ignored. Within a session, messages arrive in order and at most once. When the connection ends, the session
// ends too, and messages in transit may or may not have been delivered.
//
// # Requests and attempts
//
// A request ID is unique within a forwarder's process and never reused. A planner refers to an attempt by its number: the
// attempts in the RequestOffer are numbered from 0, and each SendCommand takes the next number. Every SendCommand results in
// exactly one AttemptEnded with its number, even if the forwarder's validator rejects it, unless the session ends or the
// request is no longer assigned to the planner.
//
// # Transfers
//
// A planner that can't place a request asks the forwarder to transfer it to another planner by name, at most twice per request
// (see RequestSummary.Transfers). A TransferCommand without a name returns a request that made the planner's policy panic: the
// forwarder offers it to another planner, and gives it up after the second such command. A planner transfers or rejects an
// offer beyond the forwarder's credit or its own capacity like any other.
//
// Times in messages are durations relative to the sending of the message, as clocks differ between processes. The only
// exceptions are the start times of processes in handshakes and worker statuses.
package message
