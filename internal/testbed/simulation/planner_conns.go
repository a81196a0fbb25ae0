package simulation

import (
	"context"
	"log/slog"
	"time"

	"valvecove/internal/control/codec"
	"valvecove/internal/control/membership"
	"valvecove/internal/control/message"
	"valvecove/internal/control/planner"
)

// This file holds the connections of a planner's process to forwarders and other planners, and what it sends over them.

// plannerPeerConn is a connection with a forwarder or another planner.
type plannerPeerConn struct {
	stream    *stream
	end       int
	nodeIndex int
	peer      string // name of the other planner; empty: it is a forwarder
	connected bool
	writer    codec.Writer
	reader    *codec.Reader
}

// flushWriters sends the messages that are encoded for the connections.
func (p *plannerProcess) flushWriters() {
	for _, conn := range p.conns {
		if conn.connected && conn.writer.Len() > 0 {
			p.flush(conn)
		}
	}
}

func (p *plannerProcess) flush(conn *plannerPeerConn) {
	p.node.network.send(conn.stream, conn.end, conn.writer.Take(p.node.network.buffer()))
}

// session returns the connection that uses a stream, or nil.
func (p *plannerProcess) session(stream *stream) *plannerPeerConn {
	return p.sessions[planner.SessionID(stream.id)]
}

// accept registers a connection that a forwarder or another planner has dialed.
func (p *plannerProcess) accept(stream *stream) {
	nodeIndex, end := stream.peerOf(p.node.number)
	conn := &plannerPeerConn{stream: stream, end: end, nodeIndex: nodeIndex, connected: true, reader: codec.NewReader(0)}
	if p.node.network.isPlanner(nodeIndex) {
		conn.peer = plannerName(nodeIndex - p.node.spec.Schedulers.Count)
	}
	p.register(conn)
}

// dataReceived passes the messages of a connection to the planner. An invalid frame ends the connection.
func (p *plannerProcess) dataReceived(conn *plannerPeerConn, data []byte) {
	conn.reader.Feed(data)
	p.node.network.recycle(data)
	for {
		envelope, ok, err := conn.reader.Next()
		if err != nil {
			p.node.network.closeStream(conn.stream, conn.end)
			p.unregister(conn, false)
		}
		if err != nil || !ok {
			return
		}
		envelope = envelope.Clone() // the reader reuses its memory for the next one
		if conn.peer == "" {
			session := planner.SessionID(conn.stream.id)
			p.inputs = append(p.inputs, planner.ForwarderMessage{Session: session, Envelope: envelope})
		} else {
			p.inputs = append(p.inputs, planner.PeerMessage{Peer: conn.peer, Envelope: envelope})
		}
	}
}

// register adds a connection.
func (p *plannerProcess) register(conn *plannerPeerConn) {
	p.sessions[planner.SessionID(conn.stream.id)] = conn
	p.conns = append(p.conns, conn)
	if conn.connected {
		p.connUp(conn)
	}
}

// connUp notifies the planner of a new connection. It closes an older one with the same peer.
func (p *plannerProcess) connUp(conn *plannerPeerConn) {
	if conn.peer == "" {
		p.inputs = append(p.inputs, planner.SessionOpened{Session: planner.SessionID(conn.stream.id)})
		return
	}
	for _, other := range append([]*plannerPeerConn(nil), p.conns...) {
		if other != conn && other.peer == conn.peer && other.connected {
			p.node.network.closeStream(other.stream, other.end)
			p.unregister(other, false)
		}
	}
	p.inputs = append(p.inputs, planner.PeerConnected{Peer: conn.peer})
	p.events = append(p.events, membership.PlannerConnected{Name: conn.peer})
}

// unregister removes a connection, notifies the planner, and schedules a redial if this planner is the one that dials the peer.
func (p *plannerProcess) unregister(conn *plannerPeerConn, silent bool) {
	delete(p.sessions, planner.SessionID(conn.stream.id))
	for i, other := range p.conns {
		if other == conn {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			break
		}
	}
	switch {
	case conn.peer == "":
		p.inputs = append(p.inputs, planner.SessionClosed{Session: planner.SessionID(conn.stream.id)})
	case conn.connected:
		p.inputs = append(p.inputs, planner.PeerDisconnected{Peer: conn.peer})
		p.events = append(p.events, membership.PlannerDisconnected{Name: conn.peer, Silent: silent})
	}
	conn.connected = false
	if i := conn.nodeIndex - p.node.spec.Schedulers.Count; conn.peer != "" && conn.nodeIndex > p.node.number {
		p.backoff[i] = min(max(2*p.backoff[i], minRedialDelay), maxRedialDelay)
		p.redialAt[i] = p.now + p.backoff[i]/2 + time.Duration(p.node.network.rngs[p.node.number].Int64N(int64(p.backoff[i])))
	}
}

// connect dials another planner if it is wanted. Of two planners the one with the lower number dials.
func (p *plannerProcess) connect(i int) {
	nodeIndex := p.node.spec.Schedulers.Count + i
	name := plannerName(i)
	wanted := false
	for _, w := range p.wantedPeers {
		wanted = wanted || w == name
	}
	for _, conn := range p.conns {
		wanted = wanted && conn.peer != name
	}
	if wanted && nodeIndex > p.node.number {
		p.register(&plannerPeerConn{stream: p.node.network.dial(p.node.number, nodeIndex), nodeIndex: nodeIndex, peer: name, reader: codec.NewReader(0)})
	}
}

// updateMembers steps the membership with the queued events, and carries out its actions.
func (p *plannerProcess) updateMembers() {
	actions := p.members.Step(p.now, p.events, p.actions[:0])
	clear(p.events)
	p.events = p.events[:0]
	for _, action := range actions {
		switch action := action.(type) {
		case membership.SetPlanners:
			p.wantedPeers = action.Names
			for i := range p.redialAt {
				if p.redialAt[i] == 0 {
					p.connect(i)
				}
			}
		case membership.SetPeers:
			p.inputs = append(p.inputs, planner.PeersChanged{Names: action.Names})
		case membership.SetPartition:
			p.inputs = append(p.inputs, planner.PartitionChanged{Owner: action.Owner})
		case membership.Announce:
			p.node.network.gossip.announce(p.node.number, action.Member)
		case membership.LogLine:
			p.node.model.logger(p.node.number).LogAttrs(context.Background(), slog.LevelInfo, action.Message, action.Attributes...)
		}
	}
	clear(actions)
	p.actions = actions[:0]
}

// carryOut performs an action of the planner.
func (p *plannerProcess) carryOut(action planner.Action) {
	switch action := action.(type) {
	case planner.SendToForwarder:
		if conn := p.sessions[action.Session]; conn != nil && conn.connected {
			p.node.send(&conn.writer, action.Envelope)
		}
	case planner.SendToPeer:
		p.sendToPeer(action)
	case planner.CloseSession:
		p.closeSession(action.Session)
	case planner.SetTimer:
		if at := p.now + action.After; p.timer == 0 || at < p.timer {
			p.timer = at
		}
	case planner.WatchEndpoints:
		p.watchWanted = true
		p.listTable.Wake()
	case planner.LogLine:
		p.node.model.logger(p.node.number).Info(action.Message, action.Attributes...)
	case planner.Stopped:
		p.exited = true
	}
}

func (p *plannerProcess) sendToPeer(action planner.SendToPeer) {
	for _, conn := range p.conns {
		if conn.peer == action.Peer && conn.connected {
			p.node.send(&conn.writer, action.Envelope)
		}
	}
}

// closeSession sends the messages that are encoded for a forwarder's connection, and closes it.
func (p *plannerProcess) closeSession(id planner.SessionID) {
	conn := p.sessions[id]
	if conn == nil || conn.peer != "" {
		return
	}
	if conn.writer.Len() > 0 {
		p.flush(conn)
	}
	p.node.network.closeStream(conn.stream, conn.end)
	p.unregister(conn, false)
}

// send encodes a message. A message that cannot be encoded is counted and dropped, as in a real process.
func (s *plannerNode) send(w *codec.Writer, envelope message.Envelope) {
	if w.Add(envelope) != nil {
		s.counts.EncodingFailures++
	}
}
