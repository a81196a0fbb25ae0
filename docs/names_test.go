package docs

import (
	"go/parser"
	"go/scanner"
	"go/token"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"

	"valvecove/internal/testbed/scenario"
	"valvecove/scenarios"
)

// site has the names in a site file.
type site struct {
	Name         string
	Net          struct{ Zones []string }
	Classes      []struct{ Name string } `toml:"class"`
	WorkerGroups []struct {
		Name  string
		Kinds []struct{ Name string } `toml:"kind"`
	} `toml:"tier"`
	Tenants []struct{ Name string } `toml:"tenant"`
}

// names returns all names in a site file.
func (s *site) names() []string {
	names := append([]string{s.Name}, s.Net.Zones...)
	for _, class := range s.Classes {
		names = append(names, class.Name)
	}
	for _, group := range s.WorkerGroups {
		names = append(names, group.Name)
		for _, kind := range group.Kinds {
			names = append(names, kind.Name)
		}
	}
	for _, tenant := range s.Tenants {
		names = append(names, tenant.Name)
	}
	return names
}

// scenarioNames returns the names in the deployment of a scenario.
func scenarioNames(s *scenario.Scenario) []string {
	names := slices.Clone(s.Fleet.Zones)
	for _, class := range s.Classes {
		names = append(names, class.Name)
	}
	for _, tenant := range s.Tenants {
		names = append(names, tenant.Name)
	}
	for _, kind := range s.Fleet.Kinds {
		names = append(names, kind.Name)
	}
	return names
}

// deploymentNames returns the names of classes, tenants, zones and kinds in every deployment that there is a file for: our sites,
// and the library's scenarios, whose default is the co-operative's deployment.
func deploymentNames(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../deploy/sites/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("%d site files, %v", len(files), err)
	}
	var names []string
	for _, path := range files {
		var s site
		if _, err := toml.DecodeFile(path, &s); err != nil {
			t.Fatal(err)
		}
		names = append(names, s.names()...)
	}
	for _, name := range scenarios.Names() {
		s, err := scenarios.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		names = append(names, scenarioNames(s)...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// The deployed program is not fitted to any one deployment: no name from a deployment occurs as a separate word in a string of
// its code, or in the files that it is deployed with.
func TestNoDeploymentNamesInProgram(t *testing.T) {
	names := deploymentNames(t)
	for _, required := range []string{"tile-render", "north-clinic", "status-check", "khyber-society", "wanchaq"} {
		if !slices.Contains(names, required) {
			t.Errorf("%s is not among the names to search for", required)
		}
	}
	for _, path := range []string{"../deploy/ops.toml", "../deploy/balancer.toml"} {
		for _, line := range strings.Split(readFile(t, path), "\n") {
			for _, name := range namesIn(line, names) {
				t.Errorf("%s names %s: %s", path, name, line)
			}
		}
	}
	list, err := exec.Command("go", "list", "-deps", "-f", `{{if .Module}}{{if .Module.Main}}{{range .GoFiles}}{{$.Dir}}/{{.}}{{"\n"}}{{end}}{{end}}{{end}}`,
		"valvecove/cmd/valvecove", "valvecove/cmd/simadapter").Output()
	if err != nil {
		t.Fatal(err)
	}
	files := strings.Fields(string(list))
	if len(files) < 50 {
		t.Errorf("only %d files are deployed", len(files))
	}
	for _, path := range files {
		for _, text := range stringLiterals(t, path) {
			for _, name := range namesIn(text, names) {
				t.Errorf("%s names %s: %q", path, name, text)
			}
		}
	}
}

// stringLiterals returns the values of the string literals in a file.
func stringLiterals(t *testing.T, path string) (all []string) {
	t.Helper()
	source := []byte(readFile(t, path))
	set := token.NewFileSet()
	if _, err := parser.ParseFile(set, path, source, 0); err != nil {
		t.Fatal(err)
	}
	var s scanner.Scanner
	s.Init(set.AddFile("", -1, len(source)), source, nil, 0)
	for {
		_, kind, literal := s.Scan()
		switch kind {
		case token.EOF:
			return all
		case token.STRING:
			text, err := strconv.Unquote(literal)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, text)
		}
	}
}

// namesIn returns the names that a text has as separate words. It ignores names of one or two letters, which some scenarios give
// to zones: they don't identify a deployment.
func namesIn(text string, names []string) (found []string) {
	inWord := func(r rune) bool {
		return r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	}
	words := strings.FieldsFunc(text, func(r rune) bool { return !inWord(r) })
	for _, name := range names {
		if len(name) > 2 && slices.Contains(words, name) {
			found = append(found, name)
		}
	}
	return found
}
