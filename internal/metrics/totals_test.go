package metrics

import (
	"log/slog"
	"regexp"
	"strconv"
	"testing"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/modeltest"
	"valvecove/internal/modeltest/observertest"
	"valvecove/internal/requests"
)

// answers counts what clients are told, by class 0.
type answers [4]int

func (a *answers) RespondResult([]byte)          { a[requests.ResponseResult]++ }
func (a *answers) RespondRejected(time.Duration) { a[requests.ResponseRejected]++ }
func (a *answers) RespondFailed()                { a[requests.ResponseFailed]++ }

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
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		names := requests.NameTable{Classes: []string{"a"}, Tenants: []string{"t"}}
		w := observertest.New(names, slog.New(slog.DiscardHandler))
		count, told, others := NewTotals(names.Classes), answers{}, kept{}
		all := NewExporter(config.Metrics{Format: "statsd", MaxBatchBytes: 1400}, names, func() time.Duration { return w.Now }, &others)
		w.Table.AddObserver(count)
		w.Table.AddObserver(all)
		taken, left, written, seen := 0, 0, 0, 0
		var open []*requests.Request
		for s.More() {
			var q *requests.Request
			if len(open) > 0 {
				q = open[s.Pick(len(open))]
			}
			switch what := s.Pick(7); {
			case what == 0 || q == nil:
				taken++
				q, err := w.Table.Admit(w.Now, requests.Arrival{CallID: strconv.Itoa(taken), Job: dispatch.Job{Remaining: time.Hour}, Responder: &told})
				if err != nil {
					s.T.Fatal(err)
				}
				open = append(open, q)
			case what == 1:
				w.Policy.Next = append(w.Policy.Next, []dispatch.Action{dispatch.Reject{Job: q.ID}, dispatch.Fail{Job: q.ID}}[s.Pick(2)])
			case what < 4:
				number, _ := w.Table.WorkerNumber("s-" + strconv.Itoa(s.Pick(2)))
				w.Policy.Next = append(w.Policy.Next, dispatch.Send{Job: q.ID, Worker: number})
			case what == 4 && len(w.Attempts) > 0:
				a := w.Attempts[s.Pick(len(w.Attempts))]
				w.Table.ReportWritten(a)
				written++
				w.Table.EndAttempt(a, []byte("x"), []*requests.AttemptError{nil, {Reason: requests.ReasonRejected}}[s.Pick(2)])
			case what == 5:
				if q.Response() == requests.ResponseNone && w.Table.Request(q.ID) != nil {
					left++
				}
				w.Table.ClientDisconnected(q)
				open = append(open[:0:0], open...)
				for i := range open {
					if open[i] == q {
						open = append(open[:i], open[i+1:]...)
						break
					}
				}
			case what == 6:
				w.Table.ReportRejection(&requests.Arrival{}, 503)
				w.Table.ReportRejection(nil, 400) // no job
				told[requests.ResponseRejected]++
				taken++
			}
			w.Table.Wake()
			w.Table.Step(w.Now)
			ended := 0
			for _, a := range []requests.Response{requests.ResponseResult, requests.ResponseRejected, requests.ResponseFailed} {
				ended += int(count.Ended(a, 0))
				s.Check(int(count.Ended(a, 0)) == told[a], "answer %d: %d counted, %d told", a, count.Ended(a, 0), told[a])
			}
			s.Check(taken == ended+left+w.Table.OpenCount(), "%d taken, %d ended, %d left, %d open", taken, ended, left, w.Table.OpenCount())
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
	count, text := NewTotals([]string{"a", "b"}), []byte(nil)
	if n := testing.AllocsPerRun(100, func() { text = count.Append(text[:0], Gauges{Inflight: 5}) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
