package report

import (
	"fmt"
	"io"
	"os"
	"strings"
	"unicode/utf8"

	"golang.org/x/sys/unix"
)

// A page fits a terminal of this size.
const (
	pageWidth = 100
	pageLines = 60
)

// Styles of a line: the escape sequences that begin it.
const (
	plain  = ""
	strong = "\x1b[1m"
	good   = "\x1b[32m"
	poor   = "\x1b[31m"
	faint  = "\x1b[2m"

	styleEnd = "\x1b[0m"
)

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(file.Fd()), unix.TCGETS)
	return err == nil
}

// useColors reports whether w is a terminal that shows colours, and NO_COLOR is not set.
func useColors(w io.Writer) bool {
	return os.Getenv("NO_COLOR") == "" && os.Getenv("TERM") != "dumb" && isTerminal(w)
}

// textPage collects the lines of a page for a terminal.
type textPage struct {
	text   strings.Builder
	colour bool
}

// line adds a line, truncated to the page's width.
func (p *textPage) line(style, format string, args ...any) {
	text := truncateLine(strings.TrimRight(fmt.Sprintf(format, args...), " "), pageWidth)
	if p.colour && style != plain && text != "" {
		text = style + text + styleEnd
	}
	p.text.WriteString(text + "\n")
}

// writeTo writes the page.
func (p *textPage) writeTo(w io.Writer) error {
	_, err := io.WriteString(w, p.text.String())
	return err
}

// writeAtMost writes a list in at most maxLines lines. If the list is longer, the last line says how many entries are left
// out.
func writeAtMost[T any](p *textPage, list []T, maxLines int, name string, write func(entry *T)) {
	for i := range list {
		if i == maxLines-1 && len(list) > maxLines {
			p.line(faint, "  … and %d more %s", len(list)-i, name)
			return
		}
		write(&list[i])
	}
}

// truncateLine cuts a line to a number of characters, and replaces control characters by spaces.
func truncateLine(line string, width int) string {
	line = strings.Map(func(char rune) rune {
		if isControl(char) || char > 0x7f && char < 0xa0 {
			return ' '
		}
		return char
	}, line)
	if utf8.RuneCountInString(line) <= width {
		return line
	}
	return string([]rune(line)[:width-1]) + "…"
}

// barBlocks are characters that are filled from the left by 0 to 8 eighths.
var barBlocks = []rune(" ▏▎▍▌▋▊▉█")

// bar draws a fraction as a bar of a number of characters.
func bar(fraction float64, width int) string {
	full := len(barBlocks) - 1
	parts := int(min(max(fraction, 0), 1)*float64(full*width) + 0.5)
	var text strings.Builder
	for range width {
		filled := min(parts, full)
		text.WriteRune(barBlocks[filled])
		parts -= filled
	}
	return strings.TrimRight(text.String(), " ")
}

// sparkBlocks are characters that are filled from below by 0 to 8 eighths.
var sparkBlocks = []rune(" ▁▂▃▄▅▆▇█")

// sparkline draws a series with a character for each value. A full character stands for top; values above 0 fill at least an
// eighth.
func sparkline(series []float64, top float64) string {
	full := len(sparkBlocks) - 1
	var text strings.Builder
	for _, value := range series {
		filled := 0
		if top > 0 && value > 0 {
			filled = 1 + min(int(value/top*float64(full)), full-1)
		}
		text.WriteRune(sparkBlocks[filled])
	}
	return text.String()
}
