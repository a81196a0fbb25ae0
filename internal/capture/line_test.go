package capture

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"

	"valvecove/dispatch"
	"valvecove/internal/storedform"
)

// The fields of a Line have their stored names in tags. Without these, a Go field that is renamed would make captures unreadable
// for other builds.
func TestLineIsTagged(t *testing.T) { storedform.CheckTags(t, Line{}) }

// Encoding and decoding a line preserves every bit of its numbers.
func TestLineIsExact(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		number := math.Float64frombits(random.Uint64())
		if math.IsNaN(number) || math.IsInf(number, 0) {
			continue
		}
		small := float64(random.IntN(1e9)) / 1e6
		written := Line{
			Milliseconds: int64(random.Uint64() >> 1), Progress: small, KeyWork: &number, WorkerNumber: random.Uint64(),
			ArrivedJob: &dispatch.Job{Key: random.Uint64(), Slots: number, Memory: small},
		}
		text, err := json.Marshal(written)
		var read Line
		if err == nil {
			err = json.Unmarshal(text, &read)
		}
		if err != nil || !reflect.DeepEqual(written, read) {
			t.Fatalf("%s: %+v, %v", text, read, err)
		}
	}
}
