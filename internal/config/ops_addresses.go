package config

import "net/netip"

// Addresses configures which clients may connect, and which load balancers may report a client's address.
type Addresses struct {
	Allow          []netip.Prefix // empty: all
	Deny           []netip.Prefix // takes precedence over Allow
	TrustedProxies []netip.Prefix // load balancers that may send a PROXY header
}

// decodeAddresses decodes the section addresses.
func decodeAddresses(section *table) Addresses {
	return Addresses{
		Allow:          section.prefixes("allow"),
		Deny:           section.prefixes("deny"),
		TrustedProxies: section.prefixes("trusted_fronts"),
	}
}
