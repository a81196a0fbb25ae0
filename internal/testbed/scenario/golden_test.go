package scenario

import (
	"reflect"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"

	"valvecove/internal/storedform"
)

// The golden files were written by the build of commit d2a7518. Scenarios are stored, and other builds read them: the files
// are never regenerated, except under a new form number.
const (
	goldenSimulation = "scenario-virtual-1.toml" // every key that the simulation driver supports
	goldenProcess    = "scenario-live-1.toml"    // the keys for the process driver only, and a closed load
	goldenLoad       = "scenario-load-1.toml"    // a load by its share of the capacity
	goldenPeers      = "scenario-peers-1.toml"   // schedulers that send each other datagrams; of a later build
)

var goldenScenarios = []string{goldenSimulation, goldenProcess, goldenLoad, goldenPeers}

func goldenScenario(t *testing.T, name string) *Scenario {
	t.Helper()
	parsed, err := Parse("golden", storedform.Golden(t, name))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func TestEncodeGoldenBytes(t *testing.T) {
	for _, name := range goldenScenarios {
		storedform.CheckGolden(t, name, Encode(goldenScenario(t, name)))
	}
}

// field is one value of a scenario that was read, and the value that the golden file has.
type field struct {
	key       string
	got, want any
}

func checkFields(t *testing.T, fields []field) {
	t.Helper()
	for _, f := range fields {
		if !reflect.DeepEqual(f.got, f.want) {
			t.Errorf("%s: got %v, want %v", f.key, f.got, f.want)
		}
	}
}

// Parse reads the values of the golden files. At least one value of each table is checked.
func TestParseGoldenIsRead(t *testing.T) {
	s := goldenScenario(t, goldenSimulation)
	kind, class, fault := s.Fleet.Kinds[0], s.Classes[0], s.Faults[0]
	checkFields(t, []field{
		{"name", s.Name, "every-key-virtual"},
		{"seed", s.Seed, 41},
		{"settle", s.Settle, 17500 * millisecond},
		{"fleet.cell_size", s.Fleet.CellSize, 3},
		{"fleet.kind.warm_by", kind.WarmUpBy, "work"},
		{"fleet.kind.starts_untold", kind.OmitsStartNotifications, true},
		{"fleet.kind.cancel_stops", kind.CancellationStops, true},
		{"fleet.kind.probe_work", kind.HealthCheckWork, 60 * microsecond},
		{"class.cv", class.CV, 1.5},
		{"class.deadline", class.Deadline, 4 * second},
		{"class.slots", class.Slots, []float64{0.5, 0.25, 0.125, 0.125}},
		{"tenant.usage", s.Tenants[0].Usage, 1.5},
		{"load.rate", s.Load.Rate, 35.5},
		{"load.hint_factor", s.Load.HintFactor, 4.0},
		{"clients.mark_retry", s.Clients.MarkRetry, true},
		{"net.drops_idle", s.Network.DropsIdleAfter, 20 * second},
		{"discovery.capacity", s.Discovery.Capacity, 5000.0},
		{"front.notice", s.LoadBalancer.NoticeDelay, 1500 * millisecond},
		{"schedulers.try_limit", s.Schedulers.AttemptLimit, 4},
		{"schedulers.probes", s.Schedulers.HealthChecks, false},
		{"planners.drops", s.Planners.Drops, 50 * second},
		{"rules.fall_factor", s.Rules.OverloadFactor, 2.5},
		{"fault.size", fault.Size, 3.5},
		{"fault.spread", fault.Spread, second},
		{"fault.on.cells", fault.Target.Cells, []int{0, 1}},
		{"fault.on.share", fault.Target.Share, 0.5},
		{"fault.and", s.Faults[1].And, "discovery"},
		{"fault.on.class", s.Faults[4].Target.Class, "quote"},
		{"expect", len(s.Expect), 3},
	})
	s = goldenScenario(t, goldenProcess)
	checkFields(t, []field{
		{"load.closed", s.Load.ClosedClients, 25},
		{"load.of of a closed load", s.Load.CapacityShare, 0.0},
		{"bad", s.Misbehaving, []MisbehavingClients{{"slow_head", 2.5, 3 * second, 9 * second}}},
		{"schedulers.ops", strings.HasPrefix(s.Schedulers.OperationsFile, "[log]\nformat = \"json\"\n"), true},
	})
	s = goldenScenario(t, goldenLoad)
	checkFields(t, []field{{"load.of", s.Load.CapacityShare, 0.85}})
	s = goldenScenario(t, goldenPeers)
	checkFields(t, []field{{"peers", s.Peers, Peers{
		On: true, Price: 0.01, Delay: 5 * millisecond, DelayMax: 20 * millisecond, Loss: 0.1, Duplicate: 0.05,
		Reorder: 0.2, Torn: 0.02, Forged: 0.03, Liars: []int{0, 2}, Lie: LieFull,
	}}})
}

// The golden files together have every key of a scenario, and no others.
func TestParseGoldenHasEveryKey(t *testing.T) {
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
		t.Errorf("keys that a scenario does not have: %v", found)
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

// Each field has its key in a tag, so that renaming the field does not change the key.
func TestScenarioIsTagged(t *testing.T) { storedform.CheckTagsBy(t, "toml", Scenario{}) }
