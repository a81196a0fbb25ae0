package forwarder

import (
	"fmt"
	"strings"
	"time"

	"valvecove/internal/control/message"
)

// resultNames holds the names of results in transcripts, by dispatch.Result.
var resultNames = []string{"ok", "failed", "full", "timeout", "noconnect", "reset", "cancelled", "notsent"}

// messageText formats a message for transcripts, with names in place of epochs and worker IDs.
func messageText(envelope message.Envelope, epochName func(message.Epoch) string, workerName func(uint64) string) string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "%v %s", envelope.Message.Kind(), epochName(envelope.Epoch))
	put := func(format string, args ...any) { fmt.Fprintf(text, " "+format, args...) }
	switch body := envelope.Message.(type) {
	case *message.RequestOffer:
		put("q%d remaining=%v", body.RequestID, body.Summary.Remaining)
		text.WriteString(summaryText(&body.Summary, workerName))
	case *message.AttemptEnded:
		put("q%d #%d %s", body.RequestID, body.Attempt, resultNames[body.Result])
		if body.Reason != message.ReasonNone {
			put("as %v", body.Reason)
		}
	case *message.AttemptStarted:
		put("q%d #%d", body.RequestID, body.Attempt)
	case *message.AttemptProgress:
		put("q%d #%d %v", body.RequestID, body.Attempt, body.Fraction)
	case *message.RequestClosed:
		put("q%d", body.RequestID)
	case *message.HealthCheckResult:
		put("%s %s", workerName(body.WorkerID), resultNames[body.Result])
	case *message.Heartbeat:
		put("%d", body.Sequence)
	case *message.WorkerStatus:
		started := time.Duration(body.StartedMs) * time.Millisecond
		put("%s start=%v revision=%d %v", workerName(body.WorkerID), started, body.Revision, body.State)
	}
	return text.String()
}

// summaryText formats the optional parts of an offer's summary, each with a leading space.
func summaryText(summary *message.RequestSummary, workerName func(uint64) string) string {
	text := &strings.Builder{}
	put := func(format string, args ...any) { fmt.Fprintf(text, " "+format, args...) }
	if summary.Waited > 0 {
		put("waited=%v", summary.Waited)
	}
	if summary.Transfers > 0 {
		put("transfers=%d", summary.Transfers)
	}
	for i, attempt := range summary.Attempts {
		put("[#%d %s %v ago", i, workerName(attempt.WorkerID), attempt.SentAgo)
		if attempt.StartedAgo > 0 {
			put("started %v ago", attempt.StartedAgo)
		}
		if attempt.Ended {
			put("%s", resultNames[attempt.Result])
		} else {
			put("in flight")
		}
		if attempt.PossiblyExecuted {
			put("possibly executed")
		}
		text.WriteString("]")
	}
	return text.String()
}
