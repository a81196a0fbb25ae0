package config

// readTenant reads one element of the section tenants.
func (d *settingsDecoder) readTenant(int) {
	name, quota := "", 0.0
	d.object(fields{
		"name":        func() { name = d.text() },
		"quota_per_s": func() { quota = d.number() },
	})
	d.settings.TenantQuota = append(d.settings.TenantQuota, quota)
	d.settings.Names.Tenants = append(d.settings.Names.Tenants, name)
}
