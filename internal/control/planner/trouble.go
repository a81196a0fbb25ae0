package planner

import (
	"cmp"
	"fmt"
	"maps"
	"path"
	"runtime"
	"slices"
	"strings"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
)

// panicState is what becomes of a module that panics. What it knew can't be trusted any more: a new one is told all that
// the book has, head by head, and a head at which that one panics too is given back to its forwarder. So no session
// ends, and a head that makes modules panic costs each planner that it comes to a module, and no other query anything.
// Closing all sessions instead, to be offered everything anew, would throw every query of every forwarder upon the next
// planner together with the one that is to blame. It remains the last resort.
type panicState struct {
	recentPanics []time.Duration // of late
	panicCause   string
	backoffUntil time.Duration // until then the module does nothing, and nobody is taken in
}

// moduleStep has the module step.
func (b *Planner) moduleStep(events []dispatch.Event) (actions []dispatch.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			b.panicCause = fmt.Sprintf("%v, at %s", p, panicLocation())
			actions, ok = nil, false
		}
	}()
	return b.policy.Step(b.now, events, b.actions), true
}

// panicLocation is the way to a panic, from the inside out, down to the module's step. It has no addresses: those differ from
// run to run.
func panicLocation() string {
	var pcs [32]uintptr
	frames, way := runtime.CallersFrames(pcs[:runtime.Callers(3, pcs[:])]), []string{}
	for {
		f, more := frames.Next()
		if strings.HasSuffix(f.Function, ".moduleStep") || !more || len(way) == 8 {
			return strings.Join(way, ", ")
		}
		if !strings.HasPrefix(f.Function, "runtime.") {
			way = append(way, fmt.Sprintf("%s %s:%d", path.Base(f.Function), path.Base(f.File), f.Line))
		}
	}
}

// restartPolicy starts another module after a panic, and has it know what there is.
func (b *Planner) restartPolicy() {
	b.statistics.Panics++
	b.recentPanics = append(slices.DeleteFunc(b.recentPanics, func(at time.Duration) bool { return b.now-at >= panicWindow }), b.now)
	b.log("module panic: it is started anew with %d queries: %s", b.openCount, b.panicCause)
	b.actions = nil
	if len(b.recentPanics) > maxPanics {
		b.closeAllSessions()
		return
	}
	b.recordSuspects()
	for range maxPoisonRequests {
		culprit, ok := b.replay()
		if ok {
			actions := b.actions
			b.actions = nil
			b.execute(actions)
			return
		}
		if culprit == nil {
			break
		}
		b.returnPoison(culprit)
	}
	b.closeAllSessions()
}

// recordSuspects notes the heads that a step was about that has panicked. Where they are few, one that has been among them
// before is given back, though it can't be shown to be why.
func (b *Planner) recordSuspects() {
	ids := map[uint64]bool{}
	for _, e := range b.deliveredEvents {
		switch e := e.(type) {
		case dispatch.Job:
			ids[e.ID] = true
		case dispatch.JobResumed:
			ids[e.Job.ID] = true
		case dispatch.Outcome:
			ids[e.Job] = true
		case dispatch.Started:
			ids[e.Job] = true
		case dispatch.Progressed:
			ids[e.Job] = true
		}
	}
	if len(ids) > maxSuspects {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if h := b.requests[id]; h != nil && h.open {
			if h.failures++; h.failures >= maxFailures {
				b.returnPoison(h)
			}
		}
	}
}

// replay makes a module and tells it all. It gives the head at which that panicked; nil where it did so at the list.
func (b *Planner) replay() (culprit *request, ok bool) {
	b.newPolicy()
	heads := slices.SortedFunc(maps.Values(b.requests), func(x, y *request) int { return cmp.Compare(x.id, y.id) })
	b.actions = nil
	steps := append([]*request{nil}, heads...)
	for _, h := range steps {
		if h != nil {
			b.notifyPolicy(b.resumedJob(h))
			if !h.open {
				b.notifyPolicy(dispatch.ClientDisconnected{Job: h.id})
			}
		}
		events := b.pendingEvents
		b.pendingEvents = nil
		actions, ok := b.moduleStep(events)
		if !ok {
			return h, false
		}
		b.actions = actions
	}
	return nil, true
}

// newPolicy has a new module with nothing but the list.
func (b *Planner) newPolicy() {
	b.policy, b.policyTimerAt, b.subscribing = b.config.NewPolicy(), 0, false
	b.pendingEvents, b.workerUpdates = nil, nil
	b.notifyPolicy(dispatch.WorkerList{Kind: dispatch.ListCached, Workers: b.policyWorkers(), Revision: b.revision})
	if b.quotaShare > 0 {
		b.notifyPolicy(dispatch.ReplicasChanged{Replicas: 1, QuotaShare: b.quotaShare})
	}
	b.cancelHealthChecks(func(healthCheck) bool { return true })
}

// returnPoison has a forwarder offer a query to another planner, or fail it if it has done this before. A head that is over
// is dropped with what is out of it.
func (b *Planner) returnPoison(h *request) {
	if h.open {
		b.statistics.Poison++
		b.log("query %d of forwarder %s is given back: the module panics at it", h.forwarderID, h.forwarder.name)
		b.sendTo(h.forwarder, &message.TransferCommand{RequestID: h.forwarderID})
	}
	for i := range h.attempts {
		if !h.attempts[i].ended {
			b.endAttempt(h, i, dispatch.Cancelled)
		}
	}
	if b.closeRequest(h); b.requests[h.id] == h {
		b.removeRequest(h)
	}
}

// closeAllSessions closes all sessions: forwarders offer what they have to others, and in time here again.
func (b *Planner) closeAllSessions() {
	b.log("the module panics again and again: %d sessions are closed", len(b.sessions))
	for _, id := range b.sessionIDs() {
		b.closeSession(b.sessions[id])
	}
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		h := b.requests[id]
		for i := range h.attempts {
			if !h.attempts[i].ended {
				b.endAttempt(h, i, dispatch.Cancelled)
			}
		}
		b.removeRequest(h)
	}
	b.recentPanics, b.backoffUntil = b.recentPanics[:0], b.now+panicBackoff
	b.newPolicy()
}
