package metrics

import (
	"strconv"
	"strings"
	"time"
)

// metricKind is the kind of a metric.
type metricKind int

// Kinds of metrics.
const (
	counter metricKind = iota // the difference since the last line with the same name and tags
	gauge                     // the current value
	timer                     // one duration, in milliseconds
)

// metric is the content of one line.
type metric struct {
	name  string
	kind  metricKind
	value string
	tags  []tag
}

// tag is a name and a value. A tag with an empty value is not written.
type tag struct{ name, value string }

// lineNamePrefix is the prefix of each metric's name.
const lineNamePrefix = "valvecove."

// maxTagBytes is the maximum length of a tag's value. The rest is not written.
const maxTagBytes = 128

// statsdKinds contains the symbols of the kinds in statsd lines, and influxFields the names of the value in influx lines.
var (
	statsdKinds  = [...]string{counter: "c", gauge: "g", timer: "ms"}
	influxFields = [...]string{counter: "count", gauge: "value", timer: "ms"}
)

// appendStatsd appends a statsd line, with its tags after "|#". The format has no escape sequences: reserved and invisible
// characters are replaced by underscores.
func appendStatsd(dst []byte, line metric) []byte {
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

// influxTagEscaper escapes reserved characters of tags in influx lines.
var influxTagEscaper = strings.NewReplacer(",", `\,`, " ", `\ `, "=", `\=`)

// appendInflux appends an influx line with a time in nanoseconds. Commas, spaces and equals signs are escaped. A backslash is
// replaced by an underscore, as at the end of a tag it would escape the next character.
func appendInflux(dst []byte, line metric, now time.Duration) []byte {
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
		dst = append(dst, 'i') // integer
	}
	dst = append(dst, ' ')
	dst = strconv.AppendInt(dst, int64(now), 10)
	return append(dst, '\n')
}

// sanitise truncates text to maxTagBytes, and replaces each character that is invisible, invalid or in reserved by an underscore.
func sanitise(text, reserved string) string {
	return strings.Map(func(char rune) rune {
		if char < ' ' || char == 0x7f || char == 0xfffd || strings.ContainsRune(reserved, char) {
			return '_'
		}
		return char
	}, text[:min(len(text), maxTagBytes)])
}
