package simulation

import (
	"math"
	"strconv"
	"time"

	"valvecove/internal/testbed/simapi"
)

// AppendInput appends a line with all fields of an input to b.
func AppendInput(b []byte, now time.Duration, input *simapi.Input) []byte {
	b = appendNumbers(append(b, "in"...), int64(now), int64(input.Kind), int64(input.Scheduler), int64(input.Worker), int64(input.Conn),
		int64(input.Status), int64(input.Discovery), int64(input.Mode), int64(input.Machine), int64(input.Bytes), int64(input.CallbackID), boolBit(input.Reset),
		boolBit(input.Rejected))
	if a := input.Request; a != nil {
		b = appendTexts(b, a.RequestID, a.IdempotencyKey)
		b = appendNumbers(b, int64(a.Class), int64(a.Tenant), int64(a.Budget), int64(a.CostHint), floatBits(a.Slots), int64(a.BodyLength),
			boolBit(a.Retry))
	}
	if n := input.Callback; n != nil {
		b = appendTexts(b, n.CallID, n.EndpointID, n.State)
		if b = appendNumbers(b, floatBits(n.Progress)); n.Result != nil {
			b = appendTexts(b, *n.Result)
		}
	}
	if g := input.List; g != nil {
		b = appendNumbers(b, g.Revision, boolBit(g.Reset))
		for i := range g.Endpoints {
			h := &g.Endpoints[i]
			b = appendTexts(b, h.ID, h.Addr, h.Zone, h.MachineType, h.Lifecycle)
			b = appendNumbers(b, int64(h.Cell), floatBits(h.Weight), h.StartedAtMs)
		}
	}
	if t := input.Start; t != nil {
		b = appendTexts(b, t.Name)
		b = appendNumbers(b, int64(t.Seed), int64(t.Discovery), t.KnownEndpoints.Revision, int64(len(t.KnownEndpoints.Endpoints)))
	}
	if o := input.Misbehavior; o != nil {
		b = appendTexts(b, o.Kind, o.RequestID)
		b = appendNumbers(b, int64(o.Number))
	}
	return append(b, '\n')
}

// AppendOutput appends a line with all fields of an output to b.
func AppendOutput(b []byte, now time.Duration, o *simapi.Output) []byte {
	b = appendNumbers(append(b, "out"...), int64(now), int64(o.Kind), int64(o.Scheduler), int64(o.Worker), int64(o.Machine), int64(o.Status),
		int64(o.Conn), int64(o.CallbackID), int64(o.Budget), int64(o.FirstByteAt), int64(o.RetryAfter), boolBit(o.WantsLoadReport))
	return append(appendTexts(b, o.RequestID, o.IdempotencyKey, o.Result), '\n')
}

func appendNumbers(b []byte, all ...int64) []byte {
	for _, n := range all {
		b = strconv.AppendInt(append(b, ' '), n, 10)
	}
	return b
}

func appendTexts(b []byte, all ...string) []byte {
	for _, s := range all {
		b = strconv.AppendQuote(append(b, ' '), s)
	}
	return b
}

func floatBits(x float64) int64 { return int64(math.Float64bits(x)) }

func boolBit(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
