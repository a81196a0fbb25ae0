package asyncwriter

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"valvecove/internal/modeltest"
)

// slow is a writer that takes a piece each time it is let.
type slow struct {
	let  chan struct{}
	took chan struct{}
	got  bytes.Buffer
}

func (s *slow) Write(b []byte) (int, error) {
	<-s.let
	s.got.Write(b)
	s.took <- struct{}{}
	return len(b), nil
}

// Whatever a writer takes in, and when, it gets whole pieces in order; no more than allowed waits; what is dropped
// is counted, and said before the next piece that is not.
func FuzzWriter(f *testing.F) {
	modeltest.Fuzz(f, func(s *modeltest.Steps) {
		const most = 200
		to := &slow{let: make(chan struct{}), took: make(chan struct{})}
		w := NewWriter(to, most, func(n uint64) string { return fmt.Sprintf("lost %d\n", n) })
		var queue []string
		want, held, dropped, spoken, large := "", 0, uint64(0), uint64(0), false
		put := func(text string) bool {
			if held+len(text) > most {
				dropped++
				return false
			}
			queue, held = append(queue, text), held+len(text)
			return true
		}
		take := func() {
			to.let <- struct{}{}
			<-to.took
			if want += queue[0]; len(queue[0]) > most {
				large = false
			} else {
				held -= len(queue[0])
			}
			queue = queue[1:]
			for w.pendingTasks() != len(queue) { // until the spool has noted that it is done
			}
		}
		for n := 0; s.More(); n++ {
			switch s.Pick(4) {
			case 0, 1:
				text := fmt.Sprintf("%d %*d\n", n, 1+s.Pick(90), n)
				if _, err := w.Write([]byte(text)); err != nil {
					t := s.T
					t.Fatal(err)
				}
				if gone := dropped; gone == spoken {
					put(text)
				} else if put(fmt.Sprintf("lost %d\n", gone-spoken)) {
					spoken = gone
					put(text)
				}
				s.Record("write " + text)
			case 2:
				text := fmt.Sprintf("%d %*d\n", n, 2*most, n)
				took := w.WriteLarge([]byte(text))
				s.Check(took == !large, "a large one taken: %v, one waits: %v", took, large)
				if large = true; took {
					queue = append(queue, text)
				} else {
					dropped++
				}
				s.Record("large")
			case 3:
				if len(queue) > 0 {
					take()
				}
				s.Record("take")
			}
			s.Check(w.Dropped() == dropped, "%d dropped, expected %d", w.Dropped(), dropped)
		}
		for len(queue) > 0 {
			take()
		}
		w.Close(time.Minute)
		s.Check(to.got.String() == want, "got %q, expected %q", to.got.String(), want)
	})
}

// A spool whose act never ends holds up neither who puts nor, for longer than it is let, who closes.
func TestStuck(t *testing.T) {
	s, stuck := NewQueue(10), make(chan struct{})
	defer close(stuck)
	s.Enqueue(5, func() error { <-stuck; return nil })
	if s.Enqueue(6, func() error { return nil }) || s.Dropped() != 1 {
		t.Error("more waits than may")
	}
	s.Close(time.Millisecond)
	if s.Enqueue(1, func() error { return nil }) {
		t.Error("taken after the end")
	}
}
