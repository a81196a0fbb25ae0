// Package hotrestart is the protocol by which a new process of a scheduler, the successor, takes over from the running one,
// the predecessor, without losing a request or a connection.
//
// The processes are connected by a Unix socket at one of the addresses that SocketAddresses returns. The successor sends
// Handshake, and the predecessor responds with Accept, together with the listening socket for clients, or with Reject. After
// Accept the successor is in standby, and the predecessor serves. To relinquish, the predecessor sends TransferBegin, all of
// its state, and TransferEnd; the successor responds with TakenOver, and owns the state from then on. Until that message is
// sent, the predecessor owns everything. An operator's cordon call to the process that does not own the state is forwarded to
// the one that does.
//
// The package contains the frames and messages, the state machines of both sides (Successor and Predecessor), the state that a
// successor has received (ReceivedState), the calls that wait for a result of the other process (PendingCalls), and the file of
// cordoned workers, which persists across processes (CordonStore).
//
// It opens no socket, reads no clock, accesses no other file, and never changes the request table. Package transport sends and
// receives the frames on the event loop. Types are not safe for concurrent use unless their documentation says so.
package hotrestart
