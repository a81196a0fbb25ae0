package config

// readRules reads the section rules: the behaviour of discovery and workers.
func (s *settingsDecoder) readRules() {
	settings := &s.settings
	s.object(fields{
		"ask_every":       func() { settings.PollInterval = s.duration() },
		"cold":            func() { settings.WarmUp = s.duration() },
		"cold_from":       func() { settings.WarmUpCapacity = s.number() },
		"overload_factor": func() { settings.OverloadFactor = s.number() },
		"fall":            func() { settings.OverloadWindow = s.duration() },
	})
}
