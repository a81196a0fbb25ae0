// Package scenarios is the library of plays that the lab comes with: calm and busy days, every line of the incident
// record, the troubles of worker nodes, network, discovery, schedulers and clients one by one and overlapping, and
// fleets of 100 to 10,000 worker nodes. Package scenario says what the files mean.
package scenarios

import (
	"embed"
	"fmt"
	"io/fs"
	"strings"

	"valvecove/internal/testbed/scenario"
)

// Library is the files, each named for its scenario.
//
//go:embed *.toml
var Library embed.FS

const suffix = ".toml"

// Names are the names of the library's scenarios, in order.
func Names() []string {
	entries, err := Library.ReadDir(".")
	if err != nil {
		panic(err) // it is part of the program
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = strings.TrimSuffix(e.Name(), suffix)
	}
	return names
}

// Open reads one of them. The error of one that there is not satisfies errors.Is(err, fs.ErrNotExist).
func Open(name string) (*scenario.Scenario, error) {
	text, err := Library.ReadFile(name + suffix)
	if err != nil {
		return nil, fmt.Errorf("scenario %q is not in the library: %w", name, fs.ErrNotExist)
	}
	s, err := scenario.Parse(name, text)
	if err != nil {
		return nil, fmt.Errorf("%s%s: %w", name, suffix, err)
	}
	return s, nil
}
