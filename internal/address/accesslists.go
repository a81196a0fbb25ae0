package address

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"

	"valvecove/internal/config"
)

// AccessLists are the operators' lists of addresses. They don't change, and may be used by several goroutines.
type AccessLists struct {
	lists config.Addresses
}

// New returns the lists of a configuration.
func New(lists config.Addresses) *AccessLists { return &AccessLists{lists} }

// RejectionReason names the list by which an address may not connect. It is empty if the address may.
func (l *AccessLists) RejectionReason(address netip.Addr) string {
	switch {
	case contains(l.lists.Deny, address):
		return "in addresses.deny"
	case len(l.lists.Allow) > 0 && !contains(l.lists.Allow, address):
		return "not in addresses.allow"
	}
	return ""
}

// Admits reports whether an address may connect. A rejection is logged.
func (l *AccessLists) Admits(from netip.AddrPort, log *slog.Logger) bool {
	reason := l.RejectionReason(from.Addr())
	if reason == "" {
		return true
	}
	LogRejection(log, from, reason)
	return false
}

// LogRejection logs that a connection was rejected for a reason that RejectionReason returned.
func LogRejection(log *slog.Logger, from netip.AddrPort, reason string) {
	if log.Enabled(context.Background(), slog.LevelWarn) {
		log.LogAttrs(context.Background(), slog.LevelWarn, "connection rejected", slog.String("reason", reason),
			slog.String("client", from.String()))
	}
}

// TrustsProxy reports whether an address may send a PROXY header.
func (l *AccessLists) TrustsProxy(address netip.Addr) bool {
	return contains(l.lists.TrustedProxies, address)
}

// contains takes IPv4 written as IPv6 for IPv4, and disregards the zone, which names an interface of this machine.
func contains(prefixes []netip.Prefix, address netip.Addr) bool {
	address = address.Unmap().WithZone("")
	return slices.ContainsFunc(prefixes, func(prefix netip.Prefix) bool { return prefix.Contains(address) })
}
