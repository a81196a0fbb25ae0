// Package worker holds a scheduler's connections to workers: a pool of HTTP/1.1 connections, each with one exchange at a time.
// An exchange sends an attempt, checks a worker's health, or cancels an attempt that a worker has accepted.
//
// Pool implements the requests.Transport of a request table, except for Watch, and reports the progress and the end of each
// attempt to the table. It decides neither which worker a request is sent to nor whether it is retried: the table and its policy
// do.
//
// The connections that carry an attempt and the idle ones survive a hot restart: the predecessor's pool takes a Snapshot, the
// successor's pool is given it by Restore, and Relinquish then closes the predecessor's descriptors.
//
// Everything runs on the goroutine of the event loop. Times are readings of the loop's clock.
//
// # Files
//
//   - pool.go, table.go: the Pool, and the interfaces of the methods that it uses of the request table
//   - idle.go: idle connections by endpoint: which may be reused, and which are closed
//   - connection.go: a connection: dialing, its states, its events, and its end
//   - exchange.go, request.go, response.go: one exchange; the bytes of its request; the reading of its response
//   - cancel.go: cancellation of accepted attempts
//   - transfer.go: snapshot and restoration of connections in a hot restart
package worker
