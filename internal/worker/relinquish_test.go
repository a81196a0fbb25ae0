package worker

import (
	"testing"
	"time"

	"valvecove/internal/modeltest"
)

// FuzzRelinquishedPool checks that a pool, whenever it is relinquished, keeps no connection that the successor owns: neither
// among the idle ones, nor of an attempt, nor in the count of open ones. The exchanges that are not transferred end.
func FuzzRelinquishedPool(f *testing.F) {
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		model := newWorkerModel(s)
		for s.More() {
			model.step()
		}
		model.relinquish()
		for range 2 + 2*maxCancelAttempts { // past all timeouts
			model.now += 10 * time.Second
			model.runIterations()
			model.checkCollections()
		}
		s.Check(model.pool.openCount == model.pool.idle.Len(), "%d connections open, %d idle", model.pool.openCount, model.pool.idle.Len())
	})
}

// relinquish makes a successor the owner of the request table and the connections, as a hot restart does.
func (w *workerModel) relinquish() {
	w.pool.EndWaitingDials()
	w.runIterations()
	w.pool.EndWaitingDials() // for attempts that the policy has sent meanwhile
	open := w.pool.openCount
	transferred := len(w.pool.Snapshot())
	w.pool.Relinquish()
	w.hasRelinquished = true
	w.Record("relinquish")
	w.checkCollections()
	isEmpty := w.pool.idle.Len() == 0 && len(w.pool.byAttempt) == 0
	w.Check(isEmpty, "%d idle connections and %d connections of attempts are kept", w.pool.idle.Len(), len(w.pool.byAttempt))
	w.Check(w.pool.openCount == open-transferred, "%d connections open, %d before, %d transferred", w.pool.openCount, open, transferred)
}

// checkCollections checks that each connection is in the collections for its state, and in no other.
func (f *fixture) checkCollections() {
	f.tb.Helper()
	idleCount := 0
	for _, endpoint := range f.pool.endpoints {
		idleCount += len(endpoint.idle)
		for _, conn := range endpoint.idle {
			isListed := conn.idleElement.Value == conn && conn.exchange.kind == exchangeNone
			if conn.state != stateIdle || !conn.IsOpen() || !isListed {
				f.tb.Fatalf("an idle connection is %v, open %v, listed %v", conn.state, conn.IsOpen(), isListed)
			}
		}
	}
	openCount := idleCount
	for attempt, conn := range f.pool.byAttempt {
		if conn.state == stateClosed || conn.exchange.attempt != attempt {
			f.tb.Fatalf("the connection of an attempt is %v, of another attempt %v", conn.state, conn.exchange.attempt != attempt)
		}
		if conn.IsOpen() {
			openCount++
		}
	}
	if idleCount != f.pool.idle.Len() || f.pool.openCount < openCount {
		f.tb.Fatalf("%d idle connections, %d of workers, %d open, %d counted", f.pool.idle.Len(), idleCount, openCount, f.pool.openCount)
	}
}
