package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// goSource is the text of all Go files of the module: of the tests, or of the others.
func goSource(t *testing.T, tests bool) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "testdata" || entry.Name() == ".git") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") != tests {
			return nil
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String()
}

var (
	testNames = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w*`)
	codeSpans = regexp.MustCompile("`([^`\n]+)`")
	paths     = regexp.MustCompile(`^(?:cmd|deploy|dispatch|docs|internal|scenarios)/[\w./-]+$`)
	dotted    = regexp.MustCompile(`^(?:\w+\.)+([A-Z]\w+)$`)
)

// Tests that the design pages name exist.
func TestDesignPagesNameTests(t *testing.T) {
	pages, err := filepath.Glob("design/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatal(pages, err)
	}
	source := goSource(t, true)
	found := 0
	for _, name := range pages {
		for _, test := range testNames.FindAllString(page(t, name), -1) {
			found++
			if !strings.Contains(source, "\nfunc "+test+"(") {
				t.Errorf("%s names %s, and there is no such test", name, test)
			}
		}
	}
	if found < 50 {
		t.Errorf("the design pages name %d tests", found)
	}
}

// Paths and exported names in ARCHITECTURE.md exist, and it names every package of the program.
func TestArchitectureNamesCode(t *testing.T) {
	text, source := page(t, "../ARCHITECTURE.md"), goSource(t, false)
	named := map[string]bool{}
	for _, span := range codeSpans.FindAllStringSubmatch(text, -1) {
		code := span[1]
		named[code] = true
		if paths.MatchString(code) {
			if _, err := os.Stat(filepath.Join("..", code)); err != nil {
				t.Errorf("ARCHITECTURE.md names %s: %v", code, err)
			}
		}
		if m := dotted.FindStringSubmatch(code); m != nil {
			declared := regexp.MustCompile(`(?m)^(?:type ` + m[1] + `\b|func (?:\([^)]*\) )?` + m[1] + `\b)`)
			if !declared.MatchString(source) {
				t.Errorf("ARCHITECTURE.md names %s, and nothing is declared as %s", code, m[1])
			}
		}
	}
	for _, pattern := range []string{"../cmd/*", "../internal/*", "../internal/control/*"} {
		folders, err := filepath.Glob(pattern)
		if err != nil || len(folders) == 0 {
			t.Fatal(pattern, err)
		}
		for _, folder := range folders {
			if name := filepath.ToSlash(strings.TrimPrefix(folder, "../")); !named[name] {
				t.Errorf("ARCHITECTURE.md does not name the package %s", name)
			}
		}
	}
}
