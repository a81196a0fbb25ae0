// Package metrics counts and times queries by tenant, class and outcome, and writes the figures out in batches, as
// statsd or influx lines. It hears of queries as an observer of the ledger and decides nothing. Tags are the names
// in the settings and the protocol's outcomes, never what a client wrote; what waits to be written is bounded.
package metrics

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/requests"
)

// Target takes batches. It does not wait for anything: what it can't take now is an error.
type Target interface{ Send(batch []byte) error }

// mostPending is how many bytes of figures may wait to be written.
const mostPending = 256 << 10

// Exporter are the counters, gauges and timers since the last flush.
type Exporter struct {
	conf    config.Metrics
	names   requests.NameTable
	now     func() time.Duration
	targets []Target
	gauges  []gauge  // by tenant and class
	counts  []counts // by tenant, class and outcome
	bad     uint64   // requests that could not be read as a query
	dropped uint64   // figures for which there was no room
	errors  uint64   // batches that a target did not take
	pending []byte   // whole lines, oldest first
	from    int      // where they begin in it
	line    []byte
}

type gauge struct {
	seen      bool
	open, out int
}

type counts struct{ jobs, attempts uint64 }

// NewExporter returns figures that start at nothing.
func NewExporter(conf config.Metrics, names requests.NameTable, now func() time.Duration, targets ...Target) *Exporter {
	pairs := max(1, len(names.Tenants)) * len(names.Classes)
	return &Exporter{
		conf: conf, names: names, now: now, targets: targets, gauges: make([]gauge, pairs),
		counts: make([]counts, pairs*len(requests.Outcomes)),
	}
}

// pair is the place of a query's tenant and class.
func (f *Exporter) pair(q *requests.Request) int {
	return max(0, min(q.Job.Tenant, len(f.names.Tenants)-1))*len(f.names.Classes) + q.Job.Class
}

func (f *Exporter) count(q *requests.Request, o requests.Outcome) *counts {
	return &f.counts[f.pair(q)*len(requests.Outcomes)+slices.Index(requests.Outcomes[:], o)]
}

// Observe takes in news of a query.
func (f *Exporter) Observe(n requests.Notification) {
	switch n.Kind {
	case requests.RequestAdmitted:
		g := &f.gauges[f.pair(n.Request)]
		g.seen = true
		g.open++
	case requests.RequestRejected:
		if n.Request == nil || n.Status != 503 {
			f.bad++
		} else {
			f.count(n.Request, n.Request.Outcome()).jobs++
		}
	case requests.AttemptStarted:
		f.gauges[f.pair(n.Request)].out++
	case requests.AttemptEnded:
		f.count(n.Request, n.Err.Outcome()).attempts++
		f.gauges[f.pair(n.Request)].out--
	case requests.RequestEnded:
		q := n.Request
		f.gauges[f.pair(q)].open--
		f.count(q, q.Outcome()).jobs++
		f.time("time", q, f.now()-q.ArrivedAt)
		if q.FirstSentAt > 0 {
			f.time("held", q, q.FirstSentAt-q.ArrivedAt)
		}
	}
}

func (f *Exporter) time(name string, q *requests.Request, span time.Duration) {
	f.add(name, "ms", strconv.FormatFloat(float64(span)/float64(time.Millisecond), 'f', 3, 64), f.pair(q), string(q.Outcome()))
}

// add puts a figure among those that wait. Where there is no room the oldest make some.
func (f *Exporter) add(name, kind, value string, pair int, outcome string) {
	tags := [3][2]string{{"tenant", ""}, {"class", ""}, {"outcome", outcome}}
	if pair >= 0 {
		if len(f.names.Tenants) > 0 {
			tags[0][1] = f.names.Tenants[pair/len(f.names.Classes)]
		}
		tags[1][1] = f.names.Classes[pair%len(f.names.Classes)]
	}
	if f.conf.Format == "influx" {
		f.line = appendInflux(f.line[:0], name, kind, value, tags[:], f.now())
	} else {
		f.line = appendStatsd(f.line[:0], name, kind, value, tags[:])
	}
	for len(f.pending)-f.from+len(f.line) > mostPending && f.from < len(f.pending) {
		f.from += bytes.IndexByte(f.pending[f.from:], '\n') + 1
		f.dropped++
	}
	if f.from > mostPending/2 { // what has gone makes room for what comes
		f.pending = f.pending[:copy(f.pending, f.pending[f.from:])]
		f.from = 0
	}
	f.pending = append(f.pending, f.line...)
}

// appendStatsd writes a line with tags behind |#. The form knows no escapes: what has a meaning in it, and what is
// not visible, becomes an underscore.
func appendStatsd(b []byte, name, kind, value string, tags [][2]string) []byte {
	b = append(append(append(b, "valvecove."...), name...), ':')
	b = append(append(append(b, value...), '|'), kind...)
	separator := "|#"
	for _, t := range tags {
		if t[1] != "" {
			b = append(append(append(b, separator...), t[0]...), ':')
			separator = ","
			b = append(b, plain(t[1], ",|#:@ ")...)
		}
	}
	return append(b, '\n')
}

// appendInflux writes a line with a time in nanoseconds. Commas, spaces and equals signs are escaped in it; a
// backslash at the end of a tag would escape what follows.
func appendInflux(b []byte, name, kind, value string, tags [][2]string, now time.Duration) []byte {
	b = append(append(b, "valvecove."...), name...)
	for _, t := range tags {
		if t[1] != "" {
			b = append(append(append(append(b, ','), t[0]...), '='), influxTag.Replace(plain(t[1], "\\"))...)
		}
	}
	field := map[string]string{"c": " count=", "g": " value=", "ms": " ms="}[kind]
	if b = append(append(b, field...), value...); kind != "ms" {
		b = append(b, 'i')
	}
	return append(strconv.AppendInt(append(b, ' '), int64(now), 10), '\n')
}

var influxTag = strings.NewReplacer(",", `\,`, " ", `\ `, "=", `\=`)

// longestTag is how much of a name is written.
const longestTag = 128

// plain puts an underscore for each rune that is not visible, or that may not be there.
func plain(text, not string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == 0xfffd || strings.ContainsRune(not, r) {
			return '_'
		}
		return r
	}, text[:min(len(text), longestTag)])
}

// Gather puts the counters and gauges, as they are now, among the figures that wait.
func (f *Exporter) Gather() {
	whole := func(n uint64) string { return strconv.FormatUint(n, 10) }
	for i := range f.counts {
		c, pair, outcome := &f.counts[i], i/len(requests.Outcomes), string(requests.Outcomes[i%len(requests.Outcomes)])
		if c.jobs > 0 {
			f.add("jobs", "c", whole(c.jobs), pair, outcome)
		}
		if c.attempts > 0 {
			f.add("attempts", "c", whole(c.attempts), pair, outcome)
		}
		*c = counts{}
	}
	for pair, g := range f.gauges {
		if g.seen {
			f.add("open", "g", strconv.Itoa(g.open), pair, "")
			f.add("out", "g", strconv.Itoa(g.out), pair, "")
		}
	}
	for _, own := range []struct {
		name string
		n    *uint64
	}{{"bad_requests", &f.bad}, {"figures_dropped", &f.dropped}, {"figures_send_errors", &f.errors}} {
		if n := *own.n; n > 0 {
			*own.n = 0
			f.add(own.name, "c", whole(n), -1, "")
		}
	}
}

// Send hands on some batches of what waits, and tells whether more does. A batch that a target does not take is
// counted and dropped there.
func (f *Exporter) Send(batches int) (more bool) {
	for ; batches > 0 && f.from < len(f.pending); batches-- {
		rest := f.pending[f.from:]
		n := bytes.IndexByte(rest, '\n') + 1 // a figure that is too long goes out alone
		for n < len(rest) {
			next := n + bytes.IndexByte(rest[n:], '\n') + 1
			if next >= f.conf.MaxBatchBytes {
				break
			}
			n = next
		}
		for _, t := range f.targets {
			if t.Send(rest[:n]) != nil {
				f.errors++
			}
		}
		f.from += n
	}
	if f.from == len(f.pending) {
		f.pending, f.from = f.pending[:0], 0
		if cap(f.pending) > mostPending/4 {
			f.pending = nil
		}
		return false
	}
	return true
}

// Interval is how often figures are to be gathered and sent.
func (f *Exporter) Interval() time.Duration { return f.conf.FlushInterval }
