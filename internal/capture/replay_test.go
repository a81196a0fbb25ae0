package capture

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/requests"
)

// A process that is restored from the state of another one records from its first step on, and its capture can be replayed.
func TestReplayAfterTakeOver(t *testing.T) {
	for seed := range uint64(6) {
		predecessor := newScheduler(t, seed, config.Capture{MemoryKB: 512})
		successor := newScheduler(t, seed+100, config.Capture{MemoryKB: 512})
		predecessor.run(150)
		successor.Now = predecessor.Now
		if !predecessor.Table.FlushEvents(predecessor.Now) {
			t.Fatal("the predecessor's events could not be flushed")
		}
		state, open := predecessor.Table.Snapshot()
		responders := map[uint64]requests.Responder{}
		for _, request := range open {
			responders[request.ID] = successor
		}
		successor.Table.TakeOver(successor.Now, state, open, responders, func() requests.Policy {
			dispatcher, err := dispatch.Restore(predecessor.settings, predecessor.recorder.current.Snapshot(nil))
			if err != nil {
				t.Fatal(err)
			}
			return successor.recorder.Continue(dispatcher)
		})
		successor.jobs = predecessor.jobs
		successor.run(150)
		text := successor.recorder.Dump()
		if sends := checkReplaysWithoutDifference(t, text); sends == 0 || !bytes.Contains(text, []byte(`"why":"taken over"`)) || len(open) == 0 {
			t.Errorf("%d sends, %d requests taken over", sends, len(open))
		}
	}
}

// recordedText returns a line of a log followed by a capture of 400 steps.
func recordedText(t *testing.T) []byte {
	t.Helper()
	s := newScheduler(t, 1, config.Capture{MemoryKB: 1 << 10})
	s.run(400)
	return append([]byte("n0: listening at 127.0.0.1:1\n"), s.recorder.Dump()...)
}

// With another setting, the replay reports differences, each with the number of the line, the job's ID and both decisions.
func TestReplayWithOtherSettings(t *testing.T) {
	text := recordedText(t)
	got := replay(t, text, "[replay.settings.classes.cash-payout]\npromise = 5000000")
	lines := strings.Split(string(text), "\n")
	if got.differences == 0 || got.differences != strings.Count(got.output, "\n") || got.err != nil || got.warnings != "" {
		t.Fatalf("%d differences, %v, %q", got.differences, got.err, got.warnings)
	}
	for _, difference := range strings.Split(strings.TrimSpace(got.output), "\n") {
		var number int
		var subject, was string
		_, err := fmt.Sscanf(difference, "line %d: %s was %s", &number, &subject, &was)
		if err != nil || number < 2 || number > len(lines) ||
			was != "nothing," && !strings.Contains(lines[number-1], subject) && !strings.Contains(subject+was, "host") {
			t.Errorf("malformed difference %q: %v", difference, err)
		}
	}
}

// The replay rejects replacements of settings that are not recorded, and invalid values.
func TestReplayRejectsSettings(t *testing.T) {
	text := recordedText(t)
	for ops, want := range map[string]string{
		"[replay.settings.bounds]\ntry_limits = 1":       `line 2: key "replay.settings.bounds.try_limits": not among the recorded settings`,
		"[replay.settings.bounds]\ntry_limit = 0":        `line 2: key "replay.settings.bounds.try_limit": expected 1 at least, got 0`,
		"[replay.settings.bounds]\ntry_limit = 'x'":      `line 2: key "replay.settings.bounds.try_limit": expected a number`,
		"[replay.settings.classes.loans]\npromise = 1.0": `line 2: key "replay.settings.classes.loans": not among the recorded settings`,
	} {
		if got := replay(t, text, ops); got.err == nil || got.err.Error() != want {
			t.Errorf("%s: %v, expected %s", ops, got.err, want)
		}
	}
}

// The steps of a dispatcher are recorded up to and including its panic, and can be replayed. The next dispatcher starts a new
// segment.
func TestReplayOfPanic(t *testing.T) {
	s := newScheduler(t, 1, config.Capture{MemoryKB: 1 << 10})
	s.run(100)
	s.recorder.current.Dispatcher = &dispatch.Dispatcher{} // panics on any event
	s.Table.DiscoveryFailed()
	s.Table.Step(s.Now)
	s.run(100)
	text := s.recorder.Dump()
	if !bytes.Contains(text, []byte(`"out":"panic"`)) || !bytes.Contains(text, []byte(reasonRestart)) {
		t.Fatal("no panic and no second dispatcher are recorded")
	}
	checkPanicIsOnlyDifference(t, text)
}

// A truncated last line is skipped with a warning, together with its step. Any other malformed line is an error that contains the
// line's number. No text makes the replay panic.
func FuzzReplayOfMalformedText(f *testing.F) {
	s := newScheduler(f, 1, config.Capture{MemoryKB: 1 << 10})
	s.run(40)
	lines := slices.Collect(bytes.Lines(s.recorder.Dump()))
	for n := range 60 {
		f.Add(uint16(n*7), uint16(n*13), []byte(`{"t":1,"in":"job","of":3}`))
	}
	f.Add(uint16(9), uint16(3), []byte(`{"t":1,"in":"outcome","worker":"s-9"}`))
	f.Add(uint16(9), uint16(3), []byte(`{"t":1,"in":"start","seed":"1","settings":{"classes":[]}}`))
	f.Add(uint16(9), uint16(3), []byte(`{"t":1,"in":"progress","job":1,"past":1,"share":1e300,"of":-1}`))
	f.Fuzz(func(t *testing.T, line, length uint16, other []byte) {
		n := int(line) % len(lines)
		before := bytes.Join(lines[:n], nil)
		cut := lines[n][:int(length)%len(lines[n])]
		isCut := len(cut) > 0 && len(cut) < len(lines[n])-1
		checkTruncatedAtEnd(t, before, cut, n, isCut)
		if isCut {
			checkTruncatedBeforeLine(t, before, cut, n, lines[len(lines)-1])
		}
		if n > 0 {
			replay(t, slices.Concat(before, other, []byte("\n"), bytes.Join(lines[n:], nil)), "")
		}
	})
}

// checkTruncatedAtEnd replays the lines before line n, counted from 0, and a part of that line.
func checkTruncatedAtEnd(t *testing.T, before, part []byte, n int, isCut bool) {
	t.Helper()
	got := replay(t, slices.Concat(before, part), "")
	if n == 0 {
		if !errors.Is(got.err, ErrNoCapture) {
			t.Errorf("without a complete line: %v, expected ErrNoCapture", got.err)
		}
		return
	}
	warning := fmt.Sprintf("line %d is cut short", n+1)
	if got.err != nil || got.differences != 0 || isCut && !strings.Contains(got.warnings, warning) {
		t.Errorf("truncated in line %d: %v, %q, %s", n+1, got.err, got.warnings, got.output)
	}
}

// checkTruncatedBeforeLine replays the lines before line n, a part of that line, and another line.
func checkTruncatedBeforeLine(t *testing.T, before, part []byte, n int, after []byte) {
	t.Helper()
	got := replay(t, slices.Concat(before, part, []byte("\n"), after), "")
	if got.err == nil || !strings.HasPrefix(got.err.Error(), fmt.Sprintf("line %d: ", n+1)) {
		t.Errorf("malformed in line %d: %v", n+1, got.err)
	}
}
