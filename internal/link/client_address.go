package link

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/address"
)

// isAddressAdmitted closes a connection, unread, whose own address may not connect.
func (l *Loop) isAddressAdmitted(fd int, from netip.AddrPort) bool {
	if l.addressLists == nil {
		return true
	}
	why := l.addressLists.RejectionReason(from.Addr())
	if why == "" {
		return true
	}
	_ = unix.Close(fd)
	if l.connectionLog.Enabled(context.Background(), slog.LevelWarn) {
		l.connectionLog.LogAttrs(context.Background(), slog.LevelWarn, "connection refused", slog.String("why", why),
			slog.String("client", from.String()))
	}
	return false
}

// readProxyHeader tells whether requests may be read: it takes a PROXY header that comes first, if one does. One that may
// not be sent, or makes no sense, ends the link, and nothing is written.
func (k *clientConnection) readProxyHeader() bool {
	for !k.proxyHeaderDone {
		client, n, err := address.ParseHeader(k.Input())
		trusted := !k.proxyAddress.IsValid() && k.listener.loop.addressLists.TrustsProxy(k.clientAddress.Addr())
		switch {
		case errors.Is(err, address.ErrNoHeader):
			k.proxyHeaderDone = true
		case errors.Is(err, address.ErrUndecided), trusted && errors.Is(err, address.ErrIncomplete):
			return false
		case !trusted || err != nil:
			if err == nil || errors.Is(err, address.ErrIncomplete) {
				err = errors.New("PROXY header from an address that is not trusted")
			}
			if k.proxyAddress.IsValid() {
				err = errors.New("more than one PROXY header")
			}
			if k.isLogEnabled(slog.LevelWarn) {
				k.logEvent(slog.LevelWarn, "link closed", slog.String("why", err.Error()))
			}
			k.terminate()
			return false
		default:
			k.Consume(n)
			if k.proxyAddress = k.clientAddress; client.IsValid() {
				k.clientAddress = client
			}
			if len(k.Input()) == 0 {
				return false
			}
		}
	}
	return true
}
