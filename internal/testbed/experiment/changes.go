package experiment

import (
	"fmt"
	"strings"

	"valvecove/internal/testbed/scenario"
)

// ApplyChanges returns a copy of a scenario with changes made to it, each "key=value". Without changes it returns the given
// scenario itself.
func ApplyChanges(spec *scenario.Scenario, changes []string) (*scenario.Scenario, error) {
	if len(changes) == 0 {
		return spec, nil
	}
	spec = spec.Clone()
	for _, change := range changes {
		key, value, ok := splitChange(change)
		if !ok {
			return nil, fmt.Errorf("%q: expected key=value", change)
		}
		if err := spec.Set(key, value); err != nil {
			return nil, fmt.Errorf("%q: %w", change, err)
		}
	}
	return spec, nil
}

// splitChange splits a change at its first equals sign. The key and the value must not be empty.
func splitChange(change string) (key, value string, ok bool) {
	key, value, ok = strings.Cut(change, "=")
	if !ok {
		return "", "", false
	}
	return key, value, key != "" && value != ""
}
