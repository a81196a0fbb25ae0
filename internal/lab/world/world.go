// Package world is the lab's model of all that is round schedulers: worker nodes, discovery, the network, clients
// and their front, and what goes wrong with them. It does no I/O and reads no clock; all that is random follows
// from one seed, and each party draws from a stream of its own, so that what one does shifts no draw of another:
// two schedulers are put through the same play.
//
// The border to the schedulers is package edge. Both drivers call Step; between two calls nothing happens. What the
// world saw goes to a seen.Watcher.
package world

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
)

// World is one play's world. It is used by one goroutine.
type World struct {
	Spec  *scenario.Scenario
	Epoch time.Duration // Unix time of the play's start

	// Addrs gives machines other addresses than NodeAddr's own; nil: it doesn't.
	Addrs func(place int) string

	seed  uint64
	now   time.Duration
	queue agenda
	ins   []edge.In // of this step
	watch seen.Watcher
	sight seen.Sight // reused

	net     *network
	scheds  []*sched
	nodes   []*node
	disco   *discovery
	front   *front
	clients *clients
	faults  *faults
	conns   map[edge.Conn]*conn
}

// New draws a world from a checked scenario.
func New(spec *scenario.Scenario, seed uint64, epoch time.Duration, watch seen.Watcher) *World {
	w := &World{Spec: spec, Epoch: epoch, seed: seed, watch: watch, conns: map[edge.Conn]*conn{}}
	if watch == nil {
		w.watch = func(*seen.Sight) {}
	}
	w.net = newNetwork(w)
	w.scheds = newScheds(w)
	w.nodes = newNodes(w)
	w.disco = newDiscovery(w)
	w.front = newFront(w)
	w.clients = newClients(w)
	w.faults = newFaults(w)
	w.disco.begin()
	for _, n := range w.nodes {
		n.begin()
	}
	for _, s := range w.scheds {
		s.begin()
	}
	w.clients.begin()
	w.faults.begin()
	return w
}

// Next tells when the world wants to run at the latest; not ok: nothing will happen any more by itself.
func (w *World) Next() (at time.Duration, ok bool) { return w.queue.first() }

// Step takes what schedulers did, lets all happen that is due by now, and appends what reaches schedulers.
func (w *World) Step(now time.Duration, outs []edge.Out, dst []edge.In) []edge.In {
	w.now, w.ins = max(now, w.now), dst
	for i := range outs {
		w.out(&outs[i])
	}
	for {
		at, ok := w.queue.first()
		if !ok || at > w.now {
			break
		}
		w.queue.take()()
	}
	dst, w.ins = w.ins, nil
	return dst
}

// Over tells whether every job is settled and no further one comes.
func (w *World) Over() bool { return w.clients.over() }

// at puts something on the agenda. What falls on one instant happens in the order in which it was put there.
func (w *World) at(t time.Duration, do func()) { w.queue.add(max(t, w.now), do) }

func (w *World) after(d time.Duration, do func()) { w.at(w.now+max(d, 0), do) }

// in hands something to a scheduler. What reaches one that does not run is lost; what reaches a frozen one waits at
// its sockets, which is the driver's to play.
func (w *World) in(e edge.In) {
	if w.scheds[e.Sched].alive || e.Kind == edge.Start || e.Kind == edge.Kill {
		w.ins = append(w.ins, e)
	}
}

// out takes something that a scheduler did. What a process did that is gone by now is not known to its successor.
func (w *World) out(o *edge.Out) {
	switch o.Kind {
	case edge.Ready, edge.Unready, edge.Exited:
		w.scheds[o.Sched].did(o)
	case edge.Replied, edge.Cut, edge.Unmet:
		w.clients.did(o)
	case edge.Watch:
		w.disco.did(o)
	case edge.Dial, edge.Sent, edge.Probe, edge.Hangup, edge.Delete, edge.Acked:
		w.nodes[o.Node].did(o)
	}
}

// rng is a stream of random numbers of a party's own.
func (w *World) rng(name string, n int) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed^xxhash.Sum64String(name), uint64(n)))
}

// tell reports a sight, as of now.
func (w *World) tell(s seen.Sight) {
	w.sight = s
	w.sight.At = w.now
	w.watch(&w.sight)
}

func sortConns(c []*conn) {
	slices.SortFunc(c, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
}
