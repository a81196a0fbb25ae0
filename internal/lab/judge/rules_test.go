package judge

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/internal/lab/scenario"
	"valvecove/internal/lab/seen"
)

var update = flag.Bool("update", false, "write what is found to the golden files")

// verbs are the names of sights in scripts.
var verbs = map[string]seen.What{
	"due": seen.Due, "asked": seen.Asked, "answered": seen.Answered, "lost": seen.Lost, "left": seen.Left,
	"gaveup": seen.GaveUp, "settled": seen.Settled, "oddbegan": seen.OddBegan, "oddended": seen.OddEnded,
	"unreached": seen.Unreached, "reached": seen.Reached, "rejected": seen.Rejected, "accepted": seen.Accepted,
	"began": seen.Began, "finished": seen.Finished, "returned": seen.Returned, "died": seen.Died,
	"withdrawn": seen.Withdrawn, "noted": seen.Noted, "notelost": seen.NoteLost, "linked": seen.Linked,
	"pushed": seen.Pushed, "fell": seen.Fell, "nodeup": seen.NodeUp, "nodedown": seen.NodeDown,
	"nodedrain": seen.NodeDrain, "nodehang": seen.NodeHang, "nodewell": seen.NodeWell, "drained": seen.Drained,
	"started": seen.Started, "schedup": seen.SchedUp, "schedready": seen.SchedReady, "schedterm": seen.SchedTerm,
	"schedkill": seen.SchedKill, "schedfroze": seen.SchedFroze, "schedwoke": seen.SchedWoke,
	"schedhup": seen.SchedHup, "schedexit": seen.SchedExit, "faulton": seen.FaultOn, "faultoff": seen.FaultOff,
	"usage": seen.Usage, "late": seen.Late, "unread": seen.Unread,
}

// Each file of testdata is a history of sights, a line each, and below a line of dashes what the judge makes of it.
// "set" lines change the scenario before. A history has right beside wrong: what is not told was not blamed.
func TestRules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) < int(rules) {
		t.Fatalf("%d histories for %d rules, %v", len(files), rules, err)
	}
	broken := map[string]bool{}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			script, want, _ := strings.Cut(string(text), "----\n")
			v := play(t, script)
			got := tell(v)
			for _, b := range v.Broken {
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
	for _, rule := range Names {
		if !broken[rule] {
			t.Errorf("no history breaks %s", rule)
		}
	}
}

func tell(v Verdict) string {
	var s strings.Builder
	for _, b := range v.Broken {
		s.WriteString(b.String())
	}
	for _, r := range v.Rules {
		if r.Broken > 0 {
			fmt.Fprintf(&s, "%s: broken %d times\n", r.Rule, r.Broken)
		}
	}
	if v.Void != "" {
		fmt.Fprintf(&s, "void: %s\n", v.Void)
	}
	fmt.Fprintf(&s, "excused %d, open %d\n", v.Counts.Excused, v.Counts.Open)
	return s.String()
}

// play has a judge watch a script.
func play(t *testing.T, script string) Verdict {
	t.Helper()
	spec, opt := scenario.Default(), Options{}
	var j *Judge
	for n, line := range strings.Split(script, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		if fields[0] == "set" {
			set(t, spec, &opt, fields[1:])
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
		s := seen.Sight{At: at, What: what}
		for _, f := range fields[2:] {
			key, value, _ := strings.Cut(f, "=")
			fill(t, spec, &s, key, value)
		}
		if s.What == seen.Due {
			c := &spec.Classes[s.Class]
			s.Work, s.Slots = c.Work.D().Seconds(), 1
			s.Deadline, s.Aim = c.Deadline.D(), c.Aim.D()+time.Duration(c.Stretch*float64(c.Work))
		}
		j.Watch(&s)
	}
	v := j.Verdict()
	if again := j.Verdict(); tell(again) != tell(v) {
		t.Errorf("asked twice, the judge says\n%s\nand then\n%s", tell(v), tell(again))
	}
	return v
}

func set(t *testing.T, spec *scenario.Scenario, opt *Options, what []string) {
	t.Helper()
	for _, f := range what {
		switch key, value, _ := strings.Cut(f, "="); key {
		case "live":
			opt.Live = true
		case "no_copies":
			spec.Schedulers.SecondCopies = false
		case "try_limit":
			spec.Schedulers.TryLimit, _ = strconv.Atoi(value)
		case "hints":
			spec.Load.Hints = value
		case "hint_factor":
			spec.Load.HintFactor, _ = strconv.ParseFloat(value, 64)
		case "untold":
			spec.Fleet.Kinds[0].StartMute = true
		case "clients", "nodes": // are cut off for a second
			from, _ := time.ParseDuration(value)
			spec.Faults = append(spec.Faults, scenario.Fault{
				What: "cut", Between: "schedulers", And: key,
				At: scenario.Span(from), For: scenario.Span(time.Second),
			})
		default:
			t.Fatalf("set %s is unknown", f)
		}
	}
}

func fill(t *testing.T, spec *scenario.Scenario, s *seen.Sight, key, value string) {
	t.Helper()
	n, _ := strconv.Atoi(value)
	d, _ := time.ParseDuration(value)
	x, _ := strconv.ParseFloat(value, 64)
	switch key {
	case "job":
		s.Job = uint64(n)
	case "class":
		for i := range spec.Classes {
			if strings.Contains(spec.Classes[i].Name, value) {
				s.Class = i
			}
		}
	case "call":
		s.Call = value
	case "key":
		s.Key = value
	case "text":
		s.Text = value
	case "try":
		s.Try = n
	case "sched":
		s.Sched = n
	case "node":
		s.Node = n
	case "boot":
		s.Boot = n
	case "status":
		s.Status = n
	case "conn":
		s.Conn = uint64(n)
	case "files":
		s.Files = n
	case "memory":
		s.Memory = int64(n)
	case "share":
		s.Share = x
	case "work":
		s.Work, s.Slots = x, 1
	case "budget":
		s.Budget = d
	case "first":
		s.First = d
	case "after":
		s.After = d
	case "span":
		s.Span = d
	default:
		t.Fatalf("%s is no part of a sight", key)
	}
}
