package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"
)

const fileExtension = ".toml"

// Open reads a scenario from a file. If the text has no name, the scenario is named after the file.
func Open(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	name := strings.TrimSuffix(filepath.Base(path), fileExtension)
	parsed, err := Parse(name, text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return parsed, nil
}

// Parse reads a scenario from its text, sets the defaults of absent keys and checks the whole. The given name is used if
// the text has none. The error joins a KeyError for each faulty key, unless the text is not valid TOML.
func Parse(name string, text []byte) (*Scenario, error) {
	parsed, err := read(name, text)
	if err != nil {
		return nil, err
	}
	if err := parsed.Check(); err != nil {
		return nil, err
	}
	return parsed, nil
}

// read is Parse without Check.
func read(name string, text []byte) (*Scenario, error) {
	var table map[string]any
	if _, err := toml.Decode(string(text), &table); err != nil {
		return nil, err
	}
	result := Default()
	result.Name = name
	d := newDecoder()
	d.decode("", table, reflect.ValueOf(result).Elem())
	if err := d.err(); err != nil {
		return nil, err
	}
	result.applyDerivedDefaults(func(key string) bool { return d.given[key] })
	return result, nil
}
