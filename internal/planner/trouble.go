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

	"valvecove/internal/tier"
	"valvecove/logic"
)

// trouble is what becomes of a module that panics. What it knew can't be trusted any more: a new one is told all that
// the book has, head by head, and a head at which that one panics too is given back to its forwarder. So no session
// ends, and a head that makes modules panic costs each planner that it comes to a module, and no other query anything.
// Closing all sessions instead, to be offered everything anew, would throw every query of every forwarder upon the next
// planner together with the one that is to blame. It remains the last resort.
type trouble struct {
	panics    []time.Duration // of late
	cause     string
	restUntil time.Duration // until then the module does nothing, and nobody is taken in
}

// moduleStep has the module step.
func (b *Book) moduleStep(events []logic.Event) (actions []logic.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			b.cause = fmt.Sprintf("%v, at %s", p, where())
			actions, ok = nil, false
		}
	}()
	return b.module.Step(b.now, events, b.actions), true
}

// where is the way to a panic, from the inside out, down to the module's step. It has no addresses: those differ from
// run to run.
func where() string {
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

// anew starts another module after a panic, and has it know what there is.
func (b *Book) anew() {
	b.counts.Panics++
	b.panics = append(slices.DeleteFunc(b.panics, func(at time.Duration) bool { return b.now-at >= panicSpan }), b.now)
	b.log("module panic: it is started anew with %d queries: %s", b.live, b.cause)
	b.actions = nil
	if len(b.panics) > panicsMost {
		b.letAllGo()
		return
	}
	b.suspect()
	for range culpritsMost {
		culprit, ok := b.retell()
		if ok {
			actions := b.actions
			b.actions = nil
			b.act(actions)
			return
		}
		if culprit == nil {
			break
		}
		b.giveBack(culprit)
	}
	b.letAllGo()
}

// suspect notes the heads that a step was about that has panicked. Where they are few, one that has been among them
// before is given back, though it can't be shown to be why.
func (b *Book) suspect() {
	ids := map[uint64]bool{}
	for _, e := range b.told {
		switch e := e.(type) {
		case logic.Job:
			ids[e.ID] = true
		case logic.Resumed:
			ids[e.Job.ID] = true
		case logic.Outcome:
			ids[e.Job] = true
		case logic.Started:
			ids[e.Job] = true
		case logic.Progressed:
			ids[e.Job] = true
		}
	}
	if len(ids) > suspectsMost {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if h := b.jobs[id]; h != nil && h.live {
			if h.strikes++; h.strikes >= strikesMost {
				b.giveBack(h)
			}
		}
	}
}

// retell makes a module and tells it all. It gives the head at which that panicked; nil where it did so at the list.
func (b *Book) retell() (culprit *head, ok bool) {
	b.fresh()
	heads := slices.SortedFunc(maps.Values(b.jobs), func(x, y *head) int { return cmp.Compare(x.id, y.id) })
	b.actions = nil
	steps := append([]*head{nil}, heads...)
	for _, h := range steps {
		if h != nil {
			b.event(b.resumed(h))
			if !h.live {
				b.event(logic.ClientGone{Job: h.id})
			}
		}
		events := b.events
		b.events = nil
		actions, ok := b.moduleStep(events)
		if !ok {
			return h, false
		}
		b.actions = actions
	}
	return nil, true
}

// fresh has a new module with nothing but the list.
func (b *Book) fresh() {
	b.module, b.moduleAt, b.asking = b.conf.Start(), 0, false
	b.events, b.news = nil, nil
	b.event(logic.WorkerList{Kind: logic.ListCached, Workers: b.all(), Generation: b.generation})
	if b.toldPart > 0 {
		b.event(logic.Shared{Of: 1, Part: b.toldPart})
	}
	b.dropProbes(func(probe) bool { return true })
}

// giveBack has a forwarder offer a query to another planner, or fail it if it has done this before. A head that is over
// is dropped with what is out of it.
func (b *Book) giveBack(h *head) {
	if h.live {
		b.counts.GivenBack++
		b.log("query %d of forwarder %s is given back: the module panics at it", h.query, h.f.name)
		b.sayTo(h.f, tier.Message{Kind: tier.Move, Query: h.query})
	}
	for i := range h.attempts {
		if !h.attempts[i].ended {
			b.endOne(h, i, logic.Cancelled)
		}
	}
	if b.close(h); b.jobs[h.id] == h {
		b.drop(h)
	}
}

// letAllGo closes all sessions: forwarders offer what they have to others, and in time here again.
func (b *Book) letAllGo() {
	b.log("the module panics again and again: %d sessions are closed", len(b.sessions))
	for _, id := range b.sessionIDs() {
		b.shut(b.sessions[id])
	}
	for _, id := range slices.Sorted(maps.Keys(b.jobs)) {
		h := b.jobs[id]
		for i := range h.attempts {
			if !h.attempts[i].ended {
				b.endOne(h, i, logic.Cancelled)
			}
		}
		b.drop(h)
	}
	b.panics, b.restUntil = b.panics[:0], b.now+restAfter
	b.fresh()
}
