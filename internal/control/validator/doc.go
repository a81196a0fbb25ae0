// Package validator checks every command of a planner, and of the local policy, against the forwarder's own records before
// it is executed. A planner may be slow, faulty, outdated, or one of two that disagree: that can delay a request, but not
// break a rule of the platform.
//
// A Validator owns its records of requests, attempts, workers and sessions. They follow from the events and actions between
// the forwarder's request table and its decision module: events are reported by Observe, executed actions by Apply. It
// shares no code with package dispatch, which decides what is best; this package decides only what is permitted. It sends
// nothing, and reads no clock.
//
// Every call takes constant time, except for a full endpoint list. Memory is bounded by the request table, the endpoint
// list, and maxUnlisted statuses.
//
// A worker status from a planner can exclude a worker, but never permit it: a worker that is draining on the forwarder's own
// endpoint list, or is not on it, gets no attempts whatever the planners report. A worker that is up on it gets none if the
// newest status from any planner is that it is draining or removed. So a wrong status excludes a worker at worst.
package validator
