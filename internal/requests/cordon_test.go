package requests

import (
	"log/slog"
	"slices"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/steps"
)

// Bans are of an id, not of a count; they hold for what the list does not name now, and for a module that starts anew.
// Nothing is sent against one, even if the module wants it.
func FuzzCordons(f *testing.F) {
	steps.Fuzz(f, func(s *steps.Steps) {
		module := &steps.Script{}
		carried := &recordingTransport{abandoned: map[*Attempt]bool{}}
		l := New(6, NameTable{Classes: []string{"a"}}, func() Policy { return module }, EndpointList{Endpoints: []Endpoint{
			{ID: "s-0", Lifecycle: "up"},
			{ID: "s-1", Lifecycle: "up"},
			{ID: "s-2", Lifecycle: "up"},
		}}, carried, slog.New(slog.DiscardHandler))
		out, n := map[string]bool{}, 0
		for s.More() {
			id := "s-" + strconv.Itoa(s.Pick(4))
			switch what := s.Pick(6); what {
			case 0, 1:
				known, full := l.Cordon(id)
				s.Check(known == (id != "s-3") && !full, "suspend %s: known %v, full %v", id, known, full)
				if known {
					out[id] = true
				}
			case 2:
				s.Check(l.Uncordon(id) == (id != "s-3"), "restore %s", id)
				delete(out, id)
			case 3:
				l.UpdateEndpoints(EndpointList{Reset: true, Endpoints: []Endpoint{{ID: "s-1", Lifecycle: "up", StartedAtMs: int64(s.Pick(9))}}})
			case 4:
				module.Panic = true
				module.Heard = nil
				l.Wake()
				l.Step(time.Second)
				l.Step(time.Second)
				told := 0
				for _, e := range module.Heard {
					if _, is := e.(dispatch.Cordoned); is {
						told++
					}
				}
				s.Check(told == len(out), "a module that starts anew hears of %d bans of %d", told, len(out))
			case 5:
				n++
				q, err := l.Admit(time.Second, Arrival{CallID: strconv.Itoa(n), Job: dispatch.Job{Remaining: time.Hour}, Responder: &countingResponder{}})
				if err != nil || l.endpoints.numbers[id] == 0 {
					continue
				}
				module.Next = []dispatch.Action{dispatch.Send{Job: q.ID, Worker: l.endpoints.numbers[id]}}
				carried.started = nil
				l.Step(time.Second)
				s.Check((len(carried.started) == 1) == !out[id], "%d sent to %s, out %v", len(carried.started), id, out)
			}
			s.Did(id)
			var want []string
			for id := range out {
				want = append(want, id)
			}
			slices.Sort(want)
			s.Check(slices.Equal(l.Cordoned(), want), "bans %v, expected %v", l.Cordoned(), want)
		}
	})
}
