package metrics

import "valvecove/dispatch"

// PeerCounts contains the counts of messages between schedulers. Datagrams and bytes are counted since the start of the process.
type PeerCounts struct {
	Enabled                 bool // false: no messages are exchanged, and all fields are 0
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	Dropped                 [len(dropReasons)]uint64 // by reason
	Leases                  dispatch.LeaseCounts
	BudgetPercent           int // used part of the budget for messages, in percent
}

// DropReason is the reason for dropping a datagram or a message.
type DropReason int

// Reasons for dropping a datagram or a message.
const (
	DropMalformed     DropReason = iota // invalid header, checksum, version or content
	DropTooLong                         // over 256 bytes
	DropUnknownSender                   // from an address that is not a peer's
	DropDuplicate                       // repeated, or too late
	DropOutdated                        // from an earlier process
	DropOverflow                        // messages that were not sent because too many were queued
	DropUnsent                          // datagrams that could not be sent
)

// dropReasons contains the names of the reasons.
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
	dst = appendLine(dst, "peer_datagrams_sent", counts.Sent)
	dst = appendLine(dst, "peer_bytes_sent", counts.SentBytes)
	dst = appendLine(dst, "peer_datagrams_received", counts.Received)
	dst = appendLine(dst, "peer_bytes_received", counts.ReceivedBytes)
	for reason, name := range dropReasons {
		dst = append(dst, namePrefix...)
		dst = append(dst, "peer_dropped."...)
		dst = append(dst, name...)
		dst = appendValue(dst, counts.Dropped[reason])
	}
	dst = appendLine(dst, "peer_budget_percent", uint64(counts.BudgetPercent))
	dst = appendLine(dst, "leases_held", uint64(counts.Leases.Held))
	dst = appendLine(dst, "leases_granted", uint64(counts.Leases.Granted))
	return appendLine(dst, "lease_requests_waiting", uint64(counts.Leases.Waiting))
}

// gatherPeerCounts writes the increases of the counters of messages between schedulers since the last Gather, and the current
// gauges.
func (e *Exporter) gatherPeerCounts() {
	if e.PeerCounts == nil {
		return
	}
	counts := e.PeerCounts()
	if !counts.Enabled {
		return
	}
	exported := &e.exportedPeers
	sent := []tag{{"direction", "sent"}}
	received := []tag{{"direction", "received"}}
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
