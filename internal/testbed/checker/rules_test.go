package checker

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/internal/testbed/scenario"
	"valvecove/internal/testbed/trace"
)

var update = flag.Bool("update", false, "write the verdicts to the golden files")

// kindsByVerb has the kinds of trace events by their names in scripts.
var kindsByVerb = map[string]trace.Kind{
	"due": trace.JobDue, "asked": trace.RequestSent, "answered": trace.ResponseReceived, "lost": trace.ConnectionLost, "left": trace.ClientLeft,
	"gaveup": trace.ClientTimedOut, "settled": trace.JobSettled, "oddbegan": trace.MisbehavingClientConnected, "oddended": trace.MisbehavingClientAnswered,
	"unreached": trace.SchedulerUnreachable, "reached": trace.AttemptReceived, "rejected": trace.AttemptRejected, "accepted": trace.AttemptAccepted,
	"began": trace.AttemptStarted, "finished": trace.AttemptFinished, "returned": trace.AttemptReturned, "died": trace.AttemptDied,
	"withdrawn": trace.AttemptCancelled, "noted": trace.CallbackAnswered, "notelost": trace.CallbackLost, "linked": trace.WorkerConnected,
	"pushed": trace.ColdWorkReceived, "fell": trace.WorkerOverloaded, "nodeup": trace.WorkerStarted, "nodedown": trace.WorkerStopped,
	"nodedrain": trace.WorkerDraining, "nodehang": trace.WorkerHung, "nodewell": trace.WorkerRecovered, "drained": trace.DrainNotified,
	"started": trace.StartNotified, "schedup": trace.SchedulerStarted, "schedready": trace.SchedulerReady, "schedterm": trace.SchedulerTerminated,
	"schedkill": trace.SchedulerKilled, "schedfroze": trace.SchedulerFrozen, "schedwoke": trace.SchedulerResumed,
	"schedhup": trace.SchedulerReloaded, "schedexit": trace.SchedulerExited, "faulton": trace.FaultStarted, "faultoff": trace.FaultEnded,
	"usage": trace.ResourceUsage, "late": trace.TestbedLate, "unread": trace.AttemptUnread,
}

// TestRules checks the verdicts on scripts. Each file of testdata is a script of trace events, one a line, and below a line of
// dashes the checker's verdict. "set" lines change the scenario before the run. Scripts hold allowed events, too: the verdict
// has to report nothing else than it lists.
func TestRules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) < int(ruleCount) {
		t.Fatalf("%d scripts for %d rules, %v", len(files), ruleCount, err)
	}
	violated := map[string]bool{}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			script, want, _ := strings.Cut(string(text), "----\n")
			v := runScript(t, script)
			got := formatVerdict(v)
			for _, violation := range v.Violations {
				violated[violation.Rule] = true
			}
			if *update {
				if err := os.WriteFile(name, []byte(script+"----\n"+got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != want {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
	for _, rule := range RuleNames {
		if !violated[rule] {
			t.Errorf("no script violates %s", rule)
		}
	}
}

func formatVerdict(v Verdict) string {
	var s strings.Builder
	for _, violation := range v.Violations {
		s.WriteString(violation.String())
	}
	for _, r := range v.Rules {
		if r.Violated > 0 {
			fmt.Fprintf(&s, "%s: broken %d times\n", r.Rule, r.Violated)
		}
	}
	if v.Invalid != "" {
		fmt.Fprintf(&s, "void: %s\n", v.Invalid)
	}
	fmt.Fprintf(&s, "excused %d, open %d\n", v.Counts.Excused, v.Counts.Open)
	return s.String()
}

// runScript returns the verdict of a checker that observed the events of a script.
func runScript(t *testing.T, script string) Verdict {
	t.Helper()
	spec := scenario.Default()
	options := Options{}
	var checker *Checker
	for n, line := range strings.Split(script, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		if fields[0] == "set" {
			changeScenario(t, spec, &options, fields[1:])
			continue
		}
		if checker == nil {
			checker = New(spec, options)
		}
		at, err := time.ParseDuration(fields[0])
		kind, known := kindsByVerb[fields[1]]
		if err != nil || !known {
			t.Fatalf("line %d: %q: %v", n+1, line, err)
		}
		event := trace.Event{At: at, Kind: kind}
		for _, f := range fields[2:] {
			key, value, _ := strings.Cut(f, "=")
			setField(t, spec, &event, key, value)
		}
		if event.Kind == trace.JobDue {
			c := &spec.Classes[event.Class]
			event.Work = c.Work.Std().Seconds()
			event.Slots = 1
			event.Deadline = c.Deadline.Std()
			event.LatencyObjective = c.LatencyObjective.Std() + time.Duration(c.ObjectiveStretch*float64(c.Work))
		}
		checker.Observe(&event)
	}
	v := checker.Verdict()
	if again := checker.Verdict(); formatVerdict(again) != formatVerdict(v) {
		t.Errorf("the first verdict is\n%s\nand the second\n%s", formatVerdict(v), formatVerdict(again))
	}
	return v
}

// changeScenario applies the settings of a "set" line.
func changeScenario(t *testing.T, spec *scenario.Scenario, options *Options, settings []string) {
	t.Helper()
	for _, setting := range settings {
		switch key, value, _ := strings.Cut(setting, "="); key {
		case "live":
			options.RealProcesses = true
		case "no_copies":
			spec.Schedulers.Hedging = false
		case "try_limit":
			spec.Schedulers.AttemptLimit, _ = strconv.Atoi(value)
		case "hints":
			spec.Load.Hints = value
		case "hint_factor":
			spec.Load.HintFactor, _ = strconv.ParseFloat(value, 64)
		case "untold":
			spec.Fleet.Kinds[0].OmitsStartNotifications = true
		case "clients", "nodes": // schedulers are disconnected from these for a second
			from, _ := time.ParseDuration(value)
			spec.Faults = append(spec.Faults, scenario.Fault{
				Kind: "cut", Between: "schedulers", And: key,
				At: scenario.Duration(from), Duration: scenario.Duration(time.Second),
			})
		default:
			t.Fatalf("unknown setting %s", setting)
		}
	}
}

// fieldValue is the text of a field in a script, parsed as each type that it may have.
type fieldValue struct {
	text     string
	number   int
	duration time.Duration
	float    float64
}

// fieldSetters set the fields of an event by their names in scripts.
var fieldSetters = map[string]func(event *trace.Event, value fieldValue){
	"job":    func(event *trace.Event, value fieldValue) { event.JobID = uint64(value.number) },
	"call":   func(event *trace.Event, value fieldValue) { event.RequestID = value.text },
	"key":    func(event *trace.Event, value fieldValue) { event.IdempotencyKey = value.text },
	"text":   func(event *trace.Event, value fieldValue) { event.Text = value.text },
	"try":    func(event *trace.Event, value fieldValue) { event.Number = value.number },
	"sched":  func(event *trace.Event, value fieldValue) { event.Scheduler = value.number },
	"node":   func(event *trace.Event, value fieldValue) { event.Worker = value.number },
	"boot":   func(event *trace.Event, value fieldValue) { event.Incarnation = value.number },
	"status": func(event *trace.Event, value fieldValue) { event.Status = value.number },
	"conn":   func(event *trace.Event, value fieldValue) { event.Conn = uint64(value.number) },
	"files":  func(event *trace.Event, value fieldValue) { event.OpenFiles = value.number },
	"memory": func(event *trace.Event, value fieldValue) { event.Memory = int64(value.number) },
	"share":  func(event *trace.Event, value fieldValue) { event.Share = value.float },
	"work":   func(event *trace.Event, value fieldValue) { event.Work, event.Slots = value.float, 1 },
	"budget": func(event *trace.Event, value fieldValue) { event.Budget = value.duration },
	"first":  func(event *trace.Event, value fieldValue) { event.FirstByteAt = value.duration },
	"after":  func(event *trace.Event, value fieldValue) { event.RetryAfter = value.duration },
	"span":   func(event *trace.Event, value fieldValue) { event.Lateness = value.duration },
}

// setField sets a field of an event. A class is given by a part of its name.
func setField(t *testing.T, spec *scenario.Scenario, event *trace.Event, key, text string) {
	t.Helper()
	if key == "class" {
		for i := range spec.Classes {
			if strings.Contains(spec.Classes[i].Name, text) {
				event.Class = i
			}
		}
		return
	}
	set := fieldSetters[key]
	if set == nil {
		t.Fatalf("unknown field %s", key)
	}
	value := fieldValue{text: text}
	value.number, _ = strconv.Atoi(text)
	value.duration, _ = time.ParseDuration(text)
	value.float, _ = strconv.ParseFloat(text, 64)
	set(event, value)
}
