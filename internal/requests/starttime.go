package requests

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Start times of workers are told as Unix time, and the policy compares them with the process's clock, which counts from what
// the wall clock said at the process's start. That may have been wrong, by seconds or by an hour, and then a start would look
// older than it is, or lie in the future. What is known of the error follows from the lists alone: no start lies after it was
// told, so that the least time seen between the two bounds by how much our clock is ahead.

const (
	// promptNotice is a usual time between the start of a worker and the list that tells it. A clock that is ahead by less
	// is as good as right.
	promptNotice = time.Second

	// longestSlowStart is how long no slow start takes: of workers that started further apart, one is warm.
	longestSlowStart = time.Minute

	// maxClockError is how far off clocks may be. A start that shows more is a mistake, and shows nothing of other starts.
	maxClockError = 24 * time.Hour

	// Of a first list, so few workers are taken for cold on the suspicion that our clock is ahead: one in ten, or a single one
	// of four or more. If more started together, that was more likely a while ago than our clock is wrong, and a process that
	// took them for cold would reject what they can serve.
	possiblyColdDivisor = 10
	leastFleetWithOne   = 4
)

// Receipt says when a list of endpoints was received, by the process's clock.
type Receipt struct {
	At         time.Duration // 0: not known; start times are taken as told
	LastViewAt time.Duration // until when all changes before had been received; 0: there was no list before
}

// startTime is when a worker started.
type startTime struct {
	listedMs int64         // as it was told
	at       time.Duration // by the process's clock
}

// startTimes has the start times of workers by the process's clock. Each is worked out when it is first told, and stays as
// long as discovery tells the same. None lies after it was told, so that no worker is held back longer than its slow start
// takes.
type startTimes struct {
	byWorker map[uint64]startTime
	// leastAge is the least age, by the process's clock, at which a start was told. That clock is ahead of the workers' by
	// at most this much; if it is negative, the clock is behind, by at least this much.
	leastAge   time.Duration
	anyListed  bool // leastAge is known
	seemsAhead bool // a start looked older than the list before it allows

	receipt      Receipt // of the list that is being taken in
	startedAsOne bool    // more of its workers started together than are taken for cold on a suspicion
}

func newStartTimes() startTimes { return startTimes{byWorker: map[uint64]startTime{}} }

// observe takes in how old the starts in a list are, before any of them is worked out. known is how many workers were listed
// before.
func (s *startTimes) observe(list EndpointList, known int) {
	s.receipt = list.Receipt
	if s.receipt.At == 0 {
		return
	}
	for _, endpoint := range list.Endpoints {
		age := s.receipt.At - unixInstant(endpoint.StartedAtMs)
		if endpoint.StartedAtMs > 0 && age >= -maxClockError {
			s.observeAge(age)
		}
	}
	s.startedAsOne = list.startedAsOne(known)
}

func (s *startTimes) observeAge(age time.Duration) {
	if !s.anyListed || age < s.leastAge {
		s.leastAge, s.anyListed = age, true
	}
}

// startedAt returns when a worker started, by the process's clock, as the list says that was observed last; 0: long ago.
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

// correction is what a start that is told now, and was not before, has to be moved by: nothing, if our clock may be right.
func (s *startTimes) correction(listed time.Duration) time.Duration {
	lastViewAt := s.receipt.LastViewAt
	switch {
	case s.leastAge < -promptNotice: // our clock is behind
		return s.leastAge
	case s.leastAge <= promptNotice: // it is not ahead
		return 0
	case lastViewAt == 0 && s.startedAsOne:
		return 0
	case lastViewAt > 0 && !s.seemsAhead && listed >= lastViewAt-promptNotice: // it started since the list before
		return 0
	default: // our clock may be ahead: the newest worker may have started just now, and others so much earlier
		s.seemsAhead = s.seemsAhead || lastViewAt > 0
		return s.leastAge
	}
}

// startedAsOne tells whether more workers than are taken for cold on a suspicion started about when the last one of the list did.
// known is how many were listed before.
func (l *EndpointList) startedAsOne(known int) bool {
	newest := int64(0)
	for i := range l.Endpoints {
		newest = max(newest, l.Endpoints[i].StartedAtMs)
	}
	together := 0
	for i := range l.Endpoints {
		if l.Endpoints[i].StartedAtMs > newest-longestSlowStart.Milliseconds() {
			together++
		}
	}
	all := len(l.Endpoints)
	if !l.Reset {
		all = max(all, known)
	}
	return together > max(all/possiblyColdDivisor, min(1, all/leastFleetWithOne))
}

// snapshot returns the start times, by the ids of workers, that are not as they were told.
func (s *startTimes) snapshot(endpoints map[uint64]Endpoint) (starts []WorkerStart) {
	for _, worker := range slices.Sorted(maps.Keys(s.byWorker)) {
		start := s.byWorker[worker]
		if id := endpoints[worker].ID; id != "" && start.at != unixInstant(start.listedMs) {
			starts = append(starts, WorkerStart{EndpointID: id, ListedMs: start.listedMs, At: start.at})
		}
	}
	return starts
}

// restore takes in the start times of another process, which has known the workers for longer. What was told here later stays.
func (s *startTimes) restore(state State, numbers map[string]uint64) {
	for _, start := range state.allStarts() {
		worker, known := numbers[start.EndpointID]
		if known && s.byWorker[worker].listedMs <= start.ListedMs {
			s.byWorker[worker] = startTime{start.ListedMs, start.At}
		}
	}
	if state.LeastAge != 0 {
		s.observeAge(state.LeastAge)
	}
}

// allStarts returns when all workers started: those in Starts, and the others as they were told.
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

// unixInstant is a Unix time as the process's clock has it, if that is right.
func unixInstant(ms int64) time.Duration {
	const latest = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(ms, latest)) * time.Millisecond
}
