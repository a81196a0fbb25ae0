package metrics

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/modeltest"
	"valvecove/internal/modeltest/observertest"
	"valvecove/internal/requests"
)

// target keeps the batches that it takes.
type target struct {
	got  []string
	gone bool
}

func (t *target) Send(b []byte) error {
	if t.gone {
		return errors.New("gone")
	}
	t.got = append(t.got, string(b))
	return nil
}

func (t *target) lines() []string {
	return strings.Split(strings.TrimSuffix(strings.Join(t.got, ""), "\n"), "\n")
}

// world is figures on a ledger, with a module that does as it is told.
type world struct {
	*observertest.Fixture
	figures *Exporter
	target  *target
}

func newWorld(conf config.Metrics, names requests.NameTable) *world {
	w := &world{Fixture: observertest.New(names, slog.New(slog.DiscardHandler)), target: &target{}}
	w.figures = NewExporter(conf, names, func() time.Duration { return w.Now }, w.target)
	w.Table.AddObserver(w.figures)
	return w
}

func (w *world) flush() {
	w.target.got = nil
	w.figures.Gather()
	for w.figures.Send(1) {
	}
}

var names = requests.NameTable{Tenants: []string{"khyber-society", "mardan-society"}, Classes: []string{"status-check", "account-credit"}}

// A job that is served, in both forms, with all the figures that it makes.
func TestForms(t *testing.T) {
	for format, want := range map[string]string{
		"statsd": "valvecove.time:40.000|ms|#tenant:mardan-society,class:account-credit,outcome:served\n" +
			"valvecove.held:15.000|ms|#tenant:mardan-society,class:account-credit,outcome:served\n" +
			"valvecove.jobs:1|c|#tenant:mardan-society,class:account-credit,outcome:served\n" +
			"valvecove.attempts:1|c|#tenant:mardan-society,class:account-credit,outcome:served\n" +
			"valvecove.open:0|g|#tenant:mardan-society,class:account-credit\n" +
			"valvecove.out:0|g|#tenant:mardan-society,class:account-credit\n",
		"influx": "valvecove.time,tenant=mardan-society,class=account-credit,outcome=served ms=40.000 1718000000040000000\n" +
			"valvecove.held,tenant=mardan-society,class=account-credit,outcome=served ms=15.000 1718000000040000000\n" +
			"valvecove.jobs,tenant=mardan-society,class=account-credit,outcome=served count=1i 1718000000040000000\n" +
			"valvecove.attempts,tenant=mardan-society,class=account-credit,outcome=served count=1i 1718000000040000000\n" +
			"valvecove.open,tenant=mardan-society,class=account-credit value=0i 1718000000040000000\n" +
			"valvecove.out,tenant=mardan-society,class=account-credit value=0i 1718000000040000000\n",
	} {
		w := newWorld(config.Metrics{Format: format, MaxBatchBytes: 10_000}, names)
		q := w.Admit("a", 1, 1)
		w.Now += 15 * time.Millisecond
		w.Send(q, "s-0")
		w.Now += 25 * time.Millisecond
		w.SendCallback("a", "s-0", "done", 0)
		if w.flush(); len(w.target.got) != 1 || w.target.got[0] != want {
			t.Errorf("%s: %q", format, w.target.got)
		}
	}
}

// Names with anything in them can't end a tag or a line, in either form.
func TestEscapes(t *testing.T) {
	odd := requests.NameTable{Tenants: []string{"a,b=c d|e#f:g\nh\\"}, Classes: []string{strings.Repeat("x", 300)}}
	for format, want := range map[string]string{
		"statsd": "valvecove.jobs:1|c|#tenant:a_b=c_d_e_f_g_h\\,class:" + strings.Repeat("x", longestTag) + ",outcome:turned_away",
		"influx": `valvecove.jobs,tenant=a\,b\=c\ d|e#f:g_h_,class=` + strings.Repeat("x", longestTag) + `,outcome=turned\ away count=1i`,
	} {
		w := newWorld(config.Metrics{Format: format, MaxBatchBytes: 1400}, odd)
		w.Table.ReportRejection(&requests.Arrival{CallID: "a"}, 503)
		if w.flush(); len(w.target.lines()) != 1 || !strings.HasPrefix(w.target.lines()[0], want) {
			t.Errorf("%s: %q, expected %q", format, w.target.lines(), want)
		}
	}
}

// Whatever happens, and however small a batch may be, each job, attempt and refusal is counted once, gauges are what
// is open and out, batches hold whole figures and stay under the limit but for one that is longer by itself; batches
// that nobody takes are counted.
func FuzzFigures(f *testing.F) {
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		most := 1 + 4*s.Pick(200)
		w := newWorld(config.Metrics{Format: "statsd", MaxBatchBytes: most}, names)
		want, got := map[string]int{}, map[string]int{}
		sum := func() { // of what was handed on
			for _, b := range w.target.got {
				s.Check(len(b) < most || strings.Count(b, "\n") == 1, "a batch of %d, under %d", len(b), most)
			}
			for _, line := range strings.Fields(strings.Join(w.target.got, "")) {
				name, rest, _ := strings.Cut(line, ":")
				value, tags, ok := strings.Cut(rest, "|")
				switch n, err := strconv.Atoi(value); {
				case err == nil && tags[0] == 'c':
					got[name+tags] += n
				case err == nil && tags[0] == 'g':
					got[name+tags] = n
				default:
					got[name+tags]++
					s.Check(ok && tags[0] == 'm', "%q", line)
				}
			}
		}
		type job struct {
			id   string
			q    *requests.Request
			tags string
			out  bool
		}
		var open []*job
		for n := 0; s.More(); n++ {
			var j *job
			at := 0
			if len(open) > 0 {
				at = s.Pick(len(open))
				j = open[at]
			}
			what := s.Pick(8)
			over := func(how string, sent bool) {
				open = append(open[:at], open[at+1:]...)
				want["valvecove.jobsc|#"+j.tags+",outcome:"+how]++
				want["valvecove.timems|#"+j.tags+",outcome:"+how]++
				if sent {
					want["valvecove.heldms|#"+j.tags+",outcome:"+how]++
				}
				want["valvecove.openg|#"+j.tags]--
			}
			switch {
			case j == nil || what == 0:
				tenant, class := s.Pick(2), s.Pick(2)
				j = &job{id: strconv.Itoa(n), tags: "tenant:" + names.Tenants[tenant] + ",class:" + names.Classes[class]}
				j.q = w.Admit(j.id, tenant, class)
				want["valvecove.openg|#"+j.tags]++
				open = append(open, j)
			case what < 3 && !j.out:
				w.Send(j.q, "s-0")
				want["valvecove.outg|#"+j.tags]++
				j.out = true
			case what < 5 && j.out:
				w.SendCallback(j.id, "s-0", "done", 0)
				want["valvecove.attemptsc|#"+j.tags+",outcome:served"]++
				want["valvecove.outg|#"+j.tags]--
				over("served", true)
			case what == 5 && !j.out && j.q.FirstSentAt == 0:
				w.Apply(dispatch.Reject{Job: j.q.ID})
				over("turned_away", false)
			case what == 6:
				w.Table.ReportRejection(nil, 400)
				want["valvecove.bad_requestsc"]++
			case what == 7:
				w.flush()
				sum()
			}
			w.Now += time.Millisecond
			s.Record(fmt.Sprint(what))
		}
		w.flush()
		sum()
		maps.DeleteFunc(got, func(_ string, n int) bool { return n == 0 }) // a gauge may be at nothing
		maps.DeleteFunc(want, func(_ string, n int) bool { return n == 0 })
		s.Check(maps.Equal(got, want), "%v, expected %v", got, want)
		w.target.gone = true
		w.flush()
		w.target.gone = false
		if lost := w.figures.errors; lost > 0 || len(w.figures.gauges) > 0 && open != nil {
			told := fmt.Sprintf("valvecove.figures_send_errors:%d|c\n", lost)
			w.flush()
			s.Check(lost > 0 && strings.Contains(strings.Join(w.target.got, ""), told), "not told %q: %q", told, w.target.got)
		}
	})
}

// What waits stays under its bound: the oldest figures go, whole, and are counted.
func TestPendingBound(t *testing.T) {
	w := newWorld(config.Metrics{Format: "statsd", MaxBatchBytes: 1400}, names)
	const jobs = 5000
	for n := range jobs {
		q := w.Admit(strconv.Itoa(n), 0, 0)
		w.Now += time.Duration(n) * time.Microsecond
		w.Apply(dispatch.Reject{Job: q.ID})
		if waits := len(w.figures.pending) - w.figures.from; waits > mostPending || cap(w.figures.pending) > 4*mostPending {
			t.Fatalf("%d bytes wait, in %d", waits, cap(w.figures.pending))
		}
	}
	w.flush()
	lines, timers, dropped := w.target.lines(), 0, 0
	w.flush() // what was dropped while the first was gathered
	for _, line := range lines {
		if strings.HasPrefix(line, "valvecove.time:") {
			timers++
		}
	}
	for _, line := range append(w.target.lines(), lines...) {
		n := 0
		_, _ = fmt.Sscanf(line, "valvecove.figures_dropped:%d|c", &n)
		dropped += n
	}
	if dropped == 0 || timers+dropped != jobs || !strings.HasPrefix(lines[timers-1], "valvecove.time:4.999|ms|") {
		t.Errorf("%d timers and %d dropped of %d, the last %q", timers, dropped, jobs, lines[timers-1])
	}
}
