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

// Every file is sound, says what it is about, and reads back as it is written. Together they hold
// each kind of fault and of bad client, each shape of load, and the fleets.
func TestLibrary(t *testing.T) {
	names, about, has := map[string]bool{}, map[string]string{}, map[string]bool{}
	for _, file := range Names() {
		s, err := Open(file)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.Name != file || names[s.Name] {
			t.Errorf("%s is named %q, which has to be the file's own", file, s.Name)
		}
		if names[s.Name] = true; !strings.HasSuffix(s.Description, ".") || about[s.Description] != "" {
			t.Errorf("%s has no sentence of its own: %q", file, s.Description)
		}
		if about[s.Description] = file; len(s.Expectations()) != len(s.Expect) {
			t.Errorf("%s expects %q", file, s.Expect)
		}
		if again, err := scenario.Parse("x", scenario.Encode(s)); err != nil || !reflect.DeepEqual(again, s) {
			t.Errorf("%s does not read back as written: %v", file, err)
		}
		has[s.Load.Shape] = true
		for _, f := range s.Faults {
			has[f.Kind] = true
		}
		for _, b := range s.Misbehaving {
			has[b.Kind] = true
		}
		has[strconv.Itoa(s.Fleet.Workers)] = true
	}
	wanted := append(slices.Clone(scenario.MisbehaviorKinds), "steady", "bursty", "swell", "month_start", "100", "1000", "10000")
	for what := range scenario.FaultKinds {
		wanted = append(wanted, what)
	}
	for _, what := range wanted {
		if !has[what] {
			t.Errorf("the library has no %s", what)
		}
	}
	if _, err := Open("no_such"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a scenario that there is not: %v", err)
	}
}
