// Command wordcheck searches Go packages for withdrawn words: in declared identifiers, file names, comments and log
// messages. The glossary (docs/glossary.md) gives the standard term for each.
//
// Usage:
//
//	wordcheck LIST DIR...
//
// Each line of LIST is a rule; blank lines and lines that begin with # are skipped:
//
//	word PATTERN     no identifier has it as one of its words (heldJobs has the words held and jobs), and no text has it
//	name PATTERN     no identifier has it as one of its words; texts may use it
//	whole PATTERN    no identifier is exactly that, in any case
//	phrase PATTERN   no comment or log message has this phrase, not even across a line break
//	allow PATTERN    texts may contain this phrase, although it contains a withdrawn word or phrase
//
// A pattern is a regular expression in lower case that has to match the whole word, identifier or phrase. Tests are searched too,
// and DIR may be a folder testdata. The exit code is 0 if nothing is found, 1 if something is found, and 2 if the search failed.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"unicode"
)

// Exit codes.
const (
	exitClean  = 0
	exitFound  = 1
	exitFailed = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(arguments []string, stdout, stderr io.Writer) int {
	if len(arguments) < 2 {
		fmt.Fprintln(stderr, "usage: wordcheck LIST DIR...")
		return exitFailed
	}
	rules, err := readRules(arguments[0])
	if err != nil {
		fmt.Fprintln(stderr, "wordcheck:", err)
		return exitFailed
	}
	total := 0
	for _, dir := range arguments[1:] {
		findings, err := checkDir(rules, dir)
		if err != nil {
			fmt.Fprintln(stderr, "wordcheck:", err)
			return exitFailed
		}
		for _, finding := range findings {
			fmt.Fprintln(stdout, finding)
		}
		total += len(findings)
	}
	if total > 0 {
		fmt.Fprintf(stderr, "wordcheck: %d withdrawn words\n", total)
		return exitFound
	}
	return exitClean
}

// rules contains the patterns of a list. Each matches a whole word, identifier or phrase in lower case.
type rules struct {
	textWords   *regexp.Regexp // in identifiers and texts
	phrases     *regexp.Regexp // in texts only
	nameWords   *regexp.Regexp // in identifiers only
	wholeNames  *regexp.Regexp
	allowedText *regexp.Regexp
}

// ruleError is an error in a line of a list.
type ruleError struct {
	file string
	line int
	text string
}

func (e *ruleError) Error() string {
	return fmt.Sprintf("%s:%d: expected 'word', 'name', 'whole', 'phrase' or 'allow' and a pattern, got %q", e.file, e.line, e.text)
}

func readRules(path string) (*rules, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("list of words: %w", err)
	}
	defer func() { _ = file.Close() }()
	patterns := map[string][]string{}
	scanner := bufio.NewScanner(file)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		kind, pattern, found := strings.Cut(text, " ")
		if !found || !isKind(kind) {
			return nil, &ruleError{file: path, line: line, text: text}
		}
		patterns[kind] = append(patterns[kind], strings.TrimSpace(pattern))
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("list of words: %w", err)
	}
	return compileRules(patterns)
}

func isKind(kind string) bool {
	switch kind {
	case "word", "name", "whole", "phrase", "allow":
		return true
	}
	return false
}

func compileRules(patterns map[string][]string) (*rules, error) {
	var failures []error
	compile := func(prefix string, alternatives []string, suffix string) *regexp.Regexp {
		if len(alternatives) == 0 {
			alternatives = []string{`[^\s\S]`} // matches nothing
		}
		expression, err := regexp.Compile(prefix + "(?:" + strings.Join(alternatives, "|") + ")" + suffix)
		failures = append(failures, err)
		return expression
	}
	compiled := &rules{
		textWords:   compile("^", patterns["word"], "$"),
		nameWords:   compile("^", append(patterns["name"], patterns["word"]...), "$"),
		wholeNames:  compile("^", patterns["whole"], "$"),
		phrases:     compile(`\b`, patterns["phrase"], `\b`),
		allowedText: compile(`\b`, patterns["allow"], `\b`),
	}
	return compiled, errors.Join(failures...)
}

// checkDir returns a line for each finding in the Go files of one folder. Its subfolders are not searched.
func checkDir(r *rules, dir string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, fmt.Errorf("folder %s: %w", dir, err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("folder %s: no Go files", dir)
	}
	var findings []string
	for _, path := range paths {
		found, err := checkFile(r, path)
		if err != nil {
			return nil, err
		}
		findings = append(findings, found...)
	}
	return findings, nil
}

// fileCheck collects the findings in one file.
type fileCheck struct {
	rules    *rules
	files    *token.FileSet
	findings []string
}

func checkFile(r *rules, path string) ([]string, error) {
	check := &fileCheck{rules: r, files: token.NewFileSet()}
	file, err := parser.ParseFile(check.files, path, nil, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	check.fileName(path, file)
	check.identifier(file.Name)
	for _, group := range file.Comments {
		for _, comment := range group.List {
			check.text(comment.Pos(), "comment", comment.Text)
		}
		check.phrase(group.Pos(), "comment", group.Text())
	}
	ast.Inspect(file, check.node)
	return check.findings, nil
}

func (c *fileCheck) report(pos token.Pos, what, text, word string) {
	c.findings = append(c.findings, fmt.Sprintf("%s: %s %s: %q is withdrawn", c.files.Position(pos), what, text, word))
}

func (c *fileCheck) fileName(path string, file *ast.File) {
	name := strings.TrimSuffix(filepath.Base(path), ".go")
	for word := range strings.SplitSeq(name, "_") {
		if c.rules.nameWords.MatchString(word) {
			c.report(file.Package, "file name", name, word)
		}
	}
}

// node checks the identifiers that a node declares, and the message that it logs.
func (c *fileCheck) node(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.FuncDecl:
		c.identifier(node.Name)
	case *ast.TypeSpec:
		c.identifier(node.Name)
	case *ast.ValueSpec:
		c.identifiers(node.Names)
	case *ast.Field:
		c.identifiers(node.Names)
	case *ast.AssignStmt:
		if node.Tok == token.DEFINE {
			c.expressions(node.Lhs...)
		}
	case *ast.RangeStmt:
		if node.Tok == token.DEFINE {
			c.expressions(node.Key, node.Value)
		}
	case *ast.CallExpr:
		c.logMessage(node)
	}
	return true
}

func (c *fileCheck) identifiers(names []*ast.Ident) {
	for _, name := range names {
		c.identifier(name)
	}
}

func (c *fileCheck) expressions(expressions ...ast.Expr) {
	for _, expression := range expressions {
		if name, ok := expression.(*ast.Ident); ok {
			c.identifier(name)
		}
	}
}

func (c *fileCheck) identifier(name *ast.Ident) {
	if c.rules.wholeNames.MatchString(strings.ToLower(name.Name)) {
		c.report(name.Pos(), "identifier", name.Name, name.Name)
		return
	}
	for _, word := range identifierWords(name.Name) {
		if c.rules.nameWords.MatchString(word) {
			c.report(name.Pos(), "identifier", name.Name, word)
			return
		}
	}
}

// logMessage checks the message of a call to a logger: a literal that is the first argument of a method named after a level.
func (c *fileCheck) logMessage(call *ast.CallExpr) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return
	}
	switch method.Sel.Name {
	case "Debug", "Info", "Warn", "Error":
	default:
		return
	}
	if message, ok := call.Args[0].(*ast.BasicLit); ok && message.Kind == token.STRING {
		c.text(message.Pos(), "log message", message.Value)
		c.phrase(message.Pos(), "log message", strings.Trim(message.Value, "\"`"))
	}
}

var (
	textWord   = regexp.MustCompile(`[a-z]+`)
	quotedText = regexp.MustCompile("`[^`]*`|\"[^\"]*\"")
)

// prose returns a text in lower case, without the allowed phrases. In comments, it also leaves out quoted text, which is assumed
// to be a name on the wire or in a setting.
func (c *fileCheck) prose(what, text string) string {
	prose := strings.ToLower(text)
	if what == "comment" {
		prose = quotedText.ReplaceAllString(prose, " ")
	}
	return c.rules.allowedText.ReplaceAllString(prose, " ")
}

// phrase checks a text for withdrawn phrases. Any white space in the text is equivalent to one blank.
func (c *fileCheck) phrase(pos token.Pos, what, text string) {
	prose := strings.Join(strings.Fields(c.prose(what, text)), " ")
	if phrase := c.rules.phrases.FindString(prose); phrase != "" {
		c.report(pos, what, firstLine(text), phrase)
	}
}

// text checks each word of a text.
func (c *fileCheck) text(pos token.Pos, what, text string) {
	prose := c.prose(what, text)
	for _, word := range textWord.FindAllString(prose, -1) {
		if c.rules.textWords.MatchString(word) {
			c.report(pos, what, firstLine(text), word)
			return
		}
	}
}

// firstLine returns the first line of a text.
func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// identifierWords splits a name at its capitals, digits and underscores: HTTPRequest2 has the words http and request.
func identifierWords(name string) []string {
	var words []string
	runes := []rune(name)
	start := 0
	flush := func(end int) {
		if end > start {
			words = append(words, strings.ToLower(string(runes[start:end])))
		}
	}
	for i, char := range runes {
		switch {
		case !unicode.IsLetter(char):
			flush(i)
			start = i + 1
		case unicode.IsUpper(char) && beginsWord(runes, i):
			flush(i)
			start = i
		}
	}
	flush(len(runes))
	return words
}

// beginsWord reports whether the capital at i begins a word: there is a small letter right before or after it.
func beginsWord(runes []rune, i int) bool {
	followsSmall := i > 0 && unicode.IsLower(runes[i-1])
	precedesSmall := i+1 < len(runes) && unicode.IsLower(runes[i+1])
	return followsSmall || precedesSmall
}
