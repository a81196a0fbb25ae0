package forwarder

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// rejectionLogInterval is the time between two log lines about rejected commands.
const rejectionLogInterval = time.Second

// log writes a line for the operators: a constant message, and attributes as alternating keys and values.
func (f *Forwarder) log(text string, attributes ...any) {
	f.emit(dispatch.Log{Text: logLine(text, attributes)})
}

// logLine returns "text: key=value key=value".
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

// attributeValue returns the text of a value, quoted if it is not one word.
func attributeValue(value any) string {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " \t\n\"=") {
		return strconv.Quote(text)
	}
	return text
}

// rejections counts the commands of a planner that were rejected since they were last logged.
type rejections struct {
	byReason [message.ReasonCount]int
	total    int
}

func (r *rejections) add(reason message.RejectReason) {
	r.byReason[reason]++
	r.total++
}

// String lists the reasons with their counts.
func (r *rejections) String() string {
	var parts []string
	for reason := range message.ReasonCount {
		if count := r.byReason[reason]; count > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", reason, count))
		}
	}
	return strings.Join(parts, ", ")
}

// logRejections logs the commands of planners that were rejected, once in a while.
func (f *Forwarder) logRejections() {
	if f.now < f.nextRejectionLogAt {
		return
	}
	for _, session := range f.sessions {
		rejected := &session.rejections
		if rejected.total == 0 {
			continue
		}
		f.nextRejectionLogAt = f.now + rejectionLogInterval
		f.log("commands of a planner rejected", "planner", session.planner, "commands", rejected.total, "by_reason", rejected)
		*rejected = rejections{}
	}
}
