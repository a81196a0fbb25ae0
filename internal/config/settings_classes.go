package config

import "valvecove/dispatch"

// idempotencies maps the values of the key idempotency. Any other value means the strictest one, dispatch.NonIdempotent.
var idempotencies = map[string]dispatch.Idempotency{
	"pure":  dispatch.Idempotent,
	"token": dispatch.IdempotentWithKey,
}

// deduplicationScopes maps the values of the key dedup_scope. Any other value means the narrowest one, dispatch.ScopeCell.
var deduplicationScopes = map[string]dispatch.DeduplicationScope{
	"zone": dispatch.ScopeZone,
	"all":  dispatch.ScopeAll,
}

// readClass reads one element of the section classes.
func (s *settingsDecoder) readClass(index int) {
	var class dispatch.Class
	name := ""
	s.object(fields{
		"name":        func() { name = s.text() },
		"promise":     func() { class.LatencyObjective = s.duration() },
		"aim_stretch": func() { s.readExplicitStretch(index) },
		"give_up":     func() { class.ClientTimeout = s.duration() },
		"idempotency": func() { class.Idempotency = idempotencies[s.text()] },
		"dedup_scope": func() { class.DeduplicationScope = deduplicationScopes[s.text()] },
		"window":      func() { class.DeduplicationWindow = s.duration() },
		"late_share":  func() { class.LateValue = s.number() },
		"gain":        func() { class.PriorityWeight = s.number() },
		"bound_to":    func() { class.Kinds = s.integers() },
		"allowed_in":  func() { class.Zones = s.integers() },
	})
	s.settings.Classes = append(s.settings.Classes, class)
	s.settings.Names.Classes = append(s.settings.Names.Classes, name)
}

// readExplicitStretch reads the stretch of a class, which takes precedence over that of the section domain.
func (s *settingsDecoder) readExplicitStretch(class int) {
	if !s.isPresent() {
		s.skip()
		return
	}
	if s.explicitStretch == nil {
		s.explicitStretch = map[int]float64{}
	}
	s.explicitStretch[class] = s.number()
}
