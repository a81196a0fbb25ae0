package client

import (
	"errors"
	"log/slog"
	"net/netip"

	"valvecove/internal/address"
)

// Why a connection is closed for its PROXY header.
var (
	errUntrustedProxy  = errors.New("PROXY header from an address that is not trusted")
	errSecondProxyLine = errors.New("more than one PROXY header")
)

// readProxyHeader takes a PROXY header that comes first, if one does, and reports whether requests may be read. A header that
// may not be sent, or makes no sense, ends the connection, and nothing is written.
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

// setProxiedClient takes in that the peer is a proxy, and whom it speaks for; of a proxy's own connection that is nobody.
func (c *connection) setProxiedClient(client netip.AddrPort) {
	c.proxyAddress = c.clientAddress
	if client.IsValid() {
		c.clientAddress = client
	}
}

// closeForProxyHeader ends the connection for a header that may not be sent, or, by the parser's error, makes no sense.
func (c *connection) closeForProxyHeader(parseError error) {
	reason := parseError
	if parseError == nil || errors.Is(parseError, address.ErrIncomplete) {
		reason = errUntrustedProxy
	}
	if c.proxyAddress.IsValid() {
		reason = errSecondProxyLine
	}
	if c.isLogEnabled(slog.LevelWarn) {
		c.logEvent(slog.LevelWarn, "client connection closed", slog.String("why", reason.Error()))
	}
	c.terminate()
}
