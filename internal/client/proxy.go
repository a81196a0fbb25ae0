package client

import (
	"errors"
	"log/slog"
	"net/netip"

	"valvecove/internal/address"
)

// Reasons to close a connection because of its PROXY header.
var (
	errUntrustedProxy    = errors.New("PROXY header from an address that is not trusted")
	errSecondProxyHeader = errors.New("more than one PROXY header")
)

// readProxyHeader consumes a PROXY header at the start of the connection, if there is one, and reports whether requests may be
// read. A malformed header, or one from an untrusted address, ends the connection; nothing is written.
func (c *connection) readProxyHeader() bool {
	for !c.proxyHeaderDone {
		client, size, err := address.ParseHeader(c.Input())
		isTrusted := !c.proxyAddress.IsValid() && c.listener.accessLists.TrustsProxy(c.clientAddress.Addr())
		switch {
		case errors.Is(err, address.ErrNoHeader):
			c.proxyHeaderDone = true
		case errors.Is(err, address.ErrUndecided), isTrusted && errors.Is(err, address.ErrIncomplete):
			return false
		case !isTrusted || err != nil:
			c.closeForProxyHeader(err)
			return false
		default:
			c.Consume(size)
			c.setProxiedClient(client)
			if len(c.Input()) == 0 {
				return false
			}
		}
	}
	return true
}

// setProxiedClient records that the peer is a proxy, and the client that its header names. The header of a connection that the
// proxy has opened for itself names none.
func (c *connection) setProxiedClient(client netip.AddrPort) {
	c.proxyAddress = c.clientAddress
	if client.IsValid() {
		c.clientAddress = client
	}
}

// closeForProxyHeader ends the connection because its header is not allowed, or is malformed according to parseError.
func (c *connection) closeForProxyHeader(parseError error) {
	reason := parseError
	if parseError == nil || errors.Is(parseError, address.ErrIncomplete) {
		reason = errUntrustedProxy
	}
	if c.proxyAddress.IsValid() {
		reason = errSecondProxyHeader
	}
	if c.isLogEnabled(slog.LevelWarn) {
		c.logEvent(slog.LevelWarn, "client connection closed", slog.String("reason", reason.Error()))
	}
	c.terminate()
}
