package capture

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"valvecove/internal/config"
)

// A capture is truncated at any byte of its first steps, and the next process's capture follows on the same line or the next one.
// The replay has no differences, and warns of the skipped line.
func TestReplayOfTruncatedCaptureFollowedByAnother(t *testing.T) {
	first, second := newScheduler(t, 1, config.Capture{MemoryKB: 512}), newScheduler(t, 2, config.Capture{MemoryKB: 512})
	first.run(30)
	second.run(30)
	whole, next := first.recorder.Dump(), second.recorder.Dump()
	firstLineBytes := bytes.IndexByte(whole, '\n') + 1
	for size := firstLineBytes; size < min(len(whole), firstLineBytes+400); size++ {
		cut := whole[:size]
		for _, separator := range []string{"", "\n"} {
			got := replay(t, slices.Concat(cut, []byte(separator), next), "")
			isCutInLine := cut[size-1] != '\n' && whole[size] != '\n'
			if got.differences != 0 || got.err != nil || isCutInLine && !strings.Contains(got.warnings, "is cut short and skipped") {
				t.Fatalf("truncated at byte %d, then %q: %d differences, %v, %q", size, separator, got.differences, got.err, got.warnings)
			}
		}
	}
}
