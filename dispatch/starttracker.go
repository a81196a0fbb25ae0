package dispatch

import (
	"slices"
	"time"
)

// The attempts that have not started, and those of them that are late. Nothing is decided here.

// startMonitor watches how soon attempts start.
type startMonitor struct {
	unstarted     startTracker  // attempts in flight that have not started
	lateCount     float64       // of these, the late ones, as of the latest dispatch cycle
	usedSlots     float64       // of this dispatcher, at all workers
	lastSentAt    time.Duration // when the latest attempt was sent; 0: it has started
	meanLateDelay time.Duration // mean start delay of the attempts that started late
	minDelay      time.Duration // least start delay of all attempts: the round trip of a notification
}

// startTracker keeps the attempts that have not started, and those of them that are late by now.
type startTracker struct {
	pending [][]*attemptInfo // by class, oldest first; may hold attempts that have started or ended
	first   []int            // where each begins
	late    []*attemptInfo
}

// add keeps an attempt in its place by when it was sent.
func (t *startTracker) add(class int, a *attemptInfo) {
	pending := append(t.pending[class], a) //nolint:gocritic // it goes back below
	i := len(pending) - 1
	for ; i > t.first[class] && pending[i-1].sentAt > a.sentAt; i-- {
		pending[i] = pending[i-1]
	}
	pending[i] = a
	t.pending[class] = pending
}

// update moves what is late by the limit of its class to the late ones, and drops those of them that are over.
func (t *startTracker) update(isLate func(class int, a *attemptInfo) bool, isOver func(a *attemptInfo) bool) {
	for class := range t.pending {
		pending, i := t.pending[class], t.first[class]
		for ; i < len(pending); i++ {
			a := pending[i]
			if a.started || a.ended {
				pending[i] = nil
				continue
			}
			if !isLate(class, a) {
				break
			}
			t.late = append(t.late, a)
			pending[i] = nil
		}
		if i > len(pending)/2 {
			n := copy(pending, pending[i:])
			clear(pending[n:])
			t.pending[class], i = pending[:n], 0
		}
		t.first[class] = i
	}
	t.late = slices.DeleteFunc(t.late, isOver)
}
