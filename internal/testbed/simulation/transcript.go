package simulation

import (
	"fmt"
	"time"

	"valvecove/internal/testbed/simapi"
)

// AppendInput appends a line with all fields of an input to b.
func AppendInput(b []byte, now time.Duration, input *simapi.Input) []byte {
	b = fmt.Appendf(b, "in %d %d %T", now, input.Scheduler, input.Message)
	switch message := input.Message.(type) {
	case simapi.RequestReceived:
		b = fmt.Appendf(b, " %d %+v", message.Conn, *message.Request)
	case simapi.CallbackReceived:
		callback := *message.Callback
		result := ""
		if callback.Result != nil {
			result, callback.Result = *callback.Result, nil
		}
		b = fmt.Appendf(b, " %d %d %+v %q", message.Worker, message.CallbackID, callback, result)
	case simapi.ListReceived:
		b = fmt.Appendf(b, " %+v", *message.List)
	default:
		b = fmt.Appendf(b, " %+v", message)
	}
	return append(b, '\n')
}

// AppendOutput appends a line with all fields of an output to b.
func AppendOutput(b []byte, now time.Duration, output *simapi.Output) []byte {
	return fmt.Appendf(b, "out %d %d %T %+v\n", now, output.Scheduler, output.Message, output.Message)
}
