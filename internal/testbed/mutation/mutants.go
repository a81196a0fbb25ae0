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
			Wrap: wrap(hooks{response: func(b *faultInjector, response *simapi.ResponseWritten) bool {
				if b.every(10) {
					b.addOutput(*response)
				}
				return true
			}}),
		},
		{
			Name: "answers-none", Rule: "one-answer",
			Description: "forgets to write some answers",
			Wrap: wrap(hooks{response: func(b *faultInjector, _ *simapi.ResponseWritten) bool {
				return !b.every(10)
			}}),
		},
		{
			Name: "answers-late", Rule: "one-answer",
			Description: "writes some answers 100 ms after the request's time is up",
			Wrap: wrap(hooks{response: func(b *faultInjector, response *simapi.ResponseWritten) bool {
				q := b.requests[response.RequestID]
				if q == nil || !b.every(10) {
					return true
				}
				late := *response
				b.schedule(q.receivedAt+q.Budget+100*millisecond, func() { b.addOutput(late) })
				return false
			}}),
		},
		{
			Name: "cuts-unanswered", Rule: "one-answer",
			Description: "closes some connections in place of an answer",
			Wrap: wrap(hooks{response: func(b *faultInjector, response *simapi.ResponseWritten) bool {
				if !b.every(10) {
					return true
				}
				b.addOutput(simapi.ClientConnClosed{Conn: response.Conn})
				b.feedInput(simapi.ClientClosed{Conn: response.Conn})
				return false
			}}),
		},
		{
			Name: "sends-when-over", Rule: "one-answer",
			Description: "sends some requests on 600 ms after their final answer",
			Wrap: wrap(hooks{response: func(b *faultInjector, response *simapi.ResponseWritten) bool {
				if q := b.requests[response.RequestID]; q != nil && b.every(10) {
					b.schedule(b.now+600*millisecond, func() { b.sendAttempt(q, b.otherWorker(b.count, 0)) })
				}
				return true
			}}),
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
			Wrap: wrap(hooks{input: func(b *faultInjector, input simapi.InputMessage) bool {
				if _, ok := input.(simapi.Terminate); ok {
					b.addOutput(simapi.Exited{})
					b.feedInput(simapi.Kill{})
					b.reset()
					return false
				}
				return true
			}}),
		},
		{
			Name: "deaf-after-term", Rule: "one-answer",
			Description: "takes requests after SIGTERM that it never answers",
			Adjust:      withFaults(scenario.Fault{Kind: "sched_term", At: scenario.Duration(3 * second), Duration: scenario.Duration(500 * millisecond)}),
			Wrap: wrap(hooks{input: func(b *faultInjector, input simapi.InputMessage) bool {
				switch input.(type) {
				case simapi.Start:
					b.notified = false
				case simapi.Terminate:
					b.notified = true
				case simapi.RequestReceived:
					return !b.notified
				}
				return true
			}}),
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
			Wrap: wrap(hooks{attempt: func(b *faultInjector, attempt *simapi.AttemptWritten) bool {
				if q := b.requests[attempt.RequestID]; q != nil && b.idempotencyOf(q) == "unsafe" && b.every(10) {
					b.sendAttempt(q, b.otherWorker(attempt.Worker, 1))
				}
				return true
			}}),
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
			Wrap: wrap(hooks{attempt: func(b *faultInjector, attempt *simapi.AttemptWritten) bool {
				if attempt.IdempotencyKey != "" && b.every(10) {
					attempt.IdempotencyKey = "0" + attempt.IdempotencyKey
				}
				return true
			}}),
		},
	}
}

// rejectionMutants are the mutants that break refusal-harmless.
func rejectionMutants() []Mutant {
	return []Mutant{
		{
			Name: "refuses-run-payout", Rule: "refusal-harmless",
			Description: "rejects payouts that have been in flight for 150 ms",
			Wrap:        wrap(rejectAfter("unsafe", 150*millisecond)),
		},
		{
			Name: "refuses-run-credit", Rule: "refusal-harmless",
			Description: "rejects keyed requests that have been in flight for 150 ms",
			Wrap:        wrap(rejectAfter("keyed", 150*millisecond)),
		},
		{
			Name: "refuses-for-failure", Rule: "refusal-harmless",
			Description: "reports failures as rejections",
			Adjust:      withFaults(scenario.Fault{Kind: "errors", At: scenario.Duration(second), Size: 0.5}),
			Wrap: wrap(hooks{response: func(_ *faultInjector, response *simapi.ResponseWritten) bool {
				if response.Status == http.StatusInternalServerError {
					response.Status = http.StatusServiceUnavailable
				}
				return true
			}}),
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
			Wrap: wrap(hooks{input: func(b *faultInjector, input simapi.InputMessage) bool {
				if _, ok := input.(simapi.ListReceived); !ok {
					return true
				}
				b.schedule(b.now+1200*millisecond, func() { b.feedInput(input) })
				return false
			}}),
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
			Wrap: wrap(hooks{input: func(b *faultInjector, input simapi.InputMessage) bool {
				switch message := input.(type) {
				case simapi.ListReceived:
					for _, h := range message.List.Endpoints {
						if n, ok := scenario.NodeIndex(h.ID, b.spec.Fleet.Workers); ok && h.Lifecycle == "up" && h.StartedAtMs > 0 {
							b.count, b.notified = n, true
						}
					}
				case simapi.RequestReceived:
					if q := b.requests[message.Request.RequestID]; b.notified && b.idempotencyOf(q) == "safe" {
						b.sendAttempt(q, b.count)
					}
				}
				return true
			}}),
		},
	}
}

// duplicateMutants are the mutants that break one-attempt-per-node.
func duplicateMutants() []Mutant {
	return []Mutant{
		{
			Name: "two-on-one-node", Rule: "one-attempt-per-node",
			Description: "sends some safe requests to the same worker twice",
			Wrap: wrap(hooks{attempt: func(b *faultInjector, attempt *simapi.AttemptWritten) bool {
				if q := b.requests[attempt.RequestID]; q != nil && b.idempotencyOf(q) == "safe" && b.every(2) {
					b.sendAttempt(q, attempt.Worker)
				}
				return true
			}}),
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
			Wrap: wrap(hooks{attempt: func(b *faultInjector, attempt *simapi.AttemptWritten) bool {
				if q := b.requests[attempt.RequestID]; q != nil && b.idempotencyOf(q) == "safe" && b.every(20) {
					for n := range 3 {
						b.sendAttempt(q, b.otherWorker(attempt.Worker, n+1))
					}
				}
				return true
			}}),
		},
		{
			Name: "copies-forbidden", Rule: "attempts",
			Description: "sends hedged requests where there may be none",
			Adjust:      func(s *scenario.Scenario) { s.Schedulers.Hedging = false },
			Wrap: wrap(hooks{attempt: func(b *faultInjector, attempt *simapi.AttemptWritten) bool {
				if q := b.requests[attempt.RequestID]; q != nil && b.idempotencyOf(q) == "safe" && b.every(4) {
					b.sendAttempt(q, b.otherWorker(attempt.Worker, 1))
				}
				return true
			}}),
		},
	}
}

// resultMutants are the mutants that break made-by-node.
func resultMutants() []Mutant {
	return []Mutant{
		{
			Name: "makes-results", Rule: "made-by-node",
			Description: "serves some requests with a result of its own",
			Wrap: wrap(hooks{response: func(b *faultInjector, response *simapi.ResponseWritten) bool {
				if response.Status == http.StatusOK && b.every(10) {
					response.Result = "paid"
				}
				return true
			}}),
		},
		{
			Name: "mixes-results", Rule: "made-by-node",
			Description: "serves some requests with the result of the one before",
			Wrap: wrap(hooks{response: func(b *faultInjector, response *simapi.ResponseWritten) bool {
				if response.Status == http.StatusOK {
					was := b.lastRequest
					if b.lastRequest = response.Result; was != "" && b.every(10) {
						response.Result = was
					}
				}
				return true
			}}),
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
			Wrap:        wrap(delayResponses(http.StatusServiceUnavailable)),
		},
		{
			Name: "holds-failures", Rule: "prompt-refusal",
			Description: "holds failures back until nine tenths of a request's time are over",
			Adjust:      withFaults(scenario.Fault{Kind: "errors", At: scenario.Duration(second), Size: 0.5}),
			Wrap:        wrap(delayResponses(http.StatusInternalServerError)),
		},
	}
}

// requestIDMutants are the mutants that break id-unknown.
func requestIDMutants() []Mutant {
	return []Mutant{
		{
			Name: "changes-ids", Rule: "id-unknown",
			Description: "sends some requests on under an id of its own",
			Wrap: wrap(hooks{attempt: func(b *faultInjector, attempt *simapi.AttemptWritten) bool {
				if b.every(20) {
					attempt.RequestID = "f" + attempt.RequestID[1:] + "0"
				}
				return true
			}}),
		},
	}
}

// crashMutants are the mutants that break crash.
func crashMutants() []Mutant {
	return []Mutant{
		{
			Name: "crashes", Rule: "crash",
			Description: "ends by itself in the midst of things",
			Wrap: wrap(hooks{input: func(b *faultInjector, input simapi.InputMessage) bool {
				if _, ok := input.(simapi.Start); ok && !b.notified {
					b.notified = true
					b.schedule(3*second, func() {
						b.addOutput(simapi.Exited{Status: 2})
						b.feedInput(simapi.Kill{})
						b.reset()
					})
				}
				return true
			}}),
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

// rejectAfter rejects requests of classes with an effect that were sent so long ago, in the scheduler's place.
func rejectAfter(effect string, after time.Duration) hooks {
	tracked := func(b *faultInjector, requestID string) *trackedRequest {
		if q := b.requests[requestID]; q != nil && b.idempotencyOf(q) == effect {
			return q
		}
		return nil
	}
	return hooks{
		attempt: func(b *faultInjector, attempt *simapi.AttemptWritten) bool {
			if q := tracked(b, attempt.RequestID); q != nil && q.attempts == 1 {
				b.schedule(b.now+after, func() {
					if !q.answered {
						b.respond(q, http.StatusServiceUnavailable)
					}
				})
			}
			return true
		},
		response: func(b *faultInjector, response *simapi.ResponseWritten) bool {
			q := tracked(b, response.RequestID)
			return q == nil || !q.answered
		},
	}
}

// delayResponses holds answers of a status back until nine tenths of a request's time are over.
func delayResponses(status int) hooks {
	return hooks{response: func(b *faultInjector, response *simapi.ResponseWritten) bool {
		q := b.requests[response.RequestID]
		if response.Status != status || q == nil {
			return true
		}
		late := *response
		b.schedule(q.receivedAt+q.Budget*9/10, func() { b.addOutput(late) })
		return false
	}}
}
