package config

// readRules reads the section rules: how discovery and workers behave.
func (d *settingsDecoder) readRules() {
	settings := &d.settings
	d.object(fields{
		"ask_every":       func() { settings.PollInterval = d.duration() },
		"cold":            func() { settings.WarmUp = d.duration() },
		"cold_from":       func() { settings.WarmUpCapacity = d.number() },
		"overload_factor": func() { settings.OverloadFactor = d.number() },
		"fall":            func() { settings.OverloadWindow = d.duration() },
	})
}
