package metrics

import (
	"strconv"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/requests"
)

// Target sends batches of lines. Send must not block; it returns an error if it can't send the batch at once. It must not use the
// batch after it has returned.
type Target interface{ Send(batch []byte) error }

// Exporter writes counters, gauges and timers as statsd or influx lines, and sends them to its targets in batches. It is an
// observer of the request table, and is used on the goroutine of that table.
type Exporter struct {
	// PeerCounts returns the counts of messages between schedulers. If it is nil, none are exported.
	PeerCounts func() PeerCounts

	conf     config.Metrics
	counters *Counters
	now      func() time.Duration
	targets  []Target
	exported []exportedCounts // by group of the counters
	buffer   lineBuffer
	line     []byte // reused

	exportedUnreadable uint64
	exportedPeers      PeerCounts
	dropped            uint64 // lines dropped for lack of space since the last Gather
	sendErrors         uint64 // batches that a target could not send since the last Gather
}

// exportedCounts contains the counts of a group at the last Gather. A line contains the difference since.
type exportedCounts struct {
	jobs, attempts [len(requests.Outcomes)]uint64
}

// NewExporter returns an exporter of counters that observe the same request table. now returns the time since the Unix epoch.
func NewExporter(conf config.Metrics, counters *Counters, now func() time.Duration, targets ...Target) *Exporter {
	return &Exporter{
		conf:     conf,
		counters: counters,
		now:      now,
		targets:  targets,
		exported: make([]exportedCounts, len(counters.groups)),
	}
}

// Interval returns the interval at which Gather and Send must be called.
func (e *Exporter) Interval() time.Duration { return e.conf.FlushInterval }

// Observe writes the timers of a request that has ended.
func (e *Exporter) Observe(notification requests.Notification) {
	if notification.Kind != requests.RequestEnded {
		return
	}
	request := notification.Request
	e.addTimer("time", request, e.now()-request.ArrivedAt)
	if request.FirstSentAt > 0 {
		e.addTimer("held", request, request.FirstSentAt-request.ArrivedAt)
	}
}

// addTimer writes a timer of a request.
func (e *Exporter) addTimer(name string, request *requests.Request, duration time.Duration) {
	milliseconds := float64(duration) / float64(time.Millisecond)
	e.add(metric{
		name:  name,
		kind:  timer,
		value: strconv.FormatFloat(milliseconds, 'f', 3, 64),
		tags:  e.tags(e.counters.groupIndex(request), request.Outcome()),
	})
}

// tags returns the tags of a group, and of an outcome unless that is empty.
func (e *Exporter) tags(groupIndex int, outcome requests.Outcome) []tag {
	tenant, class := e.counters.groupNames(groupIndex)
	return []tag{{"tenant", tenant}, {"class", class}, {"outcome", string(outcome)}}
}

// add writes a metric as a line to the buffer.
func (e *Exporter) add(written metric) {
	if e.conf.Format == "influx" {
		e.line = appendInflux(e.line[:0], written, e.now())
	} else {
		e.line = appendStatsd(e.line[:0], written)
	}
	e.dropped += e.buffer.add(e.line)
}

// addCounter writes a counter unless it is 0.
func (e *Exporter) addCounter(name string, count uint64, tags []tag) {
	if count > 0 {
		e.add(metric{name: name, kind: counter, value: strconv.FormatUint(count, 10), tags: tags})
	}
}

// addGauge writes a gauge.
func (e *Exporter) addGauge(name string, value int, tags []tag) {
	e.add(metric{name: name, kind: gauge, value: strconv.Itoa(value), tags: tags})
}

// Gather writes the increases of the counters since its last call, and the current gauges, to the buffer.
func (e *Exporter) Gather() {
	for index := range e.exported {
		e.gatherCounts(index)
	}
	for index := range e.counters.groups {
		group := &e.counters.groups[index]
		if !group.active {
			continue
		}
		tags := e.tags(index, "")
		e.addGauge("open", group.openRequests, tags)
		e.addGauge("out", group.attemptsInFlight, tags)
	}
	unreadable := e.counters.unreadable
	e.addCounter("bad_requests", unreadable-e.exportedUnreadable, nil)
	e.exportedUnreadable = unreadable
	e.gatherPeerCounts()
	e.addOwnCounter("figures_dropped", &e.dropped)
	e.addOwnCounter("figures_send_errors", &e.sendErrors)
}

// gatherCounts writes the increases of a group's counters since the last Gather.
func (e *Exporter) gatherCounts(index int) {
	group := &e.counters.groups[index]
	exported := &e.exported[index]
	for outcome, name := range requests.Outcomes {
		jobs := group.jobsByOutcome(outcome)
		attempts := group.attempts[outcome]
		if jobs == exported.jobs[outcome] && attempts == exported.attempts[outcome] {
			continue
		}
		tags := e.tags(index, name)
		e.addCounter("jobs", jobs-exported.jobs[outcome], tags)
		e.addCounter("attempts", attempts-exported.attempts[outcome], tags)
		exported.jobs[outcome] = jobs
		exported.attempts[outcome] = attempts
	}
}

// addOwnCounter writes a counter of the exporter itself. It resets the counter before, as writing the line may increment it.
func (e *Exporter) addOwnCounter(name string, count *uint64) {
	value := *count
	*count = 0
	e.addCounter(name, value, nil)
}

// Send sends at most maxBatches batches to the targets, and reports whether more lines are pending. A batch that a target can't
// send is counted, and is not sent to it again.
func (e *Exporter) Send(maxBatches int) (more bool) {
	for range maxBatches {
		if len(e.buffer.pending()) == 0 {
			break
		}
		batch := e.buffer.take(e.conf.MaxBatchBytes)
		for _, target := range e.targets {
			if target.Send(batch) != nil {
				e.sendErrors++
			}
		}
	}
	if len(e.buffer.pending()) > 0 {
		return true
	}
	e.buffer.reset()
	return false
}
