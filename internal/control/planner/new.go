package planner

import "valvecove/internal/control/message"

// New returns a planner without forwarders, workers or peers.
func New(config Config) *Planner {
	config = config.withDefaults()
	planner := &Planner{
		config:     config,
		requests:   newRequestTable(config.MaxOpenRequests),
		workers:    workerTable{byID: map[uint64]*worker{}, partition: partition{local: config.Name}},
		locations:  newLocationIndex(config.Name, config.Settings.Classes),
		forwarders: forwarderTable{sessions: map[SessionID]*session{}, byName: map[string]*forwarder{}},
		peers:      peerTable{epoch: message.Epoch(config.Incarnation)},
	}
	planner.initPolicy()
	planner.initForwarders()
	planner.initRequests()
	planner.initWorkers()
	planner.initPeers()
	return planner
}

// initPolicy initializes the parts that run the policy, stop the planner and write its summary.
func (p *Planner) initPolicy() {
	p.policy = policyRunner{policy: p.config.NewPolicy(), phase: &p.lifecycle}
	p.lifecycle = lifecycle{
		step:        &p.step,
		stopTimeout: p.config.StopTimeout,
		forwarders:  &p.forwarders,
		requests:    &p.requests,
		closer:      &p.requestLifecycle,
		policy:      &p.policy,
	}
	p.recovery = recovery{
		newPolicy:        p.config.NewPolicy,
		loads:            &p.loads,
		stats:            &p.stats,
		step:             &p.step,
		commands:         &p.commands,
		forwarders:       &p.forwarders,
		healthChecks:     &p.healthChecks,
		requestLifecycle: &p.requestLifecycle,
		policy:           &p.policy,
		policySync:       &p.policySync,
		requests:         &p.requests,
		sessions:         &p.sessions,
	}
	p.summary = summaryLog{
		step:  &p.step,
		stats: &p.stats,
	}
}

// initForwarders initializes the parts that exchange messages with forwarders, except messages about requests.
func (p *Planner) initForwarders() {
	p.heartbeats = heartbeats{step: &p.step, timer: &p.timer, forwarders: &p.forwarders}
	p.sessions = sessionLifecycle{
		config:       &p.config,
		stats:        &p.stats,
		step:         &p.step,
		credits:      &p.credits,
		forwarders:   &p.forwarders,
		healthChecks: &p.healthChecks,
		requests:     &p.requestLifecycle,
		phase:        &p.lifecycle,
		policy:       &p.policy,
		snapshots:    &p.snapshots,
		statuses:     &p.statuses,
	}
	p.credits = creditAllocator{
		config:     &p.config,
		step:       &p.step,
		forwarders: &p.forwarders,
	}
	p.snapshots = snapshotSender{
		config:     &p.config,
		step:       &p.step,
		forwarders: &p.forwarders,
		policy:     &p.policy,
	}
	p.healthChecks = healthChecker{
		step:       &p.step,
		forwarders: &p.forwarders,
		policy:     &p.policy,
		pending:    map[uint64]healthCheck{},
	}
}

// initRequests initializes the parts that process requests and their attempts.
func (p *Planner) initRequests() {
	p.requestLifecycle = requestLifecycle{
		maxRequests: tableSizeFactor * p.config.MaxOpenRequests,
		stats:       &p.stats,
		step:        &p.step,
		policy:      &p.policy,
		policySync:  &p.policySync,
		requests:    &p.requests,
	}
	p.offers = offerHandler{
		classCount:       len(p.config.Settings.Classes),
		stats:            &p.stats,
		step:             &p.step,
		credits:          &p.credits,
		requestLifecycle: &p.requestLifecycle,
		peers:            &p.peers,
		phase:            &p.lifecycle,
		placer:           &p.placer,
		policy:           &p.policy,
		policySync:       &p.policySync,
		requests:         &p.requests,
		workers:          &p.workers,
	}
	p.reports = reportHandler{
		stats:            &p.stats,
		step:             &p.step,
		requestLifecycle: &p.requestLifecycle,
		policy:           &p.policy,
		requests:         &p.requests,
		summary:          &p.summary,
	}
	p.commands = commandExecutor{
		stats:            &p.stats,
		step:             &p.step,
		forwarders:       &p.forwarders,
		healthChecks:     &p.healthChecks,
		requestLifecycle: &p.requestLifecycle,
		policy:           &p.policy,
		requests:         &p.requests,
		workers:          &p.workers,
	}
	p.placer = placer{
		classes:   p.config.Settings.Classes,
		stats:     &p.stats,
		step:      &p.step,
		closer:    &p.requestLifecycle,
		locations: &p.locations,
		peers:     &p.peers,
		policy:    &p.policy,
		requests:  &p.requests,
		workers:   &p.workers,
	}
}

// initWorkers initializes the parts that track the workers.
func (p *Planner) initWorkers() {
	p.policySync = policySync{
		step:      &p.step,
		locations: &p.locations,
		policy:    &p.policy,
		workers:   &p.workers,
	}
	p.endpoints = endpointHandler{
		settings:   &p.config.Settings,
		step:       &p.step,
		locations:  &p.locations,
		policy:     &p.policy,
		policySync: &p.policySync,
		statuses:   &p.statuses,
		workers:    &p.workers,
	}
	p.statuses = statusHandler{
		stats:      &p.stats,
		step:       &p.step,
		forwarders: &p.forwarders,
		peers:      &p.peers,
		policySync: &p.policySync,
		workers:    &p.workers,
	}
}

// initPeers initializes the parts that exchange messages with other planners.
func (p *Planner) initPeers() {
	p.peerSessions = peerSessions{
		config:   &p.config,
		stats:    &p.stats,
		step:     &p.step,
		loads:    &p.loads,
		peers:    &p.peers,
		statuses: &p.statuses,
		workers:  &p.workers,
	}
	p.loads = loadReporter{
		interval:   p.config.LoadReportInterval,
		stats:      &p.stats,
		step:       &p.step,
		forwarders: &p.forwarders,
		peers:      &p.peers,
		policy:     &p.policy,
		requests:   &p.requests,
		timer:      &p.timer,
		workers:    &p.workers,
	}
}
