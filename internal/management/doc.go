// Package management serves the operators' HTTP calls and the status call for requests, each at its own address, and applies
// cordons of workers.
//
// It does not depend on the connections of clients and workers, or on the transport of a hot restart, but uses them through the
// interfaces Scheduler, Role and CordonTable. Everything runs on the goroutine of the event loop. The number of connections and
// the duration of each are limited, so that no caller can block the others.
//
// # Files
//
//   - listener.go: what the listeners and the connections of both addresses have in common
//   - operators.go, calls.go: the operators' address; what each call does
//   - status.go: the address of the status call
//   - cordons.go: applies and stores cordons, or forwards them to the process that owns the requests
package management
