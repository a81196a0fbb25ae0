package link

import (
	"context"
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

// admitAddress reports whether a new connection may go on. It closes the socket, unread, of an address that may not connect.
func (l *Loop) admitAddress(socket int, from netip.AddrPort) bool {
	if l.isAllowed(from) {
		return true
	}
	_ = l.Syscalls().Close(socket)
	return false
}

// isAllowed reports whether an address may connect, and logs one that may not.
func (l *Loop) isAllowed(from netip.AddrPort) bool {
	if l.addressLists == nil {
		return true
	}
	reason := l.addressLists.RejectionReason(from.Addr())
	if reason == "" {
		return true
	}
	if l.connectionLog.Enabled(context.Background(), slog.LevelWarn) {
		l.connectionLog.LogAttrs(context.Background(), slog.LevelWarn, "connection refused", slog.String("why", reason),
			slog.String("client", from.String()))
	}
	return false
}

// readProxyHeader takes a PROXY header that comes first, if one does, and reports whether requests may be read. A header that
// may not be sent, or makes no sense, ends the connection, and nothing is written.
func (c *clientConnection) readProxyHeader() bool {
	for !c.proxyHeaderDone {
		client, size, err := address.ParseHeader(c.Input())
		isTrusted := !c.proxyAddress.IsValid() && c.loop().addressLists.TrustsProxy(c.clientAddress.Addr())
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
func (c *clientConnection) setProxiedClient(client netip.AddrPort) {
	c.proxyAddress = c.clientAddress
	if client.IsValid() {
		c.clientAddress = client
	}
}

// closeForProxyHeader ends the connection for a header that may not be sent, or, by the parser's error, makes no sense.
func (c *clientConnection) closeForProxyHeader(parseError error) {
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
