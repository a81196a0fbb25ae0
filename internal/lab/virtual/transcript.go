package virtual

import (
	"math"
	"strconv"
	"time"

	"valvecove/internal/lab/edge"
)

// AppendIn writes something that reached a scheduler as a line, each field in it.
func AppendIn(b []byte, now time.Duration, in *edge.In) []byte {
	b = number(append(b, "in"...), int64(now), int64(in.Kind), int64(in.Sched), int64(in.Node), int64(in.Conn),
		int64(in.Status), int64(in.Disco), int64(in.Mode), int64(in.Machine), int64(in.Bytes), int64(in.NoteID), flag(in.Reset),
		flag(in.Rejected))
	if a := in.Ask; a != nil {
		b = text(b, a.Call, a.Key)
		b = number(b, int64(a.Class), int64(a.Tenant), int64(a.Budget), int64(a.Hint), bits(a.Slots), int64(a.Body),
			flag(a.Again))
	}
	if n := in.Note; n != nil {
		b = text(b, n.CallID, n.EndpointID, n.State)
		if b = number(b, bits(n.Progress)); n.Result != nil {
			b = text(b, *n.Result)
		}
	}
	if g := in.List; g != nil {
		b = number(b, g.Revision, flag(g.Reset))
		for i := range g.Endpoints {
			h := &g.Endpoints[i]
			b = text(b, h.ID, h.Addr, h.Zone, h.MachineType, h.Lifecycle)
			b = number(b, int64(h.Cell), bits(h.Weight), h.StartedAtMs)
		}
	}
	if t := in.Boot; t != nil {
		b = text(b, t.Name)
		b = number(b, int64(t.Seed), int64(t.Disco), t.Known.Revision, int64(len(t.Known.Endpoints)))
	}
	if o := in.Odd; o != nil {
		b = text(b, o.Kind, o.Call)
		b = number(b, int64(o.N))
	}
	return append(b, '\n')
}

// AppendOut does the same with something that came from one.
func AppendOut(b []byte, now time.Duration, o *edge.Out) []byte {
	b = number(append(b, "out"...), int64(now), int64(o.Kind), int64(o.Sched), int64(o.Node), int64(o.Machine), int64(o.Status),
		int64(o.Conn), int64(o.NoteID), int64(o.Budget), int64(o.First), int64(o.After), flag(o.Load))
	return append(text(b, o.Call, o.Key, o.Result), '\n')
}

func number(b []byte, all ...int64) []byte {
	for _, n := range all {
		b = strconv.AppendInt(append(b, ' '), n, 10)
	}
	return b
}

func text(b []byte, all ...string) []byte {
	for _, s := range all {
		b = strconv.AppendQuote(append(b, ' '), s)
	}
	return b
}

func bits(x float64) int64 { return int64(math.Float64bits(x)) }

func flag(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
