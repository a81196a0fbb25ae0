// Package socket sends and receives the datagrams of package gossip over UDP, on an event loop.
// A Socket owns its file descriptor and a gossip.Node. Received messages are passed to the request table; queued messages are
// sent when Flush is called. Datagrams may be lost: errors of the network and of the machine are never returned to the caller,
// and a socket that can no longer be used is reopened after a backoff.
//
// A Socket must be used only on the goroutine of its event loop.
package socket
