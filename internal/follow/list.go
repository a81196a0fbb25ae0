package follow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"valvecove/internal/tier"
	"valvecove/logic"
)

// list is the forwarder's own list of worker nodes.
type list struct {
	workers    map[uint64]logic.Worker
	generation int64
	heard      bool // discovery has spoken
}

// listed takes in news of the host group. Planners hear of what has changed.
func (f *Follower) listed(e logic.WorkerList) {
	f.watched(e)
	if e.Kind == logic.ListLost {
		f.ownHears(e)
		return
	}
	f.generation = e.Generation
	f.guard.Heard(f.now, e)
	before := f.workers
	if e.Kind != logic.ListDelta {
		f.workers = make(map[uint64]logic.Worker, len(e.Workers))
	}
	for _, w := range e.Workers {
		was, known := before[w.ID]
		if w.Gone {
			delete(f.workers, w.ID)
			w.BootAt = max(w.BootAt, was.BootAt)
		} else {
			f.workers[w.ID] = w
		}
		// A whole list has them all for new, where there was none.
		fresh := !known && !w.Gone && (e.Kind == logic.ListDelta || !w.Ready && f.list.heard)
		if fresh || known && (w.Gone || w.Ready != was.Ready || w.BootAt != was.BootAt) {
			f.tellAll(wordOf(w, e.Generation), nil)
		}
	}
	if e.Kind != logic.ListDelta {
		for _, id := range slices.Sorted(maps.Keys(before)) {
			if was := before[id]; f.workers[id].ID != id {
				was.Gone = true
				f.tellAll(wordOf(was, e.Generation), nil)
			}
		}
	}
	f.list.heard = f.list.heard || e.Kind != logic.ListCached
	e.Workers = f.shut(e.Workers)
	f.ownHears(e)
}

func wordOf(w logic.Worker, generation int64) tier.WordOf {
	x := tier.WordOf{Worker: w.ID, StartedMs: w.BootAt.Milliseconds(), Generation: generation}
	switch {
	case w.Gone:
		x.State = tier.Gone
	case !w.Ready:
		x.State = tier.Draining
	}
	return x
}

// shut is a list as the own module is told it: nodes that drain by the word of others do so.
func (f *Follower) shut(list []logic.Worker) []logic.Worker {
	if f.own == nil {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		if list[i].Ready && f.guard.Shut(list[i].ID) {
			list[i].Ready = false
		}
	}
	return list
}

// fleet is all worker nodes, in order.
func (f *Follower) fleet() []logic.Worker {
	all := slices.SortedFunc(maps.Values(f.workers), func(a, b logic.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return f.shut(all)
}

// word takes in what a planner says of a worker node. The other planners hear of it if it is news: they may not see
// each other.
func (f *Follower) word(p *planner, w tier.WordOf) {
	was := f.guard.Shut(w.Worker)
	if !f.guard.Word(f.now, w) {
		return
	}
	f.tellAll(w, p)
	if is, known := f.guard.Shut(w.Worker), f.workers[w.Worker]; is != was && f.own != nil {
		known.Ready = known.Ready && !is
		f.ownHears(logic.WorkerList{Kind: logic.ListDelta, Workers: []logic.Worker{known}, Generation: f.generation})
	}
}

// tellAll has all planners but one hear a word.
func (f *Follower) tellAll(w tier.WordOf, but *planner) {
	for _, p := range f.planners {
		if p != but && p.open {
			f.tell(p, tier.Message{Kind: tier.Word, Word: &w})
		}
	}
}

// tellWords has a planner that has just taken us in hear of what drains.
func (f *Follower) tellWords(p *planner) {
	n := 0
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		if w := f.workers[id]; !w.Ready && n < mostWords {
			n++
			word := wordOf(w, f.generation)
			f.tell(p, tier.Message{Kind: tier.Word, Word: &word})
		}
	}
}

// ---- The watch ----

// watch is the forwarder's call to discovery, where one is needed. It is its own whoever decides: the guard goes by it.
type watch struct {
	asked, follows  bool
	askAfter, askIn time.Duration
}

const firstWait = 10 * time.Millisecond

func (f *Follower) watched(e logic.WorkerList) {
	if e.Kind != logic.ListLost {
		if e.Kind != logic.ListCached && f.asked {
			f.asked, f.follows, f.askIn = false, true, 0
		}
		return
	}
	if f.asked || f.askIn == 0 {
		f.askIn = min(max(f.set.AskEvery/20, 2*f.askIn, firstWait), max(f.set.AskEvery/4, firstWait))
	}
	f.asked, f.follows = false, false
	f.askAfter = f.now + f.askIn/2 + time.Duration(f.rng.Int64N(int64(f.askIn)+1))
}

func (f *Follower) keepWatch() {
	if f.set.MustSubscribe && !f.follows && !f.asked && f.now >= f.askAfter {
		f.asked = true
		f.do(logic.Subscribe{})
	}
}

func (f *Follower) watchNext() time.Duration {
	if f.set.MustSubscribe && !f.follows && !f.asked {
		return f.askAfter
	}
	return 0
}
