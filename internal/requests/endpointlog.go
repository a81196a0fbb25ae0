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
	changesLogInterval   = time.Second // minimum between two log lines about the endpoint list
	maxAddedLogged       = 5           // added endpoints named in such a line
	numbersPerLine       = 100         // endpoints in a debug line with their numbers
	maxNumberLinesLogged = 40          // such lines for one list; they must fit into the log's buffer
)

// endpointChanges counts the changes of the endpoint list since they were last logged.
type endpointChanges struct {
	added, removed int
	firstAdded     []string      // IDs of the first added endpoints, at most maxAddedLogged
	loggedAt       time.Duration // 0: never
}

// countChanges counts the changes that a list makes. It is called before the list is applied.
func (e *endpointSet) countChanges(workers []dispatch.Worker, isFull bool) {
	added, removed, kept := 0, 0, 0
	for _, worker := range workers {
		_, wasListed := e.listed[worker.ID]
		switch {
		case wasListed && worker.Removed:
			removed++
			kept++
		case wasListed:
			kept++
		case !worker.Removed:
			added++
			e.changes.recordAdded(e.remembered.byNumber[worker.ID].ID)
		}
	}
	if isFull {
		removed += max(0, len(e.listed)-kept)
	}
	e.changes.added += added
	e.changes.removed += removed
	if added > 0 {
		e.logNumbers(workers)
	}
}

// recordAdded stores the ID of an added endpoint, unless maxAddedLogged IDs are stored.
func (e *endpointChanges) recordAdded(id string) {
	if len(e.firstAdded) < maxAddedLogged {
		e.firstAdded = append(e.firstAdded, id)
	}
}

// logNumbers logs the policy's numbers for the endpoints of a list that were not listed before.
func (e *endpointSet) logNumbers(workers []dispatch.Worker) {
	if !e.logger.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	var entries []string
	omitted := 0
	for _, worker := range workers {
		if _, wasListed := e.listed[worker.ID]; wasListed || worker.Removed {
			continue
		}
		if len(entries) == numbersPerLine*maxNumberLinesLogged {
			omitted++
			continue
		}
		endpoint := e.remembered.byNumber[worker.ID]
		entries = append(entries, strconv.FormatUint(worker.ID, 10)+"="+endpoint.ID+"@"+endpoint.Addr)
	}
	for line := range slices.Chunk(entries, numbersPerLine) {
		e.logger.Debug("endpoints by number", "endpoints", strings.Join(line, " "), "more", omitted)
	}
}

// logChanges logs the changes of the endpoint list, if there are any, once per changesLogInterval at most.
func (e *endpointSet) logChanges(now time.Duration) {
	changes := &e.changes
	if changes.added+changes.removed == 0 {
		return
	}
	if changes.loggedAt > 0 && now-changes.loggedAt < changesLogInterval {
		return
	}
	if e.logger.Enabled(context.Background(), slog.LevelInfo) {
		e.logger.Info("endpoint list changed", "added", changes.added, "removed", changes.removed,
			"first", strings.Join(changes.firstAdded, " "), "listed", len(e.listed), "ready", e.readyCount(), "revision", e.revision)
	}
	*changes = endpointChanges{loggedAt: now}
}

// readyCount returns the number of listed workers that are ready, including cordoned ones.
func (e *endpointSet) readyCount() int {
	count := 0
	for _, worker := range e.listed {
		if worker.Ready {
			count++
		}
	}
	return count
}
