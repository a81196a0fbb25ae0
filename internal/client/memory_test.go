package client

import (
	"fmt"
	"strings"
	"testing"

	"valvecove/dispatch"
	"valvecove/internal/eventloop/eventlooptest"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// sendToWorker has the policy send all open requests that have no attempt yet, and returns their call IDs.
func (f *fixture) sendToWorker(isSent map[uint64]bool) (callIDs []string) {
	_, open := f.table.Snapshot()
	for _, request := range open {
		if !isSent[request.ID] {
			isSent[request.ID] = true
			f.policy.Next = append(f.policy.Next, dispatch.Send{Job: request.ID, Worker: f.workerNumber()})
			callIDs = append(callIDs, request.CallID)
		}
	}
	f.table.Wake()
	f.runUntilIdle()
	return callIDs
}

// passResult passes the result of a request to the table.
func (f *fixture) passResult(callID, result string) {
	callback := requests.Callback{CallID: callID, EndpointID: "s-0", State: "done", Result: &result}
	if known, err := f.table.HandleCallback(callback); !known || err != nil {
		f.T.Fatalf("the result of request %s is not taken: %v", callID, err)
	}
	f.runUntilIdle()
}

// checkHeldBytes compares the count of the memory for responses with what the connections hold, and with its limit.
func (f *fixture) checkHeldBytes() {
	f.T.Helper()
	held, reserved := 0, 0
	for c := range f.listener.connections {
		reserved += c.responseBytes()
		for _, slot := range c.slots {
			held += len(slot.body)
		}
	}
	if reserved != f.listener.heldBytes {
		f.T.Fatalf("%d bytes are reserved, %d counted", reserved, f.listener.heldBytes)
	}
	if limit := f.listener.maxBufferedBytes; held > limit {
		f.T.Fatalf("%d bytes of results wait for their turn, at most %d allowed", held, limit)
	}
}

// Results that wait for the responses before them stay within the limit on memory, however many clients pipeline requests behind a long
// one. The process was killed for memory, with all requests. Every request gets its result in its turn.
func TestWaitingResultsStayWithinLimit(t *testing.T) {
	const clients, pipelined, resultSize = 20, 16, 64_000
	f := newFixture(&modeltest.Steps{T: t})
	limits := testLimits(1000)
	f.listener.SetLimits(limits)
	result := strings.Repeat("r", resultSize)
	var peers []*eventlooptest.Peer
	var long []string // the first request of each client
	isSent := map[uint64]bool{}
	for n := range clients {
		peer := f.openConnection()
		peers = append(peers, peer)
		for i := range pipelined {
			peer.Write([]byte(requestOfSize(n*pipelined+i, 0)))
		}
		f.runUntilIdle()
		long = append(long, fmt.Sprint(n*pipelined))
	}
	complete := func(isLong bool) (count int) {
		for _, callID := range f.sendToWorker(isSent) {
			var number int
			_, _ = fmt.Sscan(callID, &number)
			if !isLong && number%pipelined == 0 {
				continue
			}
			f.passResult(callID, result)
			f.checkHeldBytes()
			count++
		}
		return count
	}
	for complete(false) > 0 {
	}
	for _, callID := range long {
		f.passResult(callID, result)
		for _, peer := range peers {
			peer.Read(1 << 22)
		}
		f.checkHeldBytes()
	}
	for complete(true) > 0 || f.table.OpenCount() > 0 {
		for _, peer := range peers {
			peer.Read(1 << 22)
		}
	}
	for n, peer := range peers {
		if got := f.readResults(peer); got != pipelined {
			t.Errorf("client %d got %d results, expected %d", n, got, pipelined)
		}
	}
}

// readResults reads all responses of a peer, and returns how many are results.
func (f *fixture) readResults(peer *eventlooptest.Peer) (count int) {
	for received := -1; len(peer.Received) > received; {
		received = len(peer.Received)
		peer.Read(1 << 22)
		f.runUntilIdle()
	}
	var response http1.Response
	for len(peer.Received) > 0 {
		size, err := response.Parse(peer.Received, peer.Ended)
		if err != nil || response.StatusCode != 200 {
			f.T.Fatalf("response %d: status %d, %v", count, response.StatusCode, err)
		}
		peer.Received = peer.Received[size:]
		count++
	}
	return count
}

// Guards against a process that holds more than fits twice while it is replaced: payloads and waiting responses share their limits.
func TestPayloadsAndResponsesStayWithinLimit(t *testing.T) {
	const clients, pipelined, payloadSize = 40, 3, 60_000
	f := newFixture(&modeltest.Steps{T: t})
	f.listener.SetLimits(testLimits(1000))
	for n := range clients {
		peer := f.openConnection()
		for i := range pipelined {
			peer.Write([]byte(requestOfSize(n*pipelined+i, payloadSize)))
			f.runUntilIdle()
		}
		held := f.table.PayloadBytes() + f.listener.heldBytes
		if limit := 2 * f.listener.maxBufferedBytes; held > limit {
			t.Fatalf("%d clients: %d bytes of payloads and responses, at most %d allowed", n+1, held, limit)
		}
	}
	if f.table.PayloadBytes() <= f.listener.maxBufferedBytes {
		t.Errorf("%d bytes of payloads: they do not use what responses leave", f.table.PayloadBytes())
	}
}
