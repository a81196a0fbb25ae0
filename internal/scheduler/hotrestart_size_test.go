package scheduler

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"valvecove/dispatch"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

const (
	pipelinedRequests = 16      // as many as a connection handles ahead of responses
	largeResult       = 64_000  // bytes
	removedEndpoints  = 1 << 14 // as many as a request table remembers
)

// pipelineRequests makes a client send requests on one connection. All but the first are completed with large results, which wait
// for the response to the first.
func (h *harness) pipelineRequests(address netip.AddrPort) *peer {
	client, socket := h.socketPair()
	h.scheduler.clients.AddConnection(socket, address)
	for n := range pipelinedRequests {
		client.Write([]byte(requestOfSize(n, 0)))
	}
	h.runIterations()
	for n := range pipelinedRequests {
		h.policy.Next = append(h.policy.Next, dispatch.Send{Job: uint64(n + 1), Worker: h.workerNumber()})
	}
	h.scheduler.Requests.Wake()
	h.runIterations()
	for n := 1; n < pipelinedRequests; n++ {
		h.completeRequest(n)
	}
	return client
}

// completeRequest notifies the scheduler that a pipelined request is done.
func (h *harness) completeRequest(n int) {
	result := strings.Repeat("r", largeResult)
	callback := requests.Callback{CallID: fmt.Sprint(n), EndpointID: "s-0", State: "done", Result: &result}
	_, _ = h.scheduler.Requests.HandleCallback(callback)
	h.runIterations()
}

// removeEndpoints lists workers and then removes them.
func (h *harness) removeEndpoints(count int) {
	list := requests.EndpointList{Revision: 1}
	for n := range count {
		id := fmt.Sprintf("s-removed-%08d", n)
		list.Endpoints = append(list.Endpoints, requests.Endpoint{ID: id, Addr: "10.20.30.40:50000", Lifecycle: "up", MachineType: "std-4c"})
	}
	h.scheduler.Requests.UpdateEndpoints(list)
	h.runIterations()
	list.Revision++
	for i := range list.Endpoints {
		list.Endpoints[i].Lifecycle = "removed"
	}
	h.scheduler.Requests.UpdateEndpoints(list)
	h.runIterations()
}

// expectResults reads the responses of a client that has pipelined requests.
func (h *harness) expectResults(client *peer) {
	h.T.Helper()
	for received := -1; len(client.Received) > received; { // the socket does not hold all of them
		received = len(client.Received)
		client.Read(1 << 21)
		h.runIterations()
	}
	for n := range pipelinedRequests {
		var response http1.Response
		size, err := response.Parse(client.Received, client.Ended)
		if err != nil || response.StatusCode != 200 || len(response.Body) != largeResult {
			h.T.Fatalf("response %d: status %d, %d bytes, %v", n, response.StatusCode, len(response.Body), err)
		}
		client.Received = client.Received[size:]
	}
}

// A connection whose response slots are full of large results is larger than a frame, and is transferred. Such a transfer failed
// each time, and the requests of all clients were lost.
func TestFullResponseSlotsAreTransferred(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	client := predecessor.pipelineRequests(address)
	successor := predecessor.startSuccessor(dir, address)
	if err := predecessor.handOverTo(successor); err != nil {
		t.Fatal(err)
	}
	successor.completeRequest(0)
	successor.expectResults(client)
}

// A request table that remembers many removed workers is larger than a frame, and is transferred. Such a transfer failed each time.
func TestRemovedEndpointsAreTransferred(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	predecessor.removeEndpoints(removedEndpoints)
	successor := predecessor.startSuccessor(dir, address)
	if err := predecessor.handOverTo(successor); err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{0, removedEndpoints - 1} {
		id := fmt.Sprintf("s-removed-%08d", n)
		if _, known := successor.scheduler.Requests.WorkerNumber(id); !known {
			t.Errorf("the successor has forgotten removed worker %s", id)
		}
	}
}

// Guards against two processes that both keep the bodies of requests after a hot restart, and exceed the memory limit together.
func TestPredecessorDropsPayloads(t *testing.T) {
	dir := t.TempDir()
	predecessor, address := newPredecessorHarness(&modeltest.Steps{T: t}, dir)
	client, socket := predecessor.socketPair()
	predecessor.scheduler.clients.AddConnection(socket, address)
	client.Write([]byte(requestOfSize(0, largeResult)))
	predecessor.runIterations()
	successor := predecessor.startSuccessor(dir, address)
	if err := predecessor.handOverTo(successor); err != nil {
		t.Fatal(err)
	}
	if size := predecessor.scheduler.Requests.PayloadBytes(); size != 0 {
		t.Errorf("the predecessor keeps %d bytes of requests", size)
	}
	if size := successor.scheduler.Requests.PayloadBytes(); size != largeResult {
		t.Errorf("the successor has %d bytes of requests, expected %d", size, largeResult)
	}
}
