package checker

import (
	"fmt"
	"net/http"
	"time"

	"valvecove/internal/testbed/trace"
)

// This file holds the rules for warming workers, misbehaving clients and the limits of a scheduler's process.

// coldArrival is work that came to a cold worker.
type coldArrival struct {
	receivedAt time.Duration
	scheduler  int
	work       float64
	capacity   float64
}

func (j *Checker) coldWorkReceived(s *trace.Event) {
	list := j.coldWork[s.Worker]
	if len(list) == maxColdWork {
		list = append(list[:0], list[1:]...)
	}
	j.coldWork[s.Worker] = append(list, coldArrival{s.At, s.Scheduler, s.Slots * s.Work, s.Share})
	j.checkCounts[ruleCold]++
}

func (j *Checker) workerOverloaded(s *trace.Event) {
	j.recordFleetEvent(s)
	if s.Share < 2.0/3 {
		return
	}
	before := len(j.violations)
	j.report(ruleCold, nil, "", "w-%d was overloaded while warming up, %.0f %% of the work from schedulers notified of its start",
		s.Worker, 100*s.Share)
	if len(j.violations) > before {
		j.violations[before].Explanation = j.explainColdWork(s.Worker)
	}
}

// misbehaviorDeadline is the time within which a misbehaving client of a kind has its error or its close.
func (j *Checker) misbehaviorDeadline(kind string) time.Duration {
	d := j.spec.Rules.MisbehaviorDeadline.Std()
	if kind == "huge_body" {
		d *= 2
	}
	return d + j.slack
}

func (j *Checker) misbehavingClientAnswered(event *trace.Event) {
	b, known := j.misbehaving[event.Conn]
	if !known {
		j.counts.Unknown++
		return
	}
	again := b.answered
	b.answered = true
	j.misbehaving[event.Conn] = b
	j.checkCounts[ruleBadClients]++
	switch took := event.At - b.connectedAt; {
	case event.Status == http.StatusOK:
		j.report(ruleBadClients, nil, "", "a misbehaving client (%s) was served as if its request had run", b.kind)
	case !again && took > j.misbehaviorDeadline(b.kind)+j.observationLateness():
		j.report(ruleBadClients, nil, "", "a misbehaving client (%s) waited %v for an error or a close", b.kind, took)
	}
}

func (j *Checker) reportUnansweredClient(b misbehavingClient) {
	j.checkCounts[ruleBadClients]++
	j.report(ruleBadClients, nil, "", "a misbehaving client (%s) of %v has neither an error nor a close", b.kind, b.connectedAt)
}

func (j *Checker) checkUsage(event *trace.Event) {
	j.checkCounts[ruleLimits]++
	scheduler, own := j.scheduler(event.Scheduler), &j.spec.Schedulers
	text := ""
	switch {
	case own.MemoryMB > 0 && event.Memory > int64(own.MemoryMB)<<20:
		text = fmt.Sprintf("scheduler %d holds %.1f MB, of %d allowed", event.Scheduler, float64(event.Memory)/(1<<20), own.MemoryMB)
	case own.Sockets > 0 && event.OpenFiles > own.Sockets:
		text = fmt.Sprintf("scheduler %d holds %d descriptors, of %d allowed", event.Scheduler, event.OpenFiles, own.Sockets)
	}
	if text == "" || scheduler.overLimits {
		return
	}
	scheduler.overLimits = true
	j.recordFleetEvent(event)
	j.report(ruleLimits, nil, "", "%s", text)
}
