package mutant

import (
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// changed is the honest module under settings that are not those it was given.
func changed(change func(set *dispatch.Settings)) func(dispatch.Settings, uint64) requests.Policy {
	return func(set dispatch.Settings, seed uint64) requests.Policy {
		set.Classes = append([]dispatch.Class(nil), set.Classes...)
		change(&set)
		return dispatch.New(set, seed)
	}
}

// keyed changes the keyed classes.
func keyed(change func(c *dispatch.Class)) func(set *dispatch.Settings) {
	return func(set *dispatch.Settings) {
		for i := range set.Classes {
			if set.Classes[i].Idempotency == dispatch.IdempotentWithKey {
				change(&set.Classes[i])
			}
		}
	}
}

// liar stands between the ledger and the honest module, which it tells what is not so.
type liar struct {
	set    dispatch.Settings
	inner  requests.Policy
	event  func(l *liar, e dispatch.Event) (told dispatch.Event, pass bool)
	send   func(l *liar, s dispatch.Send) dispatch.Send // nil: as it is
	unsafe map[uint64]bool                              // jobs that must never run twice
	told   []dispatch.Event
}

// lying makes a Module of hooks.
func lying(event func(*liar, dispatch.Event) (dispatch.Event, bool), send func(*liar, dispatch.Send) dispatch.Send) func(
	dispatch.Settings, uint64) requests.Policy {
	return func(set dispatch.Settings, seed uint64) requests.Policy {
		return &liar{set: set, inner: dispatch.New(set, seed), event: event, send: send, unsafe: map[uint64]bool{}}
	}
}

// Step has the module decide on what it is told.
func (l *liar) Step(now time.Duration, events []dispatch.Event, dst []dispatch.Action) []dispatch.Action {
	l.told = l.told[:0]
	for _, e := range events {
		if j, ok := e.(dispatch.Job); ok {
			l.unsafe[j.ID] = l.set.Classes[j.Class].Idempotency == dispatch.NonIdempotent
		}
		if told, pass := l.event(l, e); pass {
			l.told = append(l.told, told)
		}
	}
	first := len(dst)
	dst = l.inner.Step(now, l.told, dst)
	for i := first; i < len(dst); i++ {
		if s, ok := dst[i].(dispatch.Send); ok && l.send != nil {
			dst[i] = l.send(l, s)
		}
	}
	return dst
}

// forgive has one outcome of unsafe jobs pass for another that proves that nothing ran.
func forgive(r dispatch.Result) func(l *liar, e dispatch.Event) (dispatch.Event, bool) {
	return func(l *liar, e dispatch.Event) (dispatch.Event, bool) {
		if o, ok := e.(dispatch.Outcome); ok && o.Result == r && l.unsafe[o.Job] {
			o.Result = dispatch.ConnectFailed
			return o, true
		}
		return e, true
	}
}

// hurry waits only so long for attempts of unsafe jobs.
func hurry(patience time.Duration) func(l *liar, s dispatch.Send) dispatch.Send {
	return func(l *liar, s dispatch.Send) dispatch.Send {
		if l.unsafe[s.Job] {
			s.AttemptTimeout = patience
		}
		return s
	}
}

// deaf hears of no worker node that drains or is gone.
func deaf(_ *liar, e dispatch.Event) (dispatch.Event, bool) {
	list, ok := e.(dispatch.WorkerList)
	if !ok {
		return e, true
	}
	told := list
	told.Workers = nil
	for _, w := range list.Workers {
		if w.Ready && !w.Removed {
			told.Workers = append(told.Workers, w)
		}
	}
	return told, list.Kind != dispatch.ListDelta || len(told.Workers) > 0
}
