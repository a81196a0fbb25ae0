package requests

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Discovery lists the start times of workers as Unix time, and the policy compares them with the process's clock, which starts
// at the wall clock's time when the process starts, and is monotonic from then on. The wall clock may have been wrong at that
// time, by seconds or by an hour, and the age of a worker would then be too high or negative. The error is estimated from the
// lists alone: no worker starts after its start is listed, so the least age of a worker at that time is an upper bound for how
// far the process's clock is ahead.

const (
	// usualListingDelay is the usual time between the start of a worker and the first list that contains it. A clock that is
	// ahead by less is not corrected.
	usualListingDelay = time.Second

	// maxSlowStart is an upper bound for the duration of a slow start. Of two workers that started further apart, the older one
	// is warm.
	maxSlowStart = time.Minute

	// maxClockError bounds the error of clocks. A start time with a greater error is invalid, and not used for the estimate.
	maxClockError = 24 * time.Hour

	// If the process's clock may be ahead, the workers of a first list that started together with the newest one are assumed
	// to be cold only if they are few: at most 1/maxColdDivisor of the list, or one worker of at least minFleetForOneCold. If
	// more started together, they are assumed to be warm: otherwise requests that they can serve would be rejected.
	maxColdDivisor     = 10
	minFleetForOneCold = 4
)

// Receipt contains the instants that belong to the receipt of an endpoint list, by the process's clock.
type Receipt struct {
	At                time.Duration // 0: not known; start times are used as listed
	PreviousCurrentAt time.Duration // when the previous list was last known to be current; 0: there was no list
}

// startTime is the start time of a worker.
type startTime struct {
	listedMs int64         // as listed by discovery, Unix time in milliseconds
	at       time.Duration // by the process's clock
}

// startTimes converts the start times of workers to the process's clock. Each is converted when it is first listed, and changes
// only when discovery lists another one. None is later than the receipt of that list, so that the slow start of a worker is not
// prolonged.
type startTimes struct {
	byWorker map[uint64]startTime
	// leastAge is the least age of a worker, by the process's clock, when its start was listed. The clock is ahead of those of
	// the workers by at most this much; if it is negative, the clock is behind by at least its absolute value.
	leastAge    time.Duration
	hasLeastAge bool // leastAge is known
	seemsAhead  bool // by the process's clock a newly listed start precedes the previous list, which lacked it

	receipt         Receipt // of the list that was observed last
	startedTogether bool    // the result of EndpointList.startedTogether for that list
}

func newStartTimes() startTimes { return startTimes{byWorker: map[uint64]startTime{}} }

// observe updates leastAge by the start times in a list. It is called before startedAt for the workers of the list. listedBefore
// is the number of workers that were listed before.
func (s *startTimes) observe(list EndpointList, listedBefore int) {
	s.receipt = list.Receipt
	if s.receipt.At == 0 {
		return
	}
	for _, endpoint := range list.Endpoints {
		age := s.receipt.At - unixInstant(endpoint.StartedAtMs)
		if endpoint.StartedAtMs > 0 && age >= -maxClockError {
			s.updateLeastAge(age)
		}
	}
	s.startedTogether = list.startedTogether(listedBefore)
}

// updateLeastAge updates leastAge by the age of a worker whose start was listed.
func (s *startTimes) updateLeastAge(age time.Duration) {
	if !s.hasLeastAge || age < s.leastAge {
		s.leastAge, s.hasLeastAge = age, true
	}
}

// startedAt returns the start time of a worker by the process's clock, or 0 if it is not known; the worker is then assumed to
// be warm. listedMs is its start time in the list that was observed last.
func (s *startTimes) startedAt(worker uint64, listedMs int64) time.Duration {
	if listedMs <= 0 {
		return 0
	}
	if known := s.byWorker[worker]; known.listedMs == listedMs {
		return known.at
	}
	listed := unixInstant(listedMs)
	if s.receipt.At == 0 {
		return listed
	}
	at := max(1, min(listed+s.correction(listed), s.receipt.At))
	s.byWorker[worker] = startTime{listedMs, at}
	return at
}

// correction returns the difference to add to a start time that is listed for the first time, or 0 if the process's clock may
// be correct.
func (s *startTimes) correction(listed time.Duration) time.Duration {
	previousListAt := s.receipt.PreviousCurrentAt
	switch {
	case s.leastAge < -usualListingDelay: // the process's clock is behind
		return s.leastAge
	case s.leastAge <= usualListingDelay: // the clock is not ahead
		return 0
	case previousListAt == 0 && s.startedTogether:
		return 0
	case previousListAt > 0 && !s.seemsAhead && listed >= previousListAt-usualListingDelay:
		return 0 // the worker started after the previous list
	default: // the process's clock may be ahead by leastAge, which assumes that the newest worker started just now
		s.seemsAhead = s.seemsAhead || previousListAt > 0
		return s.leastAge
	}
}

// startedTogether reports whether too many workers of the list started together with the newest one to be assumed cold; see
// maxColdDivisor. listedBefore is the number of workers that were listed before.
func (e *EndpointList) startedTogether(listedBefore int) bool {
	newest := int64(0)
	for i := range e.Endpoints {
		newest = max(newest, e.Endpoints[i].StartedAtMs)
	}
	together := 0
	for i := range e.Endpoints {
		if e.Endpoints[i].StartedAtMs > newest-maxSlowStart.Milliseconds() {
			together++
		}
	}
	all := len(e.Endpoints)
	if !e.Reset {
		all = max(all, listedBefore)
	}
	return together > max(all/maxColdDivisor, min(1, all/minFleetForOneCold))
}

// snapshot returns the start times that differ from the listed ones, in order of the workers' numbers.
func (s *startTimes) snapshot(endpoints map[uint64]Endpoint) (starts []WorkerStart) {
	for _, worker := range slices.Sorted(maps.Keys(s.byWorker)) {
		start := s.byWorker[worker]
		if id := endpoints[worker].ID; id != "" && start.at != unixInstant(start.listedMs) {
			starts = append(starts, WorkerStart{EndpointID: id, ListedMs: start.listedMs, At: start.at})
		}
	}
	return starts
}

// restore replaces start times by those of another process, which observed the workers for longer, unless a later start was
// listed here.
func (s *startTimes) restore(state State, numbers map[string]uint64) {
	for _, start := range state.allStarts() {
		worker, known := numbers[start.EndpointID]
		if known && s.byWorker[worker].listedMs <= start.ListedMs {
			s.byWorker[worker] = startTime{start.ListedMs, start.At}
		}
	}
	if state.LeastAge != 0 {
		s.updateLeastAge(state.LeastAge)
	}
}

// allStarts returns the start times of all workers: those in Starts, and the others as they were listed.
func (s *State) allStarts() []WorkerStart {
	starts := slices.Clone(s.Starts)
	isKnown := map[string]bool{}
	for _, start := range starts {
		isKnown[start.EndpointID] = true
	}
	for _, endpoint := range s.Endpoints {
		if endpoint.StartedAtMs > 0 && !isKnown[endpoint.ID] {
			at := unixInstant(endpoint.StartedAtMs)
			starts = append(starts, WorkerStart{EndpointID: endpoint.ID, ListedMs: endpoint.StartedAtMs, At: at})
		}
	}
	return starts
}

// unixInstant returns the instant of a Unix time in milliseconds by a correct clock. It is limited to the range of
// time.Duration.
func unixInstant(ms int64) time.Duration {
	const latest = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(ms, latest)) * time.Millisecond
}
