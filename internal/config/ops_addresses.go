package config

import "net/netip"

// Addresses configure who may connect, and who may speak for a client.
type Addresses struct {
	Allow          []netip.Prefix // empty: everyone
	Deny           []netip.Prefix // even if allowed
	TrustedProxies []netip.Prefix // may send a PROXY header
}

func decodeAddresses(section *table) Addresses {
	return Addresses{
		Allow:          section.prefixes("allow"),
		Deny:           section.prefixes("deny"),
		TrustedProxies: section.prefixes("trusted_fronts"),
	}
}
