package config

import "valvecove/dispatch"

// idempotencies are the values of the key idempotency. Any other stands for the strictest, dispatch.NonIdempotent.
var idempotencies = map[string]dispatch.Idempotency{
	"pure":  dispatch.Idempotent,
	"token": dispatch.IdempotentWithKey,
}

// deduplicationScopes are the values of the key dedup_scope. Any other stands for the narrowest, dispatch.ScopeCell.
var deduplicationScopes = map[string]dispatch.DeduplicationScope{
	"zone": dispatch.ScopeZone,
	"all":  dispatch.ScopeAll,
}

// readClass reads one element of the section classes.
func (d *settingsDecoder) readClass(index int) {
	var class dispatch.Class
	name := ""
	d.object(fields{
		"name":        func() { name = d.text() },
		"promise":     func() { class.LatencyObjective = d.duration() },
		"aim_stretch": func() { d.readExplicitStretch(index) },
		"give_up":     func() { class.ClientTimeout = d.duration() },
		"idempotency": func() { class.Idempotency = idempotencies[d.text()] },
		"dedup_scope": func() { class.DeduplicationScope = deduplicationScopes[d.text()] },
		"window":      func() { class.DeduplicationWindow = d.duration() },
		"late_share":  func() { class.LateValue = d.number() },
		"gain":        func() { class.PriorityWeight = d.number() },
		"bound_to":    func() { class.Kinds = d.integers() },
		"allowed_in":  func() { class.Zones = d.integers() },
	})
	d.settings.Classes = append(d.settings.Classes, class)
	d.settings.Names.Classes = append(d.settings.Names.Classes, name)
}

// readExplicitStretch reads the stretch that a class names itself. A class without one has that of the section domain.
func (d *settingsDecoder) readExplicitStretch(class int) {
	if !d.isPresent() {
		d.skip()
		return
	}
	if d.explicitStretch == nil {
		d.explicitStretch = map[int]float64{}
	}
	d.explicitStretch[class] = d.number()
}
