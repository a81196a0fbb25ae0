package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// goSource returns the text of all test files of the module, or of all other Go files.
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
	member    = regexp.MustCompile(`^(?:\w+\.)?([A-Za-z]\w*\.[A-Za-z]\w*)$`)
	camelCase = regexp.MustCompile(`^[a-z]\w*[A-Z]\w*$`)
	dotted    = regexp.MustCompile(`^(?:\w+\.)+([A-Z]\w+)$`)
)

// The tests that the design pages name exist.
func TestDesignPagesNameTests(t *testing.T) {
	pages, err := filepath.Glob("design/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatal(pages, err)
	}
	source := goSource(t, true)
	found := 0
	for _, name := range pages {
		for _, test := range testNames.FindAllString(readFile(t, name), -1) {
			found++
			if !strings.Contains(source, "\nfunc "+test+"(") {
				t.Errorf("%s names the test %s, which does not exist", name, test)
			}
		}
	}
	if found < 50 {
		t.Errorf("the design pages name only %d tests", found)
	}
}

// members returns the qualified names in a source: T.m for each method and field m of a type T, and each p.N that it uses.
func members(source string) map[string]bool {
	found := map[string]bool{}
	for _, method := range regexp.MustCompile(`(?m)^func \(\w+ \*?(\w+)(?:\[\w+\])?\) (\w+)\(`).FindAllStringSubmatch(source, -1) {
		found[method[1]+"."+method[2]] = true
	}
	fields := regexp.MustCompile(`(?m)^\t([A-Za-z]\w*(?:, \w+)*)[ (]`)
	for _, declared := range regexp.MustCompile(`(?ms)^type (\w+)(?:\[[^\]]*\])? (?:struct|interface) \{\n(.*?)^\}`).FindAllStringSubmatch(source, -1) {
		for _, names := range fields.FindAllStringSubmatch(declared[2], -1) {
			for _, name := range strings.Split(names[1], ", ") {
				found[declared[1]+"."+name] = true
			}
		}
	}
	for _, qualified := range regexp.MustCompile(`\b[A-Za-z]\w*\.[A-Za-z]\w*\b`).FindAllString(source, -1) {
		found[qualified] = true
	}
	return found
}

// The identifiers in the code spans of the design pages are in the code: T.m, p.T.m and p.N, and names in mixed caps.
func TestDesignPagesNameCode(t *testing.T) {
	pages, err := filepath.Glob("design/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatal(pages, err)
	}
	source := goSource(t, false) + goSource(t, true)
	declared := members(source)
	for _, name := range regexp.MustCompile(`\b[A-Za-z]\w*\b`).FindAllString(source, -1) {
		declared[name] = true
	}
	found := 0
	for _, name := range pages {
		for _, span := range codeSpans.FindAllStringSubmatch(readFile(t, name), -1) {
			identifier := span[1]
			if m := member.FindStringSubmatch(identifier); m != nil {
				identifier = m[1]
			} else if !camelCase.MatchString(identifier) {
				continue
			}
			if strings.HasSuffix(identifier, ".go") || strings.ToLower(identifier) == identifier {
				continue // a file, or a key of the configuration
			}
			found++
			if !declared[identifier] {
				t.Errorf("%s names %s, which is not in the code", name, span[1])
			}
		}
	}
	if found < 150 {
		t.Errorf("the design pages name only %d identifiers", found)
	}
}

// The paths and exported names in ARCHITECTURE.md exist, and it names every package of the program.
func TestArchitectureNamesCode(t *testing.T) {
	text, source := readFile(t, "../ARCHITECTURE.md"), goSource(t, false)
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
				t.Errorf("ARCHITECTURE.md names %s, and the code declares no %s", code, m[1])
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

// The log messages and attributes in the operators' pages are in the code, letter for letter.
func TestLogMessagesInPagesExist(t *testing.T) {
	source := goSource(t, false)
	found := 0
	for _, table := range []struct{ page, header string }{
		{"../FEATURES.md", "| `msg` | level | attributes |\n"},
		{"on-call.md", "| log line | meaning |\n"},
	} {
		_, text, ok := strings.Cut(readFile(t, table.page), table.header)
		if !ok {
			t.Errorf("%s has no table that begins with %s", table.page, table.header)
		}
		text, _, _ = strings.Cut(text, "\n\n")
		for line := range strings.Lines(text) {
			columns := strings.Split(line, " | ")
			words := codeSpans.FindAllStringSubmatch(columns[0], -1)
			if table.page == "../FEATURES.md" {
				words = append(words, codeSpans.FindAllStringSubmatch(columns[len(columns)-1], -1)...)
			}
			for _, word := range words {
				found++
				if !strings.Contains(source, `"`+word[1]+`"`) {
					t.Errorf("%s has %q, which is not in the code", table.page, word[1])
				}
			}
		}
	}
	if found < 60 {
		t.Errorf("found only %d messages and attributes", found)
	}
}
