package capture

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
)

// player replays the steps of a capture on a dispatcher, and compares its decisions with the recorded ones.
type player struct {
	ops         config.Ops // its section replay.settings replaces recorded settings
	output      io.Writer  // a line is written for each decision that differs
	differences int

	dispatcher *dispatch.Dispatcher // nil before the first segment, and after a panic
	names      names
}

// startSegment creates the segment's dispatcher. In the first segment of a dispatcher, it creates a new one instead of restoring
// the recorded state, so that replaced settings apply from the start.
func (p *player) startSegment(line Line) error {
	settings, err := p.ops.Override(line.Settings)
	if err != nil {
		return err
	}
	// line.PeerMessages is false in captures of builds that had no messages between schedulers, and of schedulers that had them
	// disabled.
	settings.PeerMessages = settings.PeerMessages && line.PeerMessages
	settings.PeerBudget = line.PeerBudget
	seed, err := strconv.ParseUint(line.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	switch {
	case line.Reason == reasonStart || line.Reason == reasonRestart:
		p.dispatcher = dispatch.New(settings.Settings, seed+line.DispatcherNumber)
	case line.SnapshotWithLeases != nil:
		p.dispatcher, err = dispatch.RestoreWithLeases(settings.Settings, line.SnapshotWithLeases)
	default:
		p.dispatcher, err = dispatch.Restore(settings.Settings, line.Snapshot)
	}
	if err != nil {
		return err
	}
	p.names = newNames(line.CallIDs)
	return nil
}

// play replays a step on the dispatcher, which must not be nil, and compares the decisions.
func (p *player) play(step []numberedLine) {
	now := time.Duration(step[0].Milliseconds)*time.Millisecond + time.Duration(step[0].Nanoseconds)
	var events []dispatch.Event
	var recorded, decided []decision
	for _, line := range step {
		if line.KeyWork != nil && line.ArrivedJob != nil {
			p.dispatcher.RecallKeyWork(line.ArrivedJob.Key, *line.KeyWork)
		}
		if line.Output == "" {
			events = append(events, line.event())
		} else {
			recorded = append(recorded, p.names.decisionOfLine(line))
		}
	}
	actions, panicked := p.run(now, events)
	for _, action := range actions {
		if decision, ok := p.names.decisionOf(action); ok {
			decided = append(decided, decision)
		}
	}
	if panicked {
		decided = append(decided, panicDecision)
	}
	wasPanic := len(recorded) > 0 && recorded[len(recorded)-1].isPanic()
	if panicked || wasPanic {
		p.dispatcher = nil // its state is invalid; the next segment starts with a new dispatcher
	}
	p.compare(step[0].number, recorded, decided)
}

// run calls the dispatcher's Step, and recovers from a panic: after a decision that differs, the recorded events may be invalid
// for the dispatcher's state.
func (p *player) run(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, panicked bool) {
	defer func() {
		if recover() != nil {
			actions = nil
			panicked = true
		}
	}()
	return p.dispatcher.Step(now, events, nil), false
}

// noDecision is the text for a subject without a decision.
const noDecision = "nothing"

// compare reports each decision that differs from the recorded one on the same subject, in the order of recording.
func (p *player) compare(firstLine int, recorded, decided []decision) {
	remaining := map[string][]string{}
	for _, current := range decided {
		remaining[current.subject] = append(remaining[current.subject], current.what)
	}
	for _, original := range recorded {
		what := noDecision
		if more := remaining[original.subject]; len(more) > 0 {
			what = more[0]
			remaining[original.subject] = more[1:]
		}
		p.report(original.line, original.subject, original.what, what)
	}
	for _, current := range decided {
		for _, what := range remaining[current.subject] {
			p.report(firstLine, current.subject, noDecision, what)
		}
		delete(remaining, current.subject)
	}
}

// report writes a line if two decisions on a subject differ.
func (p *player) report(line int, subject, recorded, decided string) {
	if recorded == decided {
		return
	}
	p.differences++
	fmt.Fprintf(p.output, "line %d: %s was %s, now %s\n", line, subject, recorded, decided)
}
