package scenario

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"valvecove/internal/storedform"
)

// The golden files were written by the build of d2a7518. Scenarios are kept and go from one build's lab to another's: the
// files are never regenerated except under a new form number.
const (
	goldenVirtual = "scenario-virtual-1.toml" // every key that a run in simulated time may have
	goldenLive    = "scenario-live-1.toml"    // those that are live only, and a closed load
	goldenLoad    = "scenario-load-1.toml"    // a load by its share of the capacity
)

var goldenScenarios = []string{goldenVirtual, goldenLive, goldenLoad}

func goldenScenario(t *testing.T, name string) *Scenario {
	t.Helper()
	s, err := Parse("golden", storedform.Golden(t, name))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestGoldenScenariosAreWrittenToTheSameBytes(t *testing.T) {
	for _, name := range goldenScenarios {
		storedform.CheckGolden(t, name, Encode(goldenScenario(t, name)))
	}
}

// What is read is what the keys say, at least one of each table.
func TestGoldenScenariosAreRead(t *testing.T) {
	s := goldenScenario(t, goldenVirtual)
	kind, class, fault := s.Fleet.Kinds[0], s.Classes[0], s.Faults[0]
	if s.Name != "every-key-virtual" || s.Seed != 41 || s.Settle != Duration(17500*time.Millisecond) || s.Fleet.CellSize != 3 ||
		kind.WarmUpBy != "work" || !kind.OmitsStartNotifications || !kind.CancellationStops || kind.HealthCheckWork != 60*microsecond || class.CV != 1.5 ||
		class.Deadline != 4*second || !slices.Equal(class.Slots, []float64{0.5, 0.25, 0.125, 0.125}) || s.Tenants[0].Usage != 1.5 ||
		s.Load.Rate != 35.5 || s.Load.HintFactor != 4 || !s.Clients.MarkRetry || s.Network.DropsIdleAfter != 20*second ||
		s.Discovery.Capacity != 5000 || s.LoadBalancer.NoticeDelay != 1500*millisecond || s.Schedulers.AttemptLimit != 4 || s.Schedulers.HealthChecks ||
		s.Planners.Drops != 50*second || s.Rules.OverloadFactor != 2.5 || fault.Size != 3.5 || fault.Spread != second ||
		!slices.Equal(fault.Target.Cells, []int{0, 1}) || fault.Target.Share != 0.5 || s.Faults[1].And != "discovery" ||
		s.Faults[4].Target.Class != "quote" || len(s.Expect) != 3 {
		t.Errorf("read %+v", s)
	}
	s = goldenScenario(t, goldenLive)
	if s.Load.ClosedClients != 25 || s.Load.CapacityShare != 0 || !reflect.DeepEqual(s.Misbehaving, []MisbehavingClients{{"slow_head", 2.5, 3 * second, 9 * second}}) ||
		!strings.HasPrefix(s.Schedulers.OperationsFile, "[log]\nformat = \"json\"\n") {
		t.Errorf("read %+v", s)
	}
	if s = goldenScenario(t, goldenLoad); s.Load.CapacityShare != 0.85 {
		t.Errorf("read %+v", s)
	}
}

// The golden files have every key that there is, and no other.
func TestGoldenScenariosHaveEveryKey(t *testing.T) {
	found := map[string]bool{}
	for _, name := range goldenScenarios {
		var table map[string]any
		if _, err := toml.Decode(string(storedform.Golden(t, name)), &table); err != nil {
			t.Fatal(err)
		}
		gatherKeys("", table, found)
	}
	for _, key := range allKeys("", reflect.TypeFor[Scenario]()) {
		if !found[key] {
			t.Errorf("no golden file has %s", key)
		}
		delete(found, key)
	}
	if len(found) > 0 {
		t.Errorf("keys that there are not: %v", found)
	}
}

func gatherKeys(under string, value any, found map[string]bool) {
	switch value := value.(type) {
	case map[string]any:
		for name, inner := range value {
			gatherKeys(strings.TrimPrefix(under+"."+name, "."), inner, found)
		}
	case []map[string]any:
		for _, inner := range value {
			gatherKeys(under, inner, found)
		}
	default:
		found[under] = true
	}
}

func allKeys(under string, table reflect.Type) (keys []string) {
	for i := range table.NumField() {
		field := table.Field(i)
		key, inner := strings.TrimPrefix(under+"."+field.Tag.Get("toml"), "."), field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			keys = append(keys, allKeys(key, inner)...)
		} else {
			keys = append(keys, key)
		}
	}
	return keys
}

// Each key stands in a tag: none follows from its Go field, which a rename would change.
func TestScenarioIsTagged(t *testing.T) { storedform.CheckTagsBy(t, "toml", Scenario{}) }
