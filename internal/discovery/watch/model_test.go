package watch

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/discovery"
	"valvecove/internal/modeltest"
)

// watchModel is a fixture with a simulated discovery service, and the events that the service has sent.
type watchModel struct {
	*fixture
	server  *server
	unsent  string // part of the response that is not sent yet
	sent    []int  // revisions of the events that were added to the response
	lost    bool   // the watch was broken, and the loss must be reported
	ignored int    // number of events that the policy received before the watch was opened
}

func newWatchModel(choices *modeltest.Steps) *watchModel {
	model := &watchModel{fixture: newFixture(choices, discovery.Config{PollInterval: 10 * time.Second}, minRandom), unsent: watchResponse}
	model.policy.Next = append(model.policy.Next, dispatch.Subscribe{})
	model.table.DiscoveryFailed()
	model.RunIterations()
	model.server = model.dialed[0]
	model.server.Read(1 << 12)
	request := model.server.Received
	model.Check(strings.HasPrefix(string(request), "GET /discovery/hosts?stream=1&index=0 "), "requested %q", request)
	model.ignored = len(model.policy.Received)
	return model
}

// step executes one random step.
func (w *watchModel) step() {
	switch w.Pick(7) {
	case 0, 1:
		w.queueEvent()
	case 2:
		w.sendAll()
	case 3, 4:
		w.sendPart()
	case 5:
		if w.lost = w.Pick(3) == 0; w.lost {
			w.breakWatch()
		}
	case 6:
		w.changeServer()
	}
	w.Time += time.Millisecond
	w.RunIterations()
}

// queueEvent adds the next event to the unsent response, in two chunks.
func (w *watchModel) queueEvent() {
	revision := 1
	if len(w.sent) > 0 {
		revision = w.sent[len(w.sent)-1] + 1
	}
	line := fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[{"instanceId":"s-%d"}]}`+"\n", revision, revision)
	cut := w.Pick(len(line)-1) + 1
	w.unsent += chunk(line[:cut]) + chunk(line[cut:])
	w.sent = append(w.sent, revision)
}

// sendAll sends the unsent response and an empty line, and advances the time by less than the time limit of a line.
func (w *watchModel) sendAll() {
	w.server.Write([]byte(w.unsent + chunk("\n")))
	w.unsent = ""
	w.RunIterations()
	w.Time += 2 * time.Second
}

func (w *watchModel) sendPart() {
	size := min(len(w.unsent), w.Pick(90))
	w.server.Write([]byte(w.unsent[:size]))
	w.unsent = w.unsent[size:]
}

// breakWatch ends the watch by silence, by the end of the connection, or by malformed input.
func (w *watchModel) breakWatch() {
	w.server.Write([]byte(w.unsent))
	w.unsent = ""
	w.RunIterations()
	switch w.Pick(3) {
	case 0:
		w.server.Write([]byte(chunk("\n")))
		w.RunIterations()
		w.Time += 3 * time.Second // the server must send a line every 2 s
	case 1:
		w.server.Close()
	default:
		w.server.Write([]byte(chunk("}") + chunk("\n"))) // an opening brace would be valid: it may start an indented event
	}
}

// changeServer configures another server. Later input from the previous server, or its end, must have no effect.
func (w *watchModel) changeServer() {
	w.server.Write([]byte(w.unsent))
	w.RunIterations()
	previous := w.server
	address := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(len(w.dialed)))
	w.watch.ChangeServer(address)
	previous.Write([]byte(chunk("{") + chunk("\n")))
	if w.Pick(2) == 0 {
		previous.Close()
	}
	w.RunIterations()
	w.server = w.dialed[len(w.dialed)-1]
	w.server.Read(1 << 12)
	previous.Read(1 << 12)
	w.Check(w.server != previous && w.server.address == address && strings.Contains(string(w.server.Received), "&index=0 "),
		"after a change of the server: connected to %v, requested %q", w.server.address, w.server.Received)
	w.Check(previous.Closed || previous.Ended, "the connection to the previous server is still open")
	w.unsent = watchResponse
}

// check compares the list updates that the policy has received with the events that were sent.
func (w *watchModel) check() {
	unseen := w.sent
	for _, event := range w.policy.Received[w.ignored:] {
		list := event.(dispatch.WorkerList)
		if list.Kind == dispatch.ListUnavailable {
			w.Check(w.lost, "the list is reported as unavailable, and the watch was not broken")
			w.lost = false
			continue
		}
		w.Check(len(unseen) > 0, "the policy received an update that was not sent")
		if w.table.Endpoint(list.Workers[0].ID).ID == fmt.Sprint("s-", unseen[0]) {
			unseen = unseen[1:]
		}
	}
	w.Check(!w.lost && len(unseen) == 0, "not reported: loss of the watch %v, updates with revisions %v", w.lost, unseen)
}

// A watch reads lines that are received in any pieces, and reports each update once, in order. The list is reported as
// unavailable if the watch ends, is broken by malformed input, or receives no more lines.
func FuzzWatch(f *testing.F) {
	modeltest.Fuzz(f, func(choices *modeltest.Steps) {
		model := newWatchModel(choices)
		for choices.More() && !model.lost {
			model.step()
		}
		model.server.Write([]byte(model.unsent))
		model.RunIterations()
		model.check()
	})
}
