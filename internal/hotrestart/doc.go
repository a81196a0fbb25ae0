// Package hotrestart is the protocol by which a new process of a scheduler, the successor, takes over from the running one,
// the predecessor, without losing a request or a connection.
//
// The two talk over a Unix socket, at one of the addresses that SocketAddresses gives. The successor sends Handshake, and
// the predecessor answers Accept, together with the socket that clients connect to, or Reject. From then on the successor
// is in standby, and the predecessor serves. To relinquish, the predecessor sends TransferBegin, all of its state, and
// TransferEnd; the successor answers TakenOver and is the owner from there on. Until that message is sent, the predecessor
// owns everything. Meanwhile a cordon call of an operator that reaches the process that does not serve is forwarded to the
// one that does.
//
// The package owns the frames and messages, the state machine of either side (Successor and Predecessor), what a successor
// has received (ReceivedState), the calls that wait for an answer of the other process (PendingCalls), and the file of
// cordoned workers, which outlives the processes (CordonStore).
//
// It opens no socket, reads no clock, touches no other file, and never changes the request table. The event loop that carries
// the frames and restores the connections is in package transport. Types are not safe for concurrent use unless they say so.
package hotrestart
