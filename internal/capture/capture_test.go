package capture

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/modeltest/observertest"
	"valvecove/internal/requests"
)

const platform = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964","settings":{
"domain":{"tells_start":true,"class_stretch":[2.5,2.0,1.75]},"discovery":"subscribe","zones":["z"],"kinds":["m"],
"classes":[{"name":"status-check","promise":80000,"give_up":5000000,"idempotency":"pure","gain":2},
{"name":"cash-payout","promise":500000,"give_up":7500000,"idempotency":"side_effect","gain":2},
{"name":"account-credit","promise":500000,"give_up":12000000,"idempotency":"token","window":20000000,"gain":3}],
"bounds":{"try_limit":6,"connect_timeout":250000,"second_copies":true,"probes":true,"retry_after":true,"max_retry_after":2000000},
"prices":{"probe":0.004},"rules":{"ask_every":10000000,"cold":8800000,"cold_from":0.3,"overload_factor":3.0,"fall":2000000},
"tenants":[{"name":"swat-society","quota_per_s":6.0}]}}`

// play is a scheduler without sockets, whose worker nodes do as a random source says.
type play struct {
	observertest.Fixture
	t    testing.TB
	rng  *rand.Rand
	rec  *Recorder
	jobs int
	set  dispatch.Settings
}

func (p *play) CheckHealth(w uint64) { p.Table.HealthChecked(w, nil) }
func (p *play) Watch(int64)          { p.hosts() }

func newPlay(tb testing.TB, seed uint64, conf config.Capture) *play {
	tb.Helper()
	c, err := config.Decode([]byte(platform), func(string) string { return "" })
	if err != nil {
		tb.Fatal(err)
	}
	p := &play{t: tb, set: c.Settings.Settings, rng: rand.New(rand.NewPCG(seed, 3)), Fixture: observertest.Fixture{T: tb, Now: 1718000000123456789}}
	p.rec, err = New(conf, c, func() time.Duration { return p.Now }, slog.New(slog.DiscardHandler))
	if err != nil {
		tb.Fatal(err)
	}
	next := c.Seed
	p.Table = requests.New(6, c.Settings.Names, func() requests.Policy {
		next++
		return p.rec.Wrap(dispatch.New(c.Settings.Settings, next))
	}, requests.EndpointList{}, p, slog.New(slog.DiscardHandler))
	p.rec.LookupEndpoint = p.Table.Endpoint
	p.Table.AddObserver(p.rec)
	return p
}

func (p *play) hosts() {
	g := requests.EndpointList{Revision: 1, Reset: p.rng.IntN(2) == 0}
	for n := range 4 + p.rng.IntN(5) {
		h := requests.Endpoint{
			ID: "s-" + strconv.Itoa(n), Addr: "127.0.0.1:1", Zone: "z", MachineType: "m", Weight: 1,
			Lifecycle: []string{"up", "up", "up", "draining"}[p.rng.IntN(4)],
		}
		if p.rng.IntN(6) == 0 {
			h.StartedAtMs = p.Now.Milliseconds() - int64(p.rng.IntN(20000))
		}
		g.Endpoints = append(g.Endpoints, h)
	}
	p.Table.UpdateEndpoints(g)
}

// run plays so many steps.
func (p *play) run(steps int) {
	for range steps {
		p.Now += time.Duration(p.rng.IntN(30_000_000))
		for range p.rng.IntN(3) {
			p.jobs++
			class := p.rng.IntN(3)
			q, err := p.Table.Admit(p.Now, requests.Arrival{CallID: fmt.Sprintf("%016x", p.jobs), Responder: p, Job: dispatch.Job{
				Class: class,
				Key:   uint64(p.rng.IntN(40)), Remaining: time.Duration(1+p.rng.IntN(5)) * time.Second, Slots: float64(1 + p.rng.IntN(2)),
				Hint: time.Duration(1 + p.rng.IntN(400_000_000)),
			}, Payload: requests.Payload{Method: "POST", Path: "/x", Body: []byte("secret")}})
			if err != nil {
				p.t.Fatal(err)
			}
			if p.rng.IntN(30) == 0 {
				p.Table.ClientDisconnected(q)
			}
		}
		result := "secret"
		for i := range p.Attempts {
			state := []string{"started", "started", "running", "done", "done", "failed", "returned", "lost"}[p.rng.IntN(8)]
			if p.rng.IntN(4) == 0 {
				a := p.Attempts[i]
				_, _ = p.Table.HandleCallback(requests.Callback{CallID: a.Request.CallID, EndpointID: a.EndpointID, State: state, Progress: p.rng.Float64(), Result: &result})
			}
		}
		if len(p.Attempts) > 20 {
			p.Attempts = p.Attempts[10:] // worker nodes that never say more
		}
		if p.rng.IntN(60) == 0 {
			p.hosts()
		}
		if p.rng.IntN(60) == 0 {
			p.Table.Cordon("s-" + strconv.Itoa(p.rng.IntN(9)))
		}
		if p.rng.IntN(30) == 0 {
			p.Table.Uncordon("s-" + strconv.Itoa(p.rng.IntN(9)))
		}
		p.Table.Step(p.Now)
	}
}

// A process that goes on with what another one had records that from its first step on, and it replays.
func TestReplayTakenOver(t *testing.T) {
	for seed := range uint64(6) {
		p, next := newPlay(t, seed, config.Capture{MemoryKB: 512}), newPlay(t, seed+100, config.Capture{MemoryKB: 512})
		p.run(150)
		if next.Now = p.Now; !p.Table.FlushEvents(p.Now) {
			t.Fatal("it never settles")
		}
		book, open := p.Table.Snapshot()
		askers := map[uint64]requests.Responder{}
		for _, q := range open {
			askers[q.ID] = next
		}
		next.Table.TakeOver(next.Now, book, open, askers, func() requests.Policy {
			d, err := dispatch.Restore(p.set, p.rec.edge.Snapshot(nil))
			if err != nil {
				t.Fatal(err)
			}
			return next.rec.Continue(d)
		})
		next.jobs = p.jobs
		next.run(150)
		text := next.rec.Dump()
		if sends := same(t, text); sends == 0 || !bytes.Contains(text, []byte(`"why":"taken over"`)) || len(open) == 0 {
			t.Errorf("%d sends, %d queries taken over", sends, len(open))
		}
	}
}

func replayed(t *testing.T, text []byte, ops string) (differences int, out, warnings string, err error) {
	t.Helper()
	o, err := config.DecodeOps(ops)
	if err != nil {
		t.Fatal(err)
	}
	var a, b bytes.Buffer
	differences, err = Replay(bytes.NewReader(text), o, &a, &b)
	return differences, a.String(), b.String(), err
}

// same expects that a capture replays without a difference or a warning; it counts the sends.
func same(t *testing.T, text []byte) int {
	t.Helper()
	n, out, warnings, err := replayed(t, text, "")
	if n != 0 || err != nil || warnings != "" {
		t.Errorf("%d differences, %v, %q:\n%.600s", n, err, warnings, out)
	}
	if bytes.Contains(text, []byte("secret")) {
		t.Error("a body is in it")
	}
	return bytes.Count(text, []byte(`"out":"send"`))
}

// Whatever is left of a ring, wrapped or not, replays without a difference; it never holds more than it may but for
// a step. So does each file of a capture in files.
func TestReplaySame(t *testing.T) {
	for seed := range uint64(12) {
		p := newPlay(t, seed, config.Capture{MemoryKB: 48})
		wrapped, sends := false, 0
		for range 40 {
			p.run(25)
			text := p.rec.Dump()
			wrapped = wrapped || !bytes.Contains(text, []byte(`"why":"start"`))
			if len(text) > 60<<10 {
				t.Errorf("%d bytes in a ring of %d", len(text), 48<<10)
			}
			sends += same(t, text)
		}
		if !wrapped || sends < 100 || p.rec.Lost() > 0 {
			t.Errorf("wrapped %v, %d sends, %d lost", wrapped, sends, p.rec.Lost())
		}
	}
}

func TestFiles(t *testing.T) {
	dir := t.TempDir()
	for process := range 2 { // the second one keeps no more than the first
		p := newPlay(t, uint64(process), config.Capture{Dir: dir, FileMB: 1, Files: 3})
		p.rec.sink.(*files).most = 64 << 10
		p.run(2000)
		if p.rec.Close(time.Minute); p.rec.Lost() > 0 || p.rec.Dump() != nil {
			t.Errorf("%d lost", p.rec.Lost())
		}
	}
	names, _ := filepath.Glob(dir + "/*")
	if len(names) != 3 || filepath.Base(names[0]) < "n0-00000010" {
		t.Errorf("files: %v", names)
	}
	for _, name := range names[:2] {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		same(t, text)
	}
	if _, err := newFiles(config.Capture{Dir: dir + "/none"}, "n0"); err == nil {
		t.Error("a directory that is not there was taken")
	}
}

// A state too large for the ring is counted and left out; the ring stays bounded, and what it has replays.
func TestStateTooLarge(t *testing.T) {
	for _, kb := range []int{1, 10} { // too little for any opening; for that of a busy module
		p := newPlay(t, 1, config.Capture{MemoryKB: kb})
		p.run(600)
		text := p.rec.Dump()
		if p.rec.Lost() == 0 || text == nil || len(text) > kb<<10+4<<10 || kb == 1 && len(text) > 0 {
			t.Errorf("%d lost, %d bytes in %d KB", p.rec.Lost(), len(text), kb)
		}
		if len(text) > 0 {
			same(t, text)
		}
	}
}

// A disk that fails leaves whole lines and is counted; once it works again a new segment goes on, which replays.
func TestDiskFails(t *testing.T) {
	dir := t.TempDir()
	p := newPlay(t, 1, config.Capture{Dir: dir, FileMB: 1, Files: 3})
	f := p.rec.sink.(*files)
	settled := func() { // until the queue has done all that it has
		done := make(chan struct{})
		f.EnqueueLarge(func() error { close(done); return nil })
		<-done
	}
	p.run(100)
	settled()
	_ = f.file.Close()
	p.run(50)
	settled()
	p.run(1)
	if p.rec.Lost() == 0 || !p.rec.lost {
		t.Errorf("%d lost under a closed file", p.rec.Lost())
	}
	p.Now += retryAfter
	p.run(100)
	p.rec.Close(time.Minute)
	names, _ := filepath.Glob(dir + "/*")
	if len(names) != 2 {
		t.Fatalf("files: %v", names)
	}
	for _, name := range names {
		text, _ := os.ReadFile(name)
		same(t, text)
	}
	if text, _ := os.ReadFile(names[1]); !bytes.Contains(text, []byte(whyGap)) {
		t.Error("the gap is not told")
	}
}

// Another setting makes differences, each with its line, the job's id and both decisions; a name that is not among
// the recorded ones, or a value that no scheduler could work by, does not replay.
func TestReplayOtherSettings(t *testing.T) {
	p := newPlay(t, 1, config.Capture{MemoryKB: 1 << 10})
	p.run(400)
	text := append([]byte("n0: listening at 127.0.0.1:1\n"), p.rec.Dump()...)
	n, out, warnings, err := replayed(t, text, "[replay.settings.classes.cash-payout]\npromise = 5000000")
	lines := strings.Split(string(text), "\n")
	if n == 0 || n != strings.Count(out, "\n") || err != nil || warnings != "" {
		t.Fatalf("%d differences, %v, %q", n, err, warnings)
	}
	for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
		var at int
		var id, was string
		if _, err := fmt.Sscanf(line, "line %d: %s was %s", &at, &id, &was); err != nil || at < 2 || at > len(lines) ||
			was != "nothing," && !strings.Contains(lines[at-1], id) && !strings.Contains(id+was, "host") {
			t.Errorf("%q: %v", line, err)
		}
	}
	for ops, want := range map[string]string{
		"[replay.settings.bounds]\ntry_limits = 1":       `line 2: key "replay.settings.bounds.try_limits": not among the recorded settings`,
		"[replay.settings.bounds]\ntry_limit = 0":        `line 2: key "replay.settings.bounds.try_limit": expected 1 at least, got 0`,
		"[replay.settings.bounds]\ntry_limit = 'x'":      `line 2: key "replay.settings.bounds.try_limit": expected a number`,
		"[replay.settings.classes.loans]\npromise = 1.0": `line 2: key "replay.settings.classes.loans": not among the recorded settings`,
	} {
		if _, _, _, err := replayed(t, text, ops); err == nil || err.Error() != want {
			t.Errorf("%s: %v, expected %s", ops, err, want)
		}
	}
}

// A module that panics is recorded up to that and replays; the one after it begins a segment of its own.
func TestReplayPanic(t *testing.T) {
	p := newPlay(t, 1, config.Capture{MemoryKB: 1 << 10})
	p.run(100)
	p.rec.edge.Dispatcher = &dispatch.Dispatcher{} // panics whatever it is told
	p.Table.DiscoveryFailed()
	p.Table.Step(p.Now)
	p.run(100)
	text := p.rec.Dump()
	if !bytes.Contains(text, []byte(`"out":"panic"`)) || !bytes.Contains(text, []byte(whyRestart)) {
		t.Fatal("no panic and no second module in it")
	}
	// Replayed, the module is whole: the panic itself is the one difference.
	n, out, warnings, err := replayed(t, text, "")
	if n != 1 || !strings.Contains(out, "the module was a panic, now ") || err != nil || warnings != "" {
		t.Errorf("%d differences, %v, %q:\n%s", n, err, warnings, out)
	}
}

// A last line that is cut anywhere is skipped with a warning, and with it the step that it was of; any other broken
// line is an error with its number; log lines are passed over; and nothing makes the replay panic.
func FuzzBroken(f *testing.F) {
	p := newPlay(f, 1, config.Capture{MemoryKB: 1 << 10})
	p.run(40)
	text := p.rec.Dump()
	lines := slices.Collect(bytes.Lines(text))
	for n := range 60 {
		f.Add(uint16(n*7), uint16(n*13), []byte(`{"t":1,"in":"job","of":3}`))
	}
	f.Add(uint16(9), uint16(3), []byte(`{"t":1,"in":"outcome","worker":"s-9"}`))
	f.Add(uint16(9), uint16(3), []byte(`{"t":1,"in":"start","seed":"1","settings":{"classes":[]}}`))
	f.Add(uint16(9), uint16(3), []byte(`{"t":1,"in":"progress","job":1,"past":1,"share":1e300,"of":-1}`))
	f.Fuzz(func(t *testing.T, at, by uint16, other []byte) {
		n := int(at) % len(lines)
		before := bytes.Join(lines[:n], nil)
		cut := lines[n][:int(by)%len(lines[n])]
		differences, out, warnings, err := replayed(t, append(bytes.Clone(before), cut...), "")
		switch {
		case n == 0:
			if !errors.Is(err, ErrNoCapture) {
				t.Errorf("nothing whole: %v", err)
			}
		case err != nil || differences != 0 || len(cut) > 0 && len(cut) < len(lines[n])-1 && !strings.Contains(warnings, fmt.Sprintf("line %d is cut short", n+1)):
			t.Errorf("cut in line %d: %v, %q, %s", n+1, err, warnings, out)
		}
		if len(cut) > 0 && len(cut) < len(lines[n])-1 {
			whole := slices.Concat(before, cut, []byte("\n"), lines[len(lines)-1])
			if _, _, _, err := replayed(t, whole, ""); err == nil || !strings.HasPrefix(err.Error(), fmt.Sprintf("line %d: ", n+1)) {
				t.Errorf("broken in line %d: %v", n+1, err)
			}
		}
		if n > 0 {
			_, _, _, _ = replayed(t, slices.Concat(before, other, []byte("\n"), bytes.Join(lines[n:], nil)), "")
		}
	})
}

// Figures come back from a line bit by bit.
func TestLineExact(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		x := math.Float64frombits(rng.Uint64())
		if math.IsNaN(x) || math.IsInf(x, 0) {
			continue
		}
		small := float64(rng.IntN(1e9)) / 1e6
		was := Line{T: int64(rng.Uint64() >> 1), Share: small, Past: &x, Number: rng.Uint64(), Arrived: &dispatch.Job{Key: rng.Uint64(), Slots: x, Memory: small}}
		text, err := json.Marshal(was)
		var is Line
		if err == nil {
			err = json.Unmarshal(text, &is)
		}
		if err != nil || !reflect.DeepEqual(was, is) {
			t.Fatalf("%s: %+v, %v", text, is, err)
		}
	}
}
