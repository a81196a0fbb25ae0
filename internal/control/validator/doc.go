// Package validator checks every command of a planner or of the local policy against the forwarder's own records before the
// command is executed. A planner may be slow, faulty or outdated, or two planners may disagree. That can delay a request, but
// it can't make the forwarder break a rule of the platform.
//
// A Validator keeps its own records of requests, attempts, workers and sessions. It derives them from the events and actions
// that pass between the forwarder's request table and its decision module: events are reported by Observe, executed actions by
// Apply. It shares no code with package dispatch, which decides what is best; this package decides only what is permitted. It
// sends nothing and reads no clock.
//
// Every call takes constant time, except for a full endpoint list. Memory is limited by the open requests of the request table,
// the endpoint list, and maxUnlisted statuses.
//
// A worker status from a planner can exclude a worker, but can't permit one. A worker that the forwarder's own endpoint list
// shows as draining or does not contain gets no attempts, whatever the planners report. A worker that the list shows as up gets
// none if the newest status from any planner says that it is draining or removed. The worst effect of a wrong status is
// therefore that a worker is not used.
package validator
