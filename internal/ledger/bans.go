package ledger

import (
	"slices"

	"valvecove/logic"
)

// mostBans bounds the hosts that are out by hand at once. A ban is never dropped to make room: one more is refused.
const mostBans = 4096

// Suspend takes a host out by hand: no attempt begins there until Restore, whatever the list says. known is false for one
// that was never listed; full, if there is no room for another ban. Neither changes anything.
func (l *Ledger) Suspend(id string) (known, full bool) {
	n, known := l.table.numbers[id]
	if !known || l.bans[n] {
		return known, false
	}
	if len(l.bans) >= mostBans {
		return true, true
	}
	l.bans[n] = true
	l.events = append(l.events, logic.Suspended{Worker: n})
	return true, false
}

// Restore ends that, however often the host was taken out. One that is not out stays as it is.
func (l *Ledger) Restore(id string) (known bool) {
	n, known := l.table.numbers[id]
	if known && l.bans[n] {
		delete(l.bans, n)
		l.events = append(l.events, logic.Restored{Worker: n})
		l.carrier.FreeLinks(n) // they lead to a process that has gone
	}
	return known
}

// Bans are the ids of the hosts that are out, sorted.
func (l *Ledger) Bans() (ids []string) {
	for n := range l.bans {
		ids = append(ids, l.table.hosts[n].ID)
	}
	slices.Sort(ids)
	return ids
}

// SetBans takes over what another process was told: these hosts are out and no others, listed here or not.
func (l *Ledger) SetBans(ids []string) {
	out := map[uint64]bool{}
	for _, id := range ids {
		if id != "" && len(out) < mostBans {
			l.table.number(id)
			out[l.table.numbers[id]] = true
		}
	}
	for _, id := range l.Bans() {
		if !out[l.table.numbers[id]] {
			l.Restore(id)
		}
	}
	for _, id := range ids {
		l.Suspend(id)
	}
}

// Number is what the module knows a host by that was ever listed.
func (l *Ledger) Number(id string) (worker uint64, known bool) {
	worker, known = l.table.numbers[id]
	return worker, known
}
