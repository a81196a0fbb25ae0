package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/scenario"
	"valvecove/scenarios"
)

// maxScenarioBytes is the maximum size of a scenario on standard input.
const maxScenarioBytes = 1 << 20

// openScenario reads a scenario: from standard input for -, from a file, or from the library.
func openScenario(name string, streams *standardStreams) (*scenario.Scenario, error) {
	switch {
	case name == "-":
		text, err := io.ReadAll(io.LimitReader(streams.stdin, maxScenarioBytes))
		if err != nil {
			return nil, err
		}
		return scenario.Parse("stdin", text)
	case strings.ContainsRune(name, os.PathSeparator) || strings.HasSuffix(name, ".toml"):
		return scenario.Open(name)
	}
	spec, err := scenarios.Open(name)
	if err == nil || slices.Contains(scenarios.Names(), name) {
		return spec, err
	}
	return nil, fmt.Errorf("the library has no scenario %q; see valvecove-testbed list", name)
}

// openScenarios reads several scenarios. Without names it returns those of the library that the driver supports.
func openScenarios(names []string, driver string, streams *standardStreams) ([]*scenario.Scenario, error) {
	wholeLibrary := len(names) == 0
	if wholeLibrary {
		names = scenarios.Names()
	}
	var specs []*scenario.Scenario
	for _, name := range names {
		spec, err := openScenario(name, streams)
		if err != nil {
			return nil, err
		}
		if spec.SupportsDriver(driver) {
			specs = append(specs, spec)
		} else if !wholeLibrary {
			return nil, fmt.Errorf("scenario %s does not support the %s driver", name, driver)
		}
	}
	return specs, nil
}

// openScaled reads scenarios and scales each to fleets of several sizes. Without names it reads "calm" and "busy".
func openScaled(names []string, sizes []int, jobs float64, streams *standardStreams) ([]*scenario.Scenario, error) {
	if len(names) == 0 {
		names = []string{"calm", "busy"}
	}
	unscaled, err := openScenarios(names, scenario.DriverSimulation, streams)
	if err != nil {
		return nil, err
	}
	var specs []*scenario.Scenario
	for _, spec := range unscaled {
		for _, workers := range sizes {
			scaled, err := experiment.ScaleFleet(spec, workers, jobs)
			if err != nil {
				return nil, err
			}
			specs = append(specs, scaled)
		}
	}
	return specs, nil
}
