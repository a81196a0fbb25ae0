package hotrestart

import "errors"

// ErrTooManySaves means that the state directory does not keep up with the calls.
var ErrTooManySaves = errors.New("too many calls wait for the directory")

// CordonStore keeps the file of cordoned workers. A goroutine of its own writes the file, so that the event loop waits for
// no disk. What is saved during a write is written next, the newest only.
type CordonStore struct {
	stateDir         string
	maxCallbacks     int
	post             func(func())
	writes           chan []string // to the goroutine; a write is in progress from when it is sent to when it is finished
	writing          bool
	newest           []string
	callbacks        []func(error) // of Save, in order
	callbacksOfWrite int           // how many of them, from the first, the write in progress completes
}

// NewCordonStore returns a store for stateDir, whose goroutine runs as long as the process. At most maxCallbacks calls of
// Save may wait at a time. post is called by the goroutine, and must have its argument run on the event loop; all other use
// of the store is on the event loop.
func NewCordonStore(stateDir string, maxCallbacks int, post func(func())) *CordonStore {
	store := &CordonStore{stateDir: stateDir, maxCallbacks: maxCallbacks, post: post, writes: make(chan []string, 1)}
	go store.run()
	return store
}

func (s *CordonStore) run() {
	for workerIDs := range s.writes {
		err := WriteCordonFile(s.stateDir, workerIDs)
		s.post(func() { s.writeFinished(err) })
	}
}

// IsWriting tells whether a write is in progress.
func (s *CordonStore) IsWriting() bool { return s.writing }

// Save has the ids written. done is called on the event loop once they are, or something newer, or with the error; at once
// with ErrTooManySaves if too many calls wait, in which case the ids are written along with the next write.
func (s *CordonStore) Save(workerIDs []string, done func(error)) {
	s.newest = workerIDs
	if len(s.callbacks) >= s.maxCallbacks {
		done(ErrTooManySaves)
		return
	}
	s.callbacks = append(s.callbacks, done)
	s.startWrite()
}

func (s *CordonStore) startWrite() {
	if s.writing || len(s.callbacks) == 0 {
		return
	}
	s.writing = true
	s.callbacksOfWrite = len(s.callbacks)
	s.writes <- s.newest
}

func (s *CordonStore) writeFinished(err error) {
	completed := s.callbacks[:s.callbacksOfWrite:s.callbacksOfWrite]
	s.callbacks = s.callbacks[s.callbacksOfWrite:]
	s.writing = false
	for _, done := range completed {
		done(err)
	}
	s.startWrite()
}
