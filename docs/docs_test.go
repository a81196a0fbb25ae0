// Package docs has the pages of the documentation. Its tests check that the pages agree with the program.
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

// readFile returns the text of a page or of another file.
func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// referenceRows appends to dst, for each key in a TOML table, how its row in the scenarios' reference has to begin: with the
// key's name and default.
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
			dst = append(dst, fmt.Sprintf("| `%s` | %s |", key, formatDefault(f)))
		}
	}
	return dst
}

// formatDefault returns a default value as the reference shows it.
func formatDefault(f reflect.Value) string {
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
		return formatList(strings.Join(v, ", "))
	case []float64:
		texts := make([]string, len(v))
		for i, x := range v {
			texts[i] = strconv.FormatFloat(x, 'g', -1, 64)
		}
		return formatList(strings.Join(texts, ", "))
	case []int:
		return formatList("")
	}
	return fmt.Sprint(f.Interface())
}

func formatList(text string) string {
	if text == "" {
		return "-"
	}
	return "[" + text + "]"
}

// expectedRows returns how each row of the reference has to begin.
func expectedRows(t *testing.T) (all []string) {
	t.Helper()
	// The keys of lists have the defaults of an entry that has nothing but a name.
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

// testbedPages returns the text of all pages about the testbed.
func testbedPages(t *testing.T) string {
	t.Helper()
	paths, err := filepath.Glob("testbed/*.md")
	if err != nil || len(paths) == 0 {
		t.Fatal(paths, err)
	}
	var text strings.Builder
	for _, path := range paths {
		text.WriteString(readFile(t, path))
	}
	return text.String()
}

// The testbed's pages have every key of a scenario once, with its default, and no key that doesn't exist.
func TestEveryKeyIsInThePage(t *testing.T) {
	text, keys := testbedPages(t), map[string]bool{}
	for _, wantedRow := range expectedRows(t) {
		keys[strings.Split(wantedRow, "`")[1]] = true
		if n := strings.Count(text, "\n"+wantedRow+" "); n != 1 {
			t.Errorf("the testbed's pages have %d lines, not one, that begin with\n%s", n, wantedRow)
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
				t.Errorf("the testbed's pages have the key %s, which does not exist", m[1])
			}
		}
	}
}

// The testbed's pages have the names of all faults, misbehaving clients, figures, rules, baseline policies and scenarios.
func TestEveryNameIsInThePage(t *testing.T) {
	text := testbedPages(t)
	names := append([]string{}, scenario.MisbehaviorKinds...)
	for kind := range scenario.FaultKinds {
		names = append(names, kind)
	}
	for _, metric := range scenario.Metrics {
		names = append(names, metric.Name)
	}
	for _, headline := range score.Headlines {
		names = append(names, headline.Name)
	}
	for _, policy := range baseline.All() {
		names = append(names, policy.Name)
	}
	for _, mutant := range mutation.All() {
		names = append(names, mutant.Rule)
	}
	for _, name := range append(names, scenarios.Names()...) {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("the testbed's pages do not have `%s`", name)
		}
	}
}

// Each subcommand of valvecove-testbed has a heading of its own in commands.md.
func TestEveryCommandIsInThePage(t *testing.T) {
	text, source := readFile(t, "testbed/commands.md"), readFile(t, "../cmd/valvecove-testbed/main.go")
	_, source, _ = strings.Cut(source, "type commands struct {")
	source, _, _ = strings.Cut(source, "\n}")
	found := regexp.MustCompile(`(?m)^\t[A-Z]\w+ +\w+ +.cmd:""(?: name:"([a-z]+)")?`).FindAllStringSubmatch(source, -1)
	if len(found) < 10 {
		t.Fatalf("%d commands found", len(found))
	}
	for _, m := range found {
		if name := m[1]; name == "" || !strings.Contains(text, "\n## valvecove-testbed "+name+"\n") {
			t.Errorf("commands.md has no heading for valvecove-testbed %s", name)
		}
	}
}

var (
	links        = regexp.MustCompile(`\]\(([^)#: ]+)(#[^)]*)?\)`)
	tomlExamples = regexp.MustCompile("(?s)```toml\n(.*?)```")
)

// Links between pages lead to files that exist, and the scenarios shown in full are valid.
func TestLinksAndExamplesInPages(t *testing.T) {
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
		text := readFile(t, name)
		for _, m := range links.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(name), m[1])); err != nil {
				t.Errorf("%s: the link target %s does not exist", name, m[1])
			}
		}
		for _, m := range tomlExamples.FindAllStringSubmatch(text, -1) {
			if _, err := scenario.Parse("example", []byte(m[1])); err != nil {
				t.Errorf("%s: an example is no valid scenario: %v", name, err)
			}
		}
	}
}
