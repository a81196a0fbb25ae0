package client

import (
	"context"
	"log/slog"
)

// LogAttributes returns the addresses of the connection's client and proxy, for log lines about the connection. Without access
// lists there are none.
func (c *connection) LogAttributes() []slog.Attr {
	if c.listener.accessLists == nil {
		return nil
	}
	attrs := []slog.Attr{slog.String("client", c.clientAddress.String())}
	if c.proxyAddress.IsValid() {
		attrs = append(attrs, slog.String("via", c.proxyAddress.String()))
	}
	return attrs
}

// isLogEnabled reports whether events of the connection and its requests are logged: with access lists, unless the level is off
// or the logger's rate limit is exceeded. Callers check it before they build attributes.
func (c *connection) isLogEnabled(level slog.Level) bool {
	return c.listener.accessLists != nil && c.listener.connectionLog.Enabled(context.Background(), level)
}

// logEvent logs an event of the connection, with LogAttributes last.
func (c *connection) logEvent(level slog.Level, event string, attrs ...slog.Attr) {
	c.listener.connectionLog.LogAttrs(context.Background(), level, event, append(attrs, c.LogAttributes()...)...)
}
