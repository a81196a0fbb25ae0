package link

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/gossip"
	"valvecove/internal/metrics"
)

// Each count of the node has its place among the figures, and bytes are compared with the budget. Without a socket there are
// no figures.
func TestPeerCounts(t *testing.T) {
	settings := dispatch.Settings{PeerCost: 0.01, PeerBudget: 0.02, Replicas: 3}
	loop := &Loop{clients: &clientListener{settings: &settings}}
	if counts := loop.peerCounts(1); counts != (metrics.PeerCounts{}) {
		t.Errorf("%+v without a socket", counts)
	}
	node := gossip.New(gossip.Config{Self: 0, Peers: 3, Incarnation: 1})
	other := gossip.New(gossip.Config{Self: 1, Peers: 3, Incarnation: 1})
	loop.peers = &peerSocket{node: node}
	node.Queue(1, dispatch.LeaseQueued{ID: 1})
	sent := node.Flush()
	node.CountUnsent()
	other.Queue(0, dispatch.LeaseQueued{ID: 1})
	received := other.Flush()[0].Bytes
	for _, datagram := range [][]byte{received, received, {1}, make([]byte, gossip.MaxDatagram+1)} {
		_, _ = node.Receive(time.Second, 1, datagram)
	}
	_, _ = node.Receive(time.Second, -1, received)
	want := metrics.PeerCounts{
		Enabled: true, Sent: 1, SentBytes: uint64(len(sent[0].Bytes)), Received: 1, ReceivedBytes: uint64(len(received)),
	}
	want.Dropped[metrics.DropUnsent], want.Dropped[metrics.DropDuplicate], want.Dropped[metrics.DropMalformed] = 1, 1, 1
	want.Dropped[metrics.DropTooLong], want.Dropped[metrics.DropUnknownSender] = 1, 1
	if counts := loop.peerCounts(0); counts != want {
		t.Errorf("%+v, expected %+v", counts, want)
	}
	loop.dispatcher = dispatch.New(settings, 1)
	want.BudgetPercent = 3 // of 256 bytes a job, which cost half of the budget, 14 are 3%
	if counts := loop.peerCounts(1); counts.BudgetPercent != want.BudgetPercent {
		t.Errorf("%d bytes: %d%%, expected %d%%", want.SentBytes, counts.BudgetPercent, want.BudgetPercent)
	}
}
