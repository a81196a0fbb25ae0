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

// watchModel is a discovery service that one loop watches, and what it has sent.
type watchModel struct {
	*fixture
	server  *server
	unsent  string
	sent    []int // revisions of the events sent or to be sent, and not checked yet
	lost    bool  // the watch has been broken
	ignored int   // how many events the policy had received before the watch
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

// step does one thing at random.
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

// queueEvent has the next event sent, in two chunks.
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

// sendAll sends all and an empty line: while lines come in time, a watch lives on.
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

// breakWatch ends the watch by silence, by the end of the connection, or by what can't be read.
func (w *watchModel) breakWatch() {
	w.server.Write([]byte(w.unsent))
	w.unsent = ""
	w.RunIterations()
	switch w.Pick(3) {
	case 0:
		w.server.Write([]byte(chunk("\n")))
		w.RunIterations()
		w.Time += 3 * time.Second // a line is due every 2 s
	case 1:
		w.server.Close()
	default:
		w.server.Write([]byte(chunk("}") + chunk("\n"))) // a brace that opens might be an indented list
	}
}

// changeServer has another service watched: whatever the one before still does or sends is not the new one's.
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
		"moved to %v, requested %q", w.server.address, w.server.Received)
	w.Check(previous.Closed || previous.Ended, "the connection to the previous server goes on")
	w.unsent = watchResponse
}

// check compares the list updates of the policy with what was sent.
func (w *watchModel) check() {
	unseen := w.sent
	for _, event := range w.policy.Received[w.ignored:] {
		list := event.(dispatch.WorkerList)
		if list.Kind == dispatch.ListUnavailable {
			w.Check(w.lost, "the list is reported as lost, and is not")
			w.lost = false
			continue
		}
		w.Check(len(unseen) > 0, "an update that was not sent")
		if w.table.Endpoint(list.Workers[0].ID).ID == fmt.Sprint("s-", unseen[0]) {
			unseen = unseen[1:]
		}
	}
	w.Check(!w.lost && len(unseen) == 0, "loss not reported %v, updates not reported %v", w.lost, unseen)
}

// A watch takes lines in any pieces and reports each update once, in order; one that ends, breaks off or falls silent is
// reported as lost.
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
