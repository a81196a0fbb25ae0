package link

import (
	"context"
	"log/slog"
)

// LogAttributes says whom a line of the log is about.
func (k *clientConnection) LogAttributes() []slog.Attr {
	if k.listener.loop.addressLists == nil {
		return nil
	}
	attrs := []slog.Attr{slog.String("client", k.clientAddress.String())}
	if k.proxyAddress.IsValid() {
		attrs = append(attrs, slog.String("via", k.proxyAddress.String()))
	}
	return attrs
}

// isLogEnabled is whether a line about the link or its query is to be written: where addresses are of interest, unless the
// level is off or too many have been written lately. What the line is made of is worth making only then.
func (k *clientConnection) isLogEnabled(level slog.Level) bool {
	return k.listener.loop.addressLists != nil && k.listener.loop.connectionLog.Enabled(context.Background(), level)
}

// logEvent writes such a line.
func (k *clientConnection) logEvent(level slog.Level, event string, attrs ...slog.Attr) {
	k.listener.loop.connectionLog.LogAttrs(context.Background(), level, event, append(attrs, k.LogAttributes()...)...)
}
