package status

import (
	"fmt"
	"log/slog"
	"strconv"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/modeltest"
	"valvecove/internal/modeltest/observertest"
	"valvecove/internal/requests"
)

// modelJob is what a branch should be told of one job.
type modelJob struct {
	q       *requests.Request
	open    bool              // in the table's eyes
	left    bool              // by its client
	tries   map[string]string // by worker node: "sent", "started", or the share told last
	outcome string
	ended   time.Duration
}

// world is a table on a ledger, with a module that does as it is told.
type world struct {
	*modeltest.Steps
	*observertest.Fixture
	table *Table
}

// faults is a log in which nothing may come.
type faults struct{ *modeltest.Steps }

func (f faults) Write(b []byte) (int, error) {
	f.Check(false, "%s", b)
	return len(b), nil
}

func newWorld(s *modeltest.Steps, conf config.Status) *world {
	names := requests.NameTable{Classes: []string{"cash-payout"}, Tenants: []string{"swat-society"}}
	w := &world{Steps: s, Fixture: observertest.New(names, slog.New(slog.NewTextHandler(faults{s}, &slog.HandlerOptions{Level: slog.LevelError})))}
	w.table = New(conf, names, true, func() time.Duration { return w.Now })
	w.Table.AddObserver(w.table)
	return w
}

func (w *world) find(id string) (a answer, ok bool) {
	body, ok := w.table.Find(id)
	if ok && jsoniter.ConfigDefault.Unmarshal(body, &a) != nil {
		w.Check(false, "not JSON: %s", body)
	}
	return a, ok
}

// A job is waiting until its worker node says that it runs, and again once that attempt has ended without a
// result; it ends once, by the outcome that says most of whether it has run.
func FuzzTable(f *testing.F) {
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		w := newWorld(s, config.Status{Retention: 20 * time.Second, MaxEntries: 1000})
		jobs := map[string]*modelJob{}
		outcomes := map[string]string{"done": "served", "failed": "error", "returned": "turned away", "lost": "reset"}
		for n := 0; s.More(); n++ {
			w.Now += time.Duration(s.Pick(100)) * 10 * time.Millisecond
			id := strconv.Itoa(s.Pick(8))
			host, j := "s-"+strconv.Itoa(s.Pick(2)), jobs[id]
			end := func(how string) { j.open, j.outcome, j.ended = false, how, w.Now }
			switch what := s.Pick(12); {
			case j == nil || what == 0 && !j.open && len(j.tries) == 0: // an id may come again
				jobs[id] = &modelJob{q: w.Admit(id, 0, 0), open: true, tries: map[string]string{}}
				s.Record("take " + id)
			case what < 3:
				if w.Send(j.q, host) {
					j.tries[host] = "sent"
				}
				s.Record("send " + id + " to " + host)
			case what < 9:
				state := []string{"started", "running", "done", "failed", "returned", "lost"}[s.Pick(6)]
				share := float64(s.Pick(5)) / 4
				w.SendCallback(id, host, state, share)
				s.Record(fmt.Sprint(host, " tells ", id, " ", state, share))
				how, ends := outcomes[state]
				switch {
				case j.tries[host] == "":
				case !ends && state == "running":
					j.tries[host] = fmt.Sprint(share)
				case !ends && j.tries[host] == "sent":
					j.tries[host] = "started"
				case ends:
					delete(j.tries, host)
					if firm := j.outcome == "served" || (how == "turned away" && j.outcome != ""); j.open && !firm {
						j.outcome = how
					}
					if j.open && (state == "done" && !j.left || j.left && len(j.tries) == 0) {
						end(j.outcome)
					}
				}
			case what == 9:
				w.Apply([]dispatch.Action{dispatch.Reject{Job: j.q.ID}, dispatch.Fail{Job: j.q.ID}}[s.Pick(2)])
				s.Record("give up " + id)
				switch {
				case !j.open || j.left:
				case len(j.tries) > 0:
					end("timed out")
				case j.outcome == "":
					end("turned away")
				default:
					end(j.outcome)
				}
			case what == 10:
				w.Table.ClientDisconnected(j.q)
				s.Record("the client of " + id + " leaves")
				if j.left = j.left || j.open; j.open && len(j.tries) == 0 {
					if end(j.outcome); j.outcome == "" {
						end("turned away")
					}
				}
			}
			for id, j := range jobs {
				got, ok := w.find(id)
				kept := j.open || w.Now-j.ended < 20*time.Second
				s.Check(ok == kept, "%s: found %v, expected %v", id, ok, kept)
				if !ok {
					continue
				}
				state, share := "waiting", ""
				for _, how := range j.tries {
					if how != "sent" {
						state = "running"
					}
					if how != "sent" && how != "started" {
						share = max(share, how)
					}
				}
				if !j.open {
					state, share = "ended", ""
				}
				s.Check(got.State == state && (got.Share != nil) == (share != "") && (share == "" || fmt.Sprint(*got.Share) == share),
					"%s: %+v, expected %s, share %q", id, got, state, share)
				s.Check(j.open && got.Outcome == "" || !j.open && string(got.Outcome) == j.outcome, "%s: %+v, expected %s", id, got, j.outcome)
			}
		}
	})
}

// Where all entries are open the oldest makes room, else the one that ended first; what is heard of a query whose
// entry is gone, or is a later query's, changes nothing.
func TestTableFull(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t}, config.Status{Retention: time.Minute, MaxEntries: 3})
	known := func(want string) {
		t.Helper()
		got := ""
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			if a, ok := w.find(id); ok {
				got += id + ":" + a.State + string(a.Outcome) + " "
			}
		}
		if got != want || len(w.table.entries) > 3 {
			t.Errorf("known: %q, expected %q", got, want)
		}
	}
	a, b := w.Admit("a", 0, 0), w.Admit("b", 0, 0)
	w.Admit("c", 0, 0)
	w.Apply(dispatch.Fail{Job: b.ID})
	w.Admit("d", 0, 0)
	known("a:waiting c:waiting d:waiting ")
	w.Admit("e", 0, 0)
	known("c:waiting d:waiting e:waiting ")
	w.Apply(dispatch.Fail{Job: a.ID})
	known("c:waiting d:waiting e:waiting ")
	w.Table.ReportRejection(&requests.Arrival{CallID: "c"}, 503) // with an open query's id, at the door
	known("c:waiting d:waiting e:waiting ")
	w.Table.ReportRejection(&requests.Arrival{CallID: "a"}, 503)
	known("a:endedturned away d:waiting e:waiting ")
}

// An id that comes again after its query was answered is a new entry; the attempt of the earlier one that is still
// out says nothing of it.
func TestIDAgain(t *testing.T) {
	w := newWorld(&modeltest.Steps{T: t}, config.Status{Retention: time.Minute, MaxEntries: 3})
	first := w.Admit("a", 0, 0)
	w.Send(first, "s-0")
	w.Apply(dispatch.Reject{Job: first.ID})
	if a, _ := w.find("a"); a.Outcome != requests.OutcomeTimedOut || a.Worker != "s-0" {
		t.Errorf("answered with an attempt out: %+v", a)
	}
	second := w.Admit("a", 0, 0)
	w.SendCallback("a", "s-0", "started", 0)
	if a, _ := w.find("a"); a.State != "waiting" || a.Worker != "" {
		t.Errorf("the second query after news of the first: %+v", a)
	}
	w.SendCallback("a", "s-0", "done", 0)
	w.Send(second, "s-0")
	w.SendCallback("a", "s-0", "running", 0.5)
	if a, _ := w.find("a"); a.State != "running" || *a.Share != 0.5 {
		t.Errorf("the second query: %+v", a)
	}
}
