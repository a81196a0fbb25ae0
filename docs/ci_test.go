package docs

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// ciTests creates a module, and returns a function that runs .ci/tests on it with a list of known failures. In package a one test
// passes and two fail; in package b one passes, and one fails that has the same name as one in a; in package c all pass.
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
		cmd := exec.Command(script, "go test -v -count=1 ./...", "list.txt")
		cmd.Dir, cmd.Env = dir, append(os.Environ(), "GOFLAGS=", "GOWORK=off")
		text, err := cmd.CombinedOutput()
		return string(text), err == nil
	}
}

// knownFailure returns the list's entry for a test, such as "./a TestBad".
func knownFailure(test, seen, issue string) string {
	return "test: " + test + "\ncommand: go test -count=1 ./... -seed 7\nseen: " + seen + "\nissue: " + issue + "\n"
}

// summary returns the text that .ci/tests prints for an entry made by knownFailure.
func summary(test, seen, issue string) string {
	return test + " (issue " + issue + "): " + seen + " [go test -count=1 ./... -seed 7]"
}

var (
	badA  = knownFailure("./a TestBad", "a cause", "21")
	tooA  = knownFailure("./a TestBadToo", "another cause: with a colon", "21")
	tooB  = knownFailure("./b TestBadToo", "the cause in b", "3")
	goodA = knownFailure("./a TestGood", "it failed once", "4")
)

// TestKnownFailures checks that exactly the listed tests may fail: neither a test of the same name in another package nor one
// whose name begins with a listed one may.
func TestKnownFailures(t *testing.T) {
	ci := ciTests(t)
	for _, c := range []struct {
		entries []string
		passes  bool
		says    []string // texts that the output must have
	}{
		{nil, false, []string{"bad in a", "bad too", "bad in b"}},
		{[]string{badA, tooA, tooB}, true, []string{
			"known to fail, and it failed: " + summary("./a TestBad", "a cause", "21"),
			"known to fail, and it failed: " + summary("./a TestBadToo", "another cause: with a colon", "21"),
			"known to fail, and it failed: " + summary("./b TestBadToo", "the cause in b", "3"),
			"bad in a", "PASS: TestGood ", "PASS: TestGoodToo ", "PASS: TestFine ",
		}},
		{[]string{badA, tooA}, false, []string{"bad in b"}},
		{[]string{badA, tooB}, false, []string{"--- FAIL: TestBadToo", "bad too"}},
		{[]string{badA, tooA, goodA}, false, []string{
			"known to fail, but it passed, so remove its entry if it keeps passing: " + summary("./a TestGood", "it failed once", "4"),
		}},
		{[]string{badA, tooA, tooB, goodA}, true, []string{
			"known to fail, but it passed, so remove its entry if it keeps passing: " + summary("./a TestGood", "it failed once", "4"),
		}},
	} {
		list := strings.Join(c.entries, "\n")
		output, passed := ci(list)
		if passed != c.passes {
			t.Errorf("list %q: passed %v\n%s", list, passed, output)
		}
		for _, says := range c.says {
			if !strings.Contains(output, says) {
				t.Errorf("list %q: the output lacks %q\n%s", list, says, output)
			}
		}
	}
}

// TestMalformedKnownFailures checks that a list with an invalid entry, or one for an unknown test, fails before a test runs.
func TestMalformedKnownFailures(t *testing.T) {
	ci := ciTests(t)
	const noIssue = "test: ./a TestBad\ncommand: c\nseen: s\n"
	for list, says := range map[string]string{
		badA + "\n":                                           "entry 2: expected 'test: PACKAGE TEST', got ''",
		"\n" + badA:                                           "entry 1: expected 'test: PACKAGE TEST', got ''",
		badA + "\n\n" + tooA:                                  "entry 2: expected 'test: PACKAGE TEST', got ''",
		badA + tooA:                                           "entry 1: expected a blank line, got 'test: ./a TestBadToo'",
		"# a remark\n":                                        "got '# a remark'",
		"./a TestBad: a cause: issue 21\n":                    "got './a TestBad: a cause: issue 21'",
		knownFailure("TestBad", "s", "21"):                    "got 'test: TestBad'",
		knownFailure("./... TestBad", "s", "21"):              "got 'test: ./... TestBad'",
		knownFailure("./a .*", "s", "21"):                     "got 'test: ./a .*'",
		knownFailure("./a Test.*", "s", "21"):                 "got 'test: ./a Test.*'",
		knownFailure("./a TestBad again", "s", "21"):          "got 'test: ./a TestBad again'",
		"test: ./a TestBad\nseen: s\nissue: 21\n":             "expected 'command: COMMAND', got 'seen: s'",
		"test: ./a TestBad\ncommand:  \nseen: s\nissue: 21\n": "expected 'command: COMMAND', got 'command:  '",
		"test: ./a TestBad\ncommand: c\nissue: 21\n":          "expected 'seen: WHAT WAS SEEN', got 'issue: 21'",
		"test: ./a TestBad\ncommand: c\nseen: \nissue: 21\n":  "expected 'seen: WHAT WAS SEEN', got 'seen: '",
		noIssue:                       "expected 'issue: N', got ''",
		noIssue + "issue:\n":          "expected 'issue: N', got 'issue:'",
		noIssue + "issue: 0\n":        "expected 'issue: N', got 'issue: 0'",
		noIssue + "issue: 21 or so\n": "expected 'issue: N', got 'issue: 21 or so'",
		badA + "more: of it\n":        "expected a blank line, got 'more: of it'",
		knownFailure("./a TestBad", strings.Repeat("x", 200), "21"): "entry 1: a line of over 200 characters",
		knownFailure("./a TestBa", "s", "21"):                       "unknown test: 'test: ./a TestBa'",
		knownFailure("./b TestBad", "s", "21"):                      "unknown test: 'test: ./b TestBad'",
		knownFailure("./d TestBad", "s", "21"):                      "unknown package: 'test: ./d TestBad'",
		badA + "\n" + badA:                                          "listed twice: 'test: ./a TestBad'",
	} {
		output, passed := ci(list)
		if passed || !strings.Contains(output, says) || strings.Contains(output, "=== RUN") {
			t.Errorf("list %q: passed %v, expected %q\n%s", list, passed, says, output)
		}
	}
}
