package report

import (
	"bytes"
	_ "embed" // page.gohtml
	"html/template"
	"io"
	"strings"
)

//go:embed page.gohtml
var pageText string

var pageTemplate = template.Must(template.New("").Parse(pageText))

// Style classes of text and cells, as in the page's style sheet.
const (
	classGood = "good"
	classPoor = "poor"
	classText = "text" // a cell of prose, aligned to the left
)

// document is the data of an HTML page for the template, which escapes all of its text.
type document struct {
	Title, Description string
	Summary            []string
	Badge              *badge
	Tiles              []tile
	Sections           []section
}

// badge is the verdict at the top of the page.
type badge struct{ Class, Text string }

// tile is a figure at the top of the page.
type tile struct{ Name, Value, Remark string }

// section is a part of the page that the navigation links to.
type section struct {
	ID, Title    string
	Text         []string
	Explanations []explainedViolation
	Plots        []*plot
	Strip        *strip
	Tables       []table
	Pre          string // preformatted text
}

// explainedViolation is a violation as the page shows it.
type explainedViolation struct {
	Rule, At, Text string
	Explanation    []string
}

// table is a table of text.
type table struct {
	Caption     string
	Summary     string // summary under which the table is collapsed; empty: it is not
	TextColumns bool   // the last column is prose
	Columns     []string
	Lines       [][]cell // a line of one cell is a heading for the lines that follow
}

// cell is a cell of a table.
type cell struct{ Text, Class string }

// addBuild adds to the summary which build the figures are of, if that is known.
func (d *document) addBuild(build string) {
	if build != "" {
		d.Summary = append(d.Summary, "Run with "+build)
	}
}

// addScenario adds a section with the scenario's text, if there is one.
func (d *document) addScenario(text string) {
	if text != "" {
		d.Sections = append(d.Sections, section{ID: "scenario", Title: "Scenario", Pre: strings.TrimRight(text, "\n")})
	}
}

// addSection adds a section that has content.
func (d *document) addSection(section section, hasContent bool) {
	if hasContent {
		d.Sections = append(d.Sections, section)
	}
}

// write writes the page. It replaces control characters, which HTML does not allow but the template keeps, by spaces.
func (d *document) write(w io.Writer) error {
	var page bytes.Buffer
	if err := pageTemplate.ExecuteTemplate(&page, "page", d); err != nil {
		return err
	}
	text := page.Bytes()
	for i, char := range text {
		if isControl(rune(char)) && char != '\n' && char != '\t' {
			text[i] = ' '
		}
	}
	_, err := w.Write(text)
	return err
}

// isControl reports whether a character is an ASCII control character.
func isControl(char rune) bool { return char < ' ' || char == 0x7f }

// addRow adds a line to the table. A line without further cells is a heading.
func (t *table) addRow(first string, further ...string) {
	line := make([]cell, 0, len(further)+1)
	line = append(line, cell{Text: first})
	for _, text := range further {
		line = append(line, cell{Text: text})
	}
	t.Lines = append(t.Lines, line)
}

// setClass sets the style class of some cells of the last line.
func (t *table) setClass(class string, columns ...int) {
	line := t.Lines[len(t.Lines)-1]
	for _, column := range columns {
		line[column].Class = class
	}
}

// ColumnCount returns how many columns a heading spans. The template calls it.
func (t table) ColumnCount() int { return len(t.Columns) }

// Last returns the index of the last column. The template calls it.
func (t table) Last() int { return len(t.Columns) - 1 }
