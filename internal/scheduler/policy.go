package scheduler

import (
	"fmt"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/aperture"
	"valvecove/internal/capture"
	"valvecove/internal/config"
	"valvecove/internal/logging"
	"valvecove/internal/requests"
)

// openRequestTable creates the request table and its dispatch policy.
func (s *Scheduler) openRequestTable(conf config.Config, ops config.Ops, log *logging.Factory) (err error) {
	decisionLog := log.NewLogger()
	if ops.Capture != nil {
		if s.Capture, err = capture.New(*ops.Capture, conf, s.Now, decisionLog); err != nil {
			return fmt.Errorf("key \"capture.dir\": %w", err)
		}
	}
	hasAperture := ops.Aperture != nil && ops.Aperture.Enabled(conf.Settings.Replicas) && !conf.Settings.UsesLeases()
	if !hasAperture { // the state of an aperture is not transferred in a hot restart
		s.wrapRestored = s.wrapRestoredDispatcher
	}
	known := conf.KnownEndpoints
	known.Receipt.At = s.Now()
	newPolicy := s.policyFactory(conf, ops, hasAperture)
	s.Requests = requests.New(conf.Settings.AttemptLimit, conf.Settings.Names, newPolicy, known, workerTransport{s.workers, s}, decisionLog)
	s.Requests.RememberExecuted(requests.ExecutedWindows(conf.Settings.Classes))
	s.Requests.SetExecutedLimit(s.budget.Shares().ExecutedIDs)
	s.workers.SetTable(s.Requests)
	if s.Capture != nil {
		s.Capture.LookupEndpoint = s.Requests.Endpoint
		s.Requests.AddObserver(s.Capture)
	}
	return nil
}

// policyFactory returns the function that creates the policy, and a new one after the policy has failed.
func (s *Scheduler) policyFactory(conf config.Config, ops config.Ops, hasAperture bool) func() requests.Policy {
	seed := conf.Seed
	return func() requests.Policy {
		seed++
		if s.peers != nil { // the failed policy held leases; the new one numbers its own from 1 again
			s.peers.Restart()
		}
		s.dispatcher = dispatch.New(conf.Settings.Settings, seed)
		policy := requests.Policy(s.dispatcher)
		if s.Capture != nil {
			policy = s.Capture.Wrap(s.dispatcher)
		}
		if hasAperture { // wraps the capture, which must record the dispatcher's input as the aperture has changed it
			policy = aperture.New(policy, conf.Settings.Settings, *ops.Aperture)
		}
		return policy
	}
}

func (s *Scheduler) wrapRestoredDispatcher(dispatcher *dispatch.Dispatcher) requests.Policy {
	if s.Capture != nil {
		return s.Capture.Continue(dispatcher)
	}
	return dispatcher
}

// restorePolicy returns the policy that continues from a predecessor's snapshot, or nil if this build can't restore it.
// clockAhead is how far this process's clock is ahead of the predecessor's, which the instants in the snapshot refer to.
func (s *Scheduler) restorePolicy(snapshot []byte, clockAhead time.Duration) requests.Policy {
	if s.wrapRestored == nil {
		return nil
	}
	dispatcher, err := dispatch.RestoreOnClock(*s.settings, snapshot, clockAhead)
	if err != nil {
		s.log.Warn("predecessor snapshot rejected", "snapshot_bytes", len(snapshot), "error", err)
		return nil
	}
	s.dispatcher = dispatcher
	return s.wrapRestored(dispatcher)
}

// leaseCounts returns the counts of leases of the dispatcher in use.
func (s *Scheduler) leaseCounts() dispatch.LeaseCounts {
	if s.dispatcher == nil {
		return dispatch.LeaseCounts{}
	}
	return s.dispatcher.LeaseCounts()
}

// avoidedCount returns the number of listed workers that the dispatcher avoids.
func (s *Scheduler) avoidedCount() int {
	if s.dispatcher == nil {
		return 0
	}
	return s.dispatcher.AvoidedWorkers()
}
