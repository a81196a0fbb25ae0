package live

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/internal/deadline"
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
)

// model is the world, as far as the driver deals with it.
type model interface {
	Next() (at time.Duration, ok bool)
	Step(now time.Duration, outs []edge.Out, dst []edge.In) []edge.In
	Over() bool
}

// driver plays the world on sockets. All that it has is used by one goroutine, in turns: what the sockets brought
// becomes Outs, the world steps, its Ins are carried out. Other goroutines start and await processes and read their
// figures; they speak to it through letters, and are spoken to through each scheduler's orders.
type driver struct {
	*poller
	spec    *scenario.Scenario
	opt     Options
	world   model
	watch   seen.Watcher
	places  places
	http    *reader
	outs    []edge.Out
	spare   []edge.Out
	ins     []edge.In
	sights  []seen.Sight // of the driver's own, not told yet
	timers  deadline.Queue[*timer]
	letters chan func() // from other goroutines, to be run in the loop
	gone    chan struct{}
	late    lateMeter
	fault   error // what ends the play
	over    bool  // the world is

	patience time.Duration // with calls of worker nodes

	begins func(time.Time) // is told of the instant from which the world's time counts
	holds  bool            // the world stands still
	since  time.Duration   // from then on
	held   time.Duration   // how long it did before

	scheds    []*scheduler
	processes *starter
	nodes     []*node
	discos    [][]*listener  // by index and scheduler; nil: nobody needs it yet
	watches   map[int]*watch // the one that counts, by scheduler
	callers   map[*watch]struct{}
	clients   map[edge.Conn]*client
	links     map[edge.Conn]*link
	odds      map[edge.Conn]*odd
	forms     forms
	writing   []byte // what is written goes through here
	altered   []string
}

// mostLetters is how many may wait. They come by process and by look at a process, a few a second.
const mostLetters = 1024

func newDriver(spec *scenario.Scenario, opt Options) (d *driver, err error) {
	if opt.Watch == nil {
		opt.Watch = func(*seen.Sight) {}
	}
	d = &driver{
		spec: spec, opt: opt, watch: opt.Watch, http: newReader(), letters: make(chan func(), mostLetters),
		gone: make(chan struct{}), late: newLateMeter(), processes: &starter{orders: make(chan func())},
		watches: map[int]*watch{}, callers: map[*watch]struct{}{}, clients: map[edge.Conn]*client{},
		links: map[edge.Conn]*link{}, odds: map[edge.Conn]*odd{}, patience: noteWithin,
	}
	d.places.lock = -1
	d.processes.run()
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	if d.poller, err = newPoller(); err != nil {
		return nil, err
	}
	scheds := spec.Schedulers.Count
	if d.places, err = place(scheds); err != nil {
		return nil, err
	}
	if err = d.places.holds(spec.Fleet.Nodes, 1); err != nil {
		return nil, err
	}
	for i := range scheds {
		d.scheds = append(d.scheds, newScheduler(d, i))
	}
	for i := range spec.Fleet.Nodes {
		n, err := newNode(d, i)
		if n != nil {
			d.nodes = append(d.nodes, n)
		}
		if err != nil {
			return nil, err
		}
	}
	return d, d.openDisco(0)
}

// close gives up all that the driver has, after its loop has ended. Processes are killed and awaited.
func (d *driver) close() {
	close(d.gone)
	for _, s := range d.scheds {
		s.close()
	}
	d.processes.close()
	for _, c := range d.clients {
		c.reset()
	}
	for _, k := range d.links {
		k.reset()
	}
	for _, o := range d.odds {
		o.close()
	}
	for w := range d.callers {
		w.reset()
	}
	for _, n := range d.nodes {
		n.close()
	}
	for _, list := range d.discos {
		for _, l := range list {
			l.close()
		}
	}
	if d.places.lock >= 0 {
		d.places.close()
	}
	if d.poller != nil {
		d.poller.close()
	}
}

// fail ends the play: the first reason counts.
func (d *driver) fail(err error) {
	if d.fault == nil && err != nil {
		d.fault = err
	}
}

// own passes on a fault of this machine's, and tells whether it was one.
func (d *driver) own(err error) bool {
	var f environmentError
	if errors.As(err, &f) {
		d.fail(err)
		return true
	}
	return false
}

func (d *driver) out(o edge.Out) { d.outs = append(d.outs, o) }

// tell reports a sight of the driver's own, at the end of the turn: those of the world may be of instants before now.
func (d *driver) tell(s seen.Sight) { d.sights = append(d.sights, s) }

// send has the loop run something soon; for other goroutines. It waits while too much waits, and gives up once the
// loop has ended.
func (d *driver) send(do func()) {
	select {
	case d.letters <- do:
		d.ring()
	case <-d.gone:
	}
}

// ---- Time ----

// timer calls do once.
type timer struct {
	deadline.Item
	do func()
}

func (d *driver) after(span time.Duration, do func()) *timer {
	t := &timer{do: do}
	t.At = d.now + span
	d.timers.Add(t)
	return t
}

func (d *driver) stop(t *timer) {
	if t != nil {
		d.timers.Remove(t)
	}
}

// worldTime is the world's time at an instant of the loop's. The world stands still while its schedulers start for the
// first time: clients are to come once there is somebody to come to, and a process takes a while to be there.
func (d *driver) worldTime(at time.Duration) time.Duration {
	if d.holds {
		at = min(at, d.since)
	}
	return max(0, at-d.held)
}

// hold has the world stand still, or go on, as things are now.
func (d *driver) hold() {
	wait := false
	for _, s := range d.scheds {
		wait = wait || s.life == 1 && s.alive && !s.met
	}
	if wait && d.holds && d.held+d.now-d.since > mostHeld {
		for _, s := range d.scheds {
			s.met = true // it has had its time
		}
		wait = false
	}
	switch {
	case wait && !d.holds:
		d.holds, d.since = true, d.now
	case !wait && d.holds:
		d.holds = false
		d.held += d.now - d.since
		d.begins(d.began.Add(d.held))
	}
}

const mostHeld = 30 * time.Second

// next is when the loop wants to run at the latest, an end in the world's time included.
func (d *driver) next(end time.Duration) time.Duration {
	at := d.now + time.Second
	if !d.holds {
		if len(d.outs) > 0 {
			return 0
		}
		if next, ok := d.world.Next(); ok {
			end = min(end, next)
		}
		at = min(at, end+d.held)
	}
	if d.timers.Len() > 0 {
		at = min(at, d.timers.First().At)
	}
	return at
}

// ---- The loop ----

// run plays until the world is over, the end has come, the context ends or something fails. The first two end no
// play that is to stay.
func (d *driver) run(ctx context.Context, end time.Duration) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer d.keepOff()()
	defer context.AfterFunc(ctx, d.ring)()
	d.begins(d.began)
	for d.fault == nil && ctx.Err() == nil && (d.opt.Stay || !d.over && d.worldTime(d.now) < end) {
		until := end
		if d.opt.Stay {
			until = time.Duration(math.MaxInt64) - d.held
		}
		if err := d.wait(d.next(until), true); err != nil {
			return err
		}
		d.serve()
		d.now = d.clock()
		if d.hold(); !d.holds {
			d.turn(d.worldTime(d.now))
		}
	}
	if d.fault == nil && !d.opt.Stay {
		return ctx.Err()
	}
	return d.fault
}

// keepOff keeps the loop's thread off the schedulers' cores, where there are others, until it is undone.
func (d *driver) keepOff() (undo func()) {
	var all, rest unix.CPUSet
	if len(d.opt.Cores) == 0 || unix.SchedGetaffinity(0, &all) != nil {
		return func() {}
	}
	rest = all
	for _, core := range d.opt.Cores {
		rest.Clear(core)
	}
	if rest.Count() == 0 || unix.SchedSetaffinity(0, &rest) != nil {
		return func() {}
	}
	return func() { _ = unix.SchedSetaffinity(0, &all) }
}

// serve does what others want done in the loop, and what is due in it.
func (d *driver) serve() {
	for more := true; more; {
		select {
		case do := <-d.letters:
			do()
		default:
			more = false
		}
	}
	for d.timers.Len() > 0 && d.timers.First().At <= d.now {
		t := d.timers.First()
		d.timers.Remove(t)
		t.do()
	}
}

// turn is the world's: what fell due since its last one, each at its own instant as in virtual time, and then what the
// sockets have brought. So the lab's lateness delays what it does, and never what the world makes of it.
func (d *driver) turn(now time.Duration) {
	d.ins = d.ins[:0]
	worst := time.Duration(0)
	for at, ok := d.world.Next(); ok && at <= now; at, ok = d.world.Next() {
		d.late.add(now - at)
		worst = max(worst, now-at)
		d.ins = d.world.Step(at, nil, d.ins)
	}
	if worst >= tellLate {
		d.tell(seen.Sight{What: seen.Late, Span: worst})
	}
	if len(d.outs) > 0 {
		outs := d.outs
		d.outs = d.spare[:0]
		d.ins = d.world.Step(now, outs, d.ins)
		clear(outs)
		d.spare = outs[:0]
	}
	for i := range d.ins {
		d.carryOut(&d.ins[i])
	}
	clear(d.ins)
	for i := range d.sights {
		d.sights[i].At = now
		d.watch(&d.sights[i])
	}
	d.sights = d.sights[:0]
	d.over = d.over || d.world.Over()
}

// carryOut does what reaches a scheduler.
func (d *driver) carryOut(in *edge.In) {
	switch in.Kind {
	case edge.Start:
		d.scheds[in.Sched].start(in.Boot)
	case edge.Terminate, edge.Kill, edge.Freeze, edge.Resume:
		d.scheds[in.Sched].signal(in.Kind)
	case edge.Replace:
		d.scheds[in.Sched].replace()
	case edge.Reload:
		d.own(d.openDisco(in.Disco))
		d.scheds[in.Sched].reload(in.Disco)
	case edge.Asked:
		d.ask(in)
	case edge.Left:
		d.leave(in.Conn)
	case edge.Odd:
		d.odd(in)
	case edge.LinkUp:
		if k := d.links[in.Conn]; k != nil {
			k.opened(in.Bytes)
		}
	case edge.LinkDown:
		if k := d.links[in.Conn]; k != nil {
			k.drop(in.Reset)
		}
	case edge.Answered:
		if k := d.links[in.Conn]; k != nil {
			k.answer(in)
		}
	case edge.Told:
		d.note(in)
	case edge.Listed:
		d.list(in)
	case edge.Quiet:
		d.quiet(in)
	case edge.Unlisted:
		d.unlist(in)
	case edge.WatchUp:
	case edge.Hear:
		if in.Node < len(d.nodes) {
			d.own(d.nodes[in.Node].hear(in.Machine, in.Mode))
		}
	case edge.HearDisco:
		d.own(d.hearDisco(in.Disco, in.Mode))
	default:
		d.fail(fmt.Errorf("the world hands over something of kind %d, which is not known here", in.Kind))
	}
}
