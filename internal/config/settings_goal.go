package config

// readGoal reads the section goal: what the service level is measured by.
func (d *settingsDecoder) readGoal() {
	settings := &d.settings
	d.object(fields{
		"tail_part":    func() { settings.TailShare = d.number() },
		"borne_misses": func() { settings.MissBudget = d.number() },
	})
}
