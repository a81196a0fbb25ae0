package virtual

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/control/codec"
	"valvecove/internal/control/membership"
	"valvecove/internal/control/message"
	"valvecove/internal/control/planner"
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/platform"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/requests"
)

func plannerName(n int) string { return "p" + strconv.Itoa(n+1) }

// mostAtOnce is how many things that have reached a planner it may take in in one turn.
const mostAtOnce = 16

// planSeat is one planner, over all of its processes: an edge.Scheduler to the world, whom no client and no worker
// node comes to.
type planSeat struct {
	n       int // as the world counts it
	name    string
	spec    *scenario.Scenario
	set     config.Settings
	epoch   time.Duration
	model   Model
	opt     *Options
	t       *tiers
	now     time.Duration
	sprout  int
	p       *planProcess // nil: none runs
	frozen  bool
	late    time.Duration // so late it is with everything
	waiting []planNews
	last    time.Duration // when the last of these is taken in
	out     []edge.Out
	figures *TierFigures
}

// planNews is something that has reached it.
type planNews struct {
	tierNews
	edge edge.In
	by   bool // it is the world's
}

func newPlanSeat(spec *scenario.Scenario, n int, opt *Options, t *tiers, f *TierFigures) (*planSeat, error) {
	set, err := platform.Settings(spec, 0)
	set.Replicas, set.ReplicaIndex, set.Zone = 1, 0, spec.ZoneOf(n)
	return &planSeat{
		n: n, name: plannerName(n - spec.Schedulers.Count), spec: spec, set: set, epoch: Epoch,
		model: opt.Model, opt: opt, t: t, figures: f,
	}, err
}

func (s *planSeat) alive() (sprout int, runs, frozen bool) { return s.sprout, s.p != nil, s.frozen }

func (s *planSeat) reach(n tierNews) {
	if s.p != nil {
		s.wait(planNews{tierNews: n}, s.t.now)
	}
}

func (s *planSeat) wait(n planNews, now time.Duration) {
	s.last = max(s.last, now+s.late)
	n.at = s.last
	s.waiting = append(s.waiting, n)
}

// Step is one turn of the process's loop.
func (s *planSeat) Step(now time.Duration, ins []edge.In, dst []edge.Out) []edge.Out {
	s.now, s.out = max(now, s.now), dst
	for i := range ins {
		s.take(&ins[i])
	}
	if s.p != nil && !s.frozen && s.p.turn() {
		s.emit(edge.Out{Kind: edge.Exited})
		s.end()
	}
	dst, s.out = s.out, nil
	return dst
}

// Next tells when the process wants a turn at the latest.
func (s *planSeat) Next() (at time.Duration, ok bool) {
	if s.p == nil || s.frozen {
		return 0, false
	}
	at = s.p.next() - s.epoch
	if len(s.waiting) > 0 {
		at = min(at, s.waiting[0].at)
	}
	return max(at, s.now), true
}

func (s *planSeat) emit(o edge.Out) {
	o.Sched = s.n
	s.out = append(s.out, o)
}

func (s *planSeat) take(in *edge.In) {
	switch in.Kind {
	case edge.Start:
		s.sprout++
		s.frozen, s.last = false, s.now
		s.waiting = s.waiting[:0]
		s.p = newPlanProcess(s, in.Boot)
	case edge.Kill:
		s.end()
	case edge.Freeze:
		s.frozen = s.p != nil
	case edge.Resume:
		s.frozen = false
	case edge.Slow:
		s.late = in.Late
	case edge.Break:
		s.t.breakAll(s.n)
	default:
		if s.p != nil {
			s.wait(planNews{edge: *in, by: true}, s.now)
		}
	}
}

func (s *planSeat) end() {
	if s.p != nil {
		s.figures.addPlanner(s.p.book)
		s.p, s.frozen = nil, false
		s.t.gone(s.n)
	}
}

// planProcess is one process of a planner. Its clock is Unix time.
type planProcess struct {
	s        *planSeat
	now      time.Duration
	book     *planner.Planner
	members  *membership.PlannerMembership
	lists    *requests.Table // for its words of the host group alone
	news     []dispatch.WorkerList
	asks     bool // the book wants the watch
	timer    time.Duration
	disco    int
	watching bool
	silence  time.Duration // when the watch counts as lost; 0: never
	links    map[planner.SessionID]*planLink
	order    []*planLink // map order decides nothing
	wanted   []string    // peers to be connected to
	redial   []time.Duration
	backoff  []time.Duration
	ins      []planner.Event
	outs     []planner.Action
	events   []membership.Event
	actions  []membership.Action
	done     bool
}

// planLink is a connection of a forwarder, or one with another planner.
type planLink struct {
	wire *wire
	end  int
	seat int
	peer string // empty: a forwarder's
	up   bool
	out  codec.Writer
	in   *codec.Reader
}

func newPlanProcess(s *planSeat, boot *edge.Boot) *planProcess {
	p := &planProcess{
		s: s, now: s.epoch + s.now, disco: boot.Disco, links: map[planner.SessionID]*planLink{},
		redial: make([]time.Duration, s.spec.Planners.Count), backoff: make([]time.Duration, s.spec.Planners.Count),
	}
	me := membership.Member{Name: s.name, Role: membership.RolePlanner, Incarnation: uint64(p.now), Addr: s.name}
	p.members = membership.NewPlannerMembership(me, membership.Config{})
	p.lists = requests.New(1, s.set.Names, func() requests.Policy { return p }, boot.Known, p, slog.New(slog.DiscardHandler))
	seed := boot.Seed
	p.book = planner.New(planner.Config{
		Name: s.name, Incarnation: uint64(p.now), Version: codec.Version,
		Settings: s.set.Settings, NewPolicy: func() planner.Policy {
			seed++
			var m planner.Policy = dispatch.New(s.set.Settings, seed)
			if s.opt.Plan != nil {
				m = s.opt.Plan(s.n-s.spec.Schedulers.Count, m)
			}
			return m
		},
	})
	s.t.gossip.join(s.n, me)
	p.timer = p.now
	return p
}

// turn takes in what has come and is due, has the book decide, and writes what it says.
func (p *planProcess) turn() (exited bool) {
	s := p.s
	p.now = s.epoch + s.now
	// Of much that waits, as after a freeze, it takes in a part at a time, and decides on that before it reads on.
	n, most := 0, len(s.waiting)
	if most > 1 {
		most = 1 + s.t.rngs[s.n].IntN(mostAtOnce)
	}
	for ; n < min(most, len(s.waiting)) && s.waiting[n].at <= s.now; n++ {
		p.take(&s.waiting[n])
	}
	rest := copy(s.waiting, s.waiting[n:])
	clear(s.waiting[rest:])
	s.waiting = s.waiting[:rest]
	if p.silence > 0 && p.silence <= p.now {
		p.lost()
	}
	p.list()
	if at := p.members.Next(); len(p.events) > 0 || at > 0 && at+s.late <= p.now {
		p.meet()
	}
	for i := range p.redial {
		if p.redial[i] > 0 && p.redial[i] <= p.now {
			p.redial[i] = 0
			p.connect(i)
		}
	}
	for i := range p.news {
		p.ins = append(p.ins, planner.EndpointsChanged{Endpoints: p.news[i]})
	}
	clear(p.news)
	p.news = p.news[:0]
	if due := p.timer > 0 && p.timer+s.late <= p.now; due || len(p.ins) > 0 {
		if due {
			p.timer = 0
		}
		outs := p.book.Step(p.now, p.ins, p.outs[:0])
		if s.opt.Spoil != nil {
			outs = s.opt.Spoil(s.n-s.spec.Schedulers.Count, outs)
		}
		clear(p.ins)
		p.ins = p.ins[:0]
		for i := range outs {
			p.carryOut(outs[i])
		}
		clear(outs)
		p.outs = outs[:0]
	}
	for _, k := range p.order {
		if k.up && k.out.Len() > 0 {
			s.t.send(k.wire, k.end, k.out.Take(s.t.buffer()))
		}
	}
	p.list()
	return p.done
}

// next is when a turn is due at the latest, apart from what has come.
func (p *planProcess) next() time.Duration {
	at := never
	soon := func(t time.Duration) {
		if t > 0 {
			at = min(at, t)
		}
	}
	if p.timer > 0 {
		soon(p.timer + p.s.late)
	}
	if t := p.members.Next(); t > 0 {
		soon(t + p.s.late)
	}
	soon(p.silence)
	for _, t := range p.redial {
		soon(t)
	}
	if len(p.news)+len(p.ins)+len(p.events) > 0 {
		soon(p.now)
	}
	return at
}

// ---- What comes in ----

func (p *planProcess) take(n *planNews) {
	if n.by {
		p.told(&n.edge)
		return
	}
	switch n.what {
	case gossiped:
		p.events = append(p.events, n.event)
	case wireCame:
		seat, end := n.wire.far(p.s.n)
		k := &planLink{wire: n.wire, end: end, seat: seat, up: true, in: codec.NewReader(0)}
		if p.s.t.isPlanner(seat) {
			k.peer = plannerName(seat - p.s.spec.Schedulers.Count)
		}
		p.enter(k)
	case wireUp:
		if k := p.links[planner.SessionID(n.wire.id)]; k != nil {
			k.up = true
			p.backoff[k.seat-p.s.spec.Schedulers.Count] = 0
			p.comes(k)
		}
	case wireNone, wireLost:
		if k := p.links[planner.SessionID(n.wire.id)]; k != nil {
			p.drop(k, n.silent)
		}
	case wireData:
		k := p.links[planner.SessionID(n.wire.id)]
		if k == nil || !k.up {
			return
		}
		k.in.Feed(n.bytes)
		p.s.t.done(n.bytes)
		for {
			envelope, ok, err := k.in.Next()
			if err != nil {
				p.s.t.hangUp(k.wire, k.end)
				p.drop(k, false)
			}
			if err != nil || !ok {
				return
			}
			envelope = envelope.Clone() // it is to outlive the reader's next one
			if k.peer == "" {
				p.ins = append(p.ins, planner.ForwarderMessage{Session: planner.SessionID(k.wire.id), Envelope: envelope})
			} else {
				p.ins = append(p.ins, planner.PeerMessage{Peer: k.peer, Envelope: envelope})
			}
		}
	}
}

// enter takes a connection into the books.
func (p *planProcess) enter(k *planLink) {
	p.links[planner.SessionID(k.wire.id)] = k
	p.order = append(p.order, k)
	if k.up {
		p.comes(k)
	}
}

// comes tells that a connection is up. Of two with one peer the newer one counts.
func (p *planProcess) comes(k *planLink) {
	if k.peer == "" {
		p.ins = append(p.ins, planner.SessionOpened{Session: planner.SessionID(k.wire.id)})
		return
	}
	for _, o := range append([]*planLink(nil), p.order...) {
		if o != k && o.peer == k.peer && o.up {
			p.s.t.hangUp(o.wire, o.end)
			p.drop(o, false)
		}
	}
	p.ins = append(p.ins, planner.PeerConnected{Peer: k.peer})
	p.events = append(p.events, membership.PlannerConnected{Name: k.peer})
}

// drop takes a connection out of the books.
func (p *planProcess) drop(k *planLink, silent bool) {
	delete(p.links, planner.SessionID(k.wire.id))
	for i, o := range p.order {
		if o == k {
			p.order = append(p.order[:i], p.order[i+1:]...)
			break
		}
	}
	switch {
	case k.peer == "":
		p.ins = append(p.ins, planner.SessionClosed{Session: planner.SessionID(k.wire.id)})
	case k.up:
		p.ins = append(p.ins, planner.PeerDisconnected{Peer: k.peer})
		p.events = append(p.events, membership.PlannerDisconnected{Name: k.peer, Silent: silent})
	}
	k.up = false
	if i := k.seat - p.s.spec.Schedulers.Count; k.peer != "" && k.seat > p.s.n {
		p.backoff[i] = min(max(2*p.backoff[i], redialFirst), redialMost)
		p.redial[i] = p.now + p.backoff[i]/2 + time.Duration(p.s.t.rngs[p.s.n].Int64N(int64(p.backoff[i])))
	}
}

// connect dials another planner. The one that is counted first does.
func (p *planProcess) connect(i int) {
	seat := p.s.spec.Schedulers.Count + i
	name := plannerName(i)
	wanted := false
	for _, w := range p.wanted {
		wanted = wanted || w == name
	}
	for _, k := range p.order {
		wanted = wanted && k.peer != name
	}
	if wanted && seat > p.s.n {
		p.enter(&planLink{wire: p.s.t.dial(p.s.n, seat), seat: seat, peer: name, in: codec.NewReader(0)})
	}
}

// told takes what the world does.
func (p *planProcess) told(in *edge.In) {
	switch in.Kind {
	case edge.Listed:
		if p.watching {
			p.silence = p.now + nextLine
			p.lists.UpdateEndpoints(*in.List)
		}
	case edge.Quiet:
		if p.watching {
			p.silence = p.now + nextLine
		}
	case edge.WatchUp:
		if p.watching {
			p.silence = p.now + firstLine
		}
	case edge.Unlisted:
		p.lost()
	case edge.Reload:
		if in.Disco != p.disco {
			p.disco = in.Disco
			p.lists.ResetRevision()
			p.ins = append(p.ins, planner.EndpointSourceChanged{})
			p.Watch(0)
		}
	case edge.Terminate:
		p.ins = append(p.ins, planner.StopRequested{})
		p.s.t.gossip.leave(p.s.n)
	}
}

// ---- The host group: a ledger of no queries reads it, as in a scheduler ----

// Step is the ledger's module: it takes its lists.
func (p *planProcess) Step(_ time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	for _, e := range events {
		if l, ok := e.(dispatch.WorkerList); ok {
			p.news = append(p.news, l)
			p.events = append(p.events, membership.EndpointsChanged{List: l})
		}
	}
	if p.asks {
		p.asks = false
		dst = append(dst, dispatch.Subscribe{})
	}
	return dst
}

func (p *planProcess) list() {
	if at, ok := p.lists.NextStep(); ok && at <= p.now {
		p.lists.Step(p.now)
	}
}

func (p *planProcess) lost() {
	if p.watching {
		p.watching, p.silence = false, 0
		p.lists.DiscoveryFailed()
	}
}

// Watch follows the host group.
func (p *planProcess) Watch(after int64) {
	p.watching, p.silence = true, p.now+upWithin
	p.s.emit(edge.Out{Kind: edge.Watch, After: time.Duration(after)})
}

// Start and the others are for queries, of which there are none.
func (p *planProcess) Start(*requests.Attempt)     {}
func (p *planProcess) Abandon(*requests.Attempt)   {}
func (p *planProcess) Cancel(*requests.Attempt)    {}
func (p *planProcess) CheckHealth(uint64)          {}
func (p *planProcess) CloseIdleConnections(uint64) {}

// ---- What is to be done ----

// meet takes in who is there, and which worker nodes.
func (p *planProcess) meet() {
	actions := p.members.Step(p.now, p.events, p.actions[:0])
	clear(p.events)
	p.events = p.events[:0]
	for _, a := range actions {
		switch a := a.(type) {
		case membership.SetPlanners:
			p.wanted = a.Names
			for i := range p.redial {
				if p.redial[i] == 0 {
					p.connect(i)
				}
			}
		case membership.SetPeers:
			p.ins = append(p.ins, planner.PeersChanged{Names: a.Names})
		case membership.SetPartition:
			p.ins = append(p.ins, planner.PartitionChanged{Owner: a.Owner})
		case membership.Announce:
			p.s.t.gossip.say(p.s.n, a.Member)
		case membership.LogLine:
			p.s.model.log(p.s.n).LogAttrs(context.Background(), slog.LevelInfo, a.Message, a.Attributes...)
		}
	}
	clear(actions)
	p.actions = actions[:0]
}

func (p *planProcess) carryOut(action planner.Action) {
	switch action := action.(type) {
	case planner.SendToForwarder:
		if k := p.links[action.Session]; k != nil && k.up {
			p.s.say(&k.out, action.Envelope)
		}
	case planner.SendToPeer:
		for _, k := range p.order {
			if k.peer == action.Peer && k.up {
				p.s.say(&k.out, action.Envelope)
			}
		}
	case planner.CloseSession:
		if k := p.links[action.Session]; k != nil && k.peer == "" {
			if k.out.Len() > 0 {
				p.s.t.send(k.wire, k.end, k.out.Take(p.s.t.buffer()))
			}
			p.s.t.hangUp(k.wire, k.end)
			p.drop(k, false)
		}
	case planner.SetTimer:
		if at := p.now + action.After; p.timer == 0 || at < p.timer {
			p.timer = at
		}
	case planner.WatchEndpoints:
		p.asks = true
		p.lists.Wake()
	case planner.LogLine:
		p.s.model.log(p.s.n).Info(action.Message, action.Attributes...)
	case planner.Stopped:
		p.done = true
	}
}

// say writes a message. What can't be written is left out, as it would be in a real process.
func (s *planSeat) say(w *codec.Writer, envelope message.Envelope) {
	if w.Add(envelope) != nil {
		s.figures.Unwritten++
	}
}
