package scenario

import (
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Errors name the key that is wrong.
func TestParseNamesFaultyKeys(t *testing.T) {
	for _, test := range []struct{ text, key string }{
		{`lenght = "20s"`, "lenght"},
		{`length = 20`, "length"},
		{`length = "20"`, "length"},
		{`settle = "-1s"`, "settle"},
		{`drivers = ["virtual", "alive"]`, "drivers[1]"},
		{`drivers = []`, "drivers"},
		{`[fleet]
		nodes = 1.5`, "fleet.nodes"},
		{`[fleet]
		nodes = 1001
		[schedulers]
		count = 0`, "schedulers.count"},
		{`drivers = ["live"]
		[fleet]
		nodes = 1001`, "drivers"},
		{`[fleet]
		zones = ["a", "a"]`, "fleet.zones[1]"},
		{`[[fleet.kind]]
		name = "x"
		[[fleet.kind]]
		name = "y"
		colour = "red"`, "fleet.kind[1].colour"},
		{`[[fleet.kind]]
		name = "x"
		share = 0.5`, "fleet.kind"},
		{`[[fleet.kind]]
		name = "x"
		order = "lifo"`, "fleet.kind[0].order"},
		{`[[class]]
		name = "x"
		slots = [0, 0, 0, 1]`, "class[0].slots"},
		{`[[class]]
		name = "x"
		kind = "std"`, "class[0].kind"},
		{`[[class]]
		name = "swat-society"`, "tenant[2].name"},
		{`[[class]]
		name = "x y"`, "class[0].name"},
		{`[schedulers]
		count = 1001`, "schedulers.count"},
		{`[peers]
		loss = 1.5`, "peers.loss"},
		{`[peers]
		liars = [0]`, "peers.lie"},
		{`[peers]
		liars = [3]
		lie = "full"`, "peers.liars[0]"},
		{`drivers = ["virtual"]
		[peers]
		on = true
		[planners]
		count = 1`, "peers.on"},
		{`[[fault]]
		what = "cut"
		at = "1s"
		between = "schedulers"
		and = "schedulers"`, "fault[0].what"},
		{`[peers]
		on = true
		[[fault]]
		what = "drop_idle"
		at = "1s"
		between = "schedulers"
		and = "schedulers"`, "fault[0].between"},
		{`[[tenant]]
		name = "x"
		usage = 0`, "tenant"},
		{`[load]
		of = 0.5
		rate = 5`, "load"},
		{`[load]
		of = 0`, "load"},
		{`[load]
		of = nan`, "load.of"},
		{`[load]
		shape = "flat"`, "load.shape"},
		{`[[bad]]
		kind = "rude"
		rate = 1`, "bad[0].kind"},
		{`drivers = ["virtual"]
		[[bad]]
		kind = "flood"
		rate = 1`, "bad[0]"},
		{`[schedulers]
		ops = "[status]\nprt = 1"`, "schedulers.ops"},
		{`[[fault]]
		what = "crush"`, "fault[0].what"},
		{`[[fault]]
		what = "crash"
		at = "20s"`, "fault[0].at"},
		{`[[fault]]
		what = "crash"
		at = "15s"
		spread = "6s"`, "fault[0].spread"},
		{`[[fault]]
		what = "gone"
		for = "6s"`, "fault[0].for"},
		{`[[fault]]
		what = "pause"`, "fault[0].for"},
		{`[[fault]]
		what = "hang"
		size = 2`, "fault[0].size"},
		{`[[fault]]
		what = "slow"
		size = 0.5`, "fault[0].size"},
		{`[[fault]]
		what = "hang"
		between = "nodes"`, "fault[0].between"},
		{`[[fault]]
		what = "cut"
		and = "clients"
		between = "nodes"`, "fault[0].between"},
		{`[[fault]]
		what = "disco_slow"`, "fault[0].what"},
		{`drivers = ["virtual"]
		[planners]
		count = 17`, "planners.count"},
		{`[planners]
		count = 1`, "drivers"},
		{`[[fault]]
		what = "planner_drop"`, "fault[0].what"},
		{`drivers = ["virtual"]
		planners = { count = 2 }
		[[fault]]
		what = "planner_freeze"
		for = "1s"
		on.planners = [2]`, "fault[0].on.planners[0]"},
		{`drivers = ["virtual"]
		planners = { count = 2 }
		[[fault]]
		what = "planner_cut"
		and = "nodes"`, "fault[0].between"},
		{`[[fault]]
		what = "hang"
		on.names = ["w-9", "w-10"]`, "fault[0].on.names[1]"},
		{`[[fault]]
		what = "hang"
		on.cells = [3]`, "fault[0].on.cells[0]"},
		{`[[fault]]
		what = "hang"
		on.kind = "gpu"`, "fault[0].on.kind"},
		{`[[fault]]
		what = "hang"
		on.zone = "b"`, "fault[0].on.zone"},
		{`[[fault]]
		what = "hang"
		on.share = 1.1`, "fault[0].on.share"},
		{`[[fault]]
		what = "hang"
		on.tenant = "swat-society"`, "fault[0].on.tenant"},
		{`[[fault]]
		what = "burst"
		on.tenant = "north"`, "fault[0].on.tenant"},
		{`[[fault]]
		what = "sched_kill"
		on.schedulers = [1]`, "fault[0].on.schedulers[0]"},
		{`[[fault]]
		what = "disco_down"
		on.names = ["w-1"]`, "fault[0].on.names"},
		{`expect = ["in_time"]`, "expect[0]"},
		{`expect = ["in_time[north] >= 0.5"]`, "expect[0]"},
		{`expect = ["waste[cash-payout] <= 0.5"]`, "expect[0]"},
		{`expect = ["in_time >= 95"]`, "expect[0]"},
		{`expect = ["in_time >= 5s"]`, "expect[0]"},
		{`expect = ["rules_broken <= 0", "luck >= 1"]`, "expect[1]"},
	} {
		_, err := Parse("x", []byte(test.text))
		if err == nil || !strings.Contains(err.Error(), fmt.Sprintf("key %q:", test.key)) {
			t.Errorf("%s\nwant an error that names key %q, got: %v", test.text, test.key, err)
		}
		var keyErr *KeyError
		if !errors.As(err, &keyErr) {
			t.Errorf("%s\nwant a KeyError, got: %v", test.text, err)
		}
	}
}

func TestParseExpectation(t *testing.T) {
	for text, want := range map[string]Expectation{
		"in_time >= 0.95":                 {"in_time", "", ">=", 0.95},
		"in_time[account-credit]>=0.9":    {"in_time", "account-credit", ">=", 0.9},
		"recovered_within = 5s":           {"recovered_within", "", "<=", 5},
		"recovered_within<=1m":            {"recovered_within", "", "<=", 60},
		"p99_ms [swat-society] < 1.5s":    {"p99_ms", "swat-society", "<", 1500},
		"rules_broken == 0":               {"rules_broken", "", "=", 0},
		"attempts > 1":                    {"attempts", "", ">", 1},
		"refused[khyber-society] <= 0.01": {"refused", "khyber-society", "<=", 0.01},
	} {
		got, err := ParseExpectation(text)
		if err != nil || got != want {
			t.Errorf("%q: got %v, %v, want %v", text, got, err, want)
		}
		if again, err := ParseExpectation(got.String()); err != nil || again != got {
			t.Errorf("%q: written as %q, which reads as %v, %v", text, got.String(), again, err)
		}
		checkOperator(t, got)
	}
}

// checkOperator checks which values around its bound meet an expectation.
func checkOperator(t *testing.T, e Expectation) {
	t.Helper()
	for _, test := range []struct {
		value float64
		sign  string
	}{
		{e.Bound + 1, ">"},
		{e.Bound, "="},
		{e.Bound - 1, "<"},
	} {
		if got, want := e.IsMet(test.value), strings.Contains(e.Operator, test.sign); got != want {
			t.Errorf("%v: met by %v: got %v, want %v", e, test.value, got, want)
		}
	}
	if e.IsMet(math.NaN()) {
		t.Errorf("%v: met by NaN", e)
	}
}

// Parse reads the text that Encode writes as an equal scenario, whatever its values.
func TestEncodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Default()
		mutate(t, "", reflect.ValueOf(s).Elem())
		s.applyDerivedDefaults(func(string) bool { return true })
		text := Encode(s)
		got, err := read("other", text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if !reflect.DeepEqual(got, s) {
			t.Fatalf("%s\nis read back as %+v\nwant %+v", text, got, s)
		}
		if c := s.Clone(); !reflect.DeepEqual(c, s) {
			t.Fatalf("cloned as %+v\nwant %+v", c, s)
		}
	})
}

// mutate changes some of the values. Lists that must not be empty keep an entry.
func mutate(t *rapid.T, key string, v reflect.Value) {
	minLength := 0
	if key == "class" || key == "tenant" || key == "kind" {
		minLength = 1
	}
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			mutate(t, v.Type().Field(i).Tag.Get("toml"), v.Field(i))
		}
	case !rapid.Bool().Draw(t, key):
	case v.Kind() == reflect.Slice:
		n := rapid.IntRange(minLength, 3).Draw(t, key)
		if v.SetZero(); n > 0 {
			v.Set(reflect.MakeSlice(v.Type(), n, n))
		}
		for i := range n {
			mutate(t, "", v.Index(i))
		}
	case key == "what":
		v.SetString(rapid.SampledFrom([]string{"crash", "cut", "slow", "x"}).Draw(t, key))
	case v.Kind() == reflect.String:
		v.SetString(rapid.String().Draw(t, key))
	case v.Kind() == reflect.Bool:
		v.SetBool(!v.Bool())
	case v.Kind() == reflect.Float64:
		v.SetFloat(rapid.Float64().Draw(t, key))
	default:
		v.SetInt(rapid.Int64().Draw(t, key))
	}
}

// An empty file is read as the default scenario, which is valid.
func TestDefaultIsEmptyFile(t *testing.T) {
	s, err := Parse("calm", nil)
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Name = "calm"
	if !reflect.DeepEqual(s, want) {
		t.Errorf("an empty file reads as %+v", s)
	}
	if text := string(Encode(s)); text != "name = \"calm\"\n" {
		t.Errorf("written as %q", text)
	}
}

func TestScenarioSet(t *testing.T) {
	s, err := Parse("x", []byte("[[fault]]\nwhat = \"slow\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range []struct{ key, value string }{
		{"fault[0].size", "3.5"},
		{"load.rate", "40"},
		{"fleet.nodes", "12"},
		{"class[2].deadline", `"3s"`},
		{"fault[0].on.names", `["w-11"]`},
	} {
		if err := s.Set(change.key, change.value); err != nil {
			t.Error(err)
		}
	}
	load := Load{Rate: 40, Shape: "steady", Swing: 0.3, Hints: "rough", HintFactor: 0.5, OverQuotaWeight: 0.1, Quota: 0.8}
	if s.Faults[0].Size != 3.5 || s.Load != load || s.Fleet.Workers != 12 || s.Classes[2].Deadline != 3*second ||
		len(s.Faults[0].Target.Names) != 1 {
		t.Errorf("after valid changes the scenario is\n%s", Encode(s))
	}
	before := s.Clone()
	for _, change := range []struct{ key, value string }{
		{"fault[1].size", "3"},
		{"fault[0].sise", "3"},
		{"load", "3"},
		{"load.of.x", "3"},
		{"fleet.nodes", "none"},
		{"fleet.nodes", "0"},
		{"fleet.nodes", "1\nx = 2"},
		{"", "1"},
	} {
		if err := s.Set(change.key, change.value); err == nil || !strings.Contains(err.Error(), "key ") {
			t.Errorf("%s = %s: want an error that names a key, got: %v", change.key, change.value, err)
		}
	}
	if !reflect.DeepEqual(s, before) {
		t.Error("a rejected value changed the scenario")
	}
}

// Each kind of fault has a rule, and a line in the package comment.
func TestFaultKindsAreDescribed(t *testing.T) {
	page, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	for kind := range FaultKinds {
		if _, ok := faultRules[kind]; !ok || !strings.Contains(string(page), "\n//\t"+kind+" ") {
			t.Errorf("%s has no rule or no line in doc.go", kind)
		}
	}
	if len(faultRules) != len(FaultKinds) {
		t.Error("faultRules and FaultKinds differ in length")
	}
}
