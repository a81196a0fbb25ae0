package tally

import (
	"log/slog"
	"regexp"
	"strconv"
	"testing"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/figures"
	"valvecove/internal/ledger"
	"valvecove/internal/steps"
	"valvecove/internal/steps/sides"
	"valvecove/logic"
)

// answers counts what clients are told, by class 0.
type answers [4]int

func (a *answers) Serve([]byte)           { a[ledger.AnsweredServed]++ }
func (a *answers) Throttle(time.Duration) { a[ledger.AnsweredBusy]++ }
func (a *answers) Fail()                  { a[ledger.AnsweredFailed]++ }

// kept is a target of figures that keeps them.
type kept []byte

func (k *kept) Send(b []byte) error {
	*k = append(*k, b...)
	return nil
}

var jobs = regexp.MustCompile(`valvecove\.jobs:(\d+)`)

// Each job that is over is counted once, by what its client was told; those that left are counted nowhere; what was refused
// at the door is busy. The other figures count the same jobs, and those that left once nothing of them is out.
func FuzzTally(f *testing.F) {
	steps.Fuzz(f, func(s *steps.Steps) {
		names := ledger.Names{Classes: []string{"a"}, Tenants: []string{"t"}}
		w := sides.New(names, slog.New(slog.DiscardHandler))
		count, told, others := New(names.Classes), answers{}, kept{}
		all := figures.New(config.Figures{Format: "statsd", MaxBatch: 1400}, names, func() time.Duration { return w.Now }, &others)
		w.Ledger.Attach(count)
		w.Ledger.Attach(all)
		taken, left, written, seen := 0, 0, 0, 0
		var open []*ledger.Query
		for s.More() {
			var q *ledger.Query
			if len(open) > 0 {
				q = open[s.Pick(len(open))]
			}
			switch what := s.Pick(7); {
			case what == 0 || q == nil:
				taken++
				q, err := w.Ledger.Take(w.Now, ledger.Arrival{Call: strconv.Itoa(taken), Job: logic.Job{Left: time.Hour}, Asker: &told})
				if err != nil {
					s.T.Fatal(err)
				}
				open = append(open, q)
			case what == 1:
				w.Module.Next = append(w.Module.Next, []logic.Action{logic.Refuse{Job: q.ID}, logic.Fail{Job: q.ID}}[s.Pick(2)])
			case what < 4:
				number, _ := w.Ledger.Number("s-" + strconv.Itoa(s.Pick(2)))
				w.Module.Next = append(w.Module.Next, logic.Send{Job: q.ID, Worker: number})
			case what == 4 && len(w.Out) > 0:
				a := w.Out[s.Pick(len(w.Out))]
				w.Ledger.Written(a)
				written++
				w.Ledger.End(a, []byte("x"), []*ledger.Fault{nil, {Reason: ledger.Rejected}}[s.Pick(2)])
			case what == 5:
				if q.Answer() == ledger.Unanswered && w.Ledger.Query(q.ID) != nil {
					left++
				}
				w.Ledger.Gone(q)
				open = append(open[:0:0], open...)
				for i := range open {
					if open[i] == q {
						open = append(open[:i], open[i+1:]...)
						break
					}
				}
			case what == 6:
				w.Ledger.Refuse(&ledger.Arrival{}, 503)
				w.Ledger.Refuse(nil, 400) // no job
				told[ledger.AnsweredBusy]++
				taken++
			}
			w.Ledger.Wake()
			w.Ledger.Step(w.Now)
			ended := 0
			for _, a := range []ledger.Answer{ledger.AnsweredServed, ledger.AnsweredBusy, ledger.AnsweredFailed} {
				ended += int(count.Ended(a, 0))
				s.Check(int(count.Ended(a, 0)) == told[a], "answer %d: %d counted, %d told", a, count.Ended(a, 0), told[a])
			}
			s.Check(taken == ended+left+w.Ledger.Open(), "%d taken, %d ended, %d left, %d open", taken, ended, left, w.Ledger.Open())
			s.Check(int(count.attempts) == written, "%d attempts counted, %d written", count.attempts, written)
			all.Gather()
			for all.Send(100) {
			}
			for _, m := range jobs.FindAllSubmatch(others, -1) {
				n, _ := strconv.Atoi(string(m[1]))
				seen += n
			}
			others = others[:0]
			s.Check(seen >= ended && seen <= ended+left, "the other figures have %d jobs, %d ended, %d left", seen, ended, left)
		}
	})
}

// A call for the figures takes no memory but its own text.
func TestAppendTakesNoMemory(t *testing.T) {
	count, text := New([]string{"a", "b"}), []byte(nil)
	if n := testing.AllocsPerRun(100, func() { text = count.Append(text[:0], Now{Inflight: 5}) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
