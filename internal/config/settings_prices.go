package config

// readPrices reads the section prices: the costs of actions.
func (s *settingsDecoder) readPrices() {
	settings := &s.settings
	s.object(fields{
		"probe":      func() { settings.HealthCheckCost = s.number() },
		"cross_zone": func() { settings.CrossZoneCost = s.number() },
		"peer":       func() { settings.PeerCost = s.number() },
		"handshake":  func() { settings.HandshakeCost = s.number() },
	})
}
