// Package scenarios is the testbed's library of scenarios: ordinary days, every kind of incident on record, faults of
// workers, network, discovery, schedulers and clients, alone and overlapping, and fleets of 100 to 10,000 workers.
// It owns the files and opens them by name. Package scenario defines their format.
package scenarios

import (
	"embed"
	"fmt"
	"io/fs"
	"strings"

	"valvecove/internal/testbed/scenario"
)

// Library holds the files. Each is named after its scenario.
//
//go:embed *.toml
var Library embed.FS

const fileSuffix = ".toml"

// Names returns the names of the library's scenarios, sorted.
func Names() []string {
	entries, err := Library.ReadDir(".")
	if err != nil {
		panic(err) // the root of an embedded file system can always be read
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = strings.TrimSuffix(entry.Name(), fileSuffix)
	}
	return names
}

// Open reads a scenario of the library. The error for an unknown name satisfies errors.Is(err, fs.ErrNotExist).
func Open(name string) (*scenario.Scenario, error) {
	text, err := Library.ReadFile(name + fileSuffix)
	if err != nil {
		return nil, fmt.Errorf("scenario %q is not in the library: %w", name, fs.ErrNotExist)
	}
	spec, err := scenario.Parse(name, text)
	if err != nil {
		return nil, fmt.Errorf("%s%s: %w", name, fileSuffix, err)
	}
	return spec, nil
}
