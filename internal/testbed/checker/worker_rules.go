package checker

import (
	"fmt"
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// This file holds the rules for warming workers, misbehaving clients and the limits of a scheduler's process.

// coldArrival is work that a worker received while it was warming up.
type coldArrival struct {
	receivedAt time.Duration
	scheduler  int
	work       float64 // seconds, times slots
	capacity   float64 // seconds of work a second
}

// coldWorkReceived records work that a worker received while it was warming up.
func (c *Checker) coldWorkReceived(event *trace.Event) {
	arrivals := c.coldWork[event.Worker]
	if len(arrivals) == maxColdWork {
		arrivals = append(arrivals[:0], arrivals[1:]...)
	}
	c.coldWork[event.Worker] = append(arrivals, coldArrival{
		receivedAt: event.At,
		scheduler:  event.Scheduler,
		work:       event.Slots * event.Work,
		capacity:   event.Share,
	})
	c.checkCounts[ruleCold]++
}

// notifiedShareLimit is the share of a warming worker's work from which on its overload is a violation: the share that came
// from schedulers that were notified of its start.
const notifiedShareLimit = 2.0 / 3

// workerOverloaded handles the overload of a worker that was warming up.
func (c *Checker) workerOverloaded(event *trace.Event) {
	c.recordFleetEvent(event)
	if event.Share < notifiedShareLimit {
		return
	}
	before := len(c.violations)
	c.report(ruleCold, nil, "", "w-%d was overloaded while warming up, %.0f %% of the work from schedulers notified of its start",
		event.Worker, 100*event.Share)
	if len(c.violations) > before {
		c.violations[before].Explanation = c.explainColdWork(event.Worker)
	}
}

// misbehaviorDeadline returns the time within which a misbehaving client of a kind has to be answered or disconnected.
func (c *Checker) misbehaviorDeadline(kind string) time.Duration {
	deadline := c.spec.Rules.MisbehaviorDeadline.Std()
	if kind == "huge_body" {
		deadline *= 2
	}
	return deadline + c.slack
}

// misbehavingClientAnswered handles a response to a misbehaving client, or the end of its connection.
func (c *Checker) misbehavingClientAnswered(event *trace.Event) {
	client, known := c.misbehaving[event.Conn]
	if !known {
		c.counts.Unknown++
		return
	}
	again := client.answered
	client.answered = true
	c.misbehaving[event.Conn] = client
	c.checkCounts[ruleBadClients]++
	switch took := event.At - client.connectedAt; {
	case event.Status == http.StatusOK:
		c.report(ruleBadClients, nil, "", "a misbehaving client (%s) was served as if its request had run", client.kind)
	case !again && took > c.misbehaviorDeadline(client.kind)+c.observationLateness():
		c.report(ruleBadClients, nil, "", "a misbehaving client (%s) waited %v for an error or a close", client.kind, took)
	}
}

// reportUnansweredClient reports a misbehaving client that was neither answered nor disconnected in time.
func (c *Checker) reportUnansweredClient(client misbehavingClient) {
	c.checkCounts[ruleBadClients]++
	c.report(ruleBadClients, nil, "", "a misbehaving client (%s) of %v has neither an error nor a close", client.kind, client.connectedAt)
}

// checkUsage checks the memory and descriptors of a scheduler's process against its limits, once a process.
func (c *Checker) checkUsage(event *trace.Event) {
	c.checkCounts[ruleLimits]++
	scheduler := c.scheduler(event.Scheduler)
	limits := &c.spec.Schedulers
	text := ""
	switch {
	case limits.MemoryMB > 0 && event.Memory > int64(limits.MemoryMB)<<20:
		text = fmt.Sprintf("scheduler %d holds %.1f MB, of %d allowed",
			event.Scheduler, float64(event.Memory)/(1<<20), limits.MemoryMB)
	case limits.Sockets > 0 && event.OpenFiles > limits.Sockets:
		text = fmt.Sprintf("scheduler %d holds %d descriptors, of %d allowed", event.Scheduler, event.OpenFiles, limits.Sockets)
	}
	if text == "" || scheduler.overLimits {
		return
	}
	scheduler.overLimits = true
	c.recordFleetEvent(event)
	c.report(ruleLimits, nil, "", "%s", text)
}
