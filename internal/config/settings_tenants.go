package config

// readTenant reads one element of the section tenants.
func (s *settingsDecoder) readTenant(int) {
	name := ""
	quota := 0.0 // requests per second
	s.object(fields{
		"name":        func() { name = s.text() },
		"quota_per_s": func() { quota = s.number() },
	})
	s.settings.TenantQuota = append(s.settings.TenantQuota, quota)
	s.settings.Names.Tenants = append(s.settings.Names.Tenants, name)
}
