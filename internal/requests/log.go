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
	changesLogInterval   = time.Second // between two lines about the endpoint list, however much changes
	maxAddedNamed        = 5           // endpoints that such a line names
	numbersPerLine       = 100         // endpoints in a debug line with their numbers
	maxNumberLinesLogged = 40          // such lines of one list: all of them must fit into the log's buffer
)

// endpointChanges are the changes of the endpoint list since they were logged last.
type endpointChanges struct {
	added, removed int
	firstAdded     []string // ids
	loggedAt       time.Duration
}

// countChanges counts what a list changes, before it is entered.
func (t *Table) countChanges(workers []dispatch.Worker, isWhole bool) {
	added, removed, kept := 0, 0, 0
	for _, worker := range workers {
		_, wasListed := t.listed[worker.ID]
		switch {
		case wasListed && worker.Removed:
			removed++
			kept++
		case wasListed:
			kept++
		case !worker.Removed:
			added++
			t.changes.nameAdded(t.endpoints.byNumber[worker.ID].ID)
		}
	}
	if isWhole {
		removed += max(0, len(t.listed)-kept)
	}
	t.changes.added += added
	t.changes.removed += removed
	if added > 0 {
		t.logNumbers(workers)
	}
}

// nameAdded remembers the id of an added endpoint, if it is one of the first.
func (c *endpointChanges) nameAdded(id string) {
	if len(c.firstAdded) < maxAddedNamed {
		c.firstAdded = append(c.firstAdded, id)
	}
}

// logNumbers logs by which numbers the policy knows the endpoints of a list that are new.
func (t *Table) logNumbers(workers []dispatch.Worker) {
	if !t.logger.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	var entries []string
	omitted := 0
	for _, worker := range workers {
		if _, wasListed := t.listed[worker.ID]; wasListed || worker.Removed {
			continue
		}
		if len(entries) == numbersPerLine*maxNumberLinesLogged {
			omitted++
			continue
		}
		endpoint := t.endpoints.byNumber[worker.ID]
		entries = append(entries, strconv.FormatUint(worker.ID, 10)+"="+endpoint.ID+"@"+endpoint.Addr)
	}
	for line := range slices.Chunk(entries, numbersPerLine) {
		t.logger.Debug("endpoints by number", "endpoints", strings.Join(line, " "), "more", omitted)
	}
}

// logChanges logs the changes of the endpoint list, if there are any and the last line is old enough.
func (t *Table) logChanges(now time.Duration) {
	changes := &t.changes
	if changes.added+changes.removed == 0 {
		return
	}
	if changes.loggedAt > 0 && now-changes.loggedAt < changesLogInterval {
		return
	}
	if t.logger.Enabled(context.Background(), slog.LevelInfo) {
		ready := 0
		for _, worker := range t.listed {
			if worker.Ready {
				ready++
			}
		}
		t.logger.Info("endpoint list changed", "added", changes.added, "removed", changes.removed,
			"first", strings.Join(changes.firstAdded, " "), "listed", len(t.listed), "ready", ready, "revision", t.revision)
	}
	*changes = endpointChanges{loggedAt: now}
}

// logPolicyAction logs an action that is for the operators alone.
func (t *Table) logPolicyAction(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Log:
		t.logPolicyMessage(action.Text)
	case dispatch.WorkerEjected:
		t.logWorkerEjected(action)
	}
}

// logPolicyMessage logs a message of the policy. The policy knows workers by number: the endpoint ids of those that it
// names are added.
func (t *Table) logPolicyMessage(text string) {
	if !t.logger.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	attrs := []slog.Attr{slog.String("text", text)}
	if ids := t.endpointsNamedIn(text); len(ids) > 0 {
		attrs = append(attrs, slog.String("worker", strings.Join(ids, " ")))
	}
	t.logger.LogAttrs(context.Background(), slog.LevelInfo, "dispatcher", attrs...)
}

// logWorkerEjected logs an ejection with the endpoint id of the worker, or with its number if it is not listed any more.
func (t *Table) logWorkerEjected(ejected dispatch.WorkerEjected) {
	worker := t.endpoints.byNumber[ejected.Worker].ID
	if worker == "" {
		worker = strconv.FormatUint(ejected.Worker, 10)
	}
	t.logger.Info("worker ejected", "worker", worker, "reason", ejected.Reason.String(),
		"ejection_time", ejected.EjectionTime)
}

// endpointsNamedIn returns the ids of the workers that a text names as "worker N", in order.
func (t *Table) endpointsNamedIn(text string) []string {
	var ids []string
	for {
		_, after, found := strings.Cut(text, "worker ")
		if !found {
			return ids
		}
		digits := len(after) - len(strings.TrimLeft(after, "0123456789"))
		worker, err := strconv.ParseUint(after[:digits], 10, 64)
		if endpoint := t.endpoints.byNumber[worker]; err == nil && endpoint.ID != "" {
			ids = append(ids, endpoint.ID)
		}
		text = after
	}
}
