package requests

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/modeltest"
)

// logFixture is a table that logs into a buffer.
type logFixture struct {
	table  *Table
	policy *modeltest.ScriptedPolicy
	log    *bytes.Buffer
	now    time.Duration
}

func newLogFixture(known EndpointList) *logFixture {
	f := &logFixture{policy: &modeltest.ScriptedPolicy{}, log: &bytes.Buffer{}, now: time.Hour}
	logger := slog.New(slog.NewTextHandler(f.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	f.table = New(4, NameTable{}, func() Policy { return f.policy }, known, newRecordingTransport(), logger)
	return f
}

// step runs a step after a duration, and checks that one line above the debug level was logged and contains the text, or none
// if the text is empty.
func (l *logFixture) step(t *testing.T, after time.Duration, want string) {
	t.Helper()
	l.now += after
	l.table.Step(l.now)
	got := ""
	for line := range strings.Lines(l.log.String()) {
		if !strings.Contains(line, "level=DEBUG") {
			got += line
		}
	}
	if want == "" && got != "" || strings.Count(got, "\n") > 1 || !strings.Contains(got, want) {
		t.Errorf("expected %q, got %q", want, got)
	}
	l.log.Reset()
}

// Changes of the endpoint list are summarised in one line per second at most, also at a start with 10,000 endpoints. Each
// change is counted in one line, and an update without changes logs nothing.
func TestLogSummarisesEndpointChanges(t *testing.T) {
	f := newLogFixture(endpointRange(0, 10_000))
	f.step(t, 0, `msg="endpoint list changed" added=10000 removed=0 first="s-0 s-1 s-2 s-3 s-4" listed=10000 ready=10000 revision=0`)
	for n := range 50 {
		f.table.UpdateEndpoints(endpointRange(10_000+n, 10_001+n))
		f.table.UpdateEndpoints(EndpointList{Revision: int64(n), Endpoints: []Endpoint{
			{ID: fmt.Sprint("s-", n), Lifecycle: "removed"},
			{ID: "s-9000", Lifecycle: "draining"},
		}})
		f.step(t, time.Millisecond, "")
	}
	f.step(t, time.Second, `added=50 removed=50 first="s-10000 s-10001 s-10002 s-10003 s-10004" listed=10000 ready=9999 revision=49`)
	endpoints := slices.Concat(endpointRange(100, 200).Endpoints, endpointRange(20_000, 20_001).Endpoints)
	f.table.UpdateEndpoints(EndpointList{Reset: true, Endpoints: endpoints})
	f.step(t, time.Second, "added=1 removed=9900 first=s-20000 listed=101 ready=101")
	f.table.UpdateEndpoints(EndpointList{Revision: 7})
	f.step(t, time.Second, "")
}

// The numbers of the first 4,000 added endpoints of a list are logged at the debug level, 100 per line.
func TestLogNumbersOfEndpoints(t *testing.T) {
	logged := newLogFixture(endpointRange(0, 10_000)).log.String()
	lines, complete := strings.Count(logged, "\n"), strings.Count(logged, " more=6000\n")
	if lines != 40 || complete != 40 || !strings.Contains(logged, fmt.Sprintf(" %d=s-1@10.0.0.1:80 ", hashID("s-1"))) {
		t.Errorf("%d lines with numbers: %.300s", lines, logged)
	}
}

// Messages of the policy are logged with the endpoint IDs of the workers that they mention.
func TestLogAddsEndpointIDsToPolicyMessages(t *testing.T) {
	f := newLogFixture(endpointRange(0, 2))
	f.step(t, 0, `msg="endpoint list changed"`)
	for text, endpoint := range map[string]string{
		"worker 17, worker x, worker ": "",
		"of none":                      "",
		fmt.Sprintf("worker %d reset: ejected", hashID("s-1")):               ` worker=s-1`,
		fmt.Sprintf("worker %d not worker %d", hashID("s-1"), hashID("s-0")): ` worker="s-1 s-0"`,
	} {
		f.policy.Next = append(f.policy.Next, dispatch.Log{Text: text})
		f.table.DiscoveryFailed()
		f.step(t, 0, fmt.Sprintf("msg=dispatcher text=%q%s\n", text, endpoint))
	}
}

// An ejection is logged with the endpoint ID of the worker, or with its number if the endpoint is not known.
func TestLogWorkerEjected(t *testing.T) {
	f := newLogFixture(endpointRange(0, 2))
	f.step(t, 0, `msg="endpoint list changed"`)
	for worker, name := range map[uint64]string{hashID("s-1"): "s-1", 17: "17"} {
		f.policy.Next = append(f.policy.Next, dispatch.WorkerEjected{
			Worker: worker, Reason: dispatch.EjectedForFailures, EjectionTime: 2 * time.Second,
		})
		f.table.DiscoveryFailed()
		f.step(t, 0, fmt.Sprintf("msg=\"worker ejected\" worker=%s reason=\"consecutive failures\" ejection_time=2s\n", name))
	}
}
