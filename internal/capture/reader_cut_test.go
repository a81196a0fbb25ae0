package capture

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"valvecove/internal/config"
)

// A capture that is cut at any byte of its first steps, with the next process's capture on the next line or on the same one, is
// replayed without a false difference, and warnings name the skipped parts.
func TestReplayOfCutCaptureFollowedByAnother(t *testing.T) {
	first, second := newScheduler(t, 1, config.Capture{MemoryKB: 512}), newScheduler(t, 2, config.Capture{MemoryKB: 512})
	first.run(30)
	second.run(30)
	whole, next := first.recorder.Dump(), second.recorder.Dump()
	opening := bytes.IndexByte(whole, '\n') + 1
	for size := opening; size < min(len(whole), opening+400); size++ {
		cut := whole[:size]
		for _, separator := range []string{"", "\n"} {
			got := replay(t, slices.Concat(cut, []byte(separator), next), "")
			isCutInLine := cut[size-1] != '\n' && whole[size] != '\n'
			if got.differences != 0 || got.err != nil || isCutInLine && !strings.Contains(got.warnings, "is cut short and skipped") {
				t.Fatalf("cut at byte %d, then %q: %d differences, %v, %q", size, separator, got.differences, got.err, got.warnings)
			}
		}
	}
}
