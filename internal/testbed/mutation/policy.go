package mutation

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// changeSettings is the honest module under settings that are not those it was given.
func changeSettings(change func(set *dispatch.Settings)) func(dispatch.Settings, uint64) requests.Policy {
	return func(set dispatch.Settings, seed uint64) requests.Policy {
		set.Classes = append([]dispatch.Class(nil), set.Classes...)
		change(&set)
		return dispatch.New(set, seed)
	}
}

// changeKeyedClasses changes the keyed classes.
func changeKeyedClasses(change func(c *dispatch.Class)) func(set *dispatch.Settings) {
	return func(set *dispatch.Settings) {
		for i := range set.Classes {
			if set.Classes[i].Idempotency == dispatch.IdempotentWithKey {
				change(&set.Classes[i])
			}
		}
	}
}

// alteredPolicy stands between the ledger and the honest module, which it tells what is not so.
type alteredPolicy struct {
	settings      dispatch.Settings
	inner         requests.Policy
	onEvent       func(l *alteredPolicy, e dispatch.Event) (altered dispatch.Event, pass bool)
	onSend        func(l *alteredPolicy, s dispatch.Send) dispatch.Send // nil: as it is
	nonIdempotent map[uint64]bool                                       // jobs that must never run twice
	altered       []dispatch.Event
}

// alterPolicy makes a Module of hooks.
func alterPolicy(event func(*alteredPolicy, dispatch.Event) (dispatch.Event, bool), send func(*alteredPolicy, dispatch.Send) dispatch.Send) func(
	dispatch.Settings, uint64) requests.Policy {
	return func(set dispatch.Settings, seed uint64) requests.Policy {
		return &alteredPolicy{settings: set, inner: dispatch.New(set, seed), onEvent: event, onSend: send, nonIdempotent: map[uint64]bool{}}
	}
}

// Step has the module decide on what it is told.
func (l *alteredPolicy) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	l.altered = l.altered[:0]
	for _, e := range events {
		if j, ok := e.(dispatch.Job); ok {
			l.nonIdempotent[j.ID] = l.settings.Classes[j.Class].Idempotency == dispatch.NonIdempotent
		}
		if notified, pass := l.onEvent(l, e); pass {
			l.altered = append(l.altered, notified)
		}
	}
	first := len(dst)
	dst = l.inner.Step(now, l.altered, dst)
	for i := first; i < len(dst); i++ {
		if s, ok := dst[i].(dispatch.Send); ok && l.onSend != nil {
			dst[i] = l.onSend(l, s)
		}
	}
	return dst
}

// reportAs has one outcome of non-idempotent jobs pass for another that proves that nothing ran.
func reportAs(r dispatch.Result) func(l *alteredPolicy, e dispatch.Event) (dispatch.Event, bool) {
	return func(l *alteredPolicy, e dispatch.Event) (dispatch.Event, bool) {
		if o, ok := e.(dispatch.Outcome); ok && o.Result == r && l.nonIdempotent[o.Job] {
			o.Result = dispatch.ConnectFailed
			return o, true
		}
		return e, true
	}
}

// shortenTimeout waits only so long for attempts of non-idempotent jobs.
func shortenTimeout(timeout time.Duration) func(l *alteredPolicy, s dispatch.Send) dispatch.Send {
	return func(l *alteredPolicy, s dispatch.Send) dispatch.Send {
		if l.nonIdempotent[s.Job] {
			s.AttemptTimeout = timeout
		}
		return s
	}
}

// dropOutcomes hears of no worker that drains or is gone.
func dropOutcomes(_ *alteredPolicy, e dispatch.Event) (dispatch.Event, bool) {
	list, ok := e.(dispatch.WorkerList)
	if !ok {
		return e, true
	}
	notified := list
	notified.Workers = nil
	for _, w := range list.Workers {
		if w.Ready && !w.Removed {
			notified.Workers = append(notified.Workers, w)
		}
	}
	return notified, list.Kind != dispatch.ListDelta || len(notified.Workers) > 0
}
