package config

// readGoal reads the section goal: the parameters of the service level.
func (s *settingsDecoder) readGoal() {
	settings := &s.settings
	s.object(fields{
		"tail_part":    func() { settings.TailShare = s.number() },
		"borne_misses": func() { settings.MissBudget = s.number() },
	})
}
