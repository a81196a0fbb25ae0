package experiment

import (
	"fmt"
	"strings"

	"valvecove/internal/testbed/scenario"
)

// ApplyChanges returns a scenario with changes made to it, each "key=value". It leaves the given one as it is, and returns
// that itself if there are no changes.
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

// splitChange splits a change at its first equals sign, which has something on both sides.
func splitChange(change string) (key, value string, ok bool) {
	key, value, ok = strings.Cut(change, "=")
	if !ok {
		return "", "", false
	}
	return key, value, key != "" && value != ""
}
