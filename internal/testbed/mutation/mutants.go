package mutation

import (
	"net/http"
	"slices"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simapi"
)

const (
	millisecond = time.Millisecond
	second      = time.Second
)

// All are the mutants, in the order of the rules that they break. Each call makes them anew.
func All() []Mutant {
	return slices.Concat(
		responseMutants(),
		terminationMutants(),
		payoutMutants(),
		keyMutants(),
		rejectionMutants(),
		drainMutants(),
		warmUpMutants(),
		duplicateMutants(),
		attemptMutants(),
		resultMutants(),
		promptnessMutants(),
		requestIDMutants(),
		crashMutants(),
	)
}

// responseMutants are the mutants that break one-answer.
func responseMutants() []Mutant {
	return []Mutant{
		{
			Name: "answers-twice", Rule: "one-answer",
			Description: "writes some answers twice",
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				if o.Kind == simapi.ResponseWritten && b.every(10) {
					b.outputs = append(b.outputs, *o)
				}
				return true
			}),
		},
		{
			Name: "answers-none", Rule: "one-answer",
			Description: "forgets to write some answers",
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				return o.Kind != simapi.ResponseWritten || !b.every(10)
			}),
		},
		{
			Name: "answers-late", Rule: "one-answer",
			Description: "writes some answers 100 ms after the request's time is up",
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				q := b.requests[o.RequestID]
				if o.Kind != simapi.ResponseWritten || q == nil || !b.every(10) {
					return true
				}
				late := *o
				b.schedule(q.receivedAt+q.Budget+100*millisecond, func() { b.outputs = append(b.outputs, late) })
				return false
			}),
		},
		{
			Name: "cuts-unanswered", Rule: "one-answer",
			Description: "closes some connections in place of an answer",
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				if o.Kind != simapi.ResponseWritten || !b.every(10) {
					return true
				}
				b.outputs = append(b.outputs, simapi.Output{Kind: simapi.ClientConnClosed, Scheduler: o.Scheduler, Conn: o.Conn})
				b.feedInput(simapi.Input{Kind: simapi.ClientClosed, Conn: o.Conn})
				return false
			}),
		},
		{
			Name: "sends-when-over", Rule: "one-answer",
			Description: "sends some requests on 600 ms after their final answer",
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				if q := b.requests[o.RequestID]; o.Kind == simapi.ResponseWritten && q != nil && b.every(10) {
					b.schedule(b.now+600*millisecond, func() { b.sendAttempt(q, b.otherWorker(b.count, 0)) })
				}
				return true
			}),
		},
	}
}

// terminationMutants are the mutants that break one-answer after SIGTERM.
func terminationMutants() []Mutant {
	return []Mutant{
		{
			Name: "quits-on-term", Rule: "one-answer",
			Description: "exits on SIGTERM with requests in flight",
			Adjust:      withFaults(scenario.Fault{Kind: "sched_term", At: scenario.Duration(3 * second), Duration: scenario.Duration(500 * millisecond)}),
			Wrap: wrap(func(b *faultInjector, in *simapi.Input) bool {
				if in.Kind == simapi.Terminate {
					b.outputs = append(b.outputs, simapi.Output{Kind: simapi.Exited, Scheduler: b.scheduler})
					b.feedInput(simapi.Input{Kind: simapi.Kill})
					b.reset()
					return false
				}
				return true
			}, nil),
		},
		{
			Name: "deaf-after-term", Rule: "one-answer",
			Description: "takes requests after SIGTERM that it never answers",
			Adjust:      withFaults(scenario.Fault{Kind: "sched_term", At: scenario.Duration(3 * second), Duration: scenario.Duration(500 * millisecond)}),
			Wrap: wrap(func(b *faultInjector, in *simapi.Input) bool {
				if in.Kind == simapi.Start || in.Kind == simapi.Terminate {
					b.notified = in.Kind == simapi.Terminate
				}
				return in.Kind != simapi.RequestReceived || !b.notified
			}, nil),
		},
	}
}

// payoutMutants are the mutants that break payout-once.
func payoutMutants() []Mutant {
	return []Mutant{
		{
			Name: "payout-after-reset", Rule: "payout-once",
			Description: "takes a connection that broke under a payout for one that never came up",
			Adjust: func(s *scenario.Scenario) {
				withLongTimeouts(s, "unsafe")
				withFaults(scenario.Fault{
					Kind: "crash", At: scenario.Duration(2 * second), Duration: scenario.Duration(second),
					Target: scenario.Target{Share: 0.6},
				}, scenario.Fault{
					Kind: "crash", At: scenario.Duration(4 * second),
					Target: scenario.Target{Share: 0.5},
				})(s)
			},
			Policy: alterPolicy(reportAs(dispatch.ConnectionReset), nil),
		},
		{
			Name: "payout-after-timeout", Rule: "payout-once",
			Description: "gives a payout up after 800 ms and takes it for never begun",
			Adjust:      withFaults(scenario.Fault{Kind: "hang", At: scenario.Duration(2 * second), Target: scenario.Target{Share: 0.3}}),
			Policy:      alterPolicy(reportAs(dispatch.TimedOut), shortenTimeout(800*millisecond)),
		},
		{
			Name: "payout-copied", Rule: "payout-once",
			Description: "sends some payouts to a second worker while the first has them",
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				if q := b.requests[o.RequestID]; o.Kind == simapi.AttemptWritten && q != nil && b.idempotencyOf(q) == "unsafe" && b.every(10) {
					b.sendAttempt(q, b.otherWorker(o.Worker, 1))
				}
				return true
			}),
		},
		{
			Name: "payout-for-safe", Rule: "payout-once",
			Description: "takes payouts for safe to repeat",
			Adjust: func(s *scenario.Scenario) {
				withLongTimeouts(s, "unsafe")
				withFaults(scenario.Fault{Kind: "hang", At: scenario.Duration(2 * second), Target: scenario.Target{Share: 0.3}},
					scenario.Fault{Kind: "crash", At: scenario.Duration(4 * second), Target: scenario.Target{Share: 0.5}})(s)
			},
			Policy: changeSettings(func(set *dispatch.Settings) {
				for i := range set.Classes {
					set.Classes[i].Idempotency = dispatch.Idempotent
				}
			}),
		},
	}
}

// keyMutants are the mutants that break key-scope.
func keyMutants() []Mutant {
	return []Mutant{
		{
			Name: "key-outside-cell", Rule: "key-scope",
			Description: "takes all workers for one cell",
			Adjust: func(s *scenario.Scenario) {
				withLongTimeouts(s, "keyed")
				withFaults(scenario.Fault{Kind: "hang", At: scenario.Duration(2 * second), Target: scenario.Target{Share: 0.3}})(s)
			},
			Policy: changeSettings(changeKeyedClasses(func(c *dispatch.Class) { c.DeduplicationScope = dispatch.ScopeAll })),
		},
		{
			Name: "key-after-window", Rule: "key-scope",
			Description: "never minds how long a key is remembered",
			Adjust: func(s *scenario.Scenario) {
				withFaults(scenario.Fault{Kind: "hang", At: scenario.Duration(2 * second), Target: scenario.Target{Share: 0.4}})(s)
				withLongTimeouts(s, "keyed")
				for i := range s.Classes {
					if c := &s.Classes[i]; c.Idempotency == "keyed" {
						c.DeduplicationScope, c.DeduplicationWindow = "all", scenario.Duration(100*millisecond)
					}
				}
			},
			Policy: changeSettings(changeKeyedClasses(func(c *dispatch.Class) { c.DeduplicationWindow = time.Hour })),
		},
		{
			Name: "key-changed", Rule: "key-scope",
			Description: "sends some keyed requests under a key of its own",
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				if o.Kind == simapi.AttemptWritten && o.IdempotencyKey != "" && b.every(10) {
					o.IdempotencyKey = "0" + o.IdempotencyKey
				}
				return true
			}),
		},
	}
}

// rejectionMutants are the mutants that break refusal-harmless.
func rejectionMutants() []Mutant {
	return []Mutant{
		{
			Name: "refuses-run-payout", Rule: "refusal-harmless",
			Description: "rejects payouts that have been in flight for 150 ms",
			Wrap:        wrap(nil, rejectAfter("unsafe", 150*millisecond)),
		},
		{
			Name: "refuses-run-credit", Rule: "refusal-harmless",
			Description: "rejects keyed requests that have been in flight for 150 ms",
			Wrap:        wrap(nil, rejectAfter("keyed", 150*millisecond)),
		},
		{
			Name: "refuses-for-failure", Rule: "refusal-harmless",
			Description: "reports failures as rejections",
			Adjust:      withFaults(scenario.Fault{Kind: "errors", At: scenario.Duration(second), Size: 0.5}),
			Wrap: wrap(nil, func(_ *faultInjector, o *simapi.Output) bool {
				if o.Kind == simapi.ResponseWritten && o.Status == http.StatusInternalServerError {
					o.Status = http.StatusServiceUnavailable
				}
				return true
			}),
		},
	}
}

// drainMutants are the mutants that break drain.
func drainMutants() []Mutant {
	return []Mutant{
		{
			Name: "drain-late", Rule: "drain",
			Description: "acts on updates of the endpoint list 1.2 s late",
			Adjust:      withFaults(scenario.Fault{Kind: "drain", At: scenario.Duration(2 * second), Target: scenario.Target{Share: 0.5}}),
			Wrap: wrap(func(b *faultInjector, in *simapi.Input) bool {
				if in.Kind != simapi.ListReceived {
					return true
				}
				late := *in
				b.schedule(b.now+1200*millisecond, func() { b.inputs = append(b.inputs, late) })
				return false
			}, nil),
		},
		{
			Name: "sends-to-removed", Rule: "drain",
			Description: "never learns that a worker has left the list",
			Adjust: func(s *scenario.Scenario) {
				withFaults(scenario.Fault{Kind: "gone", At: scenario.Duration(2 * second), Target: scenario.Target{Share: 0.8}})(s)
				s.Load.CapacityShare, s.Discovery.NoticeDelay, s.Length = 0.9, scenario.Duration(100*millisecond), scenario.Duration(10*second)
			},
			Policy: alterPolicy(dropOutcomes, nil),
		},
	}
}

// warmUpMutants are the mutants that break cold.
func warmUpMutants() []Mutant {
	return []Mutant{
		{
			Name: "cold-flooded", Rule: "cold",
			Description: "sends a copy of each safe request to whichever worker started last",
			Adjust: func(s *scenario.Scenario) {
				withFaults(scenario.Fault{
					Kind: "crash", At: scenario.Duration(second), Duration: scenario.Duration(second),
					Target: scenario.Target{Share: 0.1},
				})(s)
				s.Load.CapacityShare = 0.9
			},
			Wrap: wrap(func(b *faultInjector, in *simapi.Input) bool {
				switch {
				case in.Kind == simapi.ListReceived:
					for _, h := range in.List.Endpoints {
						if n, ok := scenario.NodeIndex(h.ID, b.spec.Fleet.Workers); ok && h.Lifecycle == "up" && h.StartedAtMs > 0 {
							b.count, b.notified = n, true
						}
					}
				case in.Kind == simapi.RequestReceived && b.notified:
					if q := b.requests[in.Request.RequestID]; b.idempotencyOf(q) == "safe" {
						b.sendAttempt(q, b.count)
					}
				}
				return true
			}, nil),
		},
	}
}

// duplicateMutants are the mutants that break one-attempt-per-node.
func duplicateMutants() []Mutant {
	return []Mutant{
		{
			Name: "two-on-one-node", Rule: "one-attempt-per-node",
			Description: "sends some safe requests to the same worker twice",
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				if q := b.requests[o.RequestID]; o.Kind == simapi.AttemptWritten && q != nil && b.idempotencyOf(q) == "safe" && b.every(2) {
					b.sendAttempt(q, o.Worker)
				}
				return true
			}),
		},
	}
}

// attemptMutants are the mutants that break attempts.
func attemptMutants() []Mutant {
	return []Mutant{
		{
			Name: "tries-on", Rule: "attempts",
			Description: "sends some safe requests more often than is allowed",
			Adjust:      func(s *scenario.Scenario) { s.Schedulers.AttemptLimit = 3 },
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				if q := b.requests[o.RequestID]; o.Kind == simapi.AttemptWritten && q != nil && b.idempotencyOf(q) == "safe" && b.every(20) {
					for n := range 3 {
						b.sendAttempt(q, b.otherWorker(o.Worker, n+1))
					}
				}
				return true
			}),
		},
		{
			Name: "copies-forbidden", Rule: "attempts",
			Description: "sends hedged requests where there may be none",
			Adjust:      func(s *scenario.Scenario) { s.Schedulers.Hedging = false },
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				if q := b.requests[o.RequestID]; o.Kind == simapi.AttemptWritten && q != nil && b.idempotencyOf(q) == "safe" && b.every(4) {
					b.sendAttempt(q, b.otherWorker(o.Worker, 1))
				}
				return true
			}),
		},
	}
}

// resultMutants are the mutants that break made-by-node.
func resultMutants() []Mutant {
	return []Mutant{
		{
			Name: "makes-results", Rule: "made-by-node",
			Description: "serves some requests with a result of its own",
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				if o.Kind == simapi.ResponseWritten && o.Status == http.StatusOK && b.every(10) {
					o.Result = "paid"
				}
				return true
			}),
		},
		{
			Name: "mixes-results", Rule: "made-by-node",
			Description: "serves some requests with the result of the one before",
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				if o.Kind == simapi.ResponseWritten && o.Status == http.StatusOK {
					was := b.lastRequest
					if b.lastRequest = o.Result; was != "" && b.every(10) {
						o.Result = was
					}
				}
				return true
			}),
		},
	}
}

// promptnessMutants are the mutants that break prompt-refusal.
func promptnessMutants() []Mutant {
	return []Mutant{
		{
			Name: "holds-refusals", Rule: "prompt-refusal",
			Description: "holds rejections back until nine tenths of a request's time are over",
			Adjust:      func(s *scenario.Scenario) { s.Load.CapacityShare, s.Load.Hints = 1.6, "exact" },
			Wrap:        wrap(nil, delayResponses(http.StatusServiceUnavailable)),
		},
		{
			Name: "holds-failures", Rule: "prompt-refusal",
			Description: "holds failures back until nine tenths of a request's time are over",
			Adjust:      withFaults(scenario.Fault{Kind: "errors", At: scenario.Duration(second), Size: 0.5}),
			Wrap:        wrap(nil, delayResponses(http.StatusInternalServerError)),
		},
	}
}

// requestIDMutants are the mutants that break id-unknown.
func requestIDMutants() []Mutant {
	return []Mutant{
		{
			Name: "changes-ids", Rule: "id-unknown",
			Description: "sends some requests on under an id of its own",
			Wrap: wrap(nil, func(b *faultInjector, o *simapi.Output) bool {
				if o.Kind == simapi.AttemptWritten && b.every(20) {
					o.RequestID = "f" + o.RequestID[1:] + "0"
				}
				return true
			}),
		},
	}
}

// crashMutants are the mutants that break crash.
func crashMutants() []Mutant {
	return []Mutant{
		{
			Name: "crashes", Rule: "crash",
			Description: "ends by itself in the midst of things",
			Wrap: wrap(func(b *faultInjector, in *simapi.Input) bool {
				if in.Kind == simapi.Start && !b.notified {
					b.notified = true
					b.schedule(3*second, func() {
						b.outputs = append(b.outputs, simapi.Output{Kind: simapi.Exited, Scheduler: b.scheduler, Status: 2})
						b.feedInput(simapi.Input{Kind: simapi.Kill})
						b.reset()
					})
				}
				return true
			}, nil),
		},
	}
}

// withFaults puts faults into a scenario's timeline.
func withFaults(list ...scenario.Fault) func(s *scenario.Scenario) {
	return func(s *scenario.Scenario) { s.Faults = append(s.Faults, list...) }
}

// withLongTimeouts makes most jobs ones of an effect that are in time for long.
func withLongTimeouts(s *scenario.Scenario, effect string) {
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Share = 0.1; c.Idempotency == effect {
			c.Share, c.LatencyObjective = 1-0.1*float64(len(s.Classes)-1), scenario.Duration(3*second)
		}
	}
}

// rejectAfter refuses requests of classes with an effect that were sent so long ago.
func rejectAfter(effect string, after time.Duration) func(b *faultInjector, o *simapi.Output) bool {
	return func(b *faultInjector, output *simapi.Output) bool {
		trackedRequest := b.requests[output.RequestID]
		if trackedRequest == nil || b.idempotencyOf(trackedRequest) != effect {
			return true
		}
		if output.Kind == simapi.AttemptWritten && trackedRequest.attempts == 1 {
			b.schedule(b.now+after, func() {
				if !trackedRequest.answered {
					b.respond(trackedRequest, http.StatusServiceUnavailable)
				}
			})
		}
		return output.Kind != simapi.ResponseWritten || !trackedRequest.answered
	}
}

// delayResponses holds answers of a status back until nine tenths of a request's time are over.
func delayResponses(status int) func(b *faultInjector, o *simapi.Output) bool {
	return func(b *faultInjector, o *simapi.Output) bool {
		q := b.requests[o.RequestID]
		if o.Kind != simapi.ResponseWritten || o.Status != status || q == nil {
			return true
		}
		held := *o
		b.schedule(q.receivedAt+q.Budget*9/10, func() { b.outputs = append(b.outputs, held) })
		return false
	}
}
