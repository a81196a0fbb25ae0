package dispatch

import "time"

// How the client handles a coordinator's answers and uses granted leases. This implements the design's
// "among those able to start the job now": a grant is used only if this dispatcher's own rules allow the
// worker too.

// handleGranted records a granted lease, for useGrants. It releases a grant that is not wanted: if the
// request is closed, or was granted by another coordinator already, or the sender may not coordinate the
// shard.
func (l *leaseClient) handleGranted(from int, message LeaseGranted) {
	lease := l.byID[message.ID]
	isWanted := lease != nil && l.directory.canCoordinate(from, lease.shard) &&
		(!lease.isGranted || from == lease.peer)
	if !isWanted {
		l.peers.send(from, LeaseReleased{ID: message.ID, Result: NotSent})
		return
	}
	l.freeSlots[lease.shard] = message.FreeSlots
	delete(l.denied, from)
	if lease.isGranted {
		return
	}
	lease.isGranted = true
	lease.worker = message.Worker
	lease.peer = from
	l.timers.cancel(&lease.timer)
	l.granted = append(l.granted, lease)
}

// handleQueued records that a request waits, and requests slots for its job in another shard too.
func (l *leaseClient) handleQueued(now time.Duration, from int, message LeaseQueued) {
	lease := l.byID[message.ID]
	if lease == nil {
		l.peers.send(from, LeaseReleased{ID: message.ID, Result: NotSent})
		return
	}
	if lease.isGranted || from != lease.peer {
		return
	}
	l.freeSlots[lease.shard] = message.FreeSlots
	if !lease.isQueued && !lease.job.isDeprioritized() {
		l.recordDenied(now, from)
	}
	lease.isQueued = true
	l.timers.set(&lease.timer, now+queuedRequestInterval, now)
	l.request(now, lease.job)
}

// recordDenied counts a request that a coordinator did not grant. After maxDeniedRequests consecutive ones
// the coordinator is skipped, as its slot counts or its list of workers may be wrong.
func (l *leaseClient) recordDenied(now time.Duration, peer int) {
	denied := l.denied[peer]
	if denied.count == 0 {
		denied.since = now
	}
	denied.count++
	l.denied[peer] = denied
	if denied.count >= maxDeniedRequests && now-denied.since >= deniedRequestsSpan {
		delete(l.denied, peer)
		l.directory.avoidDenying(peer, now)
	}
}

// hasGrants reports whether leases were granted that are not used yet.
func (l *leaseClient) hasGrants() bool { return len(l.granted) > 0 }

// useGrants sends jobs on the leases that were granted.
func (l *leaseClient) useGrants(now time.Duration) {
	for _, lease := range l.granted {
		if lease.job != nil { // else another lease for the job was used first
			l.useGrant(now, lease)
		}
	}
	clear(l.granted)
	l.granted = l.granted[:0]
}

func (l *leaseClient) useGrant(now time.Duration, lease *leaseInfo) {
	job := lease.job
	worker := l.jobs.usableWorker(job, lease.worker, lease.shard)
	if worker == nil {
		l.rejectGrant(now, lease)
		return
	}
	job.leases.remove(lease)
	lease.job = nil
	l.withdraw(job)
	lease.attempt = l.jobs.sendWithLease(job, worker)
	lease.attempt.lease = lease
}

// rejectGrant releases a granted lease that its job cannot use, and requests another one. After
// maxUnusableGrants of them the job is sent without a lease.
func (l *leaseClient) rejectGrant(now time.Duration, lease *leaseInfo) {
	job := lease.job
	l.drop(lease)
	l.release(lease, NotSent)
	if !job.isQueued() {
		return
	}
	job.leases.unusableWorkers = append(job.leases.unusableWorkers, lease.worker)
	if len(job.leases.unusableWorkers) >= maxUnusableGrants {
		l.dispatchWithoutLease(job)
	} else {
		l.request(now, job)
	}
}

// usableWorker implements leasedJobs. A worker that this dispatcher does not know, or knows in another
// shard, is never sent anything.
func (l *leaseAdapter) usableWorker(job *jobInfo, id uint64, shard Shard) *workerInfo {
	worker := l.dispatcher.fleet.byID[id]
	if worker == nil || !worker.Ready || !job.isQueued() || l.dispatcher.reservation.excludes(job, worker) {
		return nil
	}
	if l.dispatcher.leases.directory.shardOf(&worker.Worker) != shard || !l.canSend(job, worker) {
		return nil
	}
	return worker
}

// canSend reports whether the rules for the worker, the job and the class allow an attempt.
func (l *leaseAdapter) canSend(job *jobInfo, worker *workerInfo) bool {
	dispatcher := l.dispatcher
	promptStart := dispatcher.starts.promptStart(job.class)
	isFull := dispatcher.hasRejected(worker, job.demand) ||
		worker.hasLateStart(promptStart, dispatcher.now)
	if isFull || job.wasSentTo(worker) || !job.class.allows(worker.Kind, worker.Zone) {
		return false
	}
	return dispatcher.mayAttempt(job, worker) && !dispatcher.outliers.isEjected(worker) &&
		dispatcher.canMeetObjective(job, worker) &&
		dispatcher.slowStart.allowsLease(job, worker, dispatcher.now)
}
