package aperture

import (
	"math"
	"time"

	"valvecove/logic"
)

const (
	promptPart   = 4           // a job that is held for longer than this part of its class's aim finds no room
	recent       = time.Second // how far back load is looked at
	fewest       = 8           // jobs that say something
	widening     = 1.5         // a step of it
	widenEvery   = time.Second // each shows its effect first
	calmPart     = 4           // under this part of Config.WidenAt there is no load to speak of
	mostPatience = 8           // Dwells of calm before a narrowing, where earlier ones were undone
	undone       = 4           // a widening within so many Dwells undoes a narrowing
	silentAfter  = time.Second // a worker node that was asked is silent after so long without a word
	strikesMost  = 2           // or after so many failures to reach it
)

// decay is what of the load remains from tick to tick.
var decay = math.Exp(-tickEvery.Seconds() / recent.Seconds())

// job is one that has not been sent yet.
type job struct {
	id     uint64
	class  int
	came   time.Duration
	open   bool // it is among the jobs
	queued bool // and in its class's queue
}

// load is how jobs fare, and what follows. What counts is whether there was room for them: whether the module held them
// for long, or worker nodes turned them away. Late starts say nothing of the kind. They come of schedulers that meet at
// a worker node, which they do the more often, the wider they all look.
type load struct {
	jobs     map[uint64]*job
	queues   []queue         // by class, of jobs as they came
	prompt   []time.Duration // by class
	spare    []*job
	hard     float64 // jobs that found no room in time, and all; both fade
	judged   float64
	factor   float64
	widened  time.Duration // when that last happened
	narrowed time.Duration
	calm     time.Duration // since when there has been no load to speak of
	patience float64       // Dwells of calm before a narrowing
}

func newLoad(set logic.Settings) load {
	l := load{jobs: map[uint64]*job{}, queues: make([]queue, len(set.Classes)), factor: 1, patience: 1}
	for _, c := range set.Classes {
		l.prompt = append(l.prompt, c.Aim/promptPart)
	}
	return l
}

// queue holds jobs in the order in which they came.
type queue struct {
	jobs []*job
	head int
}

func (q *queue) put(j *job) {
	if q.head > len(q.jobs)/2 {
		n := copy(q.jobs, q.jobs[q.head:])
		clear(q.jobs[n:])
		q.jobs, q.head = q.jobs[:n], 0
	}
	q.jobs = append(q.jobs, j)
}

// came takes in a job.
func (a *Aperture) came(e logic.Job) {
	if a.jobs[e.ID] != nil || e.Class < 0 || e.Class >= len(a.queues) {
		return
	}
	j := &job{}
	if last := len(a.spare) - 1; last >= 0 {
		j, a.spare = a.spare[last], a.spare[:last]
	}
	*j = job{id: e.ID, class: e.Class, came: a.now, open: true, queued: true}
	a.jobs[e.ID] = j
	a.queues[e.Class].put(j)
}

// settle ends the look at a job.
func (a *Aperture) settle(id uint64) *job {
	j := a.jobs[id]
	if j != nil {
		delete(a.jobs, id)
		j.open = false
		a.recycle(j)
	}
	return j
}

func (a *Aperture) recycle(j *job) {
	if !j.open && !j.queued {
		a.spare = append(a.spare, j)
	}
}

func (a *Aperture) judge(hard bool) {
	if a.judged++; hard {
		a.hard++
	}
}

// sent takes in an attempt.
func (a *Aperture) sent(id, worker uint64) {
	if n := a.nodes[worker]; n != nil {
		n.out++
		if a.set.TellsStart {
			a.ask(n)
		}
	}
	if j := a.settle(id); j != nil {
		a.judge(a.now-j.came > a.prompt[j.class])
	}
}

// resumed takes in a job that comes with attempts at worker nodes, wherever these are. The module must know the cells
// and zones of all of them before it hears of the job. It gives those that it is to be told of again afterwards.
func (a *Aperture) resumed(e logic.Resumed) (after []*node) {
	for _, p := range e.Attempts {
		n := a.nodes[p.Worker]
		if n == nil {
			if p.Ended {
				continue
			}
			n = a.newNodes.take()
			n.ID = p.Worker
			a.nodes[p.Worker] = n
		}
		if !p.Ended {
			n.out++
		}
		if n.unit != nil && !n.told {
			a.news = append(a.news, n.tell(false))
			after = append(after, n)
		}
	}
	return after
}

// ended takes in the end of an attempt.
func (a *Aperture) ended(e logic.Outcome) {
	if n := a.nodes[e.Worker]; n != nil && n.out > 0 {
		switch n.out--; {
		case n.out > 0:
		case n.told:
			a.news = a.sync(n, a.news)
		default:
			a.release(n)
		}
	}
	switch e.Result {
	case logic.OK, logic.Failed:
		a.heard(e.Worker)
	case logic.Full:
		a.judge(true)
		a.heard(e.Worker)
	case logic.TimedOut, logic.NoConnect, logic.Reset:
		a.strike(e.Worker)
	}
}

// probed takes in the end of a probe.
func (a *Aperture) probed(e logic.Probed) {
	switch e.Result {
	case logic.NotSent, logic.Cancelled:
	case logic.TimedOut, logic.NoConnect, logic.Reset:
		a.strike(e.Worker)
	default:
		a.heard(e.Worker)
	}
}

// ---- Width ----

// weigh looks at how jobs have fared, and widens or narrows. Narrowing waits for a Dwell without load, and longer each
// time that the one before had to be undone: where load hovers at the bound, the aperture stays wide.
func (a *Aperture) weigh(late bool) {
	for class := range a.queues {
		q := &a.queues[class]
		for q.head < len(q.jobs) && a.now-q.jobs[q.head].came > a.prompt[class] {
			j := q.jobs[q.head]
			q.jobs[q.head] = nil
			q.head++
			if j.queued = false; !j.open {
				a.recycle(j)
				continue
			}
			if a.settle(j.id); !late { // else nobody could have sent it
				a.judge(true)
			}
		}
	}
	share := 0.0
	if a.judged >= fewest {
		share = a.hard / a.judged
	}
	a.hard, a.judged = a.hard*decay, a.judged*decay
	dwell := time.Duration(a.patience * float64(a.conf.Dwell))
	switch {
	case a.whole():
		a.factor, a.calm = 1, a.now
	case share >= a.conf.WidenAt:
		a.calm = a.now
		if a.full || a.factor >= a.conf.Most || a.widened > 0 && a.now-a.widened < widenEvery {
			return
		}
		if a.narrowed > 0 && a.now-a.narrowed < undone*dwell {
			a.patience = min(2*a.patience, mostPatience)
		}
		a.factor, a.widened, a.stale = min(widening*a.factor, a.conf.Most), a.now, true
		a.why = "wider, as jobs find no room in time"
	case share >= a.conf.WidenAt/calmPart:
		a.calm = a.now
	case a.factor > 1 && a.now-a.calm >= dwell:
		a.factor, a.narrowed, a.calm, a.stale = max(a.factor/widening, 1), a.now, a.now, true
		a.why = "narrower, as jobs find room"
	case a.factor == 1 && a.patience > 1 && a.now-a.calm >= undone*dwell:
		a.patience = 1
	}
}

// ---- Silence ----

// ask notes that a worker node owes a sign of life.
func (a *Aperture) ask(n *node) {
	if n.asked > 0 || n.unit == nil {
		return
	}
	if n.asked = max(a.now, 1); !n.owes {
		n.owes = true
		a.owing = append(a.owing, n)
	}
}

func (a *Aperture) heard(worker uint64) {
	if n := a.nodes[worker]; n != nil {
		n.asked, n.strikes = 0, 0
		a.hush(n, false)
	}
}

func (a *Aperture) strike(worker uint64) {
	if n := a.nodes[worker]; n != nil && n.told {
		if n.strikes++; n.strikes >= strikesMost {
			a.hush(n, true)
		}
	}
}

// hush enters whether a worker node is silent. One that is stays in the aperture, so that it can be heard again, and
// others come in its place.
func (a *Aperture) hush(n *node, silent bool) {
	if n.unit == nil || n.silent == silent {
		return
	}
	a.count(n, -1)
	n.silent = silent
	a.count(n, 1)
	a.stale = true
}

// listen finds who has been silent for too long.
func (a *Aperture) listen(late bool) {
	owing := a.owing[:0]
	for _, n := range a.owing {
		if n.asked == 0 {
			n.owes = false
			continue
		}
		if late {
			n.asked = a.now
		} else if n.told && a.now-n.asked >= silentAfter {
			a.hush(n, true)
		}
		owing = append(owing, n)
	}
	clear(a.owing[len(owing):])
	a.owing = owing
}
