package dispatch

import (
	"slices"
	"testing"
	"time"
)

func leaseSettings() Settings {
	settings := testSettings()
	settings.ReportFields, settings.PeerMessages, settings.ZoneCount = nil, true, 1
	return settings
}

// leaseHarness returns a harness with one of several dispatchers, which does not coordinate the only shard, and the dispatchers
// that may. The test sends the messages of these.
func leaseHarness(t *testing.T, workers int) (s *harness, coordinators []int) {
	t.Helper()
	settings := leaseSettings()
	settings.Replicas = coordinatorCandidates + 1
	coordinators = New(settings, 1).leases.directory.rank(Shard{})
	for slices.Contains(coordinators, settings.ReplicaIndex) {
		settings.ReplicaIndex++
	}
	s = newHarness(t, settings)
	s.workers(workers)
	s.wait(time.Second)
	s.take()
	return s, coordinators
}

// peerMessages returns the sent messages of one type, and their recipients.
func peerMessages[M PeerMessage](actions []Action) (messages []M, peers []int) {
	for _, action := range actions {
		if sent, ok := action.(SendPeerMessage); ok {
			if message, ok := sent.Message.(M); ok {
				messages = append(messages, message)
				peers = append(peers, sent.To)
			}
		}
	}
	return messages, peers
}

func sends(actions []Action) (found []Send) {
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			found = append(found, send)
		}
	}
	return found
}

// request adds a job, and returns the request for a lease that is sent for it.
func (s *harness) request(job Job) LeaseRequest {
	s.t.Helper()
	s.step(job)
	requests, _ := peerMessages[LeaseRequest](s.take())
	if len(requests) != 1 {
		s.t.Fatalf("%d requests were sent for a job, expected 1", len(requests))
	}
	return requests[0]
}

// If no coordinator answers, a job is sent without a lease after leaseWaitLimit, and the next report lists its slots.
func TestJobIsSentWithoutLeaseIfNoCoordinatorAnswers(t *testing.T) {
	t.Parallel()
	s, _ := leaseHarness(t, 2)
	s.request(s.job(1, 0, 100*ms))
	s.wait(leaseWaitLimit - ms)
	if sent := sends(s.take()); len(sent) > 0 {
		t.Fatalf("sent %v before leaseWaitLimit had passed", sent)
	}
	s.wait(leaseAnswerTimeout + ms)
	sent := sends(s.take())
	expectJobs(t, sent, 1)
	s.step(Started{Job: 1, Worker: sent[0].Worker})
	s.wait(2 * time.Second)
	reports, _ := peerMessages[LeaseReport](s.take())
	if len(reports) == 0 || len(reports[0].Leases) != 1 || !reports[0].Complete {
		t.Fatalf("reported %v, expected a complete report with one lease", reports)
	}
}

// A grant is used only once. A grant by a second coordinator, or for a job that has ended, is released.
func TestGrantIsUsedOnce(t *testing.T) {
	t.Parallel()
	s, coordinators := leaseHarness(t, 3)
	request := s.request(s.job(1, 0, 100*ms))
	s.wait(2*leaseAnswerTimeout + ms) // the request is sent to the next coordinator
	s.take()
	grant := func(peer int, worker uint64) []Action {
		s.step(PeerMessageReceived{From: coordinators[peer], Message: LeaseGranted{ID: request.ID, Worker: worker}})
		return s.take()
	}
	if sent := sends(grant(0, 2)); len(sent) != 1 || sent[0].Worker != 2 {
		t.Fatalf("sent %v, expected one attempt at worker 2", sent)
	}
	for range 2 {
		actions := grant(1, 3)
		released, peers := peerMessages[LeaseReleased](actions)
		if len(sends(actions)) > 0 || len(released) != 1 || released[0].Result != NotSent || peers[0] != coordinators[1] {
			t.Fatalf("the grant of a second coordinator caused %v, expected only a release to it", actions)
		}
	}
	if released, _ := peerMessages[LeaseReleased](grant(0, 2)); len(released) > 0 {
		t.Fatal("a repeated grant was released though its lease is in use")
	}
	s.step(Outcome{Job: 1, Worker: 2, Closed: true})
	if released, _ := peerMessages[LeaseReleased](s.take()); len(released) != 1 || released[0].Result != OK {
		t.Fatalf("released %v after the end of the attempt, expected one release with result OK", released)
	}
	if released, _ := peerMessages[LeaseReleased](grant(0, 2)); len(released) != 1 {
		t.Fatal("a grant for a job that has ended was not released")
	}
}

// A worker that is not listed is sent nothing, even if a coordinator grants its slots. After maxUnusableGrants such grants the
// job is sent without a lease.
func TestGrantOfUnusableWorker(t *testing.T) {
	t.Parallel()
	s, coordinators := leaseHarness(t, 2)
	for try, request := 0, s.request(s.job(1, 0, 100*ms)); try < maxUnusableGrants; try++ {
		s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseGranted{ID: request.ID, Worker: 99}})
		actions := s.take()
		if released, _ := peerMessages[LeaseReleased](actions); len(released) != 1 {
			t.Fatalf("an unusable grant caused %v, expected one release", actions)
		}
		requests, _ := peerMessages[LeaseRequest](actions)
		if try == maxUnusableGrants-1 {
			expectJobs(t, sends(actions), 1) // without a lease, as there were too many unusable grants
			return
		}
		if len(requests) != 1 || !slices.Contains(requests[0].Excluded, 99) {
			t.Fatalf("requested %v, expected one request that excludes worker 99", requests)
		}
		request = requests[0]
	}
}

// The request of a hedge is withdrawn when the response of the first attempt begins.
func TestHedgeRequestIsWithdrawnWhenResponseStarts(t *testing.T) {
	t.Parallel()
	s, coordinators := leaseHarness(t, 3)
	request := s.request(s.job(1, 0, 100*ms))
	s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseGranted{ID: request.ID, Worker: 1}})
	expectJobs(t, sends(s.take()), 1)
	for range 100 {
		s.wait(5 * ms)
		if requests, peers := peerMessages[LeaseRequest](s.take()); len(requests) > 0 {
			s.step(ResponseStarted{Job: 1, Worker: 1})
			if released, _ := peerMessages[LeaseReleased](s.take()); len(released) != 1 || released[0].ID != requests[0].ID {
				t.Fatalf("the request to %v was not withdrawn: released %v", peers, released)
			}
			return
		}
	}
	t.Fatal("no hedge requested slots: the test has covered nothing")
}

// Attempts at a worker whose process has ended use no slots any more: their leases are released once.
func TestUncordonReleasesLeases(t *testing.T) {
	t.Parallel()
	s, coordinators := leaseHarness(t, 3)
	request := s.request(s.job(1, 1, 100*ms))
	s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseGranted{ID: request.ID, Worker: 1}})
	s.step(Started{Job: 1, Worker: 1}, Cordoned{Worker: 1})
	s.take()
	s.step(Uncordoned{Worker: 1})
	if released, _ := peerMessages[LeaseReleased](s.take()); len(released) != 1 || released[0].ID != request.ID {
		t.Fatalf("released %v, expected the lease of job 1", released)
	}
	s.step(Outcome{Job: 1, Worker: 1, Result: ConnectionReset, Closed: true})
	if released, _ := peerMessages[LeaseReleased](s.take()); len(released) > 0 {
		t.Fatalf("released again at the end of the attempt: %v", released)
	}
}

// A job for which no coordinator is left is sent without a lease at once, even while other jobs wait for leases.
func TestJobWithoutCoordinatorIsSentAtOnce(t *testing.T) {
	t.Parallel()
	s, coordinators := leaseHarness(t, 3)
	first := s.request(s.job(1, 0, 100*ms))
	s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseQueued{ID: first.ID}})
	for _, peer := range coordinators {
		s.d.leases.directory.avoidDenying(peer, s.now)
	}
	s.take()
	s.step(s.job(2, 0, 200*ms))
	sent := sends(s.take())
	expectJobs(t, sent, 2)
	s.step(Started{Job: 2, Worker: sent[0].Worker})
	s.wait(queuedRequestInterval + ms) // the request for job 1 is due again, and no coordinator is left for it
	expectJobs(t, sends(s.take()), 1)
}

// A retry whose request excludes all workers does not wait for a lease for more than retryWaitLimit: it is sent without one.
func TestRetryWithoutOtherWorkers(t *testing.T) {
	t.Parallel()
	s, coordinators := leaseHarness(t, 1)
	request := s.request(s.job(1, 0, 100*ms))
	s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseGranted{ID: request.ID, Worker: 1}})
	s.step(Outcome{Job: 1, Worker: 1, Result: WorkerFull})
	s.take()
	for waited := time.Duration(0); waited < 2*time.Second; waited += 10 * ms {
		s.wait(10 * ms)
		actions := s.take()
		if len(sends(actions)) > 0 {
			return
		}
		requests, peers := peerMessages[LeaseRequest](actions)
		for i := range requests {
			s.step(PeerMessageReceived{From: peers[i], Message: LeaseQueued{ID: requests[i].ID}})
		}
	}
	t.Fatal("the retry was not sent within 2 s")
}

// A dispatcher that is restored without leases requests slots for its queued jobs again, and reports the slots of its attempts.
func TestRestoredDispatcherResumesLeases(t *testing.T) {
	t.Parallel()
	s, coordinators := leaseHarness(t, 3)
	request := s.request(s.job(1, 0, 100*ms))
	s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseGranted{ID: request.ID, Worker: 1}})
	s.step(Started{Job: 1, Worker: 1})
	queued := s.request(s.job(2, 0, 100*ms))
	s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseQueued{ID: queued.ID}})
	s.take()
	restored, err := Restore(s.d.settings, s.d.Snapshot(nil))
	if err != nil {
		t.Fatal(err)
	}
	s.d = restored
	s.now += 200 * ms // no message was received during the restart
	s.step(TimerFired{})
	requests, _ := peerMessages[LeaseRequest](s.actions)
	if len(requests) != 1 || len(sends(s.actions)) > 0 {
		t.Fatalf("the first step after the restart returned %v, expected one request and no send", s.actions)
	}
	s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseQueued{ID: requests[0].ID}})
	s.wait(maintenanceInterval)
	actions := s.take()
	reports, _ := peerMessages[LeaseReport](actions)
	if len(reports) != 1 || len(reports[0].Leases) != 1 || reports[0].Leases[0].Worker != 1 || !reports[0].Leases[0].Started {
		t.Fatalf("reported %v, expected the lease of the attempt at worker 1, as started", reports)
	}
	if len(restored.leases.coordinator.leases)+len(restored.leases.coordinator.slots) > 0 {
		t.Fatal("the restored dispatcher has kept leases that it had granted")
	}
	s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseGranted{ID: requests[0].ID, Worker: 2}})
	expectJobs(t, sends(s.take()), 2)
}
