package platform

import (
	"reflect"
	"testing"

	"valvecove/internal/config"
	"valvecove/internal/requests"
	"valvecove/internal/storedform"
	"valvecove/internal/testbed/scenario"
)

// The golden file is what the testbed of d2a7518 told a scheduler by. It is never regenerated except under a new form number.
const goldenConfig = "config-1.json"

// goldenScenario gives each part of the configuration something to say.
func goldenScenario() (*scenario.Scenario, Options) {
	spec := scenario.Default()
	spec.Schedulers.Count, spec.Fleet.Zones = 3, []string{"a", "b"}
	spec.Classes[2].Kind = "slow-4c"
	spec.Clients.MarkRetry = true
	return spec, Options{
		Name: "s1", Listen: "127.0.0.1:9000", Discovery: "127.0.0.1:8500", Seed: 0xfe,
		KnownEndpoints: requests.EndpointList{Revision: 4, Reset: true, Endpoints: []requests.Endpoint{{
			ID: "w-1", Addr: "127.0.0.2:1", Zone: "b",
			MachineType: "slow-4c", Cell: 1, Lifecycle: "up", Weight: 0.5, StartedAtMs: 1718000000123,
		}}},
	}
}

func TestGoldenConfigIsWrittenToTheSameBytes(t *testing.T) {
	spec, options := goldenScenario()
	storedform.CheckGolden(t, goldenConfig, Config(spec, 1, options))
}

func TestGoldenConfigIsRead(t *testing.T) {
	c, err := config.Decode(storedform.Golden(t, goldenConfig), none)
	if err != nil {
		t.Fatal(err)
	}
	spec, options := goldenScenario()
	settings, err := Settings(spec, 1)
	if err != nil || c.Name != "s1" || c.Seed != 0xfe || c.Listen.Port() != 9000 || !reflect.DeepEqual(c.KnownEndpoints, options.KnownEndpoints) ||
		!reflect.DeepEqual(c.Settings, settings) {
		t.Errorf("read %+v, %v", c, err)
	}
}

// What the configuration's text calls its parts stands in tags.
func TestConfigurationIsTagged(t *testing.T) { storedform.CheckTags(t, configuration{}) }
