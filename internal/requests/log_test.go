package requests

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/steps"
)

// A start with 10,000 hosts writes one line, and so does a second in which many change; nothing is lost between two
// lines, and what changes nothing says nothing. The numbers of 4,000 are there for debugging, 100 to a line, and what the
// module says of a worker node has the host's name.
func TestLog_SummarisesEndpointChanges(t *testing.T) {
	module, out, now := &steps.Script{}, &bytes.Buffer{}, time.Hour
	l := New(4, NameTable{}, func() Policy { return module }, endpointRange(0, 10_000), &recordingTransport{},
		slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug})))
	if lines := strings.Count(out.String(), "\n"); lines != 40 || strings.Count(out.String(), " more=6000\n") != 40 || !strings.Contains(out.String(), fmt.Sprintf(" %d=s-1@10.0.0.1:80 ", hashID("s-1"))) {
		t.Errorf("%d lines with numbers: %.300s", lines, out)
	}
	step := func(after time.Duration, want string) {
		t.Helper()
		now += after
		l.Step(now)
		got := ""
		for line := range strings.Lines(out.String()) {
			if !strings.Contains(line, "level=DEBUG") {
				got += line
			}
		}
		if want == "" && got != "" || strings.Count(got, "\n") > 1 || !strings.Contains(got, want) {
			t.Errorf("expected %q, got %q", want, got)
		}
		out.Reset()
	}
	step(0, `msg="host group" added=10000 gone=0 first="s-0 s-1 s-2 s-3 s-4" listed=10000 ready=10000 generation=0`)
	for n := range 50 {
		l.UpdateEndpoints(endpointRange(10_000+n, 10_001+n))
		l.UpdateEndpoints(EndpointList{Revision: int64(n), Endpoints: []Endpoint{{ID: fmt.Sprint("s-", n), Lifecycle: "removed"}, {ID: "s-9000", Lifecycle: "draining"}}})
		step(time.Millisecond, "")
	}
	step(time.Second, `added=50 gone=50 first="s-10000 s-10001 s-10002 s-10003 s-10004" listed=10000 ready=9999 generation=49`)
	l.UpdateEndpoints(EndpointList{Reset: true, Endpoints: append(endpointRange(100, 200).Endpoints, endpointRange(20_000, 20_001).Endpoints...)})
	step(time.Second, "added=1 gone=9900 first=s-20000 listed=101 ready=101")
	l.UpdateEndpoints(EndpointList{Revision: 7})
	step(time.Second, "")
	for text, host := range map[string]string{
		"worker 17, worker x, worker ": "", "of none": "",
		fmt.Sprintf("worker %d reset: set aside", hashID("s-1")):             ` host=s-1`,
		fmt.Sprintf("worker %d not worker %d", hashID("s-1"), hashID("s-0")): ` host="s-1 s-0"`,
	} {
		module.Next = append(module.Next, dispatch.Log{Text: text})
		l.DiscoveryFailed()
		step(0, fmt.Sprintf("msg=module text=%q%s\n", text, host))
	}
}
