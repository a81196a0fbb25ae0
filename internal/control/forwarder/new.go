package forwarder

import (
	"math/rand/v2"

	"valvecove/dispatch"
	"valvecove/internal/control/message"
	"valvecove/internal/control/validator"
)

// New returns a forwarder without planners, workers or requests. It calls newPolicy for a new policy, without workers or
// requests, whenever the local policy is started.
func New(settings dispatch.Settings, config Config, selector PlannerSelector, newPolicy func() Policy) *Forwarder {
	config = config.withDefaults()
	f := &Forwarder{
		validator: validator.New(settings),
		planners:  plannerSet{selector: selector},
		requests:  openRequests{classes: settings.Classes, byID: map[uint64]*openRequest{}},
		local:     localPolicy{newPolicy: newPolicy},
		snapshot:  modelSnapshot{maxBytes: config.MaxSnapshotBytes},
	}
	f.initRequests(settings, config)
	f.initWorkers(settings, config)
	f.initLocalPolicy(config)
	f.initSessions(config)
	f.initCommands()
	return f
}

// initRequests initializes the parts that assign requests and respond to them.
func (f *Forwarder) initRequests(settings dispatch.Settings, config Config) {
	f.checks = checkSchedule{step: &f.step, attempts: f.validator, commandTimeout: config.CommandTimeout}
	f.assignments = assignments{
		step:          &f.step,
		stats:         &f.stats,
		validator:     f.validator,
		queues:        &f.queues,
		checks:        &f.checks,
		local:         &f.local,
		reofferTokens: maxReofferTokens,
	}
	f.placer = placer{
		step:        &f.step,
		maxWaiting:  config.MaxWaiting,
		planners:    &f.planners,
		queues:      &f.queues,
		assignments: &f.assignments,
	}
	f.responder = responder{
		step:          &f.step,
		stats:         &f.stats,
		validator:     f.validator,
		requests:      &f.requests,
		checks:        &f.checks,
		assignments:   &f.assignments,
		local:         &f.local,
		maxRetryAfter: settings.MaxRetryAfter,
	}
	f.timeouts = requestTimeouts{
		step:           &f.step,
		stats:          &f.stats,
		timer:          &f.timer,
		checks:         &f.checks,
		placer:         &f.placer,
		assignments:    &f.assignments,
		responder:      &f.responder,
		mode:           &f.mode,
		commandTimeout: config.CommandTimeout,
		retryDelay:     config.SuspicionTimeout,
	}
}

// initWorkers initializes the parts that track workers and their health checks.
func (f *Forwarder) initWorkers(settings dispatch.Settings, config Config) {
	f.workers = workers{
		step:         &f.step,
		validator:    f.validator,
		planners:     &f.planners,
		local:        &f.local,
		endpoints:    endpointList{workers: map[uint64]dispatch.Worker{}},
		subscription: newSubscription(settings),
		rng:          rand.New(rand.NewPCG(config.Seed, 0)),
	}
	f.healthChecks = healthChecker{
		step:     &f.step,
		planners: &f.planners,
		local:    &f.local,
		pending:  pendingHealthChecks{requesters: map[uint64][]message.Epoch{}},
	}
}

// initLocalPolicy initializes the parts of standalone mode.
func (f *Forwarder) initLocalPolicy(config Config) {
	f.mode = modeController{
		step:            &f.step,
		stats:           &f.stats,
		planners:        &f.planners,
		requests:        &f.requests,
		queues:          &f.queues,
		checks:          &f.checks,
		local:           &f.local,
		starter:         &f.localRunner,
		standaloneAfter: config.StandaloneAfter,
		settleTime:      config.SettleTime,
	}
	f.localCommands = localCommands{
		step:         &f.step,
		validator:    f.validator,
		requests:     &f.requests,
		responder:    &f.responder,
		healthChecks: &f.healthChecks,
		local:        &f.local,
	}
	f.localRunner = localRunner{
		step:        &f.step,
		stats:       &f.stats,
		attempts:    f.validator,
		requests:    &f.requests,
		queues:      &f.queues,
		placer:      &f.placer,
		assignments: &f.assignments,
		responder:   &f.responder,
		workers:     &f.workers,
		local:       &f.local,
		commands:    &f.localCommands,
		snapshot:    &f.snapshot,
		mode:        &f.mode,
	}
}

// initSessions initializes the parts that manage the sessions with planners.
func (f *Forwarder) initSessions(config Config) {
	f.heartbeats = heartbeats{
		step:                &f.step,
		planners:            &f.planners,
		interval:            config.HeartbeatInterval,
		suspicionTimeout:    config.SuspicionTimeout,
		unresponsiveTimeout: config.UnresponsiveTimeout,
	}
	f.rejections = rejectionLog{step: &f.step, planners: &f.planners}
	f.sessions = sessionLifecycle{
		step:        &f.step,
		stats:       &f.stats,
		validator:   f.validator,
		planners:    &f.planners,
		checks:      &f.checks,
		assignments: &f.assignments,
		responder:   &f.responder,
		heartbeats:  &f.heartbeats,
		workers:     &f.workers,
		handshake:   message.Handshake{Name: config.Name, Incarnation: config.Incarnation, Version: config.Version},
		lastEpoch:   max(message.Epoch(config.Incarnation), config.LastEpoch),
	}
}

// initCommands initializes the parts that execute commands and report their results.
func (f *Forwarder) initCommands() {
	f.commands = commandExecutor{
		step:         &f.step,
		stats:        &f.stats,
		validator:    f.validator,
		requests:     &f.requests,
		checks:       &f.checks,
		assignments:  &f.assignments,
		responder:    &f.responder,
		healthChecks: &f.healthChecks,
	}
	f.attempts = attemptReporter{
		step:      &f.step,
		validator: f.validator,
		requests:  &f.requests,
		queues:    &f.queues,
		checks:    &f.checks,
		responder: &f.responder,
		local:     &f.local,
		mode:      &f.mode,
	}
}
