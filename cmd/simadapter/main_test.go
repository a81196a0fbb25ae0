package main

import (
	"bytes"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
)

const testSettings = `{"replicas_of_me":2,"zone":0,"discovery":"subscribe","later":{"unknown":1},` +
	`"classes":[{"promise":300000,"give_up":5000000,"idempotency":"pure","late_share":0.2,"gain":1},` +
	`{"promise":300000,"give_up":5000000,"idempotency":"token","dedup_scope":"cell","window":2000000,"gain":2}],` +
	`"bounds":{"try_limit":4,"second_copies":true,"cancelling":true,"probes":true,"connect_timeout":250000},` +
	`"domain":{"class_kind":[-1,-1],"class_stretch":[2,2],"tells_start":true,"report_x0":"free slots"},` +
	`"prices":{"probe":0.002,"cross_zone":0.05},"telemetry":{"fields":["outstanding","x0"],"via":"on_probe"},` +
	`"rules":{"ask_every":10000000,"cold":6000000,"cold_from":0.2,"overload_factor":3,"fall":2000000}}`

// enlistLines returns the lines that start an instance and list two workers.
func enlistLines(i int) []string {
	return []string{
		fmt.Sprintf("ENLIST i=%d seed=%d boot_info=%s", i, 100+i, testSettings),
		fmt.Sprintf("DISCOVERY i=%d kind=warm_copy gen=4 rows=2", i),
		"M worker=7 model=0 state=Ready power_hint=1 cohort=0 dc=0 colour=red",
		"M worker=8 model=0 state=Ready power_hint=1.5 cohort=1 boot_time=5 dc=1",
	}
}

// transcript returns 40 batches with events of the given instances. A batch is a list of event lines.
func transcript(instances ...int) [][]string {
	batches := make([][]string, 40)
	for _, i := range instances {
		batches[0] = append(batches[0], enlistLines(i)...)
		for n := 1; n < 30; n++ {
			batches[n] = append(batches[n],
				fmt.Sprintf("REQUEST i=%d txn=%d service=%d left=400000 effort=%d slots=1 mood=fine", i, 100*i+n, n%2, 20000*n),
				fmt.Sprintf("WAKEUP i=%d tag=1", i))
			if n%9 == 0 {
				batches[n] = append(batches[n], fmt.Sprintf("CANCELLED_BY_CLIENT i=%d txn=%d", i, 100*i+n-1))
			}
		}
		batches[35] = append(batches[35], fmt.Sprintf("WAKEUP i=%d tag=1", i))
	}
	return batches
}

// encodeBatches returns batches as the simulator writes them.
func encodeBatches(batches [][]string) string {
	var b strings.Builder
	for n, lines := range batches {
		fmt.Fprintf(&b, "ROUND sim_time=%d\n", 8000000+50000*n)
		for _, l := range lines {
			b.WriteString(l + "\n")
		}
		b.WriteString("EOF_BATCH\n")
	}
	return b.String()
}

// runInput returns the reply to each batch of an input.
func runInput(t *testing.T, in string) []string {
	t.Helper()
	var output bytes.Buffer
	if err := run(strings.NewReader(in), &output); err != nil {
		t.Fatal(err)
	}
	return strings.SplitAfter(strings.TrimSuffix(output.String(), "NEXT\n"), "NEXT\n")
}

// linesOf returns the lines of a reply about one instance.
func linesOf(reply string, i int) (lines []string) {
	for _, l := range strings.Split(reply, "\n") {
		if strings.Contains(l+" ", fmt.Sprintf(" i=%d ", i)) {
			lines = append(lines, l)
		}
	}
	return lines
}

// Several instances in one process act in the same way as each of them in its own process.
func TestInstancesAreIndependent(t *testing.T) {
	together := runInput(t, encodeBatches(transcript(0, 3, 5)))
	if len(together) != 40 {
		t.Fatalf("%d replies to 40 batches", len(together))
	}
	forwards := 0
	for _, i := range []int{0, 3, 5} {
		for n, separate := range runInput(t, encodeBatches(transcript(i))) {
			a, b := linesOf(together[n], i), linesOf(separate, i)
			if fmt.Sprint(a) != fmt.Sprint(b) {
				t.Fatalf("batch %d, instance %d: together %v, separately %v", n, i, a, b)
			}
			forwards += strings.Count(separate, "FORWARD")
		}
	}
	if forwards < 6 {
		t.Fatalf("%d attempts, expected at least 6", forwards)
	}
}

// An instance that has no event in a batch has no line in the reply, and the reply to a batch without events is empty.
func TestInstancesWithoutEventsDoNotAct(t *testing.T) {
	batches := transcript(1, 2)
	batches[36] = []string{"WAKEUP i=2 tag=1"}
	got := runInput(t, encodeBatches(batches))
	if len(linesOf(got[36], 1)) > 0 {
		t.Fatalf("instance 1 acted without an event: %q", got[36])
	}
	if strings.TrimSuffix(got[37], "NEXT\n") != "" {
		t.Fatalf("the reply to an empty batch is %q", got[37])
	}
}

// An instance that is stopped and started in one batch does not act on its earlier events.
func TestDetachThenEnlistInOneBatch(t *testing.T) {
	batches := transcript(1)[:3]
	batches = append(batches, append([]string{"REQUEST i=1 txn=900 service=0 left=400000", "DETACH i=1"}, enlistLines(1)...))
	batches = append(batches, []string{"REQUEST i=1 txn=901 service=0 left=400000"}, []string{"DETACH i=1"},
		[]string{"WAKEUP i=1 tag=1"})
	got := runInput(t, encodeBatches(batches))
	if strings.Contains(got[3], "txn=900") || strings.Contains(got[3], "FORWARD") {
		t.Fatalf("acted on events of the stopped instance: %q", got[3])
	}
	if !strings.Contains(got[4], "TOUCH i=1") { // the new instance sends a health check before the job
		t.Fatalf("the new instance did not act: %q", got[4])
	}
	if len(linesOf(got[5], 1))+len(linesOf(got[6], 1)) > 0 {
		t.Fatal("a stopped instance acted")
	}
}

func TestLargeBatch(t *testing.T) {
	lines := enlistLines(0)
	for n := range 20000 {
		lines = append(lines, "REQUEST i=0 service=0 left=4000000 effort=100000 slots=1 txn="+strconv.Itoa(n))
	}
	if got := runInput(t, encodeBatches([][]string{lines})); strings.Count(got[0], "FORWARD") == 0 {
		t.Fatal("no attempt was sent")
	}
}

func TestMalformedInput(t *testing.T) {
	prefix := "ROUND sim_time=8000000\n" + strings.Join(enlistLines(0), "\n") + "\n" // lines 1 to 5
	cases := map[string]struct{ in, want string }{
		"line outside a batch": {"WAKEUP i=0 tag=1\n", "line 1: expected ROUND"},
		"bad clock":            {"ROUND sim_time=soon\n", "line 1: sim_time: expected a whole number"},
		"bad instance":         {prefix + "WAKEUP i=x tag=1\nEOF_BATCH\n", "line 6: i: expected a whole number"},
		"missing field":        {prefix + "REQUEST i=0 service=0 left=5\nEOF_BATCH\n", "line 6: txn: expected"},
		"bad flag":             {prefix + "RESOLVED i=0 txn=1 verdict=200 worker=7 terminal=yes\n", "line 6: terminal: expected 0 or 1"},
		"unknown code":         {prefix + "RESOLVED i=0 txn=1 verdict=222 worker=7\n", "line 6: verdict: expected a completion code"},
		"bad report":           {prefix + "CHECKED i=0 verdict=200 worker=7 telemetry=1,b\n", "line 6: telemetry: expected numbers"},
		"unknown message":      {prefix + "GREETING i=0\n", "line 6: expected an event"},
		"too few entries":      {prefix + "DISCOVERY i=0 kind=total gen=5 rows=2\nM worker=7 state=Ready\nEOF_BATCH\n", "line 8: expected entry 2 of 2"},
		"too many entries":     {prefix + "DISCOVERY i=0 kind=total gen=5 rows=0\nM worker=7 state=Ready\n", "line 7: expected an event"},
		"bad state":            {prefix + "DISCOVERY i=0 kind=total gen=5 rows=1\nM worker=7 state=Up\n", "line 7: state: expected Ready"},
		"bad list kind":        {prefix + "DISCOVERY i=0 kind=some rows=0\n", "line 6: kind: expected incr"},
		"bad settings":         {"ROUND sim_time=1\nENLIST i=0 seed=1 boot_info={\"me\":\n", "line 2: boot_info: expected a settings object"},
		"end within a batch":   {prefix, "line 6: expected EOF_BATCH"},
		"batch within a batch": {prefix + "ROUND sim_time=8000001\n", "line 6: expected an event or EOF_BATCH"},
		"number out of range":  {prefix + "REQUEST i=0 txn=1 service=0 left=99999999999999999\n", "line 6: left: expected a duration in microseconds"},
	}
	names := make([]string, 0, len(cases))
	for name := range cases {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			var output bytes.Buffer
			err := run(strings.NewReader(cases[name].in), &output)
			if err == nil || !strings.Contains(err.Error(), cases[name].want) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("error %v, expected one line with %q", err, cases[name].want)
			}
			if output.Len() > 0 {
				t.Fatalf("wrote %q", output.String())
			}
		})
	}
}
