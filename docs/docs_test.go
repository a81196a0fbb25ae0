// Package docs holds the pages; its tests keep them in step with the program.
package docs

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"valvecove/internal/testbed/baseline"
	"valvecove/internal/testbed/mutation"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/score"
	"valvecove/scenarios"
)

func page(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// referenceRows returns how the rows of the scenarios' reference have to begin for the keys of a table: name and default.
func referenceRows(under string, v reflect.Value, dst []string) []string {
	for i := range v.NumField() {
		f, key := v.Field(i), v.Type().Field(i).Tag.Get("toml")
		if under != "" {
			key = under + "." + key
		}
		switch {
		case f.Kind() == reflect.Struct:
			dst = referenceRows(key, f, dst)
		case f.Kind() == reflect.Slice && f.Type().Elem().Kind() == reflect.Struct:
			dst = referenceRows(key, reflect.New(f.Type().Elem()).Elem(), dst)
		default:
			dst = append(dst, fmt.Sprintf("| `%s` | %s |", key, shown(f)))
		}
	}
	return dst
}

func shown(f reflect.Value) string {
	switch v := f.Interface().(type) {
	case scenario.Duration:
		if v == 0 {
			return "0"
		}
		return v.String()
	case string:
		if v == "" {
			return "-"
		}
		return v
	case []string:
		return list(strings.Join(v, ", "))
	case []float64:
		texts := make([]string, len(v))
		for i, x := range v {
			texts[i] = strconv.FormatFloat(x, 'g', -1, 64)
		}
		return list(strings.Join(texts, ", "))
	case []int:
		return list("")
	}
	return fmt.Sprint(f.Interface())
}

func list(text string) string {
	if text == "" {
		return "-"
	}
	return "[" + text + "]"
}

// wanted is all that the reference has to hold.
func wanted(t *testing.T) (all []string) {
	t.Helper()
	// Of lists, what an entry has that says nothing of itself.
	plain, err := scenario.Parse("plain", []byte("[[fleet.kind]]\nname = \"x\"\n[[class]]\nname = \"y\"\n[[tenant]]\nname = \"z\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	kind, class, tenant := plain.Fleet.Kinds[0], plain.Classes[0], plain.Tenants[0]
	kind.Name, class.Name, tenant.Name = "", "", ""
	s := reflect.ValueOf(scenario.Default()).Elem()
	for _, wantedRow := range referenceRows("", s, nil) {
		if !strings.HasPrefix(wantedRow, "| `fleet.kind.") && !strings.HasPrefix(wantedRow, "| `class.") && !strings.HasPrefix(wantedRow, "| `tenant.") {
			all = append(all, wantedRow)
		}
	}
	all = referenceRows("fleet.kind", reflect.ValueOf(kind), all)
	all = referenceRows("class", reflect.ValueOf(class), all)
	return referenceRows("tenant", reflect.ValueOf(tenant), all)
}

// testbedPages returns the pages of the testbed, one after the other.
func testbedPages(t *testing.T) string {
	t.Helper()
	paths, err := filepath.Glob("testbed/*.md")
	if err != nil || len(paths) == 0 {
		t.Fatal(paths, err)
	}
	var text strings.Builder
	for _, path := range paths {
		text.WriteString(page(t, path))
	}
	return text.String()
}

// The testbed's pages have every key of a scenario with its default, once, and no other key.
func TestEveryKeyIsInThePage(t *testing.T) {
	text, keys := testbedPages(t), map[string]bool{}
	for _, wantedRow := range wanted(t) {
		keys[strings.Split(wantedRow, "`")[1]] = true
		if n := strings.Count(text, "\n"+wantedRow+" "); n != 1 {
			t.Errorf("the testbed's pages have %d lines that begin as this one has to:\n%s", n, wantedRow)
		}
	}
	for _, heading := range []string{"\n## Reference", "\n## A fault's keys"} {
		_, reference, found := strings.Cut(text, heading)
		if !found {
			t.Errorf("the testbed's pages lack the heading %s", strings.TrimSpace(heading))
		}
		reference, _, _ = strings.Cut(reference, "\n## ")
		for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|").FindAllStringSubmatch(reference, -1) {
			if !keys[m[1]] {
				t.Errorf("the testbed's pages have the key %s, and there is none", m[1])
			}
		}
	}
}

// The testbed's pages have all names: of faults, misbehaving clients, figures, rules, baseline policies and the library.
func TestEveryNameIsInThePage(t *testing.T) {
	text := testbedPages(t)
	names := append([]string{}, scenario.MisbehaviorKinds...)
	for kind := range scenario.FaultKinds {
		names = append(names, kind)
	}
	for _, f := range scenario.Metrics {
		names = append(names, f.Name)
	}
	for _, h := range score.Headlines {
		names = append(names, h.Name)
	}
	for _, y := range baseline.All() {
		names = append(names, y.Name)
	}
	for _, m := range mutation.All() {
		names = append(names, m.Rule)
	}
	for _, name := range append(names, scenarios.Names()...) {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("the testbed's pages do not name `%s`", name)
		}
	}
}

// Each command of valvecove-testbed has a heading of its own.
func TestEveryCommandIsInThePage(t *testing.T) {
	text, source := page(t, "testbed/commands.md"), page(t, "../cmd/valvecove-testbed/main.go")
	_, source, _ = strings.Cut(source, "type commands struct {")
	source, _, _ = strings.Cut(source, "\n}")
	found := regexp.MustCompile(`(?m)^\t[A-Z]\w+ +\w+ +.cmd:""(?: name:"([a-z]+)")?`).FindAllStringSubmatch(source, -1)
	if len(found) < 10 {
		t.Fatalf("%d commands found", len(found))
	}
	for _, m := range found {
		if name := m[1]; name == "" || !strings.Contains(text, "\n## valvecove-testbed "+name+"\n") {
			t.Errorf("commands.md has no part on valvecove-testbed %s", name)
		}
	}
}

var (
	links    = regexp.MustCompile(`\]\(([^)#: ]+)(#[^)]*)?\)`)
	examples = regexp.MustCompile("(?s)```toml\n(.*?)```")
)

// Links between pages lead to files, and whole scenarios shown in them are valid.
func TestPagesHoldTogether(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	if err != nil || len(pages) == 0 {
		t.Fatal(pages, err)
	}
	for _, pattern := range []string{"*/*.md", "../*.md"} {
		more, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, more...)
	}
	for _, name := range pages {
		text := page(t, name)
		for _, m := range links.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(name), m[1])); err != nil {
				t.Errorf("%s: the link to %s leads nowhere", name, m[1])
			}
		}
		for _, m := range examples.FindAllStringSubmatch(text, -1) {
			if _, err := scenario.Parse("example", []byte(m[1])); err != nil {
				t.Errorf("%s: a scenario is faulty: %v", name, err)
			}
		}
	}
}
