package metrics

import (
	"strconv"

	"valvecove/internal/requests"
)

// Totals holds the counts. It is used by the goroutine that has the ledger.
type Totals struct {
	names    []string
	ended    [len(words)][]uint64 // by answer and class
	attempts uint64               // written whole to worker nodes
}

// words are the names of the figures by answer.
var words = [...]string{requests.ResponseResult: "success", requests.ResponseRejected: "busy", requests.ResponseFailed: "failure"}

// NewTotals returns a tally of the classes, each at nothing.
func NewTotals(classes []string) *Totals {
	t := &Totals{names: classes}
	for a := range t.ended {
		t.ended[a] = make([]uint64, len(classes))
	}
	return t
}

// Observe takes in news of a query. One that its client left is counted nowhere; one that was refused at the door for
// want of room is busy; what could not be read as a query is no job.
func (t *Totals) Observe(n requests.Notification) {
	switch n.Kind {
	case requests.RequestEnded:
		if a := n.Request.Response(); a != requests.ResponseNone {
			t.count(a, n.Request.Job.Class)
		}
	case requests.RequestRejected:
		if n.Request != nil && n.Status == 503 {
			t.count(requests.ResponseRejected, n.Request.Job.Class)
		}
	case requests.AttemptWritten:
		t.attempts++
	}
}

func (t *Totals) count(a requests.Response, class int) {
	if class >= 0 && class < len(t.names) {
		t.ended[a][class]++
	}
}

// Ended tells how many jobs of a class got that answer.
func (t *Totals) Ended(a requests.Response, class int) uint64 { return t.ended[a][class] }

// Gauges are the figures that hold at the moment of a call.
type Gauges struct {
	Inflight int // jobs taken and not ended
	Listed   int // worker nodes in the list
	Down     int // of those, that are avoided by hand or by choice
}

const callPrefix = "edge_proxy."

// Append writes all figures to b, a line each.
func (t *Totals) Append(b []byte, now Gauges) []byte {
	for a, word := range words {
		if word == "" {
			continue
		}
		for i, name := range t.names {
			b = append(append(append(b, callPrefix...), word...), '.')
			b = append(append(b, name...), '=')
			b = append(strconv.AppendUint(b, t.ended[a][i], 10), '\n')
		}
	}
	b = appendCallLine(b, "backend_calls", t.attempts)
	b = appendCallLine(b, "inflight", uint64(now.Inflight))
	b = appendCallLine(b, "hosts_listed", uint64(now.Listed))
	return appendCallLine(b, "hosts_down", uint64(now.Down))
}

func appendCallLine(b []byte, name string, n uint64) []byte {
	b = append(append(append(b, callPrefix...), name...), '=')
	return append(strconv.AppendUint(b, n, 10), '\n')
}
