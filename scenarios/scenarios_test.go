package scenarios

import (
	"errors"
	"io/fs"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"valvecove/internal/testbed/scenario"
)

// openAll opens the whole library.
func openAll(t *testing.T) map[string]*scenario.Scenario {
	t.Helper()
	specs := map[string]*scenario.Scenario{}
	for _, name := range Names() {
		spec, err := Open(name)
		if err != nil {
			t.Fatal(err)
		}
		specs[name] = spec
	}
	return specs
}

// The name of each file is that of its scenario. The scenario has expectations and a description that no other has, and reads
// back as it is written.
func TestLibraryFiles(t *testing.T) {
	fileOfDescription := map[string]string{}
	for file, spec := range openAll(t) {
		if spec.Name != file {
			t.Errorf("%s: the scenario's name is %q, not the file's", file, spec.Name)
		}
		if !strings.HasSuffix(spec.Description, ".") || fileOfDescription[spec.Description] != "" {
			t.Errorf("%s: the description is no sentence, or another scenario has it too: %q", file, spec.Description)
		}
		fileOfDescription[spec.Description] = file
		if len(spec.Expectations()) != len(spec.Expect) {
			t.Errorf("%s: an expectation of %q was not parsed", file, spec.Expect)
		}
		again, err := scenario.Parse("x", scenario.Encode(spec))
		if err != nil || !reflect.DeepEqual(again, spec) {
			t.Errorf("%s does not read back as written: %v", file, err)
		}
	}
}

// The library has each kind of fault and of misbehaving client, each shape of load, and fleets of 100, 1,000 and 10,000 workers.
func TestLibraryIsComplete(t *testing.T) {
	has := map[string]bool{}
	for _, spec := range openAll(t) {
		has[spec.Load.Shape] = true
		has[strconv.Itoa(spec.Fleet.Workers)] = true
		for _, fault := range spec.Faults {
			has[fault.Kind] = true
		}
		for _, client := range spec.Misbehaving {
			has[client.Kind] = true
		}
	}
	required := append(slices.Clone(scenario.MisbehaviorKinds), "steady", "bursty", "swell", "month_start", "100", "1000", "10000")
	for kind := range scenario.FaultKinds {
		required = append(required, kind)
	}
	for _, what := range required {
		if !has[what] {
			t.Errorf("no scenario of the library has %s", what)
		}
	}
}

func TestOpenUnknownScenario(t *testing.T) {
	if _, err := Open("no_such"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("got %v, expected fs.ErrNotExist", err)
	}
}
