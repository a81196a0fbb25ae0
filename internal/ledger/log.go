package ledger

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"valvecove/logic"
)

const (
	changesEvery = time.Second // a line on the host group at most, however much changes
	firstFew     = 5           // hosts that it names
	mapLine      = 100         // hosts in a line of the map, for debugging
	mapLines     = 40          // of a list: they must fit what may wait to be written
)

// hostChanges are what has become of the host group and was not told yet.
type hostChanges struct {
	added, gone int
	few         []string // of those added
	told        time.Duration
}

func (c *hostChanges) any() bool { return c.added+c.gone > 0 }

// note counts what a list changes, before it is entered.
func (l *Ledger) note(list []logic.Worker, whole bool) {
	c, kept, added := &l.changes, 0, l.changes.added
	for _, w := range list {
		switch _, had := l.ready[w.ID]; {
		case had && w.Gone:
			c.gone++
			kept++
		case had:
			kept++
		case !w.Gone:
			c.added++
			if len(c.few) < firstFew {
				c.few = append(c.few, l.table.hosts[w.ID].ID)
			}
		}
	}
	if whole {
		c.gone += max(0, len(l.ready)-kept)
	}
	if c.added > added && l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.tellMap(list)
	}
}

// tellMap says which numbers the module knows new hosts by.
func (l *Ledger) tellMap(list []logic.Worker) {
	var fresh []string
	more := 0
	for _, w := range list {
		if _, had := l.ready[w.ID]; had || w.Gone {
			continue
		}
		if h := l.table.hosts[w.ID]; len(fresh) < mapLine*mapLines {
			fresh = append(fresh, strconv.FormatUint(w.ID, 10)+"="+h.ID+"@"+h.Addr)
		} else {
			more++
		}
	}
	for part := range slices.Chunk(fresh, mapLine) {
		l.log.Debug("hosts by number", "hosts", strings.Join(part, " "), "more", more)
	}
}

// tellChanges writes one line about all that has changed since the last one. What comes sooner than the next is due
// waits for it.
func (l *Ledger) tellChanges(now time.Duration) {
	c := &l.changes
	if c.told > 0 && now-c.told < changesEvery {
		return
	}
	if l.log.Enabled(context.Background(), slog.LevelInfo) {
		ready := 0
		for _, w := range l.ready {
			if w.Ready {
				ready++
			}
		}
		l.log.Info("host group", "added", c.added, "gone", c.gone, "first", strings.Join(c.few, " "), "listed", len(l.ready),
			"ready", ready, "generation", l.generation)
	}
	*c = hostChanges{told: now}
}

// tellLog writes what the module says. It knows worker nodes by number, so the hosts that it names are added.
func (l *Ledger) tellLog(text string) {
	if !l.log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	attrs := []slog.Attr{slog.String("text", text)}
	if hosts := l.hostsIn(text); len(hosts) > 0 {
		attrs = append(attrs, slog.String("host", strings.Join(hosts, " ")))
	}
	l.log.LogAttrs(context.Background(), slog.LevelInfo, "module", attrs...)
}

// hostsIn gives the hosts that a text names as 'worker N'.
func (l *Ledger) hostsIn(text string) (ids []string) {
	for {
		_, after, found := strings.Cut(text, "worker ")
		if !found {
			return ids
		}
		end := 0
		for end < len(after) && after[end] >= '0' && after[end] <= '9' {
			end++
		}
		if n, err := strconv.ParseUint(after[:end], 10, 64); err == nil && l.table.hosts[n].ID != "" {
			ids = append(ids, l.table.hosts[n].ID)
		}
		text = after
	}
}
