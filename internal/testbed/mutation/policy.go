package mutation

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// changeSettings returns a Mutant.Policy that makes the unmodified dispatch policy with changed settings.
func changeSettings(change func(settings *dispatch.Settings)) func(dispatch.Settings, uint64) requests.Policy {
	return func(settings dispatch.Settings, seed uint64) requests.Policy {
		settings.Classes = append([]dispatch.Class(nil), settings.Classes...)
		change(&settings)
		return dispatch.New(settings, seed)
	}
}

// changeKeyedClasses returns a change of settings that changes the classes that are idempotent with a key.
func changeKeyedClasses(change func(c *dispatch.Class)) func(settings *dispatch.Settings) {
	return func(settings *dispatch.Settings) {
		for i := range settings.Classes {
			if settings.Classes[i].Idempotency == dispatch.IdempotentWithKey {
				change(&settings.Classes[i])
			}
		}
	}
}

// alteredPolicy wraps the unmodified dispatch policy. It falsifies the events that the request table passes to it, or its sends.
type alteredPolicy struct {
	settings      dispatch.Settings
	inner         requests.Policy
	onEvent       func(p *alteredPolicy, e dispatch.Event) (altered dispatch.Event, pass bool)
	onSend        func(p *alteredPolicy, s dispatch.Send) dispatch.Send // nil: sends are unchanged
	nonIdempotent map[uint64]bool                                       // by job
	altered       []dispatch.Event
}

// alterPolicy returns a Mutant.Policy that makes the dispatch policy with these hooks; send may be nil.
func alterPolicy(onEvent func(*alteredPolicy, dispatch.Event) (dispatch.Event, bool), onSend func(*alteredPolicy, dispatch.Send) dispatch.Send) func(
	dispatch.Settings, uint64) requests.Policy {
	return func(settings dispatch.Settings, seed uint64) requests.Policy {
		return &alteredPolicy{settings: settings, inner: dispatch.New(settings, seed), onEvent: onEvent, onSend: onSend, nonIdempotent: map[uint64]bool{}}
	}
}

// Step implements requests.Policy.
func (p *alteredPolicy) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	p.altered = p.altered[:0]
	for _, e := range events {
		if j, ok := e.(dispatch.Job); ok {
			p.nonIdempotent[j.ID] = p.settings.Classes[j.Class].Idempotency == dispatch.NonIdempotent
		}
		if altered, pass := p.onEvent(p, e); pass {
			p.altered = append(p.altered, altered)
		}
	}
	first := len(dst)
	dst = p.inner.Step(now, p.altered, dst)
	for i := first; i < len(dst); i++ {
		if s, ok := dst[i].(dispatch.Send); ok && p.onSend != nil {
			dst[i] = p.onSend(p, s)
		}
	}
	return dst
}

// reportAsUnsent returns an event hook that replaces a result of non-idempotent jobs by a failed connect, which proves that the
// attempt was not executed.
func reportAsUnsent(result dispatch.Result) func(p *alteredPolicy, e dispatch.Event) (dispatch.Event, bool) {
	return func(p *alteredPolicy, e dispatch.Event) (dispatch.Event, bool) {
		if o, ok := e.(dispatch.Outcome); ok && o.Result == result && p.nonIdempotent[o.Job] {
			o.Result = dispatch.ConnectFailed
			return o, true
		}
		return e, true
	}
}

// shortenTimeout returns a send hook that sets the timeout of attempts of non-idempotent jobs.
func shortenTimeout(timeout time.Duration) func(p *alteredPolicy, s dispatch.Send) dispatch.Send {
	return func(p *alteredPolicy, s dispatch.Send) dispatch.Send {
		if p.nonIdempotent[s.Job] {
			s.AttemptTimeout = timeout
		}
		return s
	}
}

// hideDraining is an event hook that removes draining and removed workers from worker lists.
func hideDraining(_ *alteredPolicy, e dispatch.Event) (dispatch.Event, bool) {
	list, ok := e.(dispatch.WorkerList)
	if !ok {
		return e, true
	}
	shown := list
	shown.Workers = nil
	for _, w := range list.Workers {
		if w.Ready && !w.Removed {
			shown.Workers = append(shown.Workers, w)
		}
	}
	return shown, list.Kind != dispatch.ListDelta || len(shown.Workers) > 0
}
