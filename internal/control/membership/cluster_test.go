package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// clusterConfig has shorter times than Defaults, so that a cluster converges sooner.
var clusterConfig = Config{Retention: 8 * time.Second, RecoveryTime: 500 * time.Millisecond}

// cluster simulates forwarders and planners with models of the gossip engine and the sessions. Gossip reports are delayed and
// arrive in order per process, crashes are detected late, and some reported crashes did not happen.
type cluster struct {
	t             *testing.T
	rng           *rand.Rand
	now           time.Duration
	queue         eventQueue
	sequence      int
	processes     []*process
	cells         int
	plannerLimit  int // forwarders that a planner serves without extra latency; 0 for any number
	faultsEnabled bool
	moveCount     int                   // announced changes of a forwarder's home
	movesBySecond map[time.Duration]int // moves by simulated second
}

// scheduledEvent is an event of the simulation.
type scheduledEvent struct {
	at       time.Duration
	sequence int // orders events of the same time
	run      func()
}

// eventQueue is a heap of events ordered by time.
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

// newCluster returns a cluster whose processes start at random times within 300 ms.
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

// randomDelay returns a random delay in milliseconds from the range [from, to).
func (c *cluster) randomDelay(from, to int) time.Duration {
	return time.Duration(from+c.rng.IntN(to-from)) * time.Millisecond
}

// after schedules an event after a delay.
func (c *cluster) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, scheduledEvent{c.now + delay, c.sequence, run})
}

// run runs the events of the next period.
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

// replyLatency returns a random reply latency of a planner, increased by 40 ms per follower above plannerLimit.
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
