package report

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// outline parses an HTML page and returns its structure: sections, plots, and the columns of tables. It fails the test if the
// page refers to anything outside itself, or if a plot has no title or description.
func outline(t *testing.T, text string) string {
	t.Helper()
	checkSelfContained(t, text)
	decoder := xml.NewDecoder(strings.NewReader(text))
	decoder.Strict, decoder.AutoClose, decoder.Entity = false, []string{"meta", "link"}, xml.HTMLEntity
	reader := outlineReader{t: t, ids: map[string]bool{}}
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		reader.read(token)
	}
	plots := reader.plots
	if plots == 0 || plots != strings.Count(text, "<desc") || plots != strings.Count(text, `role="img"`) {
		t.Error("no plots, or a plot without title or description")
	}
	return reader.outline.String()
}

// checkSelfContained fails the test if a page refers to anything outside itself, or if the template rejected a value, for
// which it writes ZgotmplZ.
func checkSelfContained(t *testing.T, text string) {
	t.Helper()
	for _, reference := range []string{
		"http://", "https://", "src=", "url(", "@import", "<script", "<link", "<iframe",
		"srcset", "ZgotmplZ",
	} {
		if strings.Contains(text, reference) {
			t.Errorf("the page has %s", reference)
		}
	}
}

// outlineReader collects the structure of a page.
type outlineReader struct {
	t       *testing.T
	outline strings.Builder
	path    []string // of the open elements
	ids     map[string]bool
	plots   int
}

func (r *outlineReader) read(token xml.Token) {
	r.t.Helper()
	switch token := token.(type) {
	case xml.StartElement:
		r.path = append(r.path, token.Name.Local)
		for _, attribute := range token.Attr {
			r.readAttribute(token.Name.Local, attribute)
		}
	case xml.EndElement:
		r.path = r.path[:len(r.path)-1]
	case xml.CharData:
		r.readText(string(token))
	}
}

func (r *outlineReader) readAttribute(element string, attribute xml.Attr) {
	r.t.Helper()
	value := attribute.Value
	switch attribute.Name.Local {
	case "id":
		if r.ids[value] {
			r.t.Errorf("duplicate id %s", value)
		}
		r.ids[value] = true
		if element == "section" {
			fmt.Fprintln(&r.outline, "section", value)
		}
	case "href":
		if !strings.HasPrefix(value, "#") {
			r.t.Errorf("the page refers to %s", value)
		}
	case "aria-labelledby":
		r.plots++
		fmt.Fprintln(&r.outline, "  plot", strings.TrimSuffix(strings.Fields(value)[0], "-t"))
	}
}

func (r *outlineReader) readText(text string) {
	r.t.Helper()
	switch path := strings.Join(r.path, " "); {
	case strings.HasSuffix(path, "thead tr th") && strings.TrimSpace(text) != "":
		fmt.Fprintln(&r.outline, "  column", strings.TrimSpace(text))
	case strings.HasSuffix(path, "figure svg desc") && len(text) < 20:
		r.t.Errorf("plot with the short description %q", text)
	}
}
