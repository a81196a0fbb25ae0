package simulation

import (
	"slices"
	"time"

	"valvecove/dispatch"
	peergossip "valvecove/internal/gossip"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

// Constants of the real process (internal/gossip/socket), and the size of the kernel's receive buffer of a socket.
const (
	incarnationUnit     = 16 * time.Millisecond
	maxWaitingDatagrams = 256 // small datagrams that the receive buffer holds while the process is frozen; further ones are lost
)

// peerSocket is a process's side of the datagrams between schedulers, which package gossip encodes and decodes as in the
// real program.
type peerSocket struct {
	process *process
	node    *peergossip.Node
	lie     string // a scenario's lie of a lying coordinator; empty: it sends what it decides
	worker  uint64 // the worker that the lie grants; 0: none has been granted yet
}

func newPeerSocket(proc *process) *peerSocket {
	spec, settings := &proc.scheduler.spec.Peers, &proc.scheduler.settings
	socket := &peerSocket{process: proc, node: peergossip.New(peergossip.Config{
		Self:        settings.ReplicaIndex,
		Schedulers:  settings.Replicas,
		Incarnation: uint32(proc.now / incarnationUnit),
	})}
	if slices.Contains(spec.Liars, proc.scheduler.number) {
		socket.lie = spec.Lie
	}
	proc.requests.SendPeerMessage = socket.queue
	return socket
}

// queue queues a message to be sent after this iteration.
func (s *peerSocket) queue(to int, message dispatch.PeerMessage) {
	s.node.Queue(to, s.falsify(message))
}

// falsify returns what a lying coordinator sends in place of a message. Other messages are returned unchanged.
func (s *peerSocket) falsify(message dispatch.PeerMessage) dispatch.PeerMessage {
	switch answer := message.(type) {
	case dispatch.LeaseGranted:
		if s.worker == 0 {
			s.worker = answer.Worker
		}
		return s.lieAbout(answer.ID, message)
	case dispatch.LeaseQueued:
		return s.lieAbout(answer.ID, message)
	}
	return message
}

func (s *peerSocket) lieAbout(id dispatch.LeaseID, truth dispatch.PeerMessage) dispatch.PeerMessage {
	switch {
	case s.lie == scenario.LieFull:
		return dispatch.LeaseQueued{ID: id}
	case s.lie == scenario.LieSameWorker && s.worker != 0:
		return dispatch.LeaseGranted{ID: id, Worker: s.worker, FreeSlots: 1}
	}
	return truth
}

// receive passes the messages of a datagram to the request table. An invalid datagram is dropped.
func (s *peerSocket) receive(datagram *simapi.DatagramReceived) {
	if messages, err := s.node.Receive(s.process.now, datagram.From, datagram.Bytes); err == nil {
		s.process.requests.AddPeerMessages(datagram.From, messages)
	}
}

// flush sends the queued messages.
func (s *peerSocket) flush() {
	for _, datagram := range s.node.Flush() {
		s.process.emit(simapi.DatagramWritten{To: datagram.To, Bytes: datagram.Bytes})
	}
}

// countDatagrams counts inputs that are datagrams.
func countDatagrams(inputs []simapi.InputMessage) (count int) {
	for _, input := range inputs {
		if _, ok := input.(simapi.DatagramReceived); ok {
			count++
		}
	}
	return count
}
