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

// Wherever a hot restart cuts the bytes of a request, of an attempt, of a worker's response or of what has been answered, one
// client on one connection gets each response once, and workers get each attempt once and whole. The wall clock is stepped
// before each start.
func FuzzHotRestart(f *testing.F) {
	modeltest.Fuzz(f, func(choices *modeltest.Steps) {
		model := newHotRestartModel(choices)
		for choices.More() {
			model.step(choices.Pick(10))
			model.exchange(1 + choices.Pick(4)*3000)
		}
		for range 20 { // whatever was under way when the steps ended gets there
			model.exchange(1 << 16)
		}
		choices.Check(!model.inFlight || model.attempts == model.requested, "an attempt did not come whole")
		lost := model.unsent == "" && model.requested != model.answered && model.scheduler.Requests.OpenCount() != 1
		choices.Check(!lost, "a request is lost")
	})
}

// hotRestartModel is one client and one worker, which go through several processes, one after the other.
type hotRestartModel struct {
	*harness // of the process that serves
	dir      string
	address  netip.AddrPort
	workerID uint64
	client   *peer
	workers  []*peer // the far ends of worker connections, of all processes; the last has had the latest attempt

	restarts  int
	requested int    // requests that the client has begun to send; they are numbered from 1
	attempts  int    // that came to the worker
	answered  int    // requests that the worker is done with
	unsent    string // rest of the request that the client is sending
	response  string // rest of the response that the worker is sending
	received  string // what the client must have read
	inFlight  bool   // the latest request was sent to the worker, which is not done with it
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

// step does the first thing that the choice stands for and that is possible.
func (m *hotRestartModel) step(choice int) {
	for _, option := range []struct {
		chosen bool
		do     func()
	}{
		{choice == 0, m.restart},
		{choice < 4 && m.canRequest(), m.beginRequest},
		{m.unsent != "", m.writeRequest},
		{choice < 6 && m.canSend(), m.sendAttempt},
		{choice >= 5 && m.response != "", m.writeResponse},
		{choice >= 6 && m.canComplete(), m.complete},
		{choice == 8, func() { m.now += 20 * time.Millisecond }},
		{choice == 9 && !m.inFlight, m.toggleCordon},
	} {
		if option.chosen {
			option.do()
			return
		}
	}
}

func (m *hotRestartModel) canRequest() bool {
	return m.unsent == "" && m.response == "" && !m.inFlight && m.attempts == m.requested
}

func (m *hotRestartModel) canSend() bool {
	return m.attempts < m.requested && !m.inFlight && !m.cordoned && m.scheduler.Requests.OpenCount() == 1
}

func (m *hotRestartModel) canComplete() bool {
	return m.response == "" && m.inFlight && m.attempts == m.requested
}

func (m *hotRestartModel) restart() {
	successor := m.startSuccessorAfterStep(m.dir, m.address, clockSteps[m.restarts%len(clockSteps)])
	m.restarts++
	err := m.handOverTo(successor)
	m.Check(err == nil, "hot restart: %v", err)
	m.Check(m.scheduler.hasRelinquished() && successor.scheduler.restart.AwaitsSuccessor(), "not replaced")
	m.harness = successor
	m.Record("restart")
}

func (m *hotRestartModel) beginRequest() {
	m.requested++
	body := strings.Repeat("x", m.bodySize())
	m.unsent = fmt.Sprintf("POST /a/%d HTTP/1.1\r\nX-Call-Class: a\r\nX-Call-Id: q%d\r\nX-Caller: t\r\nContent-Length: %d\r\n\r\n%s",
		m.requested, m.requested, len(body), body)
	m.Record("begin request")
}

// bodySize is that of the latest request.
func (m *hotRestartModel) bodySize() int { return 15000 * (m.requested % 3) }

func (m *hotRestartModel) callID() string { return fmt.Sprint("q", m.requested) }

func (m *hotRestartModel) writeRequest() {
	size := min(len(m.unsent), 1+m.Pick(8)*m.Pick(200)*30)
	m.client.Write([]byte(m.unsent[:size]))
	m.unsent = m.unsent[size:]
	m.Record(fmt.Sprint("write ", size))
}

func (m *hotRestartModel) sendAttempt() {
	id := uint64(m.requested)
	m.Check(m.scheduler.Requests.Request(id) != nil, "request %d has another number", id)
	m.policy.Next = []dispatch.Action{dispatch.Send{Job: id, Worker: m.workerID}}
	m.scheduler.Requests.Wake()
	m.inFlight = true
	m.Record("send")
}

func (m *hotRestartModel) writeResponse() {
	size := min(len(m.response), 1+m.Pick(len(m.response)))
	m.workers[len(m.workers)-1].Write([]byte(m.response[:size]))
	m.response = m.response[size:]
	m.Record("respond")
}

func (m *hotRestartModel) complete() {
	result := "made of " + m.callID()
	callback := requests.Callback{CallID: m.callID(), EndpointID: "s-0", State: "done", Result: &result}
	_, _ = m.scheduler.Requests.HandleCallback(callback)
	m.received += fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(result), result)
	m.inFlight = false
	m.answered++
	m.Record("complete")
}

func (m *hotRestartModel) toggleCordon() {
	m.cordoned = !m.cordoned
	if m.cordoned {
		m.scheduler.Requests.Cordon("s-0")
	} else {
		m.scheduler.Requests.Uncordon("s-0")
	}
	m.Record("cordon or uncordon")
}

// exchange runs the loop, and reads what has come to the worker, at most so many bytes of a connection, and to the client.
func (m *hotRestartModel) exchange(readSize int) {
	m.runIterations()
	cordoned := m.scheduler.Requests.Cordoned()
	m.Check((len(cordoned) == 1) == m.cordoned, "cordoned %v", cordoned)
	for _, connection := range m.dialed {
		if connection.dialedAddress != m.scheduler.watch.Server() { // a process that takes over connects to discovery too
			m.workers = append(m.workers, connection)
		}
	}
	m.dialed = nil
	m.readAttempt(readSize)
	m.client.Read(1 << 16)
	m.Check(string(m.client.Received) == m.received && !m.client.Ended, "the client has %q, expected %q", m.client.Received, m.received)
}

// readAttempt reads worker connections until one has brought a whole attempt.
func (m *hotRestartModel) readAttempt(readSize int) {
	last := len(m.workers) - 1
	for i, connection := range m.workers {
		connection.Read(readSize)
		var message http1.Request
		size, err := message.Parse(connection.Received)
		if err != nil {
			continue
		}
		whole := string(message.Get("X-Call-Id")) == m.callID() && len(message.Body) == m.bodySize() && size == len(connection.Received)
		m.Check(whole, "attempt %q", connection.Received)
		connection.Received = nil
		m.attempts++
		m.Check(m.attempts == m.requested, "%d attempts of %d requests", m.attempts, m.requested)
		m.workers[i], m.workers[last] = m.workers[last], m.workers[i]
		m.response = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
		return
	}
}
