package address

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"

	"valvecove/internal/config"
)

// AccessLists contains the allow list, the deny list and the trusted proxies of the configuration. It is immutable, and safe
// for concurrent use.
type AccessLists struct {
	lists config.Addresses
}

// NewAccessLists returns the access lists of a configuration.
func NewAccessLists(lists config.Addresses) *AccessLists { return &AccessLists{lists} }

// RejectionReason returns which list prevents an address from connecting, or an empty string if the address may connect.
func (l *AccessLists) RejectionReason(address netip.Addr) string {
	switch {
	case contains(l.lists.Deny, address):
		return "in addresses.deny"
	case len(l.lists.Allow) > 0 && !contains(l.lists.Allow, address):
		return "not in addresses.allow"
	}
	return ""
}

// Admits reports whether an address may connect, and logs a rejection.
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

// contains reports whether one of the prefixes contains an address. IPv4-mapped IPv6 addresses are treated as IPv4. The zone, an
// interface of this machine, is ignored.
func contains(prefixes []netip.Prefix, address netip.Addr) bool {
	address = address.Unmap().WithZone("")
	return slices.ContainsFunc(prefixes, func(prefix netip.Prefix) bool { return prefix.Contains(address) })
}
