package worker

import (
	"testing"
	"time"

	"valvecove/dispatch"
)

// The attempt stays in flight while its DELETE waits for a connection or for a response. The policy receives no outcome yet,
// after which it could start another attempt.
func TestCancelWaitsForItsConnection(t *testing.T) {
	f := newFixture(t)
	request := f.acceptedAttempt()
	opened := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: request.ID})
	f.expect("not written yet", request)
	if len(*opened) != 1 {
		t.Fatalf("%d connections for a DELETE", len(*opened))
	}
	(*opened)[0].release()
	if f.runIterations(); !(*opened)[0].hasDelete(request) {
		t.Fatalf("the worker got %q, expected a DELETE", (*opened)[0].Received)
	}
	f.expect("no response yet", request)
	f.respondDelete((*opened)[0])
	f.expect("confirmed", request, dispatch.Cancelled)
}

// A DELETE whose connection is not established in time is sent on another one.
func TestCancelIsSentOnAnotherConnection(t *testing.T) {
	f := newFixture(t)
	request := f.acceptedAttempt()
	opened := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: request.ID})
	f.now += f.pool.connectTimeout
	f.runIterations()
	f.now += cancelRetryDelay
	f.runIterations()
	f.expect("the first connection was late", request)
	if len(*opened) != 2 {
		t.Fatalf("%d connections for a DELETE", len(*opened))
	}
	(*opened)[0].release()
	(*opened)[1].release()
	if f.runIterations(); (*opened)[0].hasDelete(request) || !(*opened)[1].hasDelete(request) {
		t.Errorf("the worker got %q and %q, expected a DELETE on the second connection only", (*opened)[0].Received, (*opened)[1].Received)
	}
	f.expect("no response yet", request)
	f.respondDelete((*opened)[1])
	f.expect("confirmed", request, dispatch.Cancelled)
}

// A DELETE whose connection is refused or reset is sent again.
func TestCancelIsSentAgainAfterAReset(t *testing.T) {
	f := newFixture(t)
	request := f.acceptedAttempt()
	opened := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: request.ID})
	(*opened)[0].Close()
	f.runIterations()
	f.expect("reset before its last byte", request)
	f.now += cancelRetryDelay
	f.runIterations()
	(*opened)[1].release()
	f.runIterations()
	f.expect("written", request)
	(*opened)[1].Read(1 << 12)
	(*opened)[1].Close() // without a response: the worker may not have received the DELETE
	f.runIterations()
	f.now += cancelRetryDelay
	f.runIterations()
	if len(*opened) != 3 {
		t.Fatalf("%d connections for a DELETE", len(*opened))
	}
	(*opened)[2].release()
	if f.runIterations(); !(*opened)[2].hasDelete(request) {
		t.Errorf("the worker got %q, expected a DELETE", (*opened)[2].Received)
	}
	f.expect("written again", request)
	f.respondDelete((*opened)[2])
	f.expect("at the end", request, dispatch.Cancelled)
}

// A worker that does not respond to a DELETE may be partitioned, and execute the attempt until its timeout.
func TestCancelWithoutResponse(t *testing.T) {
	f := newFixture(t)
	request := f.acceptedAttempt()
	opened := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: request.ID})
	(*opened)[0].release()
	f.runIterations()
	f.expect("no response yet", request)
	f.now += cancelTimeout
	f.runIterations()
	f.expect("no response in time", request)
	f.now = request.Deadline
	f.runIterations()
	f.expect("at the deadline", request, dispatch.TimedOut)
}

// A DELETE is sent on maxCancelAttempts connections at most. The attempt then stays in flight until its timeout.
func TestCancelThatIsNeverWritten(t *testing.T) {
	f := newFixture(t)
	request := f.acceptedAttempt()
	opened := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: request.ID})
	for range 2 * maxCancelAttempts {
		f.now += f.pool.connectTimeout
		f.runIterations()
		f.now += cancelRetryDelay
		f.runIterations()
	}
	f.expect("after the last try", request)
	if len(*opened) != maxCancelAttempts || f.pool.openCount != 0 || len(f.pool.cancelAttempts) != 0 {
		t.Errorf("%d connections, %d open, %d cancellations", len(*opened), f.pool.openCount, len(f.pool.cancelAttempts))
	}
	f.runActions(dispatch.Cancel{Job: request.ID}) // a second cancellation
	if len(*opened) != maxCancelAttempts+1 {
		t.Error("a second cancellation sends no DELETE")
	}
	f.now += 5 * time.Second
	f.runIterations()
	f.expect("at its deadline", request, dispatch.TimedOut)
}

// A DELETE waits until a connection may be opened.
func TestCancelWithoutDescriptor(t *testing.T) {
	f := newFixture(t)
	request := f.acceptedAttempt()
	limit := f.pool.maxConnections
	f.pool.SetMaxConnections(0)
	f.runActions(dispatch.Cancel{Job: request.ID})
	f.expect("at the limit of connections", request)
	f.pool.SetMaxConnections(limit)
	f.now += cancelRetryDelay
	if f.runIterations(); !f.dialed[len(f.dialed)-1].hasDelete(request) {
		t.Error("nothing is written below the limit of connections")
	}
	f.expect("no response yet", request)
	f.respondDelete(f.dialed[len(f.dialed)-1])
	f.expect("confirmed", request, dispatch.Cancelled)
}

// A DELETE is not written once the worker has reported the attempt as done.
func TestCancelOfCompletedAttempt(t *testing.T) {
	f := newFixture(t)
	request := f.acceptedAttempt()
	opened := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: request.ID})
	f.applyCallback(request, "done")
	f.expect("done", request, dispatch.OK)
	(*opened)[0].release()
	if f.runIterations(); (*opened)[0].hasDelete(request) || !(*opened)[0].Ended {
		t.Errorf("the worker got %q, expected no DELETE and the end of the connection", (*opened)[0].Received)
	}
	if len(f.pool.cancelAttempts) != 0 {
		t.Error("the cancellation is still kept")
	}
}

// A DELETE is written even if the attempt has timed out meanwhile: the attempt may still be queued at the worker.
func TestCancelAfterTimeout(t *testing.T) {
	f := newFixture(t)
	request := f.acceptedAttempt()
	f.now = request.Deadline - 10*time.Millisecond
	opened := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: request.ID})
	f.now = request.Deadline
	f.runIterations()
	f.expect("timed out", request, dispatch.TimedOut)
	(*opened)[0].release()
	if f.runIterations(); len(*opened) != 1 || !(*opened)[0].hasDelete(request) {
		t.Errorf("%d connections, the worker got %q", len(*opened), (*opened)[0].Received)
	}
}

// A DELETE is written even if the client has disconnected meanwhile.
func TestCancelAfterClientDisconnected(t *testing.T) {
	f := newFixture(t)
	request := f.acceptedAttempt()
	opened := f.delayConnections()
	f.runActions(dispatch.Cancel{Job: request.ID})
	f.table.ClientDisconnected(request)
	f.runIterations()
	(*opened)[0].release()
	if f.runIterations(); !(*opened)[0].hasDelete(request) {
		t.Errorf("the worker got %q, expected a DELETE", (*opened)[0].Received)
	}
	f.expect("no response yet", request)
	f.respondDelete((*opened)[0])
	f.expect("confirmed", request, dispatch.Cancelled)
}

// An attempt that is cancelled before its connection is established ends at once. The connection is closed, and nothing is
// written.
func TestAttemptAbandonedBeforeItIsWritten(t *testing.T) {
	f := newFixture(t)
	opened := f.delayConnections()
	request := f.sendAttempt(0)
	remote := (*opened)[0]
	f.runActions(dispatch.Cancel{Job: request.ID})
	f.expect("cancelled", request, dispatch.Cancelled)
	remote.release()
	f.runIterations()
	if remote.Read(1 << 12); !remote.Ended || len(remote.Received) != 0 || len(*opened) != 1 {
		t.Errorf("closed %v, %d bytes received, %d connections", remote.Ended, len(remote.Received), len(*opened))
	}
}

// The worker may accept a written attempt while its connection is being closed. Its cancellation therefore waits for the 202 and
// then sends a DELETE; the attempt ends with the response to the DELETE.
func TestCancelOfWrittenAttemptWaitsForAcceptance(t *testing.T) {
	f := newFixture(t)
	request := f.sendAttempt(0)
	f.runActions(dispatch.Cancel{Job: request.ID})
	f.expect("not accepted yet", request)
	remote := f.dialed[0]
	remote.Write([]byte("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"))
	f.runIterations()
	f.expect("accepted", request)
	last := f.dialed[len(f.dialed)-1]
	if last.Read(1 << 12); !last.hasDelete(request) {
		t.Fatalf("the worker got %q, expected a DELETE", last.Received)
	}
	f.respondDelete(last)
	f.expect("confirmed", request, dispatch.Cancelled)
	if len(f.pool.cancelAttempts) != 0 {
		t.Error("the cancellation is still kept")
	}
}

// A worker that does not accept a written attempt within acceptanceTimeout is assumed never to accept it: the attempt is
// cancelled by closing its connection.
func TestCancelOfUnacceptedAttempt(t *testing.T) {
	f := newFixture(t)
	request := f.sendAttempt(0)
	f.runActions(dispatch.Cancel{Job: request.ID})
	f.now += acceptanceTimeout - time.Millisecond
	f.runIterations()
	f.expect("not accepted yet", request)
	f.now += time.Millisecond
	f.runIterations()
	f.expect("not accepted in time", request, dispatch.Cancelled)
	remote := f.dialed[0]
	if remote.Read(1 << 12); !remote.Ended || len(f.dialed) != 1 || len(f.pool.cancelAttempts) != 0 {
		t.Errorf("closed %v, %d connections, %d cancellations", remote.Ended, len(f.dialed), len(f.pool.cancelAttempts))
	}
}

// No second attempt of a request is sent to a worker before the first one has ended or its cancellation is confirmed, even if the
// policy returns an action to send it.
func TestNoConcurrentAttemptsAtOneWorker(t *testing.T) {
	f := newFixture(t)
	request := f.sendAttempt(0)
	remote := f.dialed[0]
	secondSend := dispatch.Send{Job: request.ID, Worker: f.workerNumber()}
	f.runActions(secondSend)
	f.expect("before the 202", request, dispatch.NotSent)
	remote.Read(1 << 12)
	remote.Write([]byte(acceptedResponse))
	f.runIterations()
	f.runActions(secondSend)
	opened := f.delayConnections()
	remote.Close()
	f.runActions(dispatch.Cancel{Job: request.ID}, secondSend)
	f.expect("while it is being cancelled", request, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent)
	if len(*opened) != 1 {
		t.Fatalf("%d connections were opened for a DELETE, expected 1", len(*opened))
	}
	(*opened)[0].release()
	f.runIterations()
	(*opened)[0].Read(1 << 12)
	f.runActions(secondSend)
	f.expect("no response yet", request, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent)
	f.respondDelete((*opened)[0])
	(*opened)[0].Close()
	f.runIterations()
	f.runActions(secondSend)
	f.expect("once it is cancelled", request, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent, dispatch.NotSent, dispatch.Cancelled)
	if len(*opened) != 2 {
		t.Errorf("%d connections, expected 2: the new attempt is not sent", len(*opened))
	}
}
