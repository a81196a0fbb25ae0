package config

// readBounds reads the section bounds: what the protocol allows and limits.
func (d *settingsDecoder) readBounds() {
	settings := &d.settings
	d.object(fields{
		"try_limit":       func() { settings.AttemptLimit = d.integer() },
		"second_copies":   func() { settings.Hedging = d.boolean() },
		"cancelling":      func() { settings.Cancellation = d.boolean() },
		"peers":           func() { settings.PeerMessages = d.boolean() },
		"probes":          func() { settings.HealthChecks = d.boolean() },
		"retry_after":     func() { d.sendRetryAfter = d.boolean() },
		"max_retry_after": func() { d.maxRetryAfter = d.duration() },
		"connect_timeout": func() { settings.ConnectTimeout = d.duration() },
		"conn_idle":       func() { settings.ConnIdleTimeout = d.duration() },
	})
}
