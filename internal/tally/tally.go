// Package tally counts, from the start of the process on, what became of jobs, for the operators' figures call. It
// hears of them as an observer of the ledger and decides nothing. Classes are named as in the settings, never by what a
// client wrote.
package tally

import (
	"strconv"

	"valvecove/internal/requests"
)

// Tally holds the counts. It is used by the goroutine that has the ledger.
type Tally struct {
	names    []string
	ended    [len(words)][]uint64 // by answer and class
	attempts uint64               // written whole to worker nodes
}

// words are the names of the figures by answer.
var words = [...]string{requests.ResponseResult: "success", requests.ResponseRejected: "busy", requests.ResponseFailed: "failure"}

// New returns a tally of the classes, each at nothing.
func New(classes []string) *Tally {
	t := &Tally{names: classes}
	for a := range t.ended {
		t.ended[a] = make([]uint64, len(classes))
	}
	return t
}

// Observe takes in news of a query. One that its client left is counted nowhere; one that was refused at the door for
// want of room is busy; what could not be read as a query is no job.
func (t *Tally) Observe(n requests.Notification) {
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

func (t *Tally) count(a requests.Response, class int) {
	if class >= 0 && class < len(t.names) {
		t.ended[a][class]++
	}
}

// Ended tells how many jobs of a class got that answer.
func (t *Tally) Ended(a requests.Response, class int) uint64 { return t.ended[a][class] }

// Now are the figures that hold at the moment of a call.
type Now struct {
	Inflight int // jobs taken and not ended
	Listed   int // worker nodes in the list
	Down     int // of those, that are avoided by hand or by choice
}

const prefix = "edge_proxy."

// Append writes all figures to b, a line each.
func (t *Tally) Append(b []byte, now Now) []byte {
	for a, word := range words {
		if word == "" {
			continue
		}
		for i, name := range t.names {
			b = append(append(append(b, prefix...), word...), '.')
			b = append(append(b, name...), '=')
			b = append(strconv.AppendUint(b, t.ended[a][i], 10), '\n')
		}
	}
	b = line(b, "backend_calls", t.attempts)
	b = line(b, "inflight", uint64(now.Inflight))
	b = line(b, "hosts_listed", uint64(now.Listed))
	return line(b, "hosts_down", uint64(now.Down))
}

func line(b []byte, name string, n uint64) []byte {
	b = append(append(append(b, prefix...), name...), '=')
	return append(strconv.AppendUint(b, n, 10), '\n')
}
