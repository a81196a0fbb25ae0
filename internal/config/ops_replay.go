package config

import (
	"fmt"
	"maps"
	"slices"

	jsoniter "github.com/json-iterator/go"
)

// Replay configures the replay of a capture. It has no effect on a scheduler.
type Replay struct {
	settings map[string]any // replacements of recorded settings, by key
}

// decodeReplay decodes the section replay.
func decodeReplay(section *table) Replay {
	settings := section.table("settings")
	if settings == nil {
		return Replay{}
	}
	return Replay{settings: settings.keys}
}

// exactJSON preserves the text of numbers, and sorts keys, so that the first error does not depend on the order of a map.
var exactJSON = jsoniter.Config{UseNumber: true, SortMapKeys: true}.Froze()

// override replaces values in the text of recorded settings. path is the path of the replacements in the operators' file.
func (r *Replay) override(recorded []byte, path []string) ([]byte, error) {
	var tree any
	if err := exactJSON.Unmarshal(recorded, &tree); err != nil {
		return nil, fmt.Errorf("recorded settings: %w", err)
	}
	tree, err := overrideValue(path, tree, r.settings)
	if err != nil {
		return nil, err
	}
	text, err := exactJSON.Marshal(tree)
	if err != nil {
		return nil, newKeyError(path, err)
	}
	return text, nil
}

// overrideValue returns the replacement of a recorded value. A table replaces only the values of its keys: those with the same
// keys in an object, or the elements of a list whose field "name" is the key. Recorded objects and lists are changed in place.
func overrideValue(path []string, recorded, replacement any) (any, error) {
	table, ok := replacement.(map[string]any)
	if !ok {
		return replacement, nil
	}
	for _, key := range slices.Sorted(maps.Keys(table)) {
		keyPath := append(slices.Clone(path), key)
		found, err := overrideKey(keyPath, recorded, table[key])
		if err != nil {
			return nil, err
		}
		if !found {
			return nil, newKeyError(keyPath, ErrNotRecorded)
		}
	}
	return recorded, nil
}

// overrideKey replaces the part of a recorded value whose key is the last element of the path, if there is one.
func overrideKey(path []string, recorded, replacement any) (found bool, err error) {
	name := path[len(path)-1]
	switch recorded := recorded.(type) {
	case map[string]any:
		if _, found = recorded[name]; found {
			recorded[name], err = overrideValue(path, recorded[name], replacement)
		}
	case []any:
		for i, element := range recorded {
			if fields, ok := element.(map[string]any); ok && fields["name"] == name {
				found = true
				recorded[i], err = overrideValue(path, element, replacement)
			}
		}
	}
	return found, err
}
