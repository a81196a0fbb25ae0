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

// clusterConfig has a cluster settle sooner than Defaults.
var clusterConfig = Config{Retention: 8 * time.Second, RecoveryTime: 500 * time.Millisecond}

// cluster simulates forwarders and planners with a model of a gossip engine and of sessions between them: reports take their
// time and arrive in order from each process, crashes are noticed late, and some are reported that did not happen.
type cluster struct {
	t             *testing.T
	rng           *rand.Rand
	now           time.Duration
	queue         eventQueue
	sequence      int
	processes     []*process
	cells         int
	plannerLimit  int // forwarders that a planner can serve without delay; 0: any number
	faultsEnabled bool
	moveCount     int                   // forwarders' changes from one planner to another
	movesBySecond map[time.Duration]int // the same, by the second in which they were
}

// scheduledEvent is an event of the simulation.
type scheduledEvent struct {
	at       time.Duration
	sequence int // orders events of the same time
	run      func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].sequence < q[k].sequence
}

func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

func (q *eventQueue) Push(event any) { *q = append(*q, event.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	*q = (*q)[:last]
	return event
}

// newCluster returns a cluster whose processes start within 300 ms.
func newCluster(t *testing.T, seed uint64, forwarders, planners, cells int) *cluster {
	t.Helper()
	c := &cluster{
		t:             t,
		rng:           rand.New(rand.NewPCG(seed, 5)),
		now:           time.Hour,
		cells:         cells,
		faultsEnabled: true,
		movesBySecond: map[time.Duration]int{},
	}
	for i := range planners {
		c.processes = append(c.processes, newProcess(c, fmt.Sprint("p", i+1), RolePlanner))
	}
	for i := range forwarders {
		c.processes = append(c.processes, newProcess(c, fmt.Sprint("f", i+1), RoleForwarder))
	}
	for _, process := range c.processes {
		c.after(c.randomDelay(0, 300), process.start)
	}
	return c
}

// randomDelay draws a delay between two numbers of milliseconds.
func (c *cluster) randomDelay(from, to int) time.Duration {
	return time.Duration(from+c.rng.IntN(to-from)) * time.Millisecond
}

// after schedules an event.
func (c *cluster) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, scheduledEvent{c.now + delay, c.sequence, run})
}

// run runs the events of a period.
func (c *cluster) run(period time.Duration) {
	for end := c.now + period; len(c.queue) > 0 && c.queue[0].at <= end; {
		event := heap.Pop(&c.queue).(scheduledEvent)
		c.now = event.at
		event.run()
	}
}

func (c *cluster) find(name string) *process {
	return c.processes[slices.IndexFunc(c.processes, func(p *process) bool { return p.announced.Name == name })]
}

// replyLatency draws how long a planner takes to reply: longer beyond its limit of forwarders.
func (c *cluster) replyLatency(planner string) time.Duration {
	latency := c.find(planner).latency + time.Duration(c.rng.IntN(3))*time.Millisecond
	if followers := c.followerCount(planner); c.plannerLimit > 0 && followers > c.plannerLimit {
		latency += 40 * time.Millisecond * time.Duration(followers-c.plannerLimit)
	}
	return latency
}

func (c *cluster) followerCount(planner string) (count int) {
	for _, process := range c.processes {
		if forwarder, ok := process.follower(); ok && forwarder.Home() == planner {
			count++
		}
	}
	return count
}

// running returns the names of the running processes of a role.
func (c *cluster) running(role Role) (names []string) {
	for _, process := range c.processes {
		if process.running && process.announced.Role == role {
			names = append(names, process.announced.Name)
		}
	}
	return names
}

func (c *cluster) countMove() {
	c.moveCount++
	c.movesBySecond[c.now/time.Second]++
}

func (c *cluster) resetMoves() {
	c.moveCount = 0
	clear(c.movesBySecond)
}

// ---- Faults ----

// scheduleFaults injects faults at random times, until they are disabled.
func (c *cluster) scheduleFaults() {
	c.after(c.randomDelay(50, 1500), func() {
		if !c.faultsEnabled {
			return
		}
		process := c.processes[c.rng.IntN(len(c.processes))]
		other := c.processes[c.rng.IntN(len(c.processes))]
		c.injectFault(process, other)
		c.scheduleFaults()
	})
}

func (c *cluster) injectFault(process, other *process) {
	switch c.rng.IntN(6) {
	case 0:
		process.stop(c.rng.IntN(2) == 0)
		c.after(c.randomDelay(10, 6000), process.start)
	case 1:
		c.cutConnection(process, other)
	case 2:
		c.reportFalseDeath(process)
	case 3:
		process.latency = c.randomDelay(0, 200)
		c.after(c.randomDelay(100, 8000), func() { process.latency = 0 })
	case 4:
		process.disconnect(other.announced.Name, false)
	case 5:
		c.delayTimer(process)
	}
}

// cutConnection has two processes lose sight of each other, but not of the rest.
func (c *cluster) cutConnection(one, other *process) {
	a, b := one.announced.Name, other.announced.Name
	one.cut[b] = true
	other.cut[a] = true
	c.after(500*time.Millisecond, func() {
		one.disconnect(b, true)
		other.disconnect(a, true)
	})
	c.after(c.randomDelay(600, 8000), func() {
		delete(one.cut, b)
		delete(other.cut, a)
	})
}

// reportFalseDeath has gossip report a death that did not happen, and take it back.
func (c *cluster) reportFalseDeath(process *process) {
	member := process.announced
	process.broadcast(0, MemberDied{member.Name, member.Incarnation})
	c.after(c.randomDelay(100, 1600), func() {
		if process.running && process.announced.Incarnation == member.Incarnation {
			process.broadcast(0, MemberJoined{process.announced})
		}
	})
}

// delayTimer has a process come late to its next step.
func (c *cluster) delayTimer(process *process) {
	if !process.running || process.timerAt == 0 {
		return
	}
	process.timerAt = 0
	c.after(c.randomDelay(100, 1000), func() {
		if process.running {
			process.step()
		}
	})
}

// settle ends all faults, and runs until their effects are over.
func (c *cluster) settle() {
	c.faultsEnabled = false
	c.run(10 * time.Second)
	for _, process := range c.processes {
		process.start()
	}
	c.run(clusterConfig.Retention + clusterConfig.RecoveryTime<<maxRelapses + 10*time.Second)
}

// ---- Checks ----

// check checks what holds in a cluster that has settled.
func (c *cluster) check(when string) {
	c.t.Helper()
	planners := c.running(RolePlanner)
	if len(planners) == 0 {
		return
	}
	c.checkFollowers(when, planners)
	c.checkHomes(when)
	c.checkPartition(when, planners)
}

// checkFollowers checks that forwarders are spread evenly over as many planners as the workers allow.
func (c *cluster) checkFollowers(when string, planners []string) {
	c.t.Helper()
	forwarders := len(c.running(RoleForwarder))
	fewest, most, followed := len(c.processes), 0, 0
	for _, name := range planners {
		if count := c.followerCount(name); count > 0 {
			fewest = min(fewest, count)
			most = max(most, count)
			followed++
		}
	}
	limit := len(planners) // the others are on standby
	if c.cells > 0 {
		limit = min(limit, max(1, roundUpToPowerOfTwo(workersPerCell*c.cells)/Defaults().MinWorkersPerPlanner))
	}
	if followed != min(limit, forwarders) || most > fewest+1 {
		c.t.Errorf("%s: %d planners are followed, by %d to %d forwarders", when, followed, fewest, most)
	}
}

// checkHomes checks that each forwarder has a session with its home.
func (c *cluster) checkHomes(when string) {
	c.t.Helper()
	for _, process := range c.processes {
		if forwarder, ok := process.follower(); ok && !process.connected[forwarder.Home()] {
			c.t.Errorf("%s: %s follows %q without a session", when, process.announced.Name, forwarder.Home())
		}
	}
}

// checkPartition checks that the planners agree who owns each cell, and that each owns its share.
func (c *cluster) checkPartition(when string, planners []string) {
	c.t.Helper()
	owned := map[string]int{}
	for cell := range c.cells {
		owned[c.checkOwner(when, planners, cell)]++
	}
	forwarders := len(c.running(RoleForwarder))
	for _, name := range planners {
		share := float64(c.cells) * float64(c.followerCount(name)) / float64(max(forwarders, 1))
		if forwarders == 0 {
			share = float64(c.cells) / float64(len(planners))
		}
		if count := float64(owned[name]); count <= share-1 || count >= share+1 {
			c.t.Errorf("%s: %s owns %v of %d cells, its share is %.2f", when, name, count, c.cells, share)
		}
	}
}

// checkOwner returns the owner of a cell by the first planner, and checks that the others agree and that it is running.
func (c *cluster) checkOwner(when string, planners []string, cell int) string {
	c.t.Helper()
	worker := &dispatch.Worker{Cell: cell}
	owner := c.find(planners[0]).ownerOf(worker)
	for _, name := range planners {
		if other := c.find(name).ownerOf(worker); other != owner || !slices.Contains(planners, other) {
			c.t.Errorf("%s: cell %d: owner is %s by %s, and %s by %s", when, cell, other, name, owner, planners[0])
		}
	}
	return owner
}

// checkFollowing checks that each forwarder with a session follows a planner.
func (c *cluster) checkFollowing() {
	c.t.Helper()
	for _, process := range c.processes {
		if forwarder, ok := process.follower(); ok && len(process.connected) > 0 && forwarder.Home() == "" {
			c.t.Errorf("%s has sessions and follows no planner", process.announced.Name)
		}
	}
}
