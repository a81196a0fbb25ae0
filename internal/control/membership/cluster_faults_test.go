package membership

import "time"

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
