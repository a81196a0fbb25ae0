// Package aperture decides which part of a large fleet one scheduler looks at, so that with many schedulers and
// thousands of worker nodes not every one of them holds links to every other. It stands between the ledger and the
// decision module, as a module of its own: events in, actions out, no I/O, no clock, no chance. The module behind it
// knows of the worker nodes of the aperture alone, as a list that follows the rules of any other.
//
// Schedulers agree on who looks where without a word between them: each follows from the list of worker nodes, the
// number of schedulers and its own number among them. docs/design/aperture.md has the choice and its reasons.
//
// What may be relied on: the module is told of a worker node that is in the aperture as discovery tells it; of one
// that leaves it, that it is not ready, and that it is gone once no attempt of ours is out there; of no other. Each
// list of discovery's brings the module one of the same kind, be it empty. Jobs, outcomes and actions pass unchanged,
// but for timers, of which the earlier of two is asked for.
package aperture

import (
	"fmt"
	"time"

	"valvecove/logic"
)

const (
	tickEvery    = 250 * time.Millisecond // a look at load, silence and what is to leave
	refreshEvery = 50 * time.Millisecond  // the aperture is found anew at most so often: a storm of changes costs no more
	sayEvery     = time.Second            // a line for the operators at most so often
	sayShare     = 10                     // and only for a change of this part of the aperture
)

// Module makes the decisions that the aperture narrows.
type Module interface {
	Step(now time.Duration, events []logic.Event, dst []logic.Action) []logic.Action
}

// Config is how wide the aperture is. All schedulers of a deployment should have the same.
type Config struct {
	Least    int           // ready worker nodes that a scheduler looks at, at least; a tenth for each bound class
	Cover    int           // schedulers that look at each worker node, on the mean, at least; 2 or more
	OffBelow int           // a fleet of fewer worker nodes is looked at whole
	From     int           // and so is any by fewer schedulers than this, without an aperture
	Most     float64       // load widens the aperture to so many times its width at most
	WidenAt  float64       // it does where this share of jobs finds no room in time
	Dwell    time.Duration // what is not needed any more is let go after so long
}

// Defaults are what holds where nothing else is said.
func Defaults() Config {
	return Config{Least: 20, Cover: 2, OffBelow: 60, From: 2, Most: 8, WidenAt: 0.1, Dwell: 30 * time.Second}
}

// Aperture is one scheduler's, round its module. It is used by one goroutine.
type Aperture struct {
	inner  Module
	set    logic.Settings
	conf   Config
	me, of int // this scheduler's number among how many
	now    time.Duration
	fleet
	load

	missing bool          // the list is not followed: it was lost, or asked for, and nothing has come since
	armed   time.Duration // the timer that was asked for; 0: none
	innerAt time.Duration // the module's own; 0: none
	tickAt  time.Duration
	events  []logic.Event  // of a step, as the module is told them
	news    []logic.Worker // what the aperture itself changes
	freed   []uint64       // workers that have left it
	why     string         // the change that is to be told
	saidAt  time.Duration
	said    Size
}

// On tells whether so many schedulers have an aperture at all. Where they have none, nothing stands before the module.
func (c Config) On(schedulers int) bool { return schedulers >= max(2, c.From) }

// Wrap puts an aperture before a module that knows nothing. The module is to be made of the same settings.
func Wrap(inner Module, set logic.Settings, conf Config) *Aperture {
	a := &Aperture{inner: inner, set: set, conf: conf, missing: true}
	a.conf.Cover = max(rings, conf.Cover)
	a.number(set.Me, set.Replicas)
	a.fleet = newFleet(set)
	a.load = newLoad(set)
	return a
}

// Members tells that the schedulers have become other ones: this one is number me, from 0, of so many. It holds from
// the next step on. It changes what is looked at and who may warm up cold worker nodes, and no other setting. A new
// scheduler should take the next number, and the last one that of a scheduler that leaves: that moves the fewest.
func (a *Aperture) Members(me, of int) {
	a.number(me, of)
	a.reorder()
}

func (a *Aperture) number(me, of int) {
	a.of = max(1, of)
	a.me = (me%a.of + a.of) % a.of
}

// Size is what an aperture comes to.
type Size struct {
	Listed, Ready int // worker nodes, as discovery has them
	Held          int // of these in the aperture
	HeldReady     int
	Silent        int     // of these ready ones not heard of, though asked
	Whole         bool    // all are looked at, as there are few, or one scheduler
	Factor        float64 // by which load has widened it
}

// Size counts the worker nodes.
func (a *Aperture) Size() Size {
	s := Size{Whole: a.whole(), Factor: a.factor}
	for _, u := range a.units {
		s.Listed += u.sum[0].listed
		s.Ready += u.sum[0].up
		if u.held {
			s.Held += u.sum[0].listed
			s.HeldReady += u.sum[0].up
			s.Silent += u.sum[0].up - u.sum[0].well
		}
	}
	return s
}

// Step has the module step on what is in the aperture.
func (a *Aperture) Step(now time.Duration, events []logic.Event, dst []logic.Action) []logic.Action {
	a.now = max(now, a.now)
	due := a.innerAt > 0 && a.innerAt <= a.now
	if due {
		a.innerAt = 0
	}
	if a.armed <= a.now {
		a.armed = 0
	}
	told := a.events[:0]
	for _, e := range events {
		switch x := e.(type) {
		case logic.TimerFired:
			if !due { // it was the aperture's own
				continue
			}
			due = false
		case logic.WorkerList:
			if len(a.news) > 0 { // what came before is told before
				told = append(told, a.own())
			}
			e = a.list(x)
		case logic.Job:
			a.came(x)
		case logic.Outcome:
			a.ended(x)
		case logic.Started:
			a.heard(x.Worker)
		case logic.Progressed:
			a.heard(x.Worker)
		case logic.StreamBegun:
			a.heard(x.Worker)
		case logic.ClientGone:
			a.settle(x.Job)
		case logic.Probed:
			a.probed(x)
		case logic.Shared:
			a.Members(x.Me, x.Of)
		case logic.Resumed:
			after := a.resumed(x)
			if len(a.news) > 0 {
				told = append(told, a.own())
			}
			for _, n := range after {
				a.news = a.sync(n, a.news)
			}
		}
		told = append(told, e)
	}
	if a.now >= a.tickAt {
		a.tick()
	}
	if a.stale && a.now >= a.refreshed+refreshEvery {
		a.refresh()
	}
	if len(a.news) > 0 {
		told = append(told, a.own())
	}
	from := len(dst)
	if len(told) > 0 {
		dst = a.inner.Step(now, told, dst)
	}
	clear(told)
	a.events = told[:0]
	dst = a.did(dst, from)
	for _, id := range a.freed {
		if n := a.nodes[id]; n == nil || !n.told { // else it has come back at once
			dst = append(dst, logic.FreeLinks{Worker: id})
		}
	}
	a.freed = a.freed[:0]
	if a.why != "" && a.now >= a.saidAt+sayEvery {
		dst = append(dst, a.say())
	}
	return a.arm(dst)
}

// own makes a list of what the aperture itself changes. While the module waits for a list, changes would look like one
// that discovery has told, so it is told the whole list as it was known.
func (a *Aperture) own() logic.Event {
	l := logic.WorkerList{Kind: logic.ListDelta, Workers: append([]logic.Worker(nil), a.news...)}
	if a.news = a.news[:0]; a.missing {
		l = logic.WorkerList{Kind: logic.ListCached, Workers: a.all()}
	}
	return l
}

// did takes in what the module wants done. Its timers are kept back.
func (a *Aperture) did(dst []logic.Action, from int) []logic.Action {
	kept := dst[:from]
	for _, x := range dst[from:] {
		switch x := x.(type) {
		case logic.SetTimer:
			if at := a.now + max(x.After, 1); a.innerAt == 0 || at < a.innerAt {
				a.innerAt = at
			}
			continue
		case logic.Send:
			a.sent(x.Job, x.Worker)
		case logic.Refuse:
			a.settle(x.Job) // at once, or it has been judged before
		case logic.Fail:
			a.settle(x.Job)
		case logic.Probe:
			if n := a.nodes[x.Worker]; n != nil {
				a.ask(n)
			}
		case logic.Subscribe:
			a.missing = true
		}
		kept = append(kept, x)
	}
	clear(dst[len(kept):])
	return kept
}

// arm asks for a timer at the next thing that is due, the module's or the aperture's.
func (a *Aperture) arm(dst []logic.Action) []logic.Action {
	next := a.tickAt
	if a.stale {
		next = min(next, a.refreshed+refreshEvery)
	}
	if a.innerAt > 0 {
		next = min(next, a.innerAt)
	}
	if a.armed == 0 || next < a.armed {
		a.armed = max(next, a.now+1)
		dst = append(dst, logic.SetTimer{After: a.armed - a.now})
	}
	return dst
}

// tick looks at load and silence, and lets go what has not been needed for long.
func (a *Aperture) tick() {
	// A process that was late itself can't tell who was: whoever is asked has the time again.
	late := a.tickAt > 0 && a.now-a.tickAt >= tickEvery
	a.tickAt = a.now + tickEvery
	a.listen(late)
	a.weigh(late)
	if a.stale { // what is wanted again is not let go
		a.refresh()
	}
	for _, u := range a.units {
		if u.held && !u.wanted && a.now-u.left >= a.conf.Dwell {
			u.held = false
			a.tell(u)
		}
	}
	if s := a.Size(); a.why == "" && s.Listed > 0 && a.differs(s) {
		a.why = "as the fleet is now"
	}
}

// differs tells whether the size is far from what was last told.
func (a *Aperture) differs(s Size) bool {
	off := s.Held - a.said.Held
	return s.Whole != a.said.Whole || !s.Whole && (off*sayShare > a.said.Held || -off*sayShare > a.said.Held)
}

// say is a line on how wide the aperture is, and why.
func (a *Aperture) say() logic.Action {
	s := a.Size()
	a.said, a.saidAt = s, a.now
	why := a.why
	if a.why = ""; s.Whole {
		return logic.Log{Text: fmt.Sprintf("aperture: the whole fleet, %d listed, %d ready", s.Listed, s.Ready)}
	}
	return logic.Log{Text: fmt.Sprintf("aperture: %d of %d listed, %d of %d ready, %d silent, factor %.2f, %s", s.Held,
		s.Listed, s.HeldReady, s.Ready, s.Silent, s.Factor, why)}
}
