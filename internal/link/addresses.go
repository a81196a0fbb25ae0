package link

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"

	"golang.org/x/sys/unix"

	"valvecove/internal/address"
)

// admits closes a connection, unread, whose own address may not connect.
func (l *Loop) admits(fd int, from netip.AddrPort) bool {
	if l.lists == nil {
		return true
	}
	why := l.lists.RejectionReason(from.Addr())
	if why == "" {
		return true
	}
	_ = unix.Close(fd)
	if l.linkLog.Enabled(context.Background(), slog.LevelWarn) {
		l.linkLog.LogAttrs(context.Background(), slog.LevelWarn, "connection refused", slog.String("why", why),
			slog.String("client", from.String()))
	}
	return false
}

// introduce tells whether requests may be read: it takes a PROXY header that comes first, if one does. One that may
// not be sent, or makes no sense, ends the link, and nothing is written.
func (k *clientLink) introduce() bool {
	for !k.introduced {
		client, n, err := address.ParseHeader(k.Input())
		trusted := !k.via.IsValid() && k.home.loop.lists.TrustsProxy(k.client.Addr())
		switch {
		case errors.Is(err, address.ErrNoHeader):
			k.introduced = true
		case errors.Is(err, address.ErrUndecided), trusted && errors.Is(err, address.ErrIncomplete):
			return false
		case !trusted || err != nil:
			if err == nil || errors.Is(err, address.ErrIncomplete) {
				err = errors.New("PROXY header from an address that is not trusted")
			}
			if k.via.IsValid() {
				err = errors.New("more than one PROXY header")
			}
			if k.tells(slog.LevelWarn) {
				k.tell(slog.LevelWarn, "link closed", slog.String("why", err.Error()))
			}
			k.end()
			return false
		default:
			k.Consume(n)
			if k.via = k.client; client.IsValid() {
				k.client = client
			}
			if len(k.Input()) == 0 {
				return false
			}
		}
	}
	return true
}

// LogAttributes says whom a line of the log is about.
func (k *clientLink) LogAttributes() []slog.Attr {
	if k.home.loop.lists == nil {
		return nil
	}
	attrs := []slog.Attr{slog.String("client", k.client.String())}
	if k.via.IsValid() {
		attrs = append(attrs, slog.String("via", k.via.String()))
	}
	return attrs
}

// tells is whether a line about the link or its query is to be written: where addresses are of interest, unless the
// level is off or too many have been written lately. What the line is made of is worth making only then.
func (k *clientLink) tells(level slog.Level) bool {
	return k.home.loop.lists != nil && k.home.loop.linkLog.Enabled(context.Background(), level)
}

// tell writes such a line.
func (k *clientLink) tell(level slog.Level, event string, attrs ...slog.Attr) {
	k.home.loop.linkLog.LogAttrs(context.Background(), level, event, append(attrs, k.LogAttributes()...)...)
}
