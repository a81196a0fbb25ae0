package capture

import (
	"bytes"
	"testing"

	"valvecove/internal/config"
)

// The content of a ring replays without a difference, whether its oldest segments were overwritten or not. The ring exceeds its
// size by one step at most.
func TestRingReplaysWithoutDifference(t *testing.T) {
	for seed := range uint64(12) {
		s := newScheduler(t, seed, config.Capture{MemoryKB: 48})
		hasWrapped, sends := false, 0
		for range 40 {
			s.run(25)
			text := s.recorder.Dump()
			hasWrapped = hasWrapped || !bytes.Contains(text, []byte(`"why":"start"`))
			if len(text) > 60<<10 {
				t.Errorf("%d bytes in a ring of %d", len(text), 48<<10)
			}
			sends += checkReplaysWithoutDifference(t, text)
		}
		if !hasWrapped || sends < 100 || s.recorder.Lost() > 0 {
			t.Errorf("wrapped %v, %d sends, %d lost", hasWrapped, sends, s.recorder.Lost())
		}
	}
}

// A state that is too large for the ring is counted as lost; the ring stays bounded, and its content can be replayed.
func TestRingTooSmallForState(t *testing.T) {
	for _, kb := range []int{1, 10} { // too small for any first line of a segment; too small only for that of a busy dispatcher
		s := newScheduler(t, 1, config.Capture{MemoryKB: kb})
		s.run(600)
		text := s.recorder.Dump()
		if s.recorder.Lost() == 0 || text == nil || len(text) > kb<<10+4<<10 || kb == 1 && len(text) > 0 {
			t.Errorf("%d lost, %d bytes in a ring of %d KB", s.recorder.Lost(), len(text), kb)
		}
		if len(text) > 0 {
			checkReplaysWithoutDifference(t, text)
		}
	}
}
