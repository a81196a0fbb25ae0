package planner

import (
	"flag"
	"os"
	"testing"
	"time"

	"valvecove/dispatch"
)

const (
	ms           = time.Millisecond
	ownName      = "plan-a"
	ownVersion   = 0x100
	poisonTenant = 9 // jobs of this tenant make test policies panic
)

// TestMain fixes the seed and the number of random runs, unless flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "0", "1")
	setDefault("rapid.checks", "100", "150")
	os.Exit(m.Run())
}

// setDefault sets a flag that still has its original default.
func setDefault(name, original, value string) {
	if flag.Lookup(name).Value.String() != original {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

func newTestPlanner(config Config) *Planner {
	config.Name, config.Incarnation, config.Version = ownName, 7, ownVersion
	if config.Settings.Classes == nil {
		config.Settings = testSettings()
	}
	if config.NewPolicy == nil {
		config.NewPolicy = func() Policy { return newContractPolicy(config.Settings) }
	}
	return New(config)
}

// testSettings returns settings with these classes: 0 idempotent; 1 non-idempotent; 2 idempotent with a key within a cell;
// 3 idempotent, for workers of kind 1; 4 idempotent with a key within a zone.
func testSettings() dispatch.Settings {
	class := func(idempotency dispatch.Idempotency) dispatch.Class {
		return dispatch.Class{
			LatencyObjective: 400 * ms, ObjectiveStretch: 2, ClientTimeout: 3 * time.Second, PriorityWeight: 1,
			Idempotency: idempotency,
		}
	}
	idempotent, nonIdempotent := class(dispatch.Idempotent), class(dispatch.NonIdempotent)
	idempotent.LateValue, nonIdempotent.LateValue = 0.3, 0.3
	ofKind1 := class(dispatch.Idempotent)
	ofKind1.Kinds = []int{1}
	byCell, byZone := class(dispatch.IdempotentWithKey), class(dispatch.IdempotentWithKey)
	byCell.DeduplicationScope, byCell.DeduplicationWindow = dispatch.ScopeCell, 2*time.Second
	byZone.DeduplicationScope, byZone.DeduplicationWindow = dispatch.ScopeZone, 2*time.Second
	return dispatch.Settings{
		Replicas: 1, AttemptLimit: 4, Hedging: true, Cancellation: true, StartNotifications: true, HealthChecks: true,
		HealthCheckCost: 0.01, ConnectTimeout: 40 * ms, PollInterval: 10 * time.Second, WarmUp: 10 * time.Second,
		WarmUpCapacity: 0.2, OverloadFactor: 1.5, OverloadWindow: time.Second, MaxRetryAfter: time.Second,
		TenantQuota: []float64{0, 5},
		Classes:     []dispatch.Class{idempotent, nonIdempotent, byCell, ofKind1, byZone},
	}
}

// ownerByCell assigns cell n to the planner with index n modulo the number of planners.
func ownerByCell(names ...string) func(w *dispatch.Worker) string {
	return func(w *dispatch.Worker) string { return names[w.Cell%len(names)] }
}
