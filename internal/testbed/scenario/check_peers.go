package scenario

// checkPeers checks the settings of the datagrams between schedulers.
func (s *Scenario) checkPeers(check *validator) {
	peers := &s.Peers
	check.inRange("peers.price", peers.Price, 0, 1)
	check.durationInRange("peers.delay", peers.Delay, 0, maxNetworkDelay)
	check.durationInRange("peers.delay_max", peers.DelayMax, 0, maxNetworkDelay)
	for _, share := range []struct {
		key   string
		value float64
	}{
		{"peers.loss", peers.Loss},
		{"peers.duplicate", peers.Duplicate},
		{"peers.reorder", peers.Reorder},
		{"peers.torn", peers.Torn},
		{"peers.forged", peers.Forged},
	} {
		check.inRange(share.key, share.value, 0, 1)
	}
	if peers.Lie != "" || len(peers.Liars) > 0 {
		check.oneOf("peers.lie", peers.Lie, LieFull, LieSameWorker)
	}
	checkIndexes(check, "peers.liars", "schedulers", peers.Liars, s.Schedulers.Count)
	if peers.On && s.Planners.Count > 0 {
		check.report("peers.on", "expected false with planners: forwarders don't lease slots")
	}
}
