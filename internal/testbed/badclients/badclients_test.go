package badclients

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// shortSeeds are the seeds of the plays that run in CI. The long form is started by hand: valvecove-testbed badclients.
var shortSeeds = map[Kind][]uint64{Slow: {1, 4}, Flood: {2, 5}, Departure: {2, 6}}

// Guards against the pictures of other deployments: memory that many slow clients or a flood use up, requests of others that get no
// answer, and payouts that run again after their client has left, also at a successor. What depends on the machine's speed is judged in
// the long form only.
func TestShortPlays(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "valvecove") // without the race detector, whose memory would count
	if output, err := exec.Command("go", "build", "-o", binary, "valvecove/cmd/valvecove").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	for _, kind := range Kinds {
		for _, seed := range shortSeeds[kind] {
			result, err := Run(t.Context(), Draw(kind, seed), binary)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(result)
			for _, violation := range result.Violations {
				if !violation.Rule.DependsOnTime() {
					t.Errorf("%v; again: %s", violation, result.Play.Command())
				}
			}
			if result.Sent == 0 || len(result.Answers) == 0 {
				t.Errorf("%v: nobody has sent, or got an answer", result.Play)
			}
		}
	}
}

// A process over its limit of memory is noticed.
func TestMemoryMonitorSeesPeak(t *testing.T) {
	monitor := startMemoryMonitor()
	monitor.add(os.Getpid())
	monitor.sample()
	if peak := monitor.end(); peak < 1<<bytesPerMBShift {
		t.Errorf("%d bytes, expected more than a megabyte of this process", peak)
	}
}

// A draw depends on its seed alone, so that a command repeats it, and every behaviour is drawn.
func TestDrawIsRepeatable(t *testing.T) {
	behaviours := map[string]bool{}
	for seed := range uint64(200) {
		for _, kind := range Kinds {
			play := Draw(kind, seed)
			if play != Draw(kind, seed) {
				t.Fatalf("%v is drawn differently again", play)
			}
			behaviours[play.Behaviour] = true
		}
	}
	if want := len(slowBehaviours) + len(floodBehaviours) + 1; len(behaviours) != want {
		t.Errorf("%d behaviours are drawn, expected %d", len(behaviours), want)
	}
}
