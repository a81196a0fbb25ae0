package config

// readBounds reads the section bounds: the permissions and limits of the protocol.
func (s *settingsDecoder) readBounds() {
	settings := &s.settings
	s.object(fields{
		"try_limit":       func() { settings.AttemptLimit = s.integer() },
		"second_copies":   func() { settings.Hedging = s.boolean() },
		"cancelling":      func() { settings.Cancellation = s.boolean() },
		"peers":           func() { settings.PeerMessages = s.boolean() },
		"probes":          func() { settings.HealthChecks = s.boolean() },
		"retry_after":     func() { s.sendRetryAfter = s.boolean() },
		"max_retry_after": func() { s.maxRetryAfter = s.duration() },
		"connect_timeout": func() { settings.ConnectTimeout = s.duration() },
		"conn_idle":       func() { settings.ConnIdleTimeout = s.duration() },
	})
}
