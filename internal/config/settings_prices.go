package config

// readPrices reads the section prices: what actions cost.
func (d *settingsDecoder) readPrices() {
	settings := &d.settings
	d.object(fields{
		"probe":      func() { settings.HealthCheckCost = d.number() },
		"cross_zone": func() { settings.CrossZoneCost = d.number() },
		"peer":       func() { settings.PeerCost = d.number() },
		"handshake":  func() { settings.HandshakeCost = d.number() },
	})
}
