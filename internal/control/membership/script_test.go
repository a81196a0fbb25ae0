package membership

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
)

var update = flag.Bool("update", false, "write the transcripts to the golden files")

// Each file of testdata consists of a script with one event per line, a line of dashes, and the expected transcript, in which
// each event is followed by the actions before the next event. "self forwarder f1" or "self planner p1" sets the process under
// test. "p1 replies 1ms" makes a planner reply ten times a second from that time on.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scripts, %v", len(files), err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			script, want, _ := strings.Cut(string(text), "----\n")
			runner := scriptRunner{t: t, latencies: map[string]time.Duration{}, repliesAt: time.Second}
			got := runner.run(script)
			if *update {
				if err := os.WriteFile(name, []byte(script+"----\n"+got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != want {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
}

// stepper is implemented by the memberships of both roles.
type stepper interface {
	Step(now time.Duration, events []Event, dst []Action) []Action
	Next() time.Duration
}

// scriptRunner runs one script.
type scriptRunner struct {
	t          *testing.T
	membership stepper
	now        time.Duration
	repliesAt  time.Duration            // time of the next replies
	latencies  map[string]time.Duration // by planner that replies
	replying   []string                 // names of these planners, in the order of the calls of setReplies
	transcript strings.Builder
	cells      int
}

// scriptStart is the time at which a script starts; times in scripts and transcripts are relative to it.
const scriptStart = 1000 * time.Second

func (r *scriptRunner) run(script string) string {
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		switch {
		case len(words) == 0 || words[0] == "#":
			r.transcript.WriteString(line)
		case words[0] == "self":
			r.transcript.WriteString(line)
			r.start(words[1], words[2])
		case len(words) == 2 && words[1] == "frozen": // freezes the process under test until this time
			r.now = scriptStart + r.duration(words[0])
			r.repliesAt = r.now
			r.transcript.WriteString(line)
			r.step()
		default:
			r.runUntil(scriptStart + r.duration(words[0]))
			r.transcript.WriteString(line)
			r.step(r.events(words[1:])...)
		}
	}
	return r.transcript.String()
}

func (r *scriptRunner) start(role, name string) {
	self := Member{Name: name, Incarnation: 1, Addr: name}
	switch role {
	case RolePlanner.String():
		r.membership = NewPlannerMembership(self, Config{})
	case RoleForwarder.String():
		r.membership = NewForwarderMembership(self, Config{})
	default:
		r.t.Fatalf("unknown role %q", role)
	}
}

// runUntil runs all steps due before a time, and sets the current time to it.
func (r *scriptRunner) runUntil(end time.Duration) {
	for {
		next := end
		if at := r.membership.Next(); at > 0 && at < next {
			next = at
		}
		if len(r.replying) > 0 && r.repliesAt < next {
			next = max(r.repliesAt, r.now)
		}
		r.now = max(r.now, next)
		if r.now >= end {
			return
		}
		r.step(r.replies()...)
	}
}

// replies returns the planners' replies if they are due, otherwise nil.
func (r *scriptRunner) replies() (events []Event) {
	if r.repliesAt > r.now {
		return nil
	}
	r.repliesAt = r.now + 100*time.Millisecond
	for _, name := range r.replying {
		events = append(events, ReplyReceived{Name: name, Latency: r.latencies[name]})
	}
	return events
}

func (r *scriptRunner) step(events ...Event) {
	for _, action := range r.membership.Step(r.now, events, nil) {
		fmt.Fprintf(&r.transcript, "    %v %s\n", r.now-scriptStart, r.actionText(action))
	}
}

func (r *scriptRunner) actionText(action Action) string {
	switch action := action.(type) {
	case SetPlanners:
		return "planners: " + strings.Join(action.Names, " ")
	case SetPeers:
		return "peers: " + strings.Join(action.Names, " ")
	case Announce:
		if action.Member.Role == RolePlanner {
			return fmt.Sprintf("announces %d workers", action.Member.Workers)
		}
		return fmt.Sprintf("announces home %q", action.Member.Home)
	case SetForwarderIndex:
		return fmt.Sprintf("index %d of %d", action.Index, action.Count)
	case SetPartition:
		text := "partition:"
		for cell := range r.cells + 1 { // the last cell is not in the endpoint list
			text += " " + action.Owner(&dispatch.Worker{Cell: cell})
		}
		return text
	case LogLine:
		return logText(action)
	}
	r.t.Fatalf("unknown action %T", action)
	return ""
}

func logText(line LogLine) string {
	text := "log: " + line.Message
	for _, attribute := range line.Attributes {
		text += " " + attribute.String()
	}
	return text
}

// events returns the events described by a line, without its time.
func (r *scriptRunner) events(words []string) []Event {
	switch {
	case len(words) == 0:
		return nil
	case len(words) == 3 && words[1] == "replies":
		r.setReplies(words[0], r.duration(words[2]))
		return nil
	case words[0] == "cells":
		r.cells = r.int(words[1])
		return []Event{fullList(r.cells)}
	}
	var events []Event
	for _, word := range words[1:] {
		events = append(events, r.memberEvent(words[0], word))
	}
	return events
}

func (r *scriptRunner) memberEvent(verb, word string) Event {
	member := r.member(word)
	switch verb {
	case "joined":
		return MemberJoined{member}
	case "left":
		return MemberLeft{member.Name, member.Incarnation}
	case "died":
		return MemberDied{member.Name, member.Incarnation}
	case "connected":
		return PlannerConnected{word}
	case "disconnected", "silent":
		r.stopReplies(word)
		return PlannerDisconnected{word, verb == "silent"}
	}
	r.t.Fatalf("unknown event %q", verb)
	return nil
}

// member parses a member: p1, p1@2 for incarnation 2, p1/10 for a planner that knows ten workers, f1=p1 for a forwarder that
// follows p1.
func (r *scriptRunner) member(text string) Member {
	member := Member{Incarnation: 1}
	text, member.Home, _ = strings.Cut(text, "=")
	text, workers, hasWorkers := strings.Cut(text, "/")
	if hasWorkers {
		member.Workers = roundUpToPowerOfTwo(r.int(workers))
	}
	name, incarnation, hasIncarnation := strings.Cut(text, "@")
	if hasIncarnation {
		member.Incarnation = uint64(r.int(incarnation))
	}
	member.Name = name
	if name[0] == 'p' {
		member.Role = RolePlanner
	}
	return member
}

func (r *scriptRunner) setReplies(name string, latency time.Duration) {
	r.stopReplies(name)
	r.replying = append(r.replying, name)
	r.latencies[name] = latency
	r.repliesAt = min(r.repliesAt, r.now)
}

func (r *scriptRunner) stopReplies(name string) {
	r.replying = slices.DeleteFunc(r.replying, func(other string) bool { return other == name })
}

func (r *scriptRunner) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		r.t.Fatal(err)
	}
	return duration
}

func (r *scriptRunner) int(text string) int {
	number, err := strconv.Atoi(text)
	if err != nil {
		r.t.Fatal(err)
	}
	return number
}

const workersPerCell = 4

// fullList returns a full endpoint list with the given number of cells.
func fullList(cells int) EndpointsChanged {
	list := dispatch.WorkerList{Kind: dispatch.ListFull}
	for i := range cells * workersPerCell {
		list.Workers = append(list.Workers, dispatch.Worker{ID: uint64(i + 1), Cell: i / workersPerCell, Ready: true})
	}
	return EndpointsChanged{list}
}
