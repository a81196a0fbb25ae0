package requests

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"valvecove/dispatch"
)

const (
	changesLogInterval   = time.Second // a line on the host group at most, however much changes
	maxAddedNamed        = 5           // hosts that it names
	numbersPerLine       = 100         // hosts in a line of the map, for debugging
	maxNumberLinesLogged = 40          // of a list: they must fit what may wait to be written
)

// endpointChanges are what has become of the host group and was not told yet.
type endpointChanges struct {
	added, removed int
	firstAdded     []string // of those added
	loggedAt       time.Duration
}

func (c *endpointChanges) any() bool { return c.added+c.removed > 0 }

// countChanges counts what a list changes, before it is entered.
func (l *Table) countChanges(list []dispatch.Worker, whole bool) {
	c, kept, added := &l.changes, 0, l.changes.added
	for _, w := range list {
		switch _, had := l.listed[w.ID]; {
		case had && w.Removed:
			c.removed++
			kept++
		case had:
			kept++
		case !w.Removed:
			c.added++
			if len(c.firstAdded) < maxAddedNamed {
				c.firstAdded = append(c.firstAdded, l.endpoints.byNumber[w.ID].ID)
			}
		}
	}
	if whole {
		c.removed += max(0, len(l.listed)-kept)
	}
	if c.added > added && l.logger.Enabled(context.Background(), slog.LevelDebug) {
		l.logNumbers(list)
	}
}

// logNumbers says which numbers the module knows new hosts by.
func (l *Table) logNumbers(list []dispatch.Worker) {
	var fresh []string
	more := 0
	for _, w := range list {
		if _, had := l.listed[w.ID]; had || w.Removed {
			continue
		}
		if h := l.endpoints.byNumber[w.ID]; len(fresh) < numbersPerLine*maxNumberLinesLogged {
			fresh = append(fresh, strconv.FormatUint(w.ID, 10)+"="+h.ID+"@"+h.Addr)
		} else {
			more++
		}
	}
	for part := range slices.Chunk(fresh, numbersPerLine) {
		l.logger.Debug("hosts by number", "hosts", strings.Join(part, " "), "more", more)
	}
}

// logChanges writes one line about all that has changed since the last one. What comes sooner than the next is due
// waits for it.
func (l *Table) logChanges(now time.Duration) {
	c := &l.changes
	if c.loggedAt > 0 && now-c.loggedAt < changesLogInterval {
		return
	}
	if l.logger.Enabled(context.Background(), slog.LevelInfo) {
		ready := 0
		for _, w := range l.listed {
			if w.Ready {
				ready++
			}
		}
		l.logger.Info("host group", "added", c.added, "gone", c.removed, "first", strings.Join(c.firstAdded, " "), "listed", len(l.listed),
			"ready", ready, "generation", l.revision)
	}
	*c = endpointChanges{loggedAt: now}
}

// logPolicyMessage writes what the module says. It knows worker nodes by number, so the hosts that it names are added.
func (l *Table) logPolicyMessage(text string) {
	if !l.logger.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	attrs := []slog.Attr{slog.String("text", text)}
	if hosts := l.endpointsNamedIn(text); len(hosts) > 0 {
		attrs = append(attrs, slog.String("host", strings.Join(hosts, " ")))
	}
	l.logger.LogAttrs(context.Background(), slog.LevelInfo, "module", attrs...)
}

// endpointsNamedIn gives the hosts that a text names as 'worker N'.
func (l *Table) endpointsNamedIn(text string) (ids []string) {
	for {
		_, after, found := strings.Cut(text, "worker ")
		if !found {
			return ids
		}
		end := 0
		for end < len(after) && after[end] >= '0' && after[end] <= '9' {
			end++
		}
		if n, err := strconv.ParseUint(after[:end], 10, 64); err == nil && l.endpoints.byNumber[n].ID != "" {
			ids = append(ids, l.endpoints.byNumber[n].ID)
		}
		text = after
	}
}
