package config

import (
	"fmt"
	"maps"
	"slices"

	jsoniter "github.com/json-iterator/go"
)

// Replay configures the replay of a capture, and nothing else.
type Replay struct {
	settings map[string]any // in place of recorded ones, by their names
}

func decodeReplay(section *table) Replay {
	settings := section.table("settings")
	if settings == nil {
		return Replay{}
	}
	return Replay{settings: settings.keys}
}

// exactJSON keeps numbers as they are written, and writes keys in one order: the first error of a text is reported.
var exactJSON = jsoniter.Config{UseNumber: true, SortMapKeys: true}.Froze()

// override replaces values in the text of recorded settings. path is where the replacements stand.
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

// overrideValue returns the replacement of a recorded value. A table replaces only what it names: the keys of an object,
// or the elements of a list by their key name. Recorded objects and lists are changed in place.
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

// overrideKey replaces what the last element of the path names within a recorded value, if it is there.
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
