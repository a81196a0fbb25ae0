package mutant

import (
	"net/http"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/lab/edge"
	"valvecove/internal/lab/scenario"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// All are the mutants, in the order of the rules that they break. Each call makes them anew.
func All() []Mutant {
	return []Mutant{
		{
			Name: "answers-twice", Rule: "one-answer",
			About: "writes some answers twice",
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				if o.Kind == edge.Replied && b.every(10) {
					b.dst = append(b.dst, *o)
				}
				return true
			}),
		},
		{
			Name: "answers-none", Rule: "one-answer",
			About: "forgets to write some answers",
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				return o.Kind != edge.Replied || !b.every(10)
			}),
		},
		{
			Name: "answers-late", Rule: "one-answer",
			About: "writes some answers 100 ms after the query's time is up",
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				q := b.asked[o.Call]
				if o.Kind != edge.Replied || q == nil || !b.every(10) {
					return true
				}
				late := *o
				b.at(q.at+q.Budget+100*ms, func() { b.dst = append(b.dst, late) })
				return false
			}),
		},
		{
			Name: "cuts-unanswered", Rule: "one-answer",
			About: "closes some connections in place of an answer",
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				if o.Kind != edge.Replied || !b.every(10) {
					return true
				}
				b.dst = append(b.dst, edge.Out{Kind: edge.Cut, Sched: o.Sched, Conn: o.Conn})
				b.feed(edge.In{Kind: edge.Left, Conn: o.Conn})
				return false
			}),
		},
		{
			Name: "sends-when-over", Rule: "one-answer",
			About: "sends some queries on 600 ms after their final answer",
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				if q := b.asked[o.Call]; o.Kind == edge.Replied && q != nil && b.every(10) {
					b.at(b.now+600*ms, func() { b.send(q, b.other(b.count, 0)) })
				}
				return true
			}),
		},
		{
			Name: "quits-on-term", Rule: "one-answer",
			About: "exits on SIGTERM with queries in hand",
			Tweak: faults(scenario.Fault{What: "sched_term", At: scenario.Span(3 * sec), For: scenario.Span(500 * ms)}),
			Wrap: wrap(func(b *border, in *edge.In) bool {
				if in.Kind == edge.Terminate {
					b.dst = append(b.dst, edge.Out{Kind: edge.Exited, Sched: b.sched})
					b.feed(edge.In{Kind: edge.Kill})
					b.forget()
					return false
				}
				return true
			}, nil),
		},
		{
			Name: "deaf-after-term", Rule: "one-answer",
			About: "takes queries after SIGTERM that it never answers",
			Tweak: faults(scenario.Fault{What: "sched_term", At: scenario.Span(3 * sec), For: scenario.Span(500 * ms)}),
			Wrap: wrap(func(b *border, in *edge.In) bool {
				if in.Kind == edge.Start || in.Kind == edge.Terminate {
					b.told = in.Kind == edge.Terminate
				}
				return in.Kind != edge.Asked || !b.told
			}, nil),
		},

		{
			Name: "payout-after-reset", Rule: "payout-once",
			About: "takes a connection that broke under a payout for one that never came up",
			Tweak: func(s *scenario.Scenario) {
				patient(s, "unsafe")
				faults(scenario.Fault{
					What: "crash", At: scenario.Span(2 * sec), For: scenario.Span(sec),
					On: scenario.Target{Share: 0.6},
				}, scenario.Fault{
					What: "crash", At: scenario.Span(4 * sec),
					On: scenario.Target{Share: 0.5},
				})(s)
			},
			Module: lying(forgive(dispatch.ConnectionReset), nil),
		},
		{
			Name: "payout-after-timeout", Rule: "payout-once",
			About:  "gives a payout up after 800 ms and takes it for never begun",
			Tweak:  faults(scenario.Fault{What: "hang", At: scenario.Span(2 * sec), On: scenario.Target{Share: 0.3}}),
			Module: lying(forgive(dispatch.TimedOut), hurry(800*ms)),
		},
		{
			Name: "payout-copied", Rule: "payout-once",
			About: "sends some payouts to a second worker node while the first has them",
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				if q := b.asked[o.Call]; o.Kind == edge.Sent && q != nil && b.effect(q) == "unsafe" && b.every(10) {
					b.send(q, b.other(o.Node, 1))
				}
				return true
			}),
		},
		{
			Name: "payout-for-safe", Rule: "payout-once",
			About: "takes payouts for safe to repeat",
			Tweak: func(s *scenario.Scenario) {
				patient(s, "unsafe")
				faults(scenario.Fault{What: "hang", At: scenario.Span(2 * sec), On: scenario.Target{Share: 0.3}},
					scenario.Fault{What: "crash", At: scenario.Span(4 * sec), On: scenario.Target{Share: 0.5}})(s)
			},
			Module: changed(func(set *dispatch.Settings) {
				for i := range set.Classes {
					set.Classes[i].Idempotency = dispatch.Idempotent
				}
			}),
		},

		{
			Name: "key-outside-cell", Rule: "key-scope",
			About: "takes all worker nodes for one cell",
			Tweak: func(s *scenario.Scenario) {
				patient(s, "keyed")
				faults(scenario.Fault{What: "hang", At: scenario.Span(2 * sec), On: scenario.Target{Share: 0.3}})(s)
			},
			Module: changed(keyed(func(c *dispatch.Class) { c.DeduplicationScope = dispatch.ScopeAll })),
		},
		{
			Name: "key-after-window", Rule: "key-scope",
			About: "never minds how long a key is remembered",
			Tweak: func(s *scenario.Scenario) {
				faults(scenario.Fault{What: "hang", At: scenario.Span(2 * sec), On: scenario.Target{Share: 0.4}})(s)
				patient(s, "keyed")
				for i := range s.Classes {
					if c := &s.Classes[i]; c.Effect == "keyed" {
						c.Group, c.Window = "all", scenario.Span(100*ms)
					}
				}
			},
			Module: changed(keyed(func(c *dispatch.Class) { c.DeduplicationWindow = time.Hour })),
		},
		{
			Name: "key-changed", Rule: "key-scope",
			About: "sends some keyed queries under a key of its own",
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				if o.Kind == edge.Sent && o.Key != "" && b.every(10) {
					o.Key = "0" + o.Key
				}
				return true
			}),
		},

		{
			Name: "refuses-run-payout", Rule: "refusal-harmless",
			About: "refuses payouts that have been out for 150 ms",
			Wrap:  wrap(nil, refuseAfter("unsafe", 150*ms)),
		},
		{
			Name: "refuses-run-credit", Rule: "refusal-harmless",
			About: "refuses keyed queries that have been out for 150 ms",
			Wrap:  wrap(nil, refuseAfter("keyed", 150*ms)),
		},
		{
			Name: "refuses-for-failure", Rule: "refusal-harmless",
			About: "words failures as refusals",
			Tweak: faults(scenario.Fault{What: "errors", At: scenario.Span(sec), Size: 0.5}),
			Wrap: wrap(nil, func(_ *border, o *edge.Out) bool {
				if o.Kind == edge.Replied && o.Status == http.StatusInternalServerError {
					o.Status = http.StatusServiceUnavailable
				}
				return true
			}),
		},

		{
			Name: "drain-late", Rule: "drain",
			About: "acts on news of the fleet 1.2 s after it was told",
			Tweak: faults(scenario.Fault{What: "drain", At: scenario.Span(2 * sec), On: scenario.Target{Share: 0.5}}),
			Wrap: wrap(func(b *border, in *edge.In) bool {
				if in.Kind != edge.Listed {
					return true
				}
				late := *in
				b.at(b.now+1200*ms, func() { b.fed = append(b.fed, late) })
				return false
			}, nil),
		},
		{
			Name: "sends-to-removed", Rule: "drain",
			About: "never hears that a worker node has left the list",
			Tweak: func(s *scenario.Scenario) {
				faults(scenario.Fault{What: "gone", At: scenario.Span(2 * sec), On: scenario.Target{Share: 0.8}})(s)
				s.Load.Of, s.Discovery.Notice, s.Length = 0.9, scenario.Span(100*ms), scenario.Span(10*sec)
			},
			Module: lying(deaf, nil),
		},

		{
			Name: "cold-flooded", Rule: "cold",
			About: "sends a copy of each safe query to whichever worker node started last",
			Tweak: func(s *scenario.Scenario) {
				faults(scenario.Fault{
					What: "crash", At: scenario.Span(sec), For: scenario.Span(sec),
					On: scenario.Target{Share: 0.1},
				})(s)
				s.Load.Of = 0.9
			},
			Wrap: wrap(func(b *border, in *edge.In) bool {
				switch {
				case in.Kind == edge.Listed:
					for _, h := range in.List.Endpoints {
						if n, ok := scenario.NodeIndex(h.ID, b.spec.Fleet.Nodes); ok && h.Lifecycle == "up" && h.StartedAtMs > 0 {
							b.count, b.told = n, true
						}
					}
				case in.Kind == edge.Asked && b.told:
					if q := b.asked[in.Ask.Call]; b.effect(q) == "safe" {
						b.send(q, b.count)
					}
				}
				return true
			}, nil),
		},

		{
			Name: "two-on-one-node", Rule: "one-attempt-per-node",
			About: "sends some safe queries to the same worker node twice",
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				if q := b.asked[o.Call]; o.Kind == edge.Sent && q != nil && b.effect(q) == "safe" && b.every(2) {
					b.send(q, o.Node)
				}
				return true
			}),
		},

		{
			Name: "tries-on", Rule: "attempts",
			About: "sends some safe queries more often than is allowed",
			Tweak: func(s *scenario.Scenario) { s.Schedulers.TryLimit = 3 },
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				if q := b.asked[o.Call]; o.Kind == edge.Sent && q != nil && b.effect(q) == "safe" && b.every(20) {
					for n := range 3 {
						b.send(q, b.other(o.Node, n+1))
					}
				}
				return true
			}),
		},
		{
			Name: "copies-forbidden", Rule: "attempts",
			About: "sends second copies where there may be none",
			Tweak: func(s *scenario.Scenario) { s.Schedulers.SecondCopies = false },
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				if q := b.asked[o.Call]; o.Kind == edge.Sent && q != nil && b.effect(q) == "safe" && b.every(4) {
					b.send(q, b.other(o.Node, 1))
				}
				return true
			}),
		},

		{
			Name: "makes-results", Rule: "made-by-node",
			About: "serves some queries with a result of its own",
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				if o.Kind == edge.Replied && o.Status == http.StatusOK && b.every(10) {
					o.Result = "paid"
				}
				return true
			}),
		},
		{
			Name: "mixes-results", Rule: "made-by-node",
			About: "serves some queries with the result of the one before",
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				if o.Kind == edge.Replied && o.Status == http.StatusOK {
					was := b.last
					if b.last = o.Result; was != "" && b.every(10) {
						o.Result = was
					}
				}
				return true
			}),
		},

		{
			Name: "holds-refusals", Rule: "prompt-refusal",
			About: "holds refusals back until nine tenths of a query's time are over",
			Tweak: func(s *scenario.Scenario) { s.Load.Of, s.Load.Hints = 1.6, "exact" },
			Wrap:  wrap(nil, holdBack(http.StatusServiceUnavailable)),
		},
		{
			Name: "holds-failures", Rule: "prompt-refusal",
			About: "holds failures back until nine tenths of a query's time are over",
			Tweak: faults(scenario.Fault{What: "errors", At: scenario.Span(sec), Size: 0.5}),
			Wrap:  wrap(nil, holdBack(http.StatusInternalServerError)),
		},

		{
			Name: "changes-ids", Rule: "id-unknown",
			About: "sends some queries on under an id of its own",
			Wrap: wrap(nil, func(b *border, o *edge.Out) bool {
				if o.Kind == edge.Sent && b.every(20) {
					o.Call = "f" + o.Call[1:] + "0"
				}
				return true
			}),
		},

		{
			Name: "crashes", Rule: "crash",
			About: "ends by itself in the midst of things",
			Wrap: wrap(func(b *border, in *edge.In) bool {
				if in.Kind == edge.Start && !b.told {
					b.told = true
					b.at(3*sec, func() {
						b.dst = append(b.dst, edge.Out{Kind: edge.Exited, Sched: b.sched, Status: 2})
						b.feed(edge.In{Kind: edge.Kill})
						b.forget()
					})
				}
				return true
			}, nil),
		},
	}
}

// faults puts faults into a scenario's timeline.
func faults(list ...scenario.Fault) func(s *scenario.Scenario) {
	return func(s *scenario.Scenario) { s.Faults = append(s.Faults, list...) }
}

// patient makes most jobs ones of an effect that are in time for long.
func patient(s *scenario.Scenario, effect string) {
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Share = 0.1; c.Effect == effect {
			c.Share, c.Aim = 1-0.1*float64(len(s.Classes)-1), scenario.Span(3*sec)
		}
	}
}

// refuseAfter refuses queries of classes with an effect that were sent so long ago.
func refuseAfter(effect string, after time.Duration) func(b *border, o *edge.Out) bool {
	return func(b *border, o *edge.Out) bool {
		q := b.asked[o.Call]
		if q == nil || b.effect(q) != effect {
			return true
		}
		if o.Kind == edge.Sent && q.sent == 1 {
			b.at(b.now+after, func() {
				if !q.done {
					b.reply(q, http.StatusServiceUnavailable)
				}
			})
		}
		return o.Kind != edge.Replied || !q.done
	}
}

// holdBack holds answers of a status back until nine tenths of a query's time are over.
func holdBack(status int) func(b *border, o *edge.Out) bool {
	return func(b *border, o *edge.Out) bool {
		q := b.asked[o.Call]
		if o.Kind != edge.Replied || o.Status != status || q == nil {
			return true
		}
		held := *o
		b.at(q.at+q.Budget*9/10, func() { b.dst = append(b.dst, held) })
		return false
	}
}
