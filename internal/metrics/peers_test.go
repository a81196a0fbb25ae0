package metrics

import (
	"testing"

	"valvecove/dispatch"
	"valvecove/internal/config"
)

func peerCounts() PeerCounts {
	return PeerCounts{
		Enabled: true, Sent: 5, SentBytes: 400, Received: 4, ReceivedBytes: 300, Dropped: [...]uint64{0, 1, 2, 3, 4, 5, 6},
		Leases: dispatch.LeaseCounts{Held: 7, Granted: 8, Waiting: 9}, BudgetPercent: 12,
	}
}

// The text of the operators' metrics call contains a line for each metric of messages between schedulers, and none of these lines
// if schedulers exchange no messages.
func TestAppendTextOfPeers(t *testing.T) {
	want := "edge_proxy.peer_datagrams_sent=5\nedge_proxy.peer_bytes_sent=400\n" +
		"edge_proxy.peer_datagrams_received=4\nedge_proxy.peer_bytes_received=300\n" +
		"edge_proxy.peer_dropped.malformed=0\nedge_proxy.peer_dropped.too_long=1\nedge_proxy.peer_dropped.unknown_sender=2\n" +
		"edge_proxy.peer_dropped.duplicate=3\nedge_proxy.peer_dropped.outdated=4\nedge_proxy.peer_dropped.overflow=5\n" +
		"edge_proxy.peer_dropped.unsent=6\nedge_proxy.peer_budget_percent=12\n" +
		"edge_proxy.leases_held=7\nedge_proxy.leases_granted=8\nedge_proxy.lease_requests_waiting=9\n"
	counters := NewCounters(names)
	without := string(counters.AppendText(nil, Gauges{}))
	if text := string(counters.AppendText(nil, Gauges{Peers: peerCounts()})); text != without+want {
		t.Errorf("text %q, expected %q after %q", text, want, without)
	}
	if text := appendPeerCounts(nil, PeerCounts{Sent: 5}); len(text) > 0 {
		t.Errorf("text %q although no messages are exchanged", text)
	}
}

// Counters are exported as the difference since the last flush, and gauges as their current value.
func TestExporterOfPeers(t *testing.T) {
	f := newFixture(t, config.Metrics{Format: "statsd", MaxBatchBytes: 10_000}, names)
	counts := peerCounts()
	f.exporter.PeerCounts = func() PeerCounts { return counts }
	const gauges = "valvecove.peer_budget_percent:12|g\nvalvecove.leases:7|g|#state:held\nvalvecove.leases:8|g|#state:granted\n" +
		"valvecove.leases:9|g|#state:waiting\n"
	want := "valvecove.peer_datagrams:5|c|#direction:sent\nvalvecove.peer_datagrams:4|c|#direction:received\n" +
		"valvecove.peer_bytes:400|c|#direction:sent\nvalvecove.peer_bytes:300|c|#direction:received\n" +
		"valvecove.peer_dropped:1|c|#reason:too_long\nvalvecove.peer_dropped:2|c|#reason:unknown_sender\n" +
		"valvecove.peer_dropped:3|c|#reason:duplicate\nvalvecove.peer_dropped:4|c|#reason:outdated\n" +
		"valvecove.peer_dropped:5|c|#reason:overflow\nvalvecove.peer_dropped:6|c|#reason:unsent\n" + gauges
	if f.flush(); f.target.text() != want {
		t.Errorf("sent %q, expected %q", f.target.text(), want)
	}
	counts.Sent += 2
	if f.flush(); f.target.text() != "valvecove.peer_datagrams:2|c|#direction:sent\n"+gauges {
		t.Errorf("after two more datagrams: sent %q", f.target.text())
	}
	counts.Enabled = false
	if f.flush(); f.target.text() != "" {
		t.Errorf("sent %q although no messages are exchanged", f.target.text())
	}
}
