package dispatch

import "slices"

// startTracker holds the attempts that have not started, and those of them that are late. Its caller decides
// which are late.
type startTracker struct {
	pending [][]*attemptInfo // by class, oldest first; may hold attempts that have started or ended
	first   []int            // by class: the first used element of pending
	late    []*attemptInfo
}

func newStartTracker(classes int) startTracker {
	return startTracker{pending: make([][]*attemptInfo, classes), first: make([]int, classes)}
}

// add inserts an attempt by when it was sent.
func (s *startTracker) add(class int, attempt *attemptInfo) {
	pending := append(s.pending[class], attempt) //nolint:gocritic // stored back below
	i := len(pending) - 1
	for ; i > s.first[class] && pending[i-1].sentAt > attempt.sentAt; i-- {
		pending[i] = pending[i-1]
	}
	pending[i] = attempt
	s.pending[class] = pending
}

// update moves the attempts that are late from pending to late, and then removes from late those for which
// isOver holds.
func (s *startTracker) update(isLate func(class int, a *attemptInfo) bool, isOver func(a *attemptInfo) bool) {
	for class := range s.pending {
		s.moveLate(class, isLate)
	}
	s.late = slices.DeleteFunc(s.late, isOver)
}

// moveLate moves the late attempts of a class to late. It stops at the first one that is neither late nor
// started nor ended, and removes all before that from pending.
func (s *startTracker) moveLate(class int, isLate func(class int, a *attemptInfo) bool) {
	pending, i := s.pending[class], s.first[class]
	for ; i < len(pending); i++ {
		attempt := pending[i]
		isPending := !attempt.started && !attempt.ended
		if isPending && !isLate(class, attempt) {
			break
		}
		if isPending {
			s.late = append(s.late, attempt)
		}
		pending[i] = nil
	}
	if i > len(pending)/2 {
		n := copy(pending, pending[i:])
		clear(pending[n:])
		s.pending[class] = pending[:n]
		i = 0
	}
	s.first[class] = i
}
