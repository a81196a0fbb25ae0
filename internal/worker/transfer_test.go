package worker

import (
	"errors"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/hotrestart"
	"valvecove/internal/http1"
	"valvecove/internal/requests"
)

// newPredecessorWithIdle returns a predecessor with an idle connection, and the remote end of the connection.
func newPredecessorWithIdle(t *testing.T) (predecessor *fixture, remote *peer) {
	t.Helper()
	predecessor = newFixture(t)
	predecessor.runActions(dispatch.HealthCheck{Worker: predecessor.workerNumber()})
	remote = predecessor.dialed[0]
	remote.Read(1 << 12)
	remote.Received = nil
	remote.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	predecessor.runIterations()
	return predecessor, remote
}

// transferIdle transfers an idle connection of a predecessor, and returns its remote end and what a successor receives.
func transferIdle(t *testing.T) (remote *peer, received hotrestart.ReceivedWorkerConnection) {
	t.Helper()
	predecessor, remote := newPredecessorWithIdle(t)
	snapshots := predecessor.pool.Snapshot()
	if len(snapshots) != 1 || snapshots[0].State != hotrestart.WorkerIdle {
		t.Fatalf("transferred %+v, expected one idle connection", snapshots)
	}
	descriptor, err := unix.Dup(snapshots[0].Descriptor)
	if err != nil {
		t.Fatal(err)
	}
	predecessor.pool.Relinquish()
	return remote, hotrestart.ReceivedWorkerConnection{WorkerConnection: snapshots[0].WorkerConnection, Descriptor: descriptor}
}

// Idle connections that a successor owns are removed from the pool. If one stayed listed, closeExpired would not return once it
// is stale: terminate doesn't remove a connection that is closed already. The test therefore doesn't run closeExpired.
func TestRelinquishedPoolListsNoIdleConnection(t *testing.T) {
	predecessor, _ := newPredecessorWithIdle(t)
	endpoint := predecessor.pool.endpoints[predecessor.workerNumber()]
	if len(endpoint.idle) != 1 || predecessor.pool.idle.Len() != 1 {
		t.Fatalf("idle before: %d of the worker, %d of the pool", len(endpoint.idle), predecessor.pool.idle.Len())
	}
	predecessor.pool.Relinquish()
	if len(endpoint.idle) != 0 || predecessor.pool.idle.Len() != 0 {
		t.Errorf("idle after: %d of the worker, %d of the pool, expected none", len(endpoint.idle), predecessor.pool.idle.Len())
	}
}

// The rest of a request is written after a hot restart only until the predecessor's deadline, by which its time budget was computed.
// A worker was given more time than its client had left.
func TestWriteDeadlineIsKeptAfterHotRestart(t *testing.T) {
	const sincePredecessorWrote = 249 * time.Millisecond // the predecessor's deadline is 1 ms later
	for _, isLate := range []bool{false, true} {
		predecessor := newFixture(t)
		request := predecessor.sendAttempt(http1.MaxBodySize)
		remote := predecessor.dialed[0]
		state, open := predecessor.table.Snapshot()
		snapshot := predecessor.pool.Snapshot()[0]
		descriptor, err := unix.Dup(snapshot.Descriptor)
		if err != nil {
			t.Fatal(err)
		}
		predecessor.pool.Relinquish()
		successor := newFixture(t)
		successor.now += sincePredecessorWrote
		if isLate {
			successor.now += 2 * time.Millisecond
		}
		successor.runIterations()
		successor.table.TakeOver(successor.now, state, open, nil, func() requests.Policy { return successor.policy })
		successor.pool.Restore(hotrestart.ReceivedWorkerConnection{WorkerConnection: snapshot.WorkerConnection, Descriptor: descriptor})
		for range 64 {
			successor.runIterations()
			remote.Read(1 << 20)
		}
		var received http1.Request
		_, err = received.Parse(remote.Received)
		if isWhole := err == nil; isWhole == isLate || remote.Ended != isLate {
			t.Errorf("late %v: request %d is whole %v, connection ended %v", isLate, request.ID, isWhole, remote.Ended)
		}
	}
}

// An idle connection survives a hot restart, and the successor reuses it.
func TestRestoredIdleConnectionIsReused(t *testing.T) {
	remote, received := transferIdle(t)
	successor := newFixture(t)
	successor.pool.Restore(received)
	successor.now += time.Millisecond
	successor.runActions(dispatch.HealthCheck{Worker: successor.workerNumber()})
	if remote.Read(1 << 12); len(remote.Received) == 0 || len(successor.dialed) != 0 {
		t.Errorf("the worker got %q, %d connections were opened", remote.Received, len(successor.dialed))
	}
}

// The successor closes a connection whose worker was never listed or whose attempt has ended.
func TestUnusableTransferredConnectionIsClosed(t *testing.T) {
	for name, change := range map[string]func(*hotrestart.WorkerConnection){
		"unknown worker":  func(c *hotrestart.WorkerConnection) { c.WorkerID = "s-9" },
		"unknown attempt": func(c *hotrestart.WorkerConnection) { c.State = hotrestart.WorkerAwaitingResponse },
	} {
		t.Run(name, func(t *testing.T) {
			remote, received := transferIdle(t)
			change(&received.WorkerConnection)
			successor := newFixture(t)
			successor.pool.Restore(received)
			_, err := unix.FcntlInt(uintptr(received.Descriptor), unix.F_GETFD, 0)
			if remote.Read(1 << 12); !errors.Is(err, unix.EBADF) || !remote.Ended || successor.pool.openCount != 0 {
				t.Errorf("closed %v (%v), %d connections", remote.Ended, err, successor.pool.openCount)
			}
		})
	}
}
