package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"valvecove/dispatch"
)

const ms = time.Millisecond

// townConf has things settle sooner.
var townConf = Config{Retention: 8 * time.Second, RecoveryTime: 500 * ms}

// town is some forwarders and planners with a model of an engine and of sessions between them: what is told takes its
// time and comes in order from each, deaths are noticed late, and some are told that are none.
type town struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	agenda  agenda
	seq     int
	all     []*citizen
	cells   int
	room    int // forwarders that a planner has the strength for; 0: any number
	quiet   bool
	homes   int // changes of planners
	leaving map[time.Duration]int
}

// citizen is a process.
type citizen struct {
	town    *town
	said    Member
	up      bool
	me      stepper
	told    map[string]time.Duration // when the last news from somebody reaches it
	wanted  []string
	links   map[string]bool
	dialing map[string]bool
	cuts    map[string]bool
	owner   func(w *dispatch.Worker) string
	slow    time.Duration
	at      time.Duration // of its next timer
}

type agenda []errand

type errand struct {
	at  time.Duration
	seq int
	do  func()
}

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, k int) bool {
	return a[i].at < a[k].at || a[i].at == a[k].at && a[i].seq < a[k].seq
}
func (a agenda) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(errand)) }
func (a *agenda) Pop() any     { x := (*a)[len(*a)-1]; *a = (*a)[:len(*a)-1]; return x }

func newTown(t *testing.T, seed uint64, forwarders, planners, cells int) *town {
	w := &town{t: t, rng: rand.New(rand.NewPCG(seed, 5)), now: time.Hour, cells: cells, leaving: map[time.Duration]int{}}
	for i := range planners + forwarders {
		c := &citizen{
			town: w, said: Member{Name: fmt.Sprint("f", i-planners+1)}, cuts: map[string]bool{},
			told: map[string]time.Duration{},
		}
		if i < planners {
			c.said.Name, c.said.Role = fmt.Sprint("p", i+1), RolePlanner
		}
		w.all = append(w.all, c)
	}
	for _, c := range w.all {
		w.after(w.span(0, 300), c.start)
	}
	return w
}

func (w *town) span(from, to int) time.Duration { return time.Duration(from+w.rng.IntN(to-from)) * ms }

func (w *town) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, errand{w.now + d, w.seq, do})
}

func (w *town) run(d time.Duration) {
	for end := w.now + d; len(w.agenda) > 0 && w.agenda[0].at <= end; {
		e := heap.Pop(&w.agenda).(errand)
		w.now = e.at
		e.do()
	}
}

func (w *town) find(name string) *citizen {
	return w.all[slices.IndexFunc(w.all, func(c *citizen) bool { return c.said.Name == name })]
}

func (c *citizen) start() {
	if c.up {
		return
	}
	w := c.town
	c.up, c.links, c.dialing, c.wanted, c.at = true, map[string]bool{}, map[string]bool{}, nil, 0
	clear(c.told)
	c.said.Incarnation, c.said.Home = uint64(w.now), ""
	if c.said.Role == RolePlanner {
		c.me = NewPlannerMembership(c.said, townConf)
		c.step(EndpointsChanged{dispatch.WorkerList{Kind: dispatch.ListFull, Workers: fleet(w.cells, 4)}})
	} else {
		c.me = NewForwarderMembership(c.said, townConf)
	}
	for _, o := range w.all {
		if o != c && o.up {
			c.hears(o, 0, MemberJoined{o.said})
		}
	}
	c.tellAll(0, MemberJoined{c.said})
	c.step()
}

// stop ends a process: in order, or by death, which is noticed late.
func (c *citizen) stop(inOrder bool) {
	if !c.up {
		return
	}
	c.up = false
	if inOrder {
		c.tellAll(0, MemberLeft{c.said.Name, c.said.Incarnation})
	} else {
		c.tellAll(c.town.span(1000, 3000), MemberDied{c.said.Name, c.said.Incarnation})
	}
	for _, o := range c.town.all {
		if o.up && o.links[c.said.Name] {
			o.unlink(c.said.Name, false)
		}
	}
}

func (c *citizen) tellAll(late time.Duration, e Event) {
	for _, o := range c.town.all {
		if o != c {
			o.hears(c, late, e)
		}
	}
}

// hears brings news of another, in order.
func (c *citizen) hears(of *citizen, late time.Duration, e Event) {
	process := c.said.Incarnation
	at := max(c.town.now+late+c.town.span(5, 300), c.told[of.said.Name])
	c.town.after(at-c.town.now, func() {
		if c.up && c.said.Incarnation == process {
			c.step(e)
		}
	})
	if late == 0 { // a death that is noticed late may be told after another process has come
		c.told[of.said.Name] = at
	}
}

// step is one of the process, and does what it wants.
func (c *citizen) step(events ...Event) {
	w := c.town
	for _, a := range c.me.Step(w.now, events, nil) {
		switch a := a.(type) {
		case SetPlanners:
			c.wanted = a.Names
		case Announce:
			if a.Member.Home != c.said.Home && c.said.Home != "" && a.Member.Home != "" {
				w.homes++
				w.leaving[w.now/time.Second]++
			}
			c.said = a.Member
			c.tellAll(0, MemberJoined{c.said})
		case SetPartition:
			c.owner = a.Owner
		}
	}
	c.connect()
	if at := c.me.Next(); at > 0 && at != c.at {
		c.at = at
		me := c.me
		w.after(at-w.now, func() {
			if c.up && c.me == me && c.at == at {
				c.at = 0
				c.step()
			}
		})
	}
}

func (c *citizen) connect() {
	w, me := c.town, c.me
	for name := range c.links {
		if !slices.Contains(c.wanted, name) {
			w.after(0, func() { c.unlink(name, false) })
		}
	}
	for _, name := range c.wanted {
		if c.links[name] || c.dialing[name] {
			continue
		}
		c.dialing[name] = true
		w.after(w.span(1, 60), func() {
			if c.me != me {
				return
			}
			c.dialing[name] = false
			if o := w.find(name); c.up && o.up && !c.cuts[name] && !c.links[name] {
				c.links[name] = true
				c.step(PlannerConnected{name})
				c.ask(name)
			} else if c.up {
				w.after(200*ms, func() { c.step() })
			}
		})
	}
}

func (c *citizen) unlink(name string, silent bool) {
	if c.up && c.links[name] {
		delete(c.links, name)
		c.step(PlannerDisconnected{name, silent})
	}
}

// ask has a forwarder see every 100 ms how long a planner takes to answer.
func (c *citizen) ask(name string) {
	w, me := c.town, c.me
	if c.said.Role == RolePlanner {
		return
	}
	w.after(w.span(95, 105), func() {
		if !c.up || c.me != me || !c.links[name] {
			return
		}
		took := w.find(name).slow + time.Duration(w.rng.IntN(3))*ms
		if n := w.followers(name); w.room > 0 && n > w.room {
			took += 40 * ms * time.Duration(n-w.room)
		}
		c.step(ReplyReceived{Name: name, Latency: took})
		c.ask(name)
	})
}

func (w *town) followers(name string) (n int) {
	for _, c := range w.all {
		if f, ok := c.me.(*ForwarderMembership); ok && c.up && f.Home() == name {
			n++
		}
	}
	return n
}

func (w *town) living(role Role) (names []string) {
	for _, c := range w.all {
		if c.up && c.said.Role == role {
			names = append(names, c.said.Name)
		}
	}
	return names
}

// trouble has something go wrong every now and then.
func (w *town) trouble() {
	w.after(w.span(50, 1500), func() {
		if w.quiet {
			return
		}
		c, o := w.all[w.rng.IntN(len(w.all))], w.all[w.rng.IntN(len(w.all))]
		switch w.rng.IntN(6) {
		case 0:
			c.stop(w.rng.IntN(2) == 0)
			w.after(w.span(10, 6000), c.start)
		case 1: // between the two alone
			a, b := c.said.Name, o.said.Name
			c.cuts[b], o.cuts[a] = true, true
			w.after(500*ms, func() { c.unlink(b, true); o.unlink(a, true) })
			w.after(w.span(600, 8000), func() { delete(c.cuts, b); delete(o.cuts, a) })
		case 2: // gossip errs
			said := c.said
			c.tellAll(0, MemberDied{said.Name, said.Incarnation})
			w.after(w.span(100, 1600), func() {
				if c.up && c.said.Incarnation == said.Incarnation {
					c.tellAll(0, MemberJoined{c.said})
				}
			})
		case 3:
			c.slow = w.span(0, 200)
			w.after(w.span(100, 8000), func() { c.slow = 0 })
		case 4: // a session ends, and no more
			c.unlink(o.said.Name, false)
		case 5: // it comes late to what is due
			if c.up && c.at > 0 {
				c.at = 0
				w.after(w.span(100, 1000), func() {
					if c.up {
						c.step()
					}
				})
			}
		}
		w.trouble()
	})
}

// calm ends all troubles, and lets things settle.
func (w *town) calm() {
	w.quiet = true
	w.run(10 * time.Second)
	for _, c := range w.all {
		c.start()
	}
	w.run(townConf.Retention + townConf.RecoveryTime<<maxRelapses + 10*time.Second)
}

// check holds a town in which all is well to what must be so.
func (w *town) check(what string) {
	w.t.Helper()
	living := w.living(RolePlanner)
	if len(living) == 0 {
		return
	}
	all, least, most, followed := len(w.living(RoleForwarder)), len(w.all), 0, 0
	for _, name := range living {
		if n := w.followers(name); n > 0 {
			least, most = min(least, n), max(most, n)
			followed++
		}
	}
	may := len(living) // the others stand by
	if w.cells > 0 {
		may = min(may, max(1, cellWeight(4*w.cells)/Defaults().MinWorkersPerPlanner))
	}
	if followed != min(may, all) || most > least+1 {
		w.t.Errorf("%s: %d planners are followed, by %d to %d forwarders", what, followed, least, most)
	}
	for _, c := range w.all {
		if f, ok := c.me.(*ForwarderMembership); ok && c.up && !c.links[f.Home()] {
			w.t.Errorf("%s: %s follows %q, which it has no session with", what, c.said.Name, f.Home())
		}
	}
	have := map[string]int{}
	for cell := range w.cells {
		owner := ""
		for _, name := range living {
			is := w.find(name).owner(&dispatch.Worker{Cell: cell})
			if owner == "" {
				owner = is
			}
			if is != owner || !slices.Contains(living, is) {
				w.t.Errorf("%s: cell %d is %s's, says %s; others say it is %s's", what, cell, is, name, owner)
			}
		}
		have[owner]++
	}
	for _, name := range living {
		fair := float64(w.cells) * float64(w.followers(name)) / float64(max(all, 1))
		if all == 0 {
			fair = float64(w.cells) / float64(len(living))
		}
		if n := float64(have[name]); n <= fair-1 || n >= fair+1 {
			w.t.Errorf("%s: %s has %v cells of %d, its part is %.2f", what, name, n, w.cells, fair)
		}
	}
}

// Whatever happens, once it is over each forwarder follows a planner, they are spread evenly, and the planners' parts
// are the fleet, each cell in one. While it goes on, whoever has a session with a planner that answers follows one.
func TestTown(t *testing.T) {
	plays := 30
	if testing.Short() {
		plays = 10
	}
	for seed := range uint64(plays) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 9))
			w := newTown(t, seed, rng.IntN(13), 1+rng.IntN(5), rng.IntN(60))
			w.trouble()
			for range 300 {
				w.run(100 * ms)
				for _, c := range w.all {
					if f, ok := c.me.(*ForwarderMembership); ok && c.up && len(c.links) > 0 && f.Home() == "" {
						t.Errorf("%s follows nobody, and has sessions", c.said.Name)
					}
				}
			}
			w.calm()
			w.check("at the end")
			before := w.homes
			if w.run(10 * time.Second); w.homes != before {
				t.Errorf("%d forwarders change planners in quiet", w.homes-before)
			}
		})
	}
}

// A planner hovers about the bound for a minute, and then turns between slow and well: hardly anybody goes to and fro
// with it.
func TestHoveringSwingsNothing(t *testing.T) {
	w := newTown(t, 1, 12, 3, 30)
	w.run(5 * time.Second)
	w.homes = 0
	for range 60 {
		w.find("p2").slow = w.span(20, 40)
		w.run(time.Second)
	}
	if w.homes > 4 { // it may be left once
		t.Errorf("%d changes of planners", w.homes)
	}
	for range 12 {
		w.find("p2").slow = 80 * ms
		w.run(5 * time.Second)
		w.find("p2").slow = 0
		w.run(5 * time.Second)
	}
	if w.homes > 4*2*5 { // of 4*2*12: four forwarders leave and come back, at growing intervals
		t.Errorf("%d changes of planners in two minutes of turns between slow and well", w.homes)
	}
}

// A slow planner is left by one forwarder after another, and the next is not brought down by those that come:
// planners answer slowly here as soon as they are followed by more than they have the strength for.
func TestSlowIsLeftInStages(t *testing.T) {
	w := newTown(t, 1, 30, 3, 30)
	w.room = 16
	w.run(5 * time.Second)
	w.check("before")
	w.homes = 0
	clear(w.leaving)
	w.find("p1").slow = 80 * ms
	begin := w.now
	w.run(10 * time.Second)
	if n := w.followers("p1"); n > 0 {
		t.Errorf("%d stay with it", n)
	}
	if a, b := w.followers("p2"), w.followers("p3"); a > 16 || b > 16 {
		t.Errorf("others are followed by %d and %d", a, b)
	}
	for at, n := range w.leaving {
		if n > 6 {
			t.Errorf("%d change within the second %v after", n, at*time.Second-begin)
		}
	}
	w.find("p1").slow = 0
	w.run(20 * time.Second)
	w.check("after")
	// One that is too weak for its part keeps as many as it can serve, more or less, and there is no end of others.
	w.room, w.homes = 8, 0
	w.run(time.Minute)
	if w.homes > 0 {
		t.Errorf("all are slow, and %d change", w.homes)
	}
}
