package dispatch

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// pureImports are the packages that the code may use. None of them does I/O. Some could read a clock or draw random numbers
// without a seed: pureNames says what may be used of these.
var pureImports = []string{
	"cmp", "encoding/binary", "errors", "fmt", "maps", "math", "math/bits", "math/rand/v2", "slices", "time",
}

// pureNames lists all names that may be used of those packages that also have impure functions.
var pureNames = map[string][]string{
	"time": {"Duration", "Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour"},
	"rand": {"Rand", "New", "NewPCG", "PCG"},
	"fmt":  {"Errorf", "Sprintf", "Sprint"},
}

// Decisions depend on the events and the seed only: the package imports and uses nothing that reads a clock, does I/O or has state
// outside of a Dispatcher.
func TestPackageIsPure(t *testing.T) {
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, violation := range impurities(t, file) {
			t.Errorf("%s: %s", path, violation)
		}
		checked++
	}
	if checked == 0 {
		t.Error("no file checked")
	}
}

// The check of TestPackageIsPure reports each import and name that is not allowed, also under another import name, and no other.
func TestImpureImportsAndNamesAreReported(t *testing.T) {
	for source, want := range map[string]string{
		`import "os"; var _ = os.Args`:                                     "imports os",
		`import "valvecove/internal/scheduler"; var _ scheduler.Scheduler`: "imports valvecove/internal/scheduler",
		`import "time"; var _ = time.Now()`:                                "uses time.Now",
		`import "time"; var since = time.Since`:                            "uses time.Since",
		`import clock "time"; var _ = clock.Now()`:                         "imports time under another name",
		`import . "time"; var _ = Now()`:                                   "imports time under another name",
		`import "math/rand/v2"; var _ = rand.Float64()`:                    "uses rand.Float64",
		`import "fmt"; func f() { fmt.Println() }`:                         "uses fmt.Println",
		`import "time"; const limit = 2 * time.Second`:                     "",
		`import "math/rand/v2"; var _ = rand.New(rand.NewPCG(1,2))`:        "",
	} {
		file, err := parser.ParseFile(token.NewFileSet(), "x.go", "package x; "+source, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(impurities(t, file), ", "); got != want {
			t.Errorf("%s: found %q, expected %q", source, got, want)
		}
	}
}

// impurities lists the imports and names in a file that could make a decision depend on more than the events and the seed.
func impurities(t *testing.T, file *ast.File) (found []string) {
	t.Helper()
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		switch {
		case !slices.Contains(pureImports, path):
			found = append(found, "imports "+path)
		case spec.Name != nil:
			found = append(found, "imports "+path+" under another name")
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if operand, ok := selector.X.(*ast.Ident); ok {
			allowed, limited := pureNames[operand.Name]
			if limited && !slices.Contains(allowed, selector.Sel.Name) {
				found = append(found, "uses "+operand.Name+"."+selector.Sel.Name)
			}
		}
		return true
	})
	return found
}
