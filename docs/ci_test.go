package docs

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// ciTests gives .ci/tests with a list of what is known to be red, over a module of its own: in package a one test passes
// and two fail, and in package b one fails that has the name of one in a.
func ciTests(t *testing.T) func(list string) (output string, passed bool) {
	t.Helper()
	dir := t.TempDir()
	test := func(body string) string { return "package x\n\nimport \"testing\"\n\n" + body }
	for name, text := range map[string]string{
		"go.mod": "module x\n\ngo 1.26\n",
		"a/a_test.go": test("func TestGood(t *testing.T) {}\nfunc TestBad(t *testing.T) { t.Error(\"bad in a\") }\n" +
			"func TestBadToo(t *testing.T) { t.Error(\"bad too\") }\n"),
		"b/b_test.go": test("func TestGoodToo(t *testing.T) {}\nfunc TestBadToo(t *testing.T) { t.Error(\"bad in b\") }\n"),
		"c/c_test.go": test("func TestFine(t *testing.T) {}\n"),
	} {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	script, err := filepath.Abs("../.ci/tests")
	if err != nil {
		t.Fatal(err)
	}
	return func(list string) (string, bool) {
		if err := os.WriteFile(filepath.Join(dir, "list.txt"), []byte(list), 0o600); err != nil {
			t.Fatal(err)
		}
		c := exec.Command(script, "go test -v -count=1 ./...", "list.txt")
		c.Dir, c.Env = dir, append(os.Environ(), "GOFLAGS=", "GOWORK=off")
		text, err := c.CombinedOutput()
		return string(text), err == nil
	}
}

const (
	badA  = "./a TestBad: a cause: issue 21\n"
	tooA  = "./a TestBadToo: another cause: with a colon: issue 21\n"
	tooB  = "./b TestBadToo: the cause in b: issue 3\n"
	goodA = "./a TestGood: it was red once: issue 4\n"
)

// What is listed is known to be red, and nothing else is: neither its namesake elsewhere nor one whose name goes on.
func TestKnownRed(t *testing.T) {
	ci := ciTests(t)
	for _, c := range []struct {
		list   string
		passes bool
		says   []string
	}{
		{"", false, []string{"bad in a", "bad too", "bad in b"}},
		{badA + tooA + tooB, true, []string{
			"known red, and it fails: " + badA, "known red, and it fails: " + tooA,
			"known red, and it fails: " + tooB, "bad in a", "PASS: TestGood ", "PASS: TestGoodToo ", "PASS: TestFine ",
		}},
		{badA + tooA, false, []string{"bad in b"}},
		{badA + tooB, false, []string{"--- FAIL: TestBadToo", "bad too"}},
		{badA + tooA + goodA, false, []string{"known red, but it passes now, so take it from the list: " + goodA}},
	} {
		output, passed := ci(c.list)
		if passed != c.passes {
			t.Errorf("list %q: passed %v\n%s", c.list, passed, output)
		}
		for _, says := range c.says {
			if !strings.Contains(output, says) {
				t.Errorf("list %q: says nothing of %q\n%s", c.list, says, output)
			}
		}
	}
}

// A list that says too much, or what can't be read or found, stops all before a test has run.
func TestKnownRedMalformed(t *testing.T) {
	ci := ciTests(t)
	for list, says := range map[string]string{
		badA + tooA + tooB + goodA:               "4 lines, 3 allowed",
		badA + "\n":                              "expected 'PACKAGE TEST: CAUSE: issue N', got ''",
		"# a remark\n":                           "got '# a remark'",
		"./a TestBad: issue 21\n":                "got './a TestBad: issue 21'",
		"./a TestBad: : issue 21\n":              "got './a TestBad: : issue 21'",
		"./a TestBad: a cause\n":                 "got './a TestBad: a cause'",
		"./a TestBad: a cause: issue\n":          "got './a TestBad: a cause: issue'",
		"./a TestBad: a cause: issue 21 or so\n": "issue 21 or so'",
		"TestBad: a cause: issue 21\n":           "got 'TestBad: a cause: issue 21'",
		"./... TestBad: a cause: issue 21\n":     "got './... TestBad",
		"./a .*: a cause: issue 21\n":            "got './a .*",
		"./a Test.*: a cause: issue 21\n":        "got './a Test.*",
		"./a TestBa: a cause: issue 21\n":        "unknown test: './a TestBa:",
		"./b TestBad: a cause: issue 21\n":       "unknown test: './b TestBad:",
		"./d TestBad: a cause: issue 21\n":       "unknown package: './d TestBad:",
		badA + badA:                              "listed twice: './a TestBad:",
	} {
		output, passed := ci(list)
		if passed || !strings.Contains(output, says) || strings.Contains(output, "=== RUN") {
			t.Errorf("list %q: passed %v, expected %q\n%s", list, passed, says, output)
		}
	}
}
