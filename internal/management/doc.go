// Package management serves the HTTP calls of operators and of those who ask for the status of a request, each kind at an address
// of its own, and applies cordons of workers.
//
// It knows nothing of the connections of clients and workers, or of the transport of a hot restart: what it needs of them is
// declared by the interfaces Scheduler, Role and CordonTable. Everything runs on the goroutine of the event loop. Connections
// are few, and each of them is closed after a time limit, so that nobody can keep the others out.
//
// # Files
//
//   - listener.go: the listener and the connections that both kinds of call share
//   - operators.go, calls.go: the operators' address; what each call does
//   - status.go: the address of the status call
//   - cordons.go: cordons: applied, stored, forwarded to the process that owns the requests
package management
