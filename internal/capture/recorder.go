package capture

import (
	"bytes"
	"fmt"
	"log/slog"
	"runtime/debug"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/dispatch"
	"valvecove/internal/config"
	"valvecove/internal/filesystem"
	"valvecove/internal/requests"
)

const (
	// segmentRetryInterval is the time between the loss of a segment and the start of the next one.
	segmentRetryInterval = 5 * time.Second
	// maxReusedBuffer is the maximum capacity in bytes of a line buffer that is kept for reuse.
	maxReusedBuffer = 256 << 10
	kilobyte        = 1 << 10
)

// Recorder writes a capture. It is an observer of the request table and wraps its dispatchers. It is used on the goroutine of the
// table only.
type Recorder struct {
	// LookupEndpoint returns the endpoint of a worker's number. It must be set before the first step; until then workers are
	// recorded without IDs.
	LookupEndpoint func(worker uint64) requests.Endpoint

	sink     sink
	names    requests.NameTable
	now      func() time.Duration
	log      *slog.Logger
	seed     uint64
	settings jsoniter.RawMessage
	disabled bool // after a panic of the recorder

	dispatchers uint64              // number of dispatchers since the start of the process
	current     *recordedDispatcher // the current one
	callIDs     map[uint64]string   // of the open jobs
	forgotten   []uint64            // jobs to remove from callIDs after the next step
	keyWork     []*float64          // estimates for the keys of the jobs of the current step; nil: unknown

	namedWorkers map[uint64]bool // workers whose ID and number are in the segment
	segmentLost  bool            // a part of the segment was lost, so the rest is not written
	inGap        bool            // the start of a gap was logged, and its end was not
	lostLines    uint64          // lines that were not passed to the sink because of a loss in their segment
	openedAt     time.Duration   // when a segment was last started, or a part of one was lost
	lines        []byte          // lines that are passed to the sink together
	limiter      floodLimiter
}

// New returns a recorder for a scheduler that is started with a configuration. now returns the Unix time. An error means that the
// directory of the capture can't be used, or that the configuration has no valid settings.
func New(capture config.Capture, start config.Config, now func() time.Duration, log *slog.Logger) (*Recorder, error) {
	return newRecorder(filesystem.Disk, capture, start, now, log)
}

// newRecorder is New for any file system.
func newRecorder(
	disk filesystem.FileSystem, capture config.Capture, start config.Config, now func() time.Duration, log *slog.Logger,
) (*Recorder, error) {
	settings, err := compactSettings(start.PlatformSettings)
	if err != nil {
		return nil, err
	}
	recorder := &Recorder{
		names: start.Settings.Names, now: now, log: log, seed: start.Seed, settings: settings,
		callIDs: map[uint64]string{}, namedWorkers: map[uint64]bool{}, limiter: newFloodLimiter(),
	}
	if capture.Dir == "" {
		recorder.sink = &ring{maxBytes: capture.MemoryKB * kilobyte}
		return recorder, nil
	}
	if recorder.sink, err = newFiles(disk, capture, start.Name); err != nil {
		return nil, err
	}
	return recorder, nil
}

// compactSettings returns JSON settings on one line. Numbers keep their text.
func compactSettings(text []byte) (jsoniter.RawMessage, error) {
	var tree any
	if err := (jsoniter.Config{UseNumber: true, SortMapKeys: true}).Froze().Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	return json.Marshal(tree)
}

// Dump returns a copy of the capture in memory, or nil if the capture is in files.
func (r *Recorder) Dump() []byte { return r.sink.dump() }

// Lost returns the number of segments, or parts of them, that were lost.
func (r *Recorder) Lost() uint64 { return r.sink.lost() }

// LostLines returns the number of lines that were not written because an earlier part of their segment was lost.
func (r *Recorder) LostLines() uint64 { return r.lostLines }

// Close waits until all pending lines are on the disk, or until the timeout.
func (r *Recorder) Close(timeout time.Duration) { r.sink.close(timeout) }

// protect runs a function of the recorder. If that panics, the recorder is disabled, and the panic does not reach the caller.
func (r *Recorder) protect(record func()) {
	defer func() {
		if p := recover(); p != nil {
			r.disabled = true
			r.log.Error("capture panic, recording stopped", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	if !r.disabled {
		record()
	}
}

// openSegment starts a segment with the dispatcher's state.
func (r *Recorder) openSegment(reason string) {
	clear(r.namedWorkers)
	r.openedAt = r.now()
	r.lines = r.lines[:0]
	peerMessages, peerBudget := r.current.PeerSettings()
	line := Line{
		Input: inputStart, Reason: reason, Seed: strconv.FormatUint(r.seed, 16), DispatcherNumber: r.dispatchers,
		Settings: r.settings, CallIDs: r.callIDs, PeerMessages: peerMessages, PeerBudget: peerBudget,
	}
	if peerMessages {
		line.SnapshotWithLeases = r.current.SnapshotWithLeases(nil)
	} else {
		line.Snapshot = r.current.Snapshot(nil)
	}
	r.write(withTime(r.now(), line))
	r.segmentLost = !r.sink.open(r.lines)
	if r.segmentLost {
		r.logGapStart()
	}
	r.lines = r.lines[:0]
}

// logGapStart logs the start of a gap, unless a gap has already started.
func (r *Recorder) logGapStart() {
	if !r.inGap {
		r.inGap = true
		r.log.Warn("capture gap started", "pieces_lost", r.Lost())
	}
}

// logGapEnd logs the end of a gap once a segment is being stored again.
func (r *Recorder) logGapEnd() {
	if r.inGap && !r.segmentLost && r.sink.isStored() {
		r.inGap = false
		r.log.Info("capture gap ended", "pieces_lost", r.Lost(), "lines_lost", r.lostLines)
	}
}

// openSegmentIfDue starts a segment if the current one is full, or if at least segmentRetryInterval has passed since it was lost.
func (r *Recorder) openSegmentIfDue(now time.Duration) {
	r.logGapEnd()
	switch {
	case r.segmentLost && now-r.openedAt >= segmentRetryInterval:
		r.openSegment(reasonGap)
	case !r.segmentLost && r.sink.full():
		r.openSegment(reasonSegmentFull)
	}
}

// write adds a line to those that flush passes to the sink.
func (r *Recorder) write(line Line) {
	text, err := json.Marshal(line)
	if err != nil {
		panic(err)
	}
	r.lines = append(r.lines, text...)
	r.lines = append(r.lines, '\n')
}

// flush passes the lines to the sink.
func (r *Recorder) flush() {
	if !r.segmentLost && len(r.lines) > 0 && !r.sink.add(r.lines) {
		r.segmentLost = true
		r.openedAt = r.now()
		r.logGapStart()
	}
	if r.segmentLost {
		r.lostLines += uint64(bytes.Count(r.lines, []byte{'\n'}))
	}
	r.lines = r.lines[:0]
	if cap(r.lines) > maxReusedBuffer {
		r.lines = nil
	}
}

// withTime returns the line with its time set.
func withTime(now time.Duration, line Line) Line {
	line.Milliseconds = now.Milliseconds()
	line.Nanoseconds = int64(now % time.Millisecond)
	return line
}

// endpoint returns the endpoint of a worker, or the zero Endpoint if it is unknown.
func (r *Recorder) endpoint(worker uint64) requests.Endpoint {
	if r.LookupEndpoint == nil {
		return requests.Endpoint{}
	}
	return r.LookupEndpoint(worker)
}

// lineOfWorker returns the line with the ID of its worker set. It also sets the worker's number if the line is the first one of
// the segment about the worker, or the ID is unknown.
func (r *Recorder) lineOfWorker(worker uint64, line Line) Line {
	line.Worker = r.endpoint(worker).ID
	if line.Worker == "" || !r.namedWorkers[worker] {
		line.WorkerNumber = worker
		r.namedWorkers[worker] = line.Worker != ""
	}
	return line
}

// Wrap returns a policy that runs a new dispatcher and records its steps.
func (r *Recorder) Wrap(dispatcher *dispatch.Dispatcher) requests.Policy {
	if r.dispatchers == 0 {
		return r.startDispatcher(dispatcher, reasonStart)
	}
	return r.startDispatcher(dispatcher, reasonRestart)
}

// Continue is Wrap for a dispatcher that was restored from the state of another process.
func (r *Recorder) Continue(dispatcher *dispatch.Dispatcher) requests.Policy {
	return r.startDispatcher(dispatcher, reasonTakenOver)
}

// startDispatcher makes a dispatcher the current one, and starts a segment.
func (r *Recorder) startDispatcher(dispatcher *dispatch.Dispatcher, reason string) requests.Policy {
	r.dispatchers++
	r.current = &recordedDispatcher{dispatcher, r}
	r.protect(func() { r.openSegment(reason) })
	return r.current
}
