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
	// segmentRetryInterval is how long after a segment that could not be kept another one is opened.
	segmentRetryInterval = 5 * time.Second
	// maxKeptBuffer is the largest buffer of lines, in bytes, that is kept for the next ones.
	maxKeptBuffer = 256 << 10
	kilobyte      = 1 << 10
)

// Recorder writes a capture. It observes the request table and wraps its dispatchers, and is for the goroutine of the table
// only.
type Recorder struct {
	// LookupEndpoint returns the endpoint of a worker's number. It is to be set before the first step; until then workers
	// have no names.
	LookupEndpoint func(worker uint64) requests.Endpoint

	sink     sink
	names    requests.NameTable
	now      func() time.Duration
	log      *slog.Logger
	seed     uint64
	settings jsoniter.RawMessage
	disabled bool // by a panic of the recorder itself

	dispatchers uint64              // since the start
	current     *recordedDispatcher // the one that runs
	callIDs     map[uint64]string   // of the open jobs
	forgotten   []uint64            // jobs to remove from callIDs after the next step
	keyWork     []*float64          // of the jobs of the step that is being recorded

	namedWorkers map[uint64]bool // those that the segment has named
	segmentLost  bool            // nothing more of the segment can be kept
	inGap        bool            // the log tells of a loss, and not yet that the capture goes on
	lostLines    uint64          // that were not handed to the sink, as their segment was lost
	openedAt     time.Duration   // when a segment was last opened, or was lost
	lines        []byte          // those to hand to the sink together
	limiter      floodLimiter
}

// New returns a recorder of the scheduler that starts with a configuration. now is the Unix time. An error means that the
// directory of the capture can't be used, or that the configuration has no valid settings.
func New(capture config.Capture, start config.Config, now func() time.Duration, log *slog.Logger) (*Recorder, error) {
	return newRecorder(filesystem.Disk, capture, start, now, log)
}

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

// compactSettings puts settings on one line. Each number stays as it was written.
func compactSettings(text []byte) (jsoniter.RawMessage, error) {
	var tree any
	if err := (jsoniter.Config{UseNumber: true, SortMapKeys: true}).Froze().Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	return json.Marshal(tree)
}

// Dump returns a copy of what is in memory; nil if the capture is in files.
func (r *Recorder) Dump() []byte { return r.sink.dump() }

// Lost counts the segments, or pieces of them, that could not be kept.
func (r *Recorder) Lost() uint64 { return r.sink.lost() }

// LostLines counts the lines that were not even tried to be kept, as a part of their segment before them was lost.
func (r *Recorder) LostLines() uint64 { return r.lostLines }

// Close writes what still waits for a disk, and gives up after the timeout.
func (r *Recorder) Close(timeout time.Duration) { r.sink.close(timeout) }

// protect runs a part of the recorder. A panic of it disables the recorder, and is not taken for one of the dispatcher.
func (r *Recorder) protect(record func()) {
	defer func() {
		if p := recover(); p != nil {
			r.disabled = true
			r.log.Error("panic in the capture, which ends", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	if !r.disabled {
		record()
	}
}

// openSegment begins a segment with the dispatcher's state.
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
	r.write(stamped(r.now(), line))
	if r.segmentLost = !r.sink.open(r.lines); r.segmentLost {
		r.beginGap()
	}
	r.lines = r.lines[:0]
}

// beginGap tells once that something is lost.
func (r *Recorder) beginGap() {
	if !r.inGap {
		r.inGap = true
		r.log.Warn("the capture has a gap", "pieces_lost", r.Lost())
	}
}

// endGapIfKept tells that the capture goes on.
func (r *Recorder) endGapIfKept() {
	if r.inGap && !r.segmentLost && r.sink.kept() {
		r.inGap = false
		r.log.Info("the capture goes on", "pieces_lost", r.Lost(), "lines_lost", r.lostLines)
	}
}

// openSegmentIfDue begins a segment where the one before is full, or was lost some time ago.
func (r *Recorder) openSegmentIfDue(now time.Duration) {
	r.endGapIfKept()
	switch {
	case r.segmentLost && now-r.openedAt >= segmentRetryInterval:
		r.openSegment(reasonGap)
	case !r.segmentLost && r.sink.full():
		r.openSegment(reasonSegmentFull)
	}
}

// write adds a line to those that are handed to the sink together.
func (r *Recorder) write(line Line) {
	text, err := json.Marshal(line)
	if err != nil {
		panic(err)
	}
	r.lines = append(r.lines, text...)
	r.lines = append(r.lines, '\n')
}

// flush hands the lines to the sink.
func (r *Recorder) flush() {
	if !r.segmentLost && len(r.lines) > 0 && !r.sink.add(r.lines) {
		r.segmentLost = true
		r.openedAt = r.now()
		r.beginGap()
	}
	if r.segmentLost {
		r.lostLines += uint64(bytes.Count(r.lines, []byte{'\n'}))
	}
	r.lines = r.lines[:0]
	if cap(r.lines) > maxKeptBuffer {
		r.lines = nil
	}
}

// stamped sets a line's time.
func stamped(now time.Duration, line Line) Line {
	line.Milliseconds = now.Milliseconds()
	line.Nanoseconds = int64(now % time.Millisecond)
	return line
}

// endpoint returns the endpoint of a worker; the zero one if it is not known.
func (r *Recorder) endpoint(worker uint64) requests.Endpoint {
	if r.LookupEndpoint == nil {
		return requests.Endpoint{}
	}
	return r.LookupEndpoint(worker)
}

// about names the worker of a line, with its number the first time in a segment and as long as it has no name.
func (r *Recorder) about(worker uint64, line Line) Line {
	line.Worker = r.endpoint(worker).ID
	if line.Worker == "" || !r.namedWorkers[worker] {
		line.WorkerNumber = worker
		r.namedWorkers[worker] = line.Worker != ""
	}
	return line
}

// Wrap returns a dispatcher that records its steps. Its state is that of its start.
func (r *Recorder) Wrap(dispatcher *dispatch.Dispatcher) requests.Policy {
	if r.dispatchers == 0 {
		return r.begin(dispatcher, reasonStart)
	}
	return r.begin(dispatcher, reasonRestart)
}

// Continue is Wrap for a dispatcher that goes on from the state of another process.
func (r *Recorder) Continue(dispatcher *dispatch.Dispatcher) requests.Policy {
	return r.begin(dispatcher, reasonTakenOver)
}

func (r *Recorder) begin(dispatcher *dispatch.Dispatcher, reason string) requests.Policy {
	r.dispatchers++
	r.current = &recordedDispatcher{dispatcher, r}
	r.protect(func() { r.openSegment(reason) })
	return r.current
}
