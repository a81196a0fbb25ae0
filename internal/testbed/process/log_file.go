package process

import (
	"fmt"
	"io"
	"os"
	"sync"
)

// This file holds the log of a scheduler's processes.

// logFile keeps the start of what a scheduler's processes write, and how much more there was.
type logFile struct {
	path    string
	lock    sync.Mutex // a process may still write while its successor does
	file    *os.File
	kept    int
	dropped int
	failure error
}

// Write takes everything, so that no process is ever held up by its log or ended for it.
func (l *logFile) Write(b []byte) (int, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.file == nil && l.failure == nil {
		l.file, l.failure = os.Create(l.path)
	}
	keep := b[:min(len(b), maxLog-l.kept)]
	if l.failure == nil && len(keep) > 0 {
		_, l.failure = l.file.Write(keep)
	}
	l.kept += len(keep)
	l.dropped += len(b) - len(keep)
	return len(b), nil
}

func (l *logFile) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.file == nil {
		return
	}
	if l.dropped > 0 {
		_, _ = io.WriteString(l.file, fmt.Sprintf("\n... and %d bytes more\n", l.dropped))
	}
	_ = l.file.Close()
	l.file, l.failure = nil, os.ErrClosed
}
