package forwarder

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// lossTraceInterval is the time between two samples of where the open requests of a cluster are.
const lossTraceInterval = millisecond

// lossSummary counts the lost requests by the place (see placeOf) where each spent the most time.
type lossSummary map[string]*lossCount

// lossCount counts the lost requests that spent the most time at one place.
type lossCount struct {
	requests  int
	totalTime time.Duration // spent there by all of them
}

// String returns a line for each place.
func (l lossSummary) String() string {
	var lines []string
	for _, place := range slices.Sorted(maps.Keys(l)) {
		count := l[place]
		lines = append(lines, fmt.Sprintf("%s: %d requests, %v", place, count.requests, count.totalTime/time.Duration(count.requests)))
	}
	return strings.Join(lines, "\n")
}

// lossTrace records how long each request of a cluster spends at each place.
type lossTrace struct {
	cluster *cluster
	spans   map[uint64]map[string]time.Duration // by request ID and place
}

// traceLosses adds the requests that the cluster loses to a summary.
func (c *cluster) traceLosses(summary lossSummary) {
	trace := &lossTrace{cluster: c, spans: map[uint64]map[string]time.Duration{}}
	check := c.onResponse
	c.onResponse = func(respondent *client, response string, retryAfter time.Duration) {
		if response != responseServed && respondent.request != nil {
			summary.add(trace.spans[respondent.request.ID])
		}
		check(respondent, response, retryAfter)
	}
	trace.sample()
}

// add counts a lost request at the place where it spent the most time.
func (l lossSummary) add(spans map[string]time.Duration) {
	longest := "not traced"
	for _, place := range slices.Sorted(maps.Keys(spans)) {
		if spans[place] > spans[longest] {
			longest = place
		}
	}
	if l[longest] == nil {
		l[longest] = &lossCount{}
	}
	l[longest].requests++
	l[longest].totalTime += spans[longest]
}

// sample records where the open requests are now, and schedules the next sample.
func (l *lossTrace) sample() {
	for request := range l.cluster.forwarder.requests.all() {
		if request.state == requestClosed {
			continue
		}
		spans := l.spans[request.job.ID]
		if spans == nil {
			spans = map[string]time.Duration{}
			l.spans[request.job.ID] = spans
		}
		spans[l.placeOf(request)] += lossTraceInterval
	}
	l.cluster.after(lossTraceInterval, func() {
		if !l.cluster.stopped {
			l.sample()
		}
	})
}

// placeOf describes what a request is assigned to or waits for, and whether an attempt of it is in flight.
func (l *lossTrace) placeOf(request *openRequest) string {
	place := "waiting, no planner"
	switch {
	case request.state == requestLocal:
		place = "local policy"
	case request.state == requestOffered && l.cluster.isUnresponsive(request.session.planner):
		place = "dead or frozen planner"
	case request.state == requestOffered:
		place = "planner"
	case l.cluster.forwarder.planners.anyAccepts():
		place = "waiting for a planner"
	}
	if l.cluster.forwarder.checks.hasAttempts(request) {
		place += ", attempt in flight"
	}
	return place
}

// isUnresponsive reports whether a planner is dead or frozen.
func (c *cluster) isUnresponsive(planner string) bool {
	return slices.ContainsFunc(c.planners, func(process *plannerProcess) bool {
		return process.name == planner && (process.planner == nil || process.frozen)
	})
}
