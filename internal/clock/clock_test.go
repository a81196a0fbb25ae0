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

// A clock since the epoch begins at the wall clock's time, and counts spans between readings from there on.
func TestSinceEpoch(t *testing.T) {
	origin := time.Now()
	reading := origin
	clock := SinceEpoch(func() time.Time { return reading })
	for _, passed := range []time.Duration{0, time.Nanosecond, time.Hour} {
		reading = origin.Add(passed)
		if got := clock(); got != time.Duration(origin.UnixNano())+passed {
			t.Errorf("%v after the origin: %v, expected %v more than %v", passed, got, passed, origin.UnixNano())
		}
	}
}

// The monotonic clock of the system is the one that Go's spans follow: a reading between two of the one is between them by
// the other too.
func TestMonotonic(t *testing.T) {
	first, before, second, after := Monotonic(), Now(), Monotonic(), Now()
	if first <= 0 || second < first || after.Before(before) {
		t.Errorf("readings %v and %v, %v and %v", first, second, before, after)
	}
}

// Two clocks are read at one moment, also by a process that is held up between readings a few times.
func TestTogether(t *testing.T) {
	for heldUp := range 9 {
		now, readings := time.Duration(0), 0
		monotonic := func() time.Duration {
			readings++
			now += time.Microsecond
			if readings <= 2*heldUp {
				now += 150 * time.Millisecond
			}
			return now
		}
		clock := func() time.Duration { return now + time.Hour }
		reading, at := Together(clock, monotonic)
		if off := reading - at - time.Hour; off.Abs() > time.Microsecond {
			t.Errorf("held up %d times: read %v apart", heldUp, off)
		}
	}
}

// clockReaders are the functions that read a clock of the machine, by the path of their package.
var clockReaders = map[string][]string{
	"time":                  {"Now", "Since", "Until"},
	"syscall":               {"Gettimeofday", "Time"},
	"golang.org/x/sys/unix": {"ClockGettime", "Gettimeofday", "Time"},
}

// The packages of the deployed scheduler, and the decisions, read clocks here and nowhere else.
func TestClocksAreReadHereOnly(t *testing.T) {
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

// Whatever name a package is imported by, and whether a function is called or passed on, its use is found.
func TestClockReadings(t *testing.T) {
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

// clockReadings lists the places of a Go file at which a clock is read.
func clockReadings(t *testing.T, path string, source []byte) (found []string) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	packages := map[string]string{} // paths by the names that they have in the file
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
