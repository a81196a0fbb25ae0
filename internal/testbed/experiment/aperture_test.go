package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/aperture"
	"valvecove/internal/capture"
	"valvecove/internal/config"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/baseline"
	"valvecove/internal/testbed/platform"
	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/simulation"
	"valvecove/internal/testbed/trace"
)

// An aperture is requested by a suffix of the policy's name or in the operators' file, with the same result. With one, schedulers
// connect to fewer workers, and the checker finds no violation.
func TestAperture(t *testing.T) {
	const keys = "least=8:off_below=0"
	spec := smallScenario(t, "fleet.nodes=60", "schedulers.count=6", "schedulers.sockets=4096", "load.of=0.4")
	inFile, err := ApplyChanges(spec, []string{`schedulers.ops="[aperture]\nleast = 8\noff_below = 0"`})
	if err != nil {
		t.Fatal(err)
	}
	// connectedPairs runs a policy. It returns how many pairs of scheduler and worker were connected, and the result as JSON.
	connectedPairs := func(spec *scenario.Scenario, policy string) (pairs int, text string) {
		all := map[[2]int]bool{}
		result, err := Run(context.Background(), Job{
			Spec: spec, Seed: 1, Driver: scenario.DriverSimulation,
			Subject: Subject{Policy: policy}, Observer: func(event *trace.Event) {
				if event.Kind == trace.WorkerConnected {
					all[[2]int{event.Scheduler, event.Worker}] = true
				}
			},
		})
		if err != nil || result.Violations() > 0 {
			t.Fatalf("%s: run failed or broke a rule: %v, %v", policy, err, result)
		}
		b, err := json.Marshal(result.Result())
		if err != nil {
			t.Fatal(err)
		}
		return len(all), string(b)
	}
	allPairs, _ := connectedPairs(spec, PolicyDispatch)
	aperturePairs, apertureResult := connectedPairs(spec, PolicyDispatch+ApertureSuffix+":"+keys)
	if aperturePairs > allPairs*2/3 || aperturePairs < 120 {
		t.Errorf("%d pairs of scheduler and worker are connected with an aperture, %d without", aperturePairs, allPairs)
	}
	if _, fileResult := connectedPairs(inFile, PolicyDispatch); fileResult != apertureResult {
		t.Error("the aperture of the operators' file gives another result than the policy's suffix")
	}
	if _, baselineResult := connectedPairs(spec, "least-outstanding"+ApertureSuffix+":"+keys); baselineResult == apertureResult {
		t.Error("a baseline policy with an aperture gives the same result as the dispatch policy")
	}
	for _, policy := range []string{"logic+aperturex", "logic+aperture:least=none", "none+aperture"} {
		job := Job{Spec: spec, Seed: 1, Driver: scenario.DriverSimulation, Subject: Subject{Policy: policy}}
		if _, err := Run(context.Background(), job); err == nil || !strings.Contains(err.Error(), "none") &&
			!strings.Contains(err.Error(), policy) {
			t.Errorf("%s: want an error that names what is invalid, got %v", policy, err)
		}
	}
}

// A capture is between the aperture and the dispatch policy: it records the input that reaches the policy, and replays without a
// difference.
func TestApertureIsCaptured(t *testing.T) {
	spec := smallScenario(t, "fleet.nodes=60", "schedulers.count=6", "load.of=0.7",
		`fault=[{what="restart",at="1s",for="1s",on={share=0.3}},{what="drain",at="2s",on={share=0.2}},`+
			`{what="hang",at="1s",for="2s",on={cells=[1,2]}}]`)
	deployed, err := config.Decode(platform.Config(spec, 0, platform.Options{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2"}),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	var recorder *capture.Recorder
	var now time.Duration
	narrowing := aperture.Config{MinWorkers: 8, Coverage: 2, MaxWidening: 4, WidenThreshold: 0.1, Retention: time.Second}
	module := func(settings dispatch.Settings, seed uint64, _ baseline.Oracle) requests.Policy {
		policy := dispatch.New(settings, seed)
		if settings.ReplicaIndex > 0 || recorder != nil {
			return aperture.New(policy, settings, narrowing)
		}
		deployed.Seed = seed - 1
		recorder, err = capture.New(config.Capture{MemoryKB: 16 << 10}, deployed, func() time.Duration { return now },
			slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		return aperture.New(recorder.Wrap(policy), settings, narrowing)
	}
	options := simulation.Options{Model: simulation.Model{NewPolicy: module}}
	if _, err := simulation.Run(spec, 1, options); err != nil {
		t.Fatal(err)
	}
	var outputs, warnings bytes.Buffer
	captured := recorder.Dump()
	differences, err := capture.Replay(bytes.NewReader(captured), config.Ops{}, &outputs, &warnings)
	if differences != 0 || err != nil || warnings.Len() > 0 || bytes.Count(captured, []byte(`"out":"send"`)) < 50 {
		t.Errorf("%d differences in %d bytes, %v, %s:\n%.500s", differences, len(captured), err, warnings.String(), outputs.String())
	}
}
