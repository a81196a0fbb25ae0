package capture

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
)

// player gives the steps of a capture to a dispatcher, and compares what that decides with what was recorded.
type player struct {
	ops         config.Ops // whose replay settings replace recorded ones
	output      io.Writer  // gets a line for each decision that differs
	differences int

	dispatcher *dispatch.Dispatcher // nil before the first segment, and after a panic
	names      names
}

// startSegment makes the segment's dispatcher. The first one of a scheduler begins anew rather than from the recorded state,
// so that other settings hold from its start on.
func (p *player) startSegment(line Line) error {
	settings, err := p.ops.Override(line.Settings)
	if err != nil {
		return err
	}
	// Captures of builds before messages between schedulers, and of schedulers that had them off, have none.
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

// play gives a step to the dispatcher, which must not be nil.
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
		p.dispatcher = nil // its state is of no use: the next segment is another dispatcher's
	}
	p.compare(step[0].number, recorded, decided)
}

// run has the dispatcher step. What that does after a decision that differed may be more than it can take.
func (p *player) run(now time.Duration, events []dispatch.Event) (actions []dispatch.Action, panicked bool) {
	defer func() {
		if recover() != nil {
			actions, panicked = nil, true
		}
	}()
	return p.dispatcher.Step(now, events, nil), false
}

// noDecision stands in for the decision on a subject that there was none on.
const noDecision = "nothing"

// compare reports each decision on a subject that is not as recorded, in the order of the record.
func (p *player) compare(firstLine int, recorded, decided []decision) {
	remaining := map[string][]string{}
	for _, now := range decided {
		remaining[now.subject] = append(remaining[now.subject], now.what)
	}
	for _, was := range recorded {
		now := noDecision
		if more := remaining[was.subject]; len(more) > 0 {
			now = more[0]
			remaining[was.subject] = more[1:]
		}
		p.report(was.line, was.subject, was.what, now)
	}
	for _, now := range decided {
		for _, what := range remaining[now.subject] {
			p.report(firstLine, now.subject, noDecision, what)
		}
		delete(remaining, now.subject)
	}
}

func (p *player) report(line int, subject, was, now string) {
	if was == now {
		return
	}
	p.differences++
	fmt.Fprintf(p.output, "line %d: %s was %s, now %s\n", line, subject, was, now)
}
