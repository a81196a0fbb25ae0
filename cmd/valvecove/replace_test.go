package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"valvecove/internal/testbed/fakeplatform"
)

// TestMain lets the test's own program stand in for the scheduler's, as a process of its own.
func TestMain(m *testing.M) {
	if os.Getenv("VALVECOVE_SERVES") != "" {
		os.Exit(execute([]string{"serve"}, os.Getenv, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const settings = `{"classes":[{"name":"pay","promise":30000000,"give_up":60000000,"idempotency":"side_effect"}],
"discovery":"subscribe","domain":{"tells_start":true,"class_stretch":[2]},"bounds":{"try_limit":3,"connect_timeout":250000}}`

// thisTest names the test's own program in place of a scheduler's file.
const thisTest = ""

// launch starts a scheduler from a file, or from the test's own program.
func launch(t *testing.T, p *fakeplatform.Platform, dir, file string) *fakeplatform.Process {
	t.Helper()
	command, env := []string{file, "serve"}, []string(nil)
	if file == thisTest {
		command, env = os.Args[:1], []string{"VALVECOVE_SERVES=1"}
	}
	s, err := p.Start(command, env, t.TempDir(), dir, settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if s.Kill(); t.Failed() {
			t.Logf("%s:\n%s", s.ManagementAddress, s.Log.String())
		}
	})
	until(t, "ready", s.Ready)
	return s
}

// until asks again and again for what comes by itself; that it never does is for a limit far off to find.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for n := 0; !is() && !t.Failed(); n++ {
		if n > 10_000 {
			t.Fatalf("not %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Payouts are under way all the time while a process is replaced three times over. Each client, on a connection of its own
// that is never closed, gets one answer, made by the node that ran the job; each payout runs once, also those that outlive
// the process which sent them and whose nodes tell the next; a worker node taken out by a call to the process that stands
// by is sent nothing more, whoever serves, until one call back.
func TestReplacedUnderLoad(t *testing.T) {
	files := []string{thisTest, thisTest, thisTest, thisTest}
	t.Run("by a directory", func(t *testing.T) { replacedUnderLoad(t, t.TempDir(), files) })
	t.Run("by a name", func(t *testing.T) { replacedUnderLoad(t, "", files) })
}

// The same between the schedulers of two builds, in turns, so that each takes over from the other.
// scripts/handover-between-builds builds them and names their files.
func TestReplacedByOtherBuild(t *testing.T) {
	before, after := os.Getenv("VALVECOVE_BEFORE"), os.Getenv("VALVECOVE_AFTER")
	if before == "" || after == "" {
		t.Skip("VALVECOVE_BEFORE and VALVECOVE_AFTER name no files; run scripts/handover-between-builds")
	}
	for name, files := range map[string][]string{
		"the earlier build first": {before, after, before, after},
		"the later build first":   {after, before, after, before},
	} {
		t.Run(name+", by a directory", func(t *testing.T) { replacedUnderLoad(t, t.TempDir(), files) })
		t.Run(name+", by a name", func(t *testing.T) { replacedUnderLoad(t, "", files) })
	}
}

// replacedUnderLoad starts a scheduler from the first file, and replaces it by those of the others, one after another.
func replacedUnderLoad(t *testing.T, dir string, files []string) {
	t.Helper()
	p, err := fakeplatform.New(3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	for _, n := range p.Workers[1:] {
		n.Free() // the jobs of the first node last until they are let go
	}
	var sent, answered atomic.Int64
	var all sync.WaitGroup
	stop := make(chan struct{})
	now := launch(t, p, dir, files[0])
	served := []*fakeplatform.Process{now}
	for c := range 12 {
		client, err := p.Dial()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(client.Close)
		all.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%04x%04x", c, k)
				sent.Add(1)
				status, got, err := client.Send("pay", id, strings.Repeat("x", 100*c), 50*(k%5))
				if err != nil || status != 200 || !strings.HasPrefix(got, fakeplatform.Result(id, "s-")) {
					t.Errorf("%s: %d %q, %v", id, status, got, err)
					return
				}
				answered.Add(1)
			}
		})
	}
	more := func(n int64) {
		from := answered.Load()
		until(t, fmt.Sprintf("%d more answers", n), func() bool { return answered.Load() >= from+n })
	}
	runs := func(n int) int {
		_, runs := p.Workers[n].Runs()
		return runs
	}
	more(50)
	until(t, "a job at the first node", func() bool { return runs(0) > 0 })
	for k, file := range files[1:] {
		next := launch(t, p, dir, file)
		served = append(served, next)
		if k == 1 { // by a call to the process that does not serve
			first, second := next.Cordon("s-2"), next.Cordon("s-2") // the second is harmless
			if first != 200 || second != 200 || next.Cordon("s-9") != 404 || now.Metric("hosts_down") != 1 {
				t.Error("calls at a process that stands by")
			}
		}
		if code := now.Terminate(); code != 0 {
			t.Errorf("ended with %d", code)
		}
		now = next
		more(50)
		if k == 1 {
			before := runs(2)
			if more(50); runs(2) != before {
				t.Errorf("%d jobs sent to a worker node that is out", runs(2)-before)
			}
		}
	}
	if now.Metric("hosts_down") != 1 || now.Uncordon("s-2") != 200 || now.Metric("hosts_down") != 0 {
		t.Error("the ban is not kept, or does not end")
	}
	before := runs(2)
	until(t, "used again", func() bool { return runs(2) > before })
	close(stop)
	p.Workers[0].Free() // these were sent by a process that is long gone
	all.Wait()
	if sent.Load() != answered.Load() || now.Metric("inflight") != 0 {
		t.Errorf("%d sent, %d answered, %d left", sent.Load(), answered.Load(), now.Metric("inflight"))
	}
	for _, n := range p.Workers {
		by, _ := n.Runs()
		for id, times := range by {
			if times != 1 {
				t.Errorf("%s ran %d times at %s", id, times, n.ID)
			}
		}
	}
	for k, process := range served {
		process.Kill() // the last one; its log is whole then, as are those of the others
		checkHandOvers(t, process.Log.String(), k > 0, k < len(served)-1)
	}
}

// checkHandOvers checks by a process's log that it took over and handed over what it should, all of it: to go on without
// what was learnt, or without what was open, is a failure here, though clients may not notice.
func checkHandOvers(t *testing.T, log string, tookOver, handedOver bool) {
	t.Helper()
	for _, line := range []struct {
		text string
		want bool
	}{
		{`msg="taken over"`, tookOver},
		{`msg="handed over"`, handedOver},
		{"of no use here", false},
		{"serving without what it had", false},
		{"begins anew", false},
		{"panic", false},
		{"level=ERROR", false},
	} {
		if strings.Contains(log, line.text) != line.want {
			t.Errorf("%q in the log: expected %v", line.text, line.want)
		}
	}
}
