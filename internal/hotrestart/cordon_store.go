package hotrestart

import (
	"errors"
	"time"

	"valvecove/internal/filesystem"
)

// ErrTooManySaves is passed to the callback of a Save if CordonStoreConfig.MaxCallbacks earlier ones are waiting for the disk.
var ErrTooManySaves = errors.New("too many calls wait for the directory")

// Delays of a CordonStore.
const (
	// minWriteRetryDelay is the delay before the retry of a first failed write. The delay doubles with each consecutive
	// failure, up to maxWriteRetryDelay.
	minWriteRetryDelay = 100 * time.Millisecond
	maxWriteRetryDelay = 5 * time.Second

	// fenceDelay is how long after the start of a write Fence fails because of that write.
	fenceDelay = 250 * time.Millisecond
)

// CordonStoreConfig configures a CordonStore. All fields are required.
type CordonStoreConfig struct {
	Files    filesystem.FileSystem
	StateDir string
	// MaxCallbacks is the maximum number of calls of Save that wait at a time.
	MaxCallbacks int
	// Now returns the time of the event loop.
	Now func() time.Duration
	// Post runs its argument on the event loop. It is called on the store's goroutine.
	Post func(func())
	// After runs its argument on the event loop after a delay.
	After func(delay time.Duration, act func())
	// Changed is called on the event loop with the error of the first failed write, and with nil after the next successful one.
	Changed func(error)
}

// CordonStoreState is the state of a CordonStore, for the status call.
type CordonStoreState struct {
	Stored       bool          // the IDs that were saved last are on the disk
	UnsavedSince time.Duration // time of the first change that is not on the disk, on the loop's clock
	LastError    error         // of the last write; nil if it succeeded
}

// CordonStore writes the file of cordoned workers on its own goroutine, so that the event loop does not wait for the disk. If
// IDs are saved during a write, the newest ones are written after it. A failed write is retried with exponential backoff until
// it succeeds. All methods must be called on the event loop.
type CordonStore struct {
	config           CordonStoreConfig
	writer           *cordonFileWriter
	tasks            chan func() // run by the goroutine; at most a write and a removal of stray files
	writing          bool
	writeStartedAt   time.Duration
	newest           []string // the IDs that were saved last
	unsaved          bool     // newest is not stored
	changed          bool     // newest was set after the write in progress began
	unsavedSince     time.Duration
	retryDelay       time.Duration // delay after the next failure
	retryPending     bool          // After was called for the next write
	fenced           bool          // another process owns the file
	lastError        error         // of the last write; nil if it succeeded
	callbacks        []func(error) // of Save, in order
	callbacksInWrite int           // number of the first callbacks, which the write in progress completes
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

// run runs tasks on the store's goroutine.
func (c *CordonStore) run() {
	for task := range c.tasks {
		task()
	}
}

// State returns whether the IDs that were saved last are on the disk.
func (c *CordonStore) State() CordonStoreState {
	return CordonStoreState{Stored: !c.unsaved, UnsavedSince: c.unsavedSince, LastError: c.lastError}
}

// IsWriting reports whether a write is in progress.
func (c *CordonStore) IsWriting() bool { return c.writing }

// RemoveStrayFiles removes the temporary files of killed processes. It is called once, by the process that owns the file.
func (c *CordonStore) RemoveStrayFiles() { c.tasks <- c.writer.removeStrayFiles }

// Save starts a write of the IDs. done is called on the event loop with nil once they, or IDs that were saved later, are on the
// disk, or with the error of the write. It is called immediately with ErrTooManySaves if too many calls are waiting. After any
// error the write of the IDs is still retried.
func (c *CordonStore) Save(workerIDs []string, done func(error)) {
	c.setNewest(workerIDs)
	if len(c.callbacks) >= c.config.MaxCallbacks {
		done(ErrTooManySaves)
		return
	}
	c.callbacks = append(c.callbacks, done)
	c.startWrite()
}

// SaveWithoutCallback starts a write of the IDs, like Save, without a callback.
func (c *CordonStore) SaveWithoutCallback(workerIDs []string) {
	c.setNewest(workerIDs)
	c.startWrite()
}

// setNewest replaces the IDs to write.
func (c *CordonStore) setNewest(workerIDs []string) {
	if !c.unsaved {
		c.unsavedSince = c.config.Now()
	}
	c.newest = workerIDs
	c.unsaved = true
	c.changed = true
}

// startWrite starts a write of the newest IDs if that is necessary and allowed.
func (c *CordonStore) startWrite() {
	if c.writing || c.fenced || !c.unsaved {
		return
	}
	c.writing = true
	c.changed = false
	c.writeStartedAt = c.config.Now()
	c.callbacksInWrite = len(c.callbacks)
	workerIDs := c.newest
	c.tasks <- func() {
		err := c.writer.write(workerIDs)
		c.config.Post(func() { c.writeFinished(err) })
	}
}

// writeFinished handles the result of a write, and starts or schedules the next one.
func (c *CordonStore) writeFinished(err error) {
	c.writing = false
	if !errors.Is(err, errFenced) {
		c.recordResult(err)
	}
	completed := c.callbacks[:c.callbacksInWrite:c.callbacksInWrite]
	c.callbacks = c.callbacks[c.callbacksInWrite:]
	for _, done := range completed {
		done(err)
	}
	if err == nil || len(c.callbacks) > 0 {
		c.startWrite()
		return
	}
	c.retryLater()
}

// recordResult updates the state after a write, and reports a change from success to failure or back.
func (c *CordonStore) recordResult(err error) {
	hadFailed := c.lastError != nil
	c.lastError = err
	if err == nil {
		c.unsaved = c.changed
		c.unsavedSince = c.writeStartedAt
		c.retryDelay = minWriteRetryDelay
	}
	if hadFailed != (err != nil) {
		c.config.Changed(err)
	}
}

// retryLater schedules the next write after a failed one.
func (c *CordonStore) retryLater() {
	if c.retryPending || c.fenced {
		return
	}
	c.retryPending = true
	c.config.After(c.retryDelay, func() {
		c.retryPending = false
		c.startWrite()
	})
	c.retryDelay = min(2*c.retryDelay, maxWriteRetryDelay)
}

// Fence ends this process's ownership of the file, which this process does not change until Unfence. During a write that
// started less than fenceDelay ago, and during the rename of any write, Fence returns false and changes nothing. IDs that are
// not on the disk yet must be written by the other process.
func (c *CordonStore) Fence() bool {
	if c.writing && c.config.Now()-c.writeStartedAt < fenceDelay || !c.writer.fence.close() {
		return false
	}
	c.fenced = true
	return true
}

// Unfence restores the ownership of the file after the other process has failed to take over.
func (c *CordonStore) Unfence() {
	c.fenced = false
	c.writer.fence.open()
	c.startWrite()
}
