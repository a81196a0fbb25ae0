package platform

import (
	"testing"

	"valvecove/internal/config"
	"valvecove/internal/requests"
	"valvecove/internal/storedform"
	"valvecove/internal/testbed/scenario"
)

// goldenConfig was written by the build of commit d2a7518. It must not be regenerated; a new form of the configuration
// gets a new number and a new file.
const goldenConfig = "config-1.json"

// goldenScenario gives each part of the configuration a value.
func goldenScenario() (*scenario.Scenario, Options) {
	spec := testScenario()
	spec.Clients.MarkRetry = true
	return spec, Options{
		Name: "s1", Listen: "127.0.0.1:9000", Discovery: "127.0.0.1:8500", Seed: 0xfe,
		KnownEndpoints: requests.EndpointList{Revision: 4, Reset: true, Endpoints: []requests.Endpoint{{
			ID: "w-1", Addr: "127.0.0.2:1", Zone: "b",
			MachineType: "slow-4c", Cell: 1, Lifecycle: "up", Weight: 0.5, StartedAtMs: 1718000000123,
		}}},
	}
}

func TestConfigGoldenBytes(t *testing.T) {
	spec, options := goldenScenario()
	storedform.CheckGolden(t, goldenConfig, Config(spec, 1, options))
}

func TestConfigGoldenIsRead(t *testing.T) {
	decoded, err := config.Decode(storedform.Golden(t, goldenConfig), environment)
	if err != nil {
		t.Fatal(err)
	}
	spec, options := goldenScenario()
	settings, err := Settings(spec, 1)
	if err != nil {
		t.Fatal(err)
	}
	checkFields(t, []field{
		{"name", decoded.Name, "s1"},
		{"seed", decoded.Seed, uint64(0xfe)},
		{"port", decoded.Listen.Port(), uint16(9000)},
		{"known endpoints", decoded.KnownEndpoints, options.KnownEndpoints},
		{"settings", decoded.Settings, settings},
	})
}

// Every field of the configuration has a tag with its name in JSON.
func TestConfigurationIsTagged(t *testing.T) { storedform.CheckTags(t, configuration{}) }
