package client

import (
	"context"
	"log/slog"
)

// LogAttributes says which client a line of the log is about.
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

// isLogEnabled reports whether a line about the connection or its requests is to be written: where addresses are of interest,
// unless the level is off or too many have been written lately. What the line is made of is worth making only then.
func (c *connection) isLogEnabled(level slog.Level) bool {
	return c.listener.accessLists != nil && c.listener.connectionLog.Enabled(context.Background(), level)
}

// logEvent writes such a line.
func (c *connection) logEvent(level slog.Level, event string, attrs ...slog.Attr) {
	c.listener.connectionLog.LogAttrs(context.Background(), level, event, append(attrs, c.LogAttributes()...)...)
}
