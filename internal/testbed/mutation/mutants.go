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

// All returns new copies of all mutants, in the order of the rules that they violate.
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

// responseMutants returns mutants that violate one-answer.
func responseMutants() []Mutant {
	return []Mutant{
		{
			Name: "answers-twice", Rule: "one-answer",
			Description: "writes some answers twice",
			Wrap: wrap(hooks{response: func(f *faultInjector, response *simapi.ResponseWritten) bool {
				if f.every(10) {
					f.addOutput(*response)
				}
				return true
			}}),
		},
		{
			Name: "answers-none", Rule: "one-answer",
			Description: "omits some answers",
			Wrap: wrap(hooks{response: func(f *faultInjector, _ *simapi.ResponseWritten) bool {
				return !f.every(10)
			}}),
		},
		{
			Name: "answers-late", Rule: "one-answer",
			Description: "writes some answers 100 ms after the request's deadline",
			Wrap: wrap(hooks{response: func(f *faultInjector, response *simapi.ResponseWritten) bool {
				request := f.requests[response.RequestID]
				if request == nil || !f.every(10) {
					return true
				}
				late := *response
				f.schedule(request.receivedAt+request.Budget+100*millisecond, func() { f.addOutput(late) })
				return false
			}}),
		},
		{
			Name: "cuts-unanswered", Rule: "one-answer",
			Description: "closes some connections in place of an answer",
			Wrap: wrap(hooks{response: func(f *faultInjector, response *simapi.ResponseWritten) bool {
				if !f.every(10) {
					return true
				}
				f.addOutput(simapi.ClientConnClosed{Conn: response.Conn})
				f.feedInput(simapi.ClientClosed{Conn: response.Conn})
				return false
			}}),
		},
		{
			Name: "sends-when-over", Rule: "one-answer",
			Description: "sends some requests to a worker 600 ms after their final answer",
			Wrap: wrap(hooks{response: func(f *faultInjector, response *simapi.ResponseWritten) bool {
				if request := f.requests[response.RequestID]; request != nil && f.every(10) {
					f.schedule(f.now+600*millisecond, func() { f.sendAttempt(request, f.otherWorker(f.count, 0)) })
				}
				return true
			}}),
		},
	}
}

// terminationMutants returns mutants that violate one-answer after SIGTERM.
func terminationMutants() []Mutant {
	return []Mutant{
		{
			Name: "quits-on-term", Rule: "one-answer",
			Description: "exits on SIGTERM with requests in flight",
			Adjust:      withFaults(scenario.Fault{Kind: "sched_term", At: scenario.Duration(3 * second), Duration: scenario.Duration(500 * millisecond)}),
			Wrap: wrap(hooks{input: func(f *faultInjector, input simapi.InputMessage) bool {
				if _, ok := input.(simapi.Terminate); ok {
					f.addOutput(simapi.Exited{})
					f.feedInput(simapi.Kill{})
					f.reset()
					return false
				}
				return true
			}}),
		},
		{
			Name: "deaf-after-term", Rule: "one-answer",
			Description: "accepts requests after SIGTERM and never answers them",
			Adjust:      withFaults(scenario.Fault{Kind: "sched_term", At: scenario.Duration(3 * second), Duration: scenario.Duration(500 * millisecond)}),
			Wrap: wrap(hooks{input: func(f *faultInjector, input simapi.InputMessage) bool {
				switch input.(type) {
				case simapi.Start:
					f.triggered = false
				case simapi.Terminate:
					f.triggered = true
				case simapi.RequestReceived:
					return !f.triggered
				}
				return true
			}}),
		},
	}
}

// payoutMutants returns mutants that violate payout-once.
func payoutMutants() []Mutant {
	return []Mutant{
		{
			Name: "payout-after-reset", Rule: "payout-once",
			Description: "treats a payout's connection that broke as one that was never established",
			Adjust: func(s *scenario.Scenario) {
				withMostJobsOf(s, "unsafe")
				withFaults(scenario.Fault{
					Kind: "crash", At: scenario.Duration(2 * second), Duration: scenario.Duration(second),
					Target: scenario.Target{Share: 0.6},
				}, scenario.Fault{
					Kind: "crash", At: scenario.Duration(4 * second),
					Target: scenario.Target{Share: 0.5},
				})(s)
			},
			Policy: alterPolicy(reportAsUnsent(dispatch.ConnectionReset), nil),
		},
		{
			Name: "payout-after-timeout", Rule: "payout-once",
			Description: "gives up a payout after 800 ms and treats it as never started",
			Adjust:      withFaults(scenario.Fault{Kind: "hang", At: scenario.Duration(2 * second), Target: scenario.Target{Share: 0.3}}),
			Policy:      alterPolicy(reportAsUnsent(dispatch.TimedOut), shortenTimeout(800*millisecond)),
		},
		{
			Name: "payout-copied", Rule: "payout-once",
			Description: "sends some payouts to a second worker while they are in flight at the first",
			Wrap: wrap(hooks{attempt: func(f *faultInjector, attempt *simapi.AttemptWritten) bool {
				if request := f.requests[attempt.RequestID]; request != nil && f.idempotencyOf(request) == "unsafe" && f.every(10) {
					f.sendAttempt(request, f.otherWorker(attempt.Worker, 1))
				}
				return true
			}}),
		},
		{
			Name: "payout-for-safe", Rule: "payout-once",
			Description: "treats payouts as idempotent",
			Adjust: func(s *scenario.Scenario) {
				withMostJobsOf(s, "unsafe")
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

// keyMutants returns mutants that violate key-scope.
func keyMutants() []Mutant {
	return []Mutant{
		{
			Name: "key-outside-cell", Rule: "key-scope",
			Description: "treats all workers as one cell",
			Adjust: func(s *scenario.Scenario) {
				withMostJobsOf(s, "keyed")
				withFaults(scenario.Fault{Kind: "hang", At: scenario.Duration(2 * second), Target: scenario.Target{Share: 0.3}})(s)
			},
			Policy: changeSettings(changeKeyedClasses(func(c *dispatch.Class) { c.DeduplicationScope = dispatch.ScopeAll })),
		},
		{
			Name: "key-after-window", Rule: "key-scope",
			Description: "ignores the deduplication window",
			Adjust: func(s *scenario.Scenario) {
				withFaults(scenario.Fault{Kind: "hang", At: scenario.Duration(2 * second), Target: scenario.Target{Share: 0.4}})(s)
				withMostJobsOf(s, "keyed")
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
			Wrap: wrap(hooks{attempt: func(f *faultInjector, attempt *simapi.AttemptWritten) bool {
				if attempt.IdempotencyKey != "" && f.every(10) {
					attempt.IdempotencyKey = "0" + attempt.IdempotencyKey
				}
				return true
			}}),
		},
	}
}

// rejectionMutants returns mutants that violate refusal-harmless.
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

// drainMutants returns mutants that violate drain.
func drainMutants() []Mutant {
	return []Mutant{
		{
			Name: "drain-late", Rule: "drain",
			Description: "acts on updates of the endpoint list 1.2 s late",
			Adjust:      withFaults(scenario.Fault{Kind: "drain", At: scenario.Duration(2 * second), Target: scenario.Target{Share: 0.5}}),
			Wrap: wrap(hooks{input: func(f *faultInjector, input simapi.InputMessage) bool {
				if _, ok := input.(simapi.ListReceived); !ok {
					return true
				}
				f.schedule(f.now+1200*millisecond, func() { f.feedInput(input) })
				return false
			}}),
		},
		{
			Name: "sends-to-removed", Rule: "drain",
			Description: "ignores that a worker has drained or left the list",
			Adjust: func(s *scenario.Scenario) {
				withFaults(scenario.Fault{Kind: "gone", At: scenario.Duration(2 * second), Target: scenario.Target{Share: 0.8}})(s)
				s.Load.CapacityShare, s.Discovery.NoticeDelay, s.Length = 0.9, scenario.Duration(100*millisecond), scenario.Duration(10*second)
			},
			Policy: alterPolicy(hideDraining, nil),
		},
	}
}

// warmUpMutants returns mutants that violate cold.
func warmUpMutants() []Mutant {
	return []Mutant{
		{
			Name: "cold-flooded", Rule: "cold",
			Description: "sends a copy of each idempotent request to the worker that started last",
			Adjust: func(s *scenario.Scenario) {
				withFaults(scenario.Fault{
					Kind: "crash", At: scenario.Duration(second), Duration: scenario.Duration(second),
					Target: scenario.Target{Share: 0.1},
				})(s)
				s.Load.CapacityShare = 0.9
			},
			Wrap: wrap(hooks{input: func(f *faultInjector, input simapi.InputMessage) bool {
				switch message := input.(type) {
				case simapi.ListReceived:
					for _, endpoint := range message.List.Endpoints {
						if n, ok := scenario.WorkerIndex(endpoint.ID, f.spec.Fleet.Workers); ok && endpoint.Lifecycle == "up" && endpoint.StartedAtMs > 0 {
							f.count, f.triggered = n, true
						}
					}
				case simapi.RequestReceived:
					if request := f.requests[message.Request.RequestID]; f.triggered && f.idempotencyOf(request) == "safe" {
						f.sendAttempt(request, f.count)
					}
				}
				return true
			}}),
		},
	}
}

// duplicateMutants returns mutants that violate one-attempt-per-node.
func duplicateMutants() []Mutant {
	return []Mutant{
		{
			Name: "two-on-one-node", Rule: "one-attempt-per-node",
			Description: "sends some idempotent requests to the same worker twice",
			Wrap: wrap(hooks{attempt: func(f *faultInjector, attempt *simapi.AttemptWritten) bool {
				if request := f.requests[attempt.RequestID]; request != nil && f.idempotencyOf(request) == "safe" && f.every(2) {
					f.sendAttempt(request, attempt.Worker)
				}
				return true
			}}),
		},
	}
}

// attemptMutants returns mutants that violate attempts.
func attemptMutants() []Mutant {
	return []Mutant{
		{
			Name: "tries-on", Rule: "attempts",
			Description: "sends some idempotent requests more often than the attempt limit allows",
			Adjust:      func(s *scenario.Scenario) { s.Schedulers.AttemptLimit = 3 },
			Wrap: wrap(hooks{attempt: func(f *faultInjector, attempt *simapi.AttemptWritten) bool {
				if request := f.requests[attempt.RequestID]; request != nil && f.idempotencyOf(request) == "safe" && f.every(20) {
					for n := range 3 {
						f.sendAttempt(request, f.otherWorker(attempt.Worker, n+1))
					}
				}
				return true
			}}),
		},
		{
			Name: "copies-forbidden", Rule: "attempts",
			Description: "sends hedged requests although hedging is disabled",
			Adjust:      func(s *scenario.Scenario) { s.Schedulers.Hedging = false },
			Wrap: wrap(hooks{attempt: func(f *faultInjector, attempt *simapi.AttemptWritten) bool {
				if request := f.requests[attempt.RequestID]; request != nil && f.idempotencyOf(request) == "safe" && f.every(4) {
					f.sendAttempt(request, f.otherWorker(attempt.Worker, 1))
				}
				return true
			}}),
		},
	}
}

// resultMutants returns mutants that violate made-by-node.
func resultMutants() []Mutant {
	return []Mutant{
		{
			Name: "makes-results", Rule: "made-by-node",
			Description: "serves some requests with a result of its own",
			Wrap: wrap(hooks{response: func(f *faultInjector, response *simapi.ResponseWritten) bool {
				if response.Status == http.StatusOK && f.every(10) {
					response.Result = "paid"
				}
				return true
			}}),
		},
		{
			Name: "mixes-results", Rule: "made-by-node",
			Description: "serves some requests with the result of the previous request",
			Wrap: wrap(hooks{response: func(f *faultInjector, response *simapi.ResponseWritten) bool {
				if response.Status == http.StatusOK {
					previous := f.lastResult
					if f.lastResult = response.Result; previous != "" && f.every(10) {
						response.Result = previous
					}
				}
				return true
			}}),
		},
	}
}

// promptnessMutants returns mutants that violate prompt-refusal.
func promptnessMutants() []Mutant {
	return []Mutant{
		{
			Name: "holds-refusals", Rule: "prompt-refusal",
			Description: "delays rejections until nine tenths of a request's budget have passed",
			Adjust:      func(s *scenario.Scenario) { s.Load.CapacityShare, s.Load.Hints = 1.6, "exact" },
			Wrap:        wrap(delayResponses(http.StatusServiceUnavailable)),
		},
		{
			Name: "holds-failures", Rule: "prompt-refusal",
			Description: "delays failures until nine tenths of a request's budget have passed",
			Adjust:      withFaults(scenario.Fault{Kind: "errors", At: scenario.Duration(second), Size: 0.5}),
			Wrap:        wrap(delayResponses(http.StatusInternalServerError)),
		},
	}
}

// requestIDMutants returns mutants that violate id-unknown.
func requestIDMutants() []Mutant {
	return []Mutant{
		{
			Name: "changes-ids", Rule: "id-unknown",
			Description: "sends some requests to workers under an ID of its own",
			Wrap: wrap(hooks{attempt: func(f *faultInjector, attempt *simapi.AttemptWritten) bool {
				if f.every(20) {
					attempt.RequestID = "f" + attempt.RequestID[1:] + "0"
				}
				return true
			}}),
		},
	}
}

// crashMutants returns mutants that violate crash.
func crashMutants() []Mutant {
	return []Mutant{
		{
			Name: "crashes", Rule: "crash",
			Description: "exits by itself without SIGTERM",
			Wrap: wrap(hooks{input: func(f *faultInjector, input simapi.InputMessage) bool {
				if _, ok := input.(simapi.Start); ok && !f.triggered {
					f.triggered = true
					f.schedule(3*second, func() {
						f.addOutput(simapi.Exited{Status: 2})
						f.feedInput(simapi.Kill{})
						f.reset()
					})
				}
				return true
			}}),
		},
	}
}

// withFaults returns an Adjust that adds faults to a scenario's timeline.
func withFaults(faults ...scenario.Fault) func(s *scenario.Scenario) {
	return func(s *scenario.Scenario) { s.Faults = append(s.Faults, faults...) }
}

// withMostJobsOf changes a scenario so that most jobs have an idempotency, and an objective of 3 s that leaves time to retry.
func withMostJobsOf(s *scenario.Scenario, idempotency string) {
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Share = 0.1; c.Idempotency == idempotency {
			c.Share, c.LatencyObjective = 1-0.1*float64(len(s.Classes)-1), scenario.Duration(3*second)
		}
	}
}

// rejectAfter returns hooks that reject requests of an idempotency some time after their first attempt was sent, in place of the
// scheduler.
func rejectAfter(idempotency string, after time.Duration) hooks {
	tracked := func(f *faultInjector, requestID string) *trackedRequest {
		if request := f.requests[requestID]; request != nil && f.idempotencyOf(request) == idempotency {
			return request
		}
		return nil
	}
	return hooks{
		attempt: func(f *faultInjector, attempt *simapi.AttemptWritten) bool {
			if request := tracked(f, attempt.RequestID); request != nil && request.attempts == 1 {
				f.schedule(f.now+after, func() {
					if !request.answered {
						f.respond(request, http.StatusServiceUnavailable)
					}
				})
			}
			return true
		},
		response: func(f *faultInjector, response *simapi.ResponseWritten) bool {
			request := tracked(f, response.RequestID)
			return request == nil || !request.answered
		},
	}
}

// delayResponses returns hooks that delay responses of a status until nine tenths of the request's budget have passed.
func delayResponses(status int) hooks {
	return hooks{response: func(f *faultInjector, response *simapi.ResponseWritten) bool {
		request := f.requests[response.RequestID]
		if response.Status != status || request == nil {
			return true
		}
		late := *response
		f.schedule(request.receivedAt+request.Budget*9/10, func() { f.addOutput(late) })
		return false
	}}
}
