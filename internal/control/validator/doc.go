// Package validator checks every command of a planner, and of the local policy, against the forwarder's own records before
// anything is sent. A planner may be slow, wrong, stale, or one of two that disagree: that may cost time, but breaks no
// rule.
//
// A Validator owns its records of requests, attempts, workers and sessions. They follow from what passes between the
// forwarder's request table and whoever decides for it: events are reported by Observe, executed actions by Apply. It
// shares no code with package dispatch, which decides what is worth doing; this package says only what may be done. It
// sends nothing, decides nothing, and reads no clock.
//
// Every call takes constant time, but for a full endpoint list. Memory is bounded by the request table, the endpoint list,
// and maxUnlisted statuses.
//
// A worker status from others can forbid a worker, never allow it: a worker that is draining on the forwarder's own
// endpoint list, or is not on it, gets nothing whatever others say, and one that is up on it gets nothing if the newest
// status from anybody says that it drains or is gone. So a wrong status excludes a worker at worst.
package validator
