package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
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
