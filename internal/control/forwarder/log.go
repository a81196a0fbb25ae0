package forwarder

import (
	"fmt"
	"strconv"
	"strings"
)

// logLine formats a log line as "text: key=value key=value".
func logLine(text string, attributes []any) string {
	line := &strings.Builder{}
	line.WriteString(text)
	separator := ": "
	for i := 0; i+1 < len(attributes); i += 2 {
		fmt.Fprintf(line, "%s%v=%s", separator, attributes[i], attributeValue(attributes[i+1]))
		separator = " "
	}
	return line.String()
}

// attributeValue formats a value, quoted if it is empty or contains spaces, quotes or equals signs.
func attributeValue(value any) string {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " \t\n\"=") {
		return strconv.Quote(text)
	}
	return text
}
