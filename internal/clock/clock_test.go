package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
)

// A clock of SinceEpoch starts at the time of the wall clock, and advances by the time between readings.
func TestSinceEpoch(t *testing.T) {
	origin := time.Now()
	reading := origin
	clock := SinceEpoch(func() time.Time { return reading })
	for _, passed := range []time.Duration{0, time.Nanosecond, time.Hour} {
		reading = origin.Add(passed)
		if got := clock(); got != time.Duration(origin.UnixNano())+passed {
			t.Errorf("%v after the origin: got %v, expected %v more than %v", passed, got, passed, origin.UnixNano())
		}
	}
}

// CLOCK_MONOTONIC is the clock by which Go measures the difference of two times: readings that alternate between both are in
// the same order on each.
func TestMonotonic(t *testing.T) {
	first, before, second, after := Monotonic(), Now(), Monotonic(), Now()
	if first <= 0 || second < first || after.Before(before) {
		t.Errorf("readings %v and %v, %v and %v", first, second, before, after)
	}
}

// If the process is paused between the readings of two clocks, they are read again until a pair without a pause was read.
func TestClockPairIsReadAgainAfterPauses(t *testing.T) {
	for pauses := range 9 {
		now, readings := time.Duration(0), 0
		monotonic := func() time.Duration {
			readings++
			now += time.Microsecond
			if readings <= 2*pauses {
				now += 150 * time.Millisecond
			}
			return now
		}
		clock := func() time.Duration { return now + time.Hour }
		reading, at := ReadPair(clock, monotonic)
		if off := reading - at - time.Hour; off.Abs() > time.Microsecond {
			t.Errorf("%d pauses: the clocks were read %v apart", pauses, off)
		}
	}
}

// clockReaders lists the functions that read a clock of the machine, by import path of their package.
var clockReaders = map[string][]string{
	"time":                  {"Now", "Since", "Until"},
	"syscall":               {"Gettimeofday", "Time"},
	"golang.org/x/sys/unix": {"ClockGettime", "Gettimeofday", "Time"},
}

// The packages of the deployed scheduler and the package dispatch read clocks through this package only.
func TestClocksAreReadInThisPackageOnly(t *testing.T) {
	const root = "../.."
	var deploy struct {
		Node []string `toml:"node"`
	}
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy/balancer.toml"), &deploy); err != nil {
		t.Fatal(err)
	}
	if !slices.Contains(deploy.Node, "internal/clock") || !slices.Contains(deploy.Node, "internal/scheduler") {
		t.Fatalf("packages of the scheduler: %q", deploy.Node)
	}
	files := 0
	for _, directory := range append(deploy.Node, "dispatch") {
		entries, err := os.ReadDir(filepath.Join(root, directory))
		if err != nil {
			t.Fatal(err)
		}
		for _, entry := range entries {
			path := filepath.Join(directory, entry.Name())
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || directory == "internal/clock" {
				continue
			}
			files++
			content, err := os.ReadFile(filepath.Join(root, path))
			if err != nil {
				t.Fatal(err)
			}
			for _, use := range clockReadings(t, path, content) {
				t.Errorf("%s: a clock is read outside internal/clock", use)
			}
		}
	}
	if files < len(deploy.Node) {
		t.Errorf("%d files in %d packages", files, len(deploy.Node))
	}
}

// Uses of clock readers are found under any import name, and for functions that are called or used as a value.
func TestClockReadingsAreFoundForAnyImportName(t *testing.T) {
	const source = `package p
import (
	"fmt"
	watch "time"
	"golang.org/x/sys/unix"
)
var now = watch.Now
func f() {
	fmt.Println(watch.Since(now()), unix.ClockGettime(0, nil))
	watch.Sleep(watch.Second)
}
`
	want := []string{"p.go:7:11: time.Now", "p.go:9:14: time.Since", "p.go:9:34: golang.org/x/sys/unix.ClockGettime"}
	if got := clockReadings(t, "p.go", []byte(source)); !slices.Equal(got, want) {
		t.Errorf("found %q, expected %q", got, want)
	}
}

// clockReadings returns the positions in a Go file at which a clock reader is used.
func clockReadings(t *testing.T, path string, source []byte) (found []string) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	packages := map[string]string{} // import paths by package name in the file
	for _, imported := range file.Imports {
		importPath := strings.Trim(imported.Path.Value, `"`)
		name := importPath[strings.LastIndex(importPath, "/")+1:]
		if imported.Name != nil {
			name = imported.Name.Name
		}
		packages[name] = importPath
	}
	ast.Inspect(file, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if qualifier, ok := selector.X.(*ast.Ident); ok {
			importPath := packages[qualifier.Name]
			if slices.Contains(clockReaders[importPath], selector.Sel.Name) {
				found = append(found, files.Position(selector.Pos()).String()+": "+importPath+"."+selector.Sel.Name)
			}
		}
		return true
	})
	return found
}
