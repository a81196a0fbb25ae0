package membership

import "time"

// scheduleFaults injects faults at random times until faultsEnabled is false.
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
		c.isolatePair(process, other)
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

// isolatePair breaks the connection between two processes for a time. Gossip and other connections are not affected.
func (c *cluster) isolatePair(one, other *process) {
	a, b := one.announced.Name, other.announced.Name
	one.unreachable[b] = true
	other.unreachable[a] = true
	c.after(500*time.Millisecond, func() {
		one.disconnect(b, true)
		other.disconnect(a, true)
	})
	c.after(c.randomDelay(600, 8000), func() {
		delete(one.unreachable, b)
		delete(other.unreachable, a)
	})
}

// reportFalseDeath makes gossip report a running process as dead, and later announce it again.
func (c *cluster) reportFalseDeath(process *process) {
	member := process.announced
	process.broadcast(0, MemberDied{member.Name, member.Incarnation})
	c.after(c.randomDelay(100, 1600), func() {
		if process.running && process.announced.Incarnation == member.Incarnation {
			process.broadcast(0, MemberJoined{process.announced})
		}
	})
}

// delayTimer delays the next timed step of a process.
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

// recoverFromFaults ends all faults, restarts all processes, and runs until the effects of faults have passed.
func (c *cluster) recoverFromFaults() {
	c.faultsEnabled = false
	c.run(10 * time.Second)
	for _, process := range c.processes {
		process.start()
	}
	c.run(clusterConfig.Retention + clusterConfig.RecoveryTime<<maxRelapses + 10*time.Second)
}
