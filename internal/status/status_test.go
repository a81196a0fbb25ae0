package status

import (
	"log/slog"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/modeltest"
	"valvecove/internal/modeltest/observertest"
	"valvecove/internal/requests"
)

// fixture is a status table that observes a request table.
type fixture struct {
	*modeltest.Steps
	*observertest.Fixture
	status *Table
}

// failingLog is a log that fails the test on any message.
type failingLog struct{ *modeltest.Steps }

func (f failingLog) Write(line []byte) (int, error) {
	f.Check(false, "%s", line)
	return len(line), nil
}

func newFixture(steps *modeltest.Steps, conf config.Status) *fixture {
	names := requests.NameTable{Classes: []string{"cash-payout"}, Tenants: []string{"swat-society"}}
	logger := slog.New(slog.NewTextHandler(failingLog{steps}, &slog.HandlerOptions{Level: slog.LevelError}))
	f := &fixture{Steps: steps, Fixture: observertest.New(steps.T, names, logger)}
	f.status = New(conf, names, true, func() time.Duration { return f.Now })
	f.Table.AddObserver(f.status)
	return f
}

func (f *fixture) find(id string) (report Report, ok bool) {
	body, ok := f.status.Find(id)
	if ok && jsoniter.ConfigDefault.Unmarshal(body, &report) != nil {
		f.Check(false, "not JSON: %s", body)
	}
	return report, ok
}

// If the table is full, the entry that ended first is dropped, or the oldest one if all are open. Notifications of a request
// whose entry was dropped or replaced change nothing.
func TestFullTable(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t}, config.Status{Retention: time.Minute, MaxEntries: 3})
	checkKnown := func(want string) {
		t.Helper()
		known := ""
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			if report, ok := f.find(id); ok {
				known += id + ":" + string(report.State) + string(report.Outcome) + " "
			}
		}
		if known != want || len(f.status.entries) > 3 {
			t.Errorf("known: %q, expected %q", known, want)
		}
	}
	a, b := f.Admit("a", 0, 0), f.Admit("b", 0, 0)
	f.Admit("c", 0, 0)
	f.Apply(dispatch.Fail{Job: b.ID})
	f.Admit("d", 0, 0)
	checkKnown("a:waiting c:waiting d:waiting ")
	f.Admit("e", 0, 0)
	checkKnown("c:waiting d:waiting e:waiting ")
	f.Apply(dispatch.Fail{Job: a.ID})
	checkKnown("c:waiting d:waiting e:waiting ")
	f.Table.ReportRejection(&requests.Arrival{CallID: "c"}, 503) // with the ID of an open request
	checkKnown("c:waiting d:waiting e:waiting ")
	f.Table.ReportRejection(&requests.Arrival{CallID: "a"}, 503)
	checkKnown("a:endedturned away d:waiting e:waiting ")
}

// A call ID that is reused after its request has ended has a new entry, which an attempt of the earlier request that is still in
// flight does not change.
func TestReusedID(t *testing.T) {
	f := newFixture(&modeltest.Steps{T: t}, config.Status{Retention: time.Minute, MaxEntries: 3})
	first := f.Admit("a", 0, 0)
	f.Send(first, "s-0")
	f.Apply(dispatch.Reject{Job: first.ID})
	if report, _ := f.find("a"); report.Outcome != requests.OutcomeTimedOut || report.Worker != "s-0" {
		t.Errorf("rejected with an attempt in flight: %+v", report)
	}
	second := f.Admit("a", 0, 0)
	f.SendCallback("a", "s-0", "started", 0)
	if report, _ := f.find("a"); report.State != StateWaiting || report.Worker != "" {
		t.Errorf("the second request after a callback on the first: %+v", report)
	}
	f.SendCallback("a", "s-0", "done", 0)
	f.Send(second, "s-0")
	f.SendCallback("a", "s-0", "running", 0.5)
	if report, _ := f.find("a"); report.State != StateRunning || *report.Share != 0.5 {
		t.Errorf("the second request: %+v", report)
	}
}
