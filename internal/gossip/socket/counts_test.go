package socket

import (
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/gossip"
	"valvecove/internal/metrics"
)

// Counts contains each counter of the node, and the percentage of the budget that the sent bytes spend.
func TestPeerCounts(t *testing.T) {
	f, _ := newFixtureWithPeer(t)
	f.settings = dispatch.Settings{PeerCost: 0.01, PeerBudget: 0.02, Replicas: 2}
	node := f.socket.node
	other := gossip.New(gossip.Config{Self: 1, Schedulers: 2, Incarnation: 1})
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
	if counts := f.socket.Counts(0); counts != want {
		t.Errorf("without attempts: %+v, want %+v", counts, want)
	}
	f.leases = dispatch.LeaseCounts{Held: 1, Granted: 2, Waiting: 3}
	want.Leases = f.leases
	want.BudgetPercent = 3 // 256 bytes per attempt spend half of the budget, so the 14 bytes that were sent spend 3%
	if counts := f.socket.Counts(1); counts != want {
		t.Errorf("with one attempt: %+v, want %+v", counts, want)
	}
}
