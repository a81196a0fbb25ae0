package metrics

import "valvecove/dispatch"

// PeerCounts are the figures of what schedulers tell each other. Datagrams and bytes count from the start of the process.
type PeerCounts struct {
	Enabled                 bool // else there are no figures
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	Dropped                 [len(dropReasons)]uint64 // by reason
	Leases                  dispatch.LeaseCounts
	BudgetPercent           int // share that is spent of what messages may cost, in percent
}

// DropReason says why a datagram, or a message, was dropped.
type DropReason int

// The reasons.
const (
	DropMalformed     DropReason = iota // a header, checksum, version or content that is wrong
	DropTooLong                         // over 256 bytes
	DropUnknownSender                   // from an address that is no peer's
	DropDuplicate                       // repeated, or too late
	DropOutdated                        // from an earlier process
	DropOverflow                        // messages of our own, as too many waited to be sent
	DropUnsent                          // datagrams of our own that could not be sent
)

// dropReasons are the names of the reasons.
var dropReasons = [...]string{
	DropMalformed:     "malformed",
	DropTooLong:       "too_long",
	DropUnknownSender: "unknown_sender",
	DropDuplicate:     "duplicate",
	DropOutdated:      "outdated",
	DropOverflow:      "overflow",
	DropUnsent:        "unsent",
}

// appendPeerCounts appends the lines of the operators' metrics call.
func appendPeerCounts(dst []byte, counts PeerCounts) []byte {
	if !counts.Enabled {
		return dst
	}
	dst = appendFigure(dst, "peer_datagrams_sent", counts.Sent)
	dst = appendFigure(dst, "peer_bytes_sent", counts.SentBytes)
	dst = appendFigure(dst, "peer_datagrams_received", counts.Received)
	dst = appendFigure(dst, "peer_bytes_received", counts.ReceivedBytes)
	for reason, name := range dropReasons {
		dst = append(dst, namePrefix...)
		dst = append(dst, "peer_dropped."...)
		dst = append(dst, name...)
		dst = appendValue(dst, counts.Dropped[reason])
	}
	dst = appendFigure(dst, "peer_budget_percent", uint64(counts.BudgetPercent))
	dst = appendFigure(dst, "leases_held", uint64(counts.Leases.Held))
	dst = appendFigure(dst, "leases_granted", uint64(counts.Leases.Granted))
	return appendFigure(dst, "lease_requests_waiting", uint64(counts.Leases.Waiting))
}

// gatherPeerCounts writes what was counted since the last call, and the gauges as they are now.
func (e *Exporter) gatherPeerCounts() {
	if e.PeerCounts == nil {
		return
	}
	counts, exported := e.PeerCounts(), &e.exportedPeers
	if !counts.Enabled {
		return
	}
	sent, received := []tag{{"direction", "sent"}}, []tag{{"direction", "received"}}
	e.addCounter("peer_datagrams", counts.Sent-exported.Sent, sent)
	e.addCounter("peer_datagrams", counts.Received-exported.Received, received)
	e.addCounter("peer_bytes", counts.SentBytes-exported.SentBytes, sent)
	e.addCounter("peer_bytes", counts.ReceivedBytes-exported.ReceivedBytes, received)
	for reason, name := range dropReasons {
		e.addCounter("peer_dropped", counts.Dropped[reason]-exported.Dropped[reason], []tag{{"reason", name}})
	}
	e.addGauge("peer_budget_percent", counts.BudgetPercent, nil)
	e.addGauge("leases", counts.Leases.Held, []tag{{"state", "held"}})
	e.addGauge("leases", counts.Leases.Granted, []tag{{"state", "granted"}})
	e.addGauge("leases", counts.Leases.Waiting, []tag{{"state", "waiting"}})
	*exported = counts
}
