package worker

import (
	"errors"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvecove/dispatch"
	"valvecove/internal/hotrestart"
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
