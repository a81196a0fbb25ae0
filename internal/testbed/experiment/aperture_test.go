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

// An aperture is asked for behind a policy's name or in the operators' file, and is the same either way; with one,
// schedulers open links to few workers, and the checker finds nothing.
func TestAperture(t *testing.T) {
	const keys = "least=8:off_below=0"
	spec := small(t, "fleet.nodes=60", "schedulers.count=6", "schedulers.sockets=4096", "load.of=0.4")
	inFile, err := ApplyChanges(spec, []string{`schedulers.ops="[aperture]\nleast = 8\noff_below = 0"`})
	if err != nil {
		t.Fatal(err)
	}
	met := func(spec *scenario.Scenario, policy string) (pairs int, text string) {
		all := map[[2]int]bool{}
		p, err := Run(context.Background(), Job{
			Spec: spec, Seed: 1, Driver: scenario.DriverSimulation,
			Subject: Subject{Policy: policy}, Observer: func(x *trace.Event) {
				if x.Kind == trace.WorkerConnected {
					all[[2]int{x.Scheduler, x.Worker}] = true
				}
			},
		})
		if err != nil || p.Violations() > 0 {
			t.Fatalf("%s: %v, %v", policy, err, p)
		}
		b, err := json.Marshal(p.Result())
		if err != nil {
			t.Fatal(err)
		}
		return len(all), string(b)
	}
	whole, _ := met(spec, PolicyDispatch)
	few, sent := met(spec, PolicyDispatch+ApertureSuffix+":"+keys)
	if few > whole*2/3 || few < 120 {
		t.Errorf("%d pairs of scheduler and worker node are linked, %d without an aperture", few, whole)
	}
	if _, filed := met(inFile, PolicyDispatch); filed != sent {
		t.Error("by the operators' file it is another play")
	}
	if _, other := met(spec, "least-outstanding"+ApertureSuffix+":"+keys); other == sent {
		t.Error("a baseline policy with an aperture runs as the module does")
	}
	for _, policy := range []string{"logic+aperturex", "logic+aperture:least=none", "none+aperture"} {
		job := Job{Spec: spec, Seed: 1, Driver: scenario.DriverSimulation, Subject: Subject{Policy: policy}}
		if _, err := Run(context.Background(), job); err == nil || !strings.Contains(err.Error(), "none") &&
			!strings.Contains(err.Error(), policy) {
			t.Errorf("%s: %v", policy, err)
		}
	}
}

// A capture stands behind the aperture, records what the module itself was told, and replays without a difference.
func TestApertureIsCaptured(t *testing.T) {
	spec := small(t, "fleet.nodes=60", "schedulers.count=6", "load.of=0.7",
		`fault=[{what="restart",at="1s",for="1s",on={share=0.3}},{what="drain",at="2s",on={share=0.2}},`+
			`{what="hang",at="1s",for="2s",on={cells=[1,2]}}]`)
	c, err := config.Decode(platform.Config(spec, 0, platform.Options{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2"}),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	var rec *capture.Recorder
	var now time.Duration
	conf := aperture.Config{MinWorkers: 8, Coverage: 2, MaxWidening: 4, WidenThreshold: 0.1, Retention: time.Second}
	module := func(set dispatch.Settings, seed uint64, _ baseline.Oracle) requests.Policy {
		m := dispatch.New(set, seed)
		if set.ReplicaIndex > 0 || rec != nil {
			return aperture.New(m, set, conf)
		}
		c.Seed = seed - 1
		rec, err = capture.New(config.Capture{MemoryKB: 16 << 10}, c, func() time.Duration { return now },
			slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		return aperture.New(rec.Wrap(m), set, conf)
	}
	opt := simulation.Options{Model: simulation.Model{Module: module}}
	if _, err := simulation.Run(spec, 1, opt); err != nil {
		t.Fatal(err)
	}
	var outputs, warnings bytes.Buffer
	held := rec.Dump()
	n, err := capture.Replay(bytes.NewReader(held), config.Ops{}, &outputs, &warnings)
	if n != 0 || err != nil || warnings.Len() > 0 || bytes.Count(held, []byte(`"out":"send"`)) < 50 {
		t.Errorf("%d differences in %d bytes, %v, %s:\n%.500s", n, len(held), err, warnings.String(), outputs.String())
	}
}
