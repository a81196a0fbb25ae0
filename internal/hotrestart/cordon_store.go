package hotrestart

import (
	"errors"
	"time"

	"valvecove/internal/filesystem"
)

// ErrTooManySaves means that the state directory does not keep up with the calls.
var ErrTooManySaves = errors.New("too many calls wait for the directory")

// Waits of a CordonStore.
const (
	// minWriteRetryDelay is how long after a failed write the next one begins. The delay doubles with each failure in a row.
	minWriteRetryDelay = 100 * time.Millisecond
	maxWriteRetryDelay = 5 * time.Second

	// fenceDelay is how long a write in progress keeps the file from being left to another process.
	fenceDelay = 250 * time.Millisecond
)

// CordonStoreConfig says where a CordonStore writes, and how it is tied to the event loop.
type CordonStoreConfig struct {
	Files    filesystem.FileSystem
	StateDir string
	// MaxCallbacks is how many calls of Save may wait at a time.
	MaxCallbacks int
	// Now returns the time of the event loop.
	Now func() time.Duration
	// Post is called by the store's goroutine, and must have its argument run on the event loop.
	Post func(func())
	// After has its argument run on the event loop once the delay has passed.
	After func(delay time.Duration, act func())
	// Changed is called on the event loop with the error when writes begin to fail, and with nil once what was saved is
	// stored again.
	Changed func(error)
}

// CordonStoreState says whether the content of the last save is on the disk.
type CordonStoreState struct {
	Stored      bool
	UnsavedFrom time.Duration // since when it is not, by the loop's clock
	LastError   error         // of the last write, if that failed
}

// CordonStore writes the file of cordoned workers on a goroutine of its own, so that the event loop never waits for the disk. Of the
// saves during a write only the newest is written next. A failed write is retried with exponential backoff until it succeeds. The
// methods are called on the event loop.
type CordonStore struct {
	config           CordonStoreConfig
	writer           *cordonFileWriter
	tasks            chan func() // of the goroutine; holds a write and a removal of stray files at most
	writing          bool
	writeStartedAt   time.Duration
	newest           []string
	unsaved          bool // newest is not stored
	changed          bool // newest was set after the write in progress began
	unsavedFrom      time.Duration
	retryDelay       time.Duration // of the next failure
	retryPending     bool
	fenced           bool
	lastError        error
	callbacks        []func(error) // of Save, in order
	callbacksOfWrite int           // how many of them, from the first, the write in progress completes
}

// NewCordonStore returns a store whose goroutine runs as long as the process.
func NewCordonStore(config CordonStoreConfig) *CordonStore {
	store := &CordonStore{
		config:     config,
		writer:     newCordonFileWriter(config.Files, config.StateDir),
		tasks:      make(chan func(), 2),
		retryDelay: minWriteRetryDelay,
	}
	go store.run()
	return store
}

func (s *CordonStore) run() {
	for task := range s.tasks {
		task()
	}
}

// State returns whether the content of the last save is stored.
func (s *CordonStore) State() CordonStoreState {
	return CordonStoreState{Stored: !s.unsaved, UnsavedFrom: s.unsavedFrom, LastError: s.lastError}
}

// IsWriting reports whether a write is in progress.
func (s *CordonStore) IsWriting() bool { return s.writing }

// RemoveStrayFiles removes the partly written files of killed processes. It is called once, by the process that owns the file.
func (s *CordonStore) RemoveStrayFiles() { s.tasks <- s.writer.removeStrayFiles }

// Save writes the IDs. done is called on the event loop once they, or newer ones, are written, or with the error of the write; at once
// with ErrTooManySaves if too many calls wait. Whatever the error is, the write is retried.
func (s *CordonStore) Save(workerIDs []string, done func(error)) {
	s.setNewest(workerIDs)
	if len(s.callbacks) >= s.config.MaxCallbacks {
		done(ErrTooManySaves)
		return
	}
	s.callbacks = append(s.callbacks, done)
	s.startWrite()
}

// Keep is Save without a callback.
func (s *CordonStore) Keep(workerIDs []string) {
	s.setNewest(workerIDs)
	s.startWrite()
}

func (s *CordonStore) setNewest(workerIDs []string) {
	if !s.unsaved {
		s.unsavedFrom = s.config.Now()
	}
	s.newest, s.unsaved, s.changed = workerIDs, true, true
}

func (s *CordonStore) startWrite() {
	if s.writing || s.fenced || !s.unsaved {
		return
	}
	s.writing = true
	s.changed = false
	s.writeStartedAt = s.config.Now()
	s.callbacksOfWrite = len(s.callbacks)
	workerIDs := s.newest
	s.tasks <- func() {
		err := s.writer.write(workerIDs)
		s.config.Post(func() { s.writeFinished(err) })
	}
}

func (s *CordonStore) writeFinished(err error) {
	s.writing = false
	if !errors.Is(err, errFenced) {
		s.recordResult(err)
	}
	completed := s.callbacks[:s.callbacksOfWrite:s.callbacksOfWrite]
	s.callbacks = s.callbacks[s.callbacksOfWrite:]
	for _, done := range completed {
		done(err)
	}
	if err == nil || len(s.callbacks) > 0 {
		s.startWrite()
		return
	}
	s.retryLater()
}

// recordResult records the result of a write, and reports a change from success to failure or back.
func (s *CordonStore) recordResult(err error) {
	hadFailed := s.lastError != nil
	s.lastError = err
	if err == nil {
		s.unsaved = s.changed
		s.unsavedFrom = s.writeStartedAt
		s.retryDelay = minWriteRetryDelay
	}
	if hadFailed != (err != nil) {
		s.config.Changed(err)
	}
}

func (s *CordonStore) retryLater() {
	if s.retryPending || s.fenced {
		return
	}
	s.retryPending = true
	s.config.After(s.retryDelay, func() {
		s.retryPending = false
		s.startWrite()
	})
	s.retryDelay = min(2*s.retryDelay, maxWriteRetryDelay)
}

// Fence leaves the file to another process: this one changes it no more. It returns false, and changes nothing, while a write
// is in progress that may still be waited for. What is not stored is for the other process to write.
func (s *CordonStore) Fence() bool {
	if s.writing && s.config.Now()-s.writeStartedAt < fenceDelay || !s.writer.fence.close() {
		return false
	}
	s.fenced = true
	return true
}

// Unfence takes the file back, as the other process did not take over.
func (s *CordonStore) Unfence() {
	s.fenced = false
	s.writer.fence.open()
	s.startWrite()
}
