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

var update = flag.Bool("update", false, "write what is found to the golden files")

// verbs are the names of trace events in scripts.
var verbs = map[string]trace.Kind{
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

// Each file of testdata is a history of trace events, a line each, and below a line of dashes the checker's verdict.
// "set" lines change the scenario before. A history has allowed events beside violations: what the verdict does not name is allowed.
func TestRules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) < int(ruleCount) {
		t.Fatalf("%d histories for %d rules, %v", len(files), ruleCount, err)
	}
	broken := map[string]bool{}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			script, want, _ := strings.Cut(string(text), "----\n")
			v := runScript(t, script)
			got := formatVerdict(v)
			for _, b := range v.Violations {
				broken[b.Rule] = true
			}
			if *update {
				if err := os.WriteFile(name, []byte(script+"----\n"+got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != want {
				t.Errorf("found\n%s\nwant\n%s", got, want)
			}
		})
	}
	for _, rule := range RuleNames {
		if !broken[rule] {
			t.Errorf("no history breaks %s", rule)
		}
	}
}

func formatVerdict(v Verdict) string {
	var s strings.Builder
	for _, b := range v.Violations {
		s.WriteString(b.String())
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
	opt := Options{}
	var j *Checker
	for n, line := range strings.Split(script, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		if fields[0] == "set" {
			changeScenario(t, spec, &opt, fields[1:])
			continue
		}
		if j == nil {
			j = New(spec, opt)
		}
		at, err := time.ParseDuration(fields[0])
		what, known := verbs[fields[1]]
		if err != nil || !known {
			t.Fatalf("line %d: %q: %v", n+1, line, err)
		}
		s := trace.Event{At: at, Kind: what}
		for _, f := range fields[2:] {
			key, value, _ := strings.Cut(f, "=")
			setField(t, spec, &s, key, value)
		}
		if s.Kind == trace.JobDue {
			c := &spec.Classes[s.Class]
			s.Work = c.Work.Std().Seconds()
			s.Slots = 1
			s.Deadline = c.Deadline.Std()
			s.LatencyObjective = c.LatencyObjective.Std() + time.Duration(c.ObjectiveStretch*float64(c.Work))
		}
		j.Observe(&s)
	}
	v := j.Verdict()
	if again := j.Verdict(); formatVerdict(again) != formatVerdict(v) {
		t.Errorf("asked twice, the judge says\n%s\nand then\n%s", formatVerdict(v), formatVerdict(again))
	}
	return v
}

func changeScenario(t *testing.T, spec *scenario.Scenario, opt *Options, what []string) {
	t.Helper()
	for _, f := range what {
		switch key, value, _ := strings.Cut(f, "="); key {
		case "live":
			opt.RealProcesses = true
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
		case "clients", "nodes": // are cut off for a second
			from, _ := time.ParseDuration(value)
			spec.Faults = append(spec.Faults, scenario.Fault{
				Kind: "cut", Between: "schedulers", And: key,
				At: scenario.Duration(from), Duration: scenario.Duration(time.Second),
			})
		default:
			t.Fatalf("set %s is unknown", f)
		}
	}
}

// fieldValue is the text of a field in a script, read in each of its forms.
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

// setField sets a field of an event; a class is named by a part of its name.
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
		t.Fatalf("%s is no field of an event", key)
	}
	value := fieldValue{text: text}
	value.number, _ = strconv.Atoi(text)
	value.duration, _ = time.ParseDuration(text)
	value.float, _ = strconv.ParseFloat(text, 64)
	set(event, value)
}
