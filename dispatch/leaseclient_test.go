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

// leaseHarness is one of several dispatchers, which coordinates no shard. The test plays its peers.
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

// peerMessages returns the messages of one kind, and their recipients.
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

// request adds a job, and returns its request.
func (s *harness) request(job Job) LeaseRequest {
	s.t.Helper()
	s.step(job)
	requests, _ := peerMessages[LeaseRequest](s.take())
	if len(requests) != 1 {
		s.t.Fatalf("%d requests for a job", len(requests))
	}
	return requests[0]
}

// If no coordinator answers, a job is sent without a lease after leaseWaitLimit, and its slots are reported.
func TestJobGoesWithoutAnswer(t *testing.T) {
	t.Parallel()
	s, _ := leaseHarness(t, 2)
	s.request(s.job(1, 0, 100*ms))
	s.wait(leaseWaitLimit - ms)
	if sent := sends(s.take()); len(sent) > 0 {
		t.Fatalf("sent %v before its coordinators had their time", sent)
	}
	s.wait(leaseAnswerTimeout + ms)
	sent := sends(s.take())
	expectJobs(t, sent, 1)
	s.step(Started{Job: 1, Worker: sent[0].Worker})
	s.wait(2 * time.Second)
	reports, _ := peerMessages[LeaseReport](s.take())
	if len(reports) == 0 || len(reports[0].Leases) != 1 || !reports[0].Complete {
		t.Fatalf("reported %v", reports)
	}
}

// A grant is used once. A grant by a second coordinator, or for a job that is finished, is released.
func TestGrantIsUsedOnce(t *testing.T) {
	t.Parallel()
	s, coordinators := leaseHarness(t, 3)
	request := s.request(s.job(1, 0, 100*ms))
	s.wait(2*leaseAnswerTimeout + ms) // the next coordinator gets the request
	s.take()
	grant := func(peer int, worker uint64) []Action {
		s.step(PeerMessageReceived{From: coordinators[peer], Message: LeaseGranted{ID: request.ID, Worker: worker}})
		return s.take()
	}
	if sent := sends(grant(0, 2)); len(sent) != 1 || sent[0].Worker != 2 {
		t.Fatalf("sent %v", sent)
	}
	for range 2 {
		actions := grant(1, 3)
		released, peers := peerMessages[LeaseReleased](actions)
		if len(sends(actions)) > 0 || len(released) != 1 || released[0].Result != NotSent || peers[0] != coordinators[1] {
			t.Fatalf("a second grant was answered by %v", actions)
		}
	}
	if released, _ := peerMessages[LeaseReleased](grant(0, 2)); len(released) > 0 {
		t.Fatal("a repeated grant was released, though it is in use")
	}
	s.step(Outcome{Job: 1, Worker: 2, Closed: true})
	if released, _ := peerMessages[LeaseReleased](s.take()); len(released) != 1 || released[0].Result != OK {
		t.Fatalf("the end of the attempt was reported as %v", released)
	}
	if released, _ := peerMessages[LeaseReleased](grant(0, 2)); len(released) != 1 {
		t.Fatal("a grant for a finished job was not released")
	}
}

// An unlisted worker is sent nothing, whatever a coordinator grants.
func TestGrantOfUnusableWorker(t *testing.T) {
	t.Parallel()
	s, coordinators := leaseHarness(t, 2)
	for try, request := 0, s.request(s.job(1, 0, 100*ms)); try < maxUnusableGrants; try++ {
		s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseGranted{ID: request.ID, Worker: 99}})
		actions := s.take()
		if released, _ := peerMessages[LeaseReleased](actions); len(released) != 1 {
			t.Fatalf("answered by %v", actions)
		}
		requests, _ := peerMessages[LeaseRequest](actions)
		if try == maxUnusableGrants-1 {
			expectJobs(t, sends(actions), 1) // without a lease
			return
		}
		if len(requests) != 1 || !slices.Contains(requests[0].Excluded, 99) {
			t.Fatalf("requested again by %v", requests)
		}
		request = requests[0]
	}
}

// The request of a hedge is withdrawn when the response of the first attempt begins.
func TestStreamingJobAsksNoMore(t *testing.T) {
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
				t.Fatalf("of the request to %v only %v is withdrawn", peers, released)
			}
			return
		}
	}
	t.Fatal("no hedge requested slots: the test covers nothing")
}

// Attempts at a worker whose process has ended take no slots any more.
func TestUncordonReleasesLeases(t *testing.T) {
	t.Parallel()
	s, coordinators := leaseHarness(t, 3)
	request := s.request(s.job(1, 1, 100*ms))
	s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseGranted{ID: request.ID, Worker: 1}})
	s.step(Started{Job: 1, Worker: 1}, Cordoned{Worker: 1})
	s.take()
	s.step(Uncordoned{Worker: 1})
	if released, _ := peerMessages[LeaseReleased](s.take()); len(released) != 1 || released[0].ID != request.ID {
		t.Fatalf("released %v", released)
	}
	s.step(Outcome{Job: 1, Worker: 1, Result: ConnectionReset, Closed: true})
	if released, _ := peerMessages[LeaseReleased](s.take()); len(released) > 0 {
		t.Fatalf("released again: %v", released)
	}
}

// A job for which no coordinator is left is sent without a lease, and is not delayed by jobs that wait for theirs.
func TestJobWithoutCoordinatorIsNotHeldUp(t *testing.T) {
	t.Parallel()
	s, coordinators := leaseHarness(t, 3)
	first := s.request(s.job(1, 0, 100*ms))
	s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseQueued{ID: first.ID}})
	for _, peer := range coordinators {
		s.d.leases.directory.distrust(peer, s.now)
	}
	s.take()
	s.step(s.job(2, 0, 200*ms))
	sent := sends(s.take())
	expectJobs(t, sent, 2)
	s.step(Started{Job: 2, Worker: sent[0].Worker})
	s.wait(queuedRequestInterval + ms) // and the first finds no coordinator
	expectJobs(t, sends(s.take()), 1)
}

// A job whose workers are all excluded does not wait for one that does not exist.
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
	t.Fatal("the retry waits for a lease forever")
}

// A restored dispatcher requests slots for its queued jobs again, and reports the slots of its attempts.
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
	s.now += 200 * ms // no message was received meanwhile
	s.step(TimerFired{})
	requests, _ := peerMessages[LeaseRequest](s.actions)
	if len(requests) != 1 || len(sends(s.actions)) > 0 {
		t.Fatalf("after the restart: %v", s.actions)
	}
	s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseQueued{ID: requests[0].ID}})
	s.wait(maintenanceInterval)
	actions := s.take()
	reports, _ := peerMessages[LeaseReport](actions)
	if len(reports) != 1 || len(reports[0].Leases) != 1 || reports[0].Leases[0].Worker != 1 || !reports[0].Leases[0].Started {
		t.Fatalf("reported %v", reports)
	}
	if len(restored.leases.coordinator.leases)+len(restored.leases.coordinator.slots) > 0 {
		t.Fatal("it has kept what it granted before")
	}
	s.step(PeerMessageReceived{From: coordinators[0], Message: LeaseGranted{ID: requests[0].ID, Worker: 2}})
	expectJobs(t, sends(s.take()), 2)
}
