package capture

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/filesystem"
	"valvecove/internal/modeltest/observertest"
	"valvecove/internal/requests"
)

// platform is the text of the platform's file.
const platform = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964","settings":{
"domain":{"tells_start":true,"class_stretch":[2.5,2.0,1.75]},"discovery":"subscribe","zones":["z"],"kinds":["m"],
"classes":[{"name":"status-check","promise":80000,"give_up":5000000,"idempotency":"pure","gain":2},
{"name":"cash-payout","promise":500000,"give_up":7500000,"idempotency":"side_effect","gain":2},
{"name":"account-credit","promise":500000,"give_up":12000000,"idempotency":"token","window":20000000,"gain":3}],
"bounds":{"try_limit":6,"connect_timeout":250000,"second_copies":true,"probes":true,"retry_after":true,"max_retry_after":2000000},
"prices":{"probe":0.004},"rules":{"ask_every":10000000,"cold":8800000,"cold_from":0.3,"overload_factor":3.0,"fall":2000000},
"tenants":[{"name":"swat-society","quota_per_s":6.0}]}}`

// payload is the body and the result of every request. It must not be recorded.
const payload = "secret"

// scheduler is a recorded scheduler without sockets, whose clients and workers act at random.
type scheduler struct {
	observertest.Fixture
	random   *rand.Rand
	recorder *Recorder
	jobs     int
	settings dispatch.Settings
}

// CheckHealth reports at once that the worker is healthy.
func (s *scheduler) CheckHealth(worker uint64) { s.Table.HealthChecked(worker, nil) }

// Watch updates the endpoint list at once.
func (s *scheduler) Watch(int64) { s.updateEndpoints() }

func newScheduler(tb testing.TB, seed uint64, capture config.Capture) *scheduler {
	tb.Helper()
	return newSchedulerWithDisk(tb, filesystem.Disk, slog.New(slog.DiscardHandler), seed, capture)
}

// newSchedulerWithDisk is newScheduler whose recorder uses the given disk and log.
func newSchedulerWithDisk(tb testing.TB, disk filesystem.FileSystem, log *slog.Logger, seed uint64, capture config.Capture) *scheduler {
	tb.Helper()
	return newSchedulerWithPlatform(tb, platform, disk, log, seed, capture)
}

// newSchedulerWithPlatform is newSchedulerWithDisk with the given text of the platform's file.
func newSchedulerWithPlatform(
	tb testing.TB, platform string, disk filesystem.FileSystem, log *slog.Logger, seed uint64, capture config.Capture,
) *scheduler {
	tb.Helper()
	start, err := config.Decode([]byte(platform), func(string) string { return "" })
	if err != nil {
		tb.Fatal(err)
	}
	if start.Settings.PeerMessages {
		start.Settings.PeerBudget = 0.5
	}
	s := &scheduler{
		Fixture:  observertest.Fixture{T: tb, Now: 1718000000123456789},
		random:   rand.New(rand.NewPCG(seed, 3)),
		settings: start.Settings.Settings,
	}
	s.recorder, err = newRecorder(disk, capture, start, func() time.Duration { return s.Now }, log)
	if err != nil {
		tb.Fatal(err)
	}
	nextSeed := start.Seed
	s.Table = requests.New(6, start.Settings.Names, func() requests.Policy {
		nextSeed++
		return s.recorder.Wrap(dispatch.New(start.Settings.Settings, nextSeed))
	}, requests.EndpointList{}, s, slog.New(slog.DiscardHandler))
	s.recorder.LookupEndpoint = s.Table.Endpoint
	s.Table.AddObserver(s.recorder)
	return s
}

// updateEndpoints passes the table a list of 4 to 8 endpoints, as a full list or as an update.
func (s *scheduler) updateEndpoints() {
	list := requests.EndpointList{Revision: 1, Reset: s.random.IntN(2) == 0}
	for n := range 4 + s.random.IntN(5) {
		endpoint := requests.Endpoint{
			ID: "s-" + strconv.Itoa(n), Addr: "127.0.0.1:1", Zone: "z", MachineType: "m", Weight: 1,
			Lifecycle: []string{"up", "up", "up", "draining"}[s.random.IntN(4)],
		}
		if s.random.IntN(6) == 0 {
			endpoint.StartedAtMs = s.Now.Milliseconds() - int64(s.random.IntN(20000))
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	s.Table.UpdateEndpoints(list)
}

// run runs a number of steps.
func (s *scheduler) run(steps int) {
	for range steps {
		s.runStep()
	}
}

// runStep runs one step after random requests, callbacks and changes of the workers.
func (s *scheduler) runStep() {
	s.Now += time.Duration(s.random.IntN(30_000_000))
	for range s.random.IntN(3) {
		s.admit()
	}
	s.callBack()
	if s.random.IntN(60) == 0 {
		s.updateEndpoints()
	}
	if s.random.IntN(60) == 0 {
		s.Table.Cordon("s-" + strconv.Itoa(s.random.IntN(9)))
	}
	if s.random.IntN(30) == 0 {
		s.Table.Uncordon("s-" + strconv.Itoa(s.random.IntN(9)))
	}
	s.Table.Step(s.Now)
}

// admit admits a request, whose client may disconnect at once.
func (s *scheduler) admit() {
	s.jobs++
	class := s.random.IntN(3)
	request, err := s.Table.Admit(s.Now, requests.Arrival{CallID: fmt.Sprintf("%016x", s.jobs), Responder: s, Job: dispatch.Job{
		Class: class,
		Key:   uint64(s.random.IntN(40)), Remaining: time.Duration(1+s.random.IntN(5)) * time.Second, Slots: float64(1 + s.random.IntN(2)),
		Hint: time.Duration(1 + s.random.IntN(400_000_000)),
	}, Payload: requests.Payload{Method: "POST", Path: "/x", Body: []byte(payload)}})
	if err != nil {
		s.T.Fatal(err)
	}
	if s.random.IntN(30) == 0 {
		s.Table.ClientDisconnected(request)
	}
}

// callBack sends callbacks of workers about some of the attempts. If there are more than 20 attempts, the first 10 get no further
// callbacks.
func (s *scheduler) callBack() {
	result := payload
	for i := range s.Attempts {
		state := []string{"started", "started", "running", "done", "done", "failed", "returned", "lost"}[s.random.IntN(8)]
		if s.random.IntN(4) != 0 {
			continue
		}
		attempt := s.Attempts[i]
		_, _ = s.Table.HandleCallback(requests.Callback{
			CallID: attempt.Request.CallID, EndpointID: attempt.EndpointID, State: state, Progress: s.random.Float64(), Result: &result,
		})
	}
	if len(s.Attempts) > 20 {
		s.Attempts = s.Attempts[10:]
	}
}

// replayed contains the results and the output of a replay.
type replayed struct {
	differences      int
	output, warnings string
	err              error
}

// replay replays a capture with an operators' file.
func replay(t *testing.T, text []byte, opsText string) replayed {
	t.Helper()
	ops, err := config.DecodeOps(opsText)
	if err != nil {
		t.Fatal(err)
	}
	var output, warnings bytes.Buffer
	differences, err := Replay(bytes.NewReader(text), ops, &output, &warnings)
	return replayed{differences, output.String(), warnings.String(), err}
}

// checkReplaysWithoutDifference checks that a capture replays without a difference or a warning, and contains no payload. It
// returns the number of recorded sends.
func checkReplaysWithoutDifference(t *testing.T, text []byte) int {
	t.Helper()
	return checkReplaysWithWarnings(t, text, "")
}

// checkReplaysWithWarnings is checkReplaysWithoutDifference for a capture whose replay writes the given warnings.
func checkReplaysWithWarnings(t *testing.T, text []byte, warnings string) int {
	t.Helper()
	got := replay(t, text, "")
	if got.differences != 0 || got.err != nil || got.warnings != warnings {
		t.Errorf("%d differences, %v, %q:\n%.600s", got.differences, got.err, got.warnings, got.output)
	}
	if bytes.Contains(text, []byte(payload)) {
		t.Error("a payload is recorded")
	}
	return bytes.Count(text, []byte(`"out":"send"`))
}

// checkPanicIsOnlyDifference expects that the only difference in the replay of a capture is a recorded panic of the dispatcher,
// which does not occur in the replay.
func checkPanicIsOnlyDifference(t *testing.T, text []byte) {
	t.Helper()
	got := replay(t, text, "")
	if got.differences != 1 || !strings.Contains(got.output, "the module was a panic, now ") || got.err != nil || got.warnings != "" {
		t.Errorf("%d differences, %v, %q:\n%s", got.differences, got.err, got.warnings, got.output)
	}
}

// filesIn returns the paths of the files in a directory, in order.
func filesIn(t *testing.T, directory string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(directory, "*"))
	if err != nil {
		t.Fatal(err)
	}
	return paths
}

// readFile returns the text of a file.
func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
