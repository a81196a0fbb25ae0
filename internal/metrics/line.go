package metrics

import (
	"strconv"
	"strings"
	"time"
)

// figureKind is the kind of a figure.
type figureKind int

// Kinds of figures.
const (
	counter figureKind = iota // what was counted since the last line of that name and tags
	gauge                     // a value as it is now
	timer                     // one duration, in milliseconds
)

// figure is one line to be written.
type figure struct {
	name  string
	kind  figureKind
	value string
	tags  []tag
}

// tag is a name and a value. One with an empty value is not written.
type tag struct{ name, value string }

// lineNamePrefix begins the name of each figure.
const lineNamePrefix = "valvecove."

// maxTagBytes is how much of a tag's value is written.
const maxTagBytes = 128

// statsdKinds are the marks of the kinds in statsd lines, and influxFields the names of the value in influx lines.
var (
	statsdKinds  = [...]string{counter: "c", gauge: "g", timer: "ms"}
	influxFields = [...]string{counter: "count", gauge: "value", timer: "ms"}
)

// appendStatsd appends a statsd line with its tags behind "|#". That form has no escapes: characters that have a meaning in
// it, and those that are not visible, become underscores.
func appendStatsd(dst []byte, line figure) []byte {
	dst = append(dst, lineNamePrefix...)
	dst = append(dst, line.name...)
	dst = append(dst, ':')
	dst = append(dst, line.value...)
	dst = append(dst, '|')
	dst = append(dst, statsdKinds[line.kind]...)
	separator := "|#"
	for _, tag := range line.tags {
		if tag.value == "" {
			continue
		}
		dst = append(dst, separator...)
		dst = append(dst, tag.name...)
		dst = append(dst, ':')
		dst = append(dst, sanitise(tag.value, ",|#:@ ")...)
		separator = ","
	}
	return append(dst, '\n')
}

var influxTagEscaper = strings.NewReplacer(",", `\,`, " ", `\ `, "=", `\=`)

// appendInflux appends an influx line with a time in nanoseconds. Commas, spaces and equals signs are escaped in it. A
// backslash becomes an underscore: at the end of a tag it would escape what follows.
func appendInflux(dst []byte, line figure, now time.Duration) []byte {
	dst = append(dst, lineNamePrefix...)
	dst = append(dst, line.name...)
	for _, tag := range line.tags {
		if tag.value == "" {
			continue
		}
		dst = append(dst, ',')
		dst = append(dst, tag.name...)
		dst = append(dst, '=')
		dst = append(dst, influxTagEscaper.Replace(sanitise(tag.value, "\\"))...)
	}
	dst = append(dst, ' ')
	dst = append(dst, influxFields[line.kind]...)
	dst = append(dst, '=')
	dst = append(dst, line.value...)
	if line.kind != timer {
		dst = append(dst, 'i') // a whole number
	}
	dst = append(dst, ' ')
	dst = strconv.AppendInt(dst, int64(now), 10)
	return append(dst, '\n')
}

// sanitise cuts text to maxTagBytes and replaces each character that is not visible, not valid or in reserved by an
// underscore.
func sanitise(text, reserved string) string {
	return strings.Map(func(char rune) rune {
		if char < ' ' || char == 0x7f || char == 0xfffd || strings.ContainsRune(reserved, char) {
			return '_'
		}
		return char
	}, text[:min(len(text), maxTagBytes)])
}
