package virtual

import (
	"context"
	"log/slog"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/aperture"
	"valvecove/internal/control/codec"
	"valvecove/internal/control/forwarder"
	"valvecove/internal/control/membership"
	"valvecove/internal/requests"
)

// forwarderProcess is what a scheduler's process has besides, where there are planners: package follow as the ledger's
// module, connections to planners, and what gossip tells.
type forwarderProcess struct {
	p       *process
	t       *tiers
	seat    int
	name    string
	follow  *forwarder.Forwarder
	members *membership.ForwarderMembership
	links   []*upLink // by planner
	names   []string  // of the planners that it is to be connected to
	events  []membership.Event
	actions []membership.Action
	seed    uint64
}

// upLink is the connection to one planner.
type upLink struct {
	seat    int
	name    string
	wanted  bool
	wire    *wire // nil: there is none
	up      bool
	backoff time.Duration
	retry   timer
	waits   bool // for the retry
	out     codec.Writer
	in      *codec.Reader
}

const (
	redialFirst = 20 * time.Millisecond
	redialMost  = time.Second
)

// alone is what a forwarder without planners looks at: as little of the fleet as may be, as all the others have lost their
// planners too, and what many share they push over.
var alone = aperture.Config{MinWorkers: 8, Coverage: 2, MinFleet: 2, MaxWidening: 8, WidenThreshold: 0.1, Retention: 30 * time.Second}

func newForwarder(p *process, name string, seed uint64) *forwarderProcess {
	s := p.s
	f := &forwarderProcess{p: p, t: s.tiers, seat: s.n, name: name, seed: seed}
	f.members = membership.NewForwarderMembership(f.me(), membership.Config{})
	for n := range s.spec.Planners.Count {
		k := &upLink{seat: s.spec.Schedulers.Count + n, name: plannerName(n)}
		k.retry.act = func() {
			k.waits = false
			f.connect(k)
		}
		f.links = append(f.links, k)
	}
	return f
}

func (f *forwarderProcess) me() membership.Member {
	return membership.Member{Name: f.name, Incarnation: uint64(f.p.s.epoch + f.p.s.now)}
}

// join begins to take part in gossip.
func (f *forwarderProcess) join() { f.t.gossip.join(f.seat, f.me()) }

// module makes the ledger's module: at the start, and after one has panicked.
func (f *forwarderProcess) module() requests.Policy {
	set := f.p.s.set.Settings
	f.seed++
	conf := forwarder.Config{Name: f.name, Incarnation: uint64(f.p.now), Version: codec.Version, Seed: f.seed}
	if f.follow != nil {
		f.p.s.figures.addForwarder(f)
		conf.LastEpoch = f.follow.LastEpoch()
	}
	f.follow = forwarder.New(set, conf, f.members, func() forwarder.Policy {
		f.seed++
		return aperture.New(dispatch.New(set, f.seed), set, alone)
	})
	f.follow.SetPlanners(f.names)
	for _, k := range f.links {
		if k.up {
			f.follow.SessionChanged(k.name, true)
		}
	}
	return f
}

// Step has the follower decide, and gathers what it says to planners.
func (f *forwarderProcess) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	dst = f.follow.Step(now, events, dst)
	for _, e := range f.follow.Outbox() {
		for _, k := range f.links {
			if k.name == e.Planner && k.up {
				f.p.s.say(&k.out, e.Envelope)
			}
		}
	}
	return dst
}

// before is what comes first in a turn: what planners and gossip have brought.
func (f *forwarderProcess) before(news []tierNews) {
	for i := range news {
		f.take(&news[i])
	}
	if at := f.members.Next(); len(f.events) > 0 || at > 0 && at <= f.p.now {
		f.meet()
	}
	if f.follow.HasPending() {
		f.p.ledger.Wake()
	}
}

// after is what comes last: what is to be written is.
func (f *forwarderProcess) after() {
	f.carryOut(f.members.Step(f.p.now, nil, f.actions[:0]))
	for _, k := range f.links {
		if k.up && k.out.Len() > 0 {
			f.t.send(k.wire, 0, k.out.Take(f.t.buffer()))
		}
	}
	for _, name := range f.follow.DrainingPlanners() {
		for _, k := range f.links {
			if k.name == name && k.up {
				f.t.hangUp(k.wire, 0)
				f.lost(k)
			}
		}
	}
	if f.follow.HasPending() {
		f.p.ledger.Wake()
	}
}

func (f *forwarderProcess) take(n *tierNews) {
	if n.what == gossiped {
		f.events = append(f.events, n.event)
		return
	}
	var k *upLink
	for _, x := range f.links {
		if x.wire == n.wire {
			k = x
		}
	}
	if k == nil {
		return // of a connection that was left
	}
	switch n.what {
	case wireUp:
		k.up, k.backoff = true, 0
		k.in, k.out = codec.NewReader(0), codec.Writer{}
		f.follow.SessionChanged(k.name, true)
	case wireNone, wireLost:
		f.lost(k)
	case wireData:
		k.in.Feed(n.bytes)
		f.t.done(n.bytes)
		for {
			envelope, ok, err := k.in.Next()
			if err != nil {
				f.t.hangUp(k.wire, 0)
				f.lost(k)
			}
			if err != nil || !ok {
				return
			}
			f.follow.Receive(f.p.now, k.name, envelope)
		}
	}
}

// lost is the end of a connection, or of an attempt at one.
func (f *forwarderProcess) lost(k *upLink) {
	was := k.up
	k.wire, k.up = nil, false
	if was {
		f.follow.SessionChanged(k.name, false)
	}
	if k.wanted && !k.waits {
		k.backoff = min(max(2*k.backoff, redialFirst), redialMost)
		k.waits = true
		f.p.start(&k.retry, k.backoff/2+time.Duration(f.t.rngs[f.seat].Int64N(int64(k.backoff))))
	}
}

// connect dials a planner, if there is no connection yet and one is wanted.
func (f *forwarderProcess) connect(k *upLink) {
	if k.wanted && k.wire == nil {
		k.wire = f.t.dial(f.seat, k.seat)
	}
}

// meet takes in what gossip has told.
func (f *forwarderProcess) meet() {
	f.carryOut(f.members.Step(f.p.now, f.events, f.actions[:0]))
	clear(f.events)
	f.events = f.events[:0]
	f.follow.SetPlanners(f.names) // the order of planners may be another one now
}

func (f *forwarderProcess) carryOut(actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.SetPlanners:
			f.names = a.Names
			f.follow.SetPlanners(a.Names)
			for _, k := range f.links {
				f.want(k, a.Names)
			}
		case membership.SetForwarderIndex:
			f.follow.SetForwarderIndex(a.Index, a.Count)
		case membership.Announce:
			f.t.gossip.say(f.seat, a.Member)
		case membership.LogLine:
			f.p.s.model.log(f.seat).LogAttrs(context.Background(), slog.LevelInfo, a.Message, a.Attributes...)
		}
	}
	clear(actions)
	f.actions = actions[:0]
}

// want notes whether there ought to be a connection to a planner.
func (f *forwarderProcess) want(k *upLink, names []string) {
	was := k.wanted
	k.wanted = false
	for _, name := range names {
		k.wanted = k.wanted || name == k.name
	}
	if k.wanted && !was {
		if k.waits {
			k.waits = false
			f.p.stop(&k.retry)
		}
		k.backoff = 0
		f.connect(k)
	}
}
