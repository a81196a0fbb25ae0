package fleet

import (
	"fmt"
	"testing"
)

// A worker with the fewest requests in flight is picked, in turn among equals.
func TestLeastInFlight(t *testing.T) {
	l := &leastInFlight{workers: make([]string, 3), inFlight: make([]int, 3)}
	var got []int
	for range 4 {
		got = append(got, l.acquire())
	}
	l.release(2)
	if got = append(got, l.acquire(), l.acquire()); fmt.Sprint(got) != "[0 1 2 0 2 1]" {
		t.Error(got)
	}
}
