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
func (m *watchModel) step() {
	switch m.Pick(7) {
	case 0, 1:
		m.queueEvent()
	case 2:
		m.sendAll()
	case 3, 4:
		m.sendPart()
	case 5:
		if m.lost = m.Pick(3) == 0; m.lost {
			m.breakWatch()
		}
	case 6:
		m.changeServer()
	}
	m.Time += time.Millisecond
	m.RunIterations()
}

// queueEvent has the next event sent, in two chunks.
func (m *watchModel) queueEvent() {
	revision := 1
	if len(m.sent) > 0 {
		revision = m.sent[len(m.sent)-1] + 1
	}
	line := fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[{"instanceId":"s-%d"}]}`+"\n", revision, revision)
	cut := m.Pick(len(line)-1) + 1
	m.unsent += chunk(line[:cut]) + chunk(line[cut:])
	m.sent = append(m.sent, revision)
}

// sendAll sends all and an empty line: while lines come in time, a watch lives on.
func (m *watchModel) sendAll() {
	m.server.Write([]byte(m.unsent + chunk("\n")))
	m.unsent = ""
	m.RunIterations()
	m.Time += 2 * time.Second
}

func (m *watchModel) sendPart() {
	size := min(len(m.unsent), m.Pick(90))
	m.server.Write([]byte(m.unsent[:size]))
	m.unsent = m.unsent[size:]
}

// breakWatch ends the watch by silence, by the end of the connection, or by what can't be read.
func (m *watchModel) breakWatch() {
	m.server.Write([]byte(m.unsent))
	m.unsent = ""
	m.RunIterations()
	switch m.Pick(3) {
	case 0:
		m.server.Write([]byte(chunk("\n")))
		m.RunIterations()
		m.Time += 3 * time.Second // a line is due every 2 s
	case 1:
		m.server.Close()
	default:
		m.server.Write([]byte(chunk("}") + chunk("\n"))) // a brace that opens might be an indented list
	}
}

// changeServer has another service watched: whatever the one before still does or sends is not the new one's.
func (m *watchModel) changeServer() {
	m.server.Write([]byte(m.unsent))
	m.RunIterations()
	previous := m.server
	address := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(len(m.dialed)))
	m.watch.ChangeServer(address)
	previous.Write([]byte(chunk("{") + chunk("\n")))
	if m.Pick(2) == 0 {
		previous.Close()
	}
	m.RunIterations()
	m.server = m.dialed[len(m.dialed)-1]
	m.server.Read(1 << 12)
	previous.Read(1 << 12)
	m.Check(m.server != previous && m.server.address == address && strings.Contains(string(m.server.Received), "&index=0 "),
		"moved to %v, requested %q", m.server.address, m.server.Received)
	m.Check(previous.Closed || previous.Ended, "the connection to the previous server goes on")
	m.unsent = watchResponse
}

// check compares the list updates of the policy with what was sent.
func (m *watchModel) check() {
	unseen := m.sent
	for _, event := range m.policy.Received[m.ignored:] {
		list := event.(dispatch.WorkerList)
		if list.Kind == dispatch.ListUnavailable {
			m.Check(m.lost, "the list is reported as lost, and is not")
			m.lost = false
			continue
		}
		m.Check(len(unseen) > 0, "an update that was not sent")
		if m.table.Endpoint(list.Workers[0].ID).ID == fmt.Sprint("s-", unseen[0]) {
			unseen = unseen[1:]
		}
	}
	m.Check(!m.lost && len(unseen) == 0, "loss not reported %v, updates not reported %v", m.lost, unseen)
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
