package scheduler

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/http1"
	"valvecove/internal/modeltest"
	"valvecove/internal/requests"
)

// A hot restart may happen at any byte of a request, of an attempt, of a worker's response or of a response to the client. A
// client on one connection receives each response once, and workers receive each attempt once and completely. The wall clock is
// stepped before each start.
func FuzzHotRestart(f *testing.F) {
	modeltest.Fuzz(f, func(choices *modeltest.Steps) {
		model := newHotRestartModel(choices)
		for choices.More() {
			model.step(choices.Pick(10))
			model.exchange(1 + choices.Pick(4)*3000)
		}
		for range 20 { // until all that was sent in the steps is received
			model.exchange(1 << 16)
		}
		choices.Check(!model.inFlight || model.attempts == model.requested, "an attempt was not received completely")
		lost := model.unsent == "" && model.requested != model.answered && model.scheduler.Requests.OpenCount() != 1
		choices.Check(!lost, "a request is lost")
	})
}

// hotRestartModel is one client and one worker, with a scheduler that is replaced by hot restarts.
type hotRestartModel struct {
	*harness // the serving process
	dir      string
	address  netip.AddrPort
	workerID uint64
	client   *peer
	workers  []*peer // the remote ends of worker connections of all processes; the last one has received the latest attempt

	restarts  int
	requested int    // number of requests that the client has begun to send, which is the number of the latest
	attempts  int    // number of attempts that the worker has received
	answered  int    // number of requests that the worker has completed
	unsent    string // rest of the request that the client is sending
	response  string // rest of the response that the worker is sending
	received  string // what the client must have received
	inFlight  bool   // the latest request was sent to the worker, which has not completed it
	cordoned  bool
}

func newHotRestartModel(choices *modeltest.Steps) *hotRestartModel {
	model := &hotRestartModel{dir: choices.T.TempDir()}
	model.harness, model.address = newPredecessorHarness(choices, model.dir)
	model.workerID = model.workerNumber()
	client, socket := model.socketPair()
	model.client = client
	model.scheduler.clients.AddConnection(socket, netip.MustParseAddrPort("127.0.0.1:9"))
	return model
}

// step takes the first possible step that the choice selects.
func (h *hotRestartModel) step(choice int) {
	for _, option := range []struct {
		chosen bool
		do     func()
	}{
		{choice == 0, h.restart},
		{choice < 4 && h.canRequest(), h.beginRequest},
		{h.unsent != "", h.writeRequest},
		{choice < 6 && h.canSend(), h.sendAttempt},
		{choice >= 5 && h.response != "", h.writeResponse},
		{choice >= 6 && h.canComplete(), h.complete},
		{choice == 8, func() { h.now += 20 * time.Millisecond }},
		{choice == 9 && !h.inFlight, h.toggleCordon},
	} {
		if option.chosen {
			option.do()
			return
		}
	}
}

func (h *hotRestartModel) canRequest() bool {
	return h.unsent == "" && h.response == "" && !h.inFlight && h.attempts == h.requested
}

func (h *hotRestartModel) canSend() bool {
	return h.attempts < h.requested && !h.inFlight && !h.cordoned && h.scheduler.Requests.OpenCount() == 1
}

func (h *hotRestartModel) canComplete() bool {
	return h.response == "" && h.inFlight && h.attempts == h.requested
}

func (h *hotRestartModel) restart() {
	successor := h.startSuccessorAfterStep(h.dir, h.address, clockSteps[h.restarts%len(clockSteps)])
	h.restarts++
	err := h.handOverTo(successor)
	h.Check(err == nil, "hot restart: %v", err)
	h.Check(h.scheduler.hasRelinquished() && successor.scheduler.restart.AwaitsSuccessor(), "the successor has not replaced the predecessor")
	h.harness = successor
	h.Record("restart")
}

func (h *hotRestartModel) beginRequest() {
	h.requested++
	body := strings.Repeat("x", h.bodySize())
	h.unsent = fmt.Sprintf("POST /a/%d HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: q%d\r\nX-Caller: t\r\nContent-Length: %d\r\n\r\n%s",
		h.requested, h.requested, len(body), body)
	h.Record("begin request")
}

// bodySize returns the size of the latest request's body.
func (h *hotRestartModel) bodySize() int { return 15000 * (h.requested % 3) }

func (h *hotRestartModel) callID() string { return fmt.Sprint("q", h.requested) }

func (h *hotRestartModel) writeRequest() {
	size := min(len(h.unsent), 1+h.Pick(8)*h.Pick(200)*30)
	h.client.Write([]byte(h.unsent[:size]))
	h.unsent = h.unsent[size:]
	h.Record(fmt.Sprint("write ", size))
}

func (h *hotRestartModel) sendAttempt() {
	id := uint64(h.requested)
	h.Check(h.scheduler.Requests.Request(id) != nil, "request %d has another number", id)
	h.policy.Next = []dispatch.Action{dispatch.Send{Job: id, Worker: h.workerID}}
	h.scheduler.Requests.Wake()
	h.inFlight = true
	h.Record("send")
}

func (h *hotRestartModel) writeResponse() {
	size := min(len(h.response), 1+h.Pick(len(h.response)))
	h.workers[len(h.workers)-1].Write([]byte(h.response[:size]))
	h.response = h.response[size:]
	h.Record("respond")
}

func (h *hotRestartModel) complete() {
	result := "made of " + h.callID()
	callback := requests.Callback{CallID: h.callID(), EndpointID: "s-0", State: "done", Result: &result}
	_, _ = h.scheduler.Requests.HandleCallback(callback)
	h.received += fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(result), result)
	h.inFlight = false
	h.answered++
	h.Record("complete")
}

func (h *hotRestartModel) toggleCordon() {
	h.cordoned = !h.cordoned
	if h.cordoned {
		h.scheduler.Requests.Cordon("s-0")
	} else {
		h.scheduler.Requests.Uncordon("s-0")
	}
	h.Record("cordon or uncordon")
}

// exchange runs the loop, and lets the worker read up to readSize bytes of each connection, and the client all that it has
// received.
func (h *hotRestartModel) exchange(readSize int) {
	h.runIterations()
	cordoned := h.scheduler.Requests.Cordoned()
	h.Check((len(cordoned) == 1) == h.cordoned, "cordoned %v, which differs from the model", cordoned)
	for _, connection := range h.dialed {
		if connection.dialedAddress != h.scheduler.watch.Server() { // a process that takes over connects to discovery too
			h.workers = append(h.workers, connection)
		}
	}
	h.dialed = nil
	h.readAttempt(readSize)
	h.client.Read(1 << 16)
	h.Check(string(h.client.Received) == h.received && !h.client.Ended, "the client received %q, expected %q", h.client.Received, h.received)
}

// readAttempt reads worker connections until a complete attempt was received on one of them.
func (h *hotRestartModel) readAttempt(readSize int) {
	last := len(h.workers) - 1
	for i, connection := range h.workers {
		connection.Read(readSize)
		var message http1.Request
		size, err := message.Parse(connection.Received)
		if err != nil {
			continue
		}
		whole := string(message.Get("X-Call-Id")) == h.callID() && len(message.Body) == h.bodySize() && size == len(connection.Received)
		h.Check(whole, "the worker received %q, expected exactly the latest attempt", connection.Received)
		connection.Received = nil
		h.attempts++
		h.Check(h.attempts == h.requested, "%d attempts of %d requests", h.attempts, h.requested)
		h.workers[i], h.workers[last] = h.workers[last], h.workers[i]
		h.response = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
		return
	}
}
