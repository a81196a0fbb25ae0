package validator

import (
	"strings"

	"valvecove/dispatch"
)

func (r *scriptRunner) set(name string, words []string) {
	switch name {
	case "attempt-limit":
		r.settings.AttemptLimit = r.int(words[0])
	case "hedging":
		r.settings.Hedging = true
	case "cancellation":
		r.settings.Cancellation = true
	case "health-checks":
		r.settings.HealthChecks = true
	case "class":
		r.settings.Classes = append(r.settings.Classes, r.class(words))
	default:
		r.t.Fatalf("unknown setting %q", name)
	}
}

var idempotencies = map[string]dispatch.Idempotency{
	"non-idempotent":      dispatch.NonIdempotent,
	"idempotent-with-key": dispatch.IdempotentWithKey,
	"idempotent":          dispatch.Idempotent,
}

var deduplicationScopes = map[string]dispatch.DeduplicationScope{
	"cell": dispatch.ScopeCell,
	"zone": dispatch.ScopeZone,
	"all":  dispatch.ScopeAll,
}

// class parses "IDEMPOTENCY [SCOPE] [kind=N] [window=DURATION]".
func (r *scriptRunner) class(words []string) dispatch.Class {
	idempotency, ok := idempotencies[words[0]]
	if !ok {
		r.t.Fatalf("unknown idempotency %q", words[0])
	}
	class := dispatch.Class{Idempotency: idempotency}
	for _, word := range words[1:] {
		switch name, value, _ := strings.Cut(word, "="); name {
		case "kind":
			class.Kinds = append(class.Kinds, r.int(value))
		case "window":
			class.DeduplicationWindow = r.duration(value)
		default:
			class.DeduplicationScope = deduplicationScopes[word]
		}
	}
	return class
}
