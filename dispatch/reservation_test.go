package dispatch

import (
	"testing"
	"time"
)

// A reserved worker is sent the job that it is reserved for as soon as that fits. This holds even if the job's priority has been
// lowered meanwhile, so that another job of the same demand class is ahead of it in the queue.
func TestReservedWorkerGetsItsJob(t *testing.T) {
	s := newHarness(t, testSettings())
	s.workers(1)
	s.step(s.job(1, 1, 5*time.Second))
	s.step(Started{Job: 1, Worker: 1})
	large := s.job(2, 0, 200*ms)
	large.Slots = 4
	s.step(large)
	s.wait(3 * time.Second) // past the promotion of job 2, and its objective
	if held := s.d.reservation; held.worker == nil || held.job.ID != 2 || !held.job.isDeprioritized() {
		t.Fatalf("reserved %v for %v, actions %v; expected a reservation for job 2 with lowered priority", held.worker, held.job, s.take())
	}
	urgent := s.job(3, 0, 200*ms)
	urgent.Slots = 4
	s.step(urgent)
	s.take()
	s.step(s.done(1, 0, 1, OK))
	if sent := taken[Send](s); len(sent) != 1 || sent[0].Job != 2 {
		t.Errorf("sent %v, expected job 2", sent)
	}
}
